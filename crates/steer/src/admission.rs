//! Admission control: send now, wait in the short local queue, or refuse at once.

use crate::{
    placement::ClassTarget,
    seed, //
};
use std::time::Duration;

/// Minimum retry delay of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Maximum retry delay of a refusal, before jitter.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(20);
/// Time between completions that is assumed before any was observed.
const DEFAULT_COMPLETION_INTERVAL: Duration = Duration::from_millis(50);
/// Divisor of a retry delay that gives its maximum jitter.
const JITTER_DIVISOR: u32 = 4;

/// Load of one service at this entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Load {
    /// Slots that the entry may use now: the sum of the upstreams' limits.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Queued requests ahead of the one to admit.
    pub queued_ahead: u32,
    /// Queued requests.
    pub queued: u32,
    /// Smoothed service time of the class.
    pub service_time: Duration,
    /// Smoothed time between two completions of the service while it is busy; zero if unknown.
    pub completion_interval: Duration,
}

/// Admission decision for one request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Admission {
    /// A slot is free for the request.
    Send,
    /// The request may wait; the expected wait fits its latency target and its deadline.
    Queue {
        /// Expected wait before it is sent.
        expected_wait: Duration,
    },
    /// The request is refused at once and was not run.
    Refuse {
        /// Time after which the wait is expected to fit.
        retry_after: Duration,
    },
}

/// Admission control for the classes that share one service.
///
/// Classes are ranked by explicit priority, then by latency target, the stricter first. Each class
/// leaves free the headroom that higher-ranked classes require, so that under load the class with
/// the laxest target is refused first. The queue is short by construction: a request that would
/// miss its latency target or its deadline while queued is refused on arrival, not once its
/// deadline has passed.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdmissionControl {
    targets: Vec<ClassTarget>,
    reserve_pct: Vec<u32>,
    queue_max: u32,
}

impl AdmissionControl {
    /// Creates admission control for the classes of `targets`, identified by their index.
    ///
    /// The queue holds at most `queue_max` requests.
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

    /// Percentage of the slots that class `class` leaves free for higher-ranked classes.
    pub fn reserve_pct(&self, class: usize) -> u32 {
        self.reserve_pct[class]
    }

    /// Whether class `left` ranks above class `right`.
    pub fn outranks(&self, left: usize, right: usize) -> bool {
        outranks(&self.targets[left], &self.targets[right])
    }

    /// Expected wait of a request of class `class`; zero when a slot is free for it.
    ///
    /// Serves as the wait in the [`Estimate`](crate::RegionEstimate) of the local region.
    pub fn expected_wait(&self, class: usize, load: &Load) -> Duration {
        let reserve = reserved_slots(load.slots, self.reserve_pct[class]);
        let free = load.slots.saturating_sub(load.in_flight);
        if free > reserve && load.queued_ahead == 0 {
            return Duration::ZERO;
        }
        expected_wait(load, free, reserve)
    }

    /// Decides on a request of class `class` that has just arrived or that waits in the queue.
    ///
    /// `waited` is the time that the request has already waited, `deadline_left` the time left
    /// until the caller's deadline. The `seed` adds jitter to the retry delay, as requests refused
    /// at the same time would otherwise be retried at the same time.
    pub fn admit(
        &self,
        class: usize,
        load: &Load,
        waited: Duration,
        deadline_left: Duration,
        seed: u64,
    ) -> Admission {
        let reserve = reserved_slots(load.slots, self.reserve_pct[class]);
        let free = load.slots.saturating_sub(load.in_flight);
        if free > reserve && load.queued_ahead == 0 {
            return Admission::Send;
        }
        let wait = expected_wait(load, free, reserve);
        let allowed = self.allowed_wait(class, load, waited, deadline_left);
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

    /// Longest wait that leaves enough time for the service within the class's latency target and
    /// the deadline.
    fn allowed_wait(
        &self,
        class: usize,
        load: &Load,
        waited: Duration,
        deadline_left: Duration,
    ) -> Duration {
        let target_left = self.targets[class].latency_target.saturating_sub(waited);
        target_left
            .min(deadline_left)
            .saturating_sub(load.service_time)
    }
}

/// `pct` percent of `slots`, rounded up, but never all of them.
fn reserved_slots(slots: u32, pct: u32) -> u32 {
    let exact = u64::from(slots) * u64::from(pct.min(100));
    let rounded = u32::try_from(exact.div_ceil(100)).unwrap_or(slots);
    rounded.min(slots.saturating_sub(1))
}

/// Time until a slot is free for the request, from the observed completion rate.
fn expected_wait(load: &Load, free: u32, reserve: u32) -> Duration {
    let completions = load
        .queued_ahead
        .saturating_add(reserve + 1)
        .saturating_sub(free)
        .max(1);
    let interval = if !load.completion_interval.is_zero() {
        load.completion_interval
    } else if !load.service_time.is_zero() {
        load.service_time / load.slots.max(1)
    } else {
        DEFAULT_COMPLETION_INTERVAL
    };
    interval.saturating_mul(completions)
}

/// Retry delay, with jitter, for a wait that exceeds the allowed one by `excess`.
fn retry_after(excess: Duration, seed: u64) -> Duration {
    let delay = excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    let parts = 1 << 10;
    // Below 1024, which fits.
    let part = seed::below(seed, parts) as u32;
    delay + delay / JITTER_DIVISOR * part / 1024
}

/// Largest headroom target among the classes that rank above `target`.
fn reserve_for(target: &ClassTarget, targets: &[ClassTarget]) -> u32 {
    targets
        .iter()
        .filter(|other| outranks(other, target))
        .map(|other| other.headroom_pct)
        .max()
        .unwrap_or(0)
}

/// Whether `left` ranks above `right`: by priority, then by the stricter latency target.
fn outranks(left: &ClassTarget, right: &ClassTarget) -> bool {
    let rank = |target: &ClassTarget| {
        let priority = target.priority.unwrap_or(0);
        (std::cmp::Reverse(priority), target.latency_target)
    };
    rank(left) < rank(right)
}
