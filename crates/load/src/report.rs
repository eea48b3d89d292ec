//! The report of a run: figures by class and callers' region, and the use of upstreams' slots.

use crate::{
    drain::{
        self,
        DrainTime, //
    },
    headroom::{
        self,
        Headroom, //
    },
    judge::{
        Evidence,
        Violation, //
    },
    record::{
        CallerRecord,
        CallerResult,
        Run,
        UnixUs,
        UpstreamFacts, //
    },
    shifted::{
        self,
        Shifted, //
    },
    window::Window, //
};
use base::{
    FastMap,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt, //
};

/// Upper limit of a histogram's latencies, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Violations that the text lists; the JSON output has all.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Figures and violations of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Figures by class.
    pub classes: BTreeMap<String, RequestFigures>,
    /// Figures by the callers' region.
    pub regions: BTreeMap<String, RequestFigures>,
    /// Figures by class and region, as `class/region`.
    pub class_regions: BTreeMap<String, RequestFigures>,
    /// Use of the upstreams' slots by region and service, as `region/service`.
    pub uses: BTreeMap<String, SlotUsage>,
    /// Headroom over time, as `service/region`.
    pub headroom: BTreeMap<String, Headroom>,
    /// Drain times.
    pub drains: Vec<DrainTime>,
    /// Traffic that regions shifted to each other, as `from>to`.
    pub shifted: BTreeMap<String, Shifted>,
    /// Number of callers' requests.
    pub requests: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

/// Figures of a group of requests.
#[derive(Debug, Serialize)]
pub struct RequestFigures {
    /// Requests that arrived.
    pub offered: u64,
    /// Answered by an upstream with a success status.
    pub done: u64,
    /// Answered with a failure status, or without an outcome.
    pub failed: u64,
    /// Refused without having run.
    pub refused: u64,
    /// Of unknown outcome.
    pub unknown: u64,
    /// Without a final response.
    pub unanswered: u64,
    /// Callers' tries after the first.
    pub retries: u64,
    /// Entries' retries: requests that reached an upstream after the first of the same try.
    pub entry_retries: u64,
    /// Both kinds of retries per offered request.
    pub retries_per_request: f64,
    /// Median latency of the requests done, from the scheduled time.
    pub p50_us: u64,
    /// 99th percentile of the same.
    pub p99_us: u64,
    /// 99.9th percentile of the same.
    pub p999_us: u64,
    #[serde(skip)]
    latency_us: Histogram<u64>,
}

/// Use of a service's slots in a region.
#[derive(Debug, Default, Serialize)]
pub struct SlotUsage {
    /// Slots of all upstreams.
    pub slots: u32,
    /// Highest number of requests in flight.
    pub peak_in_flight: u32,
    /// Mean number of requests in flight, from the first start of a run to the last end.
    pub mean_in_flight: f64,
    /// Runs that got a slot.
    pub runs: u64,
    /// Requests that arrived and never got a slot.
    pub turned_away: u64,
    /// Sum of the upstreams' longest queues.
    pub queued: u64,
}

impl Report {
    /// Aggregates the evidence of a run.
    pub fn new(evidence: &Evidence, violations: Vec<Violation>) -> Self {
        let callers = &evidence.callers;
        let window = Window::of(callers);
        let retries_by_id = entry_retries_by_id(&evidence.runs);
        let rows = |key: fn(&CallerRecord) -> String| rows(callers, &retries_by_id, key);
        Self {
            classes: rows(|caller| caller.class.to_string()),
            regions: rows(|caller| caller.region.to_string()),
            class_regions: rows(|caller| format!("{}/{}", caller.class, caller.region)),
            uses: slot_usage(&evidence.runs, &evidence.upstreams),
            headroom: headroom::headroom(evidence, window),
            drains: drain::drains(evidence),
            shifted: shifted::shifted(evidence, window),
            requests: callers.len(),
            violations,
        }
    }

