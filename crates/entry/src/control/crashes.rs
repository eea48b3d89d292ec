//! Exchange of crash reports with the other entries.
//!
//! Each entry forwards the reports that are new to it to all of its sessions except the one they arrived on. A report
//! that arrives more than once is forwarded only the first time.

use crate::{
    control::{
        messages::{
            REPEAT_AGE_MAX,
            REPEAT_INTERVAL, //
        },
        Control, //
    },
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
                self.send_to_all(&Message::Crashes(reports), None);
            }
        }
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
            self.send_to_all(&Message::Crashes(new_reports), Some(from));
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
