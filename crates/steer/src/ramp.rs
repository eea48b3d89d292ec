//! Slow start: how many slots of an upstream are open after it, or its cache, was cold.

use crate::{
    fresh::Freshness,
    latency::{
        smooth_latency,
        Seen, //
    },
    view::NO_LIMIT, //
};
use base::Now;
use std::{
    collections::VecDeque,
    fmt,
    time::Duration, //
};

/// Why an upstream starts slowly.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RampCause {
    /// It started, or its cache is cold for the work to come.
    ColdStart,
    /// Nothing was heard or seen of it for long.
    Silence,
    /// Its region takes load back.
    RegionReturn,
}

/// Where an upstream is in its slow start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RampPhase {
    /// Few probes with a gap between them, and nothing else.
    Trickle,
    /// Slots open one step at a time.
    Opening,
    /// Not held back.
    Warm,
}

/// Probes that an upstream answers one by one before it gets several at a time.
const FIRST_PROBES: usize = 2;

/// Pace of slow start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RampSettings {
    /// Least time between two probes of a trickle.
    pub trickle_gap: Duration,
    /// Time without an answer after which an upstream whose slots open gets a probe.
    pub idle_gap: Duration,
    /// Most probes of a trickle in flight, once it has answered a few.
    pub trickle_limit: u32,
    /// Last probes whose mean latency is judged; below `fall_permille` it ends the trickle.
    pub trickle_answers: u32,
    /// Slots open when the trickle ends.
    pub first_limit: u32,
    /// Answers that each open slot must have given before the next one opens.
    pub answers_per_slot: u32,
    /// Latency up to this many thousandths of the warm one lets a slot open.
    pub near_permille: u32,
    /// Latency from this many thousandths of the warm one takes slots back.
    pub fall_permille: u32,
    /// Time without growth after slots were taken back.
    pub hold: Duration,
    /// Time without a step after which the latency seen becomes the warm one.
    pub stuck_after: Duration,
}

impl RampSettings {
    /// The pace that holds unless another is given.
    pub const DEFAULT: Self = Self {
        // Below the 100 ms at which probes are offered, or each would wait for a second turn.
        trickle_gap: Duration::from_millis(50),
        idle_gap: Duration::from_millis(300),
        trickle_limit: 2,
        trickle_answers: 4,
        first_limit: 2,
        answers_per_slot: 2,
        near_permille: 1250,
        fall_permille: 1500,
        hold: Duration::from_millis(500),
        stuck_after: Duration::from_secs(30),
    };
}

impl Default for RampSettings {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// Slow start of one upstream as one entry drives it.
///
/// An upstream whose cache is cold answers slowly, and the more it is sent the longer its queue
/// grows: a return to full load shows as a peak of its latency just when work arrives. Growth is
/// therefore tied to the latency that this entry sees. The limit never falls while windows stay
/// near the warm latency without failures, and is never above one step more than was proven.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ramp {
    settings: RampSettings,
    phase: RampPhase,
    limit: u32,
    warm: Option<Duration>,
    window: Seen,
    /// Latencies of the last probes, oldest first.
    probes: VecDeque<Duration>,
    may_trickle: bool,
    another_will_do: bool,
    next_probe: Now,
    hold_until: Now,
    stepped_at: Now,
}

impl Ramp {
    /// Upstream that is not held back.
    pub fn warm(settings: RampSettings) -> Self {
        Self {
            settings,
            phase: RampPhase::Warm,
            limit: NO_LIMIT,
            warm: None,
            window: Seen::default(),
            probes: VecDeque::new(),
            may_trickle: false,
            another_will_do: false,
            next_probe: Now::ZERO,
            hold_until: Now::ZERO,
            stepped_at: Now::ZERO,
        }
    }

