//! Merging what the daemons answered.

use crate::window::{
    alerts,
    minutes,
    windows,
    Alert,
    Counts,
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

/// Longest latency that the histograms hold, in microseconds: beyond any deadline.
const LATENCY_MAX_US: u64 = 1 << 32;
/// Digits of a latency that count; daemons give about as many.
const LATENCY_DIGITS: u8 = 2;
/// Steps of the latency curve for each halving of what is left to 100 %.
const CURVE_STEPS: u32 = 4;

/// What is said of instances that were replaced, in every form of the report.
pub(crate) const PAST: &str = "Counts begin with each process and survive nothing: of an instance \
    that was replaced, what came before is gone and is not in any window; the column \"covered\" says \
    how much of a window the answering daemons have counted.";

/// A daemon whose counts are in the report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Counted {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Configuration in force there.
    pub version: Version,
    /// Time since it began to count, in seconds.
    pub age_s: u64,
}

/// A daemon whose counts are missing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct NotAnswered {
    /// Its name if it is known, and its address.
    pub daemon: String,
    /// Why there is no answer.
    pub why: String,
}

/// Latency of whole answers since each daemon's start.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Whole answers.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 90th percentile, in microseconds.
    pub p90_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Longest, in microseconds.
    pub max_us: u64,
    /// Curve for a plot: percentile and latency in microseconds.
    #[serde(skip)]
    pub curve: Vec<(f64, u64)>,
}

/// One class over all daemons.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Class.
    pub class: ClassId,
    /// Good requests that are asked for, per million.
    pub success_target_ppm: u32,
    /// Latency up to which a whole answer is good, in milliseconds.
    pub latency_target_ms: u64,
    /// Whether daemons counted by other targets, as while a version spreads.
    pub targets_differ: bool,
    /// Burn by window, the shortest first.
    pub windows: Vec<Window>,
    /// Burns that are too high.
    pub alerts: Vec<Alert>,
    /// Latency.
    pub latency: LatencyReport,
    /// The last hour by minutes, the oldest first.
    pub minutes: Vec<Minute>,
}

/// Burn of all classes over all daemons.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Wall time at which the daemons were asked, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How the past of a replaced instance is treated.
    pub past: &'static str,
    /// Daemons that are counted, sorted by name.
    pub counted: Vec<Counted>,
    /// Daemons that did not answer.
    pub not_answered: Vec<NotAnswered>,
    /// Classes, sorted by name.
    pub classes: Vec<ClassReport>,
}

impl Report {
    /// Merges the answers of daemons that were asked at `at_ms`.
    ///
    /// A daemon that answered twice, as under two addresses, counts once.
    pub fn new(at_ms: u64, answers: Vec<Burn>, not_answered: Vec<NotAnswered>) -> Self {
        let by_life: BTreeMap<(InstanceId, Incarnation), Burn> = answers
            .into_iter()
            .map(|burn| ((burn.instance.clone(), burn.incarnation), burn))
            .collect();
        let daemons: Vec<Burn> = by_life.into_values().collect();
        let classes = daemons.iter().flat_map(|burn| &burn.classes);
        let classes: BTreeSet<&ClassId> = classes.map(|class| &class.class).collect();
        Self {
            at_ms,
            past: PAST,
            counted: daemons.iter().map(counted).collect(),
            classes: classes
                .into_iter()
                .map(|class| class_report(class, &daemons))
                .collect(),
            not_answered,
        }
    }
}

fn counted(burn: &Burn) -> Counted {
    Counted {
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
    // Of two targets, that of the higher version is the one in force.
    let newest = counts.iter().max_by_key(|(burn, _)| burn.version);
    let targets = |class: &ClassBurn| (class.success_target_ppm, class.latency_target_ms);
    let in_force = newest.map_or((0, 0), |(_, class)| targets(class));
    let placed: Vec<Counts<'_>> = counts
        .iter()
        .map(|(burn, class)| Counts {
            burn,
            buckets: &class.buckets,
        })
        .collect();
    let (success_target_ppm, latency_target_ms) = in_force;
    let windows = windows(&placed, daemons, success_target_ppm);
    ClassReport {
        class: class.clone(),
        success_target_ppm,
        latency_target_ms,
        targets_differ: counts.iter().any(|(_, class)| targets(class) != in_force),
        alerts: alerts(&windows),
        windows,
        latency: latency(counts.iter().map(|(_, class)| *class)),
        minutes: minutes(&placed, success_target_ppm),
    }
}

fn latency<'a>(counts: impl Iterator<Item = &'a ClassBurn>) -> LatencyReport {
    let mut merged = Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)
        .expect("the bounds are valid");
    for (latency_us, count) in counts.flat_map(|class| &class.latency_us) {
        merged.saturating_record_n(*latency_us, *count);
    }
    if merged.is_empty() {
        return LatencyReport::default();
    }
    let curve = merged.iter_quantiles(CURVE_STEPS);
    let curve = curve.map(|step| {
        (
            step.quantile_iterated_to() * 100.0,
            step.value_iterated_to(),
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
