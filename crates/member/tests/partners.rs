//! Heartbeat graphs at the sizes of today and to come.

use member::{
    partners,
    Place, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

const REGIONS: usize = 3;
const DOMAINS: usize = 2;
const PER_OTHER_REGION: usize = 2;

/// `count` daemons, spread evenly.
fn places(count: usize) -> Vec<Place> {
    (0..count)
        .map(|index| Place {
            instance: format!("i{index}").into(),
            region: format!("r{}", index % REGIONS).into(),
            failure_domain: format!("f{}", index / REGIONS % DOMAINS).into(),
        })
        .collect()
}

/// Sessions between those of `all` that are in `alive`; each serves both its ends.
fn graph(all: &[Place], alive: &[usize], seed: u64) -> Vec<BTreeSet<usize>> {
    let index: BTreeMap<_, _> = (0..)
        .zip(all)
        .map(|(n, place)| (&place.instance, n))
        .collect();
    let mut edges = vec![BTreeSet::new(); all.len()];
    for &from in alive {
        for partner in partners(&all[from], all, PER_OTHER_REGION, seed) {
            let to = index[&partner];
            if alive.contains(&to) {
                edges[from].insert(to);
                edges[to].insert(from);
            }
        }
    }
    edges
}

/// Rounds until news of `from` has reached all that it ever reaches, and how many these are.
fn spread(edges: &[BTreeSet<usize>], from: usize) -> (usize, usize) {
    let mut reached = BTreeSet::from([from]);
    let mut newest = reached.clone();
    let mut rounds = 0;
    loop {
        let next: BTreeSet<usize> = newest.iter().flat_map(|at| edges[*at].clone()).collect();
        newest = next.difference(&reached).copied().collect();
        if newest.is_empty() {
            return (rounds, reached.len());
        }
        reached.extend(&newest);
        rounds += 1;
    }
}

fn check_spread(count: usize, is_lost: fn(&Place) -> bool, rounds_max: usize) {
    let all = places(count);
    let alive: Vec<usize> = (0..count).filter(|index| !is_lost(&all[*index])).collect();
    for seed in 0..3 {
        let edges = graph(&all, &alive, seed);
        for &from in alive.iter().step_by(1 + count / 60) {
            let (rounds, reached) = spread(&edges, from);
            assert_eq!(reached, alive.len(), "seed {seed}, news of {from}");
            assert!(
                rounds <= rounds_max,
                "seed {seed}, news of {from}: {rounds}"
            );
        }
        let most = edges.iter().map(BTreeSet::len).max().unwrap_or(0);
        println!(
            "{count} daemons, {} alive, seed {seed}: {most} sessions at most",
            alive.len()
        );
        let own_domain = count / (REGIONS * DOMAINS);
        assert!(most <= own_domain + 30, "{most} sessions at one daemon");
    }
}

fn none(_: &Place) -> bool {
    false
}

fn a_domain(place: &Place) -> bool {
    place.region == "r0" && place.failure_domain == "f0"
}

fn a_region(place: &Place) -> bool {
    place.region == "r0"
}

macro_rules! spreads {
    ($($name:ident: $count:literal, $lost:expr, $rounds:literal;)*) => {
        $(#[test]
        fn $name() {
            check_spread($count, $lost, $rounds);
        })*
    };
}

spreads! {
    among_12: 12, none, 3;
    among_12_without_a_domain: 12, a_domain, 4;
    among_12_without_a_region: 12, a_region, 4;
    among_60: 60, none, 3;
    among_60_without_a_domain: 60, a_domain, 3;
    among_530: 530, none, 3;
    among_530_without_a_domain: 530, a_domain, 3;
    among_530_without_a_region: 530, a_region, 3;
}

/// Symptom: each start of an instance reopens sessions all over. The picks depended on the length
/// or order of the list.
#[test]
fn one_more_daemon_changes_few_picks() {
    let before = places(60);
    let mut after = places(61);
    after.reverse();
    let new = &places(61)[60].instance;
    for me in &before {
        let old = partners(me, &before, PER_OTHER_REGION, 7);
        let mut picks = partners(me, &after, PER_OTHER_REGION, 7);
        picks.retain(|id| id != new);
        let dropped = old.iter().filter(|id| !picks.contains(id)).count();
        assert!(dropped <= 1, "{}: {dropped} picks dropped", me.instance);
        assert!(picks.iter().all(|id| old.contains(id)));
    }
}

#[test]
fn any_list_gives_picks_from_it_without_oneself() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8, u8)>, u8, u64)>()
        .with_iterations(2_000)
        .for_each(|(list, per_other_region, seed)| {
            let all: Vec<Place> = list
                .iter()
                .map(|(instance, region, domain)| Place {
                    instance: instance.to_string().into(),
                    region: (region % 4).to_string().into(),
                    failure_domain: (domain % 3).to_string().into(),
                })
                .collect();
            let Some(me) = all.first() else { return };
            let picks = partners(me, &all, usize::from(per_other_region % 5), *seed);
            assert!(!picks.contains(&me.instance));
            assert!(picks.windows(2).all(|pair| pair[0] < pair[1]));
            assert!(picks
                .iter()
                .all(|id| all.iter().any(|place| place.instance == *id)));
        });
}
