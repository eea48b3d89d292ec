//! Tables of cases for each decision.

use std::time::Duration;
use steer::*;

/// Names each case of a table: an expression and what it must be.
macro_rules! cases {
    ($($name:ident: $got:expr => $want:expr;)*) => {
        $(#[test] fn $name() { assert_eq!($got, $want); })*
    };
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn view(usable: u32, in_flight: u32, latency_ms: u64) -> View {
    View {
        usable,
        in_flight,
        latency: ms(latency_ms),
        ..View::default()
    }
}

fn ours(views: &[View]) -> Option<usize> {
    let chosen: Vec<_> = (0..16)
        .map(|seed| Ours::default().choose(views, ms(0), seed))
        .collect();
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]));
    chosen[0]
}

fn suspect(probe_due: bool) -> View {
    View {
        suspect: true,
        probe_due,
        ..view(3, 0, 1)
    }
}

fn reported(in_flight: u32, queued: u32) -> View {
    let report = Reported {
        in_flight,
        queued,
        slots: 9,
        age: ms(100),
    };
    View {
        reported: Some(report),
        ..view(8, 3, 10)
    }
}

cases! {
    choose_none_of_none: ours(&[]) => None;
    choose_least_loaded: ours(&[view(3, 2, 10), view(3, 1, 10)]) => Some(1);
    choose_by_share_not_count: ours(&[view(2, 1, 10), view(9, 2, 10)]) => Some(1);
    choose_fast_before_idle: ours(&[view(3, 0, 80), view(3, 2, 10)]) => Some(1);
    choose_never_above_usable: ours(&[view(3, 3, 1), view(1, 0, 900)]) => Some(1);
    choose_none_when_full: ours(&[view(3, 3, 1), view(0, 0, 1)]) => None;
    choose_never_above_ramp: ours(&[View { ramp_limit: 1, ..view(3, 1, 1) }]) => None;
    choose_never_leaving: ours(&[View { leaving: true, ..view(3, 0, 1) }]) => None;
    choose_fresh_first: ours(&[View { fresh: false, ..view(3, 0, 1) }, view(3, 2, 50)]) => Some(1);
    choose_stale_alone: ours(&[View { fresh: false, ..view(3, 0, 1) }]) => Some(0);
    choose_no_suspect: ours(&[suspect(false), view(3, 2, 50)]) => Some(1);
    choose_no_suspect_alone: ours(&[suspect(false)]) => None;
    choose_due_probe: ours(&[suspect(true), view(3, 0, 50)]) => Some(0);
    choose_one_probe: ours(&[View { in_flight: 1, ..suspect(true) }, view(3, 0, 9)]) => Some(1);
    report_of_idle_does_not_raise: reported(0, 0).limit() => 8;
    report_of_queue_lowers: reported(9, 3).limit() => 6;
    report_of_endless_queue_leaves_one: reported(0, 9999).limit() => 1;
}

const SIX_PROBES: RampSettings = RampSettings {
    trickle_answers: 6,
    ..RampSettings::DEFAULT
};

/// Symptom: a region returns and its lookups slow down as the load arrives. Sequence: cold start,
/// slow probes, then near ones, then full windows. Cause: slots opened faster than the cache warmed.
#[test]
fn ramp_follows_latency() {
    let mut ramp = Ramp::warm(SIX_PROBES);
    ramp.observe(ms(0), &Seen::answer(ms(10)), 3, Freshness::Fresh);
    ramp.restart(ms(0), RampCause::ColdStart, None, true);
    assert!(ramp.probe_due(ms(0)));
    ramp.probe_sent(ms(0));
    assert!(!ramp.probe_due(ms(49)) && ramp.probe_due(ms(50)));
    let step = |ramp: &mut Ramp, at, latency, answers| {
        for _ in 0..answers {
            ramp.observe(ms(at), &Seen::answer(ms(latency)), 3, Freshness::Fresh);
        }
        (ramp.phase(), ramp.limit())
    };
    assert_eq!(step(&mut ramp, 250, 50, 12), (RampPhase::Trickle, 2));
    assert_eq!(step(&mut ramp, 500, 11, 6), (RampPhase::Opening, 2));
    assert_eq!(step(&mut ramp, 510, 11, 3), (RampPhase::Opening, 2));
    assert_eq!(step(&mut ramp, 510, 11, 1), (RampPhase::Opening, 3));
    assert_eq!(step(&mut ramp, 520, 14, 6), (RampPhase::Opening, 3));
    assert_eq!(step(&mut ramp, 530, 16, 6), (RampPhase::Opening, 1));
    assert_eq!(step(&mut ramp, 540, 10, 40), (RampPhase::Opening, 1));
    assert_eq!(step(&mut ramp, 1031, 10, 2), (RampPhase::Opening, 2));
    assert_eq!(step(&mut ramp, 1040, 10, 4), (RampPhase::Opening, 3));
    assert_eq!(step(&mut ramp, 1050, 10, 6), (RampPhase::Warm, NO_LIMIT));
    ramp.restart(ms(2000), RampCause::RegionReturn, None, true);
    assert_eq!(step(&mut ramp, 2000, 10, 6), (RampPhase::Opening, 2));
    assert_eq!(step(&mut ramp, 2010, 16, 4), (RampPhase::Trickle, 1));
    assert_eq!(step(&mut ramp, 2020, 50, 1), (RampPhase::Trickle, 1));
    assert_eq!(step(&mut ramp, 2030, 50, 1), (RampPhase::Trickle, 2));
    ramp.observe(ms(2040), &failed(1, 0, 0), 3, Freshness::Fresh);
    assert_eq!((ramp.phase(), ramp.limit()), (RampPhase::Trickle, 1));
}

