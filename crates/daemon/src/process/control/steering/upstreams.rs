//! Slow start and suspicion: runs `steer`'s machines for each upstream of one service.

use crate::process::pool::{
    Pool,
    Totals,
    Upstream, //
};
use base::{
    Now,
    UpstreamId, //
};
use std::{
    collections::BTreeMap,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Duration, //
};
use steer::{
    FailureDetector,
    FailureDetectorSettings,
    Freshness,
    FreshnessLimits,
    SlowStart,
    SlowStartCause,
    SlowStartPhase,
    SlowStartSettings,
    SuspicionChange, //
};

/// Silence after whose end an upstream starts slowly.
const LONG_SILENCE: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome counts as failed. The request that served as the
/// probe may be gone without a word, and no other probe would ever be sent.
const PROBE_LOST: Duration = Duration::from_secs(10);

/// Machines of the upstreams of one service.
#[derive(Debug, Default)]
pub(super) struct Machines {
    by_id: BTreeMap<UpstreamId, Machine>,
    /// Upstreams were known before: one that comes now is new, and so is its cache.
    settled: bool,
}

/// Machines of one upstream.
#[derive(Debug)]
struct Machine {
    upstream: Arc<Upstream>,
    ramp: SlowStart,
    suspect: FailureDetector,
    totals: Totals,
    was_open: bool,
    said_cold: bool,
    /// When it last answered anything.
    heard_at: Now,
    /// A probe was offered to traffic threads.
    offered: bool,
    /// A probe is under way since then.
    probing_since: Option<Now>,
}

impl Machine {
    fn new(upstream: &Arc<Upstream>, now: Now) -> Self {
        Self {
            upstream: Arc::clone(upstream),
            ramp: SlowStart::warm(SlowStartSettings::default()),
            suspect: FailureDetector::trusted(FailureDetectorSettings::default()),
            totals: upstream.seen.totals(),
            was_open: upstream.open(),
            said_cold: false,
            heard_at: now,
            offered: false,
            probing_since: None,
        }
    }

    /// Whether it serves at full speed, as far as is known.
    fn is_warm(&self) -> bool {
        let warm = self.ramp.phase() == SlowStartPhase::Warm && !self.suspect.is_suspected();
        warm && self.upstream.open() && self.was_open
    }

    /// Why it has to start slowly from now on, if it has to.
    fn restart_cause(&mut self, now: Now) -> Option<SlowStartCause> {
        let returned = has_begun(&mut self.was_open, self.upstream.open());
        let turned_cold = has_begun(&mut self.said_cold, self.upstream.report.says_cold());
        let heard_at = self.upstream.report.heard_at().unwrap_or_default();
        let silent = heard_at > self.heard_at + LONG_SILENCE;
        self.heard_at = self.heard_at.max(heard_at).min(now);
        if returned {
            Some(SlowStartCause::RegionReturn)
        } else if turned_cold && self.ramp.phase() == SlowStartPhase::Warm {
            Some(SlowStartCause::ColdStart)
        } else {
            silent.then_some(SlowStartCause::Silence)
        }
    }

    /// Takes in what traffic threads saw since the last tick.
    fn observe(&mut self, now: Now, usable: u32, others: &Others) {
        self.note_probe(now);
        let totals = self.upstream.seen.totals();
        let mut seen = totals.since(&self.totals);
        self.totals = totals;
        if seen.responses > 0 {
            self.heard_at = now;
        }
        if seen.responses > 0 || seen.failures() > 0 {
            self.probing_since = None;
        }
        if self.probing_since.is_some_and(|at| now > at + PROBE_LOST) {
            self.probing_since = None;
            seen.timeouts += 1;
        }
        let freshness = self.freshness(now);
        let phase = self.ramp.phase();
        self.ramp.observe(now, &seen, usable, freshness);
        if phase != SlowStartPhase::Warm && self.ramp.phase() == SlowStartPhase::Opening {
            self.forget_slowness(&seen);
        }
        let verdict = self.suspect.observe(now, &seen, others.typical, phase);
        match verdict {
            Some(SuspicionChange::Raised) => self.log("upstream suspected"),
            Some(SuspicionChange::Cleared) => {
                self.log("upstream trusted again");
                self.forget_slowness(&seen);
                let cause = SlowStartCause::Silence;
                self.ramp
                    .restart(now, cause, others.typical, others.will_do);
            }
            None => {}
        }
    }

    /// Lets what was seen now, where it is quicker, stand for what was seen before.
    ///
    /// The moving average still holds the slow answers, and the choice of an upstream goes by it:
    /// little is sent to one that looks slow, so that the average hardly moves. One would notice an
    /// upstream that gets a request a second, for many seconds after it has proven itself.
    fn forget_slowness(&self, probe: &steer::WindowStats) {
        let average = self.upstream.seen.latency();
        match probe.mean_latency() {
            Some(latency) if latency < average => self.upstream.seen.reset_latency(latency),
            _ => {}
        }
    }

