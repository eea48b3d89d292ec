//! jasmine-load: an open-loop load and look-up driver that checks the system's guarantees.
//!
//! A [`Scene`] defines the load by region and class. [`schedule()`] derives the arrivals from it
//! and its seed; no response delays them. [`drive()`] runs the callers, which are clients that
//! follow the callers' interface and cache look-ups, and records the result of each request.
//! [`gather()`] fetches the upstreams' records of what they ran, and [`judge()`] compares both
//! sides: it reports each violated guarantee with the request that shows it and that request's
//! history. [`Report`] aggregates latencies from the scheduled time, so that a stall of the system
//! counts for every request that it delayed.
//!
//! Invariants: the schedule depends only on the scene; the judge is a pure function of the
//! evidence and uses nothing that daemons report; each arrival has exactly one record.
//!
//! Start with [`Scene`] for the file format, `caller` for the callers' behaviour and [`judge()`]
//! for the guarantees. [`look_up`] measures look-ups alone, and [`hop()`] the latency that an
//! entry adds. The tests of `rig` use this crate in their own process; the binary is a thin
//! wrapper.

mod caller;
mod client;
mod clock;
mod drain;
mod drive;
mod gather;
mod headroom;
mod hop;
mod judge;
mod limits;
mod lookups;
mod payload;
mod record;
mod report;
mod scene;
mod schedule;
mod shifted;
mod window;

pub use caller::Daemons;
pub use drain::DrainTime;
pub use drive::{
    drive,
    failed_events,
    leaving,
    Addresses, //
    EventRecord,
    LoadRecords,
};
pub use gather::{
    gather,
    Gathered, //
};
pub use headroom::{
    Headroom, //
    SecondHeadroom,
};
pub use hop::{
    hop,
    HopFigures,
    HopLoad, //
};
pub use judge::{
    judge,
    Breach,
    Disruption,
    Evidence,
    Leaving,
    LinkUse,
    Violation, //
};
pub use limits::Limits;
pub use lookups::{
    look_up,
    LookupFigures,
    LookupLoad, //
};
pub use payload::{
    Checker,
    Payload, //
};
pub use record::{
    unix_us,
    CallerRecord,
    CallerResult,
    Flaw,
    Run,
    Try,
    TryEnd,
    UnixUs,
    UpstreamFacts, //
};
pub use report::{
    Report,
    RequestFigures,
    SlotUsage, //
};
pub use scene::{
    Burst,
    CallerRegion,
    ClassLoad,
    Event,
    FilingMethod,
    Kill,
    Plan,
    Scene,
    Work, //
};
pub use schedule::{
    schedule,
    Arrival, //
};
pub use shifted::Shifted;
