//! Rate limits that upstreams state, shared by the control and traffic threads.

use crate::clock::unix_ms;
use base::{
    FastSet,
    Now,
    UpstreamId, //
};
use limit::{
    Limits,
    Report, //
};
use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};
use tokio::sync::Notify;

/// Rate limits shared by both threads.
///
/// The lock is held only for an update or for an iteration over the few upstreams that have stated a limit.
#[derive(Debug, Default)]
pub(crate) struct SharedLimits {
    state: Mutex<State>,
    /// Incremented with each change.
    version: AtomicU64,
    /// Signals that there are reports to send to the other entries.
    pub(crate) due: Notify,
}

#[derive(Debug, Default)]
struct State {
    limits: Limits,
    /// Reports by this entry that have not been sent to the others.
    unsent: Vec<Report>,
}

impl SharedLimits {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the limit stated in a response.
    pub(crate) fn note(
        &self,
        upstream: &UpstreamId,
        started_ms: u64,
        limit_per_s: Option<f64>,
        now: Now,
    ) {
        let mut state = self.lock();
        let report = state
            .limits
            .note(upstream, started_ms, limit_per_s, unix_ms(), now);
        let Some(report) = report else {
            return;
        };
        state.unsent.push(report);
        self.version.fetch_add(1, Ordering::Release);
        self.due.notify_one();
    }

    /// Merges reports from another entry and returns those that are new.
    pub(crate) fn merge(&self, reports: Vec<Report>, now: Now) -> Vec<Report> {
        let mut state = self.lock();
        let mut new = reports;
        new.retain(|report| state.limits.merge(report, now));
        if !new.is_empty() {
            self.version.fetch_add(1, Ordering::Release);
        }
        new
    }

    /// Returns a copy of the limits if their version differs from `seen`, and updates `seen`.
    pub(crate) fn changed_since(&self, seen: &mut u64) -> Option<Limits> {
        let version = self.version.load(Ordering::Acquire);
        if version == *seen {
            return None;
        }
        *seen = version;
        Some(self.lock().limits.clone())
    }

    /// Returns the upstreams with a limit in force.
    pub(crate) fn limited(&self) -> FastSet<UpstreamId> {
        let state = self.lock();
        let in_force = state.limits.in_force();
        in_force.map(|report| report.upstream.clone()).collect()
    }

    /// Removes and returns the reports by this entry that have not been sent to the others.
    pub(crate) fn take_unsent(&self) -> Vec<Report> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Returns the reports that this entry recorded at most `age_max` ago.
    pub(crate) fn reports(&self, age_max: Duration, now: Now) -> Vec<Report> {
        self.lock().limits.reports(age_max, now)
    }

    /// Returns whether no report is stored.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().limits.is_empty()
    }

    /// Removes reports about incarnations that are no longer listed.
    pub(crate) fn retain(&self, is_listed: impl Fn(&Report) -> bool) {
        self.lock().limits.retain(is_listed);
    }
}
