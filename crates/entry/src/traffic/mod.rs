//! Traffic: callers' requests, look-ups, readiness and metrics, on one thread.
//!
//! - `request` takes one request from its head to its final answer; `plan` finds out what it needs.
//! - `job` sends it until there is an answer, `attempt` sends it once and says what is known of the
//!   run, `reply` makes the final answer, `stream` passes a long one on, `log` writes what became of it.
//! - `fleet` holds what this thread knows of upstreams, in a `group` for each service, and decides where a
//!   request goes (`placement`).
//! - `lookup` answers which entries to use.
//! - `ports` opens the ports.

mod attempt;
mod fleet;
mod group;
mod job;
mod log;
mod lookup;
mod placement;
mod plan;
mod ports;
mod reply;
mod request;
mod stream;

pub(crate) use ports::{
    open,
    Ports, //
};

use crate::{
    channels::Channels,
    clock::Clock,
    dialect::Dialect,
    settings::Settings,
    snapshot::Snapshot, //
};
use arc_swap::ArcSwap;
use base::Now;
use fleet::Fleet;
use metrics_exporter_prometheus::PrometheusHandle;
use relay::Pool;
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
        Arc, //
    },
};

/// What both threads hold.
pub(crate) struct Shared {
    pub(crate) settings: Arc<Settings>,
    pub(crate) dialect: Dialect,
    pub(crate) published: Arc<ArcSwap<Snapshot>>,
    pub(crate) channels: Channels,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) clock: Clock,
    /// Requests without a final answer.
    pub(crate) under_way: AtomicUsize,
    /// The end is near: no request is begun any more.
    pub(crate) closing: AtomicBool,
}

/// State of the traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Pool,
    pub(crate) fleet: RefCell<Fleet>,
    /// Connections of callers.
    pub(crate) callers: Cell<usize>,
    /// Bound on log lines of requests.
    pub(crate) log: log::Limit,
}

impl Traffic {
    fn new(shared: Arc<Shared>) -> Self {
        let fleet = Fleet::new(&shared.settings);
        Self {
            shared,
            pool: Pool::default(),
            fleet: RefCell::new(fleet),
            callers: Cell::new(0),
            log: log::Limit::default(),
        }
    }

    /// The newest snapshot, which the fleet then follows, with what the other entries told.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.follow_control();
        // What is said of an upstream counts for those that the snapshot has.
        let mut fleet = self.fleet.borrow_mut();
        fleet.follow_loads(&self.shared.channels.loads, self.now());
        snapshot
    }

    /// The newest snapshot, which the fleet then follows.
    pub(crate) fn follow_control(&self) -> Arc<Snapshot> {
        let snapshot = self.shared.published.load_full();
        let mut fleet = self.fleet.borrow_mut();
        let is_newer = fleet.follow(&snapshot);
        if is_newer {
            self.pool.sweep(|id| fleet.knows(id));
        }
        fleet.follow_limits(&self.shared.channels.limits, is_newer);
        snapshot
    }

    pub(crate) fn now(&self) -> Now {
        self.shared.clock.now()
    }
}
