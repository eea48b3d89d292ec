//! Simulated upstreams with a limited number of slots and a record of the requests that ran.
//!
//! [`Upstream::serve`] starts an upstream on a port of its own. Every path is served as work except
//! `/health`, `/load`, `/fault`, `/record` and `/record/clear`. [`control()`] serves the last three
//! for all upstreams of a process, selected by `?id=`, so that the record of an upstream can be
//! read after its own port has closed.
//!
//! A request goes through these steps: its body is read and hashed, it may be shed, it waits for a
//! slot, it is served for the simulated service time, and its response is streamed. It holds the
//! slot from the start of service until the last byte is handed to the connection. If the caller
//! disconnects, the slot is released at once.

use crate::{
    lock,
    wall_ms,
    RatioSampler, //
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
mod handlers;
mod record;
mod settings;

pub use control::control;
pub use record::{
    Record, //
    RecordEntry,
    RequestOutcome,
};
pub use settings::{
    Drain,
    Faults,
    LoadOverride,
    Spec, //
};

/// Minimum interval between two load samples.
const SAMPLE_INTERVAL_MS: u64 = 10;
/// Maximum number of load samples kept for responses that lag.
const MAX_SAMPLES: usize = 4096;

/// State that an upstream reports about itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Serves at full speed.
    Up,
    /// Serves more slowly because it is still warming up.
    Cold,
    /// Drains, and will stop accepting requests.
    Leaving,
}

/// Response to `GET /load`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Load {
    /// Maximum number of requests served concurrently.
    pub slots: u32,
    /// Requests being served.
    pub in_flight: u64,
    /// Requests waiting for a slot.
    pub queued: u64,
    /// State.
    pub state: State,
    /// Time of this sample in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
}

/// A simulated upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Configuration.
    spec: Spec,
    /// Listening address.
    addr: SocketAddr,
    /// Free slots.
    slots: Arc<Semaphore>,
    /// Mutable state.
    inner: Mutex<Inner>,
    /// Handle that stops its HTTP server.
    handle: OnceLock<ServerHandle>,
}

/// Mutable state of an upstream.
#[derive(Debug)]
struct Inner {
    /// Active faults.
    faults: Faults,
    /// Selects the requests to shed.
    shed: RatioSampler,
    /// Selects the responses to truncate.
    truncate: RatioSampler,
    /// Selects the requests that hang.
    hang: RatioSampler,
    /// Whether all new requests are refused, as at the end of a drain.
    refuses_requests: bool,
    /// Requests being served.
    in_flight: u64,
    /// Requests waiting for a slot.
    queued: u64,
    /// Maximum of `in_flight`.
    max_in_flight: u64,
    /// Maximum of `queued`.
    max_queued: u64,
    /// Requests served since the last cold start.
    served: u64,
    /// Time of the first request served since the last cold start.
    first_served_ms: Option<u64>,
    /// Recent load samples, oldest first.
    samples: VecDeque<Load>,
    /// Random number generator for the jitter.
    rng: SmallRng,
    /// Requests received.
    log: record::Log,
}

impl Upstream {
    /// Starts an upstream that serves on a thread of its own until the server is stopped.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn serve(spec: Spec) -> io::Result<(Arc<Self>, Server)> {
        let listener = TcpListener::bind(&spec.listen)?;
        let upstream = Arc::new(Self {
            addr: listener.local_addr()?,
            slots: Arc::new(Semaphore::new(spec.slots as usize)),
            inner: Mutex::new(Inner::new(spec.seed)),
            handle: OnceLock::new(),
            spec,
        });
        let shared = Arc::clone(&upstream);
        let ignores_cancel = upstream.spec.ignores_cancel;
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(Arc::clone(&shared)))
                .app_data(web::Data::new(vec![Arc::clone(&shared)]))
                .configure(control::routes)
                .route("/health", web::get().to(handlers::health))
                .route("/load", web::get().to(handlers::load))
                .default_service(web::to(handlers::work))
        })
        .workers(1)
        .keep_alive(Duration::from_secs(75))
        .shutdown_timeout(3600)
        .h1_allow_half_closed(ignores_cancel)
        .disable_signals()
        .listen(listener)?
        .run();
        // Can't fail: the handle is set nowhere else.
        let _ = upstream.handle.set(server.handle());
        Ok((upstream, server))
    }

    /// Returns the upstream's id.
    pub fn id(&self) -> &str {
        &self.spec.id
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Adds the upstream to the list of the platform at `base_url`.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached or rejects the entry.
    pub async fn register(&self, base_url: &str) -> eyre::Result<()> {
        let Spec { id, service, .. } = &self.spec;
        let entry = json!({
            "id": id, "service": service, "region": self.spec.region,
            "failure_domain": self.spec.domain, "addr": self.addr.to_string(),
            "slots": self.spec.slots, "state": "live",
        });
        let url = format!("{}/list/upstreams/{id}", base_url.trim_end_matches('/'));
        let response = awc::Client::default().put(url).send_json(&entry).await;
        // The client's error isn't `Send`, which a report requires, so only its text is kept.
        let response =
            response.map_err(|error| eyre::eyre!("failed to register upstream {id}: {error}"))?;
        eyre::ensure!(
            response.status().is_success(),
            "the platform rejected upstream {id}"
        );
        Ok(())
    }

    /// Returns a snapshot of the requests received and of the peak counts.
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

    /// Removes ended requests from the record and resets the peak counts.
    pub fn clear_record(&self) {
        let mut inner = lock(&self.inner);
        inner.log.clear();
        inner.max_in_flight = inner.in_flight;
        inner.max_queued = inner.queued;
    }

    /// Replaces the active faults.
    pub fn set_faults(self: &Arc<Self>, faults: Faults) {
        let mut inner = lock(&self.inner);
        inner.faults = faults;
        inner.shed = RatioSampler::default();
        inner.truncate = RatioSampler::default();
        inner.hang = RatioSampler::default();
        if faults.cold {
            inner.served = 0;
            inner.first_served_ms = None;
        }
        drop(inner);
        if faults.dead {
            let upstream = Arc::clone(self);
            actix_web::rt::spawn(async move { upstream.abort().await });
        }
        if let Some(after_ms) = faults.drain.and_then(|drain| drain.refuse_after_ms) {
            let upstream = Arc::clone(self);
            actix_web::rt::spawn(async move {
                actix_web::rt::time::sleep(Duration::from_millis(after_ms)).await;
                upstream.stop_gracefully().await;
            });
        }
    }

    /// Stops accepting connections and requests, and lets requests in flight finish.
    async fn stop_gracefully(&self) {
        lock(&self.inner).refuses_requests = true;
        if let Some(handle) = self.handle.get() {
            handle.stop(true).await;
        }
    }

    /// Closes the port and all connections at once, which cancels requests in flight; the record
    /// stays readable.
    async fn abort(&self) {
        if let Some(handle) = self.handle.get() {
            handle.stop(false).await;
        }
    }

    /// Returns whether it reports that it is leaving.
    fn leaving(&self) -> bool {
        lock(&self.inner).leaving()
    }

    /// Returns the reported load, with the lag and the overrides that faults impose.
    fn load(&self) -> Load {
        let mut inner = lock(&self.inner);
        let now_ms = wall_ms();
        inner.sample(&self.spec, now_ms);
        let as_of_ms = now_ms.saturating_sub(inner.faults.lag_ms);
        let reported = inner.samples.iter().rev().find(|s| s.as_of_ms <= as_of_ms);
        let reported = reported.or(inner.samples.front()).copied();
        let reported = reported.unwrap_or_else(|| inner.load(&self.spec, now_ms));
        let overrides = inner.faults.lie;
        Load {
            slots: overrides.slots.unwrap_or(reported.slots),
            in_flight: overrides.in_flight.unwrap_or(reported.in_flight),
            queued: overrides.queued.unwrap_or(reported.queued),
            state: overrides.state.unwrap_or(reported.state),
            ..reported
        }
    }
}

