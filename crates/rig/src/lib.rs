//! Test support: runs the real binaries on loopback and injects faults. Never shipped.
//!
//! A [`Layout`] describes the regions, entries and upstreams of a system. [`Rig::start`] starts
//! `standin-platform`, `standin-upstream`, `standin-link` if there are relays, and one `jasmined`
//! per entry, puts a configuration in force and waits until all daemons are ready. Faults of
//! daemons are signals to a process that the rig started, by its id; faults of stand-ins are set
//! over HTTP. [`Rig::run`] drives a scene of `load` while a fault is injected, and judges the
//! recorded evidence.
//!
//! Invariants: every process is a child whose handle the rig owns, and is killed when the rig is
//! dropped; no process is killed by name. Waits have generous limits and end as soon as their
//! condition holds, so no verdict depends on a short timeout.

mod http;
mod layout;
mod permit;
mod process;
mod rig;

pub use http::{
    send_raw,
    Response, //
};
pub use layout::{
    ClassLayout,
    Layout,
    RegionLayout, //
};
pub use permit::{
    exclusive_test_permit,
    test_permit,
    test_permit_for,
    TestPermit, //
};
pub use rig::{
    Daemon,
    Rig,
    Trial, //
};
