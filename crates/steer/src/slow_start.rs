//! Slow start: limits the open slots of an upstream while it or its cache is cold.

use crate::{
    freshness::Freshness,
    latency::{
        smooth_latency,
        WindowStats, //
    },
    view::NO_LIMIT, //
};
use base::Now;
use std::{
    collections::VecDeque,
    fmt,
    time::Duration, //
};

/// Reason for a slow start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SlowStartCause {
    /// The upstream started, or its cache is cold for the coming work.
    ColdStart,
    /// No report or response was received for a long time.
    Silence,
    /// The region takes load again.
    RegionReturn,
}

/// Phase of the slow start of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SlowStartPhase {
    /// Only a few probes are sent, with a minimum interval between them.
    Probing,
    /// Slots are opened one at a time.
    Opening,
    /// Not limited by slow start.
    Warm,
}

/// Probes that are sent one at a time before several may be in flight.
const SINGLE_PROBES: usize = 2;

/// Parameters of slow start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlowStartSettings {
    /// Minimum time between two probes in the probing phase.
    pub probe_interval: Duration,
    /// Time without a response after which an upstream in the opening phase is sent a probe.
    pub idle_probe_interval: Duration,
    /// Maximum number of probes in flight in the probing phase, after the first responses.
    pub probe_limit: u32,
    /// Number of recent probes whose mean latency is evaluated; a mean within `shrink_permille`
    /// ends the probing phase.
    pub probe_window: u32,
    /// Slots that are open when the probing phase ends.
    pub initial_limit: u32,
    /// Responses per open slot before the next slot is opened.
    pub responses_per_slot: u32,
    /// Maximum latency at which a slot is opened, in thousandths of the warm latency.
    pub grow_permille: u32,
    /// Latency above which slots are closed, in thousandths of the warm latency.
    pub shrink_permille: u32,
    /// Time without growth after slots were closed.
    pub growth_pause: Duration,
    /// Time without a step after which the observed latency becomes the warm latency.
    pub reset_warm_after: Duration,
}

impl SlowStartSettings {
    /// Default parameters.
    pub const DEFAULT: Self = Self {
        // Must be below the 100 ms between two offers of a probe, or each probe would wait for a
        // second offer.
        probe_interval: Duration::from_millis(50),
        idle_probe_interval: Duration::from_millis(300),
        probe_limit: 2,
        probe_window: 4,
        initial_limit: 2,
        responses_per_slot: 2,
        grow_permille: 1250,
        shrink_permille: 1500,
        growth_pause: Duration::from_millis(500),
        reset_warm_after: Duration::from_secs(30),
    };
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Slow start of one upstream, as controlled by one entry.
///
/// An upstream with a cold cache responds slowly, and its queue grows with the work that it is
/// sent: returning to full load at once causes a latency peak exactly when work arrives. Growth
/// therefore depends on the latency observed by this entry. The limit never falls while windows
/// stay near the warm latency without failures, and never exceeds the proven number of slots by
/// more than one step.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SlowStart {
    settings: SlowStartSettings,
    phase: SlowStartPhase,
    limit: u32,
    warm: Option<Duration>,
    window: WindowStats,
    /// Latencies of recent probes, oldest first.
    probes: VecDeque<Duration>,
    probing_allowed: bool,
    has_alternative: bool,
    next_probe_at: Now,
    growth_paused_until: Now,
    last_step_at: Now,
}

impl SlowStart {
    /// Creates the state of an upstream that is not limited.
    pub fn warm(settings: SlowStartSettings) -> Self {
        Self {
            settings,
            phase: SlowStartPhase::Warm,
            limit: NO_LIMIT,
            warm: None,
            window: WindowStats::default(),
            probes: VecDeque::new(),
            probing_allowed: false,
            has_alternative: false,
            next_probe_at: Now::ZERO,
            growth_paused_until: Now::ZERO,
            last_step_at: Now::ZERO,
        }
    }

