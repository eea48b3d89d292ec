//! The owner's handle.

use crate::{
    counters::Counters,
    event::{
        Events,
        PeerInfo, //
    },
    frame::Frame,
    key::Key, //
};
use base::{
    DomainId,
    Incarnation,
    InstanceId,
    RegionId, //
};
use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc,
    time::Duration, //
};

/// Who we are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Our instance.
    pub instance: InstanceId,
    /// Our life.
    pub incarnation: Incarnation,
    /// Our region.
    pub region: RegionId,
    /// Our failure domain.
    pub failure_domain: DomainId,
}

/// Someone to keep a session to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Partner {
    /// The instance; another one at the address is refused.
    pub instance: InstanceId,
    /// Where it listens for peers.
    pub addr: SocketAddr,
}

/// Limits and times of a mesh.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Between pings of one session.
    pub ping_interval: Duration,
    /// Wait for a pong before the session counts as silent.
    pub pong_timeout: Duration,
    /// Wait for connection, websocket and proof together.
    pub handshake_timeout: Duration,
    /// Wait for another session after one was lost, before the peer is down. For peers that dial
    /// us it has to cover their ping interval and pong timeout.
    pub reopen_timeout: Duration,
    /// First wait between dials that fail.
    pub backoff_min: Duration,
    /// Longest wait between dials that fail.
    pub backoff_max: Duration,
    /// Largest frame, in bytes, in both directions.
    pub max_frame_bytes: usize,
    /// Frames that may wait for one peer, configuration parts apart.
    pub queue_frames: usize,
    /// Configuration parts that may wait for one peer.
    pub queue_config_parts: usize,
    /// Frames that may wait for the owner.
    pub event_frames: usize,
    /// Handshakes that others may have under way with us at once.
    pub max_handshakes: usize,
    /// Seed of the jitter of backoff.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_millis(500),
            pong_timeout: Duration::from_millis(1500),
            handshake_timeout: Duration::from_millis(1500),
            reopen_timeout: Duration::from_millis(4000),
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_millis(3000),
            max_frame_bytes: 1 << 20,
            queue_frames: 256,
            queue_config_parts: 512,
            event_frames: 1024,
            max_handshakes: 64,
            seed: 0,
        }
    }
}

/// What became of a frame given to [`Mesh::send`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SendResult {
    /// It waits for its turn.
    Queued,
    /// It waits for its turn; the oldest waiting beat made room and is lost.
    DroppedBeat,
    /// The queue is full and holds no beat: not taken.
    Full,
    /// The instance is not up: not taken.
    NotConnected,
    /// Larger than a frame may be: not taken.
    TooLarge,
}

/// Sessions to other daemons; a cheap handle, for one thread.
///
/// Dropping the last handle cuts all connections at once, as the death of the process would;
/// [`Mesh::close`] is the graceful end.
#[derive(Clone, Debug)]
pub struct Mesh {}

impl Mesh {
    /// Listens on `listen`; to be called within a `LocalSet` or an actix system.
    ///
    /// # Errors
    ///
    /// The listener cannot be made non-blocking or registered with the runtime.
    pub fn start(
        listen: TcpListener,
        identity: Identity,
        key: Key,
        options: Options,
    ) -> std::io::Result<(Self, Events)> {
        let _ = (listen, identity, key, options);
        todo!()
    }

    /// Where we listen.
    pub fn local_addr(&self) -> SocketAddr {
        todo!()
    }

    /// Replaces the set of partners: new ones are dialled, sessions that we dialled to others are
    /// closed. Sessions that others dialled stay.
    pub fn set_partners(&self, partners: Vec<Partner>) {
        let _ = partners;
        todo!()
    }

    /// Queues `frame` for `to`; never blocks. A frame may still be lost with its connection.
    pub fn send(&self, to: &InstanceId, frame: Frame) -> SendResult {
        let _ = (to, frame);
        todo!()
    }

    /// Peers that are up, in order of their names.
    pub fn peers(&self) -> Vec<PeerInfo> {
        todo!()
    }

    /// What happened so far; may be read from any thread.
    pub fn counters(&self) -> Arc<Counters> {
        todo!()
    }

    /// Says goodbye to all, waits until what is queued is written, at most `timeout`, and ends.
    pub async fn close(self, timeout: Duration) {
        let _ = timeout;
        todo!()
    }
}
