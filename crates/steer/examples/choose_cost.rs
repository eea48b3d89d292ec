//! Measures the cost of one upstream selection for each policy, with 5 and 20 upstreams.
//!
//! `cargo run --release -p steer --example choose_cost`

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};
use steer::{
    BaselineLimits,
    Choose,
    LoadReport,
    Policy,
    UpstreamView, //
};

const CHOICES: u32 = 2_000_000;

fn view(index: u32) -> UpstreamView {
    UpstreamView {
        usable: 3,
        in_flight: index % 3,
        latency: Duration::from_micros(9_000 + u64::from(index) * 37),
        reported: Some(LoadReport {
            in_flight: 4,
            queued: 0,
            slots: 9,
            age: Duration::from_millis(100),
        }),
        ..UpstreamView::default()
    }
}

fn main() {
    for upstreams in [5, 20] {
        let views: Vec<UpstreamView> = (0..upstreams).map(view).collect();
        for policy in Policy::ALL {
            let mut chooser = policy.chooser(BaselineLimits::None);
            let started = Instant::now();
            for seed in 0..CHOICES {
                let chosen = chooser.choose(black_box(&views), Duration::ZERO, u64::from(seed));
                black_box(chosen);
            }
            let ns = started.elapsed().as_secs_f64() * 1e9 / f64::from(CHOICES);
            println!("{upstreams:2} upstreams, {policy:<15} {ns:6.1} ns");
        }
    }
}
