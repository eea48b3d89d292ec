//! How long a service's work takes, with and without a warm upstream.

use std::time::Duration;

/// Part of the latest time in the estimate of warm work where it exceeds that, and ...
const WEIGHT_UP: f64 = 0.03;
/// ... where it is below. The estimate settles where a sixth of all times are shorter: times that
/// hold a wait, or that a full upstream stretches, hardly move it.
///
/// What goes wrong with a plain mean: once queues form, work looks longer, so longer waits look right,
/// and the queues stay after the burst that made them.
const WEIGHT_DOWN: f64 = 0.15;
/// Part of the latest time in the estimate of cold work, which is seen less often.
const WEIGHT_COLD: f64 = 0.1;
/// Part of the latest result in the trust in what is assumed warm.
const WEIGHT_TRUST: f64 = 0.05;
/// Time of cold work before any answer was seen.
const COLD_UNKNOWN: Duration = Duration::from_millis(300);
/// Warm work against cold work before both were seen.
const WARM_RATIO_UNKNOWN: f64 = 0.4;
/// An answer of an upstream that isn't known to be warm was warm if it took less than this many times
/// warm work.
const WARM_UP_TO: f64 = 1.6;

/// Usual times of one service's work, without the way there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    warm_s: Option<f64>,
    cold_s: Option<f64>,
    trust: f64,
}

impl Work {
    /// Notes the time of one answer that waited for no slot; `known_warm` says that the upstream was
    /// known to have had its key lately.
    pub fn note(&mut self, known_warm: bool, took: Duration) {
        let took_s = took.as_secs_f64();
        let was_warm = self.warm_s.is_some_and(|warm| took_s < warm * WARM_UP_TO);
        if !known_warm {
            let result = if was_warm { 1.0 } else { 0.0 };
            self.trust += WEIGHT_TRUST * (result - self.trust);
        }
        if known_warm || was_warm {
            self.note_warm(took_s);
        } else {
            let cold = self.cold_s.unwrap_or(took_s);
            self.cold_s = Some(cold + WEIGHT_COLD * (took_s - cold));
        }
    }

    fn note_warm(&mut self, took_s: f64) {
        let weight = match self.warm_s {
            Some(warm) if took_s > warm => WEIGHT_UP,
            _ => WEIGHT_DOWN,
        };
        let warm = self.warm_s.unwrap_or(took_s);
        self.warm_s = Some(warm + weight * (took_s - warm));
    }

    /// Whether any answer was seen.
    pub fn is_known(&self) -> bool {
        self.warm_s.is_some() || self.cold_s.is_some()
    }

    /// Work whose key the upstream had lately.
    pub fn warm(&self) -> Duration {
        let cold = self.cold();
        let warm = self.warm_s.map(Duration::from_secs_f64);
        let warm = warm.unwrap_or_else(|| cold.mul_f64(WARM_RATIO_UNKNOWN));
        warm.min(cold)
    }

    /// Any other work.
    pub fn cold(&self) -> Duration {
        let seen = self.cold_s.map(Duration::from_secs_f64);
        let from_warm = self.warm_s.map(|warm| warm / WARM_RATIO_UNKNOWN);
        let from_warm = from_warm.map(Duration::from_secs_f64);
        seen.or(from_warm).unwrap_or(COLD_UNKNOWN)
    }

    /// Work at an upstream that is assumed warm: how often that was true lately decides. At first it
    /// counts as never true; nobody has had anything yet.
    pub fn assumed(&self) -> Duration {
        let (warm, cold) = (self.warm(), self.cold());
        warm.mul_f64(self.trust) + cold.mul_f64(1.0 - self.trust)
    }
}
