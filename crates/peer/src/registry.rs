//! Peers that are up and the sessions that connect them.
//!
//! A peer has at most one session that writes. When a second session is authenticated, it either
//! replaces the current one or is closed as a duplicate. Both ends apply the same rules to the same
//! facts, so that they never keep different sessions:
//!
//! 1. A higher incarnation replaces a lower one; a lower one is refused.
//! 2. A session replaces one that is saying goodbye or that it names as lost.
//! 3. A session dialled by the same end as the current one replaces it.
//! 4. Otherwise the session dialled by the smaller instance id stays.
//!
//! Both ends see the same order, because the listener registers a session before it sends its proof
//! and the dialler after it has verified that proof: when either end has two authenticated
//! sessions, the other end has already registered the earlier one.

use crate::{
    event::{
        DownReason,
        PeerInfo, //
    },
    frame::GoodbyeReason,
    handshake::{
        AuthenticatedPeer,
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

/// Command from the registry to a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SessionCommand {
    /// Transfer frames.
    Run,
    /// Stop writing but read to the end: another session has replaced this one.
    StopWriting,
    /// Write the queued frames, send a goodbye and end.
    Goodbye(GoodbyeReason),
    /// End immediately.
    Abort,
}

/// The registry's handle to one session.
pub(crate) struct Session {
    /// Session id, the same at both ends.
    pub(crate) id: SessionId,
    /// The local end's side.
    pub(crate) side: Side,
    /// Current command.
    pub(crate) command: watch::Sender<SessionCommand>,
}

/// Connection state of a peer.
enum Link {
    /// Connected by this session.
    Connected(Rc<Session>),
    /// Not connected; another session may replace the lost one in time.
    Reopening {
        /// The session that was lost.
        lost: SessionId,
        /// Reason to report if no session replaces it.
        reason: DownReason,
    },
}

/// A peer that has been reported to the owner as up.
struct Peer {
    /// Its identity and last measured round trip.
    info: PeerInfo,
    /// Its connection state.
    link: Link,
    /// Frames queued for it.
    outbox: Rc<Outbox>,
}

/// Registration of an authenticated session.
pub(crate) struct Admission {
    /// The registry's handle to the session.
    pub(crate) session: Rc<Session>,
    /// The peer's queue.
    pub(crate) outbox: Rc<Outbox>,
    /// Effect on the peer's state.
    pub(crate) outcome: AdmissionOutcome,
}

/// Effect of an admission on the peer's state, as reported to the owner.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum AdmissionOutcome {
    /// The peer was not up.
    Up,
    /// The peer restarted; holds the old incarnation.
    Restarted(Incarnation),
    /// A lost session was replaced.
    Reopened,
    /// There already was a session, which either was replaced or stays.
    Duplicate,
}

/// All peers that are up.
pub(crate) struct Registry {
    /// Local instance.
    local_instance: InstanceId,
    /// Peers by instance id, so that the iteration order is deterministic.
    peers: BTreeMap<InstanceId, Peer>,
}

impl Registry {
    /// Registry without peers.
    pub(crate) fn new(local_instance: InstanceId) -> Self {
        Self {
            local_instance,
            peers: BTreeMap::new(),
        }
    }

    /// Registers an authenticated session.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stale`] for a lower incarnation than the one that is up.
    pub(crate) fn admit(
        &mut self,
        remote: &AuthenticatedPeer,
        rtt: Duration,
        options: &Options,
    ) -> Result<Admission, Refusal> {
        let session = Rc::new(Session {
            id: remote.id.clone(),
            side: remote.side,
            command: watch::Sender::new(SessionCommand::Run),
        });
        let info = PeerInfo {
            instance: remote.hello.instance.clone(),
            incarnation: remote.hello.incarnation,
            region: remote.hello.region.clone(),
            failure_domain: remote.hello.failure_domain.clone(),
            rtt,
        };
        let local_instance = self.local_instance.clone();
        let outcome = match self.peers.get_mut(&info.instance) {
            None => AdmissionOutcome::Up,
            Some(peer) if info.incarnation < peer.info.incarnation => return Err(Refusal::Stale),
            Some(peer) if info.incarnation > peer.info.incarnation => {
                peer.send_command(SessionCommand::Abort);
                AdmissionOutcome::Restarted(peer.info.incarnation)
            }
            Some(peer) => {
                let outcome = peer.add_session(&local_instance, remote, &session);
                return Ok(Admission {
                    session,
                    outbox: peer.outbox.clone(),
                    outcome,
                });
            }
        };
        let outbox = Rc::new(Outbox::new(options));
        let peer = Peer {
            info: info.clone(),
            link: Link::Connected(session.clone()),
            outbox: outbox.clone(),
        };
        self.peers.insert(info.instance, peer);
        Ok(Admission {
            session,
            outbox,
            outcome,
        })
    }

    /// Marks a session as lost; returns whether the peer is now waiting for another one.
    pub(crate) fn mark_lost(
        &mut self,
        instance: &InstanceId,
        session: &Session,
        reason: DownReason,
    ) -> bool {
        match self.peers.get_mut(instance) {
            Some(peer) if peer.is_connected_by(session) => {
                peer.link = Link::Reopening {
                    lost: session.id.clone(),
                    reason,
                };
                true
            }
            _ => false,
        }
    }

    /// Removes the peer if it is connected by this session, which has ended for good; returns the
    /// incarnation that is down.
    pub(crate) fn end_session(
        &mut self,
        instance: &InstanceId,
        session: &Session,
    ) -> Option<Incarnation> {
        if !self.peers.get(instance)?.is_connected_by(session) {
            return None;
        }
        self.peers
            .remove(instance)
            .map(|peer| peer.info.incarnation)
    }

