//! Exchange of the upstreams that stated in a response that they are leaving.
//!
//! The row of a leaving upstream says so as well, but can't be written while the store is unavailable. Each entry sends
//! the departures that are new to it to all of its sessions except the one they arrived on.

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
use picture::{
    Applied,
    Departure, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};
use std::time::Duration;

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Applies the departures that traffic learns of, sends them to the other entries, and repeats recent ones.
    pub(super) async fn exchange_departures(&self) {
        loop {
            // Wakes up on new departures or when recent ones are due to be repeated.
            let due = self.channels.departures.due.notified();
            let _ = tokio::time::timeout(REPEAT_INTERVAL, due).await;
            let learnt = self.channels.departures.take();
            if !learnt.is_empty() {
                self.apply_departures(learnt, None);
                continue;
            }
            let recent = self.departures(REPEAT_AGE_MAX);
            if !recent.is_empty() {
                self.send_to_all(&Message::Departures(recent), None);
            }
        }
    }

    /// Returns the departures that this entry recorded at most `age_max` ago.
    fn departures(&self, age_max: Duration) -> Vec<Departure> {
        self.state.borrow().view.departures(age_max, self.now())
    }

    /// Sends all known departures to an entry whose session has just been established.
    pub(super) fn send_all_departures(&self, to: &InstanceId) {
        let departures = self.departures(Duration::MAX);
        if !departures.is_empty() {
            self.send(to, &Message::Departures(departures));
        }
    }

    /// Applies departures received from another entry.
    pub(super) fn on_departures(&self, from: &InstanceId, departures: Vec<Departure>) {
        self.apply_departures(departures, Some(from));
    }

    /// Applies departures, and sends those that are new to the other entries, except to `from`.
    fn apply_departures(&self, mut departures: Vec<Departure>, from: Option<&InstanceId>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let view = &mut state.view;
        departures.retain(|departure| view.apply_departure(departure, now) == Applied::Changed);
        drop(state);
        if departures.is_empty() {
            return;
        }
        metrics::counter!(metric::DEPARTURES).increment(departures.len() as u64);
        for departure in &departures {
            emit(&Event::UpstreamLeaving {
                upstream: departure.upstream.clone(),
                from: from.map_or_else(|| "response".to_owned(), InstanceId::to_string),
            });
        }
        self.send_to_all(&Message::Departures(departures), from);
        self.publish();
    }
}
