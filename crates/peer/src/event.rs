//! Events of a [`crate::Mesh`] for its owner.

use crate::{
    frame::Frame,
    refusal::Refusal, //
};
use base::{
    DomainId,
    Incarnation,
    InstanceId,
    RegionId, //
};
use futures_util::Stream;
use std::{
    net::SocketAddr,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};
use tokio::sync::{
    mpsc::UnboundedReceiver,
    OwnedSemaphorePermit, //
};

/// An authenticated peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Last measured round-trip time.
    pub rtt: Duration,
}

/// Event of a mesh.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The first session to this incarnation was established.
    Up(PeerInfo),
    /// Another session replaced one that was lost; frames in flight on the lost one are lost too.
    Reopened(PeerInfo),
    /// A frame from an instance that is up.
    Frame {
        /// Sender.
        from: InstanceId,
        /// Sender's incarnation, as authenticated.
        incarnation: Incarnation,
        /// The frame; never a hello, proof or goodbye.
        frame: Frame,
    },
    /// No session is left and none could be opened in time.
    Down {
        /// The instance.
        instance: InstanceId,
        /// The incarnation that was up.
        incarnation: Incarnation,
        /// Why the peer is down.
        reason: DownReason,
    },
    /// A connection was refused before it was authenticated; the set of peers did not change. Under
    /// a flood of such connections some are only counted.
    Refused {
        /// Address of the remote end.
        addr: SocketAddr,
        /// Why it was refused.
        reason: Refusal,
    },
}

/// Why a peer is down.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DownReason {
    /// It announced that its process is stopping.
    Stopping,
    /// It announced that this instance is not among its partners.
    Unwanted,
    /// It is no longer among this instance's partners.
    Dropped,
    /// Its connection stopped answering pings and none could be reopened in time.
    Silent,
    /// Its connection broke and none could be reopened.
    Lost,
    /// A higher incarnation replaced it.
    Restarted,
}

/// An event, with its share of the budget for undelivered frames.
pub(crate) struct QueuedEvent {
    /// The event.
    pub(crate) event: Event,
    /// Released when the owner takes the event.
    pub(crate) permit: Option<OwnedSemaphorePermit>,
}

/// Events of one mesh, in order.
///
/// When the owner is slow, sessions stop reading once [`crate::Options::event_bytes`] of frames are
/// queued here: memory stays bounded, and the peers' own queues fill and drop their oldest
/// heartbeats.
#[derive(Debug)]
pub struct Events {
    /// Events sent by the sessions.
    pub(crate) queue: UnboundedReceiver<QueuedEvent>,
}

impl Events {
    /// Next event; `None` once the mesh has closed. Cancel-safe.
    pub async fn recv(&mut self) -> Option<Event> {
        self.queue.recv().await.map(QueuedEvent::into_event)
    }
}

impl Stream for Events {
    type Item = Event;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Event>> {
        self.queue
            .poll_recv(cx)
            .map(|queued| queued.map(QueuedEvent::into_event))
    }
}

impl QueuedEvent {
    /// Returns the event and releases its permit.
    fn into_event(self) -> Event {
        drop(self.permit);
        self.event
    }
}

impl std::fmt::Debug for QueuedEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.event.fmt(f)
    }
}
