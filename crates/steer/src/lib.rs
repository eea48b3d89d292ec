//! Decisions: which region, which upstream, admit or refuse.
//!
//! Start here. A request passes three decisions, each a pure function of what this entry knows:
//!
//! 1. [`place()`]: the region. Home as long as it beats the link plus the other region, and only
//!    what exceeds the class's headroom target ([`Demand`]) leaves it. A shift also needs room in
//!    [`ShiftLimit`], the entry's part of the cap between the two regions.
//! 2. [`Admit`]: send now, wait in the entry's short queue, or refuse at once with an honest
//!    retry delay.
//! 3. [`Choose`]: the upstream, among the slots that this entry owns. [`Ours`] is the policy that
//!    ships; the [`baseline`](RoundRobin) policies exist to be measured against.
//!
//! Beside the requests, control feeds what the entry saw itself ([`Seen`]) to the machines that
//! narrow or widen the use of one upstream: [`Ramp`] (slow start) and [`Suspect`] (suspicion, and
//! recovery by single probes). [`RetryBudget`] and [`Hedge`] bound what the entry adds by itself.
//!
//! Invariants of the crate:
//!
//! - [`Ours`] never returns an upstream that is leaving, nor one whose requests in flight have
//!   reached [`View::limit`]. Where several threads count requests in flight, the count must be
//!   raised by compare-and-exchange against the same limit, and the choice repeated when it fails.
//! - What an upstream says of itself ([`Reported`]) can only lower what it is sent.
//! - Silence narrows use (see [`Freshness`]) and never drops it to zero.
//! - There is no clock, socket or randomness: `now` and seeds are arguments. Nothing on the path
//!   of a request allocates.

mod admit;
mod choose;
mod displaced;
mod fresh;
mod hedge;
mod latency;
mod place;
mod ramp;
mod retry;
mod seed;
mod shift;
mod spill;
mod spread;
mod suspect;
mod view;

pub use admit::{
    Admission,
    Admit,
    Load, //
};
pub use choose::{
    BaselineLimits,
    Choose,
    Chooser,
    HotCold,
    LeastReported,
    Ours,
    Policy,
    PowerOfTwo,
    Rank,
    RoundRobin,
    UnknownPolicy, //
};
pub use displaced::place_displaced;
pub use fresh::{
    Freshness,
    FreshnessLimits, //
};
pub use hedge::{
    Hedge,
    HedgeSettings, //
};
pub use latency::{
    smooth_latency,
    LatencyHistogram,
    Seen, //
};
pub use place::{
    place,
    ClassTarget,
    Estimate,
    PlaceSettings,
    Placement,
    Question, //
};
pub use ramp::{
    Ramp,
    RampCause,
    RampPhase,
    RampSettings,
    Relief, //
};
pub use retry::RetryBudget;
pub use shift::{
    ShiftCap,
    ShiftLimit,
    ShiftRefusal, //
};
pub use spill::{
    is_excess,
    Allowance,
    Demand, //
};
pub use spread::{
    least_occupied,
    Occupancy, //
};
pub use suspect::{
    Suspect,
    SuspectSettings,
    Suspicion, //
};
pub use view::{
    due_probe,
    Capacity,
    Reported,
    View,
    NO_LIMIT, //
};
