//! Upstreams: each does work in its slots, on a port of its own, and records what it ran.
//!
//! [`Upstream::serve`] starts one; any path is work but `/health`, `/load`, `/fault`, `/record` and
//! `/record/clear`. [`control()`] serves the last three for all upstreams of a process, by `?id=`,
//! so that the record of an upstream that is gone can still be read.
//!
//! Life of a request: its body is read and digested; it may be shed; it waits for a slot; it is
//! served for a time; its answer streams. The slot is held from the start of the service to the
//! last byte given to the connection. A caller that goes away frees it at once.

use crate::{
    lock,
    wall_ms,
    Share, //
};
use actix_web::{
    dev::{
        Server,
        ServerHandle, //
    },
    web,
    App,
    HttpServer, //
};
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use std::{
    collections::VecDeque,
    f64::consts::TAU,
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    },
    time::Duration, //
};
use tokio::sync::Semaphore;

mod control;
mod record;
mod settings;
mod work;

pub use control::control;
pub use record::{
    Ended,
    Entry,
    Record, //
};
pub use settings::{
    Drain,
    Faults,
    Lie,
    Spec, //
};

/// Shortest time between two samples of the load.
const SAMPLE_MS: u64 = 10;
/// Samples of the load that are kept for answers that lag.
const SAMPLES: usize = 4096;

/// State of an upstream by its own word.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Serves at full speed.
    Up,
    /// Serves, but isn't warm yet.
    Cold,
    /// Takes no new work soon.
    Leaving,
}

/// Answer of `GET /load`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Load {
    /// Requests that it serves at once.
    pub slots: u32,
    /// Requests being served.
    pub in_flight: u64,
    /// Requests waiting for a slot.
    pub queued: u64,
    /// State.
    pub state: State,
    /// When this was true, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What it is.
    spec: Spec,
    /// Where it listens.
    addr: SocketAddr,
    /// Free slots.
    slots: Arc<Semaphore>,
    /// What changes as it works.
    inner: Mutex<Inner>,
    /// Stops its server.
    handle: OnceLock<ServerHandle>,
}

/// What changes as an upstream works.
#[derive(Debug)]
struct Inner {
    /// What goes wrong.
    faults: Faults,
    /// Which requests are shed.
    shed: Share,
    /// Which answers are cut short.
    truncate: Share,
    /// Which requests hang.
    hang: Share,
    /// Whether it refuses all new work.
    gone: bool,
    /// Requests being served.
    in_flight: u64,
    /// Requests waiting for a slot.
    queued: u64,
    /// Most served at once.
    max_in_flight: u64,
    /// Most waiting at once.
    max_queued: u64,
    /// Requests served since it was cold.
    served: u64,
    /// When it was first sent work since it was cold.
    first_ms: Option<u64>,
    /// Loads seen lately, oldest first.
    samples: VecDeque<Load>,
    /// Source of the jitter.
    rng: SmallRng,
    /// What it was sent.
    log: record::Log,
}

