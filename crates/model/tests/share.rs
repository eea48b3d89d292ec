//! Searches of small pools: with every guard on no run breaks the invariant, and with one off a run
//! does and is told.

use model::{
    explore,
    small_terms,
    Model,
    ShareModel,
    ShareStep,
    ShareWorld, //
};
use share::{
    Guards,
    Terms, //
};
use std::time::{
    Duration,
    Instant, //
};

/// States of a search before it gives up; no instance here may come near it.
const LIMIT_STATES: usize = 400_000;

/// A pool without promises: the leases and floors alone.
fn plain() -> ShareModel {
    ShareModel {
        terms: Terms {
            promise_term: Duration::ZERO,
            ..small_terms()
        },
        ..ShareModel::default()
    }
}

/// Searches `model` with all guards and with `off`; the first must be silent, the second must not.
fn compare(name: &str, model: &ShareModel, off: Guards) {
    let started = Instant::now();
    let whole = explore(model, LIMIT_STATES);
    println!("{name}: {whole} ({:?})", started.elapsed());
    let started = Instant::now();
    let mutant = ShareModel {
        guards: off,
        ..model.clone()
    };
    let broken = explore(&mutant, LIMIT_STATES);
    println!("{name}, guard off: {broken} ({:?})", started.elapsed());
    assert!(whole.counterexample.is_none(), "{whole}");
    assert!(whole.complete, "{whole}");
    assert!(
        broken.counterexample.is_some(),
        "{name}: the search found nothing"
    );
}

/// Names each guard with the instance that shows what it is for.
macro_rules! guards {
    ($($guard:ident: $model:expr;)*) => {$(
        #[test]
        fn $guard() {
            let off = Guards { $guard: false, ..Guards::default() };
            compare(stringify!($guard), &$model, off);
        }
    )*};
}

guards! {
    wait_for_acks: ShareModel { demands: vec![(0, 1), (0, 3), (1, 3)], horizon: 0, max_epoch: 2, ..plain() };
    exact_ack: ShareModel { demands: vec![(0, 1), (0, 3), (1, 3)], horizon: 0, max_epoch: 2, ..plain() };
    keep_minimum: ShareModel { demands: vec![(0, 1), (0, 3), (1, 3)], horizon: 0, max_epoch: 2, ..plain() };
    ack_in_flight: ShareModel { demands: vec![(0, 3)], horizon: 0, max_epoch: 2, work: true, terms: Terms { grace: Duration::from_secs(2), ..plain().terms }, ..plain() };
    lease_from_send: ShareModel { slow_renewals: true, max_lease: vec![2, 2], horizon: 3, max_epoch: 2, ..plain() };
    broken_chain: ShareModel { max_lease: vec![2, 2], horizon: 4, ..plain() };
    confirm_read: ShareModel { max_lease: vec![2, 2], late_writes: true, horizon: 2, ..plain() };
    listed_lease: ShareModel { max_lease: vec![2, 2], rows_by_peers: true, late_writes: true, horizon: 2, ..plain() };
    floor_bound: ShareModel { demands: vec![(1, 5)], tokens: 6, max_lease: vec![1, 2], horizon: 3, max_epoch: 2, ..plain() };
    superseded_from_first_seen: restarted();
    witness_since: newcomers_alone();
    promise_kept: ShareModel { cut_off: vec![0], max_lease: vec![1, 2], horizon: 4, ..ShareModel::default() };
    promise_from_request: ShareModel { cut_off: vec![0], max_lease: vec![1, 2], late_beats: true, horizon: 3, max_epoch: 2, ..ShareModel::default() };
    promise_same_epoch: ShareModel { cut_off: vec![0], max_lease: vec![1, 2], horizon: 4, ..ShareModel::default() };
    clip_on_adopt: jump_over_an_epoch();
    transfer_once: ShareModel { demands: vec![(0, 1), (1, 3)], horizon: 1, max_epoch: 1, ..plain() };
    transfer_same_epoch: ShareModel { demands: vec![(0, 1), (1, 3)], horizon: 0, max_epoch: 2, ..plain() };
    transfer_stops_first: ShareModel { demands: vec![(0, 1), (1, 3)], horizon: 0, max_epoch: 1, work: true, terms: Terms { grace: Duration::from_secs(2), ..plain().terms }, ..plain() };
    grace: reclaimed_beside_work();
    drift: ShareModel { horizon: 6, max_lease: vec![1, 2], max_epoch: 2, slow_clocks: vec![0], terms: Terms { drift_pct: 25, short_ttl: Duration::from_secs(4), long_ttl: Duration::from_secs(10), ..plain().terms }, ..plain() };
}

