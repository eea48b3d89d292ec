//! A region whose upstreams together remember little more than one copy of each key.
//!
//! An upstream that gets more keys than it remembers has forgotten each by the time that it returns, and runs it slowly.

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
    collections::VecDeque,
    time::Duration, //
};

const DOMAINS: [&str; 2] = ["domain-a", "domain-b"];
const UPSTREAMS: usize = 10;
const KEYS: u64 = 206;
/// Keys that an upstream remembers.
const REMEMBERED: usize = 28;
const WARM: Duration = Duration::from_millis(252);
const COLD: Duration = Duration::from_millis(840);
const TARGET: Duration = Duration::from_millis(600);
const REQUESTS: u64 = 8000;

fn upstreams() -> Vec<Upstream> {
    let upstreams = (0..UPSTREAMS).map(|number| {
        let domain = DOMAINS[number % DOMAINS.len()];
        let id = format!("u-{number}").into();
        Upstream::new(id, "region-a".into(), domain.into(), 6)
    });
    upstreams.collect()
}

/// Keys that an upstream remembers, the least recently used first.
#[derive(Default)]
struct Cache(VecDeque<u64>);

impl Cache {
    /// Runs a request; returns whether the key was remembered.
    fn run(&mut self, key: u64) -> bool {
        let known = self.0.iter().position(|known| *known == key);
        if let Some(index) = known {
            self.0.remove(index);
        } else if self.0.len() == REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(key);
        known.is_some()
    }
}

/// Sends requests from an entry of each failure domain, which tell each other what they have warmed. Returns the
/// fraction of the requests that ran warm, without those of the first third.
fn warm_fraction() -> f64 {
    let mut entries = DOMAINS.map(|_| (upstreams(), ServiceTimes::default()));
    let mut caches: Vec<Cache> = (0..UPSTREAMS).map(|_| Cache::default()).collect();
    let mut warm_runs = 0;
    for number in 0..REQUESTS {
        let key = affinity_hash(&(affinity_hash(&number.to_le_bytes()) % KEYS).to_le_bytes());
        let entry = (affinity_hash(&number.to_be_bytes()) % 2) as usize;
        let now: Now = Duration::from_millis(1000 + number * 3);
        let here = Location {
            region: "region-a".into(),
            failure_domain: DOMAINS[entry].into(),
            ..Location::default()
        };
        let (upstreams, service_times) = &mut entries[entry];
        let query = Query {
            key,
            has_affinity_key: true,
            target_left: TARGET,
            deadline_left: Duration::from_secs(4),
            home_regions: [&[], &[]],
            tried: &[],
            shift_limited_regions: &[],
            cold_per_s: f64::MAX,
            service_times: *service_times,
            ..Query::default()
        };
        let Choice::Send { index, warm, .. } = choose(upstreams, &query, &here, now) else {
            panic!("an idle upstream is chosen");
        };
        let is_warm = caches[index].run(key);
        service_times.note(warm, if is_warm { WARM } else { COLD }, now);
        for (upstreams, _) in &mut entries {
            upstreams[index].warm_keys.note(key, now);
        }
        if number >= REQUESTS / 3 {
            warm_runs += u64::from(is_warm);
        }
    }
    warm_runs as f64 / (REQUESTS - REQUESTS / 3) as f64
}

/// Guards against keys that are forgotten because each is kept at more upstreams than there is room for.
#[test]
fn keys_are_remembered_where_there_is_room_for_one_copy() {
    let warm = warm_fraction();
    assert!(warm > 0.85, "{warm} of the requests ran warm");
}
