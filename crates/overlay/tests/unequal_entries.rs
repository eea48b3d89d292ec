//! Entries of unequal capacity: how often each is offered to callers.

use overlay::{
    offered,
    Capacity, //
};
use std::hash::{
    DefaultHasher,
    Hash as _,
    Hasher as _, //
};

/// Look-ups counted in each test.
const LOOKUPS: u64 = 20_000;

const LARGE: Option<Capacity> = capacity(500, 200);
const SMALL: Option<Capacity> = capacity(100, 10);

const fn capacity(cpu_milli: u32, link_mbit_per_s: u32) -> Option<Capacity> {
    Some(Capacity {
        cpu_milli,
        link_mbit_per_s,
    })
}

/// Returns pseudorandom numbers from 0 to 1 for one look-up.
fn random(lookup: u64) -> impl Fn(usize) -> f64 {
    move |index| {
        let mut hasher = DefaultHasher::new();
        (lookup, index).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}

/// Returns each entry's share of the callers, who pick one of the offered entries at random.
fn caller_shares(capacities: &[Option<Capacity>]) -> Vec<f64> {
    let mut shares = vec![0.0; capacities.len()];
    for lookup in 0..LOOKUPS {
        let offered = offered(capacities, random(lookup));
        for index in &offered {
            shares[*index] += 1.0 / offered.len() as f64 / LOOKUPS as f64;
        }
    }
    shares
}

macro_rules! shares {
    ($($(#[$doc:meta])* $name:ident: $capacities:expr, $check:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let shares = caller_shares(&$capacities);
                let check: fn(&[f64]) -> bool = $check;
                assert!(check(&shares), "{shares:?}");
            }
        )*
    };
}

shares! {
    /// Guards against callers of uploads on a link that is a twentieth of the others'.
    small_entries_get_a_small_share: [&[LARGE; 4][..], &[SMALL; 24]].concat(),
        |shares| shares[0] > 0.15 && shares[5] > 0.004 && shares[5] < 0.02;
    /// Entries of equal capacity are all offered, as without a capacity.
    equal_entries_share_evenly: [SMALL; 8],
        |shares| shares.iter().all(|share| (share - 0.125).abs() < 1e-9);
    /// Guards against an entry of an earlier version, which states no capacity, getting no callers.
    unknown_capacity_counts_as_the_most: [LARGE, None, SMALL],
        |shares| (shares[0] - shares[1]).abs() < 0.01 && shares[2] <= shares[1];
    /// Guards against entries that are never offered because each has the most of one resource only.
    no_entry_has_the_most_of_both: [capacity(1000, 10), capacity(100, 1000), capacity(100, 10)],
        |shares| shares.iter().all(|share| *share > 0.1);
}

/// Guards against callers that know a single entry and get no answer once it fails.
#[test]
fn several_entries_are_offered() {
    let capacities = [&[LARGE][..], &[SMALL; 10]].concat();
    for lookup in 0..LOOKUPS {
        assert!(offered(&capacities, random(lookup)).len() >= 3);
    }
    assert_eq!(offered(&[SMALL, LARGE], random(0)).len(), 2);
    assert!(offered(&[], random(0)).is_empty());
}
