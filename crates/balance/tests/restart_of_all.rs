//! Pattern: all entries start at one moment, and callers' requests for all keys come at once.
//!
//! No entry has seen an answer yet, or knows what upstreams are warm for. What each decides by itself has to come
//! together: a key that is sent to several upstreams is slow at each of them.

use balance::{
    affinity,
    choose,
    Choice,
    Location,
    Query,
    Upstream,
    Work, //
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

/// Places to which entries of each domain send each key, one request each.
fn sent(work: Work) -> BTreeMap<u64, BTreeSet<usize>> {
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
                key: affinity(&number.to_le_bytes()),
                keyed: true,
                explores: false,
                target_left: Duration::from_millis(1500),
                deadline_left: Duration::from_millis(8000),
                homes: &[],
                tried: &[],
                full_regions: &[],
                cold_per_s: f64::MAX,
                work,
            };
            match choose(&mut upstreams, &query, &here, NOW) {
                Choice::Send { place, .. } => sent.entry(number).or_default().insert(place),
                other => panic!("{other:?}"),
            };
        }
    }
    sent
}

/// Entries of each domain would warm an upstream of their own for each key.
#[test]
fn a_key_is_warmed_once_before_any_answer() {
    for (key, places) in sent(Work::default()) {
        assert_eq!(places.len(), 1, "key {key}");
    }
}

/// What is learned from the first answers, that cold work comes late, changes nothing of where keys are sent.
#[test]
fn a_key_stays_where_it_was_warmed_first() {
    let mut seen = Work::default();
    seen.note(false, COLD);
    assert_eq!(sent(Work::default()), sent(seen));
}
