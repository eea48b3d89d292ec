//! Figures of a run: by class, by the callers' region, and of the upstreams' use.

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
        Run,
        Told,
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

/// Longest latency that a histogram holds, in microseconds; longer ones count as this.
const LONGEST_US: u64 = 600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Violations that the text names; the JSON has all.
const NAMED_VIOLATIONS: usize = 20;

/// Everything that a run showed.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Figures by class.
    pub classes: BTreeMap<String, Row>,
    /// Figures by the callers' region.
    pub regions: BTreeMap<String, Row>,
    /// Figures by class and region, as `class/region`.
    pub class_regions: BTreeMap<String, Row>,
    /// Use of the upstreams by region and service, as `region/service`.
    pub uses: BTreeMap<String, Use>,
    /// Headroom over time, as `service/region`.
    pub headroom: BTreeMap<String, Headroom>,
    /// How long drains took.
    pub drains: Vec<DrainTime>,
    /// What regions sent to each other, as `from>to`.
    pub shifted: BTreeMap<String, Shifted>,
    /// Requests of callers.
    pub requests: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Figures of a group of requests.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Requests that arrived.
    pub offered: u64,
    /// Answered whole with success by an upstream.
    pub done: u64,
    /// Answered by an upstream with a status of failure.
    pub failed: u64,
    /// Refused and not run.
    pub refused: u64,
    /// Left unknown.
    pub unknown: u64,
    /// Without a final answer.
    pub unanswered: u64,
    /// Callers' tries beyond the first.
    pub retries: u64,
    /// Requests that reached an upstream beyond the first of the same try: the entries' own retries.
    pub entry_retries: u64,
    /// Both kinds of retries for each request that was offered.
    pub retries_per_request: f64,
    /// Median latency of the done, from the scheduled time.
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
pub struct Use {
    /// Slots of all upstreams.
    pub slots: u32,
    /// Most requests in flight at a time.
    pub peak_in_flight: u32,
    /// Mean of the requests in flight, over the time from the first run to the last.
    pub mean_in_flight: f64,
    /// Runs that began.
    pub runs: u64,
    /// Requests that came and never got a slot.
    pub turned_away: u64,
    /// Most requests that waited for a slot at a time, added up over the upstreams.
    pub queued: u64,
}

impl Report {
    /// Adds up a run.
    pub fn new(evidence: &Evidence, violations: Vec<Violation>) -> Self {
        let callers = &evidence.callers;
        let window = Window::of(callers);
        let repeats = repeats(&evidence.runs);
        let rows = |key: fn(&CallerRecord) -> String| rows(callers, &repeats, key);
        Self {
            classes: rows(|caller| caller.class.to_string()),
            regions: rows(|caller| caller.region.to_string()),
            class_regions: rows(|caller| format!("{}/{}", caller.class, caller.region)),
            uses: uses(&evidence.runs, &evidence.upstreams),
            headroom: headroom::headroom(evidence, window),
            drains: drain::drains(evidence),
            shifted: shifted::shifted(evidence, window),
            requests: callers.len(),
            violations,
        }
    }

    /// Share of the requests that were done, of all that were offered.
    pub fn done_ratio(&self) -> f64 {
        let done: u64 = self.classes.values().map(|row| row.done).sum();
        if self.requests == 0 {
            return 1.0;
        }
        done as f64 / self.requests as f64
    }
}

impl Row {
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
        match caller.told {
            Told::Done => {
                self.done += 1;
                // From the scheduled time: a driver that falls behind its schedule must not hide
                // the wait of the requests that it sent late.
                let latency_us = caller.finished_us.saturating_sub(caller.scheduled_us);
                self.latency_us.saturating_record(latency_us);
            }
            Told::Failed => self.failed += 1,
            Told::Refused => self.refused += 1,
            Told::Unknown => self.unknown += 1,
            Told::NoAnswer | Told::Unreached => self.unanswered += 1,
        }
    }

    fn settle(&mut self) {
        let retries = self.retries + self.entry_retries;
        self.retries_per_request = retries as f64 / self.offered.max(1) as f64;
        self.p50_us = self.latency_us.value_at_quantile(0.5);
        self.p99_us = self.latency_us.value_at_quantile(0.99);
        self.p999_us = self.latency_us.value_at_quantile(0.999);
    }
}

/// A histogram of latencies in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are in order")
}

/// Requests that reached upstreams beyond the first of each try, by the caller's id.
fn repeats(runs: &[Run]) -> FastMap<&str, u64> {
    let mut arrived: FastMap<(&str, u32), u64> = FastMap::default();
    for run in runs {
        *arrived.entry((&*run.id, run.try_number)).or_default() += 1;
    }
    let mut repeats: FastMap<&str, u64> = FastMap::default();
    for ((id, _), arrived) in arrived {
        *repeats.entry(id).or_default() += arrived - 1;
    }
    repeats
}

