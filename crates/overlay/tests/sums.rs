//! Requests in flight, added up over entries.

use base::{
    FastMap,
    InstanceId,
    Now, //
};
use overlay::{
    Load,
    LoadKey,
    LoadSums, //
};
use std::time::Duration;

const STALE: Duration = Duration::from_secs(1);

fn secs(seconds: u64) -> Now {
    Duration::from_secs(seconds)
}

fn name(number: usize) -> InstanceId {
    format!("entry-{number}").into()
}

fn map(loads: &[Load]) -> FastMap<LoadKey, u32> {
    loads.iter().copied().collect()
}

/// With two hubs of two leaves each, each entry learns the sum over all others, each counted once.
#[test]
fn each_entry_is_counted_once() {
    let own: [Vec<Load>; 6] = [
        vec![(1, 1)],
        vec![(1, 2), (2, 1)],
        vec![(2, 4)],
        vec![(1, 8)],
        vec![(3, 16)],
        vec![(1, 32), (3, 1)],
    ];
    // Entries 0 and 3 are hubs, with the leaves 1, 2 and 4, 5.
    let mut hubs = [LoadSums::default(), LoadSums::default()];
    for (hub, leaves) in [(0, [1, 2]), (1, [4, 5])] {
        for leaf in leaves {
            hubs[hub].record_leaf(&name(leaf), own[leaf].clone(), STALE, secs(1));
        }
    }
    let of_domain = [
        hubs[0].domain_sums(&own[0], secs(1)),
        hubs[1].domain_sums(&own[3], secs(1)),
    ];
    hubs[0].record_hub(&name(3), of_domain[1].clone(), STALE, secs(1));
    hubs[1].record_hub(&name(0), of_domain[0].clone(), STALE, secs(1));
    let all = FastMap::from_iter([(1, 43), (2, 5), (3, 17)]);
    assert_eq!(map(&hubs[0].fleet_sums(&own[0], secs(1))), all);
    assert_eq!(map(&hubs[1].fleet_sums(&own[3], secs(1))), all);
    let others = hubs[0].others_for_hub(secs(1));
    assert_eq!(others, FastMap::from_iter([(1, 42), (2, 5), (3, 17)]));
    let mut leaf = LoadSums::default();
    leaf.record_reported(&own[5]);
    leaf.record_reported(&own[5]);
    leaf.record_fleet(hubs[1].fleet_sums(&own[3], secs(1)), STALE, secs(1));
    let others = leaf.others_for_leaf(secs(1)).expect("a hub sent the sum");
    assert_eq!(others, FastMap::from_iter([(1, 11), (2, 5), (3, 16)]));
}

/// A request that has just begun, and that the hub's sum doesn't include yet, must not hide another entry's.
#[test]
fn new_requests_of_a_leaf_hide_no_others() {
    let mut leaf = LoadSums::default();
    leaf.record_reported(&[]);
    leaf.record_fleet(vec![(1, 3)], STALE, secs(1));
    leaf.record_reported(&[(1, 2)]);
    assert_eq!(
        leaf.others_for_leaf(secs(1)),
        Some(FastMap::from_iter([(1, 3)]))
    );
}

/// Guards against the last report of a lost entry counting forever.
#[test]
fn stale_reports_are_ignored() {
    let mut hub = LoadSums::default();
    hub.record_leaf(&name(1), vec![(1, 1)], STALE, secs(1));
    hub.record_hub(&name(2), vec![(1, 2)], STALE, secs(1));
    assert_eq!(hub.reporting_leaves(secs(2)).count(), 1);
    assert_eq!(hub.reporting_leaves(secs(3)).count(), 0);
    assert!(hub.others_for_hub(secs(3)).is_empty());
    let mut leaf = LoadSums::default();
    assert_eq!(leaf.others_for_leaf(secs(1)), None, "no hub sent a sum");
    leaf.record_fleet(vec![(1, 3)], STALE, secs(1));
    assert_eq!(leaf.others_for_leaf(secs(3)), None);
    hub.record_leaf(&name(1), vec![(1, 1)], STALE, secs(3));
    hub.forget_session(&name(1));
    assert!(hub.others_for_hub(secs(3)).is_empty());
}