    /// Requests done as a share of those offered.
    pub fn done_ratio(&self) -> f64 {
        let done: u64 = self.classes.values().map(|row| row.done).sum();
        if self.requests == 0 {
            return 1.0;
        }
        done as f64 / self.requests as f64
    }
}

impl RequestFigures {
    fn new() -> Self {
        Self {
            offered: 0,
            done: 0,
            failed: 0,
            refused: 0,
            unknown: 0,
            unanswered: 0,
            retries: 0,
            entry_retries: 0,
            retries_per_request: 0.0,
            p50_us: 0,
            p99_us: 0,
            p999_us: 0,
            latency_us: histogram(),
        }
    }

    fn add(&mut self, caller: &CallerRecord, entry_retries: u64) {
        self.offered += 1;
        self.entry_retries += entry_retries;
        self.retries += (caller.tries.len() as u64).saturating_sub(1);
        match caller.result {
            CallerResult::Done => {
                self.done += 1;
                // Measured from the scheduled time, so that the latency includes the delay of a
                // request that the driver sent late.
                let latency_us = caller.finished_us.saturating_sub(caller.scheduled_us);
                self.latency_us.saturating_record(latency_us);
            }
            CallerResult::Failed => self.failed += 1,
            CallerResult::Refused => self.refused += 1,
            CallerResult::Unknown => self.unknown += 1,
            CallerResult::NoAnswer | CallerResult::Unreached => self.unanswered += 1,
        }
    }

    fn finish(&mut self) {
        let retries = self.retries + self.entry_retries;
        self.retries_per_request = retries as f64 / self.offered.max(1) as f64;
        self.p50_us = self.latency_us.value_at_quantile(0.5);
        self.p99_us = self.latency_us.value_at_quantile(0.99);
        self.p999_us = self.latency_us.value_at_quantile(0.999);
    }
}

/// Creates a histogram of latencies in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are in order")
}

/// Entries' retries of each request, by the caller's id.
fn entry_retries_by_id(runs: &[Run]) -> FastMap<&str, u64> {
    let mut arrived: FastMap<(&str, u32), u64> = FastMap::default();
    for run in runs {
        *arrived.entry((&*run.id, run.try_number)).or_default() += 1;
    }
    let mut retries: FastMap<&str, u64> = FastMap::default();
    for ((id, _), arrived) in arrived {
        *retries.entry(id).or_default() += arrived - 1;
    }
    retries
}

fn rows(
    callers: &[CallerRecord],
    retries_by_id: &FastMap<&str, u64>,
    key: impl Fn(&CallerRecord) -> String,
) -> BTreeMap<String, RequestFigures> {
    let mut rows = BTreeMap::new();
    for caller in callers {
        let entry_retries_of_request = retries_by_id.get(&*caller.id).copied().unwrap_or(0);
        let row = rows.entry(key(caller)).or_insert_with(RequestFigures::new);
        row.add(caller, entry_retries_of_request);
    }
    rows.values_mut().for_each(RequestFigures::finish);
    rows
}

/// Computes the use of slots by region and service from the starts and ends of runs.
fn slot_usage(
    runs: &[Run],
    upstreams: &BTreeMap<UpstreamId, UpstreamFacts>,
) -> BTreeMap<String, SlotUsage> {
    let mut usages: BTreeMap<(&RegionId, &ServiceId), SlotUsage> = BTreeMap::new();
    let mut edges: BTreeMap<(&RegionId, &ServiceId), Vec<(UnixUs, i64)>> = BTreeMap::new();
    for facts in upstreams.values() {
        let usage = usages.entry((&facts.region, &facts.service)).or_default();
        usage.slots += facts.slots;
        usage.queued += facts.max_queued;
    }
    for run in runs {
        let Some(facts) = upstreams.get(&run.upstream) else {
            continue;
        };
        let key = (&facts.region, &facts.service);
        let usage = usages.entry(key).or_default();
        let Some(started_us) = run.started_us else {
            usage.turned_away += 1;
            continue;
        };
        usage.runs += 1;
        let edges = edges.entry(key).or_default();
        edges.push((started_us, 1));
        edges.push((run.ended_us.unwrap_or(started_us), -1));
    }
    for (key, mut edges) in edges {
        // Ends sort before starts of the same microsecond.
        edges.sort_unstable();
        if let Some(usage) = usages.get_mut(&key) {
            sweep(&edges, usage);
        }
    }
    usages
        .into_iter()
        .map(|((region, service), usage)| (format!("{region}/{service}"), usage))
        .collect()
}