/// Symptom: an upstream that is warm gets only probes for seconds. Sequence: five cold probes, then
/// warm ones. Cause: a window that holds both is judged, found slow and dropped as a whole.
#[test]
fn trickle_ends_six_probes_after_the_last_cold_one() {
    let mut ramp = Ramp::warm(SIX_PROBES);
    ramp.observe(ms(0), &Seen::answer(ms(10)), 3, Freshness::Fresh);
    ramp.restart(ms(0), RampCause::ColdStart, None, true);
    let mut probe = |latency| {
        ramp.observe(ms(0), &Seen::answer(ms(latency)), 3, Freshness::Fresh);
        ramp.phase()
    };
    let phases: Vec<RampPhase> = [50; 5].into_iter().chain([11; 6]).map(&mut probe).collect();
    assert_eq!(phases[..10], [RampPhase::Trickle; 10]);
    assert_eq!(phases[10], RampPhase::Opening);
}

/// Symptom: an upstream idles beside busy ones. Sequence: it opens slots, and nothing is sent there.
/// Cause: what was seen of it while it was cold makes it look slow, and nothing else is ever seen.
#[test]
fn an_idle_upstream_gets_probes_while_its_slots_open() {
    let mut ramp = Ramp::warm(RampSettings::default());
    ramp.observe(ms(0), &Seen::answer(ms(10)), 9, Freshness::Fresh);
    assert!(!ramp.probe_due(ms(9000)), "a warm one needs none");
    ramp.restart(ms(0), RampCause::Silence, None, true);
    ramp.observe(ms(100), &Seen::answer(ms(10)), 9, Freshness::Fresh);
    assert!(!ramp.probe_due(ms(399)) && ramp.probe_due(ms(400)));
    ramp.probe_sent(ms(400));
    assert!(!ramp.probe_due(ms(699)) && ramp.probe_due(ms(700)));
}

/// Symptom: callers queue or cross a long link while their own region would answer sooner, only
/// slowly. Sequence: a whole region returns cold. Cause: slow start waits for a warm latency that
/// no upstream there can show.
#[test]
fn ramp_opens_by_count_when_no_other_will_do() {
    let mut ramp = Ramp::warm(RampSettings::default());
    ramp.restart(ms(0), RampCause::RegionReturn, Some(ms(10)), false);
    let seen = |answers| Seen {
        answers,
        latency_sum: ms(40) * answers,
        ..Seen::default()
    };
    for (answers, limit) in [(3, 2), (1, 3), (6, 4)] {
        ramp.observe(ms(0), &seen(answers), 9, Freshness::Fresh);
        assert_eq!((ramp.phase(), ramp.limit()), (RampPhase::Opening, limit));
    }
    ramp.observe(ms(0), &failed(1, 0, 0), 9, Freshness::Fresh);
    assert_eq!(ramp.limit(), 2);
}

/// Symptom: work is refused while slots idle. Sequence: the few warm upstreams are full and the
/// others cold. Cause: a slow start that waits for requests it holds back.
#[test]
fn ramp_yields_to_work_that_nothing_else_takes() {
    let mut ramp = Ramp::warm(RampSettings::default());
    ramp.restart(ms(0), RampCause::RegionReturn, Some(ms(10)), true);
    for limit in 2..5 {
        ramp.relieve(ms(0));
        assert_eq!((ramp.phase(), ramp.limit()), (RampPhase::Opening, limit));
    }
}

