//! Dialling and reconnection to one partner.

use crate::{
    handshake::SessionId,
    mesh::Partner,
    opening::{
        dial,
        DialError,
        OpenedSession, //
    },
    refusal::Refusal,
    session::run_session,
    shared::{
        Phase,
        Shared, //
    }, //
};
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};
use std::{
    rc::Rc,
    time::Duration, //
};
use tokio::{
    sync::watch,
    time::{
        sleep,
        Instant, //
    }, //
};

/// Maximum number of doublings of the delay, so that the shift below cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff between dials, with jitter so that instances that lost the same partner do
/// not all redial it at the same moment.
struct Backoff {
    /// Initial delay.
    min: Duration,
    /// Maximum delay.
    max: Duration,
    /// Dials since the last long-lived session.
    attempts: u32,
    /// Source of the jitter.
    rng: StdRng,
}

impl Backoff {
    /// Backoff of the dials to `partner`; the seed differs by partner.
    fn new(shared: &Shared, partner: &Partner) -> Self {
        let name = blake3::hash(partner.instance.as_bytes());
        let mut seed = *name.as_bytes();
        for (byte, salt) in seed.iter_mut().zip(shared.options.seed.to_le_bytes()) {
            *byte ^= salt;
        }
        Self {
            min: shared.options.backoff_min,
            max: shared.options.backoff_max,
            attempts: 0,
            rng: StdRng::from_seed(seed),
        }
    }

    /// Delay before the next dial; zero before the first.
    fn next(&mut self) -> Duration {
        let doublings = self.attempts.min(MAX_DOUBLINGS);
        self.attempts += 1;
        if doublings == 0 {
            return Duration::ZERO;
        }
        let delay = self.min.saturating_mul(1 << (doublings - 1)).min(self.max);
        delay.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Records how long a session lasted. A short one counts as a failed dial: otherwise a peer
    /// whose sessions all break would be redialled without a delay.
    fn record_session(&mut self, duration: Duration) {
        if duration >= self.max {
            self.attempts = 0;
        }
    }
}

/// Maintains a session to `partner` until `wanted` is false or the mesh closes.
pub(crate) async fn maintain_session(
    shared: Rc<Shared>,
    partner: Partner,
    wanted: watch::Receiver<bool>,
) {
    let mut backoff = Backoff::new(&shared, &partner);
    let mut lost = None;
    while *wanted.borrow() {
        let opened = tokio::select! {
            () = shared.wait_for_phase(Phase::Closing) => return,
            () = wait_until_unwanted(wanted.clone()) => return,
            opened = open_session(&shared, &partner, &mut backoff, &mut lost) => opened,
        };
        let opened_at = Instant::now();
        run_session(&shared, opened).await;
        backoff.record_session(opened_at.elapsed());
    }
}

/// Waits until the partner is no longer wanted.
async fn wait_until_unwanted(mut wanted: watch::Receiver<bool>) {
    // A dropped sender also means that the partner is no longer wanted.
    let _ = wanted.wait_for(|wanted| !wanted).await;
}

/// Dials whenever the partner has no session, until a dialled session is established.
async fn open_session(
    shared: &Rc<Shared>,
    partner: &Partner,
    backoff: &mut Backoff,
    lost: &mut Option<SessionId>,
) -> OpenedSession {
    loop {
        let instance = &partner.instance;
        shared
            .wait_until(|registry| !registry.is_connected(instance))
            .await;
        sleep(backoff.next()).await;
        if shared.registry.borrow().is_connected(instance) {
            continue;
        }
        // The id is kept after the peer is down here: the remote end may still hold the lost
        // session.
        if let Some(id) = shared.registry.borrow().lost_session(instance) {
            *lost = Some(id);
        }
        shared.counters.dials.increment();
        match dial(shared, partner, lost.clone()).await {
            Ok(opened) => {
                *lost = None;
                return opened;
            }
            Err(error) => handle_failure(shared, partner, error),
        }
    }
}

/// Counts a failed dial and handles its consequences.
fn handle_failure(shared: &Rc<Shared>, partner: &Partner, error: DialError) {
    shared.counters.failed_dials.increment();
    match error {
        // Nothing listens at the peer's address: its process has exited and cannot reopen the
        // session.
        DialError::ConnectionRefused => abandon_reopening(shared, partner),
        DialError::Refused(refusal) if refusal != Refusal::Closed => {
            shared.report_refused(partner.addr, refusal)
        }
        DialError::Refused(_) | DialError::Unreachable => {}
    }
}

/// Stops waiting for the partner's lost session to be reopened.
fn abandon_reopening(shared: &Rc<Shared>, partner: &Partner) {
    let lost = shared.registry.borrow().lost_session(&partner.instance);
    if let Some(lost) = lost {
        shared.abandon_reopening(&partner.instance, &lost);
    }
}
