//! State of the path to the upstreams.

use base::Now;
use std::time::Duration;

/// Silence that is suspicious, as a multiple of the mean time between two responses.
const SILENCE_FACTOR: f64 = 16.0;
/// Shortest silence that is suspicious. Covers a retransmission within a region and a pause of this process.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// Longest silence that isn't suspicious, however rare responses are.
const SILENCE_MAX: Duration = Duration::from_millis(1000);
/// Weight of the latest time between two responses in the mean.
const GAP_WEIGHT: f64 = 0.05;
/// Minimum time between two rounds of probes while the path is open.
const PROBE_INTERVAL_OPEN: Duration = Duration::from_millis(1000);
/// Number of upstreams that new connections failed to, while none worked, from which the path is suspicious. It is not a
/// share of the upstreams, since an entry that has many of them connects to few within seconds.
const FAILED_CONNECTIONS_MIN: usize = 3;
/// Time between two probes while the path is cut.
const PROBE_INTERVAL_CUT: Duration = Duration::from_millis(300);
/// Time for which only requests that may run twice try the path after a successful probe.
const SAFE_TRIALS_TIME: Duration = Duration::from_millis(1000);

/// What is known of the upstreams besides their responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// Upstreams that may get requests.
    pub usable: usize,
    /// Upstreams that new connections failed to since one last worked.
    pub failed_connections: usize,
}

impl Evidence {
    /// Returns whether new connections fail to so many upstreams that the path may be cut.
    pub fn is_suspicious(self) -> bool {
        let most = self.usable / 2 + 1;
        self.failed_connections >= most.min(FAILED_CONNECTIONS_MIN)
    }
}

/// Change of the path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No upstream can be reached any more.
    Cut {
        /// Time since the last response; zero if no request waits for one.
        silence: Duration,
    },
    /// An upstream has responded again.
    Opened {
        /// Time for which the path was cut.
        after: Duration,
    },
}

/// How a request is admitted to the path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The path is open.
    Regular,
    /// The request tries a path that was cut.
    Trial,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Path {
    Open,
    Cut {
        since: Now,
    },
    /// A probe has succeeded, and requests try the path one at a time.
    Trial {
        cut_since: Now,
        since: Now,
        pending: bool,
    },
}

/// Path from this entry to the upstreams.
#[derive(Clone, Debug)]
pub struct Reach {
    path: Path,
    /// Requests that wait for a response.
    in_flight: u32,
    /// Time of the last response or successful probe, or of the first request since that waits for a response or failed.
    silent_since: Now,
    /// Time of the last request that failed since then.
    failed_at: Option<Now>,
    /// Mean time in seconds between two responses while requests wait.
    mean_gap_s: f64,
    /// Time of the last probes.
    probed_at: Option<Now>,
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            path: Path::Open,
            in_flight: 0,
            silent_since: Now::ZERO,
            failed_at: None,
            mean_gap_s: SILENCE_MAX.as_secs_f64() / SILENCE_FACTOR,
            probed_at: None,
        }
    }
}

impl Reach {
    /// Counts a request that waits for a response from now on.
    pub fn note_sent(&mut self, now: Now) {
        if !self.expects_response(now) {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Records that a request failed without a response.
    pub fn note_failed(&mut self, now: Now) {
        self.failed_at = Some(now);
    }

    /// Stops counting a request, whatever became of it.
    pub fn note_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a response of an upstream to a request that counts as waiting.
    pub fn note_response(&mut self, now: Now) -> Option<Change> {
        let gap_s = now.saturating_sub(self.silent_since).as_secs_f64();
        self.mean_gap_s += GAP_WEIGHT * (gap_s - self.mean_gap_s);
        self.note_contact(now);
        let Path::Trial { cut_since, .. } = self.path else {
            return None;
        };
        self.path = Path::Open;
        Some(Change::Opened {
            after: now.saturating_sub(cut_since),
        })
    }

    /// Returns whether probes are due, and records them as made.
    pub fn take_probe(&mut self, evidence: Evidence, now: Now) -> bool {
        let interval = match self.path {
            Path::Open => PROBE_INTERVAL_OPEN,
            Path::Cut { .. } => PROBE_INTERVAL_CUT,
            Path::Trial { .. } => return false,
        };
        let waited = self
            .probed_at
            .is_none_or(|at| now.saturating_sub(at) >= interval);
        let is_due = waited
            && evidence.usable > 0
            && (!self.is_open() || evidence.is_suspicious() || self.is_silent(now));
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Records that a probe connected to an upstream.
    pub fn note_probe_connected(&mut self, now: Now) {
        self.note_contact(now);
        if let Path::Cut { since } = self.path {
            self.path = Path::Trial {
                cut_since: since,
                since: now,
                pending: false,
            };
        }
    }

    /// Records that none of a round of probes connected to an upstream.
    pub fn note_probes_failed(&mut self, now: Now) -> Option<Change> {
        if self.path != Path::Open {
            return None;
        }
        self.path = Path::Cut { since: now };
        Some(Change::Cut {
            silence: self.silence(now),
        })
    }

    /// Returns whether a request may be sent to an upstream; `None` if it may not. A trial must end with
    /// [`Self::end_trial`].
    pub fn admit(&mut self, may_run_twice: bool, now: Now) -> Option<Admission> {
        match &mut self.path {
            Path::Open => Some(Admission::Regular),
            Path::Cut { .. } => None,
            Path::Trial { since, pending, .. } => {
                let is_safe = may_run_twice || now.saturating_sub(*since) >= SAFE_TRIALS_TIME;
                let is_admitted = is_safe && !std::mem::replace(pending, true);
                is_admitted.then_some(Admission::Trial)
            }
        }
    }

    /// Ends the trial of the path by a request. `failed` means that it found the path still cut.
    pub fn end_trial(&mut self, failed: bool) {
        if let Path::Trial {
            cut_since, pending, ..
        } = &mut self.path
        {
            *pending = false;
            if failed {
                self.path = Path::Cut { since: *cut_since };
            }
        }
    }

    /// Returns whether upstreams can be reached, as far as is known.
    pub fn is_open(&self) -> bool {
        self.path == Path::Open
    }

    /// Returns whether the lack of responses is suspicious.
    pub fn is_silent(&self, now: Now) -> bool {
        let usual = Duration::from_secs_f64(self.mean_gap_s * SILENCE_FACTOR);
        self.silence(now) >= usual.clamp(SILENCE_MIN, SILENCE_MAX)
    }

    fn note_contact(&mut self, now: Now) {
        self.silent_since = now;
        self.failed_at = None;
    }

    fn silence(&self, now: Now) -> Duration {
        if self.expects_response(now) {
            now.saturating_sub(self.silent_since)
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether a response should have arrived or is to arrive soon. Requests that fail fast may leave none in flight.
    fn expects_response(&self, now: Now) -> bool {
        let failed_lately = self
            .failed_at
            .is_some_and(|at| now.saturating_sub(at) < SILENCE_MAX);
        self.in_flight > 0 || failed_lately
    }
}
