//! Who exchanges heartbeats with whom.
//!
//! A full mesh ends at a few dozen daemons. Here each daemon picks all of its failure domain, and
//! by rendezvous hashing a few of each other failure domain of its region and a few of each other
//! region. Picks are made alike by everyone from the same list, and a daemon joining or leaving
//! changes only the picks that concern it. A session serves both its ends, so one pick suffices.

use base::{
    DomainId,
    InstanceId,
    RegionId, //
};
use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

/// Picks from each other failure domain of the own region.
const PER_OTHER_DOMAIN: usize = 2;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Where an instance is.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Its name.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
}

/// Those that `me` opens heartbeat sessions to, sorted; `all` may contain `me`.
///
/// The picks from a region are spread over its failure domains as far as `per_other_region`
/// reaches, so that the loss of one domain leaves the others' links.
pub fn partners(me: &Place, all: &[Place], per_other_region: usize, seed: u64) -> Vec<InstanceId> {
    let others = || all.iter().filter(|place| place.instance != me.instance);
    let own_domain = others().filter(|place| domain_of(place) == domain_of(me));
    let mut chosen: Vec<InstanceId> = own_domain.map(|place| place.instance.clone()).collect();
    let mut elsewhere: BTreeMap<&RegionId, Vec<&Place>> = BTreeMap::new();
    for place in others().filter(|place| domain_of(place) != domain_of(me)) {
        elsewhere.entry(&place.region).or_default().push(place);
    }
    for (region, places) in elsewhere {
        let domains = by_rank(me, places, seed);
        let count = if *region == me.region {
            PER_OTHER_DOMAIN * domains.len()
        } else {
            per_other_region
        };
        chosen.extend(round_robin(domains).into_iter().take(count));
    }
    chosen.sort();
    chosen.dedup();
    chosen
}

fn domain_of(place: &Place) -> (&RegionId, &DomainId) {
    (&place.region, &place.failure_domain)
}

/// One list for each failure domain, each with the best rank first, the best first of all.
fn by_rank(me: &Place, places: Vec<&Place>, seed: u64) -> Vec<Vec<InstanceId>> {
    let mut ranked: Vec<(Reverse<u64>, &Place)> = places
        .into_iter()
        .map(|place| (Reverse(rank(me, place, seed)), place))
        .collect();
    ranked.sort();
    let mut order: Vec<&DomainId> = Vec::new();
    let mut domains: Vec<Vec<InstanceId>> = Vec::new();
    for (_, place) in ranked {
        let known = order.iter().position(|id| **id == place.failure_domain);
        let index = known.unwrap_or_else(|| {
            order.push(&place.failure_domain);
            domains.push(Vec::new());
            domains.len() - 1
        });
        domains[index].push(place.instance.clone());
    }
    domains
}

/// The first of each list, then the second of each, and so on.
fn round_robin(lists: Vec<Vec<InstanceId>>) -> Vec<InstanceId> {
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    (0..longest)
        .flat_map(|index| lists.iter().filter_map(move |list| list.get(index)))
        .cloned()
        .collect()
}

/// Rendezvous rank of `other` for `me`: the highest is picked first.
fn rank(me: &Place, other: &Place, seed: u64) -> u64 {
    let mut hash = FNV_OFFSET ^ seed;
    let separator = [0_u8];
    let bytes = me
        .instance
        .bytes()
        .chain(separator)
        .chain(other.instance.bytes());
    for byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// Spreads the low bits over the whole word: names that differ in their last digit would
/// otherwise rank alike for everyone.
fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
