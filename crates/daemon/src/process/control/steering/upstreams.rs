//! Slow start and failure detection: runs the state machines of crate `steer` for each upstream of
//! one service.

use crate::process::pool::{
    ObservationTotals,
    Pool,
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

/// Duration of silence after which an upstream goes through slow start.
const LONG_SILENCE: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome counts as failed. The request used as the probe may
/// vanish without an outcome, and otherwise no further probe would be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// State machines of the upstreams of one service.
#[derive(Debug, Default)]
pub(super) struct UpstreamMonitors {
    by_id: BTreeMap<UpstreamId, UpstreamMonitor>,
    /// Upstreams were listed before, so one added later is new and has a cold cache.
    had_upstreams: bool,
}

/// State machines of one upstream.
#[derive(Debug)]
struct UpstreamMonitor {
    upstream: Arc<Upstream>,
    slow_start: SlowStart,
    failure_detector: FailureDetector,
    totals: ObservationTotals,
    was_open: bool,
    reported_cold: bool,
    /// Time of its last response or load report.
    last_heard_at: Now,
    /// A probe is offered to traffic threads.
    probe_offered: bool,
    /// Start time of the probe in progress.
    probing_since: Option<Now>,
}

impl UpstreamMonitor {
    fn new(upstream: &Arc<Upstream>, now: Now) -> Self {
        Self {
            upstream: Arc::clone(upstream),
            slow_start: SlowStart::warm(SlowStartSettings::default()),
            failure_detector: FailureDetector::trusted(FailureDetectorSettings::default()),
            totals: upstream.observations.totals(),
            was_open: upstream.accepts_work(),
            reported_cold: false,
            last_heard_at: now,
            probe_offered: false,
            probing_since: None,
        }
    }

    /// Whether it is believed to serve at full speed.
    fn is_warm(&self) -> bool {
        let warm = self.slow_start.phase() == SlowStartPhase::Warm
            && !self.failure_detector.is_suspected();
        warm && self.upstream.accepts_work() && self.was_open
    }

    /// Returns why it must go through slow start from now on, if it must.
    fn restart_cause(&mut self, now: Now) -> Option<SlowStartCause> {
        let returned = rising_edge(&mut self.was_open, self.upstream.accepts_work());
        let turned_cold = rising_edge(
            &mut self.reported_cold,
            self.upstream.last_report.reports_cold(),
        );
        let heard_at = self.upstream.last_report.received_at().unwrap_or_default();
        let silent = heard_at > self.last_heard_at + LONG_SILENCE;
        self.last_heard_at = self.last_heard_at.max(heard_at).min(now);
        if returned {
            Some(SlowStartCause::RegionReturn)
        } else if turned_cold && self.slow_start.phase() == SlowStartPhase::Warm {
            Some(SlowStartCause::ColdStart)
        } else {
            silent.then_some(SlowStartCause::Silence)
        }
    }

    /// Processes the observations of traffic threads since the last tick.
    fn observe(&mut self, now: Now, usable: u32, others: &Others) {
        self.record_probe_taken(now);
        let totals = self.upstream.observations.totals();
        let mut seen = totals.since(&self.totals);
        self.totals = totals;
        if seen.responses > 0 {
            self.last_heard_at = now;
        }
        if seen.responses > 0 || seen.failures() > 0 {
            self.probing_since = None;
        }
        if self
            .probing_since
            .is_some_and(|at| now > at + PROBE_TIMEOUT)
        {
            self.probing_since = None;
            seen.timeouts += 1;
        }
        let freshness = self.freshness(now);
        let phase = self.slow_start.phase();
        self.slow_start.observe(now, &seen, usable, freshness);
        if phase != SlowStartPhase::Warm && self.slow_start.phase() == SlowStartPhase::Opening {
            self.reset_slow_average(&seen);
        }
        let change = self
            .failure_detector
            .observe(now, &seen, others.median_latency, phase);
        match change {
            Some(SuspicionChange::Raised) => self.log("upstream suspected"),
            Some(SuspicionChange::Cleared) => {
                self.log("upstream no longer suspected");
                self.reset_slow_average(&seen);
                let cause = SlowStartCause::Silence;
                self.slow_start
                    .restart(now, cause, others.median_latency, others.any_warm);
            }
            None => {}
        }
    }

    /// Replaces the latency average with that of the probe, if the probe was faster.
    ///
    /// The moving average still contains the slow responses, and upstream selection relies on it:
    /// an upstream that looks slow receives little work, so its average hardly changes. A recovered
    /// upstream would receive about a request a second for many seconds.
    fn reset_slow_average(&self, probe: &steer::WindowStats) {
        let average = self.upstream.observations.latency();
        match probe.mean_latency() {
            Some(latency) if latency < average => self.upstream.observations.reset_latency(latency),
            _ => {}
        }
    }

    fn record_probe_taken(&mut self, now: Now) {
        if self.probe_offered && !self.upstream.probe_due() {
            self.probe_offered = false;
            self.probing_since = Some(now);
            self.slow_start.probe_sent(now);
            self.failure_detector.probe_sent();
        }
    }

    fn freshness(&self, now: Now) -> Freshness {
        let age = now.saturating_sub(self.last_heard_at);
        Freshness::of_age(age, &FreshnessLimits::default())
    }

    /// Publishes the results to traffic threads.
    fn publish(&mut self, now: Now) {
        let upstream = &self.upstream;
        let limit = self.slow_start.limit();
        let cold = self.slow_start.phase() == SlowStartPhase::Probing;
        let suspect = self.failure_detector.is_suspected();
        let silent = !self.freshness(now).allows_growth();
        let due =
            self.slow_start.probe_due(now) && !suspect || self.failure_detector.probe_due(now);
        upstream.slow_start_limit.store(limit, Ordering::Relaxed);
        upstream.cold.store(cold, Ordering::Relaxed);
        upstream.suspect.store(suspect, Ordering::Relaxed);
        upstream.observations.reset_failure_streak();
        upstream.silent.store(silent, Ordering::Relaxed);
        self.probe_offered = due && upstream.accepts_work();
        upstream.set_probe_due(self.probe_offered);
    }

    fn log(&self, message: &str) {
        let upstream = self.upstream.id.to_string();
        spdlog::info!("{}", message, kv: { upstream });
    }
}

/// Returns whether the condition became true, and records its current value in either case.
///
/// Recording only rising edges would miss every later one: an upstream that returns from its second
/// drain, or turns cold again, would receive its full share at once.
fn rising_edge(previous: &mut bool, current: bool) -> bool {
    let was_true = std::mem::replace(previous, current);
    current && !was_true
}

/// State of the service's other upstreams.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    /// Median latency of the others.
    median_latency: Option<Duration>,
    /// At least one of the others is warm.
    any_warm: bool,
}

