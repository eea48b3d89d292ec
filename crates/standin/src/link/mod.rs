//! Links: TCP relays that delay, cut and go silent.
//!
//! The delay is that of a long line, not of a slow one: what is read is queued with the time when
//! it is due, so any number of chunks is on its way at once. `bytes_per_s` is the line's width,
//! shared by all connections of one direction.
//!
//! A fault finds its connections by watermarks: each fault begins a new epoch, each connection
//! remembers the epoch in which it was made, and those made before a watermark are silent, or
//! closed, for good. So no fault is missed, however soon another follows.

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

mod pump;

/// Pause before the address of a cut relay is tried again.
const RETRY: Duration = Duration::from_millis(10);

/// One relay; on the command line `name=…,from=…,to=…[,delay_us=…][,bytes_per_s=…]`.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name for faults and counters.
    pub name: String,
    /// Address to listen on; port 0 takes a free one.
    pub from: String,
    /// Address to connect to.
    pub to: String,
    /// Delay of each direction.
    pub delay: Duration,
    /// Width of each direction; 0 for no limit.
    pub bytes_per_s: u64,
}

/// What goes wrong on a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Nothing.
    None,
    /// Connections close, and new ones are refused.
    Cut,
    /// Connections made before go silent for good; new ones work.
    SilentOld,
    /// Connections go silent for good, and so do new ones.
    Blackhole,
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Name of the relay.
    pub name: String,
    /// What goes wrong.
    pub kind: Kind,
}

/// What a relay carried; the values of `GET /counters`, by name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes passed on towards `to`.
    pub forward_bytes: u64,
    /// Bytes passed on back.
    pub back_bytes: u64,
    /// Bytes swallowed.
    pub swallowed_bytes: u64,
}

/// One relay.
#[derive(Debug)]
pub struct Relay {
    /// What it is.
    spec: Spec,
    /// Where it listens.
    addr: SocketAddr,
    /// What goes wrong; watched by its connections.
    state: watch::Sender<State>,
    /// Connections accepted.
    connections: AtomicU64,
    /// Both directions: towards `to`, and back.
    directions: [Direction; 2],
    /// Bytes swallowed.
    swallowed_bytes: AtomicU64,
}

/// What goes wrong on a relay, and for whom.
#[derive(Clone, Copy, Debug)]
struct State {
    /// What goes wrong.
    kind: Kind,
    /// Number of the last fault.
    epoch: u64,
    /// Connections of earlier epochs are silent.
    silent_before: u64,
    /// Connections of earlier epochs are closed.
    closed_before: u64,
}

/// One direction of a relay.
#[derive(Debug)]
struct Direction {
    /// Bytes passed on.
    bytes: AtomicU64,
    /// When the line is free again.
    free_at: Mutex<Instant>,
}

impl Relay {
    /// Listens and relays, on the runtime that this is called on, as long as that runs.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub async fn start(spec: Spec) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(&spec.from).await?;
        let direction = || Direction {
            bytes: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
        };
        let relay = Arc::new(Self {
            addr: listener.local_addr()?,
            spec,
            state: watch::Sender::new(State {
                kind: Kind::None,
                epoch: 0,
                silent_before: 0,
                closed_before: 0,
            }),
            connections: AtomicU64::new(0),
            directions: [direction(), direction()],
            swallowed_bytes: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&relay).accept(listener));
        Ok(relay)
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, kind: Kind) {
        self.state.send_modify(|state| {
            state.kind = kind;
            state.epoch += 1;
            match kind {
                Kind::None => {}
                Kind::Cut => state.closed_before = state.epoch,
                Kind::SilentOld | Kind::Blackhole => state.silent_before = state.epoch,
            }
        });
    }

    /// What it carried.
    pub fn counters(&self) -> Counters {
        let [forward, back] = &self.directions;
        Counters {
            connections: self.connections.load(Ordering::Relaxed),
            forward_bytes: forward.bytes.load(Ordering::Relaxed),
            back_bytes: back.bytes.load(Ordering::Relaxed),
            swallowed_bytes: self.swallowed_bytes.load(Ordering::Relaxed),
        }
    }

    /// Accepts connections, but while the link is cut.
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut watcher = self.state.subscribe();
        loop {
            let cut = watcher.borrow_and_update().kind == Kind::Cut;
            match (&listener, cut) {
                (Some(open), false) => tokio::select! {
                    accepted = open.accept() => match accepted {
                        Ok((stream, _)) => {
                            tokio::spawn(pump::carry(Arc::clone(&self), stream));
                        }
                        Err(_) => sleep(RETRY).await,
                    },
                    _ = watcher.changed() => {}
                },
                (None, false) => {
                    listener = TcpListener::bind(self.addr).await.ok();
                    if listener.is_none() {
                        sleep(RETRY).await;
                    }
                }
                (_, true) => {
                    // Closing the listener is what makes the kernel refuse connections.
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
                _ => eyre::bail!("`{field}` of `{text}` is no field of a relay"),
            }
        }
        eyre::ensure!(!spec.to.is_empty(), "`{text}` lacks `to`");
        Ok(spec)
    }
}

/// The relays as the handlers share them.
type Relays = web::Data<Vec<Arc<Relay>>>;

/// Serves `POST /fault` and `GET /counters` for these relays, on a thread of its own.
///
/// # Errors
///
/// When the listener can't be used.
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

/// Answers `POST /fault`.
async fn fault(relays: Relays, fault: web::Json<Fault>) -> HttpResponse {
    match relays.iter().find(|relay| relay.name() == fault.name) {
        Some(relay) => {
            relay.set_fault(fault.kind);
            HttpResponse::Ok().finish()
        }
        None => HttpResponse::NotFound().body("no such relay"),
    }
}

/// Answers `GET /counters`.
async fn counters(relays: Relays) -> HttpResponse {
    let counters: BTreeMap<_, _> = relays.iter().map(|r| (r.name(), r.counters())).collect();
    HttpResponse::Ok().json(counters)
}

impl Direction {
    /// When a chunk that is read now arrives at the other end of the line.
    fn due(&self, spec: &Spec, len: usize) -> Instant {
        let now = Instant::now();
        if spec.bytes_per_s == 0 {
            return now + spec.delay;
        }
        // A chunk's length is exact in a float; so is any width of a link.
        let sending = Duration::from_secs_f64(len as f64 / spec.bytes_per_s as f64);
        let mut free_at = lock(&self.free_at);
        *free_at = now.max(*free_at) + sending;
        *free_at + spec.delay
    }
}

impl State {
    /// Whether connections made in this epoch are silent.
    fn silences(&self, epoch: u64) -> bool {
        epoch < self.silent_before
    }

    /// Whether connections made in this epoch are closed.
    fn closes(&self, epoch: u64) -> bool {
        epoch < self.closed_before
    }
}
