//! Which sessions an entry keeps, and its role.

use crate::{
    member::Member,
    overlay::{
        Overlay,
        Session, //
    }, //
};
use base::{
    DomainId,
    InstanceId,
    Now, //
};
use std::{
    collections::BTreeSet,
    time::Duration, //
};

/// Hubs of a failure domain: if one fails, the other remains, and both rarely fail at once.
pub const HUBS_PER_DOMAIN: usize = 2;
/// How long a first session may take before the next entry in order is dialled as well.
const FIRST_SESSION_WAIT: Duration = Duration::from_millis(1000);

impl Overlay {
    /// Returns the entries to keep sessions to. Call it again after each change and at short intervals.
    pub fn session_targets(&mut self, now: Now) -> Vec<Member> {
        let mut partners = self.hub_candidates(&self.own.failure_domain, now);
        if self.is_hub(now) {
            let domains: BTreeSet<&DomainId> = self
                .members
                .values()
                .map(|member| &member.failure_domain)
                .filter(|domain| **domain != self.own.failure_domain)
                .collect();
            for domain in domains {
                partners.extend(self.hub_candidates(domain, now));
            }
        }
        let wanted: BTreeSet<&InstanceId> =
            partners.iter().map(|member| &member.instance).collect();
        self.dialled.retain(|instance, _| wanted.contains(instance));
        for member in &partners {
            let session = self.sessions.get(&member.instance);
            if session.is_none_or(|session| !session.up) {
                self.dialled.entry(member.instance.clone()).or_insert(now);
            }
        }
        partners
    }

    /// Returns the first entries of a domain, without this one: as many as there are to be hubs, plus those before them
    /// that don't answer.
    fn hub_candidates(&self, domain: &DomainId, now: Now) -> Vec<Member> {
        let mut ranked: Vec<&Member> = self.members_of_domain(domain).collect();
        ranked.sort_unstable_by_key(|member| member.rank());
        let mut candidates = Vec::new();
        let mut hubs = 0;
        for member in ranked {
            if hubs == HUBS_PER_DOMAIN {
                break;
            }
            if member.instance == self.own.instance {
                hubs += 1;
                continue;
            }
            candidates.push(member.clone());
            hubs += usize::from(!self.is_suspect(&member.instance, now));
        }
        candidates
    }

    /// Returns whether fewer entries than there are to be hubs come before this one in its domain and answer.
    fn is_hub_by_rank(&self, now: Now) -> bool {
        let rank = self.own.rank();
        let ahead = self
            .members_of_domain(&self.own.failure_domain)
            .filter(|member| member.rank() < rank && !self.is_suspect(&member.instance, now));
        ahead.take(HUBS_PER_DOMAIN).count() < HUBS_PER_DOMAIN
    }

    fn members_of_domain<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a Member> {
        let members = self.members.values();
        members.filter(move |member| member.failure_domain == *domain)
    }

    /// Returns whether an entry doesn't answer.
    fn is_suspect(&self, instance: &InstanceId, now: Now) -> bool {
        match self.sessions.get(instance) {
            Some(session) => !session.up,
            None => {
                let since = self.dialled.get(instance);
                since.is_some_and(|at| now.saturating_sub(*at) >= FIRST_SESSION_WAIT)
            }
        }
    }

    /// Returns the entries with an established session.
    pub fn connected(&self) -> impl Iterator<Item = &InstanceId> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.map(|(instance, _)| instance)
    }

    /// Returns whether a session is established.
    pub fn is_connected(&self, instance: &InstanceId) -> bool {
        let session = self.sessions.get(instance);
        session.is_some_and(|session| session.up)
    }

    /// Returns whether this entry is a hub: by its rank, or because another entry of its domain has chosen it.
    pub fn is_hub(&self, now: Now) -> bool {
        self.has_leaf() || self.is_hub_by_rank(now)
    }

    /// Returns whether this hub reads the store for the others. In each region the first in order of the hubs that are
    /// up does.
    pub fn is_reader(&self, now: Now) -> bool {
        let same_region_hubs = self.sessions.iter().filter(|(_, session)| {
            session.up && session.is_hub && session.region == self.own.region
        });
        let rank = |instance| self.members.get(instance).map(Member::rank);
        let own = Some(self.own.rank());
        self.is_hub(now)
            && same_region_hubs
                .map(|(instance, _)| rank(instance))
                .all(|rank| rank > own)
    }

    fn has_leaf(&self) -> bool {
        self.sessions_in_domain()
            .any(|(instance, session)| !session.is_hub && self.ranks_after(instance))
    }

    /// Returns the leaves that have a session to this hub.
    pub fn leaves(&self) -> impl Iterator<Item = &InstanceId> {
        self.sessions_in_domain()
            .filter(|(instance, session)| !session.is_hub && self.ranks_after(instance))
            .map(|(instance, _)| instance)
    }

    /// Returns the other hubs that this hub has sessions to.
    pub fn other_hubs(&self) -> impl Iterator<Item = &InstanceId> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(|(_, session)| session.is_hub)
            .map(|(instance, _)| instance)
    }

    /// Returns the entries that get this one's roster: the other hubs if it is a hub, and entries of other domains that
    /// dialled it because the hubs of its domain don't answer them.
    pub fn roster_receivers(&self, now: Now) -> impl Iterator<Item = &InstanceId> {
        let is_hub = self.is_hub(now);
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(move |(_, session)| {
            let other_domain = session.failure_domain != self.own.failure_domain;
            other_domain || (is_hub && session.is_hub)
        })
        .map(|(instance, _)| instance)
    }

    /// Returns the hub that this leaf reports to; `None` for a hub, or while no hub is up.
    pub fn primary_hub(&self, now: Now) -> Option<&InstanceId> {
        if self.is_hub(now) {
            return None;
        }
        let ahead = self
            .sessions_in_domain()
            .map(|(instance, _)| instance)
            .filter(|instance| !self.ranks_after(instance));
        ahead.min_by_key(|instance| self.members.get(*instance).map(Member::rank))
    }

    pub(crate) fn sessions_in_domain(&self) -> impl Iterator<Item = (&InstanceId, &Session)> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(|(_, session)| session.failure_domain == self.own.failure_domain)
    }

    /// Returns whether an entry of this domain comes after this one; an entry that hasn't introduced itself does.
    fn ranks_after(&self, instance: &InstanceId) -> bool {
        let member = self.members.get(instance);
        member.is_none_or(|member| member.rank() > self.own.rank())
    }
}
