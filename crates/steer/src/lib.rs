//! Routing and admission decisions for one request.
//!
//! A request passes three decisions, each a pure function of the state known to this entry:
//!
//! 1. [`place`]: selects the region. A request stays in the local region, unless another region is
//!    faster including the round trip, or the request exceeds the class's headroom target
//!    ([`Demand`]). A shift also needs capacity in [`ShiftLimiter`], this entry's part of the cap
//!    between the two regions.
//! 2. [`AdmissionControl`]: sends the request now, queues it in the entry's short queue, or refuses it at
//!    once with a retry delay that reflects the expected wait.
//! 3. [`Choose`]: selects the upstream, among the slots that this entry owns. [`LeastLoaded`] is
//!    the default policy; the [`baseline`](RoundRobin) policies exist for comparison.
//!
//! Outside the request path, the control task feeds the outcomes observed by this entry ([`WindowStats`])
//! to the state machines that limit the use of one upstream: [`SlowStart`] (slow start) and [`FailureDetector`]
//! (failure detection, with recovery by single probes). [`RetryBudget`] and [`HedgePolicy`] bound
//! the requests that the entry adds to the offered load.
//!
//! Invariants of the crate:
//!
//! - [`LeastLoaded`] never returns an upstream that is leaving, nor one whose requests in flight
//!   have reached [`UpstreamView::limit`]. Where several threads count requests in flight, the count must
//!   be raised by compare-and-exchange against the same limit, and the choice repeated when it
//!   fails.
//! - The load that an upstream reports ([`LoadReport`]) can only lower what it is sent.
//! - Missing updates reduce the use of an upstream or region (see [`Freshness`]) but never to zero.
//! - There is no clock, socket or randomness: `now` and seeds are arguments. Nothing on the
//!   request path allocates.

mod admission;
mod choose;
mod displaced;
mod failure_detector;
mod freshness;
mod hedge;
mod latency;
mod occupancy;
mod placement;
mod retry;
mod seed;
mod shift;
mod slow_start;
mod spill;
mod view;

pub use admission::{
    Admission,
    AdmissionControl,
    Load, //
};
pub use choose::{
    BaselineLimits,
    Choose,
    Chooser,
    HotCold,
    LeastLoaded,
    LeastReported,
    Policy,
    PowerOfTwo,
    Rank,
    RoundRobin,
    UnknownPolicy, //
};
pub use displaced::place_displaced;
pub use failure_detector::{
    FailureDetector,
    FailureDetectorSettings,
    SuspicionChange, //
};
pub use freshness::{
    Freshness,
    FreshnessLimits, //
};
pub use hedge::{
    HedgePolicy,
    HedgeSettings, //
};
pub use latency::{
    smooth_latency,
    LatencyHistogram,
    WindowStats, //
};
pub use occupancy::{
    least_occupied,
    Occupancy, //
};
pub use placement::{
    place,
    ClassTarget,
    Placement,
    PlacementQuery, //
    PlacementSettings,
    RegionEstimate,
};
pub use retry::RetryBudget;
pub use shift::{
    ShiftCap,
    ShiftLimiter,
    ShiftRefusal, //
};
pub use slow_start::{
    SlowStart,
    SlowStartCause,
    SlowStartPhase,
    SlowStartSettings,
    StarvationDetector, //
};
pub use spill::{
    is_excess,
    Allowance,
    Demand, //
};
pub use view::{
    due_probe,
    Capacity,
    LoadReport,
    UpstreamView,
    NO_LIMIT, //
};
