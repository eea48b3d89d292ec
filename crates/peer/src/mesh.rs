//! The owner's handle.

use crate::{
    accept::accept,
    counters::Counters,
    dial::keep,
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
    registry::Order,
    shared::{
        Kept,
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
    /// Bytes of frames that may wait for the owner.
    pub event_bytes: u32,
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
            event_bytes: 8 << 20,
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
#[derive(Clone)]
pub struct Mesh(Rc<Guard>);

/// Ends the tasks of a mesh when its last handle goes.
struct Guard(Rc<Shared>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.phase.send_replace(Phase::Ended);
    }
}

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
    ) -> io::Result<(Self, Events)> {
        listen.set_nonblocking(true)?;
        let local_addr = listen.local_addr()?;
        let listener = tokio::net::TcpListener::from_std(listen)?;
        let (sender, queue) = unbounded_channel();
        let shared = Rc::new(Shared::new(identity, key, options, local_addr, sender));
        shared.spawn(accept(shared.clone(), listener));
        Ok((Self(Rc::new(Guard(shared))), Events { queue }))
    }

    /// Where we listen.
    pub fn local_addr(&self) -> SocketAddr {
        self.shared().local_addr
    }

    /// Replaces the set of partners: new ones are dialled, sessions that we dialled to others are
    /// closed. Sessions that others dialled stay, and a partner whose address alone changed keeps
    /// its session. Ourselves among the partners is passed over.
    pub fn set_partners(&self, partners: Vec<Partner>) {
        let shared = self.shared();
        let mut wanted: BTreeMap<_, _> = partners
            .into_iter()
            .filter(|partner| partner.instance != shared.identity.instance)
            .map(|partner| (partner.instance, partner.addr))
            .collect();
        let mut kept = shared.partners.borrow_mut();
        kept.retain(|instance, present| {
            let stays = wanted.get(instance) == Some(&present.addr);
            if stays {
                wanted.remove(instance);
            } else {
                present.wanted.send_replace(false);
            }
            if !stays && !wanted.contains_key(instance) {
                self.leave(instance);
            }
            stays
        });
        for (instance, addr) in wanted {
            kept.insert(instance.clone(), self.keep(Partner { instance, addr }));
        }
    }

    /// Begins to dial `partner`.
    fn keep(&self, partner: Partner) -> Kept {
        let shared = self.shared();
        let addr = partner.addr;
        let wanted = watch::Sender::new(true);
        shared.spawn(keep(shared.clone(), partner, wanted.subscribe()));
        Kept { addr, wanted }
    }

    /// Closes the session to `instance` if we dialled it.
    fn leave(&self, instance: &InstanceId) {
        let registry = self.shared().registry.borrow();
        if let Some(session) = registry.session(instance) {
            if session.side == Side::Dialler {
                let goodbye = Order::Goodbye(GoodbyeReason::Unwanted);
                session.order.send_replace(goodbye);
            }
        }
    }

    /// Queues `frame` for `to`; never blocks. A frame may still be lost with its connection.
    ///
    /// Frames arrive in order, but for configuration parts, which let all others pass. A hello,
    /// proof or goodbye is not the owner's to send: such a frame closes the session.
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

    /// Peers that are up, in order of their names.
    pub fn peers(&self) -> Vec<PeerInfo> {
        self.shared().registry.borrow().infos()
    }

    /// What happened so far; may be read from any thread.
    pub fn counters(&self) -> Arc<Counters> {
        self.shared().counters.clone()
    }

    /// Says goodbye to all, waits until what is queued is written, at most `timeout`, and ends.
    pub async fn close(self, timeout: Duration) {
        let shared = self.shared();
        shared.phase.send_replace(Phase::Closing);
        let goodbye = Order::Goodbye(GoodbyeReason::Stopping);
        shared.registry.borrow().order_all(goodbye);
        let ended = shared.until(|registry| !registry.any_linked());
        // Whoever does not answer in time sees the connection close.
        let _ = tokio::time::timeout(timeout, ended).await;
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
