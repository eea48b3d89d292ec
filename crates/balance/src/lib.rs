//! Selection of an upstream for a request, and the limits on what this entry sends.
//!
//! Start with [`choose()`], which decides on one request. It estimates the response time of each upstream of a service
//! from the network round trip, the wait for a slot and the service time, which is short at an upstream that served the
//! request's affinity key recently. It refuses the request if no upstream can answer in time. Its input is one
//! [`Upstream`] each: this entry's requests in flight, the load from other entries as last reported, and the
//! [`Health`] that this entry observed.
//!
//! A request that may run more than once is sent to a second upstream if the first one takes unusually long, on routes
//! whose response times have a heavy tail ([`Hedger`]).
//!
//! Limits that apply to all entries combined are divided into shares that each entry enforces on its own:
//! [`RetryBudget`] limits the sends after a request's first, and [`ShiftLimiter`] limits how fast the share of requests
//! that leave their region may change. The rate that a cold upstream accepts is too low to divide: the entry that holds
//! the upstream's lease may use all of it ([`ColdStartLimiter`]), and the other entries may use none.
//!
//! Invariants: no clock, socket or randomness; `now` is an argument. An upstream that is leaving, in an evacuated
//! failure domain or outside a route's home regions is never chosen.

mod choose;
mod cold_start_limiter;
mod entry_share;
mod health;
mod hedge;
mod load_report;
mod margin;
mod rate_limiter;
mod rendezvous;
mod response_times;
mod retry_budget;
mod service_times;
mod shift;
mod speed;
mod upstream;
mod upstream_counts;
mod warm_keys;
mod window;

pub use choose::{
    choose,
    pause_left,
    Choice,
    Expectation,
    Location,
    Query, //
};
pub use cold_start_limiter::ColdStartLimiter;
pub use entry_share::entry_share;
pub use health::Health;
pub use hedge::{
    Hedger,
    PendingSend, //
};
pub use load_report::LoadReport;
pub use rate_limiter::RateLimiter;
pub use rendezvous::{
    affinity_hash,
    rendezvous_score,
    weighted_rendezvous_score, //
};
pub use retry_budget::RetryBudget;
pub use service_times::ServiceTimes;
pub use shift::ShiftLimiter;
pub use speed::{
    StatedSpeed,
    UsualSpeed, //
};
pub use upstream::Upstream;
pub use upstream_counts::UpstreamCounts;
pub use warm_keys::WarmKeys;
pub use window::Window;
