//! Latencies as an entry sees them: smoothed, summed over a window, and as a quantile.

use std::time::Duration;

/// Weight of one sample in the smoothed latency, as a power of two: 1/8.
const SMOOTH_SHIFT: u32 = 3;

/// Smoothed latency after one more `sample`; a `seen` of zero means that none was seen before.
///
/// One sample weighs an eighth, so that about twenty answers carry it to a new level.
pub fn smooth_latency(seen: Duration, sample: Duration) -> Duration {
    if seen.is_zero() {
        return sample;
    }
    if sample >= seen {
        seen + (sample - seen) / (1 << SMOOTH_SHIFT)
    } else {
        seen - (seen - sample) / (1 << SMOOTH_SHIFT)
    }
}

/// What an entry saw of one upstream in a window of time; a window may be a single answer.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Seen {
    /// Whole answers.
    pub answers: u32,
    /// Sum of the latencies of these answers.
    pub latency_sum: Duration,
    /// Requests that timed out.
    pub timeouts: u32,
    /// Connections refused.
    pub refused: u32,
    /// Answers shorter than declared.
    pub truncated: u32,
}

impl Seen {
    /// Window of one whole answer.
    pub fn answer(latency: Duration) -> Self {
        Self {
            answers: 1,
            latency_sum: latency,
            ..Self::default()
        }
    }

    /// Mean latency of the whole answers, if there were any.
    pub fn mean_latency(&self) -> Option<Duration> {
        self.latency_sum.checked_div(self.answers)
    }

    /// Requests that failed in any way.
    pub fn failures(&self) -> u32 {
        self.timeouts
            .saturating_add(self.refused)
            .saturating_add(self.truncated)
    }

    /// Adds what another window saw.
    pub fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.latency_sum = self.latency_sum.saturating_add(other.latency_sum);
        self.timeouts = self.timeouts.saturating_add(other.timeouts);
        self.refused = self.refused.saturating_add(other.refused);
        self.truncated = self.truncated.saturating_add(other.truncated);
    }
}

/// Buckets of a [`LatencyHistogram`]: four for each doubling from 1 µs to more than an hour.
const BUCKETS: usize = 128;
/// Buckets of one doubling, as a power of two.
const SUB_BITS: u32 = 2;
/// Answers after which the counts are halved, so that old ones fade.
const FADE_AT: u32 = 4096;

/// Recent latencies of one class, for quantiles; the error is below a fifth.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LatencyHistogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    /// Adds one answer's latency.
    pub fn record(&mut self, latency: Duration) {
        if self.total >= FADE_AT {
            self.fade();
        }
        self.counts[bucket(latency)] += 1;
        self.total += 1;
    }

    /// Answers that the counts still hold.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Upper bound of the bucket that holds the quantile `permille`, if anything was recorded.
    pub fn quantile(&self, permille: u32) -> Option<Duration> {
        let rank = u64::from(self.total) * u64::from(permille.min(1000));
        let wanted = rank.div_ceil(1000).max(1);
        let mut below = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            below += u64::from(count);
            if below >= wanted {
                return Some(upper_bound(index));
            }
        }
        None
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

/// Bucket of `latency`: its leading bit and the two bits after it.
fn bucket(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    if micros < 1 << SUB_BITS {
        // Below four, which fits.
        return micros as usize;
    }
    let exponent = micros.ilog2();
    let sub = (micros >> (exponent - SUB_BITS)) & ((1 << SUB_BITS) - 1);
    let index = u64::from((exponent - 1) << SUB_BITS) + sub;
    // At most 62 * 4 + 3, which fits.
    (index as usize).min(BUCKETS - 1)
}

/// Latency at which bucket `index` ends.
fn upper_bound(index: usize) -> Duration {
    // Below 128, which fits.
    let index = index as u64;
    if index < 1 << SUB_BITS {
        return Duration::from_micros(index + 1);
    }
    let exponent = (index >> SUB_BITS) + 1;
    let sub = index & ((1 << SUB_BITS) - 1);
    let step = 1u64 << (exponent - u64::from(SUB_BITS));
    Duration::from_micros((1 << exponent) + (sub + 1) * step)
}