fn sweep(edges: &[(UnixUs, i64)], usage: &mut SlotUsage) {
    let mut in_flight: i64 = 0;
    let mut in_flight_us = 0.0;
    let mut last_us = edges.first().map_or(0, |edge| edge.0);
    let first_us = last_us;
    for (at_us, change) in edges {
        in_flight_us += in_flight as f64 * (at_us - last_us) as f64;
        last_us = *at_us;
        in_flight += change;
        let current = u32::try_from(in_flight).unwrap_or(0);
        usage.peak_in_flight = usage.peak_in_flight.max(current);
    }
    if last_us > first_us {
        usage.mean_in_flight = in_flight_us / (last_us - first_us) as f64;
    }
}

/// Microseconds as milliseconds with two decimals.
pub(crate) fn format_ms(us: u64) -> String {
    format!("{:.2}", us as f64 / 1_000.0)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_rows(f, "class", &self.classes)?;
        writeln!(f)?;
        write_rows(f, "region", &self.regions)?;
        writeln!(f)?;
        write_usage(f, &self.uses)?;
        writeln!(f)?;
        headroom::write(f, &self.headroom)?;
        writeln!(f)?;
        shifted::write(f, &self.shifted)?;
        drain::write(f, &self.drains)?;
        if !self.violations.is_empty() {
            writeln!(f)?;
        }
        for violation in self.violations.iter().take(MAX_LISTED_VIOLATIONS) {
            writeln!(f, "{violation}")?;
        }
        if self.violations.len() > MAX_LISTED_VIOLATIONS {
            let more = self.violations.len() - MAX_LISTED_VIOLATIONS;
            writeln!(f, "and {more} violations more, all in the JSON output")?;
        }
        let count = self.violations.len();
        write!(f, "{} requests, {count} violations", self.requests)
    }
}

fn write_rows(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    rows: &BTreeMap<String, RequestFigures>,
) -> fmt::Result {
    writeln!(
        f,
        "{name:<16}{:>9}{:>9}{:>8}{:>9}{:>9}{:>12}{:>10}{:>10}{:>10}{:>9}{:>9}",
        "offered",
        "done",
        "failed",
        "refused",
        "unknown",
        "unanswered",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "retries",
        "each",
    )?;
    for (key, row) in rows {
        writeln!(
            f,
            "{key:<16}{:>9}{:>9}{:>8}{:>9}{:>9}{:>12}{:>10}{:>10}{:>10}{:>9}{:>9.3}",
            row.offered,
            row.done,
            row.failed,
            row.refused,
            row.unknown,
            row.unanswered,
            format_ms(row.p50_us),
            format_ms(row.p99_us),
            format_ms(row.p999_us),
            row.retries + row.entry_retries,
            row.retries_per_request,
        )?;
    }
    Ok(())
}

fn write_usage(f: &mut fmt::Formatter<'_>, uses: &BTreeMap<String, SlotUsage>) -> fmt::Result {
    writeln!(
        f,
        "{:<24}{:>8}{:>8}{:>8}{:>8}{:>8}{:>14}",
        "upstreams", "slots", "runs", "peak", "mean", "queued", "turned away"
    )?;
    for (key, usage) in uses {
        writeln!(
            f,
            "{key:<24}{:>8}{:>8}{:>8}{:>8.1}{:>8}{:>14}",
            usage.slots,
            usage.runs,
            usage.peak_in_flight,
            usage.mean_in_flight,
            usage.queued,
            usage.turned_away
        )?;
    }
    Ok(())
}
