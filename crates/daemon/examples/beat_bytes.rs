//! Prints the encoded size of the parts of a heartbeat.
//!
//! `cargo run --release -p daemon --example beat_bytes`. Names have realistic lengths, and numbers
//! are as large as after a few days of operation.

use base::Now;
use bytes::Bytes;
use peer::{
    encode,
    to_payload,
    Beat,
    BeatState,
    Frame,
    InstanceSummary,
    RegionSummary,
    Share, //
};
use share::{
    MemberId,
    PoolHeartbeat, //
};
use std::time::Duration;

fn beat() -> Beat {
    Beat {
        seq: 700_000,
        instance: "arusha-a-12".into(),
        incarnation: 12,
        state: BeatState::Live,
        version: 3_000,
        digest: Bytes::new(),
        instances: Vec::new(),
        regions: Vec::new(),
        leaving_upstreams: Vec::new(),
        shares: Vec::new(),
    }
}

fn summary() -> InstanceSummary {
    InstanceSummary {
        instance: "arusha-a-12".into(),
        incarnation: 12,
        version: 3_000,
        leaving: false,
        age_ms: 1_500,
        callers_addr: "".into(),
        peers_addr: "".into(),
        operator_addr: "".into(),
        region: "arusha".into(),
        failure_domain: "a".into(),
    }
}

fn region() -> RegionSummary {
    RegionSummary {
        region: "arusha".into(),
        service: "menu".into(),
        slots: 300,
        in_use: 300,
        latency_us: 20_000,
        age_ms: 0,
        arriving_milli_slots: 100_000,
        carrying_milli_slots: 100_000,
    }
}

/// Heartbeat of a pool with `count` members.
fn share(count: u64) -> Share {
    let at = Now::ZERO + Duration::from_nanos(300_000_123_456_789);
    let member = |index| MemberId {
        instance: format!("arusha-a-{index:02}").into(),
        incarnation: 12,
    };
    let beat = PoolHeartbeat {
        pool: "slots/menu/arusha".into(),
        from: member(0),
        epoch: 4_000,
        acked: true,
        released: false,
        leaving: false,
        unlisted: false,
        lease_seq: 150_000,
        demand: 30,
        held: 30,
        asked: at,
        granted: (1..count).map(|index| (member(index), at)).collect(),
        promised: (1..count).map(member).collect(),
        seen: (1..count).map(|index| (member(index), 150_000)).collect(),
    };
    Share {
        pool: "slots/menu/arusha".into(),
        payload: to_payload(&beat).expect("a heartbeat is serializable"),
    }
}

fn len(beat: Beat) -> usize {
    encode(&Frame::Beat(beat))
        .expect("a heartbeat is serializable")
        .len()
}

fn main() {
    let bare = len(beat());
    println!("bare beat: {bare} bytes");
    let instances = vec![summary()];
    let one = len(Beat {
        instances,
        ..beat()
    });
    println!("instance summary: {} bytes", one - bare);
    let regions = vec![region()];
    let one = len(Beat { regions, ..beat() });
    println!("region summary of one service: {} bytes", one - bare);
    for members in [1, 2, 4, 8, 16, 31, 88] {
        let shares = vec![share(members)];
        let one = len(Beat { shares, ..beat() });
        println!("share beat of {members} members: {} bytes", one - bare);
    }
}
