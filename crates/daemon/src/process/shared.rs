//! What all threads of the process share.

use crate::{
    process::{
        active::Active,
        burn::Burn,
        pool::Upstream, //
        settings::Settings,
    },
    version::{
        Published,
        Snapshot, //
    },
};
use arc_swap::ArcSwap;
use base::{
    Incarnation,
    Now,
    UpstreamId, //
};
use filing::{
    Bounds,
    Guards,
    Key,
    Ledger,
    WallClock, //
};
use metrics_exporter_prometheus::PrometheusHandle;
use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        OnceLock,
        PoisonError, //
    },
    time::Instant, //
};
use tokio::sync::mpsc::UnboundedSender;

/// What traffic threads tell control; nobody waits for an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Note {
    /// An upstream said that it leaves.
    Leaving(UpstreamId),
}

/// State of the process that every thread can reach.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) published: Published,
    pub(crate) active: Active,
    pub(crate) burn: Arc<Burn>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) notes: UnboundedSender<Note>,
    pub(crate) ticket_key: Key,
    pub(crate) clock: WallClock,
    pub(crate) started: Instant,
    /// Set once control has claimed it; zero before.
    incarnation: AtomicU64,
    ledger: OnceLock<Mutex<Ledger>>,
}

impl Shared {
    /// Makes the state of a process that has claimed no incarnation yet.
    pub(crate) fn new(
        settings: Settings,
        metrics: PrometheusHandle,
        notes: UnboundedSender<Note>,
        start_wall_ms: u64,
    ) -> Self {
        let started = Instant::now();
        let snapshot = Snapshot::starting(settings.region.clone());
        Self {
            ticket_key: Key::derive(settings.peer_key.expose().as_bytes()),
            published: Arc::new(ArcSwap::from_pointee(snapshot)),
            active: Active::default(),
            burn: Arc::new(Burn::new(started)),
            clock: WallClock {
                start_wall_ms,
                start: Now::ZERO,
            },
            incarnation: AtomicU64::new(0),
            ledger: OnceLock::new(),
            settings,
            metrics,
            notes,
            started,
        }
    }

    /// Monotonic time since the process started.
    pub(crate) fn now(&self) -> Now {
        self.started.elapsed()
    }

    /// Incarnation of this process; zero before one was claimed.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Sets the claimed incarnation and opens the ledger of its filings.
    pub(crate) fn claimed(&self, incarnation: Incarnation) {
        let ledger = Ledger::new(
            self.settings.instance.clone(),
            incarnation,
            self.clock,
            self.ledger_bounds(),
            Guards::default(),
        );
        let first = self.ledger.set(Mutex::new(ledger)).is_ok();
        debug_assert!(first, "An incarnation is claimed once.");
        self.incarnation.store(incarnation, Ordering::Release);
    }

    fn ledger_bounds(&self) -> Bounds {
        Bounds {
            life_max: self.settings.terms.ticket,
            ..Bounds::default()
        }
    }

    /// Ledger of filings, once an incarnation was claimed.
    ///
    /// Traffic threads hold the lock for one look-up each; control takes it at a planned stop and
    /// to forget what has expired.
    pub(crate) fn ledger(&self) -> Option<MutexGuard<'_, Ledger>> {
        let ledger = self.ledger.get()?;
        Some(ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes a sign that an upstream leaves, and tells control once.
    pub(crate) fn note_leaving(&self, upstream: &Upstream) {
        if upstream.mark_leaving() {
            // A closed channel means that the process ends.
            let _ = self.notes.send(Note::Leaving(upstream.id.clone()));
        }
    }
}
