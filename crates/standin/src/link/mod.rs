//! TCP relays that simulate network links, with latency, limited bandwidth and faults.
//!
//! The delay models propagation time, not bandwidth: each chunk read is queued with its arrival
//! time, so the delay doesn't limit throughput until the queue of a connection is full. The
//! bandwidth, `bytes_per_s`, is shared by all connections per direction.
//!
//! Faults select connections by epoch. Each fault starts a new epoch, and each connection stores
//! the epoch in which it was accepted. Connections of epochs before a watermark are permanently
//! silent or closed. A connection therefore never misses a fault, even if another follows at once.

use crate::lock;
use actix_web::{
    dev::Server,
    web,
    App,
    HttpResponse,
    HttpServer, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    str::FromStr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::sleep, //
};

mod connection;

/// Delay before accepting or binding is retried after an error.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Configuration of a relay; on the command line
/// `name=…,from=…,to=…[,delay_us=…][,bytes_per_s=…]`.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name for faults and counters.
    pub name: String,
    /// Address to listen on; port 0 selects a free port.
    pub from: String,
    /// Address to connect to.
    pub to: String,
    /// Propagation delay of each direction.
    pub delay: Duration,
    /// Bandwidth of each direction; 0 for no limit.
    pub bytes_per_s: u64,
}

/// Kind of fault of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// No fault.
    None,
    /// Connections close, and new ones are refused.
    Cut,
    /// Existing connections become permanently silent; new ones work.
    SilentOld,
    /// Existing and new connections become permanently silent.
    Blackhole,
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Name of the relay.
    pub name: String,
    /// Kind of fault.
    pub kind: FaultKind,
}

/// Traffic counters of a relay; `GET /counters` returns them by relay name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes relayed towards `to`.
    pub forward_bytes: u64,
    /// Bytes relayed back from `to`.
    pub back_bytes: u64,
    /// Bytes discarded on silent connections.
    pub swallowed_bytes: u64,
}

/// A TCP relay.
#[derive(Debug)]
pub struct Relay {
    /// Configuration.
    spec: Spec,
    /// Listening address.
    addr: SocketAddr,
    /// Fault state, watched by the connections.
    state: watch::Sender<FaultState>,
    /// Connections accepted.
    connections: AtomicU64,
    /// The two directions: towards `to`, and back.
    directions: [Direction; 2],
    /// Bytes discarded on silent connections.
    discarded_bytes: AtomicU64,
}

/// Fault of a relay and the connections that it affects.
#[derive(Clone, Copy, Debug)]
struct FaultState {
    /// Kind of the current fault.
    kind: FaultKind,
    /// Number of faults set so far.
    epoch: u64,
    /// Connections of earlier epochs are silent.
    silent_before: u64,
    /// Connections of earlier epochs are closed.
    closed_before: u64,
}

/// One direction of a relay.
#[derive(Debug)]
struct Direction {
    /// Bytes relayed.
    bytes: AtomicU64,
    /// Time at which the data queued so far has been sent at the configured bandwidth.
    idle_at: Mutex<Instant>,
}

