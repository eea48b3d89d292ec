//! The platform's list of instances and upstreams.
//!
//! The list lags and may be stale for long periods. It adds the upstreams that it contains, removes
//! an upstream only when a later list omits it, and never makes a leaving upstream live again. Entries
//! that can't be used are logged and count as omitted.

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
    Listing,
    UnusableEntry, //
};
use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

/// Average interval between list reads of different daemons: a hundred a second in total.
const LIST_SPACING: Duration = Duration::from_millis(10);

impl Control {
    /// Reads the list, and schedules the next read.
    pub(super) fn read_list(&mut self, ctx: &mut Context<Self>) {
        let platform = Rc::clone(&self.platform);
        let read = async move { platform.list().await };
        ctx.spawn(read.into_actor(self).map(|read, control, ctx| {
            control.count_platform_call("list", read.is_ok());
            if let Ok(list) = read {
                control.apply_list(list);
            }
            control.start_adoption(ctx);
            let interval = control.fleet_interval(control.shared.settings.terms.list, LIST_SPACING);
            let interval = control.jittered(interval);
            ctx.run_later(interval, Self::read_list);
        }));
    }

    fn apply_list(&mut self, list: List) {
        let now = self.now();
        for entry in self.unusable_entries.replace(list.unusable) {
            let UnusableEntry { place, finding } = entry;
            spdlog::error!("an entry of the list can't be used", kv: { place, finding });
        }
        let facts = PlatformList {
            age: self.list_age(list.as_of_ms),
            instances: list.instances.iter().map(instance_facts).collect(),
            upstreams: list.upstreams.iter().map(upstream_facts).collect(),
        };
        self.membership_view.apply_list(&facts, now);
        self.update_pools(&list.upstreams);
        self.join_pools();
        self.set_partners();
        self.publish();
    }

    /// Age of a state as of `as_of_ms` on the platform's clock; clamped at zero.
    fn list_age(&self, as_of_ms: u64) -> Duration {
        let wall_ms = self.shared.clock.wall_ms(self.now());
        Duration::from_millis(wall_ms.saturating_sub(as_of_ms))
    }

    /// Updates the pools of this region.
    fn update_pools(&mut self, listed: &[ListedUpstream]) {
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
            update_pool(pool, &listed, &self.membership_view);
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

/// Replaces the pool's upstreams; unchanged ones keep their observed state.
fn update_pool(pool: &Pool, listed: &[&ListedUpstream], membership_view: &MembershipView) {
    let current = pool.upstreams();
    let mut next: BTreeMap<UpstreamId, Arc<Upstream>> = BTreeMap::new();
    for listed in listed {
        let matching = current.iter().find(|upstream| {
            upstream.id == listed.id
                && upstream.addr == listed.addr
                && upstream.listed_slots == listed.slots
        });
        let upstream = match matching {
            Some(matching) => Arc::clone(matching),
            None => Arc::new(Upstream::new(
                listed.id.clone(),
                listed.addr.clone(),
                listed.failure_domain.clone(),
                listed.slots,
            )),
        };
        let is_leaving = membership_view
            .upstream(&listed.id)
            .is_some_and(|facts| facts.is_leaving());
        upstream.set_leaving(is_leaving);
        next.insert(listed.id.clone(), upstream);
    }
    let is_unchanged = current.len() == next.len()
        && current
            .iter()
            .zip(next.values())
            .all(|(before, after)| Arc::ptr_eq(before, after));
    if !is_unchanged {
        pool.set_upstreams(next.into_values().collect());
    }
}
