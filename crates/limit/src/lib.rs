//! Request rate limits that upstreams state in their responses.
//!
//! A limit applies to all entries combined, but few of them see the response that changes or ends it. Entries therefore
//! report the changes that they observe and merge each other's reports. For each upstream the newest report is kept,
//! ordered by a number that follows the clock and grows with each change, so merging is idempotent and commutative.

mod limits;
mod report;

pub use limits::Limits;
pub use report::Report;