/// Symptom: slots of an upstream stay shut for ever. Sequence: it comes back on a slower machine
/// and answers steadily. Cause: its old warm latency, which it cannot reach any more.
#[test]
fn ramp_accepts_a_slower_machine() {
    let mut ramp = Ramp::warm(RampSettings::default());
    ramp.restart(ms(0), RampCause::Silence, Some(ms(10)), true);
    for second in 0..60 {
        let seen = Seen {
            answers: 8,
            latency_sum: ms(160),
            ..Seen::default()
        };
        ramp.observe(ms(1000 * second), &seen, 2, Freshness::Fresh);
    }
    assert_eq!(ramp.phase(), RampPhase::Warm);
}

fn raised(seen: Seen, times: u32) -> bool {
    raised_in(RampPhase::Warm, seen, times)
}

fn raised_in(phase: RampPhase, seen: Seen, times: u32) -> bool {
    let mut suspect = Suspect::trusted(SuspectSettings::default());
    for _ in 0..times {
        let _ = suspect.observe(ms(0), &seen, Some(ms(10)), phase);
    }
    suspect.is_suspected()
}

fn failed(timeouts: u32, refused: u32, truncated: u32) -> Seen {
    Seen {
        timeouts,
        refused,
        truncated,
        ..Seen::default()
    }
}

cases! {
    suspect_refused_at_once: raised(failed(0, 1, 0), 1) => true;
    suspect_one_timeout: raised(failed(1, 0, 0), 1) => false;
    suspect_two_timeouts: raised(failed(1, 0, 0), 2) => true;
    suspect_two_truncated: raised(failed(0, 0, 1), 2) => true;
    suspect_slow: raised(Seen::answer(ms(31)), 8) => true;
    suspect_slow_while_opening: raised_in(RampPhase::Opening, Seen::answer(ms(31)), 8) => true;
    suspect_slow_probes_of_a_cold_one: raised_in(RampPhase::Trickle, Seen::answer(ms(40)), 99) => false;
    suspect_failed_probe_of_a_cold_one: raised_in(RampPhase::Trickle, failed(0, 1, 0), 1) => true;
    suspect_not_slow: raised(Seen::answer(ms(29)), 99) => false;
    suspect_forgives: raised(Seen { answers: 16, latency_sum: ms(160), ..failed(1, 0, 0) }, 9) => false;
    typical_skips_unknown: Suspect::typical(&mut [ms(0), ms(9), ms(1), ms(5)]) => Some(ms(5));
    typical_of_none: Suspect::typical(&mut [ms(0)]) => None;
}

/// Symptom: a broken upstream eats callers' requests while it recovers. Sequence: refused, probes
/// fail, then succeed. Cause: more than a probe at a time, or probes without a backoff.
#[test]
fn suspect_recovers_by_single_probes() {
    let mut suspect = Suspect::trusted(SuspectSettings::default());
    let siblings = Some(ms(10));
    let refused = failed(0, 1, 0);
    let raised = suspect.observe(ms(0), &refused, siblings, RampPhase::Warm);
    assert_eq!(raised, Some(Suspicion::Raised));
    // Late answers of requests from before the suspicion prove nothing.
    assert_eq!(
        suspect.observe(ms(1), &Seen::answer(ms(9)), siblings, RampPhase::Warm),
        None
    );
    assert!(!suspect.probe_due(ms(499)) && suspect.probe_due(ms(500)));
    suspect.probe_sent();
    assert!(!suspect.probe_due(ms(5000)));
    let _ = suspect.observe(ms(600), &refused, siblings, RampPhase::Warm);
    assert!(!suspect.probe_due(ms(1599)) && suspect.probe_due(ms(1600)));
    for (at, want) in [(1600, None), (1601, Some(Suspicion::Cleared))] {
        assert!(suspect.probe_due(ms(at)));
        suspect.probe_sent();
        let verdict = suspect.observe(ms(at), &Seen::answer(ms(11)), siblings, RampPhase::Warm);
        assert_eq!(verdict, want);
    }
}

const QUICK: ClassTarget = ClassTarget {
    latency_target: ms(200),
    headroom_pct: 20,
    idempotent: true,
    priority: None,
};
const FILING: ClassTarget = ClassTarget {
    idempotent: false,
    ..QUICK
};