    /// Starts slowly from `now`.
    ///
    /// `siblings` is the typical latency of the service's warm upstreams; it stands in while this
    /// one's own warm latency is unknown. `another_will_do` says that there are such upstreams
    /// with slots to use. Without one nothing is gained by holding work back: there is no trickle,
    /// and slots open by the count of whole answers, whatever their latency.
    pub fn restart(
        &mut self,
        now: Now,
        cause: RampCause,
        siblings: Option<Duration>,
        another_will_do: bool,
    ) {
        self.warm = self.warm.or(siblings);
        self.another_will_do = another_will_do;
        self.may_trickle = another_will_do && cause != RampCause::Silence;
        self.window = Seen::default();
        self.next_probe = now;
        self.hold_until = now;
        self.stepped_at = now;
        if self.may_trickle {
            self.trickle();
        } else {
            self.open();
        }
    }

    /// Takes in what this entry saw of the upstream since the last call.
    ///
    /// `usable` is the number of slots that this entry owns: the ramp ends when all are open.
    /// Nothing grows on an old picture.
    pub fn observe(&mut self, now: Now, seen: &Seen, usable: u32, freshness: Freshness) {
        match self.phase {
            RampPhase::Trickle => self.judge_probes(now, seen, freshness),
            RampPhase::Opening => {
                if seen.answers > 0 {
                    self.next_probe = now + self.settings.idle_gap;
                }
                self.judge_window(now, seen, usable, freshness);
            }
            RampPhase::Warm => self.learn(seen),
        }
    }

    /// Slots that are open, or [`NO_LIMIT`].
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Where the upstream is in its slow start.
    pub fn phase(&self) -> RampPhase {
        self.phase
    }

    /// Whether a probe may go out.
    ///
    /// Also one whose slots open may need it: what was seen of it while it was cold makes it look
    /// slow, so that nothing is sent there and nothing else is ever seen. One would notice an
    /// upstream that idles beside busy ones, at the same few open slots.
    pub fn probe_due(&self, now: Now) -> bool {
        self.phase != RampPhase::Warm && now >= self.next_probe
    }

    /// Notes that a probe went out, so that the next one waits for its turn.
    pub fn probe_sent(&mut self, now: Now) {
        let gap = match self.phase {
            RampPhase::Trickle => self.settings.trickle_gap,
            RampPhase::Opening | RampPhase::Warm => self.settings.idle_gap,
        };
        self.next_probe = now + gap;
    }

    /// Latency that counts as warm, once known.
    pub fn warm_latency(&self) -> Option<Duration> {
        self.warm
    }

    /// Opens a slot without proof, for work that nothing else takes.
    ///
    /// When the only other upstreams are full or cold themselves, holding back would refuse work
    /// that a slow answer would still serve in time: one would notice refusals while slots idle.
    /// [`Relief`] says when; what is open stays within the slots owned.
    pub fn relieve(&mut self, now: Now) {
        self.stepped_at = now;
        match self.phase {
            RampPhase::Trickle => self.open(),
            RampPhase::Opening => self.limit = self.limit.saturating_add(1),
            RampPhase::Warm => {}
        }
    }

    fn trickle(&mut self) {
        self.phase = RampPhase::Trickle;
        self.probes.clear();
        self.limit = 1;
    }

    fn open(&mut self) {
        self.window = Seen::default();
        self.phase = RampPhase::Opening;
        self.limit = self.settings.first_limit.max(1);
    }

    /// Judges the last probes, whenever there is a new one.
    ///
    /// Probes are few: were they judged by one full window after the other, a window that the
    /// last cold ones spoil would put the end of the trickle off by seconds.
    fn judge_probes(&mut self, now: Now, seen: &Seen, freshness: Freshness) {
        if seen.failures() > 0 {
            self.trickle();
            return;
        }
        let Some(latency) = seen.mean_latency() else {
            return;
        };
        let judged = self.settings.trickle_answers.max(1);
        for _ in 0..seen.answers.min(judged) {
            self.probes.push_back(latency);
        }
        if self.probes.len() >= FIRST_PROBES {
            self.limit = self.settings.trickle_limit.max(1);
        }
        while self.probes.len() > judged as usize {
            self.probes.pop_front();
        }
        if self.probes.len() < judged as usize {
            return;
        }
        let mean = self.probes.iter().sum::<Duration>() / judged;
        self.accept_when_stuck(now, mean);
        // What would not take slots back opens the first: the callers' own requests then show the
        // rest of the way sooner than copies, which the budget holds to a few.
        let near = self.is_within(mean, self.settings.fall_permille);
        if near && freshness.allows_growth() {
            self.stepped_at = now;
            self.open();
        }
    }