fn rows(
    callers: &[CallerRecord],
    repeats: &FastMap<&str, u64>,
    key: impl Fn(&CallerRecord) -> String,
) -> BTreeMap<String, Row> {
    let mut rows = BTreeMap::new();
    for caller in callers {
        let repeated = repeats.get(&*caller.id).copied().unwrap_or(0);
        let row = rows.entry(key(caller)).or_insert_with(Row::new);
        row.add(caller, repeated);
    }
    rows.values_mut().for_each(Row::settle);
    rows
}

/// Sweeps over the starts and ends of runs, by region and service.
fn uses(runs: &[Run], upstreams: &BTreeMap<UpstreamId, UpstreamFacts>) -> BTreeMap<String, Use> {
    let mut uses: BTreeMap<(&RegionId, &ServiceId), Use> = BTreeMap::new();
    let mut edges: BTreeMap<(&RegionId, &ServiceId), Vec<(UnixUs, i64)>> = BTreeMap::new();
    for facts in upstreams.values() {
        let used = uses.entry((&facts.region, &facts.service)).or_default();
        used.slots += facts.slots;
        used.queued += facts.max_queued;
    }
    for run in runs {
        let Some(facts) = upstreams.get(&run.upstream) else {
            continue;
        };
        let key = (&facts.region, &facts.service);
        let used = uses.entry(key).or_default();
        let Some(started_us) = run.started_us else {
            used.turned_away += 1;
            continue;
        };
        used.runs += 1;
        let edges = edges.entry(key).or_default();
        edges.push((started_us, 1));
        edges.push((run.ended_us.unwrap_or(started_us), -1));
    }
    for (key, mut edges) in edges {
        // Ends sort before starts of the same microsecond.
        edges.sort_unstable();
        if let Some(used) = uses.get_mut(&key) {
            sweep(&edges, used);
        }
    }
    uses.into_iter()
        .map(|((region, service), used)| (format!("{region}/{service}"), used))
        .collect()
}

fn sweep(edges: &[(UnixUs, i64)], used: &mut Use) {
    let mut in_flight: i64 = 0;
    let mut area = 0.0;
    let mut last_us = edges.first().map_or(0, |edge| edge.0);
    let first_us = last_us;
    for (at_us, step) in edges {
        area += in_flight as f64 * (at_us - last_us) as f64;
        last_us = *at_us;
        in_flight += step;
        let now = u32::try_from(in_flight).unwrap_or(0);
        used.peak_in_flight = used.peak_in_flight.max(now);
    }
    if last_us > first_us {
        used.mean_in_flight = area / (last_us - first_us) as f64;
    }
}

/// Microseconds as milliseconds with two decimals.
pub(crate) fn ms(us: u64) -> String {
    format!("{:.2}", us as f64 / 1_000.0)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_rows(f, "class", &self.classes)?;
        writeln!(f)?;
        write_rows(f, "region", &self.regions)?;
        writeln!(f)?;
        write_uses(f, &self.uses)?;
        writeln!(f)?;
        headroom::write(f, &self.headroom)?;
        writeln!(f)?;
        shifted::write(f, &self.shifted)?;
        drain::write(f, &self.drains)?;
        if !self.violations.is_empty() {
            writeln!(f)?;
        }
        for violation in self.violations.iter().take(NAMED_VIOLATIONS) {
            writeln!(f, "{violation}")?;
        }
        if self.violations.len() > NAMED_VIOLATIONS {
            let more = self.violations.len() - NAMED_VIOLATIONS;
            writeln!(f, "and {more} violations more, all in the JSON output")?;
        }
        let count = self.violations.len();
        write!(f, "{} requests, {count} violations", self.requests)
    }
}

fn write_rows(f: &mut fmt::Formatter<'_>, name: &str, rows: &BTreeMap<String, Row>) -> fmt::Result {
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
            ms(row.p50_us),
            ms(row.p99_us),
            ms(row.p999_us),
            row.retries + row.entry_retries,
            row.retries_per_request,
        )?;
    }
    Ok(())
}

fn write_uses(f: &mut fmt::Formatter<'_>, uses: &BTreeMap<String, Use>) -> fmt::Result {
    writeln!(
        f,
        "{:<24}{:>8}{:>8}{:>8}{:>8}{:>8}{:>14}",
        "upstreams", "slots", "runs", "peak", "mean", "queued", "turned away"
    )?;
    for (key, used) in uses {
        writeln!(
            f,
            "{key:<24}{:>8}{:>8}{:>8}{:>8.1}{:>8}{:>14}",
            used.slots,
            used.runs,
            used.peak_in_flight,
            used.mean_in_flight,
            used.queued,
            used.turned_away
        )?;
    }
    Ok(())
}
