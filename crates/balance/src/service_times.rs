//! Service times at warm and cold upstreams.
//!
//! Only responses update the estimates, and requests that aren't expected to be answered in time get none. Estimates that
//! rule out all requests would therefore last for good, so a few requests are sent as probes in spite of them, and the
//! response to a probe replaces the estimates.

use base::Now;
use std::time::Duration;

/// Weight of the latest time in the warm estimate if it is above the estimate.
const WEIGHT_ABOVE: f64 = 0.03;
/// Weight of the latest time in the warm estimate if it is below the estimate.
///
/// With these two weights the estimate settles at the value below which a sixth of all times lie, so times that include
/// a wait or that a full upstream stretches hardly change it. A plain mean would grow once queues form; longer waits
/// would then be accepted, and the queues would outlast the burst that caused them.
const WEIGHT_BELOW: f64 = 0.15;
/// Weight of the latest time in the cold estimate, which gets fewer samples.
const WEIGHT_COLD: f64 = 0.1;
/// Weight of the latest result in the rate at which upstreams assumed warm are warm.
const WEIGHT_ASSUMED_WARM: f64 = 0.05;
/// Cold service time before the first response.
const COLD_DEFAULT: Duration = Duration::from_millis(300);
/// Ratio of warm to cold service time before both have been observed.
const WARM_RATIO_DEFAULT: f64 = 0.4;
/// A response from an upstream not known to be warm counts as warm if its service time is below this multiple of the
/// warm estimate.
const WARM_FACTOR_MAX: f64 = 1.6;
/// Minimum time from a response that changes the cold estimate, or from a probe, to the next probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Estimated service times, without the network round trip.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimes {
    warm_s: Option<f64>,
    cold_s: Option<f64>,
    /// Rate at which upstreams not known to be warm turned out to be warm.
    assumed_warm_rate: f64,
    /// Time from which a request may be sent as a probe.
    next_probe_at: Now,
}

impl ServiceTimes {
    /// Records the service time of a response that did not wait for a slot. `known_warm` is whether the upstream was
    /// known to have served the key recently.
    pub fn note(&mut self, known_warm: bool, service_time: Duration, now: Now) {
        let time_s = service_time.as_secs_f64();
        let was_warm = self
            .warm_s
            .is_some_and(|warm| time_s < warm * WARM_FACTOR_MAX);
        if !known_warm {
            let result = if was_warm { 1.0 } else { 0.0 };
            self.assumed_warm_rate += WEIGHT_ASSUMED_WARM * (result - self.assumed_warm_rate);
        }
        if known_warm || was_warm {
            // Such a response doesn't delay probes: the estimate for the other upstreams may still be outdated.
            self.note_warm(time_s);
        } else {
            self.next_probe_at = now + PROBE_INTERVAL;
            let cold = self.cold_s.unwrap_or(time_s);
            self.cold_s = Some(cold + WEIGHT_COLD * (time_s - cold));
        }
    }

    /// Returns whether a request may be sent as a probe.
    pub fn is_probe_due(&self, now: Now) -> bool {
        now >= self.next_probe_at
    }

    /// Records that a probe is sent.
    pub fn note_probe_sent(&mut self, now: Now) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Discards the estimates, since a probe has got a response.
    pub fn reset(&mut self) {
        *self = Self {
            next_probe_at: self.next_probe_at,
            ..Self::default()
        };
    }

    fn note_warm(&mut self, time_s: f64) {
        let weight = match self.warm_s {
            Some(warm) if time_s > warm => WEIGHT_ABOVE,
            _ => WEIGHT_BELOW,
        };
        let warm = self.warm_s.unwrap_or(time_s);
        self.warm_s = Some(warm + weight * (time_s - warm));
    }

    /// Returns whether any response has been recorded.
    pub fn is_known(&self) -> bool {
        self.warm_s.is_some() || self.cold_s.is_some()
    }

    /// Returns the service time at an upstream that served the key recently.
    pub fn warm(&self) -> Duration {
        let cold = self.cold();
        let warm = self.warm_s.map(Duration::from_secs_f64);
        let warm = warm.unwrap_or_else(|| cold.mul_f64(WARM_RATIO_DEFAULT));
        warm.min(cold)
    }

    /// Returns the service time at any other upstream.
    pub fn cold(&self) -> Duration {
        let observed = self.cold_s.map(Duration::from_secs_f64);
        let from_warm = self.warm_s.map(|warm| warm / WARM_RATIO_DEFAULT);
        let from_warm = from_warm.map(Duration::from_secs_f64);
        observed.or(from_warm).unwrap_or(COLD_DEFAULT)
    }

    /// Returns the service time at an upstream that is assumed to be warm, weighted by how often that assumption was
    /// recently right. It counts as never right at first, because no upstream has served anything yet.
    pub fn assumed_warm(&self) -> Duration {
        let (warm, cold) = (self.warm(), self.cold());
        warm.mul_f64(self.assumed_warm_rate) + cold.mul_f64(1.0 - self.assumed_warm_rate)
    }
}
