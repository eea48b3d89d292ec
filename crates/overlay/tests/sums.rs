//! Requests in flight, added up over entries.

use base::{
    FastMap,
    InstanceId,
    Now, //
};
use overlay::{
    Load,
    LoadKey,
    Sums, //
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
    let mut hubs = [Sums::default(), Sums::default()];
    for (hub, leaves) in [(0, [1, 2]), (1, [4, 5])] {
        for leaf in leaves {
            hubs[hub].take_leaf(&name(leaf), own[leaf].clone(), STALE, secs(1));
        }
    }
    let of_domain = [
        hubs[0].of_domain(&own[0], secs(1)),
        hubs[1].of_domain(&own[3], secs(1)),
    ];
    hubs[0].take_hub(&name(3), of_domain[1].clone(), STALE, secs(1));
    hubs[1].take_hub(&name(0), of_domain[0].clone(), STALE, secs(1));
    let all = FastMap::from_iter([(1, 43), (2, 5), (3, 17)]);
    assert_eq!(map(&hubs[0].of_fleet(&own[0], secs(1))), all);
    assert_eq!(map(&hubs[1].of_fleet(&own[3], secs(1))), all);
    let others = hubs[0].others_of_hub(secs(1));
    assert_eq!(others, FastMap::from_iter([(1, 42), (2, 5), (3, 17)]));
    let mut leaf = Sums::default();
    leaf.note_reported(&own[5]);
    leaf.note_reported(&own[5]);
    leaf.take_fleet(hubs[1].of_fleet(&own[3], secs(1)), STALE, secs(1));
    let others = leaf.others_of_leaf(secs(1)).expect("a hub sent the sum");
    assert_eq!(others, FastMap::from_iter([(1, 11), (2, 5), (3, 16)]));
}

/// A request that has just begun, and that the hub's sum doesn't include yet, must not hide another entry's.
#[test]
fn new_requests_of_a_leaf_hide_no_others() {
    let mut leaf = Sums::default();
    leaf.note_reported(&[]);
    leaf.take_fleet(vec![(1, 3)], STALE, secs(1));
    leaf.note_reported(&[(1, 2)]);
    assert_eq!(
        leaf.others_of_leaf(secs(1)),
        Some(FastMap::from_iter([(1, 3)]))
    );
}

/// Guards against the last report of a lost entry counting forever.
#[test]
fn stale_reports_are_ignored() {
    let mut hub = Sums::default();
    hub.take_leaf(&name(1), vec![(1, 1)], STALE, secs(1));
    hub.take_hub(&name(2), vec![(1, 2)], STALE, secs(1));
    assert_eq!(hub.reporting(secs(2)).count(), 1);
    assert_eq!(hub.reporting(secs(3)).count(), 0);
    assert!(hub.others_of_hub(secs(3)).is_empty());
    let mut leaf = Sums::default();
    assert_eq!(leaf.others_of_leaf(secs(1)), None, "no hub sent a sum");
    leaf.take_fleet(vec![(1, 3)], STALE, secs(1));
    assert_eq!(leaf.others_of_leaf(secs(3)), None);
    hub.take_leaf(&name(1), vec![(1, 1)], STALE, secs(3));
    hub.forget(&name(1));
    assert!(hub.others_of_hub(secs(3)).is_empty());
}