    /// Begins a slow start at `now`.
    ///
    /// `sibling_latency` is the median latency of the service's warm upstreams; it is used while
    /// the warm latency of this upstream is unknown. `has_alternative` tells whether such upstreams
    /// with usable slots exist. Without one, holding work back has no benefit: the probing phase is
    /// skipped, and slots are opened by the number of complete responses, whatever their latency.
    pub fn restart(
        &mut self,
        now: Now,
        cause: SlowStartCause,
        sibling_latency: Option<Duration>,
        has_alternative: bool,
    ) {
        self.warm = self.warm.or(sibling_latency);
        self.has_alternative = has_alternative;
        self.probing_allowed = has_alternative && cause != SlowStartCause::Silence;
        self.window = WindowStats::default();
        self.next_probe_at = now;
        self.growth_paused_until = now;
        self.last_step_at = now;
        if self.probing_allowed {
            self.start_probing();
        } else {
            self.start_opening();
        }
    }

    /// Processes the outcomes observed by this entry since the last call.
    ///
    /// `usable` is the number of slots that this entry owns: slow start ends when all are open.
    /// Nothing grows on old information.
    pub fn observe(&mut self, now: Now, observed: &WindowStats, usable: u32, freshness: Freshness) {
        match self.phase {
            SlowStartPhase::Probing => self.evaluate_probes(now, observed, freshness),
            SlowStartPhase::Opening => {
                if observed.responses > 0 {
                    self.next_probe_at = now + self.settings.idle_probe_interval;
                }
                self.evaluate_window(now, observed, usable, freshness);
            }
            SlowStartPhase::Warm => self.update_warm_latency(observed),
        }
    }

    /// Open slots, or [`NO_LIMIT`].
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Current phase.
    pub fn phase(&self) -> SlowStartPhase {
        self.phase
    }

    /// Whether a probe may be sent.
    ///
    /// An upstream in the opening phase may need one, too: the latencies observed while it was cold
    /// make it look slow, so that it is sent no requests and no newer latency is ever observed. The
    /// symptom is an upstream that idles next to busy ones and stays at the same few open slots.
    pub fn probe_due(&self, now: Now) -> bool {
        self.phase != SlowStartPhase::Warm && now >= self.next_probe_at
    }

    /// Records that a probe was sent, which delays the next one.
    pub fn probe_sent(&mut self, now: Now) {
        let interval = match self.phase {
            SlowStartPhase::Probing => self.settings.probe_interval,
            SlowStartPhase::Opening | SlowStartPhase::Warm => self.settings.idle_probe_interval,
        };
        self.next_probe_at = now + interval;
    }

    /// Warm latency, once known.
    pub fn warm_latency(&self) -> Option<Duration> {
        self.warm
    }

    /// Opens a slot without proof, for work that no other upstream can take.
    ///
    /// When all other upstreams are full or cold themselves, holding work back would refuse
    /// requests that a slow response would still serve in time; the symptom is refusals while slots
    /// idle. [`StarvationDetector`] decides when to call this; the open slots stay within the owned ones.
    pub fn force_step(&mut self, now: Now) {
        self.last_step_at = now;
        match self.phase {
            SlowStartPhase::Probing => self.start_opening(),
            SlowStartPhase::Opening => self.limit = self.limit.saturating_add(1),
            SlowStartPhase::Warm => {}
        }
    }

    fn start_probing(&mut self) {
        self.phase = SlowStartPhase::Probing;
        self.probes.clear();
        self.limit = 1;
    }

    fn start_opening(&mut self) {
        self.window = WindowStats::default();
        self.phase = SlowStartPhase::Opening;
        self.limit = self.settings.initial_limit.max(1);
    }

    /// Evaluates the most recent probes whenever there is a new one.
    ///
    /// Probes are few. With consecutive full windows, a window that still contains the last cold
    /// probes would delay the end of the probing phase by seconds.
    fn evaluate_probes(&mut self, now: Now, observed: &WindowStats, freshness: Freshness) {
        if observed.failures() > 0 {
            self.start_probing();
            return;
        }
        let Some(latency) = observed.mean_latency() else {
            return;
        };
        let window_len = self.settings.probe_window.max(1);
        for _ in 0..observed.responses.min(window_len) {
            self.probes.push_back(latency);
        }
        if self.probes.len() >= SINGLE_PROBES {
            self.limit = self.settings.probe_limit.max(1);
        }
        while self.probes.len() > window_len as usize {
            self.probes.pop_front();
        }
        if self.probes.len() < window_len as usize {
            return;
        }
        let mean = self.probes.iter().sum::<Duration>() / window_len;
        self.reset_warm_when_stuck(now, mean);
        // A latency that would not close slots opens the first ones: callers' own requests then
        // give more samples than copies, which the retry budget limits to a few.
        let near = self.is_within(mean, self.settings.shrink_permille);
        if near && freshness.allows_growth() {
            self.last_step_at = now;
            self.start_opening();
        }
    }

