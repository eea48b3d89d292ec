//! How requests ended, counted by what they have in common.
//!
//! Where one story tells of one request, a summary tells where many lost their time: by route, by the failure
//! domain of their entry, by the boundary that they crossed to their upstream and whether that was known to be
//! warm, by cause, and by second. Each row counts all requests of its kind, so that parts can be read off.

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

/// How the requests of one kind ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Ends {
    /// Answered within the route's target.
    pub in_target: u64,
    /// Answered later.
    pub late: u64,
    /// Told to come back.
    pub refused: u64,
    /// Ended without an upstream's good answer though they may have run.
    pub failed: u64,
    /// Whose caller left, or that no route has.
    pub other: u64,
}

impl Ends {
    fn count(&mut self, ended: &RequestEnded) {
        let late = ended.target_ms.is_some_and(|target| ended.took_ms > target);
        let side = match ended.outcome {
            Outcome::Answered if late => &mut self.late,
            Outcome::Answered => &mut self.in_target,
            Outcome::Refused | Outcome::Closing | Outcome::NoRoutes => &mut self.refused,
            Outcome::UpstreamError | Outcome::Failed | Outcome::TimedOut => &mut self.failed,
            Outcome::Cancelled
            | Outcome::NoSuchRoute
            | Outcome::NoRequestId
            | Outcome::NoService => &mut self.other,
        };
        *side += 1;
    }

    /// All of them.
    pub fn all(&self) -> u64 {
        self.in_target + self.late + self.refused + self.failed + self.other
    }
}

/// All requests of some logs, by what they have in common.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// By route; an empty name stands for none.
    pub by_route: BTreeMap<String, Ends>,
    /// By failure domain of the entry, as far as its start is in the logs.
    pub by_domain: BTreeMap<String, Ends>,
    /// By the boundary on the way to the upstream, and what was known of its warmth.
    pub by_way: BTreeMap<String, Ends>,
    /// By cause.
    pub by_cause: BTreeMap<Fault, Ends>,
    /// By the second in which the request came, counted from the first one.
    pub by_second: BTreeMap<u64, Ends>,
}

impl Summary {
    /// Counts all requests that ended.
    pub(crate) fn new(logs: &Logs) -> Self {
        let mut summary = Self::default();
        let came_ms =
            |line: &Line, ended: &RequestEnded| line.time_ms.saturating_sub(ended.took_ms);
        let first_ms = logs
            .ends()
            .map(|(line, ended, _)| came_ms(line, ended))
            .min();
        let first_ms = first_ms.unwrap_or_default();
        for (line, ended, fault) in logs.ends() {
            let route = ended.route.as_ref().map(ToString::to_string);
            let location = logs.location(&line.instance);
            let domain = location.map_or("unknown", |(_, domain)| domain);
            let second = (came_ms(line, ended) - first_ms) / 1000;
            let count = |ends: &mut Ends| ends.count(ended);
            count(
                summary
                    .by_route
                    .entry(route.unwrap_or_default())
                    .or_default(),
            );
            count(summary.by_domain.entry(domain.to_owned()).or_default());
            let way = way(location, ended.sent.as_ref());
            count(summary.by_way.entry(way).or_default());
            count(summary.by_cause.entry(fault).or_default());
            count(summary.by_second.entry(second).or_default());
        }
        summary
    }
}

/// Boundary between an entry and its upstream, and what was known of the upstream's warmth.
fn way(location: Option<(&RegionId, &DomainId)>, sent: Option<&SendTarget>) -> String {
    let Some(sent) = sent else {
        return "not sent".to_owned();
    };
    let crossed = match location {
        None => "from an unknown region",
        Some((region, _)) if *region != sent.region => "to another region",
        Some((_, domain)) if *domain != sent.failure_domain => "within the region",
        Some(_) => "within the failure domain",
    };
    let warm = if sent.warm { "warm" } else { "not known warm" };
    format!("{crossed}, {warm}")
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        table(f, "route", &self.by_route)?;
        table(f, "failure domain", &self.by_domain)?;
        table(f, "way", &self.by_way)?;
        table(f, "cause", &self.by_cause)?;
        table(f, "second", &self.by_second)
    }
}

fn table<K: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    rows: &BTreeMap<K, Ends>,
) -> fmt::Result {
    writeln!(
        f,
        "{:>8} {:>9} {:>6} {:>8} {:>7} {:>6}  by {name}",
        "requests", "in target", "late", "refused", "failed", "other"
    )?;
    for (key, ends) in rows {
        writeln!(
            f,
            "{:>8} {:>9} {:>6} {:>8} {:>7} {:>6}  {key}",
            ends.all(),
            ends.in_target,
            ends.late,
            ends.refused,
            ends.failed,
            ends.other
        )?;
    }
    Ok(())
}
