//! An upstream starts again under its name while the entries still report about its former process.

use balance::{
    affinity_hash,
    Upstream, //
};

fn upstream(started_ms: u64) -> Upstream {
    let mut upstream = Upstream::new("u-1".into(), "region-a".into(), "domain-a".into(), 3);
    upstream.started_ms = started_ms;
    upstream
}

/// Guards against a process that counts as busy, or as warm for keys, because of what entries report about the former
/// one, and against entries that don't understand each other's reports about the same one.
#[test]
fn reports_are_about_one_process() {
    let former = upstream(1_776_795_812_019).incarnation_hash();
    let next = upstream(1_776_795_842_020).incarnation_hash();
    assert_ne!(former, next);
    assert_eq!(former, upstream(1_776_795_812_019).incarnation_hash());
    // The keys of load reports are the most significant bits.
    assert_ne!(former >> 40, next >> 40);
}

/// Without start times, reports are about a name, and a key keeps its upstream over a restart.
#[test]
fn name_is_hashed_alone_without_a_start_time() {
    assert_eq!(upstream(0).incarnation_hash(), affinity_hash(b"u-1"));
    assert_eq!(upstream(1).hash, upstream(2).hash);
}
