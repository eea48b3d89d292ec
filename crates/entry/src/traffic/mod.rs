//! The traffic thread, which serves callers' requests, look-ups, readiness checks and metrics.
//!
//! - `request` handles one request from its head to its final response; `plan` resolves its route, service, deadline
//!   and affinity key.
//! - `dispatch` sends the request to upstreams, with retries; `hedge` sends a slow one to a second upstream as well;
//!   `attempt` makes one send and reports whether the request may have run; `response` builds the final response;
//!   `stream` forwards a long response body; `request_log` writes log lines; `signals` reads what an upstream states
//!   about itself.
//! - `waiting` holds the requests that wait at this entry because their service has too few free slots.
//! - `fleet` holds this thread's state of the upstreams, in one `group` per service, and selects the upstream of a
//!   request; `placement` has the types for this.
//! - `path` watches whether this entry reaches its upstreams. While it doesn't, `relay` sends requests through other
//!   entries, which `relays` selects; `relayed` serves the requests that other entries send this way.
//! - `lookup` serves entry look-ups, readiness checks and metrics.
//! - `ports` accepts connections.

mod attempt;
mod dispatch;
mod fleet;
mod group;
mod hedge;
mod lookup;
mod path;
mod placement;
mod plan;
mod ports;
mod relay;
mod relayed;
mod relays;
mod request;
mod request_log;
mod response;
mod signals;
mod stream;
mod waiting;

pub(crate) use ports::{
    spawn_servers,
    Ports, //
};

use crate::{
    channels::Channels,
    clock::Clock,
    dialect::Dialect,
    settings::Settings,
    snapshot::Snapshot, //
};
use ::relay::{
    BodyMemory,
    Pool, //
};
use arc_swap::ArcSwap;
use balance::affinity_hash;
use base::{
    FastSet,
    Now,
    Version, //
};
use bytestring::ByteString;
use fleet::Fleet;
use metrics_exporter_prometheus::PrometheusHandle;
use org::Limiter;
use reach::Reach;
use relays::Relays;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize, //
        },
        Arc,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use tokio::sync::Notify;

/// Timeout for opening a connection to another entry: the others are tried in turn. Covers a round trip to the farthest
/// region, including jitter.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// State shared by the control and traffic threads.
pub(crate) struct SharedState {
    pub(crate) settings: Arc<Settings>,
    pub(crate) dialect: Dialect,
    pub(crate) published: Arc<ArcSwap<Snapshot>>,
    pub(crate) channels: Channels,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) clock: Clock,
    /// Number of requests without a final response.
    pub(crate) active_requests: AtomicUsize,
    /// Latest deadline of requests that are accepted, set during a planned stop.
    pub(crate) deadline_max: OnceLock<Instant>,
    /// Set shortly before the process exits; new requests are then rejected.
    pub(crate) closing: AtomicBool,
}

/// State of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) pool: Pool,
    pub(crate) fleet: RefCell<Fleet>,
    /// Connections to other entries for relayed requests.
    relay_pool: Pool,
    relays: RefCell<Relays>,
    reach: RefCell<Reach>,
    /// Notifies the requests that wait for an upstream when this entry loses all upstreams.
    path_cut: Notify,
    pub(crate) quotas: RefCell<Limiter>,
    /// Version of the routes whose organisations `quotas` has.
    quota_routes_version: Cell<Version>,
    /// Version of the parts that `quotas` has.
    quota_parts_seen: Cell<u64>,
    /// Memory for the bodies of requests and responses.
    pub(crate) body_memory: BodyMemory,
    /// Number of open connections from callers.
    pub(crate) caller_connections: Cell<usize>,
    /// Routes that had a response which was too long to be buffered.
    long_response_routes: RefCell<FastSet<ByteString>>,
    /// Requests that wait at this entry.
    waiting: RefCell<waiting::Queues>,
    /// Rate limit for log lines about requests.
    pub(crate) log_limiter: request_log::LogLimiter,
}

impl Traffic {
    fn new(shared: Arc<SharedState>) -> Self {
        let fleet = Fleet::new(&shared.settings);
        let body_memory = BodyMemory::new(shared.settings.body_bytes_max());
        let quotas = Limiter::new(
            shared.settings.bounds.quota,
            affinity_hash(shared.settings.instance.as_bytes()),
        );
        Self {
            shared,
            pool: Pool::default(),
            fleet: RefCell::new(fleet),
            relay_pool: Pool::with_connect_timeout(RELAY_CONNECT_TIMEOUT),
            relays: RefCell::default(),
            reach: RefCell::default(),
            path_cut: Notify::new(),
            quotas: RefCell::new(quotas),
            quota_routes_version: Cell::new(0),
            quota_parts_seen: Cell::new(0),
            body_memory,
            caller_connections: Cell::new(0),
            long_response_routes: RefCell::default(),
            waiting: RefCell::default(),
            log_limiter: request_log::LogLimiter::default(),
        }
    }

    /// Applies the newest snapshot and the loads and warm keys reported by other entries to the fleet. Returns the
    /// snapshot.
    pub(crate) fn refresh(&self) -> Arc<Snapshot> {
        let snapshot = self.refresh_snapshot();
        // Reports are applied after the snapshot, as they only affect upstreams that the fleet has.
        let mut fleet = self.fleet.borrow_mut();
        fleet.update_peer_loads(&self.shared.channels.loads, self.now());
        snapshot
    }

    /// Applies the newest snapshot and the shared rate limits to the fleet. Returns the snapshot.
    pub(crate) fn refresh_snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.shared.published.load_full();
        let mut fleet = self.fleet.borrow_mut();
        let is_newer = fleet.update(&snapshot);
        if is_newer {
            self.pool.sweep(|id| fleet.is_usable(id));
            for ended in fleet.take_ended_targets() {
                self.pool.close_idle(&ended);
            }
        }
        fleet.update_limits(&self.shared.channels.limits, is_newer);
        self.refresh_quotas(&snapshot, is_newer);
        snapshot
    }

    /// Applies the organisations of the newest snapshot, and the parts of their quotas.
    fn refresh_quotas(&self, snapshot: &Snapshot, is_newer: bool) {
        let mut quotas = self.quotas.borrow_mut();
        let now = self.now();
        if is_newer {
            quotas.set_bounds(snapshot.bounds.quota);
        }
        if let Some(table) = &snapshot.routes {
            if self.quota_routes_version.replace(table.version()) != table.version() {
                let organisations = table.routes().organisations.iter().flatten();
                quotas.set_quotas(organisations.map(|one| (&one.id, one.quota)), now);
            }
        }
        let mut seen = self.quota_parts_seen.get();
        if let Some(parts) = self.shared.channels.quotas.parts_if_changed(&mut seen) {
            self.quota_parts_seen.set(seen);
            quotas.set_parts(parts, now);
        }
    }

    /// Returns whether responses of a route may be too long to be buffered, so that they may break off while they are
    /// written.
    fn has_long_responses(&self, route: &ByteString) -> bool {
        self.long_response_routes.borrow().contains(route)
    }

    fn note_long_response(&self, route: &ByteString) {
        if !self.has_long_responses(route) {
            self.long_response_routes.borrow_mut().insert(route.clone());
        }
    }

    pub(crate) fn now(&self) -> Now {
        self.shared.clock.now()
    }
}
