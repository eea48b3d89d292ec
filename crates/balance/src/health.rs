//! What this entry saw of an upstream: failures, and how long it took.

use base::Now;
use std::time::Duration;

/// Part of the latest result in the mean of failures: some eight results count.
const FAILURE_WEIGHT: f64 = 0.25;
/// Mean of failures above which an upstream is passed over while others have room: an upstream that
/// fails a tenth of its requests still serves nine of ten.
const FAILING: f64 = 0.45;
/// First time for which a failing upstream is passed over.
const AWAY_MIN: Duration = Duration::from_millis(400);
/// Longest such time: one trial in it costs little, and it is how long a sound upstream stays unused.
const AWAY_MAX: Duration = Duration::from_millis(3200);
/// Part of the latest time in the mean of times.
const LATENCY_WEIGHT: f64 = 0.2;

/// Failures and latency of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    /// Mean of results: 0 all good, 1 all failed.
    failures: f64,
    /// Passed over until then.
    away_until: Now,
    /// It isn't there, rather than failing a part of its requests.
    hard: bool,
    /// How long it is passed over at the next failure.
    away: Duration,
    /// Mean time of an answer, in seconds; zero before the first.
    latency_s: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0.0,
            away_until: Now::ZERO,
            hard: false,
            away: AWAY_MIN,
            latency_s: 0.0,
        }
    }
}

impl Health {
    /// Notes an answer that came whole after `took`; whether that ends a time of being passed over.
    pub fn note_answer(&mut self, took: Duration) -> bool {
        let was_failing = self.failures >= FAILING;
        self.failures *= 1.0 - FAILURE_WEIGHT;
        self.hard = false;
        if self.failures < FAILING / 2.0 {
            self.away = AWAY_MIN;
        }
        let took_s = took.as_secs_f64();
        self.latency_s = if self.latency_s == 0.0 {
            took_s
        } else {
            self.latency_s + LATENCY_WEIGHT * (took_s - self.latency_s)
        };
        was_failing && self.failures < FAILING
    }

    /// Notes a failure; `hard` is one that means the upstream isn't there, such as a refused
    /// connection, and passes it over at once. Gives for how long it is passed over, if it begins to be.
    pub fn note_failure(&mut self, hard: bool, now: Now) -> Option<Duration> {
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
        self.hard = hard;
        if hard {
            self.failures = self.failures.max(FAILING);
        }
        if self.failures < FAILING || now < self.away_until {
            return None;
        }
        let away = self.away;
        self.away_until = now + away;
        self.away = (away * 2).min(AWAY_MAX);
        Some(away)
    }

    /// Notes that its process has ended, and passes it over for `away` in any case. Gives that time if it begins to be
    /// passed over.
    pub fn note_ended(&mut self, away: Duration, now: Now) -> Option<Duration> {
        let begins = !self.is_away(now);
        self.failures = self.failures.max(FAILING);
        self.hard = true;
        self.away_until = self.away_until.max(now + away);
        begins.then_some(away)
    }

    /// Whether it is passed over at `now`.
    pub fn is_away(&self, now: Now) -> bool {
        now < self.away_until
    }

    /// Whether it is there, whatever part of its requests it fails.
    pub fn is_there(&self) -> bool {
        !self.hard
    }

    /// Whether the next request is a trial: it failed, and the time of being passed over has run
    /// out without an answer since.
    pub fn on_trial(&self, now: Now) -> bool {
        !self.is_away(now) && self.failures >= FAILING
    }

    /// Mean time of an answer; `None` before the first.
    pub fn latency(&self) -> Option<Duration> {
        (self.latency_s > 0.0).then(|| Duration::from_secs_f64(self.latency_s))
    }
}
