//! All entries start simultaneously, and callers send requests for all keys at once.
//!
//! No entry has observed a response or knows which keys are warm. The entries must still choose the same upstream for a
//! key, because the key is slow at each further upstream that it is sent to.

use balance::{
    affinity_hash,
    choose,
    Choice,
    Location,
    Query,
    ServiceTimes, //
    Upstream,
};
use base::Now;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
const KEYS: u64 = 200;
const NOW: Now = Duration::from_secs(1);
const COLD: Duration = Duration::from_millis(2900);

fn upstreams() -> Vec<Upstream> {
    let upstreams = (0..60).map(|number| {
        let (region, domain) = if number < 45 {
            ("region-a", DOMAINS[number % 3])
        } else {
            ("region-b", "domain-d")
        };
        Upstream::new(
            format!("u-{number}").into(),
            region.into(),
            domain.into(),
            9,
        )
    });
    upstreams.collect()
}

/// Sends one request per key from an entry of each failure domain. Returns the indices of the upstreams by key.
fn sent(work: ServiceTimes) -> BTreeMap<u64, BTreeSet<usize>> {
    let mut sent: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    for domain in DOMAINS {
        let here = Location {
            region: "region-a".into(),
            failure_domain: domain.into(),
            ..Location::default()
        };
        let mut upstreams = upstreams();
        for number in 0..KEYS {
            let query = Query {
                key: affinity_hash(&number.to_le_bytes()),
                has_affinity_key: true,
                target_left: Duration::from_millis(1500),
                deadline_left: Duration::from_millis(8000),
                home_regions: [&[], &[]],
                tried: &[],
                shift_limited_regions: &[],
                cold_per_s: f64::MAX,
                service_times: work,
                ..Query::default()
            };
            match choose(&mut upstreams, &query, &here, NOW) {
                Choice::Send { index: place, .. } => sent.entry(number).or_default().insert(place),
                other => panic!("{other:?}"),
            };
        }
    }
    sent
}

/// Guards against each failure domain's entries warming a different upstream for the same key.
#[test]
fn a_key_is_warmed_once_before_any_answer() {
    for (key, indices) in sent(ServiceTimes::default()) {
        assert_eq!(indices.len(), 1, "key {key}");
    }
}

/// Guards against keys moving once the first responses show that cold requests miss the target.
#[test]
fn a_key_stays_where_it_was_warmed_first() {
    let mut observed = ServiceTimes::default();
    observed.note(false, COLD, NOW);
    assert_eq!(sent(ServiceTimes::default()), sent(observed));
}
