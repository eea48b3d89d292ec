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

/// The incarnations that are leaving, and when each was recorded here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    recorded: BTreeMap<Departure, Now>,
}

impl Departures {
    /// Records a departure. Returns whether it is new.
    pub(crate) fn note(&mut self, departure: &Departure, now: Now) -> bool {
        let is_new = !self.recorded.contains_key(departure);
        if is_new {
            self.recorded.insert(departure.clone(), now);
        }
        is_new
    }

    /// Returns whether a listed incarnation is leaving.
    pub(crate) fn contains(&self, listed: &ListedUpstream) -> bool {
        !self.recorded.is_empty()
            && self.recorded.contains_key(&Departure {
                upstream: listed.id.clone(),
                started_ms: listed.started_ms,
            })
    }

    /// Returns the departures that were recorded at most `age_max` ago.
    pub(crate) fn recent(&self, age_max: Duration, now: Now) -> Vec<Departure> {
        let recorded = self.recorded.iter();
        let recent = recorded.filter(|(_, at)| now.saturating_sub(**at) <= age_max);
        recent.map(|(departure, _)| departure.clone()).collect()
    }

    /// Drops the departure of an upstream without a start time, whose incarnations can't be told apart.
    pub(crate) fn forget_unstarted(&mut self, upstream: &UpstreamId) {
        self.recorded.remove(&Departure {
            upstream: upstream.clone(),
            started_ms: 0,
        });
    }

    /// Drops the departures that are older than `retention`, except of incarnations for which `is_listed` returns true.
    pub(crate) fn sweep(
        &mut self,
        retention: Duration,
        is_listed: impl Fn(&Departure) -> bool,
        now: Now,
    ) {
        self.recorded
            .retain(|departure, at| now.saturating_sub(*at) < retention || is_listed(departure));
    }
}
