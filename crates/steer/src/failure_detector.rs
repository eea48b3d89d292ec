//! Failure detection for an upstream, from outcomes observed by this entry, and recovery by single
//! probes.

use crate::{
    latency::WindowStats,
    slow_start::SlowStartPhase, //
};
use base::Now;
use std::{
    fmt,
    time::Duration, //
};

/// Parameters of failure detection and recovery.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FailureDetectorSettings {
    /// Penalty from which an upstream is suspected.
    pub penalty_limit: u32,
    /// Penalty of one refused connection.
    pub refused_penalty: u32,
    /// Penalty of one timeout.
    pub timeout_penalty: u32,
    /// Penalty of one truncated response.
    pub truncated_penalty: u32,
    /// Complete responses that reduce the penalty by one.
    pub responses_per_penalty: u32,
    /// Latency above which an upstream is suspected, in thousandths of its siblings' latency.
    pub slow_permille: u32,
    /// Responses needed to evaluate the latency.
    pub slow_responses_min: u32,
    /// Maximum latency of a successful probe, in thousandths of the siblings' latency.
    pub near_permille: u32,
    /// Consecutive successful probes that end the suspicion.
    pub probe_successes: u32,
    /// Delay before the first probe; doubled after each failed one.
    pub backoff: Duration,
    /// Maximum delay between probes.
    pub backoff_max: Duration,
}

impl Default for FailureDetectorSettings {
    fn default() -> Self {
        Self {
            penalty_limit: 3,
            refused_penalty: 3,
            timeout_penalty: 2,
            truncated_penalty: 2,
            responses_per_penalty: 8,
            slow_permille: 3000,
            slow_responses_min: 8,
            near_permille: 1500,
            probe_successes: 2,
            backoff: Duration::from_millis(500),
            backoff_max: Duration::from_secs(8),
        }
    }
}

/// Change in the suspicion of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SuspicionChange {
    /// The upstream is suspected from now on.
    Raised,
    /// The upstream is trusted again; slow start follows.
    Cleared,
}

/// Failure detector for one upstream, as run by one entry.
///
/// Health endpoints are unreliable, so only the entry's own requests count. An upstream that fails
/// fast looks idle and would attract more and more of the work: callers would see errors while
/// other upstreams have free slots. A suspected upstream is sent single probes with a backoff.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FailureDetector {
    settings: FailureDetectorSettings,
    state: State,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum State {
    Trusted {
        penalty: u32,
        responses: u32,
        window: WindowStats,
    },
    Suspected {
        backoff: Duration,
        next_probe_at: Now,
        probe_in_flight: bool,
        successes: u32,
    },
}

const TRUSTED: State = State::Trusted {
    penalty: 0,
    responses: 0,
    window: WindowStats {
        responses: 0,
        latency_sum: Duration::ZERO,
        timeouts: 0,
        refused: 0,
        truncated: 0,
    },
};

impl FailureDetector {
    /// Creates the detector of a trusted upstream.
    pub fn trusted(settings: FailureDetectorSettings) -> Self {
        Self {
            settings,
            state: TRUSTED,
        }
    }

    /// Whether the upstream is suspected.
    pub fn is_suspected(&self) -> bool {
        matches!(self.state, State::Suspected { .. })
    }

    /// Processes the outcomes observed by this entry since the last call.
    ///
    /// `sibling_latency` is the median latency of the service's other upstreams, see
    /// [`FailureDetector::median_latency`]; `phase` is the upstream's phase of slow start.
    ///
    /// In the probing phase, probes are slow because the upstream is cold, and the phase lasts until
    /// their latency has fallen. If that latency raised a suspicion, probes would be sent with a
    /// growing backoff, too few to warm the upstream; the symptom is an upstream that receives almost
    /// no requests long after it has returned.
    pub fn observe(
        &mut self,
        now: Now,
        observed: &WindowStats,
        sibling_latency: Option<Duration>,
        phase: SlowStartPhase,
    ) -> Option<SuspicionChange> {
        let change = match &mut self.state {
            State::Trusted {
                penalty,
                responses,
                window,
            } => {
                let over_limit = update_penalty(&self.settings, penalty, responses, observed);
                let slow = phase != SlowStartPhase::Probing
                    && is_slow(&self.settings, window, observed, sibling_latency);
                (over_limit || slow).then_some(SuspicionChange::Raised)
            }
            State::Suspected {
                backoff,
                next_probe_at,
                probe_in_flight,
                successes,
            } => {
                if !*probe_in_flight || (observed.responses == 0 && observed.failures() == 0) {
                    return None;
                }
                *probe_in_flight = false;
                if is_successful(&self.settings, observed, sibling_latency) {
                    *successes += 1;
                    *next_probe_at = now;
                } else {
                    *successes = 0;
                    *backoff = (*backoff * 2).min(self.settings.backoff_max);
                    *next_probe_at = now + *backoff;
                }
                (*successes >= self.settings.probe_successes).then_some(SuspicionChange::Cleared)
            }
        };
        match change {
            Some(SuspicionChange::Raised) => self.mark_suspected(now),
            Some(SuspicionChange::Cleared) => self.state = TRUSTED,
            None => {}
        }
        change
    }

