//! The table's rows, computed from a run's report and records.

use crate::run::{
    Contender,
    Outcome, //
};
use load::{
    Breach,
    CallerRecord,
    CallerResult, //
    Plan,
    Report,
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
    ops::Range, //
};
use steer::Policy;

/// The table's head.
pub(crate) const HEAD: &str = "\
| scene | policy | quick: p50 / p99 / p99.9 ms | filings | downloads | whole % | refused | unknown | \
least headroom %, s below | drain ms | retries each | queued | broken | load |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Results of one run.
pub(crate) struct Row {
    scene: String,
    contender: String,
    is_baseline: bool,
    /// Latencies of quick lookups, only in the focus region if the scene names one.
    quick: Latency,
    others: Vec<Latency>,
    whole_pct: f64,
    refused: u64,
    unknown: u64,
    least_headroom_pct: f64,
    seconds_below: usize,
    drain_ms: Option<u64>,
    retries_per_request: f64,
    queued: u64,
    violations: BTreeMap<String, usize>,
    load_average: [f64; 2],
    recovery: Option<Recovery>,
}

/// Latencies of one class.
#[derive(Clone, Copy)]
struct Latency {
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
}

/// Latencies of quick lookups that ran in a region before its drain and while its load returns.
struct Recovery {
    p99_before_us: u64,
    p99_after_us: u64,
}

impl Row {
    pub(crate) fn new(scene: &str, plan: &Plan, contender: &Contender, outcome: &Outcome) -> Self {
        let report = &outcome.trial.report;
        let quick = &plan.scene.classes[0].name;
        let totals =
            |figure: fn(&load::RequestFigures) -> u64| report.classes.values().map(figure).sum();
        let offered: u64 = totals(|row| row.offered);
        let retries: u64 = totals(|row| row.retries + row.entry_retries);
        let is_earlier = contender.daemon_folder.is_some();
        Self {
            scene: scene.to_owned(),
            contender: format!(
                "{}{}",
                contender.policy,
                if is_earlier { ", earlier" } else { "" }
            ),
            is_baseline: contender.policy != Policy::LeastLoaded,
            quick: match &plan.focus {
                Some(region) => Latency::of(&report.class_regions, &format!("{quick}/{region}")),
                None => Latency::of(&report.classes, quick),
            },
            others: plan.scene.classes[1..]
                .iter()
                .map(|class| Latency::of(&report.classes, &class.name))
                .collect(),
            whole_pct: 100.0 * report.done_ratio(),
            refused: totals(|row| row.refused),
            unknown: totals(|row| row.unknown + row.unanswered + row.failed),
            least_headroom_pct: least_headroom_pct(report, quick),
            seconds_below: report
                .headroom
                .values()
                .map(|headroom| headroom.seconds_below)
                .sum(),
            drain_ms: report.drains.iter().map(|drain| drain.duration_ms).max(),
            retries_per_request: retries as f64 / offered.max(1) as f64,
            queued: report.uses.values().map(|used| used.queued).sum(),
            violations: violations_by_kind(report),
            load_average: outcome.load_average,
            recovery: recovery(plan, outcome),
        }
    }
}

/// Smallest mean headroom in any second and region of a service.
fn least_headroom_pct(report: &Report, service: &str) -> f64 {
    let pools = report.headroom.iter();
    let pools = pools.filter(|(pool, _)| pool.split('/').next() == Some(service));
    let seconds = pools.flat_map(|(_, headroom)| &headroom.seconds);
    let means = seconds.map(|second| second.mean_pct);
    means.fold(100.0, f64::min)
}

/// Number of violated guarantees by kind, without queueing, which has its own column.
fn violations_by_kind(report: &Report) -> BTreeMap<String, usize> {
    let mut kinds = BTreeMap::new();
    for violation in &report.violations {
        if !matches!(violation.breach, Breach::Queued { .. }) {
            let kind = format!("{:?}", violation.breach);
            let kind = kind.split(' ').next().unwrap_or_default().to_owned();
            *kinds.entry(kind).or_default() += 1;
        }
    }
    kinds
}

impl Latency {
    fn of(rows: &BTreeMap<String, load::RequestFigures>, key: &str) -> Self {
        let figure = |figure: fn(&load::RequestFigures) -> u64| rows.get(key).map_or(0, figure);
        Self {
            p50_us: figure(|row| row.p50_us),
            p99_us: figure(|row| row.p99_us),
            p999_us: figure(|row| row.p999_us),
        }
    }
}

