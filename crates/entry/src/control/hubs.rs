//! Messages of a hub for its leaves: rosters of the entries that are up, and rows that were read from the store.
//!
//! Each hub advertises the entries of its failure domain that it has sessions with to the other hubs and to its leaves,
//! and forwards the other hubs' rosters to its leaves. The last roster sent on each session is recorded, so that each
//! change is sent once, even if roles change meanwhile.

use crate::{
    control::{
        apply::Source,
        Control,
        ControlState, //
    },
    message::{
        FollowedTable,
        ForwardedRows,
        FullView,
        Message, //
    },
    metric,
    rows::RowReader,
};
use base::{
    FastMap,
    InstanceId,
    Now, //
};
use event::{
    emit,
    Event, //
};
use overlay::{
    Continuity, //
    Freshness,
    Roster,
};
use peer::SendResult;
use plat::{
    Feed,
    Rows,
    Table as StoreTable, //
};
use std::time::Duration;

/// Version of a roster that has not been advertised.
const NOT_ADVERTISED: u64 = 0;

/// Rosters that were advertised.
#[derive(Debug, Default)]
pub(super) struct AdvertisedRosters {
    /// This hub's roster and its version, which is incremented with each change.
    own: Option<(u64, Roster)>,
    /// Version of the roster last sent, by session and hub.
    sent: FastMap<InstanceId, FastMap<InstanceId, u64>>,
}

impl AdvertisedRosters {
    /// Forgets what was sent to an entry whose session is new or has ended.
    pub(super) fn forget_session(&mut self, instance: &InstanceId) {
        self.sent.remove(instance);
    }

    /// Sets this hub's current roster and returns its version.
    fn update_own(&mut self, roster: Roster) -> u64 {
        match &mut self.own {
            Some((version, own)) if *own == roster => *version,
            own => {
                let version = own.as_ref().map_or(NOT_ADVERTISED, |(version, _)| *version) + 1;
                *own = Some((version, roster));
                version
            }
        }
    }
}

/// A message about a roster that has to be sent.
struct DueRoster {
    to: InstanceId,
    hub: InstanceId,
    version: u64,
    message: Message,
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Sends each session the rosters that have changed since they were last sent on it.
    pub(super) fn send_rosters(&self, now: Now) {
        let mut state = self.state.borrow_mut();
        let is_hub = state.overlay.is_hub(now);
        metrics::gauge!(metric::HUB).set(f64::from(u8::from(is_hub)));
        let due = due_rosters(&mut state, now);
        drop(state);
        for DueRoster {
            to,
            hub,
            version,
            message,
        } in due
        {
            // A message that could not be queued stays due.
            if self.send(&to, &message) != Some(SendResult::Queued) {
                continue;
            }
            let mut state = self.state.borrow_mut();
            let sent = state.rosters.sent.entry(to).or_default();
            if version == NOT_ADVERTISED {
                sent.remove(&hub);
            } else {
                sent.insert(hub, version);
            }
        }
    }

    pub(super) fn on_roster(&self, from: &InstanceId, roster: Roster, now: Now) {
        let mut state = self.state.borrow_mut();
        state.overlay.update_roster(from, roster, now);
    }

    pub(super) fn on_roster_gone(&self, from: &InstanceId, hub: &InstanceId, now: Now) {
        let mut state = self.state.borrow_mut();
        state.overlay.mark_roster_lost(from, hub, now);
    }

    /// Returns whether other entries forward a table to this entry, so that it need not call the store.
    pub(super) fn is_forwarded(
        &self,
        state: &mut ControlState,
        table: FollowedTable,
        now: Now,
    ) -> bool {
        let age_max = table_age_max(state, now);
        let is_reader = state.overlay.is_reader(now);
        !is_reader && state.table_mut(table).follower.is_forwarded(age_max, now)
    }

    /// Forwards changes that were read from the store to the leaves of this hub and, if it is a reader, to the other
    /// hubs.
    pub(super) fn forward_rows(
        &self,
        table: FollowedTable,
        after: u64,
        rows: &Rows,
        after_outage: bool,
    ) {
        let forwarded = rows.rows.iter().map(|row| match table {
            FollowedTable::Operator => self.rows.without_keys(row),
            FollowedTable::Upstreams => row.clone(),
        });
        let mut state = self.state.borrow_mut();
        let follower = &state.table_mut(table).follower;
        let message = Message::Rows(ForwardedRows {
            table,
            after,
            position: rows.position,
            freshness: follower.read_freshness(self.now()),
            rows: forwarded.collect(),
            after_outage,
        });
        self.send_to_followers(&state, &message);
    }

