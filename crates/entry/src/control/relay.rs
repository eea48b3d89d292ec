//! Messages between entries: states at intervals, and what the store said to those who missed it.

use crate::{
    control::{
        Control,
        Known,
        Told, //
    },
    message::{
        Message,
        State,
        Want, //
    },
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
    PeerInfo, //
};
use picture::{
    Applied,
    Reach, //
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
            callers_addr: self.settings.callers_addr,
            ready: known.table.is_some() && !known.stopping,
            reach: known.picture.reach(self.now()),
        }
    }

    /// Tells all entries the state if callers are concerned; how far the picture reaches can wait for
    /// [`Self::broadcast_periodically`].
    pub(super) fn broadcast_urgent(&self, known: &mut Known, now: Now) {
        let state = self.state(known);
        let told = known.told.state.as_ref();
        let urgent = told.is_none_or(|told| {
            told.ready != state.ready || told.callers_addr != state.callers_addr
        });
        if urgent {
            self.broadcast(known, state, now);
        }
    }

    /// Tells the state after a change, once more soon after, and then once in a while, since what was told may be
    /// lost.
    pub(super) fn broadcast_periodically(&self, now: Now) {
        let mut known = self.known.borrow_mut();
        let state = self.state(&known);
        let since = now.saturating_sub(known.told.at);
        let changed = known.told.state.as_ref() != Some(&state);
        let soon = changed || known.told.again;
        if since >= TELL_INTERVAL || (soon && since >= REACH_INTERVAL) {
            self.refresh_round_trips(&mut known);
            self.broadcast(&mut known, state, now);
        }
    }

    fn broadcast(&self, known: &mut Known, state: State, now: Now) {
        self.tell(&Message::State(state.clone()), |_| true);
        known.told = Told {
            again: known.told.state.as_ref() != Some(&state),
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
            if let Some(member) = known.members.get_mut(&peer.instance) {
                member.round_trip = peer.rtt;
            }
        }
    }

    /// Sends a message to each connected entry that `to` names.
    pub(super) fn tell(&self, message: &Message, to: impl Fn(&PeerInfo) -> bool) {
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        let Some(frame) = frame(message) else {
            return;
        };
        for peer in mesh.peers().into_iter().filter(|peer| to(peer)) {
            // An entry that has no room for it hears the next telling, or finds out by itself.
            mesh.send(&peer.instance, frame.clone());
        }
    }

    pub(super) fn send(&self, to: &InstanceId, message: &Message) {
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        let Some(frame) = frame(message) else {
            return;
        };
        // An entry that has no room for it, or is lost, hears the next telling.
        mesh.send(to, frame);
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
            Message::Loads(loads) => self.on_loads(from, loads, now),
            Message::ColdHeld(upstreams) => self.on_cold_held(&upstreams, now),
            Message::Warmed(keys) => self.loads.heard.put(keys),
            Message::WantWarmed => self.want_warmth(from),
            Message::Want(want) => self.answer_want(from, want, now),
            Message::Routes(routes) => {
                let taken = self.known.borrow_mut().picture.apply_routes(&routes);
                if taken == Applied::Changed {
                    emit(&Event::RoutesInForce {
                        version: routes.version,
                        from: from.to_string(),
                    });
                    self.publish();
                }
            }
            Message::Evacuations(evacuations) => {
                let evacuations = evacuations.into_iter().collect();
                let mut known = self.known.borrow_mut();
                let taken = known.picture.apply_evacuation_updates(&evacuations, now);
                drop(known);
                if taken == Applied::Changed {
                    emit(&Event::EvacuationsHeard { from: from.clone() });
                    self.publish();
                }
            }
            Message::Upstreams(upstreams) => {
                let mut known = self.known.borrow_mut();
                let taken = known.picture.apply_upstream_updates(&upstreams, now);
                drop(known);
                if taken == Applied::Changed {
                    emit(&Event::UpstreamsHeard { from: from.clone() });
                    self.publish();
                }
            }
        }
    }

    fn on_state(&self, from: &InstanceId, state: State) {
        let mut known = self.known.borrow_mut();
        let own = known.picture.reach(self.now());
        let theirs = state.reach;
        let Some(member) = known.members.get_mut(from) else {
            return;
        };
        let before = member.state.replace(state.clone());
        let changed = before.as_ref().is_none_or(|before| {
            before.ready != state.ready || before.callers_addr != state.callers_addr
        });
        // The same reach told twice: the store's own word has had the time to come.
        let told_before = before.is_some_and(|before| reaches(&before.reach, &theirs));
        drop(known);
        if changed {
            self.publish();
        }
        let want = Want {
            operator: theirs.routes > own.routes || theirs.operator > own.operator,
            upstreams: theirs.upstreams > own.upstreams,
        };
        let urgent = own.routes == 0;
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
            let evacuations = picture.evacuations().iter();
            let evacuations = evacuations.map(|(domain, told)| (domain.clone(), *told));
            self.send(from, &Message::Evacuations(evacuations.collect()));
        }
        if want.upstreams {
            self.send(from, &Message::Upstreams(picture.upstream_updates(now)));
        }
    }
}

/// Whether `a` reaches as far as `b`.
fn reaches(a: &Reach, b: &Reach) -> bool {
    a.routes >= b.routes && a.operator >= b.operator && a.upstreams >= b.upstreams
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