/// Compares latencies before the drain and after the return of the load, if the scene has both.
fn recovery(plan: &Plan, outcome: &Outcome) -> Option<Recovery> {
    let region = plan.focus.as_ref()?;
    let back_at_ms = plan.back_at_ms?;
    let drains = plan
        .scene
        .events
        .iter()
        .filter(|event| !event.leaves.is_empty());
    let drained_at_ms = drains.map(|event| event.at_ms).min().unwrap_or(back_at_ms);
    let trial = &outcome.trial;
    let prefix = format!("{region}-");
    let local_runs = trial
        .runs
        .iter()
        .filter(|run| run.upstream.starts_with(&prefix));
    let local_ids: BTreeSet<&str> = local_runs.map(|run| &*run.id).collect();
    let callers = trial.driven.callers.iter();
    let first_us = callers.clone().map(|caller| caller.scheduled_us).min()?;
    let quick = callers.filter(|caller| {
        caller.class == plan.scene.classes[0].name
            && caller.result == CallerResult::Done
            && local_ids.contains(&*caller.id)
    });
    let quick: Vec<&CallerRecord> = quick.collect();
    let p99_us = |range_ms: Range<u64>| {
        let in_range = quick.iter().filter(|caller| {
            let at_ms = (caller.scheduled_us - first_us) / 1_000;
            range_ms.contains(&at_ms)
        });
        p99_us(in_range.map(|caller| caller.finished_us - caller.scheduled_us))
    };
    Some(Recovery {
        p99_before_us: p99_us(0..drained_at_ms),
        p99_after_us: p99_us(back_at_ms..plan.scene.duration_ms),
    })
}

fn p99_us(latencies_us: impl Iterator<Item = u64>) -> u64 {
    let mut latencies_us: Vec<u64> = latencies_us.collect();
    latencies_us.sort_unstable();
    let index = (latencies_us.len() * 99).div_ceil(100).saturating_sub(1);
    latencies_us.get(index).copied().unwrap_or(0)
}

/// Prints the ratio of our p99 of quick lookups to the best baseline's, and for a region that
/// returns from a drain, the ratio to its p99 before.
pub(crate) fn print_ratios(scene: &str, rows: &[Row]) {
    let baselines = rows.iter().filter(|row| row.is_baseline);
    let best = baselines.min_by_key(|row| row.quick.p99_us);
    for row in rows.iter().filter(|row| !row.is_baseline) {
        if let Some(best) = best {
            let ratio = row.quick.p99_us as f64 / best.quick.p99_us.max(1) as f64;
            println!(
                "ratio: {scene}, {}: {ratio:.2} of the p99 of {}",
                row.contender, best.contender
            );
        }
    }
    for row in rows {
        if let Some(recovery) = &row.recovery {
            let ratio = recovery.p99_after_us as f64 / recovery.p99_before_us.max(1) as f64;
            println!(
                "back: {scene}, {}: p99 {} ms warm, {} ms while load comes back, ratio {ratio:.2}",
                row.contender,
                format_ms(recovery.p99_before_us),
                format_ms(recovery.p99_after_us)
            );
        }
    }
}

fn format_ms(us: u64) -> String {
    format!("{:.1}", us as f64 / 1e3)
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p99, p999] = [self.p50_us, self.p99_us, self.p999_us].map(format_ms);
        write!(f, "{p50} / {p99} / {p999}")
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {} |",
            self.scene, self.contender, self.quick
        )?;
        for other in &self.others {
            write!(f, " {other} |")?;
        }
        write!(
            f,
            " {:.2} | {} | {} | {:.0}, {} | {} | {:.3} | {} |",
            self.whole_pct,
            self.refused,
            self.unknown,
            self.least_headroom_pct,
            self.seconds_below,
            self.drain_ms.map_or("-".into(), |ms| ms.to_string()),
            self.retries_per_request,
            self.queued,
        )?;
        let violations: Vec<_> = self
            .violations
            .iter()
            .map(|(kind, n)| format!("{n} {kind}"))
            .collect();
        let violations = if violations.is_empty() {
            "0".to_owned()
        } else {
            violations.join(", ")
        };
        let [before, after] = self.load_average;
        write!(f, " {violations} | {before:.0} to {after:.0} |")
    }
}
