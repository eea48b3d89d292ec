//! Suspicion of an upstream, from what this entry saw itself, and recovery by single probes.

use crate::{
    latency::Seen,
    ramp::RampPhase, //
};
use base::Now;
use std::{
    fmt,
    time::Duration, //
};

/// When an upstream is suspected and how it recovers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SuspectSettings {
    /// Strikes from which an upstream is suspected.
    pub strikes_max: u32,
    /// Strikes of one refused connection.
    pub refused_strikes: u32,
    /// Strikes of one timeout.
    pub timeout_strikes: u32,
    /// Strikes of one truncated answer.
    pub truncated_strikes: u32,
    /// Whole answers that take back one strike.
    pub forgive_answers: u32,
    /// Latency from this many thousandths of the siblings' is suspect.
    pub slow_permille: u32,
    /// Answers that a judgement of latency needs.
    pub slow_answers: u32,
    /// Latency up to this many thousandths of the siblings' makes a probe good.
    pub near_permille: u32,
    /// Good probes in a row that end the suspicion.
    pub good_probes: u32,
    /// Wait before the first probe; doubled after each bad one.
    pub backoff: Duration,
    /// Longest wait between probes.
    pub backoff_max: Duration,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            strikes_max: 3,
            refused_strikes: 3,
            timeout_strikes: 2,
            truncated_strikes: 2,
            forgive_answers: 8,
            slow_permille: 3000,
            slow_answers: 8,
            near_permille: 1500,
            good_probes: 2,
            backoff: Duration::from_millis(500),
            backoff_max: Duration::from_secs(8),
        }
    }
}

/// Change of mind about an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    /// It is suspected from now on.
    Raised,
    /// It is trusted again; slow start follows.
    Cleared,
}

/// What one entry thinks of one upstream.
///
/// Health endpoints lie, so only the entry's own requests count. An upstream that fails would
/// draw more and more of the work, since what fails fast looks idle: callers would see errors
/// while the other upstreams have free slots. A suspect gets single probes with a backoff.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Suspect {
    settings: SuspectSettings,
    state: State,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum State {
    Trusted {
        strikes: u32,
        answers: u32,
        window: Seen,
    },
    Suspected {
        backoff: Duration,
        next_probe: Now,
        probing: bool,
        good: u32,
    },
}

const TRUSTED: State = State::Trusted {
    strikes: 0,
    answers: 0,
    window: Seen {
        answers: 0,
        latency_sum: Duration::ZERO,
        timeouts: 0,
        refused: 0,
        truncated: 0,
    },
};

impl Suspect {
    /// Upstream that is trusted.
    pub fn trusted(settings: SuspectSettings) -> Self {
        Self {
            settings,
            state: TRUSTED,
        }
    }

    /// Whether the upstream is suspected.
    pub fn is_suspected(&self) -> bool {
        matches!(self.state, State::Suspected { .. })
    }

    /// Takes in what this entry saw of the upstream since the last call.
    ///
    /// `siblings` is the typical latency of the service's other upstreams, see
    /// [`Suspect::typical`]; `phase` is where the upstream is in its slow start.
    ///
    /// The probes of a trickle are slow because the upstream is cold, and the trickle waits for
    /// that to pass. Were their latency held against it, its probes would come with a growing
    /// backoff, and the few that still warm it would never be enough: one would notice an
    /// upstream that gets next to nothing long after it has come back.
    pub fn observe(
        &mut self,
        now: Now,
        seen: &Seen,
        siblings: Option<Duration>,
        phase: RampPhase,
    ) -> Option<Suspicion> {
        let verdict = match &mut self.state {
            State::Trusted {
                strikes,
                answers,
                window,
            } => {
                let failed = count_strikes(&self.settings, strikes, answers, seen);
                let slow =
                    phase != RampPhase::Trickle && is_slow(&self.settings, window, seen, siblings);
                (failed || slow).then_some(Suspicion::Raised)
            }
            State::Suspected {
                backoff,
                next_probe,
                probing,
                good,
            } => {
                if !*probing || (seen.answers == 0 && seen.failures() == 0) {
                    return None;
                }
                *probing = false;
                if is_good(&self.settings, seen, siblings) {
                    *good += 1;
                    *next_probe = now;
                } else {
                    *good = 0;
                    *backoff = (*backoff * 2).min(self.settings.backoff_max);
                    *next_probe = now + *backoff;
                }
                (*good >= self.settings.good_probes).then_some(Suspicion::Cleared)
            }
        };
        match verdict {
            Some(Suspicion::Raised) => self.suspect(now),
            Some(Suspicion::Cleared) => self.state = TRUSTED,
            None => {}
        }
        verdict
    }

