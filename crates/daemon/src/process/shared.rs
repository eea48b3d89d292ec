//! What all threads of the process share.

use crate::{
    process::{
        active::Active,
        burn::Burn,
        filings::Filings,
        pool::Upstream, //
        settings::Settings,
    },
    request::forward::ForwardKey,
    version::{
        Outlook,
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
    ClaimResult,
    Claimant,
    Claimer,
    ConditionalWrite,
    Guards,
    Key,
    Ledger,
    Nonce,
    Record,
    Releaser,
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
    time::{
        Duration,
        Instant, //
    },
};
use tokio::sync::{
    mpsc::UnboundedSender,
    oneshot,
    Notify, //
};

/// How far the clocks of two daemons may be apart.
///
/// A ticket minted by a daemon whose clock is ahead ends later, by the judge's clock, than a ticket
/// can. Without this allowance a skew of a millisecond turns honest tickets away as `unknown`.
const CLOCK_SKEW: Duration = Duration::from_secs(10);

/// What traffic threads tell control.
#[derive(Debug)]
pub(crate) enum Note {
    /// An upstream said that it leaves.
    Leaving(UpstreamId),
    /// A caller's key is to be claimed in the table.
    Claim(ClaimWanted),
    /// What came of a claimed filing is to be written into its claim.
    Ended(ConditionalWrite),
    /// A claim of which nothing was sent is to be given up.
    Release(Releaser),
    /// The outcome of a ticket is wanted from the table.
    Outcome(Nonce, oneshot::Sender<Option<Record>>),
}

/// A key to be claimed; the answer goes to the one traffic thread that waits for it.
#[derive(Debug)]
pub(crate) struct ClaimWanted {
    pub(crate) claimant: Claimant,
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// What became of a claim.
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// It is held; the last check comes immediately before sending.
    Ready(Claimer),
    /// The request ends without being sent.
    Over(ClaimResult),
}

/// State of the process that every thread can reach.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) published: Published,
    /// What is expected of the regions, renewed at each tick of control.
    pub(crate) outlook: ArcSwap<Outlook>,
    pub(crate) active: Active,
    pub(crate) burn: Arc<Burn>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) notes: UnboundedSender<Note>,
    pub(crate) ticket_key: Key,
    pub(crate) forward_key: ForwardKey,
    pub(crate) clock: WallClock,
    pub(crate) started: Instant,
    /// Set once control has claimed it; zero before.
    incarnation: AtomicU64,
    /// `None` only while a stage moves on, under the lock.
    filings: OnceLock<Mutex<Option<Filings>>>,
    /// Told when a filing ends, for the copies that wait for it.
    pub(crate) filed: Notify,
    /// End of the lease, for the check immediately before a claimed filing is sent.
    lease_until_us: AtomicU64,
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
            forward_key: ForwardKey::derive(&settings.peer_key),
            ticket_key: Key::derive(settings.peer_key.expose().as_bytes()),
            published: Arc::new(ArcSwap::from_pointee(snapshot)),
            outlook: ArcSwap::default(),
            active: Active::default(),
            burn: Arc::new(Burn::new(started)),
            clock: WallClock {
                start_wall_ms,
                start: Now::ZERO,
            },
            incarnation: AtomicU64::new(0),
            filings: OnceLock::new(),
            filed: Notify::new(),
            lease_until_us: AtomicU64::new(0),
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
        let filings = Mutex::new(Some(Filings::Open(ledger)));
        let first = self.filings.set(filings).is_ok();
        debug_assert!(first, "An incarnation is claimed once.");
        self.incarnation.store(incarnation, Ordering::Release);
    }

    fn ledger_bounds(&self) -> Bounds {
        Bounds {
            lifetime_max: self.settings.terms.ticket + CLOCK_SKEW,
            ..Bounds::default()
        }
    }

    /// Uses the ledger of filings, if an incarnation was claimed.
    ///
    /// Traffic threads hold the lock for one look-up each; control takes it at a planned stop and
    /// to forget what has expired.
    pub(crate) fn with_filings<T>(&self, call: impl FnOnce(&mut Filings) -> T) -> Option<T> {
        let mut filings = self.lock_filings()?;
        filings.as_mut().map(call)
    }

    /// Moves the ledger of filings to another stage.
    pub(crate) fn move_filings(&self, step: impl FnOnce(Filings) -> Filings) {
        if let Some(mut filings) = self.lock_filings() {
            *filings = filings.take().map(step);
        }
    }

    fn lock_filings(&self) -> Option<MutexGuard<'_, Option<Filings>>> {
        let filings = self.filings.get()?;
        Some(filings.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// End of the lease, by this process's clock.
    pub(crate) fn lease_until(&self) -> Now {
        Duration::from_micros(self.lease_until_us.load(Ordering::Acquire))
    }

    /// Sets the end of the lease.
    pub(crate) fn set_lease_until(&self, until: Now) {
        let until_us = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.lease_until_us.store(until_us, Ordering::Release);
    }

    /// Takes a sign that an upstream leaves, and tells control once.
    pub(crate) fn note_leaving(&self, upstream: &Upstream) {
        if upstream.mark_leaving() {
            // A closed channel means that the process ends.
            let _ = self.notes.send(Note::Leaving(upstream.id.clone()));
        }
    }
}