    fn judge_window(&mut self, now: Now, seen: &Seen, usable: u32, freshness: Freshness) {
        self.window.add(seen);
        if self.window.failures() > 0 {
            self.fall(now);
            return;
        }
        let needed = self.limit.saturating_mul(self.settings.answers_per_slot);
        if self.window.answers < needed {
            return;
        }
        let Some(mean) = self.window.mean_latency() else {
            return;
        };
        self.accept_when_stuck(now, mean);
        if !self.is_within(mean, self.settings.fall_permille) {
            self.fall(now);
        } else if self.may_grow(now, mean, freshness) {
            self.grow(now, usable);
        }
        self.window = Seen::default();
    }

    fn may_grow(&self, now: Now, mean: Duration, freshness: Freshness) -> bool {
        freshness.allows_growth()
            && now >= self.hold_until
            && self.is_within(mean, self.settings.near_permille)
    }

    fn grow(&mut self, now: Now, usable: u32) {
        self.stepped_at = now;
        if self.limit >= usable {
            self.phase = RampPhase::Warm;
            self.limit = NO_LIMIT;
        } else {
            self.limit += 1;
        }
    }

    fn fall(&mut self, now: Now) {
        self.window = Seen::default();
        self.hold_until = now + self.settings.hold;
        if self.limit <= self.settings.first_limit && self.may_trickle {
            self.trickle();
        } else {
            self.limit = (self.limit / 2).max(1);
        }
    }

    /// Follows the latency of a warm upstream.
    fn learn(&mut self, seen: &Seen) {
        if let Some(mean) = seen.mean_latency() {
            self.warm = Some(smooth_latency(self.warm.unwrap_or_default(), mean));
        }
    }

    /// Gives up a warm latency that the upstream does not reach any more.
    ///
    /// It may have come back as a slower machine for good: its slots would stay shut for ever,
    /// which one would notice as a limit that never moves while answers keep coming.
    fn accept_when_stuck(&mut self, now: Now, mean: Duration) {
        let stuck = now.saturating_sub(self.stepped_at) >= self.settings.stuck_after;
        if stuck || self.warm.is_none() {
            self.warm = Some(mean);
        }
    }

    /// Whether a latency is within some thousandths of the warm one, or no other is to be had.
    fn is_within(&self, mean: Duration, permille: u32) -> bool {
        if !self.another_will_do {
            return true;
        }
        match self.warm {
            Some(warm) => mean.as_nanos() * 1000 <= warm.as_nanos() * u128::from(permille),
            None => true,
        }
    }
}

/// Ticks in a row with unserved work before slow start yields to it.
const RELIEF_TICKS: u32 = 3;
/// Part of the arrivals, as a divisor, that must be unserved for a tick to count.
const RELIEF_PART: u32 = 20;

/// Judges whether work goes unserved for lack of open slots, so that slow start must yield.
///
/// One bad tick is the chance of a moment, or a shift that is still growing.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Relief {
    ticks: u32,
}

impl Relief {
    /// Takes in a tick's arrivals at this entry and how many of them waited or were refused here;
    /// true when [`Ramp::relieve`] is due. A tick each 100 ms suits.
    pub fn tick(&mut self, arrivals: u32, unserved: u32) -> bool {
        if unserved.saturating_mul(RELIEF_PART) > arrivals {
            self.ticks = self.ticks.saturating_add(1);
        } else {
            self.ticks = 0;
        }
        self.ticks >= RELIEF_TICKS
    }
}

impl fmt::Display for Ramp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.phase {
            RampPhase::Trickle => f.write_str("trickle")?,
            RampPhase::Opening => write!(f, "opening at {}", self.limit)?,
            RampPhase::Warm => f.write_str("warm")?,
        }
        match self.warm {
            Some(warm) => write!(f, " (warm latency {warm:?})"),
            None => Ok(()),
        }
    }
}