    /// Whether a probe may be sent.
    pub fn probe_due(&self, now: Now) -> bool {
        match self.state {
            State::Trusted { .. } => false,
            State::Suspected {
                next_probe_at,
                probe_in_flight,
                ..
            } => !probe_in_flight && now >= next_probe_at,
        }
    }

    /// Records that a probe was sent; no other is sent until its outcome is known.
    pub fn probe_sent(&mut self) {
        if let State::Suspected {
            probe_in_flight, ..
        } = &mut self.state
        {
            *probe_in_flight = true;
        }
    }

    /// Makes the next probe due now, as when a sibling that was also suspected has recovered.
    pub fn make_probe_due(&mut self, now: Now) {
        if let State::Suspected { next_probe_at, .. } = &mut self.state {
            *next_probe_at = (*next_probe_at).min(now);
        }
    }

    /// Lower median of the nonzero `latencies`, which it sorts.
    pub fn median_latency(latencies: &mut [Duration]) -> Option<Duration> {
        latencies.sort_unstable();
        let known_from = latencies.partition_point(Duration::is_zero);
        let known = &latencies[known_from..];
        known.get(known.len().saturating_sub(1) / 2).copied()
    }

    fn mark_suspected(&mut self, now: Now) {
        self.state = State::Suspected {
            backoff: self.settings.backoff,
            next_probe_at: now + self.settings.backoff,
            probe_in_flight: false,
            successes: 0,
        };
    }
}

/// Updates the penalty: complete responses reduce it, failures add to it. Returns whether it has
/// reached the limit.
fn update_penalty(
    settings: &FailureDetectorSettings,
    penalty: &mut u32,
    responses: &mut u32,
    observed: &WindowStats,
) -> bool {
    let responses_per_penalty = settings.responses_per_penalty.max(1);
    *responses = responses.saturating_add(observed.responses);
    *penalty = penalty.saturating_sub(*responses / responses_per_penalty);
    *responses %= responses_per_penalty;
    *penalty = penalty
        .saturating_add(observed.refused.saturating_mul(settings.refused_penalty))
        .saturating_add(observed.timeouts.saturating_mul(settings.timeout_penalty))
        .saturating_add(
            observed
                .truncated
                .saturating_mul(settings.truncated_penalty),
        );
    *penalty >= settings.penalty_limit
}

/// Collects responses until their latency can be compared with the siblings'.
fn is_slow(
    settings: &FailureDetectorSettings,
    window: &mut WindowStats,
    observed: &WindowStats,
    sibling_latency: Option<Duration>,
) -> bool {
    window.add(observed);
    if window.responses < settings.slow_responses_min {
        return false;
    }
    let mean = std::mem::take(window).mean_latency();
    match (mean, sibling_latency) {
        (Some(mean), Some(sibling_latency)) => {
            !within(mean, sibling_latency, settings.slow_permille)
        }
        _ => false,
    }
}

fn is_successful(
    settings: &FailureDetectorSettings,
    observed: &WindowStats,
    sibling_latency: Option<Duration>,
) -> bool {
    if observed.failures() > 0 {
        return false;
    }
    match (observed.mean_latency(), sibling_latency) {
        (Some(mean), Some(sibling_latency)) => {
            within(mean, sibling_latency, settings.near_permille)
        }
        (Some(_), None) => true,
        (None, _) => false,
    }
}

fn within(latency: Duration, sibling_latency: Duration, permille: u32) -> bool {
    latency.as_nanos() * 1000 <= sibling_latency.as_nanos() * u128::from(permille)
}

impl fmt::Display for FailureDetector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.state {
            State::Trusted { penalty, .. } => write!(f, "trusted (penalty {penalty})"),
            State::Suspected {
                backoff,
                successes,
                probe_in_flight,
                ..
            } => {
                let probe = if *probe_in_flight { ", probing" } else { "" };
                write!(
                    f,
                    "suspected (backoff {backoff:?}, {successes} successful probes{probe})"
                )
            }
        }
    }
}
