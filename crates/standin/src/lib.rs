//! Test stand-ins for the platform, upstreams and links; never shipped.
//!
//! Each part has its logic here, so that tests run it in their own process, and a thin binary
//! around it: [`platform`] is the table, object store and list; [`upstream`] does work and records
//! what it ran, the judge's truth; [`link`] is a TCP relay that delays, cuts and goes silent. Each
//! has faults that a test switches on by HTTP; `docs/design/interfaces.md` has the requests.
//!
//! Invariants: faults act on what is new after the answer to the request that set them, and a
//! share of requests (`ratio`) is met by counting, not by chance, so that runs repeat. Recorded
//! times are wall-clock milliseconds since the Unix epoch.

use std::{
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

mod alarm;
pub mod link;
pub mod pattern;
pub mod platform;
pub mod upstream;

/// Milliseconds since the Unix epoch, by the wall clock.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Tells whoever started this process where it listens: `listening [NAME ]ADDR`.
///
/// # Errors
///
/// When standard output is closed.
pub fn announce(name: &str, addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match name {
        "" => writeln!(out, "listening {addr}")?,
        name => writeln!(out, "listening {name} {addr}")?,
    }
    out.flush()
}

/// Picks a share of a sequence evenly, by counting.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    /// Sum of the ratios that no pick has used up.
    due: f64,
}

impl Share {
    /// Whether the next one is picked, when `ratio` of all are to be.
    pub(crate) fn meets(&mut self, ratio: f64) -> bool {
        self.due += ratio;
        let picked = self.due >= 1.0;
        if picked {
            self.due -= 1.0;
        }
        picked
    }
}

/// Locks, also after a handler panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
