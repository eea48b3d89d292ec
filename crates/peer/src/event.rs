//! What a [`crate::Mesh`] tells its owner.

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

/// A proven peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerInfo {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Round trip as last measured.
    pub rtt: Duration,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The first session to this incarnation stands.
    Up(PeerInfo),
    /// A further session took the place of one that was lost; frames that were on their way in the
    /// lost one are lost too.
    Reopened(PeerInfo),
    /// A frame of an instance that is up.
    Frame {
        /// Sender.
        from: InstanceId,
        /// Sender's life, as proven.
        incarnation: Incarnation,
        /// The frame; never a hello, proof or goodbye.
        frame: Frame,
    },
    /// No session is left and none could be opened in time.
    Down {
        /// The instance.
        instance: InstanceId,
        /// The life that was up.
        incarnation: Incarnation,
        /// Why.
        why: DownReason,
    },
    /// Someone who could not prove to be a peer; nothing changed. Under a flood some are only
    /// counted.
    Stranger {
        /// The other end.
        addr: SocketAddr,
        /// Why it was refused.
        why: Refusal,
    },
}

/// Why a peer is down.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DownReason {
    /// It said that its process stops.
    Stopping,
    /// It said that it keeps no session to us.
    Unwanted,
    /// It is no longer among our partners.
    Dropped,
    /// Its connections went silent and none could be reopened in time.
    Silent,
    /// Its connections broke and none could be reopened.
    Lost,
    /// A higher incarnation took its place.
    Restarted,
}

/// An event and its place among the frames not yet taken.
pub(crate) struct Queued {
    /// The event.
    pub(crate) event: Event,
    /// Given back when the owner takes the event.
    pub(crate) permit: Option<OwnedSemaphorePermit>,
}

/// Events of one mesh, in order.
///
/// When the owner is slow, sessions stop reading once [`crate::Options::event_bytes`] of frames wait
/// here: memory stays bounded, and the peers' own queues fill and drop their oldest beats.
#[derive(Debug)]
pub struct Events {
    /// What the sessions put in.
    pub(crate) queue: UnboundedReceiver<Queued>,
}

impl Events {
    /// Next event; `None` once the mesh has closed. Safe to cancel.
    pub async fn recv(&mut self) -> Option<Event> {
        self.queue.recv().await.map(Queued::take)
    }
}

impl Stream for Events {
    type Item = Event;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Event>> {
        self.queue
            .poll_recv(cx)
            .map(|queued| queued.map(Queued::take))
    }
}

impl Queued {
    /// The event; frees its place.
    fn take(self) -> Event {
        drop(self.permit);
        self.event
    }
}

impl std::fmt::Debug for Queued {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.event.fmt(f)
    }
}
