//! Whom an entry keeps sessions to, and what it is for the others.

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

/// Hubs of a failure domain: one that fails leaves the other, and both rarely fail at once.
pub const HUBS: usize = 2;
/// How long a first session may take before the next entry in order is tried besides.
const JOIN_WAIT: Duration = Duration::from_millis(1000);

impl Overlay {
    /// Entries to keep sessions to; to be asked for again after each change and at short intervals.
    pub fn partners(&mut self, now: Now) -> Vec<Member> {
        let mut partners = self.first_of(&self.own.failure_domain, now);
        if self.is_hub(now) {
            let domains: BTreeSet<&DomainId> = self
                .members
                .values()
                .map(|member| &member.failure_domain)
                .filter(|domain| **domain != self.own.failure_domain)
                .collect();
            for domain in domains {
                partners.extend(self.first_of(domain, now));
            }
        }
        let wanted: BTreeSet<&InstanceId> =
            partners.iter().map(|member| &member.instance).collect();
        self.dialled.retain(|instance, _| wanted.contains(instance));
        for member in &partners {
            let up = self.sessions.get(&member.instance);
            if up.is_none_or(|session| !session.up) {
                self.dialled.entry(member.instance.clone()).or_insert(now);
            }
        }
        partners
    }

    /// The first entries of a domain but this one, up to as many hubs as there are to be, and those before them that
    /// don't answer.
    fn first_of(&self, domain: &DomainId, now: Now) -> Vec<Member> {
        let mut order: Vec<&Member> = self.of_domain(domain).collect();
        order.sort_unstable_by_key(|member| member.place());
        let mut first = Vec::new();
        let mut hubs = 0;
        for member in order {
            if hubs == HUBS {
                break;
            }
            if member.instance == self.own.instance {
                hubs += 1;
                continue;
            }
            first.push(member.clone());
            hubs += usize::from(!self.is_suspect(&member.instance, now));
        }
        first
    }

    /// Whether too few entries of this one's domain that answer come before it to be its hubs.
    fn is_first(&self, now: Now) -> bool {
        let place = self.own.place();
        let before = self
            .of_domain(&self.own.failure_domain)
            .filter(|member| member.place() < place && !self.is_suspect(&member.instance, now));
        before.take(HUBS).count() < HUBS
    }

    fn of_domain<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a Member> {
        let members = self.members.values();
        members.filter(move |member| member.failure_domain == *domain)
    }

    /// Whether an entry doesn't answer.
    fn is_suspect(&self, instance: &InstanceId, now: Now) -> bool {
        match self.sessions.get(instance) {
            Some(session) => !session.up,
            None => {
                let since = self.dialled.get(instance);
                since.is_some_and(|at| now.saturating_sub(*at) >= JOIN_WAIT)
            }
        }
    }

    /// Entries to which a session stands.
    pub fn up(&self) -> impl Iterator<Item = &InstanceId> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.map(|(instance, _)| instance)
    }

    /// Whether a session stands.
    pub fn is_up(&self, instance: &InstanceId) -> bool {
        let session = self.sessions.get(instance);
        session.is_some_and(|session| session.up)
    }

    /// Whether this entry is a hub: by its place, or because another one of its domain has chosen it.
    pub fn is_hub(&self, now: Now) -> bool {
        self.has_leaf() || self.is_first(now)
    }

    /// Whether this hub reads the store for the others: one of each region does, the first in order of those that are up.
    pub fn is_reader(&self, now: Now) -> bool {
        let near = self.sessions.iter().filter(|(_, session)| {
            session.up && session.is_hub && session.region == self.own.region
        });
        let place = |instance| self.members.get(instance).map(Member::place);
        let own = Some(self.own.place());
        self.is_hub(now)
            && near
                .map(|(instance, _)| place(instance))
                .all(|place| place > own)
    }

    fn has_leaf(&self) -> bool {
        self.up_of_domain()
            .any(|(instance, session)| !session.is_hub && self.is_after(instance))
    }

    /// Leaves that have a session to this hub.
    pub fn leaves(&self) -> impl Iterator<Item = &InstanceId> {
        self.up_of_domain()
            .filter(|(instance, session)| !session.is_hub && self.is_after(instance))
            .map(|(instance, _)| instance)
    }

    /// Other hubs that this hub has sessions to.
    pub fn other_hubs(&self) -> impl Iterator<Item = &InstanceId> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(|(_, session)| session.is_hub)
            .map(|(instance, _)| instance)
    }

    /// Entries that are told who is in session with this one: the other hubs if it is one, and whoever of another domain
    /// has dialled it because the hubs don't answer there.
    pub fn advertised_to(&self, now: Now) -> impl Iterator<Item = &InstanceId> {
        let is_hub = self.is_hub(now);
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(move |(_, session)| {
            let elsewhere = session.failure_domain != self.own.failure_domain;
            elsewhere || (is_hub && session.is_hub)
        })
        .map(|(instance, _)| instance)
    }

    /// The hub that this leaf reports to; `None` for a hub, or while none is up.
    pub fn primary(&self, now: Now) -> Option<&InstanceId> {
        if self.is_hub(now) {
            return None;
        }
        let before = self
            .up_of_domain()
            .map(|(instance, _)| instance)
            .filter(|instance| !self.is_after(instance));
        before.min_by_key(|instance| self.members.get(*instance).map(Member::place))
    }

    pub(crate) fn up_of_domain(&self) -> impl Iterator<Item = (&InstanceId, &Session)> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(|(_, session)| session.failure_domain == self.own.failure_domain)
    }

    /// Whether an entry of this domain comes after this one; one that hasn't said what it is does.
    fn is_after(&self, instance: &InstanceId) -> bool {
        let member = self.members.get(instance);
        member.is_none_or(|member| member.place() > self.own.place())
    }
}
