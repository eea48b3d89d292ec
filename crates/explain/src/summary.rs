//! Counts of request outcomes by several groupings.
//!
//! Where a trace covers one request, a summary shows which groups of requests failed or were late: by route,
//! by the failure domain of the entry, by the boundary crossed to the upstream and whether the upstream was
//! known to be warm, by cause, and by second. Each row counts all requests of its group, so that shares can
//! be read off directly.

use crate::{
    logs::Logs,
    Fault, //
};
use base::{
    DomainId,
    RegionId, //
};
use event::{
    Line,
    Outcome,
    RequestEnded,
    SendTarget, //
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt, //
};

/// Outcomes of the requests of one group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// Answered within the route's target.
    pub in_target: u64,
    /// Answered after the route's target.
    pub late: u64,
    /// Refused; the caller may retry later.
    pub refused: u64,
    /// Ended without a successful response of an upstream; they may have run.
    pub failed: u64,
    /// Cancelled by the caller, or without a route, a service, an id or a valid key.
    pub other: u64,
}

impl OutcomeCounts {
    fn count(&mut self, ended: &RequestEnded) {
        let late = ended.target_ms.is_some_and(|target| ended.took_ms > target);
        let counter = match ended.outcome {
            Outcome::Answered if late => &mut self.late,
            Outcome::Answered => &mut self.in_target,
            Outcome::Refused
            | Outcome::OverQuota
            | Outcome::Closing
            | Outcome::NoRoutes
            | Outcome::StaleRoutes => &mut self.refused,
            Outcome::UpstreamError | Outcome::Failed | Outcome::TimedOut => &mut self.failed,
            Outcome::Cancelled
            | Outcome::NoSuchRoute
            | Outcome::NoRequestId
            | Outcome::Unauthorized
            | Outcome::NoService => &mut self.other,
        };
        *counter += 1;
    }

    /// Number of requests.
    pub fn total(&self) -> u64 {
        self.in_target + self.late + self.refused + self.failed + self.other
    }
}

/// Counts of all requests in the logs, by each grouping.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// By route; the empty name stands for requests without a route.
    pub by_route: BTreeMap<String, OutcomeCounts>,
    /// By failure domain of the entry; `unknown` if the entry's start is not in the logs.
    pub by_domain: BTreeMap<String, OutcomeCounts>,
    /// By the boundary between the entry and the upstream, and whether the upstream was known to be warm.
    pub by_way: BTreeMap<String, OutcomeCounts>,
    /// By cause.
    pub by_cause: BTreeMap<Fault, OutcomeCounts>,
    /// By the second of the request's arrival, counted from the first arrival.
    pub by_second: BTreeMap<u64, OutcomeCounts>,
}

impl Summary {
    /// Counts all requests whose end is in the logs.
    pub(crate) fn new(logs: &Logs) -> Self {
        let mut summary = Self::default();
        let arrival_ms =
            |line: &Line, ended: &RequestEnded| line.time_ms.saturating_sub(ended.took_ms);
        let first_ms = logs
            .ended_requests()
            .map(|(line, ended, _)| arrival_ms(line, ended))
            .min();
        let first_ms = first_ms.unwrap_or_default();
        for (line, ended, fault) in logs.ended_requests() {
            let route = ended.route.as_ref().map(ToString::to_string);
            let entry_location = logs.location(&line.instance);
            let domain = entry_location.map_or("unknown", |(_, domain)| domain);
            let second = (arrival_ms(line, ended) - first_ms) / 1000;
            let count = |counts: &mut OutcomeCounts| counts.count(ended);
            count(
                summary
                    .by_route
                    .entry(route.unwrap_or_default())
                    .or_default(),
            );
            count(summary.by_domain.entry(domain.to_owned()).or_default());
            let boundary = boundary(entry_location, ended.sent.as_ref());
            count(summary.by_way.entry(boundary).or_default());
            count(summary.by_cause.entry(fault).or_default());
            count(summary.by_second.entry(second).or_default());
        }
        summary
    }
}

/// Names the boundary between an entry and its upstream, and whether the upstream was known to be warm.
fn boundary(entry_location: Option<(&RegionId, &DomainId)>, sent: Option<&SendTarget>) -> String {
    let Some(sent) = sent else {
        return "not sent".to_owned();
    };
    let boundary = match entry_location {
        None => "from an unknown region",
        Some((region, _)) if *region != sent.region => "to another region",
        Some((_, domain)) if *domain != sent.failure_domain => "within the region",
        Some(_) => "within the failure domain",
    };
    let warm = if sent.warm { "warm" } else { "not known warm" };
    format!("{boundary}, {warm}")
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_table(f, "route", &self.by_route)?;
        write_table(f, "failure domain", &self.by_domain)?;
        write_table(f, "way", &self.by_way)?;
        write_table(f, "cause", &self.by_cause)?;
        write_table(f, "second", &self.by_second)
    }
}

fn write_table<K: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    rows: &BTreeMap<K, OutcomeCounts>,
) -> fmt::Result {
    writeln!(
        f,
        "{:>8} {:>9} {:>6} {:>8} {:>7} {:>6}  by {name}",
        "requests", "in target", "late", "refused", "failed", "other"
    )?;
    for (key, counts) in rows {
        writeln!(
            f,
            "{:>8} {:>9} {:>6} {:>8} {:>7} {:>6}  {key}",
            counts.total(),
            counts.in_target,
            counts.late,
            counts.refused,
            counts.failed,
            counts.other
        )?;
    }
    Ok(())
}
