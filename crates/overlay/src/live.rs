//! Which entries are up: by this entry's own sessions, and by the rosters of hubs.

use crate::{
    overlay::{
        Overlay,
        LOST_RETENTION, //
    },
    roster::{
        CallerService,
        LiveEntry,
        ReceivedRoster,
        Roster, //
        RosterEntry,
    }, //
};
use base::{
    InstanceId,
    Now,
    RegionId, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// How long entries that only a lost hub advertised still count as up. A leaf finds another hub within it. Together
/// with the time to detect a silent session, it stays below the six seconds after which a look-up may no longer return
/// an entry that is gone.
const LOST_ROSTER_TTL: Duration = Duration::from_millis(2000);

impl Overlay {
    /// Drops expired state and recomputes which entries are up.
    pub fn sweep(&mut self, now: Now) {
        let rosters_before = self.rosters.len();
        self.rosters
            .retain(|_, received| received.lost_at.is_none_or(|at| now < at + LOST_ROSTER_TTL));
        self.version += u64::from(self.rosters.len() != rosters_before);
        if self.live.0 != self.version {
            let current = self.compute_live();
            let previous = std::mem::replace(&mut self.live, (self.version, current)).1;
            for instance in previous.into_keys() {
                if !self.live.1.contains_key(&instance) {
                    self.lost.insert(instance, now);
                }
            }
        }
        self.lost
            .retain(|_, at| now.saturating_sub(*at) < LOST_RETENTION);
        self.sessions.retain(|_, session| {
            session.up || now.saturating_sub(session.lost_at) < LOST_RETENTION
        });
    }

    /// Returns the entries of this one's domain that have a session to it, itself included.
    pub fn own_roster(&self) -> Roster {
        let to_entry = |instance: &InstanceId, service: Option<CallerService>| {
            Some(RosterEntry::new(instance.clone(), service?))
        };
        let own = to_entry(&self.own.instance, self.service);
        let others = self
            .sessions_in_domain()
            .filter_map(|(instance, session)| to_entry(instance, session.service));
        Roster {
            hub: self.own.instance.clone(),
            region: self.own.region.clone(),
            failure_domain: self.own.failure_domain.clone(),
            entries: own.into_iter().chain(others).collect(),
        }
    }

    /// Returns the rosters of other hubs to forward to an entry, each with a number for its version. A hub's leaves get
    /// all. An entry of another domain that dialled a leaf gets those of the leaf's hubs.
    pub fn forwarded_rosters(
        &self,
        to: &InstanceId,
        now: Now,
    ) -> impl Iterator<Item = (u64, &Roster)> {
        let is_leaf = self.leaves().any(|leaf| leaf == to);
        let forwards_own_hubs = !self.is_hub(now);
        let mut by_hub: BTreeMap<&InstanceId, &ReceivedRoster> = BTreeMap::new();
        for ((via, hub), received) in &self.rosters {
            let same_domain = received.roster.failure_domain == self.own.failure_domain;
            if received.lost_at.is_some() || !(is_leaf || (forwards_own_hubs && same_domain)) {
                continue;
            }
            // A roster directly from its hub takes precedence over a forwarded copy.
            if via == hub || !by_hub.contains_key(hub) {
                by_hub.insert(hub, received);
            }
        }
        by_hub
            .into_values()
            .map(|received| (received.version, &received.roster))
    }

    /// Returns all other entries that were up at the last sweep.
    pub fn live(&self) -> &BTreeMap<InstanceId, LiveEntry> {
        &self.live.1
    }

    fn compute_live(&self) -> BTreeMap<InstanceId, LiveEntry> {
        let mut live = BTreeMap::new();
        for (instance, session) in self.sessions.iter().filter(|(_, session)| session.up) {
            let entry = LiveEntry {
                region: session.region.clone(),
                failure_domain: session.failure_domain.clone(),
                service: session.service,
            };
            live.insert(instance.clone(), entry);
        }
        for received in self.rosters.values() {
            for listed in &received.roster.entries {
                if listed.instance == self.own.instance || !self.is_newer(received, listed) {
                    continue;
                }
                live.entry(listed.instance.clone())
                    .or_insert_with(|| LiveEntry {
                        region: received.roster.region.clone(),
                        failure_domain: received.roster.failure_domain.clone(),
                        service: Some(listed.service()),
                    });
            }
        }
        live
    }

    /// Returns whether a roster is newer than the loss of this entry's own session to a listed entry.
    fn is_newer(&self, received: &ReceivedRoster, listed: &RosterEntry) -> bool {
        let session = self.sessions.get(&listed.instance);
        session.is_none_or(|session| !session.up && session.lost_at < received.received_at)
    }

    /// Returns how many entries may be sending, this one included; an upper estimate where little is known of them.
    /// `None` until the store was read.
    pub fn sender_count(&self) -> Option<usize> {
        let registered = self.registered?;
        let live = &self.live.1;
        let lost = self.lost.keys().filter(|lost| !live.contains_key(*lost));
        Some((live.len() + lost.count() + 1).max(registered))
    }

    /// Returns whether an entry of this hub's domain is neither up nor was so recently.
    pub fn is_gone(&self, instance: &InstanceId) -> bool {
        let member = self.members.get(instance);
        let same_domain =
            member.is_some_and(|member| member.failure_domain == self.own.failure_domain);
        let own = *instance == self.own.instance;
        same_domain
            && !own
            && !self.lost.contains_key(instance)
            && !self.live.1.contains_key(instance)
    }

    /// Returns the shortest measured round trip to each other region.
    pub fn round_trips(&self) -> BTreeMap<RegionId, Duration> {
        let mut shortest: BTreeMap<RegionId, Duration> = BTreeMap::new();
        for session in self.sessions.values().filter(|session| session.up) {
            if session.region == self.own.region || session.round_trip.is_zero() {
                continue;
            }
            let round_trip = shortest
                .entry(session.region.clone())
                .or_insert(session.round_trip);
            *round_trip = (*round_trip).min(session.round_trip);
        }
        shortest
    }

    /// Returns the measured round trip to an entry with a session.
    pub fn round_trip_to(&self, instance: &InstanceId) -> Option<Duration> {
        self.sessions
            .get(instance)
            .map(|session| session.round_trip)
    }

    /// Returns the region of an entry with a session.
    pub fn region_of(&self, instance: &InstanceId) -> Option<&RegionId> {
        self.sessions.get(instance).map(|session| &session.region)
    }
}
