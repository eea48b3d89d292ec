//! Measures how long an accepted version takes to be in force at every daemon.
//!
//! Run `cargo run -p ctl --example spread -- [ENTRIES_PER_REGION [SLOW_MS]]` after `cargo build -p
//! daemon -p standin`. The rig has three regions on loopback with 5 ms between them and the default
//! terms; each platform call is delayed by `SLOW_MS`.

use rig::{
    Layout,
    RegionLayout,
    Rig, //
};
use serde_json::json;
use std::{
    env, thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Number of accepts that are measured.
const ROUNDS: u64 = 10;
/// Timeout for a version to be in force at every daemon.
const TIMEOUT: Duration = Duration::from_secs(60);

fn main() {
    let arg = |index: usize, default: u64| {
        let arg = env::args().nth(index);
        arg.map_or(default, |arg| arg.parse().expect("a number"))
    };
    let entries = usize::try_from(arg(1, 4)).expect("few");
    let slow_ms = arg(2, 0);
    let region = |name| RegionLayout { name, entries };
    let rig = Rig::start(Layout {
        regions: ["arusha", "moshi", "dar"].map(region).to_vec(),
        inter_region_delay_us: 5_000,
        terms: Vec::new(),
        ..Layout::one_region()
    })
    .expect("the rig starts");
    let slow = json!({"kind": "slow", "delay_ms": slow_ms});
    rig.fault_platform(&json!({"table": slow, "objects": slow, "list": slow}));
    println!(
        "{} daemons, platform slower by {slow_ms} ms",
        rig.daemons.len()
    );
    println!("round  accept ms  in force everywhere after ms");
    for round in 0..ROUNDS {
        let text = rig.layout.config();
        let text = text.replace("name: rig", &format!("name: round-{round}"));
        let body = json!({
            "accept_id": format!("round-{round}"), "author": "spread",
            "base_version": round + 1, "text": text,
        });
        let sent_at = Instant::now();
        let reply = rig.operator_request("arusha-0", "/op/v1/accept", Some(&body));
        assert_eq!(reply.status, 200, "{}", reply.body);
        let accepted_at = Instant::now();
        while !rig.daemons.keys().all(|id| version(&rig, id) == round + 2) {
            assert!(accepted_at.elapsed() < TIMEOUT, "not in force everywhere");
            thread::sleep(Duration::from_millis(5));
        }
        println!(
            "{round:>5}  {:>9}  {:>28}",
            (accepted_at - sent_at).as_millis(),
            accepted_at.elapsed().as_millis()
        );
        thread::sleep(Duration::from_millis(500));
    }
}

fn version(rig: &Rig, id: &str) -> u64 {
    let reply = rig.operator_request(id, "/op/v1/status", None);
    reply.body["version"].as_u64().unwrap_or(0)
}
