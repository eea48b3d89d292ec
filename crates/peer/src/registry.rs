//! Who is up, and by which session.
//!
//! One peer has at most one session that writes. A second one, proven later, takes its place or
//! gives way by a rule that both ends apply to the same facts, so that they never keep different
//! ones:
//!
//! 1. A higher incarnation takes the place of a lower one; a lower one is refused.
//! 2. A session takes the place of one that is saying goodbye or that it names as silent.
//! 3. A session dialled by the same end as the present one takes its place.
//! 4. Otherwise the session dialled by the smaller instance id stays.
//!
//! Both ends see the same order because the listener registers a session before it sends its proof
//! and the dialler after it has checked it: whichever end counts two sessions as proven, the other
//! one counts the earlier as registered.

use crate::{
    event::{
        DownReason,
        PeerInfo, //
    },
    frame::GoodbyeReason,
    handshake::{
        Proven,
        SessionId,
        Side, //
    },
    mesh::Options,
    outbox::Outbox,
    refusal::Refusal, //
};
use base::{
    Incarnation,
    InstanceId, //
};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};
use tokio::sync::watch;

/// What a session is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    /// Carry frames.
    Run,
    /// Write nothing more, read to the end: another session has taken the place.
    Fade,
    /// Write what waits, say goodbye and end.
    Goodbye(GoodbyeReason),
    /// End now.
    Cut,
}

/// The registry's end of one session.
pub(crate) struct Session {
    /// Name, the same at both ends.
    pub(crate) id: SessionId,
    /// Which end we are.
    pub(crate) side: Side,
    /// What it is to do.
    pub(crate) order: watch::Sender<Order>,
}

/// How a peer is reached.
enum Link {
    /// By this session.
    Up(Rc<Session>),
    /// Not at all; another session may come in time.
    Reopening {
        /// The session that was lost.
        lost: SessionId,
        /// What the peer is down for when none comes.
        why: DownReason,
    },
}

/// One peer that the owner counts as up.
struct Peer {
    /// Who it is.
    info: PeerInfo,
    /// How it is reached.
    link: Link,
    /// What waits for it.
    outbox: Rc<Outbox>,
}

/// What a proven session becomes.
pub(crate) struct Admitted {
    /// The registry's end.
    pub(crate) session: Rc<Session>,
    /// The peer's queue.
    pub(crate) outbox: Rc<Outbox>,
    /// What the owner is to hear.
    pub(crate) news: News,
}

/// What an admission means for the owner.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum News {
    /// The peer was not up.
    Up,
    /// The peer's older incarnation is gone.
    Restarted(Incarnation),
    /// A lost session was replaced.
    Reopened,
    /// Another session stood and was replaced, or stands and stays.
    Duplicate,
}

/// All peers that are up.
pub(crate) struct Registry {
    /// Our instance.
    ours: InstanceId,
    /// Peers by name, so that the order of iteration is the same everywhere.
    peers: BTreeMap<InstanceId, Peer>,
}

impl Registry {
    /// Nobody is up.
    pub(crate) fn new(ours: InstanceId) -> Self {
        Self {
            ours,
            peers: BTreeMap::new(),
        }
    }

    /// Takes a proven session.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stale`] for a lower incarnation than the one that is up.
    pub(crate) fn admit(
        &mut self,
        proven: &Proven,
        rtt: Duration,
        options: &Options,
    ) -> Result<Admitted, Refusal> {
        let session = Rc::new(Session {
            id: proven.id.clone(),
            side: proven.side,
            order: watch::Sender::new(Order::Run),
        });
        let info = PeerInfo {
            instance: proven.hello.instance.clone(),
            incarnation: proven.hello.incarnation,
            region: proven.hello.region.clone(),
            failure_domain: proven.hello.failure_domain.clone(),
            rtt,
        };
        let ours = self.ours.clone();
        let news = match self.peers.get_mut(&info.instance) {
            None => News::Up,
            Some(peer) if info.incarnation < peer.info.incarnation => return Err(Refusal::Stale),
            Some(peer) if info.incarnation > peer.info.incarnation => {
                peer.order(Order::Cut);
                News::Restarted(peer.info.incarnation)
            }
            Some(peer) => {
                let news = peer.join(&ours, proven, &session);
                return Ok(Admitted {
                    session,
                    outbox: peer.outbox.clone(),
                    news,
                });
            }
        };
        let outbox = Rc::new(Outbox::new(options));
        let peer = Peer {
            info: info.clone(),
            link: Link::Up(session.clone()),
            outbox: outbox.clone(),
        };
        self.peers.insert(info.instance, peer);
        Ok(Admitted {
            session,
            outbox,
            news,
        })
    }

    /// A session is lost; whether another one is awaited now.
    pub(crate) fn lose(
        &mut self,
        instance: &InstanceId,
        session: &Session,
        why: DownReason,
    ) -> bool {
        match self.peers.get_mut(instance) {
            Some(peer) if peer.is_by(session) => {
                peer.link = Link::Reopening {
                    lost: session.id.clone(),
                    why,
                };
                true
            }
            _ => false,
        }
    }

