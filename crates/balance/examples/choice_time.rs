//! Measures the time of one choice among many upstreams: `cargo run --release -p balance --example choice_time`.

use balance::{
    affinity_hash,
    choose,
    Choice,
    Location,
    Query,
    ServiceTimes, //
    Upstream,
};
use std::time::{
    Duration,
    Instant, //
};

/// Choices per number of upstreams.
const CHOICES: u64 = 2000;
/// Number of different affinity keys.
const KEYS: u64 = 700;
/// Number of regions, each with three failure domains.
const REGIONS: usize = 3;

fn upstream(number: usize) -> Upstream {
    let region = number % REGIONS;
    let domain = number % (3 * REGIONS);
    Upstream::new(
        format!("i-{number:010}").into(),
        format!("region-{region}").into(),
        format!("domain-{domain}").into(),
        9,
    )
}

fn main() {
    let here = Location {
        region: "region-0".into(),
        failure_domain: "domain-0".into(),
        ..Location::default()
    };
    for count in [100, 1_000, 10_000] {
        let mut upstreams: Vec<Upstream> = (0..count).map(upstream).collect();
        let start = Instant::now();
        let mut sent = 0;
        for number in 0..CHOICES {
            let now = Duration::from_millis(1000 + number);
            let key = affinity_hash(&(number % KEYS).to_le_bytes());
            let query = Query {
                key,
                has_affinity_key: true,
                target_left: Duration::from_millis(1500),
                deadline_left: Duration::from_millis(8000),
                home_regions: [&[], &[]],
                tried: &[],
                shift_limited_regions: &[],
                cold_per_s: f64::MAX,
                service_times: ServiceTimes::default(),
                ..Query::default()
            };
            if let Choice::Send { index: place, .. } = choose(&mut upstreams, &query, &here, now) {
                upstreams[place].warm_keys.note(key, now);
                sent += 1;
            }
        }
        let each = start.elapsed() / CHOICES as u32;
        println!("{count} upstreams: {each:?} a choice, {sent} sent");
    }
}
