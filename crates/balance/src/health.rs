//! Observed failures and latency of an upstream.

use base::Now;
use std::time::Duration;

/// Weight of the latest result in the moving average of failures: about the last eight results count.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure rate from which an upstream is ejected while others have capacity. It is well above a tenth, since an
/// upstream that fails a tenth of its requests still serves nine of ten.
const EJECTION_THRESHOLD: f64 = 0.45;
/// Duration of the first ejection.
const EJECTION_MIN: Duration = Duration::from_millis(400);
/// Maximum duration of an ejection. One probe per ejection costs little, and a recovered upstream stays unused for this
/// long.
const EJECTION_MAX: Duration = Duration::from_millis(3200);
/// Weight of the latest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time without a response after which the latency is outdated. An upstream that is avoided because it was slow gets no
/// requests that could show that it no longer is.
const LATENCY_RETENTION: Duration = Duration::from_secs(5);

/// Failure rate and latency of one upstream, with outlier ejection.
#[derive(Clone, Debug)]
pub struct Health {
    /// Moving average of results: 0 if all succeeded, 1 if all failed.
    failure_rate: f64,
    /// End of the last ejection.
    ejected_until: Now,
    /// Whether the last failure showed that the upstream does not run. An upstream that runs may still fail requests.
    unreachable: bool,
    /// Duration of the next ejection.
    next_ejection: Duration,
    /// Moving average of the latency in seconds; zero before the first response.
    latency_s: f64,
    /// Time of the last response; `None` before the first, or if the latency was marked as outdated.
    responded_at: Option<Now>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            ejected_until: Now::ZERO,
            unreachable: false,
            next_ejection: EJECTION_MIN,
            latency_s: 0.0,
            responded_at: None,
        }
    }
}

impl Health {
    /// Records a complete response. Returns whether the upstream has recovered from failing.
    pub fn note_response(&mut self, latency: Duration, now: Now) -> bool {
        let has_recovered = self.note_success();
        let latency_s = latency.as_secs_f64();
        let outdated = self.is_latency_outdated(now);
        self.responded_at = Some(now);
        self.latency_s = if self.latency_s == 0.0 || outdated {
            latency_s
        } else {
            self.latency_s + LATENCY_WEIGHT * (latency_s - self.latency_s)
        };
        has_recovered
    }

    /// Records a complete response whose duration says nothing about the upstream, since it depends on its caller as
    /// well. An outdated latency is discarded: an upstream whose responses are all of this kind has no other end of it.
    /// Returns whether the upstream has recovered from failing.
    pub fn note_streamed(&mut self, now: Now) -> bool {
        if self.is_latency_outdated(now) {
            self.latency_s = 0.0;
        }
        self.note_success()
    }

    fn note_success(&mut self) -> bool {
        let was_failing = self.failure_rate >= EJECTION_THRESHOLD;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.unreachable = false;
        if self.failure_rate < EJECTION_THRESHOLD / 2.0 {
            self.next_ejection = EJECTION_MIN;
        }
        was_failing && self.failure_rate < EJECTION_THRESHOLD
    }

    /// Records that a request was given up after `elapsed` although it had not failed. Only a latency below that is
    /// corrected.
    pub fn note_unfinished(&mut self, elapsed: Duration) {
        let longer_s = elapsed.as_secs_f64() - self.latency_s;
        if self.latency_s > 0.0 && longer_s > 0.0 {
            self.latency_s += LATENCY_WEIGHT * longer_s;
        }
    }

    /// Records a failure. `unreachable` marks one that shows that the upstream does not run, such as a refused
    /// connection, and ejects it at once. Returns the duration of the ejection if one begins.
    pub fn note_failure(&mut self, unreachable: bool, now: Now) -> Option<Duration> {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.unreachable = unreachable;
        if unreachable {
            self.failure_rate = self.failure_rate.max(EJECTION_THRESHOLD);
        }
        if self.failure_rate < EJECTION_THRESHOLD || now < self.ejected_until {
            return None;
        }
        let ejection = self.next_ejection;
        self.ejected_until = now + ejection;
        self.next_ejection = (ejection * 2).min(EJECTION_MAX);
        Some(ejection)
    }

    /// Records that the upstream's process has ended, and ejects it for at least `ejection`. Returns that duration if
    /// an ejection begins.
    pub fn note_exit(&mut self, ejection: Duration, now: Now) -> Option<Duration> {
        let begins = !self.is_ejected(now);
        self.failure_rate = self.failure_rate.max(EJECTION_THRESHOLD);
        self.unreachable = true;
        self.ejected_until = self.ejected_until.max(now + ejection);
        begins.then_some(ejection)
    }

    /// Forgets the failures and ends the ejection.
    pub fn reset(&mut self) {
        *self = Self {
            latency_s: self.latency_s,
            responded_at: self.responded_at,
            ..Self::default()
        };
    }

    /// Returns the end of the last ejection.
    pub(crate) fn ejected_until(&self) -> Now {
        self.ejected_until
    }

    /// Returns whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Now) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the upstream runs, even if it fails some of its requests.
    pub fn is_reachable(&self) -> bool {
        !self.unreachable
    }

    /// Returns whether the next request is a probe: the ejection has ended, and no response has arrived since.
    pub fn is_probing(&self, now: Now) -> bool {
        !self.is_ejected(now) && self.failure_rate >= EJECTION_THRESHOLD
    }

    /// Marks the latency as outdated.
    pub fn expire_latency(&mut self) {
        self.responded_at = None;
    }

    /// Returns whether no response has arrived for so long that the latency may have changed.
    pub fn is_latency_outdated(&self, now: Now) -> bool {
        self.responded_at
            .is_none_or(|at| now.saturating_sub(at) > LATENCY_RETENTION)
    }

    /// Returns the average latency, or `None` before the first response.
    pub fn latency(&self) -> Option<Duration> {
        (self.latency_s > 0.0).then(|| Duration::from_secs_f64(self.latency_s))
    }
}