    fn evaluate_window(
        &mut self,
        now: Now,
        observed: &WindowStats,
        usable: u32,
        freshness: Freshness,
    ) {
        self.window.add(observed);
        if self.window.failures() > 0 {
            self.shrink(now);
            return;
        }
        let needed = self.limit.saturating_mul(self.settings.responses_per_slot);
        if self.window.responses < needed {
            return;
        }
        let Some(mean) = self.window.mean_latency() else {
            return;
        };
        self.reset_warm_when_stuck(now, mean);
        if !self.is_within(mean, self.settings.shrink_permille) {
            self.shrink(now);
        } else if self.may_grow(now, mean, freshness) {
            self.grow(now, usable);
        }
        self.window = WindowStats::default();
    }

    fn may_grow(&self, now: Now, mean: Duration, freshness: Freshness) -> bool {
        freshness.allows_growth()
            && now >= self.growth_paused_until
            && self.is_within(mean, self.settings.grow_permille)
    }

    fn grow(&mut self, now: Now, usable: u32) {
        self.last_step_at = now;
        if self.limit >= usable {
            self.phase = SlowStartPhase::Warm;
            self.limit = NO_LIMIT;
        } else {
            self.limit += 1;
        }
    }

    fn shrink(&mut self, now: Now) {
        self.window = WindowStats::default();
        self.growth_paused_until = now + self.settings.growth_pause;
        if self.limit <= self.settings.initial_limit && self.probing_allowed {
            self.start_probing();
        } else {
            self.limit = (self.limit / 2).max(1);
        }
    }

    /// Updates the warm latency of an upstream in the warm phase.
    fn update_warm_latency(&mut self, observed: &WindowStats) {
        if let Some(mean) = observed.mean_latency() {
            self.warm = Some(smooth_latency(self.warm.unwrap_or_default(), mean));
        }
    }

    /// Replaces a warm latency that the upstream does not reach any more.
    ///
    /// The upstream may have returned on a permanently slower machine, and its slots would never
    /// open again; the symptom is a limit that never changes while responses keep arriving.
    fn reset_warm_when_stuck(&mut self, now: Now, mean: Duration) {
        let stuck = now.saturating_sub(self.last_step_at) >= self.settings.reset_warm_after;
        if stuck || self.warm.is_none() {
            self.warm = Some(mean);
        }
    }

    /// Whether `mean` is within `permille` thousandths of the warm latency; always true without an
    /// alternative upstream.
    fn is_within(&self, mean: Duration, permille: u32) -> bool {
        if !self.has_alternative {
            return true;
        }
        match self.warm {
            Some(warm) => mean.as_nanos() * 1000 <= warm.as_nanos() * u128::from(permille),
            None => true,
        }
    }
}

/// Consecutive ticks with unserved work after which slow start opens a slot without proof.
const UNSERVED_TICKS: u32 = 3;
/// Divisor of the arrivals that gives the unserved requests a tick must exceed to count.
const UNSERVED_DIVISOR: u32 = 20;

/// Detects work that stays unserved for lack of open slots, for which slow start must open more.
///
/// A single bad tick may be random variation, or a shift that is still growing.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StarvationDetector {
    ticks: u32,
}

impl StarvationDetector {
    /// Processes one tick: the arrivals at this entry, and how many of them waited or were refused.
    ///
    /// Returns true when [`SlowStart::force_step`] is due. Intended for ticks of 100 ms.
    pub fn tick(&mut self, arrivals: u32, unserved: u32) -> bool {
        if unserved.saturating_mul(UNSERVED_DIVISOR) > arrivals {
            self.ticks = self.ticks.saturating_add(1);
        } else {
            self.ticks = 0;
        }
        self.ticks >= UNSERVED_TICKS
    }
}

impl fmt::Display for SlowStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.phase {
            SlowStartPhase::Probing => f.write_str("trickle")?,
            SlowStartPhase::Opening => write!(f, "opening at {}", self.limit)?,
            SlowStartPhase::Warm => f.write_str("warm")?,
        }
        match self.warm {
            Some(warm) => write!(f, " (warm latency {warm:?})"),
            None => Ok(()),
        }
    }
}
