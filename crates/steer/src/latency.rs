//! Latencies observed by an entry: smoothed, summed over a window, and as quantiles.

use std::time::Duration;

/// Weight of one sample in the smoothed latency, as a negative power of two: 1/8.
const SMOOTH_SHIFT: u32 = 3;

/// Exponential moving average after one more `sample`; a `previous` of zero means no sample yet.
///
/// One sample weighs an eighth, so that the average reaches a new level after about twenty samples.
pub fn smooth_latency(previous: Duration, sample: Duration) -> Duration {
    if previous.is_zero() {
        return sample;
    }
    if sample >= previous {
        previous + (sample - previous) / (1 << SMOOTH_SHIFT)
    } else {
        previous - (previous - sample) / (1 << SMOOTH_SHIFT)
    }
}

/// Outcomes that an entry observed at one upstream in a time window, possibly of one response.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WindowStats {
    /// Complete responses.
    pub responses: u32,
    /// Sum of the latencies of the complete responses.
    pub latency_sum: Duration,
    /// Requests that timed out.
    pub timeouts: u32,
    /// Refused connections.
    pub refused: u32,
    /// Responses shorter than declared.
    pub truncated: u32,
}

impl WindowStats {
    /// Window of one complete response.
    pub fn response(latency: Duration) -> Self {
        Self {
            responses: 1,
            latency_sum: latency,
            ..Self::default()
        }
    }

    /// Mean latency of the complete responses, if there were any.
    pub fn mean_latency(&self) -> Option<Duration> {
        self.latency_sum.checked_div(self.responses)
    }

    /// Requests that failed in any way.
    pub fn failures(&self) -> u32 {
        self.timeouts
            .saturating_add(self.refused)
            .saturating_add(self.truncated)
    }

    /// Adds the outcomes of another window.
    pub fn add(&mut self, other: &Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.latency_sum = self.latency_sum.saturating_add(other.latency_sum);
        self.timeouts = self.timeouts.saturating_add(other.timeouts);
        self.refused = self.refused.saturating_add(other.refused);
        self.truncated = self.truncated.saturating_add(other.truncated);
    }
}

/// Buckets of a [`LatencyHistogram`]: four per power of two, from 1 µs to more than an hour.
const BUCKETS: usize = 128;
/// Base-2 logarithm of the buckets per power of two.
const SUB_BITS: u32 = 2;
/// Number of samples at which the counts are halved, so that old samples lose weight.
const DECAY_AT: u32 = 4096;

/// Recent latencies of one class, for quantiles with a relative error below 20%.
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
    /// Adds the latency of one response.
    pub fn record(&mut self, latency: Duration) {
        if self.total >= DECAY_AT {
            self.decay();
        }
        self.counts[bucket(latency)] += 1;
        self.total += 1;
    }

    /// Number of samples in the histogram.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Upper bound of the bucket that holds the quantile `permille`, if there are samples.
    pub fn quantile(&self, permille: u32) -> Option<Duration> {
        let rank = u64::from(self.total) * u64::from(permille.min(1000));
        let target = rank.div_ceil(1000).max(1);
        let mut cumulative = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            cumulative += u64::from(count);
            if cumulative >= target {
                return Some(upper_bound(index));
            }
        }
        None
    }

    fn decay(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

/// Bucket index of `latency`, from its leading bit and the two bits after it.
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

/// Upper bound of the bucket `index`.
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
