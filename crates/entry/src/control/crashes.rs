//! Exchange of crash reports with the other entries.
//!
//! Each entry forwards the reports that are new to it to all of its sessions except the one they arrived on. A report
//! that arrives more than once is forwarded only the first time.

use crate::{
    control::Control,
    message::Message,
    metric,
    rows::RowReader, //
};
use base::InstanceId;
use event::{
    emit,
    Event, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};
use quarantine::Report;
use std::time::Duration;

/// Interval between repeats of recent reports. A session whose send queue is full drops messages.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum age of a report that is repeated.
const REPEAT_AGE_MAX: Duration = Duration::from_secs(5);

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Sends this entry's new crash reports to the other entries and repeats recent reports.
    pub(super) async fn exchange_crashes(&self) {
        loop {
            // Wakes up on new reports or when recent reports are due to be repeated.
            let _ =
                tokio::time::timeout(REPEAT_INTERVAL, self.channels.crashes.due.notified()).await;
            let now = self.now();
            let quarantined = self.channels.crashes.sweep(now);
            metrics::gauge!(metric::QUARANTINED_REQUESTS).set(quarantined as f64);
            let mut reports = self.channels.crashes.take_unsent();
            if reports.is_empty() {
                reports = self.channels.crashes.reports(REPEAT_AGE_MAX, now);
            }
            if !reports.is_empty() {
                self.send_crashes(reports, None);
            }
        }
    }

    fn send_crashes(&self, reports: Vec<Report>, from: Option<&InstanceId>) {
        let state = self.state.borrow();
        let to = state.overlay.connected().filter(|to| Some(*to) != from);
        self.send_to(to, &Message::Crashes(reports));
    }

    /// Sends all known crash reports to an entry whose session has just been established.
    pub(super) fn send_all_crashes(&self, to: &InstanceId) {
        let reports = self.channels.crashes.reports(Duration::MAX, self.now());
        if !reports.is_empty() {
            self.send(to, &Message::Crashes(reports));
        }
    }

    /// Merges reports received from another entry and forwards those that are new.
    pub(super) fn on_crashes(&self, from: &InstanceId, reports: &[Report]) {
        let new_reports = self.merge_crashes(reports, from);
        if !new_reports.is_empty() {
            self.send_crashes(new_reports, Some(from));
        }
    }

    /// Merges reports and returns those that are new. `from` is logged for each request that they put in quarantine.
    pub(super) fn merge_crashes(&self, reports: &[Report], from: &str) -> Vec<Report> {
        let merged = self.channels.crashes.merge(reports, self.now());
        for request in merged.quarantined {
            emit(&Event::RequestQuarantined {
                fingerprint: format!("{request:016x}"),
                from: from.to_owned(),
            });
        }
        merged.new_reports
    }
}