fn region(expected_ms: u64, headroom_left_pct: u32) -> Estimate {
    Estimate {
        wait: ms(0),
        service: ms(expected_ms),
        link: ms(0),
        headroom_left_pct,
        admitting: true,
        shift_open: true,
        freshness: Freshness::Fresh,
        drained: false,
    }
}

fn drained(estimate: Estimate) -> Estimate {
    Estimate {
        drained: true,
        ..estimate
    }
}

fn lost(estimate: Estimate) -> Estimate {
    Estimate {
        admitting: false,
        ..estimate
    }
}

fn old(estimate: Estimate) -> Estimate {
    Estimate {
        freshness: Freshness::Old,
        ..estimate
    }
}

fn capped(estimate: Estimate) -> Estimate {
    Estimate {
        shift_open: false,
        ..estimate
    }
}

/// Places a request of region 0 whose caller prefers the regions in order.
fn placed(target: ClassTarget, previous: Option<usize>, estimates: &[Estimate]) -> Placement {
    let question = Question {
        excess: estimates[0].headroom_left_pct <= target.headroom_pct,
        here: 0,
        preference: &[0, 1, 2][..estimates.len()],
        estimates,
        target: &target,
        previous,
        deadline_left: ms(1000),
    };
    place(&question, &PlaceSettings::default())
}

use Placement::{Here, Refuse, Shift};

cases! {
    place_home: placed(QUICK, None, &[region(10, 50), region(120, 90)]) => Here;
    place_small_gain_stays: placed(QUICK, None, &[region(100, 50), region(80, 90)]) => Here;
    place_gain_shifts: placed(QUICK, None, &[region(100, 50), region(70, 90)]) => Shift(1);
    place_filing_stays: placed(FILING, None, &[region(100, 50), region(70, 90)]) => Here;
    place_shifted_stays_away: placed(QUICK, Some(1), &[region(100, 50), region(87, 90)]) => Shift(1);
    place_shifted_returns: placed(QUICK, Some(1), &[region(100, 50), region(88, 90)]) => Here;
    place_not_shifted_stays: placed(QUICK, None, &[region(100, 50), region(87, 90)]) => Here;
    place_spill: placed(FILING, None, &[region(10, 20), region(120, 90)]) => Shift(1);
    place_spill_to_best: placed(QUICK, None, &[region(10, 9), region(120, 90), region(60, 30)]) => Shift(2);
    place_no_spill_without_room: placed(QUICK, None, &[region(10, 9), region(120, 20)]) => Here;
    place_no_spill_past_cap: placed(QUICK, None, &[region(10, 9), capped(region(120, 90))]) => Here;
    place_no_spill_past_deadline: placed(QUICK, None, &[region(10, 9), region(1200, 90)]) => Here;
    place_no_new_shift_on_old: placed(QUICK, None, &[region(10, 9), old(region(120, 90))]) => Here;
    place_old_shift_goes_on: placed(QUICK, Some(1), &[region(10, 9), old(region(120, 90))]) => Shift(1);
    place_drained_home: placed(FILING, None, &[drained(region(10, 99)), region(120, 90)]) => Shift(1);
    place_lost_home_old_rest: placed(QUICK, None, &[lost(region(10, 99)), old(region(120, 90))]) => Shift(1);
    place_no_region: placed(QUICK, None, &[lost(region(10, 99)), drained(region(120, 90))])
        => Refuse { retry_after: ms(10_000) };
    place_retry_from_wait: placed(QUICK, None, &[drained(region(10, 99)), Estimate { wait: ms(400), ..region(120, 5) }])
        => Refuse { retry_after: ms(400) };
}

/// Of a thousand displaced callers, how many each region takes.
fn displaced(headrooms_left_pct: &[Option<u32>]) -> Vec<usize> {
    let mut taken = vec![0; headrooms_left_pct.len()];
    for seed in 0..1000 {
        let chosen = steer::place_displaced(headrooms_left_pct, 25, seed).unwrap();
        taken[chosen] += 1;
    }
    taken
}

cases! {
    displaced_to_the_next_with_room: displaced(&[Some(50), Some(60)]) => [1000, 0];
    displaced_in_part: displaced(&[Some(35), Some(60)]) => [400, 600];
    displaced_past_a_full_one: displaced(&[Some(25), Some(60)]) => [0, 1000];
    displaced_among_full_ones: displaced(&[Some(20), Some(10)]) => [1000, 0];
    displaced_to_an_unknown_one: displaced(&[None, Some(60)]) => [1000, 0];
    displaced_to_the_only_one: displaced(&[Some(0)]) => [1000];
    displaced_to_none: steer::place_displaced(&[], 25, 7) => None;
}

