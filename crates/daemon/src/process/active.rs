//! Requests that this process has not finished.
//!
//! A planned stop waits until none is left, bodies that stream and filings whose caller has gone
//! included.

use std::sync::{
    atomic::{
        AtomicU64,
        Ordering, //
    },
    Arc, //
};

/// Count of unfinished requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Active(Arc<AtomicU64>);

impl Active {
    /// Counts one request until the guard is dropped.
    pub(crate) fn guard(&self) -> ActiveGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        ActiveGuard(Arc::clone(&self.0))
    }

    /// Unfinished requests.
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
