//! Exchange of the upstreams that stated in a response that they are leaving.
//!
//! The row of a leaving upstream says so as well, but can't be written while the store is unavailable. Each entry sends
//! the departures that are new to it to all of its sessions except the one they arrived on.

use crate::{
    control::Control,
    message::Message,
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

/// Interval between repeats of recent departures. A session whose send queue is full drops messages.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum age of a departure that is repeated.
const REPEAT_AGE_MAX: Duration = Duration::from_secs(5);

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Applies the departures that traffic learns of, sends them to the other entries, and repeats recent ones.
    pub(super) async fn exchange_departures(&self) {
        loop {
            // Wakes up on new departures or when recent ones are due to be repeated.
            let due = self.channels.departures.due.notified();
            let _ = tokio::time::timeout(REPEAT_INTERVAL, due).await;
            let learnt = self.channels.departures.take();
            if learnt.is_empty() {
                self.send_departures(REPEAT_AGE_MAX, None);
            } else {
                self.apply_departures(learnt, None);
            }
        }
    }

    /// Applies departures received from another entry.
    pub(super) fn on_departures(&self, from: &InstanceId, departures: Vec<Departure>) {
        self.apply_departures(departures, Some(from));
    }

    /// Sends all known departures to an entry whose session has just been established.
    pub(super) fn send_all_departures(&self, to: &InstanceId) {
        self.send_departures(Duration::MAX, Some(to));
    }

    /// Sends the departures of this age to one entry, or to all.
    fn send_departures(&self, age_max: Duration, only: Option<&InstanceId>) {
        let state = self.state.borrow();
        let departures = state.view.departures(age_max, self.now());
        if departures.is_empty() {
            return;
        }
        let to = state.overlay.connected();
        let to = to.filter(|to| only.is_none_or(|only| *to == only));
        self.send_to(to, &Message::Departures(departures));
    }

    /// Applies departures, and sends those that are new to the other entries, except to `from`.
    fn apply_departures(&self, mut departures: Vec<Departure>, from: Option<&InstanceId>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        departures
            .retain(|departure| state.view.apply_departure(departure, now) == Applied::Changed);
        drop(state);
        if departures.is_empty() {
            return;
        }
        for departure in &departures {
            emit(&Event::UpstreamLeaving {
                upstream: departure.upstream.clone(),
                from: from.map_or_else(|| "response".to_owned(), |from| from.to_string()),
            });
        }
        let state = self.state.borrow();
        let to = state.overlay.connected().filter(|to| Some(*to) != from);
        self.send_to(to, &Message::Departures(departures));
        drop(state);
        self.publish();
    }
}
