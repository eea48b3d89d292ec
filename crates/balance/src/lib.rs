//! Which upstream does a request, and whether now.
//!
//! Start with [`choose()`], the decision on one request: it ranks the upstreams of a service by
//! expected time of the answer (the way there, the wait for a slot, and work that is short where the
//! request's affinity key was had lately), and refuses when no upstream can do it in time. What it reads of
//! an upstream is an [`Upstream`]: its own requests in flight, the load of others as the upstream
//! last reported it, and its [`Health`] as this entry saw it.
//!
//! What all entries together may not pass is cut into parts that each entry keeps by itself:
//! [`RetryBudget`] (sends beyond a request's first) and [`ShiftBound`] (how fast the part of requests that
//! leaves its region may change). What a cold upstream bears is too little to be cut: the entry that holds its
//! lease has it whole ([`ColdGate`]), all others have nothing.
//!
//! Invariants: no clock, socket or randomness; `now` is an argument. An upstream that is leaving,
//! in an evacuated failure domain or outside a route's home regions is never chosen.

mod census;
mod choose;
mod cold;
mod health;
mod limit;
mod part;
mod rank;
mod retry;
mod shift;
mod upstream;
mod warm;
mod window;
mod work;

pub use census::Census;
pub use choose::{
    choose,
    Choice,
    Expectation,
    Location,
    Query, //
};
pub use cold::ColdGate;
pub use health::Health;
pub use limit::LimitGate;
pub use part::part;
pub use rank::{
    affinity,
    rank, //
};
pub use retry::RetryBudget;
pub use shift::ShiftBound;
pub use upstream::{
    Reported,
    Upstream, //
};
pub use warm::WarmKeys;
pub use window::Window;
pub use work::Work;
