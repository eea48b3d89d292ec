//! Public handle of a mesh.

use crate::{
    accept::accept_loop,
    counters::Counters,
    dial::maintain_session,
    event::{
        Events,
        PeerInfo, //
    },
    frame::{
        Frame,
        GoodbyeReason, //
    },
    handshake::Side,
    key::Key,
    registry::SessionCommand,
    shared::{
        DialledPartner,
        Phase,
        Shared, //
    }, //
};
use base::{
    DomainId,
    Incarnation,
    InstanceId,
    RegionId, //
};
use std::{
    collections::BTreeMap,
    fmt,
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::sync::{
    mpsc::unbounded_channel,
    watch, //
};

/// Identity of the local instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Local instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
}

/// An instance to maintain a session to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Partner {
    /// The instance; any other one at the address is refused.
    pub instance: InstanceId,
    /// Address at which it listens for peers.
    pub addr: SocketAddr,
}

/// Limits and timeouts of a mesh.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Time between pings of one session.
    pub ping_interval: Duration,
    /// Time without a pong after which a session counts as silent.
    pub pong_timeout: Duration,
    /// Time limit for TCP connection, WebSocket handshake and authentication together.
    pub handshake_timeout: Duration,
    /// Time after a lost session within which another one has to replace it, before the peer is
    /// down. For peers that dial the local instance it has to cover their ping interval and pong
    /// timeout.
    pub reopen_timeout: Duration,
    /// Initial delay between failed dials.
    pub backoff_min: Duration,
    /// Maximum delay between failed dials.
    pub backoff_max: Duration,
    /// Largest frame, in bytes, in both directions.
    pub max_frame_bytes: usize,
    /// Maximum number of frames queued for one peer, excluding configuration parts.
    pub queue_frames: usize,
    /// Maximum number of configuration parts queued for one peer.
    pub queue_config_parts: usize,
    /// Maximum size of the frames queued for the owner, in bytes.
    pub event_bytes: u32,
    /// Maximum number of concurrent incoming handshakes.
    pub max_handshakes: usize,
    /// Seed of the backoff jitter.
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
            event_bytes: 8 << 20,
            max_handshakes: 64,
            seed: 0,
        }
    }
}

/// Result of [`Mesh::send`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SendResult {
    /// The frame was queued.
    Queued,
    /// The frame was queued; the oldest queued heartbeat was dropped to make room.
    DroppedBeat,
    /// The frame was rejected: the queue is full and holds no heartbeat.
    Full,
    /// The frame was rejected: the instance is not up.
    NotConnected,
    /// The frame was rejected: it exceeds the size limit.
    TooLarge,
}

/// Sessions to other daemons; a cheaply cloned handle for one thread.
///
/// Dropping the last handle closes all connections immediately, as a crash of the process would;
/// [`Mesh::close`] shuts down gracefully.
#[derive(Clone)]
pub struct Mesh(Rc<ShutdownGuard>);

/// Ends the tasks of a mesh when its last handle is dropped.
struct ShutdownGuard(Rc<Shared>);

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        self.0.phase.send_replace(Phase::Ended);
    }
}

impl Mesh {
    /// Starts a mesh that accepts connections on `listen`. Must be called within a `LocalSet` or an
    /// actix system.
    ///
    /// # Errors
    ///
    /// The listener cannot be made non-blocking or registered with the runtime.
    pub fn start(
        listen: TcpListener,
        identity: Identity,
        key: Key,
        options: Options,
    ) -> io::Result<(Self, Events)> {
        listen.set_nonblocking(true)?;
        let local_addr = listen.local_addr()?;
        let listener = tokio::net::TcpListener::from_std(listen)?;
        let (sender, queue) = unbounded_channel();
        let shared = Rc::new(Shared::new(identity, key, options, local_addr, sender));
        shared.spawn(accept_loop(shared.clone(), listener));
        Ok((Self(Rc::new(ShutdownGuard(shared))), Events { queue }))
    }