impl Inner {
    /// Creates the state of an upstream that has received no requests.
    fn new(seed: u64) -> Self {
        Self {
            faults: Faults::default(),
            shed: RatioSampler::default(),
            truncate: RatioSampler::default(),
            hang: RatioSampler::default(),
            refuses_requests: false,
            in_flight: 0,
            queued: 0,
            max_in_flight: 0,
            max_queued: 0,
            served: 0,
            first_served_ms: None,
            samples: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            log: record::Log::default(),
        }
    }

    /// Returns whether it reports that it is leaving.
    fn leaving(&self) -> bool {
        self.refuses_requests || self.faults.drain.is_some()
    }

    /// Returns the actual load.
    fn load(&self, spec: &Spec, now_ms: u64) -> Load {
        Load {
            slots: spec.slots,
            in_flight: self.in_flight,
            queued: self.queued,
            state: match self.remaining_warmup(spec, now_ms) {
                _ if self.leaving() => State::Leaving,
                remaining if remaining > 0.0 => State::Cold,
                _ => State::Up,
            },
            as_of_ms: now_ms,
        }
    }

    /// Stores a sample of the actual load for responses that lag.
    fn sample(&mut self, spec: &Spec, now_ms: u64) {
        let load = self.load(spec, now_ms);
        match self.samples.back_mut() {
            // Within one interval, the newest values replace the last sample but keep its time.
            Some(last) if now_ms < last.as_of_ms + SAMPLE_INTERVAL_MS => {
                *last = Load {
                    as_of_ms: last.as_of_ms,
                    ..load
                }
            }
            _ => {
                if self.samples.len() == MAX_SAMPLES {
                    self.samples.pop_front();
                }
                self.samples.push_back(load);
            }
        }
    }

    /// Returns the fraction of the warm-up that remains, from 1 (cold) to 0 (warm).
    fn remaining_warmup(&self, spec: &Spec, now_ms: u64) -> f64 {
        if spec.cold_requests == 0 {
            return 0.0;
        }
        // Request counts and milliseconds are far below 2^52, so the conversions are exact.
        let by_requests = 1.0 - self.served as f64 / spec.cold_requests as f64;
        let elapsed_ms = self
            .first_served_ms
            .map_or(0, |first_served_ms| now_ms.saturating_sub(first_served_ms));
        let by_time = 1.0 - elapsed_ms as f64 / spec.cold_ms as f64;
        by_requests.min(by_time).max(0.0)
    }

    /// Counts the next request as served and returns its service time.
    fn next_service_time(&mut self, spec: &Spec, now_ms: u64) -> Duration {
        self.first_served_ms.get_or_insert(now_ms);
        let mean_ms = self.faults.service_ms.unwrap_or(spec.service_ms);
        let cold_factor = 1.0 + (spec.cold_factor - 1.0) * self.remaining_warmup(spec, now_ms);
        self.served += 1;
        // The Box-Muller transform gives a normal deviate; subtracting half the variance keeps the
        // mean of the log-normal factor at 1.
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (TAU * v).cos();
        let jitter = (spec.jitter * normal - spec.jitter * spec.jitter / 2.0).exp();
        let ms = mean_ms * self.faults.slow_factor * cold_factor * jitter;
        Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::ZERO)
    }
}
