//! Known limits, by upstream.

use crate::report::Report;
use base::{
    FastMap,
    Now,
    UpstreamId, //
};
use std::time::Duration;

/// A report and the time at which this entry recorded it.
#[derive(Clone, Debug)]
struct Known {
    report: Report,
    recorded_at: Now,
}

/// Limits of all upstreams that have stated one.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: FastMap<UpstreamId, Known>,
}

impl Limits {
    /// Returns whether no report is stored.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records the limit stated in a response. Returns a report for the other entries if the limit has changed.
    pub fn note(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        limit_per_s: Option<f64>,
        unix_ms: u64,
        now: Now,
    ) -> Option<Report> {
        let known = self.known.get(upstream).map(|known| &known.report);
        let same = known.filter(|report| report.started_ms == started_ms);
        if same.and_then(|report| report.limit_per_s) == limit_per_s {
            return None;
        }
        let next = same.map_or(0, |report| report.number + 1);
        let report = Report {
            upstream: upstream.clone(),
            started_ms,
            limit_per_s,
            number: next.max(unix_ms),
        };
        self.merge(&report, now).then_some(report)
    }

    /// Merges a report from another entry. Returns whether it is new.
    pub fn merge(&mut self, report: &Report, now: Now) -> bool {
        let known = self.known.get(&report.upstream);
        let is_new = known.is_none_or(|known| report.replaces(&known.report));
        if is_new {
            let known = Known {
                report: report.clone(),
                recorded_at: now,
            };
            self.known.insert(report.upstream.clone(), known);
        }
        is_new
    }

    /// Returns the limit of an incarnation.
    pub fn get(&self, upstream: &UpstreamId, started_ms: u64) -> Option<f64> {
        let report = &self.known.get(upstream)?.report;
        let is_same = report.started_ms == started_ms;
        report.limit_per_s.filter(|_| is_same)
    }

    /// Returns the reports of limits in force.
    pub fn in_force(&self) -> impl Iterator<Item = &Report> {
        let reports = self.known.values().map(|known| &known.report);
        reports.filter(|report| report.limit_per_s.is_some())
    }

    /// Returns the reports that were recorded at most `age_max` ago.
    pub fn reports(&self, age_max: Duration, now: Now) -> Vec<Report> {
        let known = self.known.values();
        let recent = known.filter(|known| now.saturating_sub(known.recorded_at) <= age_max);
        recent.map(|known| known.report.clone()).collect()
    }

    /// Removes reports about incarnations that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&Report) -> bool) {
        self.known.retain(|_, known| is_listed(&known.report));
    }
}
