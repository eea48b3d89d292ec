//! The resources that a pool's tokens stand for, and their publication to traffic threads.

use crate::process::{
    link::{
        Link,
        IN_FLIGHT, //
    },
    pool::Pool, //
};
use bytestring::ByteString;
use share::{
    Amounts,
    Limits, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Resource that a pool's tokens stand for.
pub(in crate::process::control) enum Tokens {
    /// Slots of upstreams.
    Slots(Arc<Pool>),
    /// The cap on requests to another region.
    Cap(Arc<Link>),
}

impl Tokens {
    /// Total capacity of the pool, and the number of tokens that this entry could use now.
    pub(super) fn capacity_and_demand(&self) -> (Amounts, u32) {
        match self {
            Self::Slots(pool) => {
                let upstreams = pool.upstreams();
                let capacity = upstreams
                    .iter()
                    .map(|upstream| (upstream.id.clone(), upstream.listed_slots))
                    .collect();
                (capacity, pool.demand())
            }
            Self::Cap(link) => (link.capacity(), link.demand()),
        }
    }

    /// Tokens in use.
    pub(in crate::process::control) fn in_flight(&self) -> Amounts {
        match self {
            Self::Slots(pool) => pool
                .upstreams()
                .iter()
                .map(|upstream| {
                    (
                        upstream.id.clone(),
                        u32::from(upstream.slots.get().in_flight),
                    )
                })
                .filter(|(_, used)| *used > 0)
                .collect(),
            Self::Cap(link) => {
                BTreeMap::from([(ByteString::from_static(IN_FLIGHT), link.in_flight())])
            }
        }
    }

    /// Publishes the limits to traffic threads.
    pub(super) fn publish(&self, limits: &Limits) {
        match self {
            Self::Slots(pool) => publish_slots(pool, limits),
            Self::Cap(link) => {
                let amount = |amounts: &Amounts, name| amounts.get(name).copied().unwrap_or(0);
                link.allot(
                    amount(&limits.full, IN_FLIGHT),
                    amount(&limits.floor, IN_FLIGHT),
                );
                link.lease.set(limits.full_until, limits.floor_until);
            }
        }
    }
}

fn publish_slots(pool: &Pool, limits: &Limits) {
    for upstream in pool.upstreams().iter() {
        let amount = |amounts: &Amounts| amounts.get(&upstream.id).copied().unwrap_or(0);
        upstream
            .slots
            .allot(amount(&limits.full), amount(&limits.floor));
    }
    pool.lease.set(limits.full_until, limits.floor_until);
}
