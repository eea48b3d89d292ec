//! Drain time: from the request for a drain to the last new work at what is drained.

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

/// How long it took until upstreams that leave together got no new work.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DrainTime {
    /// When the drain was asked for.
    pub asked_us: UnixUs,
    /// Upstreams that are drained.
    pub upstreams: Vec<UpstreamId>,
    /// Time to the last new work there; zero when none came.
    pub took_ms: u64,
    /// Requests that came there in that time.
    pub arrived: u64,
}

/// One for each moment at which upstreams began to leave, in order.
pub(crate) fn drains(evidence: &Evidence) -> Vec<DrainTime> {
    let mut together: BTreeMap<UnixUs, Vec<&Leaving>> = BTreeMap::new();
    for leaving in &evidence.leaving {
        together.entry(leaving.asked_us).or_default().push(leaving);
    }
    let drains = together.into_iter();
    drains
        .map(|(asked_us, leaving)| drain(evidence, asked_us, &leaving))
        .collect()
}

fn drain(evidence: &Evidence, asked_us: UnixUs, leaving: &[&Leaving]) -> DrainTime {
    let mut drain = DrainTime {
        asked_us,
        upstreams: leaving.iter().map(|it| it.upstream.clone()).collect(),
        took_ms: 0,
        arrived: 0,
    };
    for run in &evidence.runs {
        let is_new = leaving.iter().any(|leaving| {
            leaving.upstream == run.upstream
                && run.arrived_us >= asked_us
                && leaving
                    .until_us
                    .is_none_or(|until_us| run.arrived_us < until_us)
        });
        if is_new {
            drain.arrived += 1;
            drain.took_ms = drain.took_ms.max((run.arrived_us - asked_us) / 1_000);
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
            drain.took_ms,
            drain.arrived
        )?;
    }
    Ok(())
}
