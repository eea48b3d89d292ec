//! Other entries that relay requests which this one can't send to upstreams itself.

use crate::{
    snapshot::RelayView,
    traffic::{
        stream::StreamGuard,
        Traffic, //
    },
};
use balance::{
    affinity_hash,
    rendezvous_score,
    Location, //
};
use base::{
    FastMap,
    InstanceId,
    Now,
    RegionId, //
};
use bytestring::ByteString;
use std::{
    rc::Rc,
    time::Duration, //
};

/// Time for which an entry gets no requests after it could not relay one.
const UNAVAILABLE_TIME: Duration = Duration::from_millis(500);
/// Requests in flight that an entry of another failure domain must have fewer to be preferred.
const DOMAIN_CROSSING_COST: u32 = 1;
/// Requests in flight that an entry of another region must have fewer to be preferred. While nearly all entries of a
/// region are partitioned, the few others can't serve all of its callers.
const REGION_CROSSING_COST: u32 = 24;

/// State of one of these entries.
#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    in_flight: u32,
    unavailable_until: Now,
}

/// This thread's state of these entries.
#[derive(Debug, Default)]
pub(super) struct Relays {
    states: FastMap<InstanceId, RelayState>,
}

/// A request that has to be relayed.
pub(super) struct RelayQuery<'a> {
    /// Hash of its affinity key or id, which spreads requests over entries that are equally suitable.
    pub(super) key: u64,
    /// Regions that may get it besides this entry's own, by its route and by its organisation. Both lists bind; an empty
    /// one allows all.
    pub(super) home_regions: [&'a [RegionId]; 2],
    /// Entries that could not relay it.
    pub(super) tried: &'a [InstanceId],
}

impl Relays {
    /// Chooses the entry that relays a request: a near one with few requests of this entry in flight.
    pub(super) fn choose<'a>(
        &self,
        views: &'a [RelayView],
        query: &RelayQuery<'_>,
        here: &Location,
        now: Now,
    ) -> Option<&'a RelayView> {
        let is_allowed = |region: &RegionId| {
            let mut homes = query.home_regions.into_iter();
            *region == here.region || homes.all(|homes| homes.is_empty() || homes.contains(region))
        };
        let state = |view: &RelayView| self.states.get(&view.instance).copied().unwrap_or_default();
        let candidates = views.iter().filter(|view| {
            is_allowed(&view.region)
                && !query.tried.contains(&view.instance)
                && state(view).unavailable_until <= now
        });
        candidates.min_by_key(|view| {
            let crossing = if view.region != here.region {
                REGION_CROSSING_COST
            } else if view.failure_domain != here.failure_domain {
                DOMAIN_CROSSING_COST
            } else {
                0
            };
            let spread = rendezvous_score(query.key, affinity_hash(view.instance.as_bytes()));
            (state(view).in_flight + crossing, spread)
        })
    }

    /// Records that an entry could not relay a request.
    pub(super) fn note_unavailable(&mut self, instance: &InstanceId, now: Now) {
        let state = self.states.entry(instance.clone()).or_default();
        state.unavailable_until = now + UNAVAILABLE_TIME;
    }
}

/// Guard that counts a request as in flight at the entry that relays it.
pub(super) struct RelayInFlight {
    traffic: Rc<Traffic>,
    instance: InstanceId,
}

impl RelayInFlight {
    pub(super) fn new(traffic: &Rc<Traffic>, instance: &InstanceId) -> Self {
        let mut relays = traffic.relays.borrow_mut();
        relays.states.entry(instance.clone()).or_default().in_flight += 1;
        Self {
            traffic: traffic.clone(),
            instance: instance.clone(),
        }
    }
}

impl StreamGuard for RelayInFlight {
    fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn source(&self) -> &ByteString {
        &self.instance
    }
}

impl Drop for RelayInFlight {
    fn drop(&mut self) {
        let mut relays = self.traffic.relays.borrow_mut();
        if let Some(state) = relays.states.get_mut(&self.instance) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
