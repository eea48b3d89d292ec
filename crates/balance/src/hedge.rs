//! Decides when a request is sent to a second upstream (a hedged request).
//!
//! If a few requests take several times as long as the others for no reason that the entry could know before, waiting for
//! them costs their callers the target or the response. A second send, made once the first has taken longer than nearly
//! all requests do, is then expected to respond first.
//!
//! Routes without such requests are never hedged. If a service becomes slow as a whole, the quantile that the delay is
//! taken from rises with it, and the tail disappears in proportion to the median. Until this has been observed, the
//! limit on the fraction of hedged requests bounds the additional load.

use crate::{
    response_times::ResponseTimes,
    window::Window, //
};
use base::Now;
use std::time::Duration;

/// Number of response times that must be known before a request is hedged.
const SAMPLES_MIN: f64 = 100.0;
/// Fraction of the requests that a pending request must have outlasted.
const DELAY_QUANTILE: f64 = 0.95;
/// Multiple of the median from which a response time belongs to the tail. Requests that an upstream runs without the
/// data of their affinity key take some three times as long, which doesn't make a tail.
const TAIL_FACTOR: f64 = 5.0;
/// Fraction of the requests in the tail from which requests are hedged.
const TAIL_FRACTION_MIN: f64 = 0.01;
/// Probability from which a pending request is expected to miss its target or deadline.
const MISS_PROBABILITY_MIN: f64 = 0.25;
/// Fraction of the remaining time that the second response may take by its estimate.
const TIME_USED: f64 = 0.9;
/// Maximum fraction of a route's requests that are hedged.
const HEDGED_FRACTION_MAX: f64 = 0.05;
/// Window over which that fraction is limited.
const HEDGED_WINDOW: Duration = Duration::from_secs(10);

/// A request whose first send has no response yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend {
    /// Whether its upstream was known to be warm for its key.
    pub warm: bool,
    /// Time since the send, without the network round trip.
    pub elapsed: Duration,
    /// Time left until the latency target is missed.
    pub target_left: Duration,
    /// Time left until the caller's deadline.
    pub deadline_left: Duration,
}

/// Response times of the requests of one route at one service, and the limit on how many of them are hedged.
#[derive(Clone, Debug)]
pub struct Hedger {
    warm_times: ResponseTimes,
    other_times: ResponseTimes,
    sends: Window,
    hedges: Window,
}

impl Default for Hedger {
    fn default() -> Self {
        Self {
            warm_times: ResponseTimes::default(),
            other_times: ResponseTimes::default(),
            sends: Window::new(HEDGED_WINDOW),
            hedges: Window::new(HEDGED_WINDOW),
        }
    }
}

impl Hedger {
    /// Counts a send that may be hedged.
    pub fn note_send(&mut self, now: Now) {
        self.sends.add(1, now);
    }

    /// Records the time from a send to its response, without the network round trip. `warm` is whether the upstream was
    /// known to be warm for the request's key.
    pub fn note_response(&mut self, warm: bool, time: Duration) {
        self.times_mut(warm).note(time);
    }

    /// Records that a send had no response after `elapsed` and was given up.
    pub fn note_unfinished(&mut self, warm: bool, elapsed: Duration) {
        self.times_mut(warm).note_unfinished(elapsed);
    }

    /// Returns the time after which a send may be worth hedging; `None` if response times have no tail, or too few are
    /// known.
    pub fn delay(&self, warm: bool) -> Option<Duration> {
        let times = self.times(warm);
        if times.samples() < SAMPLES_MIN {
            return None;
        }
        let tail_from = times.quantile(0.5).mul_f64(TAIL_FACTOR);
        let has_tail = times.fraction_above(tail_from) >= TAIL_FRACTION_MIN;
        has_tail.then(|| times.quantile(DELAY_QUANTILE))
    }

    /// Returns the longest response time with which a second send would improve on the pending one; `None` if the
    /// pending one is expected in time.
    pub fn response_time_max(&self, pending: &PendingSend) -> Option<Duration> {
        let times = self.times(pending.warm);
        let pending_fraction = times.fraction_above(pending.elapsed);
        let is_missed = |left: Duration| {
            let fraction = times.fraction_above(pending.elapsed + left);
            fraction >= pending_fraction * MISS_PROBABILITY_MIN
        };
        let lefts = [pending.deadline_left, pending.target_left];
        let missed = lefts.into_iter().find(|left| is_missed(*left))?;
        Some(missed.mul_f64(TIME_USED))
    }

    /// Counts a hedged request. Returns whether the limit allowed it.
    #[must_use]
    pub fn try_take(&mut self, now: Now) -> bool {
        let allowed = self.sends.count_lower_bound(now) as f64 * HEDGED_FRACTION_MAX;
        let taken = self.hedges.count_upper_bound(now) as f64 + 1.0 <= allowed;
        if taken {
            self.hedges.add(1, now);
        }
        taken
    }

    fn times(&self, warm: bool) -> &ResponseTimes {
        if warm {
            &self.warm_times
        } else {
            &self.other_times
        }
    }

    fn times_mut(&mut self, warm: bool) -> &mut ResponseTimes {
        if warm {
            &mut self.warm_times
        } else {
            &mut self.other_times
        }
    }
}
