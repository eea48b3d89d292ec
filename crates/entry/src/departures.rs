//! Departures of upstreams that the traffic thread learns of from responses, for the control thread.

use picture::Departure;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use tokio::sync::Notify;

/// Departures that control has not handled yet.
#[derive(Debug, Default)]
pub(crate) struct SharedDepartures {
    pending: Mutex<Vec<Departure>>,
    /// Signals that there are pending departures.
    pub(crate) due: Notify,
}

impl SharedDepartures {
    /// Adds a departure.
    pub(crate) fn push(&self, departure: Departure) {
        self.lock().push(departure);
        self.due.notify_one();
    }

    /// Removes and returns the pending departures.
    pub(crate) fn take(&self) -> Vec<Departure> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Departure>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
