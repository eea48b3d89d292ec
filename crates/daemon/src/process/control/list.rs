//! The platform's list: which instances and upstreams there are.
//!
//! The list lags and may be stale for long. It adds what it names; it removes an upstream only
//! when a later list leaves it out, and it never makes a leaving upstream live again.

use crate::process::{
    control::Control,
    pool::{
        Pool,
        Upstream, //
    },
};
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use base::{
    ServiceId,
    UpstreamId, //
};
use member::{
    Identity,
    MembershipView, //
    PlatformList,
};
use plat::{
    List,
    ListedInstance,
    ListedState,
    ListedUpstream,
    Listing, //
};
use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

/// Time between two daemons' reads of the list, on average: a hundred a second in all.
const LIST_SPACING: Duration = Duration::from_millis(10);

impl Control {
    /// Reads the list now and again after its interval.
    pub(super) fn read_list(&mut self, ctx: &mut Context<Self>) {
        let platform = Rc::clone(&self.platform);
        let read = async move { platform.list().await };
        ctx.spawn(read.into_actor(self).map(|read, control, ctx| {
            control.note_call("list", read.is_ok());
            if let Ok(list) = read {
                control.take_list(list);
            }
            control.begin_adoption(ctx);
            let interval = control.spaced(control.shared.settings.terms.list, LIST_SPACING);
            let interval = control.jittered(interval);
            ctx.run_later(interval, Self::read_list);
        }));
    }

    fn take_list(&mut self, list: List) {
        let now = self.now();
        let facts = PlatformList {
            age: self.list_age(list.as_of_ms),
            instances: list.instances.iter().map(instance_facts).collect(),
            upstreams: list.upstreams.iter().map(upstream_facts).collect(),
        };
        self.picture.apply_list(&facts, now);
        self.take_upstreams(&list.upstreams);
        self.join_pools();
        self.set_partners();
        self.publish();
    }

    /// Age of what was true at `as_of_ms` of the platform's clock, at least zero.
    fn list_age(&self, as_of_ms: u64) -> Duration {
        let wall_ms = self.shared.clock.wall_ms(self.now());
        Duration::from_millis(wall_ms.saturating_sub(as_of_ms))
    }

    /// Updates the pools of this region.
    fn take_upstreams(&mut self, listed: &[ListedUpstream]) {
        let own = &self.shared.settings.region;
        let mut by_service: BTreeMap<ServiceId, Vec<&ListedUpstream>> = BTreeMap::new();
        for upstream in listed.iter().filter(|upstream| upstream.region == *own) {
            let service = by_service.entry(upstream.service.clone()).or_default();
            service.push(upstream);
        }
        for service in self.pools.keys() {
            by_service.entry(service.clone()).or_default();
        }
        for (service, listed) in by_service {
            let pool = self
                .pools
                .entry(service.clone())
                .or_insert_with(|| Arc::new(Pool::new(service)));
            update_pool(pool, &listed, &self.picture);
        }
    }
}

fn instance_facts(listed: &ListedInstance) -> member::ListedInstance {
    member::ListedInstance {
        identity: Identity {
            instance: listed.id.clone(),
            region: listed.region.clone(),
            failure_domain: listed.failure_domain.clone(),
            callers_addr: listed.callers_addr.clone(),
            peers_addr: listed.peers_addr.clone(),
            operator_addr: listed.operator_addr.clone(),
        },
        is_leaving: listed.state == ListedState::Leaving,
    }
}

fn upstream_facts(listed: &ListedUpstream) -> member::ListedUpstream {
    member::ListedUpstream {
        id: listed.id.clone(),
        service: listed.service.clone(),
        region: listed.region.clone(),
        failure_domain: listed.failure_domain.clone(),
        addr: listed.addr.clone(),
        slots: listed.slots,
        is_leaving: listed.state == ListedState::Leaving,
    }
}

/// Keeps the upstreams that stay, with what was seen of them, and adds the new ones.
fn update_pool(pool: &Pool, listed: &[&ListedUpstream], picture: &MembershipView) {
    let present = pool.upstreams();
    let mut next: BTreeMap<UpstreamId, Arc<Upstream>> = BTreeMap::new();
    for listed in listed {
        let known = present.iter().find(|known| {
            known.id == listed.id && known.addr == listed.addr && known.listed_slots == listed.slots
        });
        let upstream = match known {
            Some(known) => Arc::clone(known),
            None => Arc::new(Upstream::new(
                listed.id.clone(),
                listed.addr.clone(),
                listed.failure_domain.clone(),
                listed.slots,
            )),
        };
        let leaves = picture
            .upstream(&listed.id)
            .is_some_and(|facts| facts.is_leaving());
        upstream.set_leaving(leaves);
        next.insert(listed.id.clone(), upstream);
    }
    let same = present.len() == next.len()
        && present
            .iter()
            .zip(next.values())
            .all(|(before, after)| Arc::ptr_eq(before, after));
    if !same {
        pool.set_upstreams(next.into_values().collect());
    }
}