/// Member a may go on beside its own next life, which only the table hears.
fn restarted() -> ShareModel {
    use ShareStep::{Renew, Second};
    let (a, b, next) = (0, 1, 2);
    ShareModel {
        joiners: 1,
        restarted: Some(a),
        apart: vec![(a, next), (b, next)],
        max_lease: vec![2, 2],
        horizon: 3,
        max_epoch: 2,
        prefix: vec![Second, Renew(b)],
        ..plain()
    }
}

/// Work of member a outlives its lease, and member b waits for the lapse.
fn reclaimed_beside_work() -> ShareModel {
    use ShareStep::{Renew, Second, Start};
    let (a, b) = (0, 1);
    ShareModel {
        max_lease: vec![1, 4],
        max_epoch: 2,
        horizon: 4,
        work: true,
        terms: Terms {
            grace: Duration::from_secs(2),
            ..plain().terms
        },
        prefix: vec![Second, Start(a), Start(a), Renew(b), Second, Renew(b)],
        ..plain()
    }
}

/// Two newcomers and the table, without the one member that has everything.
fn newcomers_alone() -> ShareModel {
    use ShareStep::{Read, Renew, Second};
    let (b, c) = (1, 2);
    ShareModel {
        members: 1,
        joiners: 2,
        cut_off: vec![0],
        apart: vec![(0, b), (0, c)],
        max_lease: vec![1, 2, 2],
        horizon: 3,
        prefix: vec![Read(b), Read(c), Second, Renew(b), Renew(c), Second],
        ..ShareModel::default()
    }
}

/// Member a holds on by promises while an epoch goes by that it never sees.
fn jump_over_an_epoch() -> ShareModel {
    use ShareStep::{Act, Beat, Demand, Read, Renew, Second};
    let (a, b, c) = (0, 1, 2);
    ShareModel {
        members: 3,
        tokens: 6,
        max_lease: vec![2, 3, 3],
        apart: vec![(a, b)],
        horizon: 3,
        terms: Terms {
            promise_term: Duration::from_secs(2),
            ..small_terms()
        },
        prefix: vec![
            Second,
            Renew(b),
            Renew(c),
            Beat(a, b),
            Beat(a, c),
            Beat(b, a),
            Beat(c, a),
            Second,
            Renew(b),
            Renew(c),
            Read(b),
            Read(c),
            Demand(b, 4),
            Act(b),
            Read(b),
            Read(c),
            Beat(c, b),
            Renew(a),
            Demand(a, 2),
            Beat(a, c),
            Act(c),
        ],
        ..ShareModel::default()
    }
}

/// Names each instance that no run may break.
macro_rules! silent {
    ($($name:ident: $model:expr;)*) => {$(
        #[test]
        fn $name() {
            let started = Instant::now();
            let found = explore(&$model, LIMIT_STATES);
            println!("{}: {found} ({:?})", stringify!($name), started.elapsed());
            assert!(found.counterexample.is_none(), "{found}");
            assert!(found.complete, "{found}");
        }
    )*};
}

use ShareStep::{
    Renew,
    Second, //
};

