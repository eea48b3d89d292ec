//! What an entry knows of the others, and what changes it.
//!
//! `roles` derives from it whom to dial, `live` who is up.

use crate::{
    member::Member,
    roster::{
        Held,
        Live,
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
    net::SocketAddr,
    time::Duration, //
};

/// How long an entry that is no longer up may still be sending.
pub(crate) const LOST_MEMORY: Duration = Duration::from_secs(20);

/// How a session ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Down {
    /// One end no longer needs it; the other entry is well.
    Unneeded,
    /// The other entry stopped, failed or can't be reached.
    Lost,
}

/// An entry that this one has or had a session to.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) region: RegionId,
    pub(crate) failure_domain: DomainId,
    pub(crate) up: bool,
    pub(crate) lost_at: Now,
    pub(crate) round_trip: Duration,
    /// Where callers reach it and whether it takes new ones, once it has said so.
    pub(crate) callers: Option<(SocketAddr, bool)>,
    /// It says that it is a hub.
    pub(crate) is_hub: bool,
}

/// One entry's part in the overlay.
#[derive(Clone, Debug)]
pub struct Overlay {
    pub(crate) own: Member,
    /// Own place among the callers' entries.
    pub(crate) callers: Option<(SocketAddr, bool)>,
    /// Entries that the store lists or that said so themselves, this one included.
    pub(crate) members: BTreeMap<InstanceId, Member>,
    /// How many the store lists; `None` until it was read.
    pub(crate) registered: Option<usize>,
    pub(crate) sessions: BTreeMap<InstanceId, Session>,
    /// Rosters by the session that they came by and the hub that they are of.
    pub(crate) rosters: BTreeMap<(InstanceId, InstanceId), Held>,
    /// Since when entries without a session are dialled.
    pub(crate) dialled: BTreeMap<InstanceId, Now>,
    /// When entries that are no longer up were lost.
    pub(crate) lost: BTreeMap<InstanceId, Now>,
    /// Grows with each change of who is up or takes callers.
    pub(crate) number: u64,
    /// Other entries that are up, and the number that this was found for.
    pub(crate) live: (u64, BTreeMap<InstanceId, Live>),
}

impl Overlay {
    /// An entry that knows of no other.
    pub fn new(own: Member) -> Self {
        let members = BTreeMap::from([(own.instance.clone(), own.clone())]);
        Self {
            own,
            callers: None,
            members,
            registered: None,
            sessions: BTreeMap::new(),
            rosters: BTreeMap::new(),
            dialled: BTreeMap::new(),
            lost: BTreeMap::new(),
            number: 0,
            live: (0, BTreeMap::new()),
        }
    }

    /// Grows with each change of who is up or takes callers.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Takes the entries that the store lists.
    pub fn take_registered(&mut self, listed: impl IntoIterator<Item = Member>) {
        let listed = listed.into_iter();
        let mut members: BTreeMap<InstanceId, Member> = listed
            .map(|member| (member.instance.clone(), member))
            .collect();
        self.registered = Some(members.len());
        // Who is in session is there, whatever the store's reading lacks.
        for (instance, member) in &self.members {
            let up = *instance == self.own.instance || self.is_up(instance);
            if up && !members.contains_key(instance) {
                members.insert(instance.clone(), member.clone());
            }
        }
        self.members = members;
    }

    /// A session stands.
    pub fn take_up(
        &mut self,
        instance: &InstanceId,
        region: &RegionId,
        failure_domain: &DomainId,
        round_trip: Duration,
    ) {
        let before = self.sessions.remove(instance);
        let session = Session {
            region: region.clone(),
            failure_domain: failure_domain.clone(),
            up: true,
            lost_at: Now::ZERO,
            round_trip,
            callers: before.as_ref().and_then(|before| before.callers),
            is_hub: before.is_some_and(|before| before.is_hub),
        };
        self.sessions.insert(instance.clone(), session);
        self.dialled.remove(instance);
        self.number += 1;
    }

    /// A session has ended.
    pub fn take_down(&mut self, instance: &InstanceId, down: Down, now: Now) {
        if let Some(session) = self.sessions.get_mut(instance) {
            session.up = false;
            session.callers = None;
            session.lost_at = now;
        }
        if down == Down::Unneeded {
            self.sessions.remove(instance);
        }
        for ((via, _), held) in &mut self.rosters {
            if via == instance {
                held.lost_at.get_or_insert(now);
            }
        }
        self.number += 1;
    }

    /// An entry in session says what it is; whether that changes who takes callers.
    pub fn take_state(
        &mut self,
        member: Member,
        callers_addr: SocketAddr,
        ready: bool,
        is_hub: bool,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(&member.instance) else {
            return false;
        };
        let callers = Some((callers_addr, ready));
        let changed = session.callers != callers;
        session.callers = callers;
        session.is_hub = is_hub;
        self.members.insert(member.instance.clone(), member);
        self.number += u64::from(changed);
        changed
    }

    /// Notes a measured round trip.
    pub fn set_round_trip(&mut self, instance: &InstanceId, round_trip: Duration) {
        if let Some(session) = self.sessions.get_mut(instance) {
            session.round_trip = round_trip;
        }
    }

    /// This entry's own place among the callers' entries.
    pub fn set_own(&mut self, callers_addr: SocketAddr, ready: bool) {
        self.callers = Some((callers_addr, ready));
    }

    /// Takes a roster that came by a session.
    pub fn take_roster(&mut self, via: &InstanceId, roster: Roster, now: Now) {
        if roster.hub == self.own.instance || !self.is_up(via) {
            return;
        }
        let key = (via.clone(), roster.hub.clone());
        let before = self.rosters.get(&key);
        let changed = before.is_none_or(|held| held.roster != roster || held.lost_at.is_some());
        self.number += u64::from(changed);
        let number = match before {
            Some(held) if held.roster == roster => held.number,
            _ => self.number,
        };
        let held = Held {
            roster,
            number,
            received_at: now,
            lost_at: None,
        };
        self.rosters.insert(key, held);
    }

    /// Whoever a session leads to has lost this hub.
    pub fn drop_roster(&mut self, via: &InstanceId, hub: &InstanceId, now: Now) {
        if let Some(held) = self.rosters.get_mut(&(via.clone(), hub.clone())) {
            held.lost_at.get_or_insert(now);
        }
    }
}
