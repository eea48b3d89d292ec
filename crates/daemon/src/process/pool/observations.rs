//! Results of requests to one upstream, recorded by traffic threads in atomics and read by control.

use std::{
    sync::atomic::{
        AtomicU32,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Weight of a new sample in the moving average of latency, as a right shift.
const EWMA_SHIFT: u32 = 3;
/// A sample above this multiple of the average gets a weight of one half.
///
/// An upstream that has become slow responds rarely. At the normal weight it would look fast, and
/// attract work, for the many slow responses that the average needs to adapt.
const OUTLIER_FACTOR: u64 = 3;

/// Consecutive failures after which traffic threads avoid an upstream, ahead of control.
///
/// Control suspects the upstream for the same failures, at its next tick at the latest.
const FAILURE_STREAK_MAX: u32 = 2;

/// Results of requests to one upstream since the process started.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    /// Failures since the last response or the last tick of control.
    failure_streak: AtomicU32,
    latency_us: AtomicU64,
    answered: AtomicU64,
    latency_sum_us: AtomicU64,
    timed_out: AtomicU64,
    not_sent: AtomicU64,
    broken: AtomicU64,
    shed: AtomicU64,
}

impl Observations {
    /// Records a complete response whose first byte took `latency`.
    pub(crate) fn record_response(&self, latency: Duration) {
        let sample_us = to_us(latency);
        self.failure_streak.store(0, Ordering::Relaxed);
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.latency_sum_us.fetch_add(sample_us, Ordering::Relaxed);
        // Concurrent updates may lose a sample, which is acceptable in a moving average.
        let old_us = self.latency_us.load(Ordering::Relaxed);
        let new_us = match old_us {
            0 => sample_us,
            _ if sample_us / OUTLIER_FACTOR > old_us => old_us / 2 + sample_us / 2,
            _ => old_us - (old_us >> EWMA_SHIFT) + (sample_us >> EWMA_SHIFT),
        };
        self.latency_us.store(new_us, Ordering::Relaxed);
    }

    /// Records a request that timed out.
    pub(crate) fn record_timeout(&self) {
        self.timed_out.fetch_add(1, Ordering::Relaxed);
        self.failure_streak.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a response that was cut off, too short, or for a different request.
    pub(crate) fn record_broken(&self) {
        self.broken.fetch_add(1, Ordering::Relaxed);
        self.failure_streak.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a request that was not sent, as no connection could be opened.
    pub(crate) fn record_not_sent(&self) {
        self.not_sent.fetch_add(1, Ordering::Relaxed);
        self.failure_streak.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a request that the upstream shed.
    pub(crate) fn record_shed(&self) {
        self.shed.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the upstream has failed repeatedly since control last evaluated it.
    ///
    /// An upstream that fails immediately looks idle and would attract the work of a whole tick: a
    /// burst of failures, as many as requests arrive in a tenth of a second, which exhausts the
    /// retry budget.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_streak.load(Ordering::Relaxed) >= FAILURE_STREAK_MAX
    }

    /// Resets the failure streak after control has evaluated the upstream.
    pub(crate) fn reset_failure_streak(&self) {
        self.failure_streak.store(0, Ordering::Relaxed);
    }

    /// Restarts the moving average of latency from `latency`.
    pub(crate) fn reset_latency(&self, latency: Duration) {
        self.latency_us.store(to_us(latency), Ordering::Relaxed);
    }

    /// Moving average of latency; zero before the first response.
    pub(crate) fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us.load(Ordering::Relaxed))
    }

    /// Current totals. Control uses the difference between two of them.
    pub(crate) fn totals(&self) -> ObservationTotals {
        ObservationTotals {
            answered: self.answered.load(Ordering::Relaxed),
            latency_sum_us: self.latency_sum_us.load(Ordering::Relaxed),
            timed_out: self.timed_out.load(Ordering::Relaxed),
            not_sent: self.not_sent.load(Ordering::Relaxed),
            broken: self.broken.load(Ordering::Relaxed),
            shed: self.shed.load(Ordering::Relaxed),
        }
    }
}

/// Totals of [`Observations`] at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ObservationTotals {
    answered: u64,
    latency_sum_us: u64,
    timed_out: u64,
    not_sent: u64,
    broken: u64,
    shed: u64,
}

impl ObservationTotals {
    /// Results recorded between `before` and these totals.
    pub(crate) fn since(&self, before: &Self) -> steer::WindowStats {
        let count = |now: u64, then: u64| u32::try_from(now - then).unwrap_or(u32::MAX);
        steer::WindowStats {
            responses: count(self.answered, before.answered),
            latency_sum: Duration::from_micros(self.latency_sum_us - before.latency_sum_us),
            timeouts: count(self.timed_out, before.timed_out),
            refused: count(self.not_sent, before.not_sent),
            // An upstream that sheds occasionally is at its limit, not down. As for truncated
            // responses, a single one is tolerated and several in a row are not.
            truncated: count(self.broken, before.broken)
                .saturating_add(count(self.shed, before.shed)),
        }
    }
}

/// Converts `time` to microseconds, the unit of the atomics.
pub(super) fn to_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
