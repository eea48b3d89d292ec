//! Bytes that one region sent to another in each second, compared with the caps.
//!
//! A request is shifted if the entry that received it and the upstream that ran it are in different
//! regions. Its bytes are those of its body and its complete response, without headers. They count
//! in the second in which the run ended.

use crate::{
    judge::Evidence,
    record::{
        CallerRecord,
        Run, //
    },
    window::Window, //
};
use base::{
    FastMap,
    RegionId, //
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt, //
};

/// Traffic that one region shifted to another.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Shifted {
    /// Cap that the configuration sets.
    pub cap_bytes_per_s: Option<u64>,
    /// Requests that ran in the other region.
    pub requests: u64,
    /// Bytes of the whole run.
    pub bytes: u64,
    /// Bytes of the second with the most.
    pub peak_bytes_per_s: u64,
    /// Bytes of each second.
    pub seconds_bytes: Vec<u64>,
}

/// Shifted traffic of each ordered pair of regions, as `from>to`; omits pairs with neither cap nor
/// traffic.
pub(crate) fn shifted(evidence: &Evidence, window: Window) -> BTreeMap<String, Shifted> {
    let mut pairs: BTreeMap<(&RegionId, &RegionId), Shifted> = BTreeMap::new();
    let without_traffic = |cap_bytes_per_s| Shifted {
        cap_bytes_per_s,
        seconds_bytes: vec![0; window.seconds()],
        ..Shifted::default()
    };
    for ((from, to), cap) in &evidence.limits.caps_bytes_per_s {
        pairs.insert((from, to), without_traffic(Some(*cap)));
    }
    let callers: FastMap<&str, &CallerRecord> = evidence
        .callers
        .iter()
        .map(|caller| (&*caller.id, caller))
        .collect();
    for run in evidence.runs.iter().filter(|run| run.started_us.is_some()) {
        let caller = callers.get(&*run.id);
        let from = caller.and_then(|caller| entry_region(evidence, caller, run));
        let to = evidence
            .upstreams
            .get(&run.upstream)
            .map(|facts| &facts.region);
        if let (Some(from), Some(to)) = (from, to) {
            if from != to {
                let pair = pairs
                    .entry((from, to))
                    .or_insert_with(|| without_traffic(None));
                pair.add(run, window);
            }
        }
    }
    let pairs = pairs.into_iter();
    pairs
        .map(|((from, to), shifted)| (format!("{from}>{to}"), shifted))
        .collect()
}

/// Region of the entry to which the caller sent the try that led to a run.
fn entry_region<'a>(
    evidence: &'a Evidence,
    caller: &CallerRecord,
    run: &Run,
) -> Option<&'a RegionId> {
    let tries = || {
        caller
            .tries
            .iter()
            .filter(|attempt| attempt.number == run.try_number)
    };
    // Copies of a filing share a number; the one in flight when the run arrived caused it.
    let open =
        tries().find(|attempt| (attempt.sent_us..=attempt.ended_us).contains(&run.arrived_us));
    let attempt = open.or_else(|| tries().next())?;
    evidence.entries.get(&attempt.entry)
}

impl Shifted {
    fn add(&mut self, run: &Run, window: Window) {
        self.requests += 1;
        self.bytes += run.bytes;
        let second = run.ended_us.and_then(|ended_us| window.second_at(ended_us));
        if let Some(second) = second {
            self.seconds_bytes[second] += run.bytes;
            self.peak_bytes_per_s = self.peak_bytes_per_s.max(self.seconds_bytes[second]);
        }
    }
}

pub(crate) fn write(f: &mut fmt::Formatter<'_>, pairs: &BTreeMap<String, Shifted>) -> fmt::Result {
    writeln!(
        f,
        "{:<24}{:>10}{:>14}{:>14}{:>14}",
        "shifted", "requests", "bytes", "peak B/s", "cap B/s"
    )?;
    for (pair, shifted) in pairs {
        let cap = shifted.cap_bytes_per_s;
        let cap = cap.map_or("-".into(), |cap| cap.to_string());
        writeln!(
            f,
            "{pair:<24}{:>10}{:>14}{:>14}{cap:>14}",
            shifted.requests, shifted.bytes, shifted.peak_bytes_per_s
        )?;
    }
    Ok(())
}