    /// Whether a probe may go out.
    pub fn probe_due(&self, now: Now) -> bool {
        match self.state {
            State::Trusted { .. } => false,
            State::Suspected {
                next_probe,
                probing,
                ..
            } => !probing && now >= next_probe,
        }
    }

    /// Notes that a probe went out: its outcome decides, and no other goes out before it.
    pub fn probe_sent(&mut self) {
        if let State::Suspected { probing, .. } = &mut self.state {
            *probing = true;
        }
    }

    /// Makes the next probe due now, as when a sibling that was suspected with this one recovered.
    pub fn hasten(&mut self, now: Now) {
        if let State::Suspected { next_probe, .. } = &mut self.state {
            *next_probe = (*next_probe).min(now);
        }
    }

    /// Typical latency of upstreams: the lower median of those with any; sorts `latencies`.
    pub fn typical(latencies: &mut [Duration]) -> Option<Duration> {
        latencies.sort_unstable();
        let known_from = latencies.partition_point(Duration::is_zero);
        let known = &latencies[known_from..];
        known.get(known.len().saturating_sub(1) / 2).copied()
    }

    fn suspect(&mut self, now: Now) {
        self.state = State::Suspected {
            backoff: self.settings.backoff,
            next_probe: now + self.settings.backoff,
            probing: false,
            good: 0,
        };
    }
}

/// Counts failures as strikes and forgives some for whole answers; true when there are too many.
fn count_strikes(
    settings: &SuspectSettings,
    strikes: &mut u32,
    answers: &mut u32,
    seen: &Seen,
) -> bool {
    let forgive = settings.forgive_answers.max(1);
    *answers = answers.saturating_add(seen.answers);
    *strikes = strikes.saturating_sub(*answers / forgive);
    *answers %= forgive;
    *strikes = strikes
        .saturating_add(seen.refused.saturating_mul(settings.refused_strikes))
        .saturating_add(seen.timeouts.saturating_mul(settings.timeout_strikes))
        .saturating_add(seen.truncated.saturating_mul(settings.truncated_strikes));
    *strikes >= settings.strikes_max
}

/// Collects answers until they are enough to judge their latency against the siblings'.
fn is_slow(
    settings: &SuspectSettings,
    window: &mut Seen,
    seen: &Seen,
    siblings: Option<Duration>,
) -> bool {
    window.add(seen);
    if window.answers < settings.slow_answers {
        return false;
    }
    let mean = std::mem::take(window).mean_latency();
    match (mean, siblings) {
        (Some(mean), Some(siblings)) => !within(mean, siblings, settings.slow_permille),
        _ => false,
    }
}

fn is_good(settings: &SuspectSettings, seen: &Seen, siblings: Option<Duration>) -> bool {
    if seen.failures() > 0 {
        return false;
    }
    match (seen.mean_latency(), siblings) {
        (Some(mean), Some(siblings)) => within(mean, siblings, settings.near_permille),
        (Some(_), None) => true,
        (None, _) => false,
    }
}

fn within(latency: Duration, siblings: Duration, permille: u32) -> bool {
    latency.as_nanos() * 1000 <= siblings.as_nanos() * u128::from(permille)
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.state {
            State::Trusted { strikes, .. } => write!(f, "trusted ({strikes} strikes)"),
            State::Suspected {
                backoff,
                good,
                probing,
                ..
            } => {
                let probe = if *probing { ", probing" } else { "" };
                write!(
                    f,
                    "suspected (backoff {backoff:?}, {good} good probes{probe})"
                )
            }
        }
    }
}
