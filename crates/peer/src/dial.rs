//! Keeping a session to one partner.

use crate::{
    handshake::SessionId,
    mesh::Partner,
    opening::{
        dial,
        DialError,
        Opened, //
    },
    refusal::Refusal,
    session::carry,
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

/// Doublings after which the wait no longer grows, so that the shift below cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Waits between dials: doubling, with jitter, so that instances that lost the same partner do not
/// all come back to it at one moment.
struct Backoff {
    /// First wait.
    min: Duration,
    /// Longest wait.
    max: Duration,
    /// Dials since the last session that lasted.
    attempts: u32,
    /// Source of the jitter.
    random: StdRng,
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
            random: StdRng::from_seed(seed),
        }
    }

    /// Wait before the next dial; none before the first.
    fn next(&mut self) -> Duration {
        let doublings = self.attempts.min(MAX_DOUBLINGS);
        self.attempts += 1;
        if doublings == 0 {
            return Duration::ZERO;
        }
        let full = self.min.saturating_mul(1 << (doublings - 1)).min(self.max);
        full.mul_f64(self.random.random_range(0.5..1.0))
    }

    /// Notes how long a session lasted. One that ends at once counts as a dial that failed: a peer
    /// whose every session breaks would be dialled without a pause otherwise.
    fn lasted(&mut self, time: Duration) {
        if time >= self.max {
            self.attempts = 0;
        }
    }
}

/// Keeps a session to `partner` until `wanted` is false or the mesh closes.
pub(crate) async fn keep(shared: Rc<Shared>, partner: Partner, wanted: watch::Receiver<bool>) {
    let mut backoff = Backoff::new(&shared, &partner);
    let mut lost = None;
    while *wanted.borrow() {
        let opened = tokio::select! {
            () = shared.reached(Phase::Closing) => return,
            () = unwanted(wanted.clone()) => return,
            opened = open(&shared, &partner, &mut backoff, &mut lost) => opened,
        };
        let begun = Instant::now();
        carry(&shared, opened).await;
        backoff.lasted(begun.elapsed());
    }
}

/// Waits until the partner is no longer wanted.
async fn unwanted(mut wanted: watch::Receiver<bool>) {
    // A dropped sender means the same.
    let _ = wanted.wait_for(|wanted| !wanted).await;
}

/// Dials whenever there is no session, until there is one of ours.
async fn open(
    shared: &Rc<Shared>,
    partner: &Partner,
    backoff: &mut Backoff,
    lost: &mut Option<SessionId>,
) -> Opened {
    loop {
        let instance = &partner.instance;
        shared.until(|registry| !registry.is_linked(instance)).await;
        sleep(backoff.next()).await;
        if shared.registry.borrow().is_linked(instance) {
            continue;
        }
        // Kept after the peer is down here: its own end may still hold the lost session.
        if let Some(id) = shared.registry.borrow().lost(instance) {
            *lost = Some(id);
        }
        shared.counters.dials.increment();
        match dial(shared, partner, lost.clone()).await {
            Ok(opened) => {
                *lost = None;
                return opened;
            }
            Err(error) => failed(shared, partner, error),
        }
    }
}

/// Counts a failed dial and draws what follows from it.
fn failed(shared: &Rc<Shared>, partner: &Partner, error: DialError) {
    shared.counters.failed_dials.increment();
    match error {
        // Nobody listens where the peer did: its process is gone, no need to wait for a reopening.
        DialError::Nobody => gone(shared, partner),
        DialError::Refused(why) if why != Refusal::Closed => shared.refuse(partner.addr, why),
        DialError::Refused(_) | DialError::Unreachable => {}
    }
}

/// Gives up a peer that is being reopened.
fn gone(shared: &Rc<Shared>, partner: &Partner) {
    let lost = shared.registry.borrow().lost(&partner.instance);
    if let Some(lost) = lost {
        shared.give_up(&partner.instance, &lost);
    }
}
