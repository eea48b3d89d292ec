//! Test stand-ins for the platform, upstreams and links; never shipped.
//!
//! The logic of each stand-in is in this library, so that tests can run it in their own process;
//! the binaries only parse arguments and start it. [`platform`] provides the table, the object
//! store and the list. [`upstream`] serves requests and records which of them ran, as the ground
//! truth for checks. [`link`] is a TCP relay that delays data, cuts connections or silently
//! discards what they carry. Tests inject faults into each over HTTP; `docs/design/interfaces.md`
//! describes the requests.
//!
//! Invariants: a fault applies to whatever arrives after the response to the request that set it.
//! A fault with a `ratio` selects requests by counting, not at random, so that runs are
//! reproducible. Recorded times are wall-clock milliseconds since the Unix epoch.

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

pub mod link;
pub mod pattern;
pub mod platform;
mod timer;
pub mod upstream;

/// Current wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Prints the listening address to standard output as `listening [NAME ]ADDR`.
///
/// # Errors
///
/// Fails if standard output is closed.
pub fn announce(name: &str, addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match name {
        "" => writeln!(out, "listening {addr}")?,
        name => writeln!(out, "listening {name} {addr}")?,
    }
    out.flush()
}

/// Selects a given ratio of a sequence, evenly spaced and deterministic.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RatioSampler {
    /// Sum of the ratios so far, minus one for each selected item.
    accumulated: f64,
}

impl RatioSampler {
    /// Returns whether the next item is selected, given the ratio of items to select.
    pub(crate) fn select(&mut self, ratio: f64) -> bool {
        self.accumulated += ratio;
        let selected = self.accumulated >= 1.0;
        if selected {
            self.accumulated -= 1.0;
        }
        selected
    }
}

/// Locks a mutex, ignoring poisoning by a handler that panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