impl UpstreamMonitors {
    /// Runs a tick; `force_open` opens slots without a successful probe.
    pub(super) fn tick(&mut self, pool: &Arc<Pool>, now: Now, force_open: bool) {
        let upstreams = pool.upstreams();
        self.sync_upstreams(&upstreams, now);
        let others = self.others();
        let cleared_before = self.suspected_count();
        for (monitor, others) in self.by_id.values_mut().zip(&others) {
            if let Some(cause) = monitor.restart_cause(now) {
                monitor.log("upstream enters slow start");
                monitor
                    .slow_start
                    .restart(now, cause, others.median_latency, others.any_warm);
            }
            let usable = u32::from(monitor.upstream.slots.get().full);
            monitor.observe(now, usable, others);
            if force_open {
                monitor.slow_start.force_step(now);
            }
        }
        if self.suspected_count() < cleared_before {
            // The common cause of the suspicions may have ended for all of them.
            self.by_id
                .values_mut()
                .for_each(|monitor| monitor.failure_detector.make_probe_due(now));
        }
        for monitor in self.by_id.values_mut() {
            monitor.publish(now);
        }
    }

    /// Median latency of the upstreams that serve at full speed.
    pub(super) fn median_latency(&self) -> Option<Duration> {
        let warm = self.by_id.values().filter(|monitor| monitor.is_warm());
        let latencies = warm.map(|monitor| monitor.upstream.observations.latency());
        FailureDetector::median_latency(&mut latencies.collect::<Vec<_>>())
    }

    fn suspected_count(&self) -> usize {
        let monitors = self.by_id.values();
        monitors
            .filter(|monitor| monitor.failure_detector.is_suspected())
            .count()
    }

    /// Synchronises with the list: removes upstreams that are gone, and adds new ones.
    fn sync_upstreams(&mut self, upstreams: &[Arc<Upstream>], now: Now) {
        self.by_id.retain(|_, monitor| {
            upstreams
                .iter()
                .any(|upstream| Arc::ptr_eq(upstream, &monitor.upstream))
        });
        let had_upstreams = self.had_upstreams;
        self.had_upstreams |= !upstreams.is_empty();
        for upstream in upstreams {
            self.by_id.entry(upstream.id.clone()).or_insert_with(|| {
                let mut monitor = UpstreamMonitor::new(upstream, now);
                // Upstreams found when the process starts are kept warm by other entries; a slow
                // start would refuse work. An upstream added later is itself new.
                monitor.was_open &= !had_upstreams;
                monitor
            });
        }
    }

    /// State of the others for each upstream, in order.
    fn others(&self) -> Vec<Others> {
        let warm: Vec<bool> = self.by_id.values().map(UpstreamMonitor::is_warm).collect();
        let latencies: Vec<Duration> = self
            .by_id
            .values()
            .map(|monitor| monitor.upstream.observations.latency())
            .collect();
        (0..warm.len())
            .map(|index| {
                let mut others: Vec<Duration> = latencies.clone();
                others.swap_remove(index);
                Others {
                    median_latency: FailureDetector::median_latency(&mut others),
                    any_warm: (0..warm.len()).any(|other| other != index && warm[other]),
                }
            })
            .collect()
    }
}