    /// Address at which the mesh listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.shared().local_addr
    }

    /// Replaces the set of partners: new ones are dialled, and sessions dialled to instances that
    /// are no longer partners are closed. Sessions dialled by the remote end stay, and a partner of
    /// which only the address changed keeps its session. The local instance is ignored in the set.
    pub fn set_partners(&self, partners: Vec<Partner>) {
        let shared = self.shared();
        let mut wanted: BTreeMap<_, _> = partners
            .into_iter()
            .filter(|partner| partner.instance != shared.identity.instance)
            .map(|partner| (partner.instance, partner.addr))
            .collect();
        let mut current = shared.partners.borrow_mut();
        current.retain(|instance, dialled| {
            let unchanged = wanted.get(instance) == Some(&dialled.addr);
            if unchanged {
                wanted.remove(instance);
            } else {
                dialled.wanted.send_replace(false);
            }
            if !unchanged && !wanted.contains_key(instance) {
                self.close_dialled_session(instance);
            }
            unchanged
        });
        for (instance, addr) in wanted {
            current.insert(
                instance.clone(),
                self.start_dialling(Partner { instance, addr }),
            );
        }
    }

    /// Starts the task that dials `partner`.
    fn start_dialling(&self, partner: Partner) -> DialledPartner {
        let shared = self.shared();
        let addr = partner.addr;
        let wanted = watch::Sender::new(true);
        shared.spawn(maintain_session(
            shared.clone(),
            partner,
            wanted.subscribe(),
        ));
        DialledPartner { addr, wanted }
    }

    /// Closes the session to `instance` if the local end dialled it.
    fn close_dialled_session(&self, instance: &InstanceId) {
        let registry = self.shared().registry.borrow();
        if let Some(session) = registry.session(instance) {
            if session.side == Side::Dialler {
                let goodbye = SessionCommand::Goodbye(GoodbyeReason::Unwanted);
                session.command.send_replace(goodbye);
            }
        }
    }

    /// Queues `frame` for `to`; never blocks. A queued frame may still be lost with its connection.
    ///
    /// Frames arrive in order, except that configuration parts yield to all other frames. The
    /// owner must not send a hello, proof or goodbye: such a frame closes the session.
    pub fn send(&self, to: &InstanceId, frame: Frame) -> SendResult {
        let shared = self.shared();
        let outbox = shared.registry.borrow().outbox(to).cloned();
        let result = outbox.map_or(SendResult::NotConnected, |outbox| outbox.push(frame));
        match result {
            SendResult::DroppedBeat => shared.counters.dropped_beats.increment(),
            SendResult::Full => shared.counters.refused_frames.increment(),
            _ => {}
        }
        result
    }

    /// Peers that are up, ordered by instance id.
    pub fn peers(&self) -> Vec<PeerInfo> {
        self.shared().registry.borrow().peer_infos()
    }

    /// Counters of this mesh, readable from any thread.
    pub fn counters(&self) -> Arc<Counters> {
        self.shared().counters.clone()
    }

    /// Sends a goodbye to all peers, waits at most `timeout` for the queues to be written, and ends
    /// the mesh.
    pub async fn close(self, timeout: Duration) {
        let shared = self.shared();
        shared.phase.send_replace(Phase::Closing);
        let goodbye = SessionCommand::Goodbye(GoodbyeReason::Stopping);
        shared.registry.borrow().command_all(goodbye);
        let disconnected = shared.wait_until(|registry| !registry.any_connected());
        // A peer that does not respond in time sees its connection close.
        let _ = tokio::time::timeout(timeout, disconnected).await;
        shared.phase.send_replace(Phase::Ended);
    }

    /// State of the mesh.
    fn shared(&self) -> &Rc<Shared> {
        &self.0 .0
    }
}

impl fmt::Debug for Mesh {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mesh")
            .field("identity", &self.shared().identity)
            .field("local_addr", &self.local_addr())
            .finish_non_exhaustive()
    }
}
