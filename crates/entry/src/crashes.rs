//! Crash reports, shared by the control and traffic threads.

use base::{
    FastSet,
    Now, //
};
use quarantine::{
    Fingerprint,
    IncarnationHash,
    Quarantine,
    Report, //
};
use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};
use tokio::sync::Notify;

/// Crash reports shared by both threads.
///
/// The lock is held only for a look-up, an update or the merge of one message, so neither thread blocks the other for
/// long.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    state: Mutex<State>,
    /// Signals that there are reports to send to the other entries.
    pub(crate) due: Notify,
    /// Signals that there are newly quarantined requests to write to the store.
    pub(crate) store_due: Notify,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    /// Reports by this entry that have not been sent to the others.
    unsent: Vec<Report>,
    /// Requests for which this entry has reported a crash.
    reported: FastSet<Fingerprint>,
    /// Newly quarantined requests for which this entry has reported a crash, to be written to the store.
    unstored: Vec<Fingerprint>,
}

impl Crashes {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an upstream crashed while it ran a request. Returns whether this put the request in quarantine.
    pub(crate) fn note_crash(
        &self,
        request: Fingerprint,
        upstream: IncarnationHash,
        now: Now,
    ) -> bool {
        let mut state = self.lock();
        let before = state.quarantine.remaining(request, now);
        let Some(report) = state.quarantine.note_crash(request, upstream, now) else {
            return false;
        };
        state.unsent.push(report);
        state.reported.insert(request);
        self.due.notify_one();
        let quarantined = before.is_none() && state.quarantine.remaining(request, now).is_some();
        if quarantined {
            state.unstored.push(request);
            self.store_due.notify_one();
        }
        quarantined
    }

    /// Records that a request was answered, which clears its earlier crashes.
    pub(crate) fn note_response(&self, request: Fingerprint, now: Now) {
        let mut state = self.lock();
        let cleared = state.quarantine.note_response(request, now);
        if !cleared.is_empty() {
            state.unsent.extend(cleared);
            self.due.notify_one();
        }
    }

    /// Returns the remaining quarantine time of a request, or `None` if it may be sent.
    pub(crate) fn remaining(&self, request: Fingerprint, now: Now) -> Option<Duration> {
        self.lock().quarantine.remaining(request, now)
    }

    /// Merges reports received from another entry or read from the store.
    pub(crate) fn merge(&self, reports: &[Report], now: Now) -> Merged {
        let mut state = self.lock();
        let mut merged = Merged::default();
        for report in reports {
            let before = state.quarantine.remaining(report.request, now);
            if state.quarantine.merge(&[*report], now).is_empty() {
                continue;
            }
            merged.new_reports.push(*report);
            if before.is_none() && state.quarantine.remaining(report.request, now).is_some() {
                merged.quarantined.push(report.request);
                // The entry that made this report may not have known the other crashes, so it may not write the row.
                if state.reported.contains(&report.request) {
                    state.unstored.push(report.request);
                    self.store_due.notify_one();
                }
            }
        }
        merged
    }

    /// Takes the reports by this entry that have not been sent to the others.
    pub(crate) fn take_unsent(&self) -> Vec<Report> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Takes the quarantined requests to write to the store.
    pub(crate) fn take_unstored(&self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.lock().unstored)
    }

    /// Marks the quarantined requests of which this entry reported a crash as to be written to the store again.
    pub(crate) fn store_again(&self, now: Now) {
        let mut state = self.lock();
        let requests = state.quarantine.quarantined(now);
        let reported = requests.filter(|request| state.reported.contains(request));
        state.unstored = reported.collect();
        if !state.unstored.is_empty() {
            self.store_due.notify_one();
        }
    }

    /// Returns reports of all crashes of a request.
    pub(crate) fn reports_of(&self, request: Fingerprint, now: Now) -> Vec<Report> {
        self.lock().quarantine.reports_of(request, now)
    }

    /// Returns all reports that are at most `age_max` old.
    pub(crate) fn reports(&self, age_max: Duration, now: Now) -> Vec<Report> {
        self.lock().quarantine.reports(age_max, now)
    }

    /// Removes expired crashes and returns the number of quarantined requests.
    pub(crate) fn sweep(&self, now: Now) -> usize {
        let mut state = self.lock();
        state.quarantine.sweep(now);
        let State {
            quarantine,
            reported,
            ..
        } = &mut *state;
        reported.retain(|request| quarantine.contains(*request));
        state.quarantine.quarantined(now).count()
    }
}

/// Result of merging reports.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    /// Reports that changed this entry's state.
    pub(crate) new_reports: Vec<Report>,
    /// Requests that the reports put in quarantine.
    pub(crate) quarantined: Vec<Fingerprint>,
}
