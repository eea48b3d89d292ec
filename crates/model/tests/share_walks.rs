//! Random walks of pools that are too large for an exhaustive search: four members, all faults at once,
//! longer times.
//!
//! Walks without a violation prove little, so the tests also show that the same walks find a violation
//! when a single guard is off. The seeds are fixed, so the result is reproducible.

use model::{
    small_terms,
    ShareModel,
    Trace, //
};
use share::{
    Guards,
    Terms, //
};
use std::time::Duration;

/// Walks of each test.
const WALKS: u64 = 2_000;
/// Steps of a walk.
const WALK_STEPS: usize = 500;
/// Mean steps per second of the clock: from few members renewing in time to nearly all.
const STEPS_PER_SECOND: [usize; 4] = [5, 10, 20, 40];

/// Four members and every fault that has a step of its own.
fn wide() -> ShareModel {
    ShareModel {
        members: 3,
        joiners: 1,
        tokens: 8,
        demands: vec![(0, 1), (1, 5)],
        horizon: 14,
        max_epoch: 100,
        max_lease: vec![100; 4],
        rows_by_peers: true,
        late_writes: true,
        slow_renewals: true,
        delayed_heartbeats: true,
        terms: Terms {
            short_ttl: Duration::from_secs(3),
            long_ttl: Duration::from_secs(12),
            promise_term: Duration::from_secs(2),
            grace: Duration::from_secs(1),
            ..small_terms()
        },
        ..ShareModel::default()
    }
}

/// Random numbers of a walk, by xorshift.
fn numbers(seed: u64) -> impl FnMut() -> usize {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        usize::try_from(state >> 33).expect("31 bits")
    }
}

/// Seed and trace of the first walk that violates the invariant.
fn first_violation(model: &ShareModel) -> Option<(u64, Trace)> {
    (1..=WALKS).find_map(|seed| {
        let steps_per_second = STEPS_PER_SECOND[usize::try_from(seed % 4).expect("small")];
        let run = model.random_walk(WALK_STEPS, steps_per_second, numbers(seed));
        run.err().map(|trace| (seed, trace))
    })
}

/// Generates a test for each pool, whose invariant no walk may violate.
macro_rules! holds {
    ($($name:ident: $model:expr;)*) => {$(
        #[test]
        fn $name() {
            if let Some((seed, trace)) = first_violation(&$model) {
                panic!("walk {seed}:\n{trace}");
            }
        }
    )*};
}

holds! {
    faults_of_platform_and_messages: wide();
    work_and_changing_capacity: ShareModel { work: true, capacities: vec![6, 8], ..wide() };
    planned_stops: ShareModel { work: true, leaving: true, ..wide() };
    restart: ShareModel { restarted: Some(0), ..wide() };
    one_cut_off_alone: ShareModel { cut_off: vec![0], ..wide() };
    two_cut_off_from_all_others: ShareModel { cut_off: vec![0, 1], partitioned: vec![(0, 2), (0, 3), (1, 2), (1, 3)], ..wide() };
    slow_clock: ShareModel { slow_clocks: vec![0], terms: Terms { drift_pct: 25, ..wide().terms }, ..wide() };
}

/// Generates a test for each guard whose absence the walks must detect.
macro_rules! detects {
    ($($guard:ident)*) => {$(
        #[test]
        fn $guard() {
            let guards = Guards { $guard: false, ..Guards::default() };
            let violation = first_violation(&ShareModel { guards, ..wide() });
            let (seed, trace) = violation.expect("no walk violates the invariant");
            println!("{}: walk {seed}, {} steps: {}", stringify!($guard), trace.steps.len(), trace.violation);
        }
    )*};
}

detects! { broken_chain confirm_read transfer_once transfer_same_epoch keep_minimum promise_kept promise_same_epoch wait_for_acks }