impl Upstream {
    /// Listens and serves on a thread of its own until the server is stopped.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub fn serve(spec: Spec) -> io::Result<(Arc<Self>, Server)> {
        let listener = TcpListener::bind(&spec.listen)?;
        let upstream = Arc::new(Self {
            addr: listener.local_addr()?,
            slots: Arc::new(Semaphore::new(spec.slots as usize)),
            inner: Mutex::new(Inner::new(spec.seed)),
            handle: OnceLock::new(),
            spec,
        });
        let served = Arc::clone(&upstream);
        let ignores_cancel = upstream.spec.ignores_cancel;
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(Arc::clone(&served)))
                .app_data(web::Data::new(vec![Arc::clone(&served)]))
                .configure(control::routes)
                .route("/health", web::get().to(work::health))
                .route("/load", web::get().to(work::load))
                .default_service(web::to(work::work))
        })
        .workers(1)
        .keep_alive(Duration::from_secs(75))
        .shutdown_timeout(3600)
        .h1_allow_half_closed(ignores_cancel)
        .disable_signals()
        .listen(listener)?
        .run();
        // The one place that sets it.
        let _ = upstream.handle.set(server.handle());
        Ok((upstream, server))
    }

    /// Its name.
    pub fn id(&self) -> &str {
        &self.spec.id
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Enters it into the list of the platform at `base_url`.
    ///
    /// # Errors
    ///
    /// When the platform doesn't take it.
    pub async fn register(&self, base_url: &str) -> eyre::Result<()> {
        let Spec { id, service, .. } = &self.spec;
        let entry = json!({
            "id": id, "service": service, "region": self.spec.region,
            "failure_domain": self.spec.domain, "addr": self.addr.to_string(),
            "slots": self.spec.slots, "state": "live",
        });
        let url = format!("{}/list/upstreams/{id}", base_url.trim_end_matches('/'));
        let answer = awc::Client::default().put(url).send_json(&entry).await;
        // The client's error can't cross threads as a report must; its text is what matters.
        let answer = answer.map_err(|error| eyre::eyre!("registering {id}: {error}"))?;
        eyre::ensure!(answer.status().is_success(), "registering {id} was refused");
        Ok(())
    }

    /// What it was sent and ran.
    pub fn record(&self) -> Record {
        let inner = lock(&self.inner);
        let (entries, dropped) = inner.log.entries();
        Record {
            upstream: self.spec.id.clone(),
            slots: self.spec.slots,
            max_in_flight: inner.max_in_flight,
            max_queued: inner.max_queued,
            entries,
            dropped,
        }
    }

    /// Forgets the ended requests and the largest numbers.
    pub fn clear_record(&self) {
        let mut inner = lock(&self.inner);
        inner.log.clear();
        inner.max_in_flight = inner.in_flight;
        inner.max_queued = inner.queued;
    }

    /// Sets what goes wrong from now on, in place of what went wrong.
    pub fn set_faults(self: &Arc<Self>, faults: Faults) {
        let mut inner = lock(&self.inner);
        inner.faults = faults;
        inner.shed = Share::default();
        inner.truncate = Share::default();
        inner.hang = Share::default();
        if faults.cold {
            inner.served = 0;
            inner.first_ms = None;
        }
        drop(inner);
        if faults.dead {
            let upstream = Arc::clone(self);
            actix_web::rt::spawn(async move { upstream.die().await });
        }
        if let Some(after_ms) = faults.drain.and_then(|drain| drain.refuse_after_ms) {
            let upstream = Arc::clone(self);
            actix_web::rt::spawn(async move {
                actix_web::rt::time::sleep(Duration::from_millis(after_ms)).await;
                upstream.leave().await;
            });
        }
    }

    /// Refuses connections and new work from now on; what runs may finish.
    async fn leave(&self) {
        lock(&self.inner).gone = true;
        if let Some(handle) = self.handle.get() {
            handle.stop(true).await;
        }
    }

    /// Closes its connections and its port at once, and drops what runs; its record stays.
    async fn die(&self) {
        if let Some(handle) = self.handle.get() {
            handle.stop(false).await;
        }
    }

    /// Whether it says that it leaves.
    fn leaving(&self) -> bool {
        lock(&self.inner).leaving()
    }

    /// Its load by its own word, which may lag or lie.
    fn load(&self) -> Load {
        let mut inner = lock(&self.inner);
        let now_ms = wall_ms();
        inner.sample(&self.spec, now_ms);
        let as_of_ms = now_ms.saturating_sub(inner.faults.lag_ms);
        let told = inner.samples.iter().rev().find(|s| s.as_of_ms <= as_of_ms);
        let told = told.or(inner.samples.front()).copied();
        let told = told.unwrap_or_else(|| inner.load(&self.spec, now_ms));
        let lie = inner.faults.lie;
        Load {
            slots: lie.slots.unwrap_or(told.slots),
            in_flight: lie.in_flight.unwrap_or(told.in_flight),
            queued: lie.queued.unwrap_or(told.queued),
            state: lie.state.unwrap_or(told.state),
            ..told
        }
    }
}

impl Inner {
    /// An upstream that was sent nothing yet.
    fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            shed: Share::default(),
            truncate: Share::default(),
            hang: Share::default(),
            gone: false,
            in_flight: 0,
            queued: 0,
            max_in_flight: 0,
            max_queued: 0,
            served: 0,
            first_ms: None,
            samples: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            log: record::Log::default(),
        }
    }

    /// Whether it says that it leaves.
    fn leaving(&self) -> bool {
        self.gone || self.faults.drain.is_some()
    }

    /// The true load.
    fn load(&self, spec: &Spec, now_ms: u64) -> Load {
        Load {
            slots: spec.slots,
            in_flight: self.in_flight,
            queued: self.queued,
            state: match self.coldness(spec, now_ms) {
                _ if self.leaving() => State::Leaving,
                coldness if coldness > 0.0 => State::Cold,
                _ => State::Up,
            },
            as_of_ms: now_ms,
        }
    }

    /// Keeps the true load for answers that lag.
    fn sample(&mut self, spec: &Spec, now_ms: u64) {
        let load = self.load(spec, now_ms);
        match self.samples.back_mut() {
            // The last one is kept as the truth of its whole interval.
            Some(last) if now_ms < last.as_of_ms + SAMPLE_MS => {
                *last = Load {
                    as_of_ms: last.as_of_ms,
                    ..load
                }
            }
            _ => {
                if self.samples.len() == SAMPLES {
                    self.samples.pop_front();
                }
                self.samples.push_back(load);
            }
        }
    }

    /// From 1 for an upstream that was sent nothing yet to 0 for a warm one.
    fn coldness(&self, spec: &Spec, now_ms: u64) -> f64 {
        if spec.cold_requests == 0 {
            return 0.0;
        }
        // Counts of requests and of milliseconds are far below 2^52, so they stay exact.
        let by_work = 1.0 - self.served as f64 / spec.cold_requests as f64;
        let worked_ms = self
            .first_ms
            .map_or(0, |first| now_ms.saturating_sub(first));
        let by_time = 1.0 - worked_ms as f64 / spec.cold_ms as f64;
        by_work.min(by_time).max(0.0)
    }

    /// How long the next request is served.
    fn service_time(&mut self, spec: &Spec, now_ms: u64) -> Duration {
        self.first_ms.get_or_insert(now_ms);
        let mean_ms = self.faults.service_ms.unwrap_or(spec.service_ms);
        let cold_factor = 1.0 + (spec.cold_factor - 1.0) * self.coldness(spec, now_ms);
        self.served += 1;
        // Box and Muller's way to a normal deviate; the shift keeps the mean of its exponential.
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (TAU * v).cos();
        let jitter = (spec.jitter * normal - spec.jitter * spec.jitter / 2.0).exp();
        let ms = mean_ms * self.faults.slow_factor * cold_factor * jitter;
        Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::ZERO)
    }
}