    /// Sends the positions of the tables that this hub forwards on a new session.
    pub(super) fn send_positions(&self, to: &InstanceId) {
        for table in [FollowedTable::Operator, FollowedTable::Upstreams] {
            let mut state = self.state.borrow_mut();
            let is_hub = state.overlay.is_hub(self.now());
            let table_state = state.table_mut(table);
            let position = table_state.follower.position();
            let freshness = table_state.follower.freshness(self.now());
            let is_reading = is_hub && !table_state.unreadable;
            drop(state);
            if let Some(position) = position.filter(|_| is_reading) {
                self.send(to, &Message::Position(table, position, freshness));
            }
        }
    }

    /// Records whether this entry can read a table, and notifies the entries that it forwards the table to if it no
    /// longer can.
    pub(super) fn set_reading(&self, table: FollowedTable, is_reading: bool) {
        let mut state = self.state.borrow_mut();
        let unreadable = std::mem::replace(&mut state.table_mut(table).unreadable, !is_reading);
        if !is_reading && !unreadable {
            self.send_to_followers(&state, &Message::NotReading(table));
        }
    }

    fn send_to_followers(&self, state: &ControlState, message: &Message) {
        let is_reader = state.overlay.is_reader(self.now());
        let hubs = state.overlay.other_hubs().filter(|_| is_reader);
        self.send_to(hubs.chain(state.overlay.leaves()), message);
    }

    pub(super) fn on_rows(&self, from: &InstanceId, mut forwarded: ForwardedRows, now: Now) {
        let ForwardedRows {
            table,
            after,
            position,
            freshness,
            ..
        } = forwarded;
        let mut state = self.state.borrow_mut();
        let follower = &mut state.table_mut(table).follower;
        let continuity = follower.on_forwarded(from, after, position, freshness, now);
        forwarded.freshness = follower.freshness(now);
        drop(state);
        let label = match continuity {
            Continuity::Next => "taken",
            Continuity::Known => "known",
            Continuity::Gap => "gap",
        };
        metrics::counter!(metric::FORWARDED_ROWS, "step" => label).increment(1);
        match continuity {
            Continuity::Next => {
                self.apply_changes(
                    table,
                    &forwarded.rows,
                    position,
                    forwarded.after_outage,
                    Source::Entry(from),
                );
                self.send_to_leaves(&Message::Rows(forwarded), Some(from));
                self.state.borrow_mut().table_mut(table).last_sent_at = now;
            }
            Continuity::Known => {
                self.note_current(table);
                self.send_keep_alive(table, now);
            }
            Continuity::Gap => {}
        }
        self.feed_due.notify_waiters();
    }

    /// Sends the leaves of this hub a keep-alive for an unchanged table.
    fn send_keep_alive(&self, table: FollowedTable, now: Now) {
        let mut state = self.state.borrow_mut();
        let interval = state.feed_timing().keep_alive_interval();
        let table_state = state.table_mut(table);
        let Some(position) = table_state.follower.position() else {
            return;
        };
        if now.saturating_sub(table_state.last_sent_at) < interval {
            return;
        }
        table_state.last_sent_at = now;
        let freshness = table_state.follower.freshness(now);
        drop(state);
        self.send_to_leaves(&Message::Position(table, position, freshness), None);
    }

    pub(super) fn on_position(
        &self,
        from: &InstanceId,
        table: FollowedTable,
        position: u64,
        freshness: Freshness,
        now: Now,
    ) {
        let mut state = self.state.borrow_mut();
        let follower = &mut state.table_mut(table).follower;
        if follower.on_hub_position(from, position, freshness, now) {
            drop(state);
            self.note_current(table);
        }
    }

    pub(super) fn on_not_reading(&self, from: &InstanceId, table: FollowedTable) {
        let mut state = self.state.borrow_mut();
        state.table_mut(table).follower.remove_hub(from);
        drop(state);
        emit(&Event::HubNotReading {
            hub: from.clone(),
            table: table.name().to_owned(),
        });
        self.feed_due.notify_waiters();
    }

    /// Requests the routing view from the hub of a new leaf, in place of a read of the tables.
    pub(super) fn request_view(&self, now: Now) {
        let state = self.state.borrow();
        let has_none = state.operator.follower.position().is_none();
        let primary = state.overlay.primary_hub(now);
        let Some(primary) = primary.filter(|_| has_none && state.is_new == Some(true)) else {
            return;
        };
        self.send(primary, &Message::WantView);
    }

