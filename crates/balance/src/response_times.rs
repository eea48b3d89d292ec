//! Distribution of the recent response times of a route.

use std::time::Duration;

/// Upper edge of the first bucket.
const TIME_MIN: Duration = Duration::from_millis(1);
/// Ratio of the upper edges of two adjacent buckets.
const BUCKET_GROWTH: f64 = 1.1;
/// Number of buckets; the last one begins at about three minutes.
const BUCKETS: usize = 128;
/// Fraction of the weight of all earlier samples that each sample takes away: about the last 500 samples count.
const SAMPLE_DECAY: f64 = 0.002;
/// Duration of a request that ended without a response, as a multiple of the time after which it ended, if no longer
/// time is known.
const UNFINISHED_FACTOR: u32 = 2;

/// Decaying histogram of response times, with logarithmic buckets.
#[derive(Clone, Debug)]
pub(crate) struct ResponseTimes {
    weights: [f64; BUCKETS],
    total_weight: f64,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total_weight: 0.0,
        }
    }
}

impl ResponseTimes {
    /// Records the time of a response.
    pub(crate) fn note(&mut self, time: Duration) {
        for weight in &mut self.weights {
            *weight *= 1.0 - SAMPLE_DECAY;
        }
        self.weights[bucket_of(time)] += 1.0;
        self.total_weight = self.total_weight * (1.0 - SAMPLE_DECAY) + 1.0;
    }

    /// Records a request that had no response after `elapsed` and was given up. It counts as one of the median time of
    /// the requests that took longer; otherwise slow requests that are given up would look like fast ones.
    pub(crate) fn note_unfinished(&mut self, elapsed: Duration) {
        let longer = self.median_above(elapsed);
        self.note(longer.unwrap_or(elapsed * UNFINISHED_FACTOR));
    }

    /// Returns the number of samples that count.
    pub(crate) fn samples(&self) -> f64 {
        self.total_weight
    }

    /// Returns a time that this fraction of the requests did not exceed.
    pub(crate) fn quantile(&self, fraction: f64) -> Duration {
        self.time_at(0, self.total_weight * fraction)
    }

    /// Returns the fraction of the requests that took longer than `time`.
    pub(crate) fn fraction_above(&self, time: Duration) -> f64 {
        self.weight_above(time) / self.total_weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the median time of the requests that took longer than `time`, if there were any.
    fn median_above(&self, time: Duration) -> Option<Duration> {
        let weight = self.weight_above(time);
        (weight > 0.0).then(|| self.time_at(bucket_of(time) + 1, weight / 2.0))
    }

    fn weight_above(&self, time: Duration) -> f64 {
        self.weights[bucket_of(time) + 1..].iter().sum()
    }

    /// Returns the upper edge of the bucket in which the weights from bucket `first` on add up to `weight`.
    fn time_at(&self, first: usize, weight: f64) -> Duration {
        let mut sum = 0.0;
        let reached = (first..BUCKETS).find(|&bucket| {
            sum += self.weights[bucket];
            sum >= weight
        });
        upper_edge(reached.unwrap_or(BUCKETS - 1))
    }
}

fn bucket_of(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / TIME_MIN.as_secs_f64();
    let bucket = ratio.max(1.0).log(BUCKET_GROWTH).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> Duration {
    TIME_MIN.mul_f64(BUCKET_GROWTH.powf(bucket as f64))
}
