//! Admission: send now, wait in the short local queue, or refuse at once.

use crate::{
    place::ClassTarget,
    seed, //
};
use std::time::Duration;

/// Shortest retry delay that a refusal names.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest retry delay that a refusal names, before its jitter.
const RETRY_MAX: Duration = Duration::from_secs(20);
/// Time between completions that is assumed while none was seen.
const GAP_UNKNOWN: Duration = Duration::from_millis(50);
/// Part of a retry delay that is added at random, as a divisor.
const JITTER_PART: u32 = 4;

/// This entry's load of one service.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Load {
    /// Slots that it may use now: the sum of its upstreams' limits.
    pub slots: u32,
    /// Its requests in flight.
    pub in_flight: u32,
    /// Requests in its queue that go before the one to admit.
    pub queued_ahead: u32,
    /// Requests in its queue.
    pub queued: u32,
    /// Smoothed time of service of the class.
    pub service: Duration,
    /// Smoothed time between two completions of the service while it is busy.
    pub completion_gap: Duration,
}

/// Verdict on one request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Admission {
    /// A slot is free for it.
    Send,
    /// It may wait; its expected wait fits its target and its deadline.
    Queue {
        /// Wait expected before it is sent.
        expected_wait: Duration,
    },
    /// Its final answer goes out at once: it was not run.
    Refuse {
        /// Time after which its wait is expected to fit.
        retry_after: Duration,
    },
}

/// Admission of the classes that share one service.
///
/// The classes are ranked: by explicit priority, then the stricter latency target first. Each
/// class leaves free what the ones before it ask as headroom, so that under load the laxest is
/// refused first. The queue is short by construction: a request that would miss its target or
/// its deadline in it is refused when it comes, rather than when its time has run out.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Admit {
    targets: Vec<ClassTarget>,
    reserve_pct: Vec<u32>,
    queue_max: u32,
}

impl Admit {
    /// Admission for the classes of `targets`, which are known by their index from here on.
    ///
    /// The queue holds `queue_max` requests at most.
    pub fn new(targets: Vec<ClassTarget>, queue_max: u32) -> Self {
        let reserve_pct = targets
            .iter()
            .map(|target| reserve_for(target, &targets))
            .collect();
        Self {
            targets,
            reserve_pct,
            queue_max,
        }
    }

    /// Percent of the slots that class `class` leaves free for those ranked before it.
    pub fn reserve_pct(&self, class: usize) -> u32 {
        self.reserve_pct[class]
    }

    /// Whether class `left` goes before class `right`.
    pub fn goes_before(&self, left: usize, right: usize) -> bool {
        goes_before(&self.targets[left], &self.targets[right])
    }

    /// Wait that a request of class `class` would expect now; zero when a slot is free for it.
    ///
    /// It is the wait of an [`Estimate`](crate::Estimate) of this entry's own region.
    pub fn expected_wait(&self, class: usize, load: &Load) -> Duration {
        let reserve = reserved(load.slots, self.reserve_pct[class]);
        let free = load.slots.saturating_sub(load.in_flight);
        if free > reserve && load.queued_ahead == 0 {
            return Duration::ZERO;
        }
        expected_wait(load, free, reserve)
    }

    /// Judges a request of class `class` that came now, or one that waits in the queue.
    ///
    /// `patience` is what the caller's deadline leaves and what the request already waited is
    /// `waited`. The `seed` spreads retries, or those refused together would come back together.
    pub fn admit(
        &self,
        class: usize,
        load: &Load,
        waited: Duration,
        patience: Duration,
        seed: u64,
    ) -> Admission {
        let reserve = reserved(load.slots, self.reserve_pct[class]);
        let free = load.slots.saturating_sub(load.in_flight);
        if free > reserve && load.queued_ahead == 0 {
            return Admission::Send;
        }
        let wait = expected_wait(load, free, reserve);
        let allowed = self.allowed_wait(class, load, waited, patience);
        let has_room = load.queued < self.queue_max || !waited.is_zero();
        if load.slots > 0 && has_room && wait <= allowed {
            return Admission::Queue {
                expected_wait: wait,
            };
        }
        Admission::Refuse {
            retry_after: retry_after(wait.saturating_sub(allowed), seed),
        }
    }

    /// Wait that leaves time for the service, within the class's target and the deadline.
    fn allowed_wait(
        &self,
        class: usize,
        load: &Load,
        waited: Duration,
        patience: Duration,
    ) -> Duration {
        let target_left = self.targets[class].latency_target.saturating_sub(waited);
        target_left.min(patience).saturating_sub(load.service)
    }
}

/// Slots of `slots` that `pct` percent reserve, rounded up, but never all of them.
fn reserved(slots: u32, pct: u32) -> u32 {
    let exact = u64::from(slots) * u64::from(pct.min(100));
    let rounded = u32::try_from(exact.div_ceil(100)).unwrap_or(slots);
    rounded.min(slots.saturating_sub(1))
}

/// Time until a slot is free for the request, from the observed rate of completions.
fn expected_wait(load: &Load, free: u32, reserve: u32) -> Duration {
    let completions = load
        .queued_ahead
        .saturating_add(reserve + 1)
        .saturating_sub(free)
        .max(1);
    let gap = if !load.completion_gap.is_zero() {
        load.completion_gap
    } else if !load.service.is_zero() {
        load.service / load.slots.max(1)
    } else {
        GAP_UNKNOWN
    };
    gap.saturating_mul(completions)
}

/// Retry delay for a wait that is too long by `excess`, with jitter.
fn retry_after(excess: Duration, seed: u64) -> Duration {
    let delay = excess.clamp(RETRY_MIN, RETRY_MAX);
    let parts = 1 << 10;
    // Below 1024, which fits.
    let part = seed::below(seed, parts) as u32;
    delay + delay / JITTER_PART * part / 1024
}

/// The largest headroom target among the classes that go before `target`.
fn reserve_for(target: &ClassTarget, targets: &[ClassTarget]) -> u32 {
    targets
        .iter()
        .filter(|other| goes_before(other, target))
        .map(|other| other.headroom_pct)
        .max()
        .unwrap_or(0)
}

/// Whether `left` goes before `right`: by priority, then the stricter latency target.
fn goes_before(left: &ClassTarget, right: &ClassTarget) -> bool {
    let rank = |target: &ClassTarget| {
        let priority = target.priority.unwrap_or(0);
        (std::cmp::Reverse(priority), target.latency_target)
    };
    rank(left) < rank(right)
}
