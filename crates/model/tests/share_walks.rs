//! Random runs of pools too wide to search whole: four members, all faults at once, longer times.
//!
//! Silence proves little here, so the same walks are shown to find single guards that are off. Seeds
//! are fixed: the verdict is the same each time.

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

/// Runs of each test.
const WALKS: u64 = 2_000;
/// Steps of a run.
const LENGTH: usize = 500;
/// Steps between two seconds: hardly anybody renews in time, up to nearly everybody.
const PACES: [usize; 4] = [5, 10, 20, 40];

/// Four members and every fault that needs a step of its own.
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
        late_beats: true,
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

/// Numbers of a run, by xorshift.
fn numbers(seed: u64) -> impl FnMut() -> usize {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        usize::try_from(state >> 33).expect("31 bits")
    }
}

/// First run that breaks the invariant.
fn first_broken(model: &ShareModel) -> Option<(u64, Trace)> {
    (1..=WALKS).find_map(|seed| {
        let pace = PACES[usize::try_from(seed % 4).expect("small")];
        let run = model.walk(LENGTH, pace, numbers(seed));
        run.err().map(|trace| (seed, trace))
    })
}

/// Names each pool that no walk may break.
macro_rules! silent {
    ($($name:ident: $model:expr;)*) => {$(
        #[test]
        fn $name() {
            if let Some((seed, trace)) = first_broken(&$model) {
                panic!("walk {seed}:\n{trace}");
            }
        }
    )*};
}

silent! {
    faults_of_platform_and_messages: wide();
    work_and_changing_capacity: ShareModel { work: true, capacities: vec![6, 8], ..wide() };
    planned_stops: ShareModel { work: true, leaving: true, ..wide() };
    restart: ShareModel { restarted: Some(0), ..wide() };
    one_cut_off_alone: ShareModel { cut_off: vec![0], ..wide() };
    two_cut_off_from_all_others: ShareModel { cut_off: vec![0, 1], apart: vec![(0, 2), (0, 3), (1, 2), (1, 3)], ..wide() };
    slow_clock: ShareModel { slow_clocks: vec![0], terms: Terms { drift_pct: 25, ..wide().terms }, ..wide() };
}

/// Names each guard that the walks must miss when it is off.
macro_rules! found {
    ($($guard:ident)*) => {$(
        #[test]
        fn $guard() {
            let guards = Guards { $guard: false, ..Guards::default() };
            let broken = first_broken(&ShareModel { guards, ..wide() });
            let (seed, trace) = broken.expect("the walks find nothing");
            println!("{}: walk {seed}, {} steps: {}", stringify!($guard), trace.steps.len(), trace.violation);
        }
    )*};
}

found! { broken_chain confirm_read transfer_once transfer_same_epoch keep_minimum promise_kept promise_same_epoch wait_for_acks }
