//! Counter whose past fades.

use base::Now;
use std::time::Duration;

/// Rate of events, averaged with exponentially falling weights.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRate {
    sum: f64,
    at: Now,
}

impl DecayingRate {
    /// Counts an event with this weight.
    pub(crate) fn note(&mut self, weight: f64, time_constant: Duration, now: Now) {
        self.sum = self.sum_at(time_constant, now) + weight;
        self.at = now.max(self.at);
    }

    /// Returns the events per second.
    pub(crate) fn per_s(&self, time_constant: Duration, now: Now) -> f64 {
        self.sum_at(time_constant, now) / time_constant.as_secs_f64()
    }

    fn sum_at(&self, time_constant: Duration, now: Now) -> f64 {
        let age = now.saturating_sub(self.at);
        self.sum * (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
    }
}
