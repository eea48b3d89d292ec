//! What an entry knows of the others, and the events that change it.
//!
//! `roles` derives from it which entries to dial, `live` which are up.

use crate::{
    member::Member,
    roster::{
        CallerService,
        LiveEntry,
        ReceivedRoster,
        Roster, //
    }, //
};
use base::{
    DomainId,
    InstanceId,
    Now,
    RegionId, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// How long an entry that is no longer up may still be sending.
pub(crate) const LOST_RETENTION: Duration = Duration::from_secs(20);

/// How a session ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionEnd {
    /// One side no longer needs it; the other entry is healthy.
    Unneeded,
    /// The other entry stopped, failed or can't be reached.
    Lost,
}

/// An entry that has or had a session to this one.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) region: RegionId,
    pub(crate) failure_domain: DomainId,
    pub(crate) up: bool,
    pub(crate) lost_at: Now,
    pub(crate) round_trip: Duration,
    /// How it serves callers; `None` until it has said so.
    pub(crate) service: Option<CallerService>,
    /// Whether it says that it is a hub.
    pub(crate) is_hub: bool,
}

/// The overlay as one entry sees it.
#[derive(Clone, Debug)]
pub struct Overlay {
    pub(crate) own: Member,
    /// How this entry serves callers.
    pub(crate) service: Option<CallerService>,
    /// Entries that the store lists or that introduced themselves on a session, this one included.
    pub(crate) members: BTreeMap<InstanceId, Member>,
    /// How many entries the store lists; `None` until it was read.
    pub(crate) registered: Option<usize>,
    pub(crate) sessions: BTreeMap<InstanceId, Session>,
    /// Rosters by the session on which they arrived and the hub that made them.
    pub(crate) rosters: BTreeMap<(InstanceId, InstanceId), ReceivedRoster>,
    /// When this entry began to dial those without a session.
    pub(crate) dialled: BTreeMap<InstanceId, Now>,
    /// When entries that are no longer up were lost.
    pub(crate) lost: BTreeMap<InstanceId, Now>,
    /// Incremented when an entry goes up or down or its service changes.
    pub(crate) version: u64,
    /// Other entries that are up, and the version for which they were computed.
    pub(crate) live: (u64, BTreeMap<InstanceId, LiveEntry>),
}

impl Overlay {
    /// Creates the state of an entry that knows no other.
    pub fn new(own: Member) -> Self {
        let members = BTreeMap::from([(own.instance.clone(), own.clone())]);
        Self {
            own,
            service: None,
            members,
            registered: None,
            sessions: BTreeMap::new(),
            rosters: BTreeMap::new(),
            dialled: BTreeMap::new(),
            lost: BTreeMap::new(),
            version: 0,
            live: (0, BTreeMap::new()),
        }
    }

    /// Returns a number that grows when an entry goes up or down or its service changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the entries that the store lists.
    pub fn set_registered(&mut self, entries: impl IntoIterator<Item = Member>) {
        let entries = entries.into_iter();
        let mut members: BTreeMap<InstanceId, Member> = entries
            .map(|member| (member.instance.clone(), member))
            .collect();
        self.registered = Some(members.len());
        // An entry with a session stays known even if it is missing in what was read from the store.
        for (instance, member) in &self.members {
            let up = *instance == self.own.instance || self.is_connected(instance);
            if up && !members.contains_key(instance) {
                members.insert(instance.clone(), member.clone());
            }
        }
        self.members = members;
    }

    /// Handles an established session.
    pub fn on_session_up(
        &mut self,
        instance: &InstanceId,
        region: &RegionId,
        failure_domain: &DomainId,
        round_trip: Duration,
    ) {
        let previous = self.sessions.remove(instance);
        let session = Session {
            region: region.clone(),
            failure_domain: failure_domain.clone(),
            up: true,
            lost_at: Now::ZERO,
            round_trip,
            service: previous.as_ref().and_then(|previous| previous.service),
            is_hub: previous.is_some_and(|previous| previous.is_hub),
        };
        self.sessions.insert(instance.clone(), session);
        self.dialled.remove(instance);
        self.version += 1;
    }

    /// Handles the end of a session.
    pub fn on_session_down(&mut self, instance: &InstanceId, down: SessionEnd, now: Now) {
        if let Some(session) = self.sessions.get_mut(instance) {
            session.up = false;
            session.service = None;
            session.lost_at = now;
        }
        if down == SessionEnd::Unneeded {
            self.sessions.remove(instance);
        }
        for ((via, _), received) in &mut self.rosters {
            if via == instance {
                received.lost_at.get_or_insert(now);
            }
        }
        self.version += 1;
    }

    /// Handles the state that an entry sends on its session; returns whether its service changed.
    pub fn update_state(&mut self, member: Member, service: CallerService, is_hub: bool) -> bool {
        let Some(session) = self.sessions.get_mut(&member.instance) else {
            return false;
        };
        let changed = session.service != Some(service);
        session.service = Some(service);
        session.is_hub = is_hub;
        self.members.insert(member.instance.clone(), member);
        self.version += u64::from(changed);
        changed
    }

    /// Records a measured round trip.
    pub fn set_round_trip(&mut self, instance: &InstanceId, round_trip: Duration) {
        if let Some(session) = self.sessions.get_mut(instance) {
            session.round_trip = round_trip;
        }
    }

    /// Sets how this entry serves callers.
    pub fn set_own_service(&mut self, service: CallerService) {
        self.service = Some(service);
    }

    /// Handles a roster that arrived on a session.
    pub fn update_roster(&mut self, via: &InstanceId, roster: Roster, now: Now) {
        if roster.hub == self.own.instance || !self.is_connected(via) {
            return;
        }
        let key = (via.clone(), roster.hub.clone());
        let previous = self.rosters.get(&key);
        let changed =
            previous.is_none_or(|received| received.roster != roster || received.lost_at.is_some());
        self.version += u64::from(changed);
        let version = match previous {
            Some(received) if received.roster == roster => received.version,
            _ => self.version,
        };
        let received = ReceivedRoster {
            roster,
            version,
            received_at: now,
            lost_at: None,
        };
        self.rosters.insert(key, received);
    }

    /// Records that the entry behind session `via` has lost `hub`.
    pub fn mark_roster_lost(&mut self, via: &InstanceId, hub: &InstanceId, now: Now) {
        if let Some(received) = self.rosters.get_mut(&(via.clone(), hub.clone())) {
            received.lost_at.get_or_insert(now);
        }
    }
}