    /// Removes an incarnation that is stopping; returns whether it was up.
    ///
    /// The goodbye may arrive on a session that is being closed as a duplicate, while the remote
    /// end of the session that stays is already gone because the stop interrupted its dial. The
    /// goodbye therefore counts on any session: otherwise the peer would wait for a reopening that
    /// cannot happen.
    pub(crate) fn remove_stopped(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> bool {
        let was_up = self.is_up(instance, incarnation);
        if was_up {
            if let Some(peer) = self.peers.remove(instance) {
                peer.send_command(SessionCommand::Abort);
            }
        }
        was_up
    }

    /// Removes the peer if `lost` was not replaced; returns its incarnation and the reason.
    pub(crate) fn abandon_reopening(
        &mut self,
        instance: &InstanceId,
        lost: &SessionId,
    ) -> Option<(Incarnation, DownReason)> {
        let reason = match &self.peers.get(instance)?.link {
            Link::Reopening {
                lost: pending,
                reason,
            } if pending == lost => *reason,
            _ => return None,
        };
        let peer = self.peers.remove(instance)?;
        Some((peer.info.incarnation, reason))
    }

    /// Whether `instance` is currently connected by a session.
    pub(crate) fn is_connected(&self, instance: &InstanceId) -> bool {
        self.session(instance).is_some()
    }

    /// Whether any peer is currently connected by a session.
    pub(crate) fn any_connected(&self) -> bool {
        self.peers.values().any(|peer| peer.session().is_some())
    }

    /// Whether this incarnation is up.
    pub(crate) fn is_up(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.peers
            .get(instance)
            .is_some_and(|peer| peer.info.incarnation == incarnation)
    }

    /// The lost session of `instance` that is waiting to be replaced.
    pub(crate) fn lost_session(&self, instance: &InstanceId) -> Option<SessionId> {
        match &self.peers.get(instance)?.link {
            Link::Connected(_) => None,
            Link::Reopening { lost, .. } => Some(lost.clone()),
        }
    }

    /// Session that connects `instance`.
    pub(crate) fn session(&self, instance: &InstanceId) -> Option<&Rc<Session>> {
        self.peers.get(instance)?.session()
    }

    /// Sends a command to all sessions.
    pub(crate) fn command_all(&self, command: SessionCommand) {
        for peer in self.peers.values() {
            peer.send_command(command);
        }
    }

    /// Queue of `instance`, if it is up.
    pub(crate) fn outbox(&self, instance: &InstanceId) -> Option<&Rc<Outbox>> {
        self.peers.get(instance).map(|peer| &peer.outbox)
    }

    /// Records a measured round trip.
    pub(crate) fn set_rtt(&mut self, instance: &InstanceId, rtt: Duration) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.info.rtt = rtt;
        }
    }

    /// Information about `instance`, if it is up.
    pub(crate) fn peer_info(&self, instance: &InstanceId) -> Option<&PeerInfo> {
        self.peers.get(instance).map(|peer| &peer.info)
    }

    /// Information about all peers that are up.
    pub(crate) fn peer_infos(&self) -> Vec<PeerInfo> {
        self.peers.values().map(|peer| peer.info.clone()).collect()
    }
}

impl Peer {
    /// Registers another session to the incarnation that is up.
    fn add_session(
        &mut self,
        local_instance: &InstanceId,
        remote: &AuthenticatedPeer,
        session: &Rc<Session>,
    ) -> AdmissionOutcome {
        let Some(current) = self.session().cloned() else {
            self.link = Link::Connected(session.clone());
            return AdmissionOutcome::Reopened;
        };
        if !replaces_current(local_instance, &current, remote) {
            session.command.send_replace(SessionCommand::StopWriting);
            return AdmissionOutcome::Duplicate;
        }
        current.command.send_replace(SessionCommand::StopWriting);
        self.link = Link::Connected(session.clone());
        if reopens_current(&current, remote) {
            AdmissionOutcome::Reopened
        } else {
            AdmissionOutcome::Duplicate
        }
    }

    /// Session that connects it.
    fn session(&self) -> Option<&Rc<Session>> {
        match &self.link {
            Link::Connected(session) => Some(session),
            Link::Reopening { .. } => None,
        }
    }

    /// Whether it is connected by `session`.
    fn is_connected_by(&self, session: &Session) -> bool {
        self.session()
            .is_some_and(|current| current.id == session.id)
    }

    /// Sends a command to its session, if it has one.
    fn send_command(&self, command: SessionCommand) {
        if let Some(session) = self.session() {
            session.command.send_replace(command);
        }
    }
}

/// Whether the remote end already knows that the current session is lost.
fn reopens_current(current: &Session, remote: &AuthenticatedPeer) -> bool {
    remote.hello.reopens.as_ref() == Some(&current.id)
}

/// Whether a new session to the same incarnation replaces the current one.
fn replaces_current(
    local_instance: &InstanceId,
    current: &Session,
    remote: &AuthenticatedPeer,
) -> bool {
    let dialled_by_smaller = match remote.side {
        Side::Dialler => *local_instance < remote.hello.instance,
        Side::Listener => remote.hello.instance < *local_instance,
    };
    let is_ending = *current.command.borrow() != SessionCommand::Run;
    is_ending
        || reopens_current(current, remote)
        || remote.side == current.side
        || dialled_by_smaller
}
