//! Merges the counts of all daemons into one report.

use crate::window::{
    alerts,
    minutes,
    windows,
    Alert,
    DaemonBuckets,
    Minute,
    Window, //
};
use base::{
    ClassId,
    DomainId,
    Incarnation,
    InstanceId,
    RegionId,
    Version, //
};
use hdrhistogram::Histogram;
use op::{
    Burn,
    ClassBurn, //
};
use serde::Serialize;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Highest latency that the histograms record, in microseconds; longer than any deadline.
const LATENCY_MAX_US: u64 = 1 << 32;
/// Significant digits of a recorded latency; daemons report about the same precision.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;
/// Points of the latency curve for each halving of the distance to 100 %.
const CURVE_POINTS_PER_HALVING: u32 = 4;

/// Note on replaced instances and coverage, included in every format of the report.
pub(crate) const COVERAGE_NOTE: &str = "Counts begin with each process and survive nothing: \
    of an instance that was replaced, what came before is gone and is not in any window; the column \
    \"covered\" says how much of a window the answering daemons have counted.";

/// A daemon whose counts are in the report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CountedDaemon {
    /// Instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Region of the instance.
    pub region: RegionId,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// Configuration version in force at the daemon.
    pub version: Version,
    /// Time since the daemon started to count, in seconds.
    pub age_s: u64,
}

/// A daemon that did not answer, so that its counts are missing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UnansweredDaemon {
    /// Name of the daemon, if known, and its address.
    pub daemon: String,
    /// Reason why the daemon's counts are missing.
    pub why: String,
}

/// Latency of complete responses since each daemon's start.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Number of complete responses.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 90th percentile, in microseconds.
    pub p90_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Maximum, in microseconds.
    pub max_us: u64,
    /// Points of the plotted curve: percentile and latency in microseconds.
    #[serde(skip)]
    pub curve: Vec<(f64, u64)>,
}

/// Burn and latency of one class over all daemons.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Class.
    pub class: ClassId,
    /// Target for good requests, per million.
    pub success_target_ppm: u32,
    /// Latency up to which a complete response counts as good, in milliseconds.
    pub latency_target_ms: u64,
    /// Whether some daemons counted by other targets, as happens while a new version spreads.
    pub targets_differ: bool,
    /// Burn by window, shortest window first.
    pub windows: Vec<Window>,
    /// Alerts raised by the windows.
    pub alerts: Vec<Alert>,
    /// Latency of complete responses.
    pub latency: LatencyReport,
    /// Counts of the last hour by minute, oldest first.
    pub minutes: Vec<Minute>,
}

/// Burn of all classes over all daemons.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Wall time at which the daemons were queried, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Note on replaced instances and on the coverage of windows.
    #[serde(rename = "past")]
    pub coverage_note: &'static str,
    /// Daemons whose counts are included, sorted by name.
    pub counted: Vec<CountedDaemon>,
    /// Daemons that did not answer.
    pub not_answered: Vec<UnansweredDaemon>,
    /// Classes, sorted by name.
    pub classes: Vec<ClassReport>,
}

impl Report {
    /// Merges the counts of daemons that were queried at `at_ms`.
    ///
    /// A daemon that was queried under two addresses is counted once.
    pub fn new(at_ms: u64, answers: Vec<Burn>, not_answered: Vec<UnansweredDaemon>) -> Self {
        let by_incarnation: BTreeMap<(InstanceId, Incarnation), Burn> = answers
            .into_iter()
            .map(|burn| ((burn.instance.clone(), burn.incarnation), burn))
            .collect();
        let daemons: Vec<Burn> = by_incarnation.into_values().collect();
        let classes = daemons.iter().flat_map(|burn| &burn.classes);
        let classes: BTreeSet<&ClassId> = classes.map(|class| &class.class).collect();
        Self {
            at_ms,
            coverage_note: COVERAGE_NOTE,
            counted: daemons.iter().map(counted_daemon).collect(),
            classes: classes
                .into_iter()
                .map(|class| class_report(class, &daemons))
                .collect(),
            not_answered,
        }
    }
}

fn counted_daemon(burn: &Burn) -> CountedDaemon {
    CountedDaemon {
        instance: burn.instance.clone(),
        incarnation: burn.incarnation,
        region: burn.region.clone(),
        failure_domain: burn.failure_domain.clone(),
        version: burn.version,
        age_s: burn.age_ms / 1000,
    }
}

fn class_report(class: &ClassId, daemons: &[Burn]) -> ClassReport {
    let counts: Vec<(&Burn, &ClassBurn)> = daemons
        .iter()
        .filter_map(|burn| Some((burn, burn.classes.iter().find(|c| c.class == *class)?)))
        .collect();
    // If daemons report different targets, those of the highest version are in force.
    let latest = counts.iter().max_by_key(|(burn, _)| burn.version);
    let targets = |class: &ClassBurn| (class.success_target_ppm, class.latency_target_ms);
    let in_force = latest.map_or((0, 0), |(_, class)| targets(class));
    let daemon_buckets: Vec<DaemonBuckets<'_>> = counts
        .iter()
        .map(|(burn, class)| DaemonBuckets {
            burn,
            buckets: &class.buckets,
        })
        .collect();
    let (success_target_ppm, latency_target_ms) = in_force;
    let windows = windows(&daemon_buckets, daemons, success_target_ppm);
    ClassReport {
        class: class.clone(),
        success_target_ppm,
        latency_target_ms,
        targets_differ: counts.iter().any(|(_, class)| targets(class) != in_force),
        alerts: alerts(&windows),
        windows,
        latency: latency(counts.iter().map(|(_, class)| *class)),
        minutes: minutes(&daemon_buckets, success_target_ppm),
    }
}

fn latency<'a>(counts: impl Iterator<Item = &'a ClassBurn>) -> LatencyReport {
    let mut merged =
        Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, LATENCY_SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
    for (latency_us, count) in counts.flat_map(|class| &class.latency_us) {
        merged.saturating_record_n(*latency_us, *count);
    }
    if merged.is_empty() {
        return LatencyReport::default();
    }
    let curve = merged.iter_quantiles(CURVE_POINTS_PER_HALVING);
    let curve = curve.map(|point| {
        (
            point.quantile_iterated_to() * 100.0,
            point.value_iterated_to(),
        )
    });
    LatencyReport {
        count: merged.len(),
        p50_us: merged.value_at_quantile(0.5),
        p90_us: merged.value_at_quantile(0.9),
        p99_us: merged.value_at_quantile(0.99),
        p999_us: merged.value_at_quantile(0.999),
        max_us: merged.max(),
        curve: curve.collect(),
    }
}
