//! All upstreams of a service reject many requests for a while, and their keys' requests are sent to whichever takes them.
//!
//! Each upstream that took one is warm for its key then. If all of these stayed in use, each would get more keys than it
//! remembers, and most requests would run cold long after the rejections have ended.

use balance::{
    affinity_hash,
    choose,
    Choice,
    Location,
    Query,
    ServiceTimes,
    Upstream, //
};
use base::Now;
use std::{
    collections::BTreeSet,
    time::Duration, //
};

const UPSTREAMS: u64 = 40;
const KEYS: u64 = 50;
/// Requests with each key, at changing loads of the upstreams.
const REQUESTS: u64 = 200;
/// Upstreams that a key's requests may use afterwards: two that it ranks highest, and two that are known to be warm.
const USED_MAX: usize = 4;
const NOW: Now = Duration::from_secs(100);

fn upstreams() -> Vec<Upstream> {
    let upstreams = (0..UPSTREAMS).map(|number| {
        let id = format!("u-{number}").into();
        Upstream::new(id, "region-a".into(), "domain-a".into(), 3)
    });
    upstreams.collect()
}

fn service_times() -> ServiceTimes {
    let mut times = ServiceTimes::default();
    times.note(false, Duration::from_millis(560), NOW);
    for _ in 0..100 {
        times.note(true, Duration::from_millis(168), NOW);
    }
    times
}

/// Returns the upstreams that a key's requests use, if each of them took one during the rejections.
fn used(key: u64) -> BTreeSet<usize> {
    let mut upstreams = upstreams();
    for upstream in &mut upstreams {
        upstream.warm_keys.note(key, NOW);
    }
    let here = Location {
        region: "region-a".into(),
        failure_domain: "domain-a".into(),
        ..Location::default()
    };
    let query = Query {
        key,
        has_affinity_key: true,
        target_left: Duration::from_millis(500),
        deadline_left: Duration::from_secs(3),
        cold_per_s: f64::MAX,
        service_times: service_times(),
        ..Query::default()
    };
    let mut used = BTreeSet::new();
    for request in 0..REQUESTS {
        for (upstream, number) in upstreams.iter_mut().zip(0_u64..) {
            let hash = affinity_hash(&[request, number].map(u64::to_le_bytes).concat());
            upstream.in_flight = (hash % 6) as u32;
        }
        if let Choice::Send { index, .. } = choose(&mut upstreams, &query, &here, NOW) {
            used.insert(index);
        }
    }
    used
}

/// Guards against a service that stays slow after its upstreams have rejected requests for some seconds.
#[test]
fn keys_return_to_few_upstreams() {
    for number in 0..KEYS {
        let used = used(affinity_hash(&number.to_le_bytes()));
        assert!(used.len() <= USED_MAX, "{used:?}");
    }
}
