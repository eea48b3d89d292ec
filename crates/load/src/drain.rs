//! Drain times: from the request for a drain to the last new work at the drained upstreams.

use crate::{
    judge::{
        Evidence,
        Leaving, //
    },
    record::UnixUs, //
};
use base::UpstreamId;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt, //
};

/// Time until a group of upstreams that leave together received no new work.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DrainTime {
    /// Time of the request for the drain.
    #[serde(rename = "asked_us")]
    pub requested_us: UnixUs,
    /// Drained upstreams.
    pub upstreams: Vec<UpstreamId>,
    /// Time to the last new work at these upstreams; zero if there was none.
    #[serde(rename = "took_ms")]
    pub duration_ms: u64,
    /// Requests that arrived at these upstreams in that time.
    pub arrived: u64,
}

/// Computes one drain time for each point in time at which upstreams began to leave, in order.
pub(crate) fn drains(evidence: &Evidence) -> Vec<DrainTime> {
    let mut by_request_time: BTreeMap<UnixUs, Vec<&Leaving>> = BTreeMap::new();
    for leaving in &evidence.leaving {
        by_request_time
            .entry(leaving.requested_us)
            .or_default()
            .push(leaving);
    }
    let drains = by_request_time.into_iter();
    drains
        .map(|(requested_us, leaving)| drain(evidence, requested_us, &leaving))
        .collect()
}

fn drain(evidence: &Evidence, requested_us: UnixUs, leaving: &[&Leaving]) -> DrainTime {
    let mut drain = DrainTime {
        requested_us,
        upstreams: leaving
            .iter()
            .map(|departed| departed.upstream.clone())
            .collect(),
        duration_ms: 0,
        arrived: 0,
    };
    for run in &evidence.runs {
        let is_new = leaving.iter().any(|leaving| {
            leaving.upstream == run.upstream
                && run.arrived_us >= requested_us
                && leaving
                    .until_us
                    .is_none_or(|until_us| run.arrived_us < until_us)
        });
        if is_new {
            drain.arrived += 1;
            drain.duration_ms = drain
                .duration_ms
                .max((run.arrived_us - requested_us) / 1_000);
        }
    }
    drain
}

pub(crate) fn write(f: &mut fmt::Formatter<'_>, drains: &[DrainTime]) -> fmt::Result {
    for drain in drains {
        writeln!(
            f,
            "drain of {} upstreams ({} first): last new work after {} ms, {} requests until then",
            drain.upstreams.len(),
            drain.upstreams.first().map_or("", |id| id),
            drain.duration_ms,
            drain.arrived
        )?;
    }
    Ok(())
}
