//! What traffic threads saw of one upstream, in atomics that control differences.

use std::{
    sync::atomic::{
        AtomicU32,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Weight of a new sample in the moving average of latency, as a power of two.
const EWMA_SHIFT: u32 = 3;
/// A sample above this many times the average counts for half.
///
/// An upstream that has become slow answers seldom: at the usual weight it goes on looking quick,
/// and draws work, for as many of its slow answers as the average needs to follow.
const JUMP: u64 = 3;

/// Failures in a row after which traffic threads leave an upstream, before control has judged it.
///
/// Control suspects it for the same failures, at its next tick at the latest.
const STREAK_MAX: u32 = 2;

/// What traffic threads saw of an upstream since the process started.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Failures since the last answer and the last tick of control.
    streak: AtomicU32,
    latency_us: AtomicU64,
    answered: AtomicU64,
    latency_sum_us: AtomicU64,
    timed_out: AtomicU64,
    not_sent: AtomicU64,
    broken: AtomicU64,
    shed: AtomicU64,
}

impl Seen {
    /// Notes a whole answer that took `latency` to its first byte.
    pub(crate) fn note_answer(&self, latency: Duration) {
        let sample_us = to_us(latency);
        self.streak.store(0, Ordering::Relaxed);
        self.answered.fetch_add(1, Ordering::Relaxed);
        self.latency_sum_us.fetch_add(sample_us, Ordering::Relaxed);
        // Racing samples may lose one of them, which a moving average bears.
        let old_us = self.latency_us.load(Ordering::Relaxed);
        let new_us = match old_us {
            0 => sample_us,
            _ if sample_us / JUMP > old_us => old_us / 2 + sample_us / 2,
            _ => old_us - (old_us >> EWMA_SHIFT) + (sample_us >> EWMA_SHIFT),
        };
        self.latency_us.store(new_us, Ordering::Relaxed);
    }

    /// Notes a request that timed out.
    pub(crate) fn note_timeout(&self) {
        self.timed_out.fetch_add(1, Ordering::Relaxed);
        self.streak.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes an answer that was cut, short, or somebody else's.
    pub(crate) fn note_broken(&self) {
        self.broken.fetch_add(1, Ordering::Relaxed);
        self.streak.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a connection that could not be opened.
    pub(crate) fn note_not_sent(&self) {
        self.not_sent.fetch_add(1, Ordering::Relaxed);
        self.streak.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a refusal by the upstream itself.
    pub(crate) fn note_shed(&self) {
        self.shed.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether it fails, as far as is known since control last judged it.
    ///
    /// What fails at once looks idle, and draws the work of a whole tick: one would notice a burst
    /// of failures, as many as requests come in a tenth of a second, and a budget of retries that
    /// is used up by them.
    pub(crate) fn fails(&self) -> bool {
        self.streak.load(Ordering::Relaxed) >= STREAK_MAX
    }

    /// Notes that control has judged what was seen.
    pub(crate) fn judged(&self) {
        self.streak.store(0, Ordering::Relaxed);
    }

    /// Begins the moving average of latency anew.
    pub(crate) fn reset_latency(&self, latency: Duration) {
        self.latency_us.store(to_us(latency), Ordering::Relaxed);
    }

    /// Moving average of latency; zero before the first answer.
    pub(crate) fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us.load(Ordering::Relaxed))
    }

    /// Totals, for control to difference.
    pub(crate) fn totals(&self) -> Totals {
        Totals {
            answered: self.answered.load(Ordering::Relaxed),
            latency_sum_us: self.latency_sum_us.load(Ordering::Relaxed),
            timed_out: self.timed_out.load(Ordering::Relaxed),
            not_sent: self.not_sent.load(Ordering::Relaxed),
            broken: self.broken.load(Ordering::Relaxed),
            shed: self.shed.load(Ordering::Relaxed),
        }
    }
}

/// Totals of [`Seen`] at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Totals {
    answered: u64,
    latency_sum_us: u64,
    timed_out: u64,
    not_sent: u64,
    broken: u64,
    shed: u64,
}

impl Totals {
    /// What was seen between `before` and these totals.
    pub(crate) fn since(&self, before: &Self) -> steer::WindowStats {
        let count = |now: u64, then: u64| u32::try_from(now - then).unwrap_or(u32::MAX);
        steer::WindowStats {
            responses: count(self.answered, before.answered),
            latency_sum: Duration::from_micros(self.latency_sum_us - before.latency_sum_us),
            timeouts: count(self.timed_out, before.timed_out),
            refused: count(self.not_sent, before.not_sent),
            // An upstream that sheds now and then is at its limit and not down; like a cut answer
            // one alone is forgiven, and a few in a row are not.
            truncated: count(self.broken, before.broken)
                .saturating_add(count(self.shed, before.shed)),
        }
    }
}

/// Microseconds of `time`, as atomics keep them.
pub(super) fn to_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
