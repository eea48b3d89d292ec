//! Count of the requests that this process has not finished.
//!
//! A planned stop waits for it to reach zero. Streaming bodies count, and so do filings whose
//! caller has disconnected.

use std::sync::{
    atomic::{
        AtomicU64,
        Ordering, //
    },
    Arc, //
};

/// Counter of unfinished requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveRequests(Arc<AtomicU64>);

impl ActiveRequests {
    /// Counts one request as unfinished until the guard is dropped.
    pub(crate) fn guard(&self) -> ActiveGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        ActiveGuard(Arc::clone(&self.0))
    }

    /// Number of unfinished requests.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }
}

/// One unfinished request.
#[derive(Debug)]
pub(crate) struct ActiveGuard(Arc<AtomicU64>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
