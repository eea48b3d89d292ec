//! Rendezvous hashing over members of unequal weight.

use balance::{
    affinity_hash,
    rendezvous_score,
    weighted_rendezvous_score, //
};

const KEYS: u64 = 20_000;

fn keys() -> impl Iterator<Item = u64> {
    (0..KEYS).map(|number| affinity_hash(&number.to_le_bytes()))
}

/// Returns how often each member is ranked first.
fn first_ranks(weights: &[f64]) -> Vec<usize> {
    let mut counts = vec![0; weights.len()];
    for key in keys() {
        let score = |index: &usize| weighted_rendezvous_score(key, *index as u64, weights[*index]);
        let first = (0..weights.len()).max_by(|a, b| score(a).total_cmp(&score(b)));
        counts[first.expect("there are members")] += 1;
    }
    counts
}

/// Guards against small entries that hold most leases of cold upstreams and have no requests for them.
#[test]
fn members_are_preferred_by_weight() {
    let weights = [&[1.0; 4][..], &[0.05; 20]].concat();
    let counts = first_ranks(&weights);
    let large: usize = counts[..4].iter().sum();
    let share = large as f64 / KEYS as f64;
    assert!((0.78..0.82).contains(&share), "{share}");
}

/// Members of equal weight are ranked as without weights.
#[test]
fn equal_weights_keep_the_order() {
    for key in keys() {
        let plain = (0..8_u64).max_by_key(|member| rendezvous_score(key, *member));
        let score = |member: &u64| weighted_rendezvous_score(key, *member, 0.3);
        let weighted = (0..8_u64).max_by(|a, b| score(a).total_cmp(&score(b)));
        assert_eq!(plain, weighted);
    }
}