    pub(super) fn on_want_view(&self, from: &InstanceId, now: Now) {
        let state = self.state.borrow();
        let positions = (
            state.operator.follower.position(),
            state.upstreams.follower.position(),
        );
        let (Some(operator_position), Some(upstreams_position)) = positions else {
            return;
        };
        let view = &state.view;
        let full_view = FullView {
            operator_position,
            upstreams_position,
            operator_freshness: state.operator.follower.freshness(now),
            upstreams_freshness: state.upstreams.follower.freshness(now),
            routes: view.routes().cloned(),
            evacuations: view.evacuation_updates(),
            upstreams: view.upstream_updates(0, now),
        };
        self.send(from, &Message::View(full_view));
    }

    pub(super) fn on_view(&self, from: &InstanceId, received: FullView, now: Now) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if state.operator.follower.position().is_some() {
            return;
        }
        if let Some(routes) = &received.routes {
            state.view.apply_routes(routes);
        }
        let evacuated = received
            .evacuations
            .iter()
            .filter(|(_, evacuation)| evacuation.on);
        let evacuated: Vec<_> = evacuated.map(|(domain, _)| domain.clone()).collect();
        state
            .view
            .apply_evacuation_updates(&received.evacuations, now);
        state
            .view
            .end_evacuations_without_row(&evacuated, received.operator_position, now);
        state.view.apply_upstream_updates(&received.upstreams, now);
        state
            .view
            .advance_read_position(received.upstreams_position);
        let tables = [
            (
                &mut state.operator,
                received.operator_position,
                received.operator_freshness,
            ),
            (
                &mut state.upstreams,
                received.upstreams_position,
                received.upstreams_freshness,
            ),
        ];
        for (table_state, position, freshness) in tables {
            let follower = &mut table_state.follower;
            follower.on_read(position, Now::ZERO);
            follower.on_hub_position(from, position, freshness, now);
        }
        emit(&Event::PictureTaken {
            from: from.clone(),
            routes_version: state.view.routes_version(),
            upstreams: received.upstreams.len(),
            position: received.upstreams_position,
        });
        drop(guard);
        self.note_current(FollowedTable::Operator);
        self.feed_due.notify_waiters();
        self.publish();
    }

    /// Sends a message to each leaf of this hub, except to `except`.
    pub(super) fn send_to_leaves(&self, message: &Message, except: Option<&InstanceId>) {
        let state = self.state.borrow();
        let leaves = state.overlay.leaves();
        let leaves = leaves.filter(|leaf| Some(*leaf) != except);
        self.send_to(leaves, message);
    }
}

/// Returns the age of a forwarded table at which this entry calls the store itself.
pub(super) fn table_age_max(state: &ControlState, now: Now) -> Duration {
    state.feed_timing().age_max(state.overlay.is_hub(now))
}

/// Returns the rosters that are new to sessions, and removals of those that are no longer advertised.
fn due_rosters(state: &mut ControlState, now: Now) -> Vec<DueRoster> {
    let own = state.overlay.own_roster();
    let own_version = state.rosters.update_own(own.clone());
    let mut due = Vec::new();
    let overlay = &state.overlay;
    for to in overlay.roster_receivers(now).chain(overlay.leaves()) {
        let sent = state.rosters.sent.get(to);
        let last_sent = |hub: &InstanceId| sent.and_then(|sent| sent.get(hub)).copied();
        let others = overlay.forwarded_rosters(to, now);
        let others = others.filter(|(_, roster)| roster.hub != *to);
        let wanted = std::iter::once((own_version, &own)).chain(others);
        let mut present = Vec::new();
        for (version, roster) in wanted {
            present.push(&roster.hub);
            if last_sent(&roster.hub) != Some(version) {
                due.push(DueRoster {
                    to: to.clone(),
                    hub: roster.hub.clone(),
                    version,
                    message: Message::Roster(roster.clone()),
                });
            }
        }
        let gone = sent.into_iter().flat_map(FastMap::keys);
        for hub in gone.filter(|hub| !present.contains(hub)) {
            due.push(DueRoster {
                to: to.clone(),
                hub: hub.clone(),
                version: NOT_ADVERTISED,
                message: Message::RosterGone(hub.clone()),
            });
        }
    }
    due
}
