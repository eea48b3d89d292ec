//! Whether an entry reaches its upstreams, decided from what it receives from any of them.
//!
//! A failed send says little about the path: the upstream may have crashed. An entry that is partitioned from all
//! upstreams looks at first like one whose upstreams have all failed, but it must not give up its callers' requests, as
//! other entries still reach the upstreams. [`Reach`] decides when to probe them, and applies the results:
//!
//! - It is suspicious if nothing has arrived from any upstream for many times the usual time between two responses while
//!   requests wait for one or fail, or if new connections to several upstreams fail and none works meanwhile.
//! - The path is cut if no probe, a connection to one of several upstreams, succeeds. A response on an older connection
//!   doesn't change that, since a partition may leave open connections working.
//! - Once a probe succeeds, one request at a time tries the path; its response opens it again.
//!
//! Invariants: no clock, socket or randomness; `now` is an argument.

mod reach;

pub use reach::{
    Admission,
    Change,
    Evidence,
    Reach, //
};
