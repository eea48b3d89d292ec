//! Incarnations of upstreams that have stated in a response that they are leaving.
//!
//! An upstream can state this while its row can't be written. Unlike a row, the statement has no version: an incarnation
//! doesn't take it back.

use crate::update::{
    Departure,
    ListedUpstream, //
};
use base::{
    Now,
    UpstreamId, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// The incarnation of an upstream that is leaving, and when this was recorded here.
#[derive(Clone, Copy, Debug)]
struct Recorded {
    started_ms: u64,
    at: Now,
}

/// The latest incarnation of each upstream that is leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    recorded: BTreeMap<UpstreamId, Recorded>,
}

impl Departures {
    /// Records a departure. Returns whether it is new.
    pub(crate) fn note(&mut self, departure: &Departure, now: Now) -> bool {
        let started_ms = departure.started_ms;
        let known = self.recorded.get(&departure.upstream);
        let is_new = known.is_none_or(|known| known.started_ms < started_ms);
        if is_new {
            let recorded = Recorded {
                started_ms,
                at: now,
            };
            self.recorded.insert(departure.upstream.clone(), recorded);
        }
        is_new
    }

    /// Returns whether a listed incarnation is leaving.
    pub(crate) fn contains(&self, listed: &ListedUpstream) -> bool {
        let recorded = self.recorded.get(&listed.id);
        recorded.is_some_and(|recorded| recorded.started_ms == listed.started_ms)
    }

    /// Returns the departures that were recorded at most `age_max` ago.
    pub(crate) fn recent(&self, age_max: Duration, now: Now) -> Vec<Departure> {
        let recent = self
            .recorded
            .iter()
            .filter(|(_, recorded)| now.saturating_sub(recorded.at) <= age_max);
        let departures = recent.map(|(upstream, recorded)| Departure {
            upstream: upstream.clone(),
            started_ms: recorded.started_ms,
        });
        departures.collect()
    }

    /// Drops the departure of an upstream without a start time, whose incarnations can't be told apart.
    pub(crate) fn forget_unstarted(&mut self, upstream: &UpstreamId) {
        let recorded = self.recorded.get(upstream);
        if recorded.is_some_and(|recorded| recorded.started_ms == 0) {
            self.recorded.remove(upstream);
        }
    }

    /// Drops the departures that are older than `retention`, except of upstreams for which `is_listed` returns true.
    pub(crate) fn sweep(
        &mut self,
        retention: Duration,
        is_listed: impl Fn(&UpstreamId) -> bool,
        now: Now,
    ) {
        self.recorded.retain(|upstream, recorded| {
            now.saturating_sub(recorded.at) < retention || is_listed(upstream)
        });
    }
}