impl Relay {
    /// Starts a relay that runs on the current runtime until that shuts down.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(spec: Spec) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(&spec.from).await?;
        let direction = || Direction {
            bytes: AtomicU64::new(0),
            idle_at: Mutex::new(Instant::now()),
        };
        let relay = Arc::new(Self {
            addr: listener.local_addr()?,
            spec,
            state: watch::Sender::new(FaultState {
                kind: FaultKind::None,
                epoch: 0,
                silent_before: 0,
                closed_before: 0,
            }),
            connections: AtomicU64::new(0),
            directions: [direction(), direction()],
            discarded_bytes: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&relay).accept(listener));
        Ok(relay)
    }

    /// Returns the relay's name.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, kind: FaultKind) {
        self.state.send_modify(|state| {
            state.kind = kind;
            state.epoch += 1;
            match kind {
                FaultKind::None => {}
                FaultKind::Cut => state.closed_before = state.epoch,
                FaultKind::SilentOld | FaultKind::Blackhole => state.silent_before = state.epoch,
            }
        });
    }

    /// Returns the traffic counters.
    pub fn counters(&self) -> Counters {
        let [forward, back] = &self.directions;
        Counters {
            connections: self.connections.load(Ordering::Relaxed),
            forward_bytes: forward.bytes.load(Ordering::Relaxed),
            back_bytes: back.bytes.load(Ordering::Relaxed),
            swallowed_bytes: self.discarded_bytes.load(Ordering::Relaxed),
        }
    }

    /// Accepts connections except while the link is cut.
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut watcher = self.state.subscribe();
        loop {
            let cut = watcher.borrow_and_update().kind == FaultKind::Cut;
            match (&listener, cut) {
                (Some(open), false) => tokio::select! {
                    accepted = open.accept() => match accepted {
                        Ok((stream, _)) => {
                            tokio::spawn(connection::relay_connection(Arc::clone(&self), stream));
                        }
                        Err(_) => sleep(RETRY_DELAY).await,
                    },
                    _ = watcher.changed() => {}
                },
                (None, false) => {
                    listener = TcpListener::bind(self.addr).await.ok();
                    if listener.is_none() {
                        sleep(RETRY_DELAY).await;
                    }
                }
                (_, true) => {
                    // The kernel refuses connections only once the listener is closed.
                    listener = None;
                    if watcher.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

impl FromStr for Spec {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let mut spec = Self {
            name: "link".to_owned(),
            from: "127.0.0.1:0".to_owned(),
            to: String::new(),
            delay: Duration::ZERO,
            bytes_per_s: 0,
        };
        for field in text.split(',') {
            match field.split_once('=') {
                Some(("name", value)) => spec.name = value.to_owned(),
                Some(("from", value)) => spec.from = value.to_owned(),
                Some(("to", value)) => spec.to = value.to_owned(),
                Some(("delay_us", value)) => spec.delay = Duration::from_micros(value.parse()?),
                Some(("bytes_per_s", value)) => spec.bytes_per_s = value.parse()?,
                _ => eyre::bail!("invalid field `{field}` in relay `{text}`"),
            }
        }
        eyre::ensure!(!spec.to.is_empty(), "relay `{text}` has no `to` address");
        Ok(spec)
    }
}

/// The relays, shared by the handlers.
type Relays = web::Data<Vec<Arc<Relay>>>;

/// Serves `POST /fault` and `GET /counters` for these relays, on a thread of its own.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn control(listener: std::net::TcpListener, relays: Vec<Arc<Relay>>) -> io::Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(relays.clone()))
            .route("/fault", web::post().to(fault))
            .route("/counters", web::get().to(counters))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Handles `POST /fault`.
async fn fault(relays: Relays, fault: web::Json<Fault>) -> HttpResponse {
    match relays.iter().find(|relay| relay.name() == fault.name) {
        Some(relay) => {
            relay.set_fault(fault.kind);
            HttpResponse::Ok().finish()
        }
        None => HttpResponse::NotFound().body("no such relay"),
    }
}

/// Handles `GET /counters`.
async fn counters(relays: Relays) -> HttpResponse {
    let counters: BTreeMap<_, _> = relays.iter().map(|r| (r.name(), r.counters())).collect();
    HttpResponse::Ok().json(counters)
}

impl Direction {
    /// Returns the time at which a chunk read now arrives at the other end of the link.
    fn arrival_time(&self, spec: &Spec, len: usize) -> Instant {
        let now = Instant::now();
        if spec.bytes_per_s == 0 {
            return now + spec.delay;
        }
        // Chunk lengths and realistic bandwidths are far below 2^52, so the conversions are exact.
        let transmission_time = Duration::from_secs_f64(len as f64 / spec.bytes_per_s as f64);
        let mut idle_at = lock(&self.idle_at);
        *idle_at = now.max(*idle_at) + transmission_time;
        *idle_at + spec.delay
    }
}

impl FaultState {
    /// Returns whether connections of this epoch are silent.
    fn silences(&self, epoch: u64) -> bool {
        epoch < self.silent_before
    }

    /// Returns whether connections of this epoch are closed.
    fn closes(&self, epoch: u64) -> bool {
        epoch < self.closed_before
    }
}