fn admit() -> Admit {
    let lax = ClassTarget {
        latency_target: ms(30_000),
        headroom_pct: 10,
        ..QUICK
    };
    let ranked = ClassTarget {
        priority: Some(1),
        headroom_pct: 30,
        ..lax
    };
    Admit::new(vec![QUICK, lax, ranked], 4)
}

fn load(in_flight: u32, queued: u32) -> Load {
    let (service, completion_gap) = (ms(10), ms(50));
    Load {
        slots: 10,
        in_flight,
        queued_ahead: queued,
        queued,
        service,
        completion_gap,
    }
}

fn admitted(class: usize, load: Load, patience_ms: u64) -> &'static str {
    match admit().admit(class, &load, ms(0), ms(patience_ms), 7) {
        Admission::Send => "send",
        Admission::Queue { .. } => "queue",
        Admission::Refuse { retry_after } if retry_after > ms(0) => "refuse",
        Admission::Refuse { .. } => "dishonest",
    }
}

cases! {
    admit_ranks: [0, 1, 2].map(|class| admit().reserve_pct(class)) => [30, 30, 0];
    admit_top_to_the_last_slot: admitted(2, load(9, 0), 9000) => "send";
    admit_leaves_headroom: admitted(1, load(7, 0), 9000) => "queue";
    admit_below_headroom: admitted(1, load(6, 0), 9000) => "send";
    admit_fits_target: admitted(0, load(10, 0), 9000) => "refuse";
    admit_waits_for_one: admitted(0, load(7, 2), 9000) => "queue";
    admit_not_past_deadline: admitted(1, load(10, 0), 100) => "refuse";
    admit_queue_is_bounded: admitted(1, load(10, 4), 9000) => "refuse";
    admit_without_slots: admitted(2, Load::default(), 9000) => "refuse";
    wait_none_below_headroom: admit().expected_wait(1, &load(6, 0)) => ms(0);
    wait_for_the_headroom: admit().expected_wait(1, &load(9, 0)) => ms(150);
    admit_no_overtaking: admitted(2, load(9, 1), 9000) => "queue";
}

/// Symptom: refused callers come back too early, are refused again, and take it for a lie.
/// Sequence: a full queue. Cause: a fixed retry delay instead of the time the queue needs.
#[test]
fn retry_after_is_the_excess_wait() {
    for seed in 0..50 {
        let Admission::Refuse { retry_after } =
            admit().admit(0, &load(10, 3), ms(0), ms(900), seed)
        else {
            panic!("not refused");
        };
        // Seven completions at 50 ms, less the 190 ms that the target allows; a quarter of jitter.
        assert!((ms(160)..ms(200)).contains(&retry_after), "{retry_after:?}");
    }
}

fn asked(slots: u32) -> Demand {
    let mut demand = Demand::new(ms(0));
    demand.tick(ms(100), slots * 10, ms(10));
    demand
}

/// Allowance after a while next to a region of a hundred slots that carries `there` of them, for
/// one of two senders who shifts `shifted`.
fn allowance(shifted: u32, there: u32) -> Allowance {
    let mut allowance = Allowance::default();
    (0..30).for_each(|_| allowance.tick(&asked(there), 100, 20, &asked(shifted), 2));
    allowance
}

/// Thousandths to spill of `slots` asked when ten are open and a fifth is to stay free.
fn spilled(slots: u32) -> u32 {
    asked(slots).spill_permille(10, 20, &allowance(0, 40))
}

cases! {
    spill_none_at_headroom: spilled(8) => 0;
    spill_the_excess_alone: spilled(16) => 500;
    spill_headroom: asked(3).headroom_left_pct(10) => 70;
    probe_copy_to_due: due_probe(&[view(3, 0, 1), suspect(false), suspect(true)]) => Some(2);
    spill_all_without_slots: Demand::default().spill_permille(0, 20, &allowance(0, 0)) => 1000;
    spill_within_allowance: asked(16).spill_permille(10, 20, &allowance(2, 70)) / 10 => 28;
    allowance_of_room: allowance(0, 60).milli_slots() / 100 => 74;
    allowance_grows_on_use: allowance(10, 60).milli_slots() / 100 => 174;
    allowance_shrinks_past_headroom: allowance(10, 90).milli_slots() / 100 => 24;
    relief_after_three: { let mut r = Relief::default(); [6, 6, 6, 5, 6].map(|n| r.tick(100, n)) }
        => [false, false, true, false, false];
    spill_part: (0..1000).filter(|&seed| is_excess(250, seed)).count() / 50 => 5;
}