    /// A session ended for good; the incarnation that is down by it.
    pub(crate) fn end(&mut self, instance: &InstanceId, session: &Session) -> Option<Incarnation> {
        if !self.peers.get(instance)?.is_by(session) {
            return None;
        }
        self.peers
            .remove(instance)
            .map(|peer| peer.info.incarnation)
    }

    /// An incarnation stops; whether it was up.
    ///
    /// It may say so on a session that gives way here while the one that stays has no other end
    /// any more: its dial was cut short by the stop. Which session carried the word must not
    /// matter, or the peer would wait for a reopening that cannot come.
    pub(crate) fn stop(&mut self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let was_up = self.is_up(instance, incarnation);
        if was_up {
            if let Some(peer) = self.peers.remove(instance) {
                peer.order(Order::Cut);
            }
        }
        was_up
    }

    /// No session came in place of `lost`; who is down, and why.
    pub(crate) fn give_up(
        &mut self,
        instance: &InstanceId,
        lost: &SessionId,
    ) -> Option<(Incarnation, DownReason)> {
        let why = match &self.peers.get(instance)?.link {
            Link::Reopening { lost: awaited, why } if awaited == lost => *why,
            _ => return None,
        };
        let peer = self.peers.remove(instance)?;
        Some((peer.info.incarnation, why))
    }

    /// Whether `instance` is reached by a session now.
    pub(crate) fn is_linked(&self, instance: &InstanceId) -> bool {
        self.session(instance).is_some()
    }

    /// Whether any peer is reached by a session now.
    pub(crate) fn any_linked(&self) -> bool {
        self.peers.values().any(|peer| peer.session().is_some())
    }

    /// Whether the owner counts this incarnation as up.
    pub(crate) fn is_up(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.peers
            .get(instance)
            .is_some_and(|peer| peer.info.incarnation == incarnation)
    }

    /// The session of `instance` that is to be reopened.
    pub(crate) fn lost(&self, instance: &InstanceId) -> Option<SessionId> {
        match &self.peers.get(instance)?.link {
            Link::Up(_) => None,
            Link::Reopening { lost, .. } => Some(lost.clone()),
        }
    }

    /// Session by which `instance` is reached.
    pub(crate) fn session(&self, instance: &InstanceId) -> Option<&Rc<Session>> {
        self.peers.get(instance)?.session()
    }

    /// Orders all sessions alike.
    pub(crate) fn order_all(&self, order: Order) {
        for peer in self.peers.values() {
            peer.order(order);
        }
    }

    /// Queue of `instance`, if it is up.
    pub(crate) fn outbox(&self, instance: &InstanceId) -> Option<&Rc<Outbox>> {
        self.peers.get(instance).map(|peer| &peer.outbox)
    }

    /// Notes a measured round trip.
    pub(crate) fn set_rtt(&mut self, instance: &InstanceId, rtt: Duration) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.info.rtt = rtt;
        }
    }

    /// Who `instance` is, if it is up.
    pub(crate) fn info(&self, instance: &InstanceId) -> Option<&PeerInfo> {
        self.peers.get(instance).map(|peer| &peer.info)
    }

    /// All that are up.
    pub(crate) fn infos(&self) -> Vec<PeerInfo> {
        self.peers.values().map(|peer| peer.info.clone()).collect()
    }
}

impl Peer {
    /// A further session to the incarnation that is up.
    fn join(&mut self, ours: &InstanceId, proven: &Proven, session: &Rc<Session>) -> News {
        let Some(present) = self.session().cloned() else {
            self.link = Link::Up(session.clone());
            return News::Reopened;
        };
        if !takes_place(ours, &present, proven) {
            session.order.send_replace(Order::Fade);
            return News::Duplicate;
        }
        present.order.send_replace(Order::Fade);
        self.link = Link::Up(session.clone());
        if reopens(&present, proven) {
            News::Reopened
        } else {
            News::Duplicate
        }
    }

    /// Session by which it is reached.
    fn session(&self) -> Option<&Rc<Session>> {
        match &self.link {
            Link::Up(session) => Some(session),
            Link::Reopening { .. } => None,
        }
    }

    /// Whether it is reached by `session`.
    fn is_by(&self, session: &Session) -> bool {
        self.session()
            .is_some_and(|present| present.id == session.id)
    }

    /// Orders its session, if it has one.
    fn order(&self, order: Order) {
        if let Some(session) = self.session() {
            session.order.send_replace(order);
        }
    }
}

/// Whether the other end found the present session silent before we did.
fn reopens(present: &Session, proven: &Proven) -> bool {
    proven.hello.reopens.as_ref() == Some(&present.id)
}

/// Whether a proven session of the same incarnation takes the place of the present one.
fn takes_place(ours: &InstanceId, present: &Session, proven: &Proven) -> bool {
    let dialled_by_smaller = match proven.side {
        Side::Dialler => *ours < proven.hello.instance,
        Side::Listener => proven.hello.instance < *ours,
    };
    let leaves = *present.order.borrow() != Order::Run;
    leaves || reopens(present, proven) || proven.side == present.side || dialled_by_smaller
}
