//! Bytes that one region sent to another, second by second, against the caps.
//!
//! A request is shifted when the entry that a caller asked is in one region and the upstream that
//! ran it in another. Its bytes are those of its body and its whole answer, without headers, and
//! count in the second in which the run ended.

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

/// What one region sent to another.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Shifted {
    /// Cap of the configuration.
    pub cap_bytes_per_s: Option<u64>,
    /// Requests that ran there.
    pub requests: u64,
    /// Bytes of all seconds.
    pub bytes: u64,
    /// Bytes of the second that had most.
    pub peak_bytes_per_s: u64,
    /// Bytes of each second.
    pub seconds_bytes: Vec<u64>,
}

/// What each ordered pair of regions shifted, as `from>to`; those without cap and use are left out.
pub(crate) fn shifted(evidence: &Evidence, window: Window) -> BTreeMap<String, Shifted> {
    let mut pairs: BTreeMap<(&RegionId, &RegionId), Shifted> = BTreeMap::new();
    let empty = |cap_bytes_per_s| Shifted {
        cap_bytes_per_s,
        seconds_bytes: vec![0; window.seconds()],
        ..Shifted::default()
    };
    for ((from, to), cap) in &evidence.limits.caps_bytes_per_s {
        pairs.insert((from, to), empty(Some(*cap)));
    }
    let callers: FastMap<&str, &CallerRecord> = evidence
        .callers
        .iter()
        .map(|caller| (&*caller.id, caller))
        .collect();
    for run in evidence.runs.iter().filter(|run| run.started_us.is_some()) {
        let caller = callers.get(&*run.id);
        let from = caller.and_then(|caller| entry_region(evidence, caller, run));
        let to = evidence.upstreams.get(&run.upstream).map(|it| &it.region);
        if let (Some(from), Some(to)) = (from, to) {
            if from != to {
                let pair = pairs.entry((from, to)).or_insert_with(|| empty(None));
                pair.add(run, window);
            }
        }
    }
    let pairs = pairs.into_iter();
    pairs
        .map(|((from, to), shifted)| (format!("{from}>{to}"), shifted))
        .collect()
}

/// Region of the entry that the caller asked in the try of a run.
fn entry_region<'a>(
    evidence: &'a Evidence,
    caller: &CallerRecord,
    run: &Run,
) -> Option<&'a RegionId> {
    let tries = || caller.tries.iter().filter(|it| it.number == run.try_number);
    // Copies of a filing have one number; the one that was open when the run came caused it.
    let open = tries().find(|it| (it.sent_us..=it.ended_us).contains(&run.arrived_us));
    let attempt = open.or_else(|| tries().next())?;
    evidence.entries.get(&attempt.entry)
}

impl Shifted {
    fn add(&mut self, run: &Run, window: Window) {
        self.requests += 1;
        self.bytes += run.bytes;
        let second = run.ended_us.and_then(|ended_us| window.second_of(ended_us));
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
