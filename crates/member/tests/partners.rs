//! Heartbeat graphs of 12, 60 and 530 daemons: reachability, hop count and sessions per daemon.

use member::{
    partners,
    InstanceLocation, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

const REGIONS: usize = 3;
const DOMAINS: usize = 2;
const PER_OTHER_REGION: usize = 2;

/// `count` daemons, spread evenly over regions and failure domains.
fn locations(count: usize) -> Vec<InstanceLocation> {
    (0..count)
        .map(|index| InstanceLocation {
            instance: format!("i{index}").into(),
            region: format!("r{}", index % REGIONS).into(),
            failure_domain: format!("f{}", index / REGIONS % DOMAINS).into(),
        })
        .collect()
}

/// Adjacency of the sessions between the `alive` daemons; a session carries heartbeats both ways.
fn graph(all: &[InstanceLocation], alive: &[usize], seed: u64) -> Vec<BTreeSet<usize>> {
    let index: BTreeMap<_, _> = (0..)
        .zip(all)
        .map(|(n, location)| (&location.instance, n))
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

/// Number of rounds until a summary of `from` has reached every daemon that it can reach, and the
/// number of these daemons.
fn spread(edges: &[BTreeSet<usize>], from: usize) -> (usize, usize) {
    let mut reached = BTreeSet::from([from]);
    let mut frontier = reached.clone();
    let mut rounds = 0;
    loop {
        let next: BTreeSet<usize> = frontier.iter().flat_map(|at| edges[*at].clone()).collect();
        frontier = next.difference(&reached).copied().collect();
        if frontier.is_empty() {
            return (rounds, reached.len());
        }
        reached.extend(&frontier);
        rounds += 1;
    }
}

fn check_spread(count: usize, is_lost: fn(&InstanceLocation) -> bool, rounds_max: usize) {
    let all = locations(count);
    let alive: Vec<usize> = (0..count).filter(|index| !is_lost(&all[*index])).collect();
    for seed in 0..3 {
        let edges = graph(&all, &alive, seed);
        for &from in alive.iter().step_by(1 + count / 60) {
            let (rounds, reached) = spread(&edges, from);
            assert_eq!(reached, alive.len(), "seed {seed}, summaries of {from}");
            assert!(
                rounds <= rounds_max,
                "seed {seed}, summaries of {from}: {rounds} rounds"
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

fn nothing(_: &InstanceLocation) -> bool {
    false
}

fn one_domain(location: &InstanceLocation) -> bool {
    location.region == "r0" && location.failure_domain == "f0"
}

fn one_region(location: &InstanceLocation) -> bool {
    location.region == "r0"
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
    spread_among_12: 12, nothing, 3;
    spread_among_12_without_one_domain: 12, one_domain, 4;
    spread_among_12_without_one_region: 12, one_region, 4;
    spread_among_60: 60, nothing, 3;
    spread_among_60_without_one_domain: 60, one_domain, 3;
    spread_among_530: 530, nothing, 3;
    spread_among_530_without_one_domain: 530, one_domain, 3;
    spread_among_530_without_one_region: 530, one_region, 3;
}

/// Guards against a selection that depends on the length or order of the list: the start of one
/// instance then reopens sessions at all others.
#[test]
fn one_more_daemon_changes_few_partners() {
    let before = locations(60);
    let mut after = locations(61);
    after.reverse();
    let added = &locations(61)[60].instance;
    for me in &before {
        let old = partners(me, &before, PER_OTHER_REGION, 7);
        let mut selected = partners(me, &after, PER_OTHER_REGION, 7);
        selected.retain(|id| id != added);
        let dropped = old.iter().filter(|id| !selected.contains(id)).count();
        assert!(dropped <= 1, "{}: {dropped} partners dropped", me.instance);
        assert!(selected.iter().all(|id| old.contains(id)));
    }
}

#[test]
fn partners_are_listed_and_sorted_without_self() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8, u8)>, u8, u64)>()
        .with_iterations(2_000)
        .for_each(|(list, per_other_region, seed)| {
            let all: Vec<InstanceLocation> = list
                .iter()
                .map(|(instance, region, domain)| InstanceLocation {
                    instance: instance.to_string().into(),
                    region: (region % 4).to_string().into(),
                    failure_domain: (domain % 3).to_string().into(),
                })
                .collect();
            let Some(me) = all.first() else { return };
            let selected = partners(me, &all, usize::from(per_other_region % 5), *seed);
            assert!(!selected.contains(&me.instance));
            assert!(selected.windows(2).all(|pair| pair[0] < pair[1]));
            assert!(selected
                .iter()
                .all(|id| all.iter().any(|location| location.instance == *id)));
        });
}
