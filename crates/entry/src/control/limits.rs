//! Exchanges the limits that upstreams state with the other entries.
//!
//! While an upstream states a limit, only the entry that holds its lease sends to it and sees its responses. The other
//! entries learn from that entry's reports that the limit has changed or ended.

use crate::{
    control::{
        messages::{
            REPEAT_AGE_MAX,
            REPEAT_INTERVAL, //
        },
        Control, //
    },
    message::Message,
    rows::RowReader, //
};
use base::{
    FastMap,
    InstanceId,
    UpstreamId, //
};
use limit::Report;
use plat::{
    Feed,
    Table as StoreTable, //
};
use std::time::Duration;

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Sends limit changes that this entry observes to the other entries, and repeats recent reports.
    pub(super) async fn exchange_limits(&self) {
        loop {
            // Wakes up on new reports or when recent reports are due to be repeated.
            let _ =
                tokio::time::timeout(REPEAT_INTERVAL, self.channels.limits.due.notified()).await;
            let now = self.now();
            let mut reports = self.channels.limits.take_unsent();
            if reports.is_empty() {
                self.remove_unlisted_limits();
                reports = self.channels.limits.reports(REPEAT_AGE_MAX, now);
            } else {
                self.cold_due.notify_one();
            }
            if !reports.is_empty() {
                self.send_to_all(&Message::Limits(reports), None);
            }
        }
    }

    /// Removes the limits of upstreams that are no longer listed.
    fn remove_unlisted_limits(&self) {
        if self.channels.limits.is_empty() {
            return;
        }
        let upstream_views = self.state.borrow().upstream_views.clone();
        if upstream_views.is_empty() {
            // The list of upstreams has not been read yet.
            return;
        }
        let listed = upstream_views
            .iter()
            .map(|view| (&view.id, view.started_ms));
        let listed: FastMap<&UpstreamId, u64> = listed.collect();
        self.channels.limits.retain(|report| {
            let started_ms = listed.get(&report.upstream);
            started_ms.is_some_and(|started_ms| *started_ms <= report.started_ms)
        });
    }

    /// Sends all known limits to an entry whose session has just been established.
    pub(super) fn send_all_limits(&self, to: &InstanceId) {
        let reports = self.channels.limits.reports(Duration::MAX, self.now());
        if !reports.is_empty() {
            self.send(to, &Message::Limits(reports));
        }
    }

    /// Merges reports received from another entry and forwards those that are new.
    pub(super) fn on_limits(&self, from: &InstanceId, reports: Vec<Report>) {
        let new = self.channels.limits.merge(reports, self.now());
        if !new.is_empty() {
            self.cold_due.notify_one();
            self.send_to_all(&Message::Limits(new), Some(from));
        }
    }
}