    fn note_probe(&mut self, now: Now) {
        if self.offered && !self.upstream.probe_due() {
            self.offered = false;
            self.probing_since = Some(now);
            self.ramp.probe_sent(now);
            self.suspect.probe_sent();
        }
    }

    fn freshness(&self, now: Now) -> Freshness {
        let age = now.saturating_sub(self.heard_at);
        Freshness::of_age(age, &FreshnessLimits::default())
    }

    /// Publishes the verdicts.
    fn publish(&mut self, now: Now) {
        let upstream = &self.upstream;
        let limit = self.ramp.limit();
        let cold = self.ramp.phase() == SlowStartPhase::Probing;
        let suspect = self.suspect.is_suspected();
        let silent = !self.freshness(now).allows_growth();
        let due = self.ramp.probe_due(now) && !suspect || self.suspect.probe_due(now);
        upstream.limit.store(limit, Ordering::Relaxed);
        upstream.cold.store(cold, Ordering::Relaxed);
        upstream.suspect.store(suspect, Ordering::Relaxed);
        upstream.seen.judged();
        upstream.silent.store(silent, Ordering::Relaxed);
        self.offered = due && upstream.open();
        upstream.set_probe_due(self.offered);
    }

    fn log(&self, what: &str) {
        let upstream = self.upstream.id.to_string();
        spdlog::info!("{}", what, kv: { upstream });
    }
}

/// Whether what did not hold before holds now; `held` follows in either case.
///
/// Were it to follow only what begins, the second time that it begins would go unseen: one would
/// notice an upstream that comes back from its second drain, or turns cold once more, and is sent
/// its whole part at once.
fn has_begun(held: &mut bool, holds: bool) -> bool {
    let held_before = std::mem::replace(held, holds);
    holds && !held_before
}

/// What a machine needs to know of the service's other upstreams.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    /// Their typical latency.
    typical: Option<Duration>,
    /// There are warm ones, with slots to use.
    will_do: bool,
}

impl Machines {
    /// Lets a tick pass; `relieve` opens slots without proof.
    pub(super) fn tick(&mut self, pool: &Arc<Pool>, now: Now, relieve: bool) {
        let upstreams = pool.upstreams();
        self.follow(&upstreams, now);
        let others = self.others();
        let cleared_before = self.suspected();
        for (machine, others) in self.by_id.values_mut().zip(&others) {
            if let Some(cause) = machine.restart_cause(now) {
                machine.log("upstream starts slowly");
                machine
                    .ramp
                    .restart(now, cause, others.typical, others.will_do);
            }
            let usable = u32::from(machine.upstream.slots.get().full);
            machine.observe(now, usable, others);
            if relieve {
                machine.ramp.force_step(now);
            }
        }
        if self.suspected() < cleared_before {
            // What brought them under suspicion together may have ended for all.
            self.by_id
                .values_mut()
                .for_each(|machine| machine.suspect.make_probe_due(now));
        }
        for machine in self.by_id.values_mut() {
            machine.publish(now);
        }
    }

    /// Typical latency of those that serve at full speed.
    pub(super) fn typical(&self) -> Option<Duration> {
        let warm = self.by_id.values().filter(|machine| machine.is_warm());
        let latencies = warm.map(|machine| machine.upstream.seen.latency());
        FailureDetector::median_latency(&mut latencies.collect::<Vec<_>>())
    }

    fn suspected(&self) -> usize {
        let machines = self.by_id.values();
        machines
            .filter(|machine| machine.suspect.is_suspected())
            .count()
    }

    /// Follows the list: forgets upstreams that are gone, and adds those that are new.
    fn follow(&mut self, upstreams: &[Arc<Upstream>], now: Now) {
        self.by_id.retain(|_, machine| {
            upstreams
                .iter()
                .any(|upstream| Arc::ptr_eq(upstream, &machine.upstream))
        });
        let settled = self.settled;
        self.settled |= !upstreams.is_empty();
        for upstream in upstreams {
            self.by_id.entry(upstream.id.clone()).or_insert_with(|| {
                let mut machine = Machine::new(upstream, now);
                // A process that has just started finds upstreams that others keep warm; to hold
                // them back would refuse work. One that comes later is new itself.
                machine.was_open &= !settled;
                machine
            });
        }
    }

    /// For each upstream, in order, what the others are like.
    fn others(&self) -> Vec<Others> {
        let warm: Vec<bool> = self.by_id.values().map(Machine::is_warm).collect();
        let latencies: Vec<Duration> = self
            .by_id
            .values()
            .map(|machine| machine.upstream.seen.latency())
            .collect();
        (0..warm.len())
            .map(|index| {
                let mut others: Vec<Duration> = latencies.clone();
                others.swap_remove(index);
                Others {
                    typical: FailureDetector::median_latency(&mut others),
                    will_do: (0..warm.len()).any(|other| other != index && warm[other]),
                }
            })
            .collect()
    }
}