silent! {
    one_of_three_cut_off: ShareModel { members: 3, tokens: 6, cut_off: vec![0], max_lease: vec![1, 2, 2], horizon: 2, max_epoch: 2, broadcast: true, prefix: vec![Second, Renew(1), Renew(2)], ..ShareModel::default() };
    three_without_promises: ShareModel { members: 3, tokens: 6, cut_off: vec![0], max_lease: vec![1, 2, 2], horizon: 2, max_epoch: 2, broadcast: true, ..plain() };
    capacity_changes: ShareModel { capacities: vec![3, 5], horizon: 0, ..plain() };
    planned_stop: ShareModel { leaving: true, demands: vec![(1, 3)], horizon: 0, max_epoch: 3, ..plain() };
    planned_stop_with_work: ShareModel { leaving: true, work: true, horizon: 1, max_epoch: 2, terms: Terms { grace: Duration::from_secs(1), ..plain().terms }, ..plain() };
    join: ShareModel { joiners: 1, horizon: 0, ..plain() };
    long_lapse: ShareModel { cut_off: vec![0], max_lease: vec![1, 3], horizon: 5, ..plain() };
    long_lapse_with_promises: ShareModel { cut_off: vec![0], max_lease: vec![1, 3], horizon: 4, max_epoch: 2, ..ShareModel::default() };
    late_renewals_and_beats: ShareModel { slow_renewals: true, late_beats: true, max_lease: vec![2, 1], horizon: 2, max_epoch: 2, ..ShareModel::default() };
    racing_writers: ShareModel { demands: vec![(0, 3), (1, 3)], late_writes: true, horizon: 0, ..plain() };
}

/// Model whose search is over once a goal is reached.
struct Reach {
    model: ShareModel,
    goal: fn(&ShareModel, &ShareWorld) -> bool,
}

impl Model for Reach {
    type State = ShareWorld;
    type Step = ShareStep;

    fn start(&self) -> ShareWorld {
        self.model.start()
    }

    fn transitions(&self, world: &ShareWorld) -> Vec<(ShareStep, ShareWorld)> {
        self.model.transitions(world)
    }

    fn check(&self, world: &ShareWorld) -> Result<(), String> {
        if (self.goal)(&self.model, world) {
            return Err("reached".into());
        }
        Ok(())
    }
}

/// Names each thing that must be possible, so that silence is not for want of any use.
macro_rules! reaches {
    ($($name:ident: $model:expr, $goal:expr;)*) => {$(
        #[test]
        fn $name() {
            let found = explore(&Reach { model: $model, goal: $goal }, LIMIT_STATES);
            println!("{}: {found}", stringify!($name));
            assert!(found.counterexample.is_some(), "not reached");
        }
    )*};
}

reaches! {
    surplus_goes_to_the_other: ShareModel { cut_off: vec![0], max_lease: vec![1, 2], horizon: 4, ..plain() },
        |model, world| model.uses(world) == [1, 3];
    everything_goes_to_the_other: ShareModel { cut_off: vec![0], max_lease: vec![1, 3], horizon: 6, ..plain() },
        |model, world| model.uses(world) == [0, 4];
    promises_outlast_the_short_term: ShareModel { cut_off: vec![0], max_lease: vec![1, 2], horizon: 4, ..ShareModel::default() },
        |model, world| world.seconds() >= 3 && model.uses(world) == [2, 2];
    promises_give_a_lapsed_surplus_back: ShareModel { cut_off: vec![0], max_lease: vec![1, 2], horizon: 3, prefix: vec![ShareStep::Second, ShareStep::Renew(1), ShareStep::Second], ..ShareModel::default() },
        |model, world| world.seconds() >= 2 && model.uses(world) == [2, 2];
    next_life_gets_its_part: ShareModel { joiners: 1, restarted: Some(0), max_lease: vec![1, 2], horizon: 3, ..plain() },
        |model, world| model.uses(world)[2] > 0;
    joiner_gets_its_part: ShareModel { joiners: 1, horizon: 0, ..plain() },
        |model, world| model.uses(world)[2] > 0;
    stop_frees_everything: ShareModel { leaving: true, horizon: 0, ..plain() },
        |model, world| model.uses(world) == [0, 4];
}

/// Symptom: a token has two users although every rule is kept.
///
/// Sequence: a thread finds a token free, is paused, and sends its request after the lease lapsed and
/// the grace passed too. Cause: no check can be made at the same moment as the send. The grace covers
/// a pause as long as the work may take; nothing covers a longer one, and this test says so.
#[test]
fn pause_longer_than_the_grace_is_not_covered() {
    let terms = Terms {
        grace: Duration::from_secs(1),
        ..plain().terms
    };
    let model = ShareModel {
        horizon: 5,
        max_lease: vec![1, 2],
        max_epoch: 2,
        work: true,
        overstay: 2,
        terms,
        ..plain()
    };
    let found = explore(&model, LIMIT_STATES);
    println!("pause longer than the grace: {found}");
    assert!(found.counterexample.is_some());
}
