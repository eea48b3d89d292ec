//! Selection of heartbeat partners.
//!
//! A full mesh scales to a few dozen daemons only. Each daemon selects all instances of its own
//! failure domain and, by rendezvous hashing, a few of each other failure domain of its region and
//! a few of each other region. Every daemon computes the same selections from the same list, and a
//! daemon that joins or leaves changes only the selections that involve it. A session carries
//! heartbeats in both directions, so it is enough that one end selects the other.

use base::{
    DomainId,
    InstanceId,
    RegionId, //
};
use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

/// Partners selected from each other failure domain of the local region.
const PER_OTHER_DOMAIN: usize = 2;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Region and failure domain of an instance.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct InstanceLocation {
    /// Name.
    pub instance: InstanceId,
    /// Region.
    pub region: RegionId,
    /// Failure domain.
    pub failure_domain: DomainId,
}

/// Instances that `me` opens heartbeat sessions to, sorted; `all` may contain `me`.
///
/// The `per_other_region` partners in another region are spread over its failure domains, so that
/// the loss of one domain leaves the links to the others intact.
pub fn partners(
    me: &InstanceLocation,
    all: &[InstanceLocation],
    per_other_region: usize,
    seed: u64,
) -> Vec<InstanceId> {
    let others = || {
        all.iter()
            .filter(|location| location.instance != me.instance)
    };
    let own_domain = others().filter(|location| domain_of(location) == domain_of(me));
    let mut selected: Vec<InstanceId> = own_domain
        .map(|location| location.instance.clone())
        .collect();
    let mut elsewhere: BTreeMap<&RegionId, Vec<&InstanceLocation>> = BTreeMap::new();
    for location in others().filter(|location| domain_of(location) != domain_of(me)) {
        elsewhere
            .entry(&location.region)
            .or_default()
            .push(location);
    }
    for (region, locations) in elsewhere {
        let domains = ranked_by_domain(me, locations, seed);
        let count = if *region == me.region {
            PER_OTHER_DOMAIN * domains.len()
        } else {
            per_other_region
        };
        selected.extend(round_robin(domains).into_iter().take(count));
    }
    selected.sort();
    selected.dedup();
    selected
}

fn domain_of(location: &InstanceLocation) -> (&RegionId, &DomainId) {
    (&location.region, &location.failure_domain)
}

/// Groups instances by failure domain, best rank first; the groups are ordered by their best rank.
fn ranked_by_domain(
    me: &InstanceLocation,
    locations: Vec<&InstanceLocation>,
    seed: u64,
) -> Vec<Vec<InstanceId>> {
    let mut ranked: Vec<(Reverse<u64>, &InstanceLocation)> = locations
        .into_iter()
        .map(|location| (Reverse(rank(me, location, seed)), location))
        .collect();
    ranked.sort();
    let mut order: Vec<&DomainId> = Vec::new();
    let mut domains: Vec<Vec<InstanceId>> = Vec::new();
    for (_, location) in ranked {
        let known = order.iter().position(|id| **id == location.failure_domain);
        let index = known.unwrap_or_else(|| {
            order.push(&location.failure_domain);
            domains.push(Vec::new());
            domains.len() - 1
        });
        domains[index].push(location.instance.clone());
    }
    domains
}

/// Interleaves the lists: the first of each, then the second of each, and so on.
fn round_robin(lists: Vec<Vec<InstanceId>>) -> Vec<InstanceId> {
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    (0..longest)
        .flat_map(|index| lists.iter().filter_map(move |list| list.get(index)))
        .cloned()
        .collect()
}

/// Rendezvous rank of `other` for `me`; the highest rank is selected first.
fn rank(me: &InstanceLocation, other: &InstanceLocation, seed: u64) -> u64 {
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

/// Spreads the low bits over the whole word. Without it, names that differ only in their last digit
/// would rank in the same order for every daemon.
fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
