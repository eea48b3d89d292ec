//! State shared by all threads of the process.

use crate::{
    process::{
        active::ActiveRequests,
        burn::Burn,
        filings::Filings,
        pool::Upstream, //
        settings::Settings,
    },
    request::forward::ForwardKey,
    version::{
        PlacementInputs,
        PublishedSnapshot,
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

/// Tolerated clock skew between two daemons.
///
/// A ticket minted by a daemon whose clock is ahead expires later, by the checking daemon's clock,
/// than the lifetime of a ticket allows. Without this tolerance, a skew of one millisecond causes
/// valid tickets to be refused as `unknown`.
const CLOCK_SKEW: Duration = Duration::from_secs(10);

/// Messages from traffic threads to control.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// An upstream has announced that it is leaving.
    UpstreamLeaving(UpstreamId),
    /// Claim a caller's key in the table.
    Claim(ClaimRequest),
    /// Write the outcome of a claimed filing into its claim.
    WriteOutcome(ConditionalWrite),
    /// Release a claim whose filing was not sent.
    Release(Releaser),
    /// Read the outcome of a ticket from the table.
    ReadOutcome(Nonce, oneshot::Sender<Option<Record>>),
}

/// Request to claim a key; the reply goes to the traffic thread that waits for it.
#[derive(Debug)]
pub(crate) struct ClaimRequest {
    pub(crate) claimant: Claimant,
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// Result of a request to claim a key.
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// The claim is held; the final check is due immediately before sending.
    Ready(Claimer),
    /// The request ends here and must not be sent.
    Concluded(ClaimResult),
}

/// State of the process that all threads can access.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) published: PublishedSnapshot,
    /// Expected state of the regions, updated at each tick of control.
    pub(crate) outlook: ArcSwap<PlacementInputs>,
    pub(crate) active: ActiveRequests,
    pub(crate) burn: Arc<Burn>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) control_tx: UnboundedSender<ControlMessage>,
    pub(crate) ticket_key: Key,
    pub(crate) forward_key: ForwardKey,
    pub(crate) clock: WallClock,
    pub(crate) started: Instant,
    /// Zero until control has claimed it.
    incarnation: AtomicU64,
    /// `None` only during a change of stage, under the lock.
    filings: OnceLock<Mutex<Option<Filings>>>,
    /// Notified when a filing ends, for duplicates that wait for its outcome.
    pub(crate) filing_ended: Notify,
    /// Expiry of the lease, for the check immediately before a claimed filing is sent.
    lease_until_us: AtomicU64,
}

impl Shared {
    /// Creates the state of a process that has not claimed an incarnation yet.
    pub(crate) fn new(
        settings: Settings,
        metrics: PrometheusHandle,
        control_tx: UnboundedSender<ControlMessage>,
        start_wall_ms: u64,
    ) -> Self {
        let started = Instant::now();
        let snapshot = Snapshot::starting(settings.region.clone());
        Self {
            forward_key: ForwardKey::derive(&settings.peer_key),
            ticket_key: Key::derive(settings.peer_key.expose().as_bytes()),
            published: Arc::new(ArcSwap::from_pointee(snapshot)),
            outlook: ArcSwap::default(),
            active: ActiveRequests::default(),
            burn: Arc::new(Burn::new(started)),
            clock: WallClock {
                start_wall_ms,
                start: Now::ZERO,
            },
            incarnation: AtomicU64::new(0),
            filings: OnceLock::new(),
            filing_ended: Notify::new(),
            lease_until_us: AtomicU64::new(0),
            settings,
            metrics,
            control_tx,
            started,
        }
    }

    /// Monotonic time since the process started.
    pub(crate) fn now(&self) -> Now {
        self.started.elapsed()
    }

    /// Incarnation of this process; zero until one is claimed.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Sets the claimed incarnation and opens its ledger of filings.
    pub(crate) fn set_incarnation(&self, incarnation: Incarnation) {
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

    /// Calls `call` on the ledger of filings, if an incarnation is claimed.
    ///
    /// Traffic threads hold the lock for one look-up each; control takes it for a planned stop and
    /// to drop expired records.
    pub(crate) fn with_filings<T>(&self, call: impl FnOnce(&mut Filings) -> T) -> Option<T> {
        let mut filings = self.lock_filings()?;
        filings.as_mut().map(call)
    }

    /// Replaces the ledger of filings by its next stage.
    pub(crate) fn advance_filings(&self, step: impl FnOnce(Filings) -> Filings) {
        if let Some(mut filings) = self.lock_filings() {
            *filings = filings.take().map(step);
        }
    }

    fn lock_filings(&self) -> Option<MutexGuard<'_, Option<Filings>>> {
        let filings = self.filings.get()?;
        Some(filings.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Expiry of the lease, by this process's clock.
    pub(crate) fn lease_until(&self) -> Now {
        Duration::from_micros(self.lease_until_us.load(Ordering::Acquire))
    }

    /// Sets the expiry of the lease.
    pub(crate) fn set_lease_until(&self, until: Now) {
        let until_us = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.lease_until_us.store(until_us, Ordering::Release);
    }

    /// Marks an upstream as leaving; the first call notifies control.
    pub(crate) fn report_leaving(&self, upstream: &Upstream) {
        if upstream.mark_leaving() {
            // The channel is closed only when the process is stopping.
            let _ = self
                .control_tx
                .send(ControlMessage::UpstreamLeaving(upstream.id.clone()));
        }
    }
}
