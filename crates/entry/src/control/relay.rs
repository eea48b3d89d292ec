//! Messages between entries: states at intervals, and what the store said to those who missed it.

use crate::{
    control::{
        Control,
        Known, //
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
    Note, //
};
use picture::{
    Applied,
    Reach, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};

/// Ticks between two tellings of an unchanged state.
const TELL_TICKS: u128 = 8;

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// This entry's state.
    fn state(&self, known: &Known) -> State {
        State {
            callers_addr: self.settings.callers_addr,
            ready: known.table.is_some() && !known.stopping,
            reach: known.picture.reach(self.now()),
        }
    }

    /// Tells all entries the state, as after a change.
    pub(super) fn broadcast_state(&self, known: &Known) {
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        let Some(frame) = frame(&Message::State(self.state(known))) else {
            return;
        };
        for peer in mesh.peers() {
            // An entry that has no room for it hears the next telling.
            mesh.send(&peer.instance, frame.clone());
        }
    }

    /// Tells one entry the state.
    pub(super) fn send_state(&self, to: &InstanceId) {
        let state = self.state(&self.known.borrow());
        self.send(to, &Message::State(state));
    }

    /// Tells the state once in a while though nothing changed, since what was told may be lost.
    pub(super) fn broadcast_periodically(&self, now: Now) {
        if (now.as_millis() / super::TICK.as_millis()) % TELL_TICKS == 0 {
            self.refresh_round_trips();
            self.broadcast_state(&self.known.borrow());
        }
    }

    fn refresh_round_trips(&self) {
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        let mut known = self.known.borrow_mut();
        for peer in mesh.peers() {
            if let Some(member) = known.members.get_mut(&peer.instance) {
                member.round_trip = peer.rtt;
            }
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
            Message::Warmed(keys) => self.loads.heard.put(keys),
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
        if (want.operator || want.upstreams) && (told_before || urgent) {
            self.send(from, &Message::Want(want));
        }
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

pub(super) fn frame(message: &Message) -> Option<Frame> {
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
