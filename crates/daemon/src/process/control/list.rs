//! The platform's list: which instances and upstreams there are.
//!
//! The list lags and may be stale for long. It adds what it names; it removes an upstream only
//! when a later list leaves it out, and it never makes a leaving upstream live again.

use crate::{
    process::{
        control::{
            Control,
            KnownEntry, //
        },
        pool::{
            Pool,
            Upstream, //
        },
    },
    version::Entry,
};
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use base::{
    Now,
    ServiceId,
    UpstreamId, //
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
    sync::Arc, //
};

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
            let interval = control.jittered(control.shared.settings.terms.list);
            ctx.run_later(interval, Self::read_list);
        }));
    }

    fn take_list(&mut self, list: List) {
        if list.as_of_ms < self.list_as_of_ms {
            return;
        }
        self.list_as_of_ms = list.as_of_ms;
        self.take_upstreams(&list.upstreams);
        self.take_instances(list.instances);
        self.publish();
    }

    /// Takes the instances that are listed as live.
    fn take_instances(&mut self, listed: Vec<ListedInstance>) {
        let live = |instance: &ListedInstance| instance.state == ListedState::Live;
        let settings = &self.shared.settings;
        let entries = listed.into_iter().filter(live).map(|instance| KnownEntry {
            region: instance.region,
            entry: Entry {
                instance: instance.id,
                incarnation: 1,
                failure_domain: instance.failure_domain,
                dial_addr: settings.dial(&instance.callers_addr),
                callers_addr: instance.callers_addr,
            },
        });
        self.entries = entries.collect();
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
            update_pool(pool, &listed);
        }
    }
}

/// Keeps the upstreams that stay, with what was seen of them, and adds the new ones.
fn update_pool(pool: &Pool, listed: &[&ListedUpstream]) {
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
        // Until shares between entries are in: this entry uses every slot, which is right only
        // while it is the region's sole entry.
        upstream.slots.allot(listed.slots, listed.slots);
        pool.lease.set(Now::MAX, Now::MAX);
        if listed.state == ListedState::Leaving {
            upstream.mark_leaving();
        }
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
