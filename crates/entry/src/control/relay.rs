//! Messages between entries: states at intervals, and what the store said to those who missed it.

use crate::{
    control::{
        listing::own_member,
        Control,
        Known,
        Told, //
    },
    message::{
        Followed,
        Message,
        State,
        Want, //
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

/// Time between two tellings of an unchanged state.
const TELL_INTERVAL: Duration = Duration::from_secs(2);
/// Least time between two tellings of how far the picture reaches. Each change of each row moves that, and each
/// entry tells each other one: without the bound, upstreams that start together make the entries fill their links.
/// Whoever is cut off from the store asks after the second telling, so within twice the time.
const REACH_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two requests for a picture: an answer takes a round trip, at most some 200 ms; after this time
/// another entry is asked. Without it each entry sends all its upstreams to each one that the store has turned away.
const WANT_INTERVAL: Duration = Duration::from_millis(400);

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// This entry's state.
    fn state(&self, known: &Known) -> State {
        State {
            member: own_member(&self.settings),
            callers_addr: self.settings.callers_addr,
            ready: known.routes.is_some() && !known.stopping,
            is_hub: known.overlay.is_hub(self.now()),
            reach: known.picture.versions(self.now()),
            round_trips: known.overlay.round_trips().into_iter().collect(),
        }
    }

    /// Tells all entries the state if callers are concerned; how far the picture reaches can wait for
    /// [`Self::broadcast_periodically`].
    pub(super) fn broadcast_urgent(&self, known: &mut Known, now: Now) {
        let state = self.state(known);
        known
            .overlay
            .set_own_callers(state.callers_addr, state.ready);
        let told = known.told.state.as_ref();
        if told.is_none_or(|told| told.is_urgent(&state)) {
            self.broadcast(known, state, now);
        }
    }

    /// Tells the state after a change, once more soon after, and then once in a while, since what was told may be
    /// lost.
    pub(super) fn broadcast_periodically(&self, now: Now) {
        let mut known = self.known.borrow_mut();
        let state = self.state(&known);
        let since = now.saturating_sub(known.told.at);
        let told = known.told.state.as_ref();
        if told.is_none_or(|told| told.is_urgent(&state)) {
            self.broadcast(&mut known, state, now);
            return;
        }
        let changed = told.is_none_or(|told| told.differs(&state));
        // What others forward is no news to them.
        let forwarded = self.is_forwarded(&mut known, Followed::Upstreams, now);
        let soon = (changed || known.told.again) && !forwarded;
        if since >= TELL_INTERVAL || (soon && since >= REACH_INTERVAL) {
            self.refresh_round_trips(&mut known);
            self.broadcast(&mut known, state, now);
        }
    }

    fn broadcast(&self, known: &mut Known, state: State, now: Now) {
        self.send_to(known.overlay.connected(), &Message::State(state.clone()));
        let told = known.told.state.as_ref();
        known.told = Told {
            again: told.is_none_or(|told| told.differs(&state)),
            state: Some(state),
            at: now,
        };
    }

    /// Tells one entry the state.
    pub(super) fn send_state(&self, to: &InstanceId) {
        let state = self.state(&self.known.borrow());
        self.send(to, &Message::State(state));
    }

    fn refresh_round_trips(&self, known: &mut Known) {
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        for peer in mesh.peers() {
            known.overlay.set_round_trip(&peer.instance, peer.rtt);
        }
    }

    /// Sends a message to one entry; `None` if there is no way to. An entry that has no room for it, or is lost, gets
    /// what is sent next.
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

    /// Takes a message of another entry.
    pub(super) fn on_note(&self, from: &InstanceId, payload: &[u8]) {
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
            Message::State(state) => self.on_state(from, state),
            Message::Rows(rows) => self.on_rows(from, rows, now),
            Message::Position(table, position) => self.on_position(from, table, position, now),
            Message::NotReading(table) => self.on_not_reading(from, table),
            Message::WantPicture => self.answer_want_picture(from, now),
            Message::Picture(picture) => self.on_picture(from, picture, now),
            Message::Roster(roster) => self.on_roster(from, roster, now),
            Message::RosterGone(hub) => self.on_roster_gone(from, &hub, now),
            Message::Loads(loads) => self.on_loads(from, &loads, now),
            Message::DomainLoads(loads) => self.on_domain_loads(from, &loads, now),
            Message::FleetLoads(loads) => self.on_fleet_loads(&loads, now),
            Message::ColdHeld(upstreams) => self.on_cold_held(from, upstreams, now),
            Message::Crashes(reports) => self.on_crashes(from, &reports),
            Message::Limits(reports) => self.on_limits(from, reports),
            Message::Warmed(keys) => self.on_warmed(from, keys),
            Message::WantWarmed => self.want_warmth(from),
            Message::Want(want) => self.answer_want(from, want, now),
            Message::Routes(routes) => {
                let taken = self.known.borrow_mut().picture.apply_routes(&routes);
                if taken == Applied::Changed {
                    self.tell_leaves(&Message::Routes(routes.clone()), Some(from));
                    emit(&Event::RoutesInForce {
                        version: routes.version,
                        from: from.to_string(),
                    });
                    self.publish();
                }
            }
            Message::Evacuations(evacuations) => {
                let mut known = self.known.borrow_mut();
                let taken = known.picture.apply_evacuation_updates(&evacuations, now);
                drop(known);
                if taken == Applied::Changed {
                    self.tell_leaves(&Message::Evacuations(evacuations), Some(from));
                    emit(&Event::EvacuationsHeard { from: from.clone() });
                    self.publish();
                }
            }
            Message::Upstreams(upstreams) => {
                let mut known = self.known.borrow_mut();
                let taken = known.picture.apply_upstream_updates(&upstreams, now);
                drop(known);
                if taken == Applied::Changed {
                    self.tell_leaves(&Message::Upstreams(upstreams), Some(from));
                    emit(&Event::UpstreamsHeard { from: from.clone() });
                    self.publish();
                }
            }
        }
    }

    fn on_state(&self, from: &InstanceId, state: State) {
        let mut known = self.known.borrow_mut();
        let own = known.picture.versions(self.now());
        let theirs = state.reach;
        if state.member.instance != *from || !known.overlay.is_connected(from) {
            return;
        }
        let changed = known.overlay.update_state(
            state.member.clone(),
            state.callers_addr,
            state.ready,
            state.is_hub,
        );
        let before = known.states.insert(from.clone(), state);
        // The same reach told twice: the store's own word has had the time to come.
        let told_before = before.is_some_and(|before| reaches(&before.reach, &theirs));
        let store_lost = known.operator.lost || known.upstreams.lost;
        let upstreams_after = known.picture.upstreams_read_position();
        drop(known);
        if changed {
            self.publish_entries();
        }
        let want = Want {
            operator: theirs.routes > own.routes || theirs.operator > own.operator,
            upstreams: theirs.upstreams > own.upstreams,
            upstreams_after,
        };
        let urgent = own.routes == 0 || store_lost;
        if (want.operator || want.upstreams) && (told_before || urgent) && self.may_want() {
            self.send(from, &Message::Want(want));
        }
    }

    /// Whether it is time to ask for a picture: all entries tell that they know more, and each would send all it
    /// knows.
    fn may_want(&self) -> bool {
        let now = self.now();
        let mut known = self.known.borrow_mut();
        let due = known
            .wanted_at
            .is_none_or(|at| now.saturating_sub(at) >= WANT_INTERVAL);
        if due {
            known.wanted_at = Some(now);
        }
        due
    }

    fn answer_want(&self, from: &InstanceId, want: Want, now: Now) {
        let known = self.known.borrow();
        let picture = &known.picture;
        if want.operator {
            if let Some(routes) = picture.routes() {
                self.send(from, &Message::Routes(routes.clone()));
            }
            self.send(from, &Message::Evacuations(picture.evacuation_updates()));
        }
        if want.upstreams {
            let updates = picture.upstream_updates(want.upstreams_after, now);
            self.send(from, &Message::Upstreams(updates));
        }
    }
}

/// Whether `a` reaches as far as `b`.
fn reaches(a: &ViewVersions, b: &ViewVersions) -> bool {
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
