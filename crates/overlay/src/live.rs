//! Who is up: by this entry's own sessions, and by the rosters of hubs.

use crate::{
    overlay::{
        Overlay,
        LOST_MEMORY, //
    },
    roster::{
        Held,
        Listed,
        Live,
        Roster, //
    }, //
};
use base::{
    InstanceId,
    Now,
    RegionId, //
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

/// How long entries count as up that only a lost hub advertised: a leaf finds another hub within
/// it. Together with the time in which a silent session is noticed it stays under the six seconds after which a
/// look-up may no longer name an entry that is gone.
const HOLD: Duration = Duration::from_millis(2000);

impl Overlay {
    /// Forgets what has run out, and finds who is up.
    pub fn sweep(&mut self, now: Now) {
        let before = self.rosters.len();
        self.rosters
            .retain(|_, held| held.lost_at.is_none_or(|at| now < at + HOLD));
        self.number += u64::from(self.rosters.len() != before);
        if self.live.0 != self.number {
            let next = self.find_live();
            let gone = std::mem::replace(&mut self.live, (self.number, next)).1;
            for instance in gone.into_keys() {
                if !self.live.1.contains_key(&instance) {
                    self.lost.insert(instance, now);
                }
            }
        }
        self.lost
            .retain(|_, at| now.saturating_sub(*at) < LOST_MEMORY);
        self.sessions
            .retain(|_, session| session.up || now.saturating_sub(session.lost_at) < LOST_MEMORY);
    }

    /// Entries of this one's domain that it is in session with, itself included.
    pub fn own_roster(&self) -> Roster {
        let listed = |instance: &InstanceId, callers: Option<(SocketAddr, bool)>| {
            let (callers_addr, ready) = callers?;
            Some(Listed {
                instance: instance.clone(),
                callers_addr,
                ready,
            })
        };
        let own = listed(&self.own.instance, self.callers);
        let others = self
            .up_of_domain()
            .filter_map(|(instance, session)| listed(instance, session.callers));
        Roster {
            hub: self.own.instance.clone(),
            region: self.own.region.clone(),
            failure_domain: self.own.failure_domain.clone(),
            entries: own.into_iter().chain(others).collect(),
        }
    }

    /// Rosters of other hubs that an entry is to be forwarded, with a number for each version: a hub's leaves get all.
    /// An entry of another domain that dialled a leaf gets those of its hubs.
    pub fn forwarded(&self, to: &InstanceId, now: Now) -> impl Iterator<Item = (u64, &Roster)> {
        let is_leaf = self.leaves().any(|leaf| leaf == to);
        let of_own_hubs = !self.is_hub(now);
        let mut by_hub: BTreeMap<&InstanceId, &Held> = BTreeMap::new();
        for ((via, hub), held) in &self.rosters {
            let near = held.roster.failure_domain == self.own.failure_domain;
            if held.lost_at.is_some() || !(is_leaf || (of_own_hubs && near)) {
                continue;
            }
            // A roster from its own hub goes before a forwarded copy.
            if via == hub || !by_hub.contains_key(hub) {
                by_hub.insert(hub, held);
            }
        }
        by_hub.into_values().map(|held| (held.number, &held.roster))
    }

    /// All other entries that were up at the last sweep.
    pub fn live(&self) -> &BTreeMap<InstanceId, Live> {
        &self.live.1
    }

    fn find_live(&self) -> BTreeMap<InstanceId, Live> {
        let mut live = BTreeMap::new();
        for (instance, session) in self.sessions.iter().filter(|(_, session)| session.up) {
            let one = Live {
                region: session.region.clone(),
                callers_addr: session.callers.map(|(addr, _)| addr),
                ready: session.callers.is_some_and(|(_, ready)| ready),
            };
            live.insert(instance.clone(), one);
        }
        for held in self.rosters.values() {
            for listed in &held.roster.entries {
                if listed.instance == self.own.instance || !self.is_newer(held, listed) {
                    continue;
                }
                live.entry(listed.instance.clone()).or_insert_with(|| Live {
                    region: held.roster.region.clone(),
                    callers_addr: Some(listed.callers_addr),
                    ready: listed.ready,
                });
            }
        }
        live
    }

    /// Whether a roster is newer than the loss of this entry's own session to a listed one.
    fn is_newer(&self, held: &Held, listed: &Listed) -> bool {
        let session = self.sessions.get(&listed.instance);
        session.is_none_or(|session| !session.up && session.lost_at < held.received_at)
    }

    /// How many entries may be sending, this one included, however little is known of them; `None` until the store was
    /// read.
    pub fn count(&self) -> Option<usize> {
        let registered = self.registered?;
        let live = &self.live.1;
        let lost = self.lost.keys().filter(|lost| !live.contains_key(*lost));
        Some((live.len() + lost.count() + 1).max(registered))
    }

    /// Whether an entry of this hub's domain is neither up nor was lately.
    pub fn is_gone(&self, instance: &InstanceId) -> bool {
        let listed = self.members.get(instance);
        let near = listed.is_some_and(|one| one.failure_domain == self.own.failure_domain);
        let own = *instance == self.own.instance;
        near && !own && !self.lost.contains_key(instance) && !self.live.1.contains_key(instance)
    }

    /// Shortest measured round trip to each other region.
    pub fn round_trips(&self) -> BTreeMap<RegionId, Duration> {
        let mut shortest: BTreeMap<RegionId, Duration> = BTreeMap::new();
        for session in self.sessions.values().filter(|session| session.up) {
            if session.region == self.own.region || session.round_trip.is_zero() {
                continue;
            }
            let trip = shortest
                .entry(session.region.clone())
                .or_insert(session.round_trip);
            *trip = (*trip).min(session.round_trip);
        }
        shortest
    }

    /// The region of an entry in session.
    pub fn region_of(&self, instance: &InstanceId) -> Option<&RegionId> {
        self.sessions.get(instance).map(|session| &session.region)
    }
}
