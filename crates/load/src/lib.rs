//! jasmine-load: an open-loop load and look-up driver with a judge.
//!
//! A [`Scene`] says who asks for what and when; [`schedule()`] turns it and its seed into arrivals
//! that no answer delays. [`drive()`] lets callers act on them as the interface allows, each a
//! client that caches look-ups, and records what each was told. [`gather()`] fetches what upstreams
//! ran, and [`judge()`] compares the two sides: it names each broken promise with the request that
//! shows it and that request's history. [`Report`] adds up latencies, counted from the scheduled
//! time, so that a stalled system can't hide the requests that waited for it.
//!
//! Invariants: the schedule depends on nothing but the scene; the judge is a pure function of the
//! evidence and takes no daemon's word; a request that arrived has exactly one record.
//!
//! Start with [`scene`](Scene) for the file, `caller` for what a caller does, [`judge()`] for the
//! promises. [`look_up`] and [`hop()`] measure look-ups and the entry's own part alone. The tests of
//! `rig` use this crate in their own process; the binary is a thin wrapper.

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
mod scene;
mod schedule;
mod shifted;
mod table;
mod window;

pub use caller::Daemons;
pub use drain::DrainTime;
pub use drive::{
    drive,
    leaving,
    not_done,
    Driven,
    EventRecord,
    Sites, //
};
pub use gather::{
    gather,
    Gathered, //
};
pub use headroom::{
    FreeSecond,
    Headroom, //
};
pub use hop::{
    hop,
    HopFigures,
    HopLoad, //
};
pub use judge::{
    judge,
    Breach,
    Disturbed,
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
    Flaw,
    Run,
    Told,
    Try,
    TryEnd,
    UnixUs,
    UpstreamFacts, //
};
pub use scene::{
    Burst,
    CallerRegion,
    ClassLoad,
    Event,
    FilingWay,
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
pub use table::{
    Report,
    Row,
    Use, //
};
