//! Messages between entries: sending and dispatch, periodic state messages, and updates for entries that missed them.

use crate::{
    control::{
        registry::own_member,
        Control,
        ControlState,
        LastBroadcast, //
    },
    message::{
        EntryState,
        FollowedTable,
        Message,
        UpdateRequest, //
    },
    metric,
    rows::RowReader,
};
use base::{
    InstanceId,
    Now, //
};
use event::{
    emit,
    Event, //
};
use peer::{
    from_payload,
    to_payload,
    Frame,
    Note,
    SendResult, //
};
use picture::{
    Applied,
    ViewVersions, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};
use std::time::Duration;

/// Interval at which recent reports about upstreams are repeated, since a session whose send queue is full drops
/// messages.
pub(super) const REPEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum age of a report that is repeated, since this entry recorded it.
pub(super) const REPEAT_AGE_MAX: Duration = Duration::from_secs(5);
/// Interval between messages with an unchanged state.
const STATE_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time between messages about changed view versions. Each changed row changes a version, and each entry sends
/// its versions to every entry that it has a session with: without this bound, upstreams that start together saturate
/// the links between entries. An entry that can't reach the store requests updates after the second message, so within
/// twice this time.
const VERSIONS_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between requests for updates. An answer takes a round trip, at most some 200 ms; after this time
/// another entry is asked. Without this bound, every entry sends all its upstreams to each entry that can't reach the
/// store.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Returns this entry's state.
    fn entry_state(&self, state: &ControlState) -> EntryState {
        EntryState {
            member: own_member(&self.settings),
            callers_addr: self.settings.callers_addr,
            ready: state.routes.is_some() && !state.stopping,
            relay_addr: self.settings.relay_addr,
            is_partitioned: self.channels.partition.is_partitioned(),
            capacity: self.settings.capacity(),
            is_hub: state.overlay.is_hub(self.now()),
            versions: state.view.versions(self.now()),
            routes_age: self.channels.routes_freshness.age(self.now()),
            round_trips: state.overlay.round_trips().into_iter().collect(),
        }
    }

    /// Sends the state to all entries if callers or roles are affected. Changed versions of the view are left to
    /// [`Self::broadcast_periodically`].
    pub(super) fn broadcast_urgent(&self, state: &mut ControlState, now: Now) {
        let entry_state = self.entry_state(state);
        state.overlay.set_own_service(entry_state.service());
        let last = state.last_broadcast.state.as_ref();
        if last.is_none_or(|last| last.is_urgent(&entry_state)) {
            self.broadcast(state, entry_state, now);
        }
    }

    /// Sends the state after a change, again soon after, and then periodically, since messages may be lost.
    pub(super) fn broadcast_periodically(&self, now: Now) {
        let mut state = self.state.borrow_mut();
        let entry_state = self.entry_state(&state);
        let elapsed = now.saturating_sub(state.last_broadcast.at);
        let last = state.last_broadcast.state.as_ref();
        if last.is_none_or(|last| last.is_urgent(&entry_state)) {
            self.broadcast(&mut state, entry_state, now);
            return;
        }
        let changed = last.is_none_or(|last| last.differs(&entry_state));
        // The other entries already have changes that are forwarded.
        let forwarded = self.is_forwarded(&mut state, FollowedTable::Upstreams, now);
        let send_soon = (changed || state.last_broadcast.repeat) && !forwarded;
        if elapsed >= STATE_INTERVAL || (send_soon && elapsed >= VERSIONS_INTERVAL) {
            self.refresh_round_trips(&mut state);
            self.broadcast(&mut state, entry_state, now);
        }
    }

    fn broadcast(&self, state: &mut ControlState, entry_state: EntryState, now: Now) {
        self.send_to(
            state.overlay.connected(),
            &Message::State(entry_state.clone()),
        );
        let last = state.last_broadcast.state.as_ref();
        state.last_broadcast = LastBroadcast {
            repeat: last.is_none_or(|last| last.differs(&entry_state)),
            state: Some(entry_state),
            at: now,
        };
    }

    /// Sends the state to one entry.
    pub(super) fn send_state(&self, to: &InstanceId) {
        let entry_state = self.entry_state(&self.state.borrow());
        self.send(to, &Message::State(entry_state));
    }

    fn refresh_round_trips(&self, state: &mut ControlState) {
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        for peer in mesh.peers() {
            state.overlay.set_round_trip(&peer.instance, peer.rtt);
        }
    }

    /// Sends a message to one entry. Returns `None` if the mesh isn't open or the message can't be encoded. A message
    /// that is dropped, since the send queue is full or the session is lost, is not sent again.
    pub(super) fn send(&self, to: &InstanceId, message: &Message) -> Option<SendResult> {
        let mesh = self.mesh.borrow().clone()?;
        let frame = frame(message)?;
        count_sent(message, &frame);
        Some(mesh.send(to, frame))
    }

    /// Sends a message to each of these entries.
    pub(super) fn send_to<'a>(&self, to: impl Iterator<Item = &'a InstanceId>, message: &Message) {
        let mut to = to.peekable();
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        if to.peek().is_none() {
            return;
        }
        let Some(frame) = frame(message) else {
            return;
        };
        for instance in to {
            count_sent(message, &frame);
            mesh.send(instance, frame.clone());
        }
    }

    /// Sends a message on all sessions, except to `except`.
    pub(super) fn send_to_all(&self, message: &Message, except: Option<&InstanceId>) {
        let state = self.state.borrow();
        let to = state.overlay.connected().filter(|to| Some(*to) != except);
        self.send_to(to, message);
    }

    /// Handles the payload of a message of another entry.
    pub(super) fn on_payload(&self, from: &InstanceId, payload: &[u8]) {
        match from_payload::<Message>(payload) {
            Ok(message) => self.on_message(from, message),
            Err(error) => {
                emit(&Event::MessageUnreadable {
                    from: from.clone(),
                    error: format!("{error:?}"),
                });
            }
        }
    }

    fn on_message(&self, from: &InstanceId, message: Message) {
        let now = self.now();
        match message {
            Message::State(entry_state) => self.on_state(from, entry_state),
            Message::Rows(rows) => self.on_rows(from, rows, now),
            Message::Position(table, position, freshness) => {
                self.on_position(from, table, position, freshness, now);
            }
            Message::NotReading(table) => self.on_not_reading(from, table),
            Message::WantView => self.on_want_view(from, now),
            Message::View(view) => self.on_view(from, view, now),
            Message::Roster(roster) => self.on_roster(from, roster, now),
            Message::RosterGone(hub) => self.on_roster_gone(from, &hub, now),
            Message::Loads(loads) => self.on_loads(from, &loads, now),
            Message::DomainLoads(loads) => self.on_domain_loads(from, &loads, now),
            Message::FleetLoads(loads) => self.on_fleet_loads(from, &loads, now),
            Message::Demands(report) => self.on_demands(from, &report),
            Message::DomainDemands(report) => self.on_domain_demands(from, &report),
            Message::FleetDemands(report) => self.on_fleet_demands(from, &report, now),
            Message::ColdHeld(upstreams) => self.on_cold_held(from, upstreams, now),
            Message::Crashes(reports) => self.on_crashes(from, &reports),
            Message::Departures(departures) => self.on_departures(from, departures),
            Message::Limits(reports) => self.on_limits(from, reports),
            Message::Warmed(keys) => self.on_warmed(from, keys),
            Message::WantWarmed => self.on_want_warmed(from),
            Message::WantUpdates(request) => self.on_want_updates(from, request, now),
            Message::Routes(routes) => {
                let applied = self.state.borrow_mut().view.apply_routes(&routes);
                if applied == Applied::Changed {
                    self.send_to_leaves(&Message::Routes(routes.clone()), Some(from));
                    emit(&Event::RoutesInForce {
                        version: routes.version,
                        from: from.to_string(),
                    });
                    self.publish();
                }
            }
            Message::Evacuations(evacuations) => {
                let mut state = self.state.borrow_mut();
                let applied = state.view.apply_evacuation_updates(&evacuations, now);
                drop(state);
                if applied == Applied::Changed {
                    self.send_to_leaves(&Message::Evacuations(evacuations), Some(from));
                    emit(&Event::EvacuationsHeard { from: from.clone() });
                    self.publish();
                }
            }
            Message::Upstreams(upstreams) => {
                let mut state = self.state.borrow_mut();
                let applied = state.view.apply_upstream_updates(&upstreams, now);
                drop(state);
                if applied == Applied::Changed {
                    self.send_to_leaves(&Message::Upstreams(upstreams), Some(from));
                    emit(&Event::UpstreamsHeard { from: from.clone() });
                    self.publish();
                }
            }
        }
    }

    fn on_state(&self, from: &InstanceId, entry_state: EntryState) {
        let mut state = self.state.borrow_mut();
        let own = state.view.versions(self.now());
        let received = entry_state.versions;
        if entry_state.member.instance != *from || !state.overlay.is_connected(from) {
            return;
        }
        if own.routes >= received.routes {
            // Without the time on the way, entries that can't read the store would keep each other's routes fresh.
            let delay = state.overlay.round_trip_to(from).unwrap_or_default();
            let age = entry_state.routes_age.saturating_add(delay);
            self.channels.routes_freshness.note_read(age, self.now());
        }
        let changed = state.overlay.update_state(
            entry_state.member.clone(),
            entry_state.service(),
            entry_state.is_hub,
        );
        let before = state.entry_states.insert(from.clone(), entry_state);
        // If the versions were sent twice, the store has had the time to send the changes itself.
        let repeated = before.is_some_and(|before| covers(&before.versions, &received));
        let store_unreadable = state.operator.unreadable || state.upstreams.unreadable;
        let upstreams_after = state.view.upstreams_read_position();
        drop(state);
        if changed {
            self.publish_entries();
        }
        let request = UpdateRequest {
            operator: received.routes > own.routes || received.operator > own.operator,
            upstreams: received.upstreams > own.upstreams,
            upstreams_after,
        };
        let urgent = own.routes == 0 || store_unreadable;
        if (request.operator || request.upstreams)
            && (repeated || urgent)
            && self.may_request_updates()
        {
            self.send(from, &Message::WantUpdates(request));
        }
    }

    /// Returns whether updates may be requested now, and records the request. Without this bound, every entry with a
    /// newer view would be asked and would send all its updates.
    fn may_request_updates(&self) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let due = state
            .updates_requested_at
            .is_none_or(|at| now.saturating_sub(at) >= REQUEST_INTERVAL);
        if due {
            state.updates_requested_at = Some(now);
        }
        due
    }

    fn on_want_updates(&self, from: &InstanceId, request: UpdateRequest, now: Now) {
        let state = self.state.borrow();
        let view = &state.view;
        if request.operator {
            if let Some(routes) = view.routes() {
                self.send(from, &Message::Routes(routes.clone()));
            }
            self.send(from, &Message::Evacuations(view.evacuation_updates()));
        }
        if request.upstreams {
            let updates = view.upstream_updates(request.upstreams_after, now);
            self.send(from, &Message::Upstreams(updates));
        }
    }
}

/// Returns whether all versions of `a` are at least those of `b`.
fn covers(a: &ViewVersions, b: &ViewVersions) -> bool {
    a.routes >= b.routes && a.operator >= b.operator && a.upstreams >= b.upstreams
}

fn count_sent(message: &Message, frame: &Frame) {
    let Frame::Note(note) = frame else {
        return;
    };
    let bytes = note.payload.len() as u64;
    metrics::counter!(metric::SENT_BYTES, "message" => message.kind()).increment(bytes);
}

fn frame(message: &Message) -> Option<Frame> {
    match to_payload(message) {
        Ok(payload) => Some(Frame::Note(Note { payload })),
        Err(error) => {
            emit(&Event::MessageUnwritable {
                error: format!("{error:?}"),
            });
            None
        }
    }
}