/// Entry beside one with 15 requests in flight and `waiting` on 15 slots that takes the next, of
/// entries which told of so many busy slots, have so many open, and have so many from here.
fn beside(waiting: u32, others: &[(u64, u32, u32)]) -> Option<usize> {
    let here = Occupancy::here(15, waiting, 15);
    let others = others
        .iter()
        .map(|&(busy, open, handed)| Occupancy::beside(busy * 1000, open, handed, 2));
    least_occupied(&here, others)
}

cases! {
    beside_none: beside(9, &[]) => None;
    beside_to_the_idle: beside(0, &[(9, 15, 0), (2, 15, 0)]) => Some(1);
    beside_by_share_not_count: beside(0, &[(4, 5, 0), (6, 15, 0)]) => Some(1);
    beside_never_without_slots: beside(50, &[(0, 0, 0)]) => None;
    beside_stays_where_all_are_full: beside(0, &[(15, 15, 0), (16, 15, 0)]) => None;
    beside_not_all_to_the_idle: beside(0, &[(9, 15, 0), (2, 15, 4)]) => Some(0);
    beside_not_behind_its_queue: beside(20, &[(2, 15, 17)]) => None;
    beside_from_a_queue: beside(20, &[(2, 15, 16)]) => Some(0);
    policy_names: Policy::ALL.map(|p| p.as_str().parse::<Policy>() == Ok(p)) => [true; 5];
    policy_unknown: "ring".parse::<Policy>() => Err(UnknownPolicy);
    freshness_young: Freshness::of_age(ms(2999), &FreshnessLimits::default()) => Freshness::Fresh;
    freshness_old: Freshness::of_age(ms(3000), &FreshnessLimits::default()) => Freshness::Old;
    smooth_first: smooth_latency(ms(0), ms(8)) => ms(8);
    smooth_up: smooth_latency(ms(8), ms(16)) => ms(9);
    smooth_down: smooth_latency(ms(16), ms(8)) => ms(15);
    headroom_of_probes: Capacity::of(&[suspect(true), suspect(false)]).headroom_left_pct() => 100;
    headroom_of_slots: Capacity::of(&[view(3, 2, 1), view(2, 1, 1)]).headroom_left_pct() => 40;
    headroom_of_none: Capacity::of(&[]).headroom_left_pct() => 0;
}

/// Credit is kept for a bad moment, but not for a storm of retries.
#[test]
fn retry_budget_saves_ten() {
    let mut budget = RetryBudget::new(50);
    (0..1000).for_each(|_| budget.offer());
    assert_eq!((0..99).filter(|_| budget.take()).count(), 10);
}

/// Symptom: requests fail for lack of a retry while an upstream warms up. Sequence: probes take the
/// whole budget, then a request breaks off. Cause: copies and retries draw on the same credit.
#[test]
fn copies_leave_half_of_the_saved_retries() {
    let mut budget = RetryBudget::new(50);
    (0..1000).for_each(|_| budget.offer());
    assert_eq!((0..99).filter(|_| budget.take_spare()).count(), 5);
    assert_eq!((0..99).filter(|_| budget.take()).count(), 5);
}

/// Hedging stays off until told, and then only for quick idempotent classes with slots to spare.
#[test]
fn hedge_only_from_spare_headroom() {
    let mut seen = LatencyHistogram::default();
    (1..=1000).for_each(|n| seen.record(Duration::from_micros(n * 100)));
    assert_eq!(Hedge::default().after(&QUICK, &seen), None);
    let hedge = Hedge::new(HedgeSettings {
        enabled: true,
        ..HedgeSettings::default()
    });
    let after = hedge.after(&QUICK, &seen).unwrap();
    assert!((ms(95)..ms(115)).contains(&after), "{after:?}");
    assert_eq!(hedge.after(&FILING, &seen), None);
    let mut budget = RetryBudget::new(99);
    (0..11).for_each(|_| budget.offer());
    assert!(!hedge.take(&QUICK, 40, &mut budget));
    assert!(hedge.take(&QUICK, 41, &mut budget));
    assert!(!hedge.take(&QUICK, 41, &mut budget));
}
