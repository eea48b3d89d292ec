//! Table-driven tests of each decision.

use std::time::Duration;
use steer::*;

/// Generates one test per case: its name, an expression and the expected value.
macro_rules! cases {
    ($($name:ident: $got:expr => $want:expr;)*) => {
        $(#[test] fn $name() { assert_eq!($got, $want); })*
    };
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn view(usable: u32, in_flight: u32, latency_ms: u64) -> UpstreamView {
    UpstreamView {
        usable,
        in_flight,
        latency: ms(latency_ms),
        ..UpstreamView::default()
    }
}

fn least_loaded(views: &[UpstreamView]) -> Option<usize> {
    let chosen: Vec<_> = (0..16)
        .map(|seed| LeastLoaded::default().choose(views, ms(0), seed))
        .collect();
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]));
    chosen[0]
}

fn suspect(probe_due: bool) -> UpstreamView {
    UpstreamView {
        suspect: true,
        probe_due,
        ..view(3, 0, 1)
    }
}

fn reported(in_flight: u32, queued: u32) -> UpstreamView {
    let report = LoadReport {
        in_flight,
        queued,
        slots: 9,
        age: ms(100),
    };
    UpstreamView {
        reported: Some(report),
        ..view(8, 3, 10)
    }
}

cases! {
    choose_none_without_upstreams: least_loaded(&[]) => None;
    choose_least_loaded: least_loaded(&[view(3, 2, 10), view(3, 1, 10)]) => Some(1);
    choose_by_fraction_not_count: least_loaded(&[view(2, 1, 10), view(9, 2, 10)]) => Some(1);
    choose_fast_before_idle: least_loaded(&[view(3, 0, 80), view(3, 2, 10)]) => Some(1);
    choose_never_above_usable: least_loaded(&[view(3, 3, 1), view(1, 0, 900)]) => Some(1);
    choose_none_when_full: least_loaded(&[view(3, 3, 1), view(0, 0, 1)]) => None;
    choose_never_above_slow_start: least_loaded(&[UpstreamView { slow_start_limit: 1, ..view(3, 1, 1) }]) => None;
    choose_never_leaving: least_loaded(&[UpstreamView { leaving: true, ..view(3, 0, 1) }]) => None;
    choose_fresh_first: least_loaded(&[UpstreamView { fresh: false, ..view(3, 0, 1) }, view(3, 2, 50)]) => Some(1);
    choose_stale_alone: least_loaded(&[UpstreamView { fresh: false, ..view(3, 0, 1) }]) => Some(0);
    choose_no_suspect: least_loaded(&[suspect(false), view(3, 2, 50)]) => Some(1);
    choose_no_suspect_alone: least_loaded(&[suspect(false)]) => None;
    choose_due_probe: least_loaded(&[suspect(true), view(3, 0, 50)]) => Some(0);
    choose_one_probe: least_loaded(&[UpstreamView { in_flight: 1, ..suspect(true) }, view(3, 0, 9)]) => Some(1);
    report_of_idle_does_not_raise: reported(0, 0).limit() => 8;
    report_of_queue_lowers: reported(9, 3).limit() => 6;
    report_of_endless_queue_leaves_one: reported(0, 9999).limit() => 1;
}

const SIX_PROBES: SlowStartSettings = SlowStartSettings {
    probe_window: 6,
    ..SlowStartSettings::DEFAULT
};

/// Guards against a latency peak when a cold region takes load again, which occurs if slots are
/// opened faster than the cache warms: a cold start with slow probes, fast probes, then full windows.
#[test]
fn slow_start_follows_latency() {
    let mut slow_start = SlowStart::warm(SIX_PROBES);
    slow_start.observe(ms(0), &WindowStats::response(ms(10)), 3, Freshness::Fresh);
    slow_start.restart(ms(0), SlowStartCause::ColdStart, None, true);
    assert!(slow_start.probe_due(ms(0)));
    slow_start.probe_sent(ms(0));
    assert!(!slow_start.probe_due(ms(49)) && slow_start.probe_due(ms(50)));
    let step = |slow_start: &mut SlowStart, at, latency, answers| {
        for _ in 0..answers {
            slow_start.observe(
                ms(at),
                &WindowStats::response(ms(latency)),
                3,
                Freshness::Fresh,
            );
        }
        (slow_start.phase(), slow_start.limit())
    };
    assert_eq!(
        step(&mut slow_start, 250, 50, 12),
        (SlowStartPhase::Probing, 2)
    );
    assert_eq!(
        step(&mut slow_start, 500, 11, 6),
        (SlowStartPhase::Opening, 2)
    );
    assert_eq!(
        step(&mut slow_start, 510, 11, 3),
        (SlowStartPhase::Opening, 2)
    );
    assert_eq!(
        step(&mut slow_start, 510, 11, 1),
        (SlowStartPhase::Opening, 3)
    );
    assert_eq!(
        step(&mut slow_start, 520, 14, 6),
        (SlowStartPhase::Opening, 3)
    );
    assert_eq!(
        step(&mut slow_start, 530, 16, 6),
        (SlowStartPhase::Opening, 1)
    );
    assert_eq!(
        step(&mut slow_start, 540, 10, 40),
        (SlowStartPhase::Opening, 1)
    );
    assert_eq!(
        step(&mut slow_start, 1031, 10, 2),
        (SlowStartPhase::Opening, 2)
    );
    assert_eq!(
        step(&mut slow_start, 1040, 10, 4),
        (SlowStartPhase::Opening, 3)
    );
    assert_eq!(
        step(&mut slow_start, 1050, 10, 6),
        (SlowStartPhase::Warm, NO_LIMIT)
    );
    slow_start.restart(ms(2000), SlowStartCause::RegionReturn, None, true);
    assert_eq!(
        step(&mut slow_start, 2000, 10, 6),
        (SlowStartPhase::Opening, 2)
    );
    assert_eq!(
        step(&mut slow_start, 2010, 16, 4),
        (SlowStartPhase::Probing, 1)
    );
    assert_eq!(
        step(&mut slow_start, 2020, 50, 1),
        (SlowStartPhase::Probing, 1)
    );
    assert_eq!(
        step(&mut slow_start, 2030, 50, 1),
        (SlowStartPhase::Probing, 2)
    );
    slow_start.observe(ms(2040), &failed(1, 0, 0), 3, Freshness::Fresh);
    assert_eq!(
        (slow_start.phase(), slow_start.limit()),
        (SlowStartPhase::Probing, 1)
    );
}

/// Guards against a warm upstream that receives only probes for seconds. It occurs if cold and warm
/// probes are evaluated in one window that is found slow and then dropped as a whole.
#[test]
fn probing_ends_six_probes_after_the_last_cold_one() {
    let mut slow_start = SlowStart::warm(SIX_PROBES);
    slow_start.observe(ms(0), &WindowStats::response(ms(10)), 3, Freshness::Fresh);
    slow_start.restart(ms(0), SlowStartCause::ColdStart, None, true);
    let mut probe = |latency| {
        slow_start.observe(
            ms(0),
            &WindowStats::response(ms(latency)),
            3,
            Freshness::Fresh,
        );
        slow_start.phase()
    };
    let phases: Vec<SlowStartPhase> = [50; 5].into_iter().chain([11; 6]).map(&mut probe).collect();
    assert_eq!(phases[..10], [SlowStartPhase::Probing; 10]);
    assert_eq!(phases[10], SlowStartPhase::Opening);
}

/// Guards against an upstream that idles next to busy ones while its slots open. It occurs if the
/// latencies observed while it was cold make it look slow, and no newer ones are ever observed.
#[test]
fn idle_upstream_gets_probes_while_opening() {
    let mut slow_start = SlowStart::warm(SlowStartSettings::default());
    slow_start.observe(ms(0), &WindowStats::response(ms(10)), 9, Freshness::Fresh);
    assert!(
        !slow_start.probe_due(ms(9000)),
        "a warm upstream needs no probe"
    );
    slow_start.restart(ms(0), SlowStartCause::Silence, None, true);
    slow_start.observe(ms(100), &WindowStats::response(ms(10)), 9, Freshness::Fresh);
    assert!(!slow_start.probe_due(ms(399)) && slow_start.probe_due(ms(400)));
    slow_start.probe_sent(ms(400));
    assert!(!slow_start.probe_due(ms(699)) && slow_start.probe_due(ms(700)));
}

/// Guards against callers that queue or are shifted to a distant region although their own region
/// would respond sooner. It occurs when a whole region returns cold and slow start waits for a warm
/// latency that none of its upstreams can reach.
#[test]
fn slow_start_opens_by_count_without_an_alternative() {
    let mut slow_start = SlowStart::warm(SlowStartSettings::default());
    slow_start.restart(ms(0), SlowStartCause::RegionReturn, Some(ms(10)), false);
    let stats = |answers| WindowStats {
        responses: answers,
        latency_sum: ms(40) * answers,
        ..WindowStats::default()
    };
    for (answers, limit) in [(3, 2), (1, 3), (6, 4)] {
        slow_start.observe(ms(0), &stats(answers), 9, Freshness::Fresh);
        assert_eq!(
            (slow_start.phase(), slow_start.limit()),
            (SlowStartPhase::Opening, limit)
        );
    }
    slow_start.observe(ms(0), &failed(1, 0, 0), 9, Freshness::Fresh);
    assert_eq!(slow_start.limit(), 2);
}

/// Guards against refusals while slots idle. They occur when the few warm upstreams are full, the
/// others are cold, and slow start waits for the requests that it holds back.
#[test]
fn slow_start_opens_slots_for_unserved_work() {
    let mut slow_start = SlowStart::warm(SlowStartSettings::default());
    slow_start.restart(ms(0), SlowStartCause::RegionReturn, Some(ms(10)), true);
    for limit in 2..5 {
        slow_start.force_step(ms(0));
        assert_eq!(
            (slow_start.phase(), slow_start.limit()),
            (SlowStartPhase::Opening, limit)
        );
    }
}

/// Guards against slots that never open again. It occurs when an upstream returns on a slower
/// machine and cannot reach its old warm latency any more.
#[test]
fn slow_start_adapts_to_a_slower_machine() {
    let mut slow_start = SlowStart::warm(SlowStartSettings::default());
    slow_start.restart(ms(0), SlowStartCause::Silence, Some(ms(10)), true);
    for second in 0..60 {
        let stats = WindowStats {
            responses: 8,
            latency_sum: ms(160),
            ..WindowStats::default()
        };
        slow_start.observe(ms(1000 * second), &stats, 2, Freshness::Fresh);
    }
    assert_eq!(slow_start.phase(), SlowStartPhase::Warm);
}

fn raised(stats: WindowStats, times: u32) -> bool {
    raised_in(SlowStartPhase::Warm, stats, times)
}

fn raised_in(phase: SlowStartPhase, stats: WindowStats, times: u32) -> bool {
    let mut detector = FailureDetector::trusted(FailureDetectorSettings::default());
    for _ in 0..times {
        let _ = detector.observe(ms(0), &stats, Some(ms(10)), phase);
    }
    detector.is_suspected()
}

fn failed(timeouts: u32, refused: u32, truncated: u32) -> WindowStats {
    WindowStats {
        timeouts,
        refused,
        truncated,
        ..WindowStats::default()
    }
}

cases! {
    suspect_refused_at_once: raised(failed(0, 1, 0), 1) => true;
    suspect_one_timeout: raised(failed(1, 0, 0), 1) => false;
    suspect_two_timeouts: raised(failed(1, 0, 0), 2) => true;
    suspect_two_truncated: raised(failed(0, 0, 1), 2) => true;
    suspect_slow: raised(WindowStats::response(ms(31)), 8) => true;
    suspect_slow_while_opening: raised_in(SlowStartPhase::Opening, WindowStats::response(ms(31)), 8) => true;
    suspect_slow_while_probing: raised_in(SlowStartPhase::Probing, WindowStats::response(ms(40)), 99) => false;
    suspect_failed_while_probing: raised_in(SlowStartPhase::Probing, failed(0, 1, 0), 1) => true;
    suspect_not_slow: raised(WindowStats::response(ms(29)), 99) => false;
    suspect_penalty_decreases: raised(WindowStats { responses: 16, latency_sum: ms(160), ..failed(1, 0, 0) }, 9) => false;
    median_latency_skips_unknown: FailureDetector::median_latency(&mut [ms(0), ms(9), ms(1), ms(5)]) => Some(ms(5));
    median_latency_of_none: FailureDetector::median_latency(&mut [ms(0)]) => None;
}

/// Guards against requests that fail at a recovering upstream, which occurs if several probes are
/// in flight or probes have no backoff: a refused connection, a failed probe, then successful ones.
#[test]
fn suspect_recovers_by_single_probes() {
    let mut detector = FailureDetector::trusted(FailureDetectorSettings::default());
    let sibling_latency = Some(ms(10));
    let refused = failed(0, 1, 0);
    let raised = detector.observe(ms(0), &refused, sibling_latency, SlowStartPhase::Warm);
    assert_eq!(raised, Some(SuspicionChange::Raised));
    // Late responses to requests sent before the suspicion do not count as probes.
    assert_eq!(
        detector.observe(
            ms(1),
            &WindowStats::response(ms(9)),
            sibling_latency,
            SlowStartPhase::Warm
        ),
        None
    );
    assert!(!detector.probe_due(ms(499)) && detector.probe_due(ms(500)));
    detector.probe_sent();
    assert!(!detector.probe_due(ms(5000)));
    let _ = detector.observe(ms(600), &refused, sibling_latency, SlowStartPhase::Warm);
    assert!(!detector.probe_due(ms(1599)) && detector.probe_due(ms(1600)));
    for (at, want) in [(1600, None), (1601, Some(SuspicionChange::Cleared))] {
        assert!(detector.probe_due(ms(at)));
        detector.probe_sent();
        let change = detector.observe(
            ms(at),
            &WindowStats::response(ms(11)),
            sibling_latency,
            SlowStartPhase::Warm,
        );
        assert_eq!(change, want);
    }
}

const QUICK: ClassTarget = ClassTarget {
    latency_target: ms(200),
    headroom_pct: 20,
    idempotent: true,
    priority: None,
};
const NOT_IDEMPOTENT: ClassTarget = ClassTarget {
    idempotent: false,
    ..QUICK
};

fn region(expected_ms: u64, headroom_left_pct: u32) -> RegionEstimate {
    RegionEstimate {
        wait: ms(0),
        service_time: ms(expected_ms),
        round_trip: ms(0),
        headroom_left_pct,
        admitting: true,
        shift_allowed: true,
        freshness: Freshness::Fresh,
        drained: false,
    }
}

fn drained(estimate: RegionEstimate) -> RegionEstimate {
    RegionEstimate {
        drained: true,
        ..estimate
    }
}

fn lost(estimate: RegionEstimate) -> RegionEstimate {
    RegionEstimate {
        admitting: false,
        ..estimate
    }
}

fn old(estimate: RegionEstimate) -> RegionEstimate {
    RegionEstimate {
        freshness: Freshness::Old,
        ..estimate
    }
}

fn capped(estimate: RegionEstimate) -> RegionEstimate {
    RegionEstimate {
        shift_allowed: false,
        ..estimate
    }
}

/// Places a request in region 0 whose caller prefers the regions in index order.
fn placed(target: ClassTarget, previous: Option<usize>, estimates: &[RegionEstimate]) -> Placement {
    let question = PlacementQuery {
        exceeds_headroom: estimates[0].headroom_left_pct <= target.headroom_pct,
        local_region: 0,
        preference: &[0, 1, 2][..estimates.len()],
        estimates,
        target: &target,
        previous,
        deadline_left: ms(1000),
    };
    place(&question, &PlacementSettings::default())
}

use Placement::{Local, Refuse, Shift};

cases! {
    place_local: placed(QUICK, None, &[region(10, 50), region(120, 90)]) => Local;
    place_small_gain_stays: placed(QUICK, None, &[region(100, 50), region(80, 90)]) => Local;
    place_gain_shifts: placed(QUICK, None, &[region(100, 50), region(70, 90)]) => Shift(1);
    place_not_idempotent_stays: placed(NOT_IDEMPOTENT, None, &[region(100, 50), region(70, 90)]) => Local;
    place_small_gain_keeps_shift: placed(QUICK, Some(1), &[region(100, 50), region(87, 90)]) => Shift(1);
    place_too_small_gain_ends_shift: placed(QUICK, Some(1), &[region(100, 50), region(88, 90)]) => Local;
    place_small_gain_starts_no_shift: placed(QUICK, None, &[region(100, 50), region(87, 90)]) => Local;
    place_spill: placed(NOT_IDEMPOTENT, None, &[region(10, 20), region(120, 90)]) => Shift(1);
    place_spill_to_best: placed(QUICK, None, &[region(10, 9), region(120, 90), region(60, 30)]) => Shift(2);
    place_no_spill_without_room: placed(QUICK, None, &[region(10, 9), region(120, 20)]) => Local;
    place_no_spill_past_cap: placed(QUICK, None, &[region(10, 9), capped(region(120, 90))]) => Local;
    place_no_spill_past_deadline: placed(QUICK, None, &[region(10, 9), region(1200, 90)]) => Local;
    place_no_new_shift_on_old: placed(QUICK, None, &[region(10, 9), old(region(120, 90))]) => Local;
    place_old_shift_goes_on: placed(QUICK, Some(1), &[region(10, 9), old(region(120, 90))]) => Shift(1);
    place_drained_local: placed(NOT_IDEMPOTENT, None, &[drained(region(10, 99)), region(120, 90)]) => Shift(1);
    place_lost_local_old_remote: placed(QUICK, None, &[lost(region(10, 99)), old(region(120, 90))]) => Shift(1);
    place_no_region: placed(QUICK, None, &[lost(region(10, 99)), drained(region(120, 90))])
        => Refuse { retry_after: ms(10_000) };
    place_retry_from_wait: placed(QUICK, None, &[drained(region(10, 99)), RegionEstimate { wait: ms(400), ..region(120, 5) }])
        => Refuse { retry_after: ms(400) };
}

/// Number of displaced callers, of 1000, that each region takes.
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

fn admit() -> AdmissionControl {
    let lenient = ClassTarget {
        latency_target: ms(30_000),
        headroom_pct: 10,
        ..QUICK
    };
    let ranked = ClassTarget {
        priority: Some(1),
        headroom_pct: 30,
        ..lenient
    };
    AdmissionControl::new(vec![QUICK, lenient, ranked], 4)
}

fn load(in_flight: u32, queued: u32) -> Load {
    let (service, completion_gap) = (ms(10), ms(50));
    Load {
        slots: 10,
        in_flight,
        queued_ahead: queued,
        queued,
        service_time: service,
        completion_interval: completion_gap,
    }
}

fn admitted(class: usize, load: Load, deadline_left_ms: u64) -> &'static str {
    match admit().admit(class, &load, ms(0), ms(deadline_left_ms), 7) {
        Admission::Send => "send",
        Admission::Queue { .. } => "queue",
        Admission::Refuse { retry_after } if retry_after > ms(0) => "refuse",
        Admission::Refuse { .. } => "refuse without delay",
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

/// Guards against callers that retry too early and are refused again. It occurs if a full queue
/// gives a fixed retry delay instead of the time that the queue needs.
#[test]
fn retry_after_is_the_excess_wait() {
    for seed in 0..50 {
        let Admission::Refuse { retry_after } =
            admit().admit(0, &load(10, 3), ms(0), ms(900), seed)
        else {
            panic!("not refused");
        };
        // Seven completions at 50 ms, less the 190 ms that the target allows, plus up to 25% jitter.
        assert!((ms(160)..ms(200)).contains(&retry_after), "{retry_after:?}");
    }
}

fn demand_of(slots: u32) -> Demand {
    let mut demand = Demand::new(ms(0));
    demand.tick(ms(100), slots * 10, ms(10));
    demand
}

/// Settled allowance for a region with 100 slots that carries a demand of `carried` slots, for one
/// of two senders, which shifts a demand of `shifted` slots.
fn allowance(shifted: u32, carried: u32) -> Allowance {
    let mut allowance = Allowance::default();
    (0..30).for_each(|_| allowance.tick(&demand_of(carried), 100, 20, &demand_of(shifted), 2));
    allowance
}

/// Thousandths to spill of a demand of `slots` with ten open slots and 20% headroom.
fn spilled(slots: u32) -> u32 {
    demand_of(slots).spill_permille(10, 20, &allowance(0, 40))
}

cases! {
    spill_none_at_headroom: spilled(8) => 0;
    spill_the_excess_alone: spilled(16) => 500;
    spill_headroom: demand_of(3).headroom_left_pct(10) => 70;
    probe_copy_to_due: due_probe(&[view(3, 0, 1), suspect(false), suspect(true)]) => Some(2);
    spill_all_without_slots: Demand::default().spill_permille(0, 20, &allowance(0, 0)) => 1000;
    spill_within_allowance: demand_of(16).spill_permille(10, 20, &allowance(2, 70)) / 10 => 28;
    allowance_of_room: allowance(0, 60).milli_slots() / 100 => 74;
    allowance_grows_on_use: allowance(10, 60).milli_slots() / 100 => 174;
    allowance_shrinks_past_headroom: allowance(10, 90).milli_slots() / 100 => 24;
    unserved_after_three_ticks: { let mut r = StarvationDetector::default(); [6, 6, 6, 5, 6].map(|n| r.tick(100, n)) }
        => [false, false, true, false, false];
    spill_fraction: (0..1000).filter(|&seed| is_excess(250, seed)).count() / 50 => 5;
}

/// Peer that takes the next request of an entry with 15 requests in flight and `queued` on 15 slots.
///
/// Each peer is given by its reported busy slots, its open slots and the requests outstanding there.
fn least_occupied_peer(queued: u32, others: &[(u64, u32, u32)]) -> Option<usize> {
    let local = Occupancy::local(15, queued, 15);
    let others = others.iter().map(|&(reported, open, outstanding)| {
        Occupancy::peer(reported * 1000, open, outstanding, 2)
    });
    least_occupied(&local, others)
}

cases! {
    peer_none: least_occupied_peer(9, &[]) => None;
    peer_least_busy: least_occupied_peer(0, &[(9, 15, 0), (2, 15, 0)]) => Some(1);
    peer_by_fraction_not_count: least_occupied_peer(0, &[(4, 5, 0), (6, 15, 0)]) => Some(1);
    peer_never_without_slots: least_occupied_peer(50, &[(0, 0, 0)]) => None;
    peer_none_when_all_are_full: least_occupied_peer(0, &[(15, 15, 0), (16, 15, 0)]) => None;
    peer_counts_outstanding: least_occupied_peer(0, &[(9, 15, 0), (2, 15, 4)]) => Some(0);
    peer_not_with_longer_queue: least_occupied_peer(20, &[(2, 15, 17)]) => None;
    peer_with_shorter_queue: least_occupied_peer(20, &[(2, 15, 16)]) => Some(0);
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

/// The budget saves credit for a burst of failures, but not for a retry storm.
#[test]
fn retry_budget_saves_ten() {
    let mut budget = RetryBudget::new(50);
    (0..1000).for_each(|_| budget.record_request());
    assert_eq!((0..99).filter(|_| budget.take()).count(), 10);
}

/// Guards against requests that fail for lack of a retry while an upstream warms up. It occurs if
/// probe copies use up the credit that they share with retries before a request breaks off.
#[test]
fn copies_leave_half_of_the_saved_retries() {
    let mut budget = RetryBudget::new(50);
    (0..1000).for_each(|_| budget.record_request());
    assert_eq!((0..99).filter(|_| budget.take_for_probe()).count(), 5);
    assert_eq!((0..99).filter(|_| budget.take()).count(), 5);
}

/// Hedging is off by default, and otherwise only for quick idempotent classes with spare slots.
#[test]
fn hedge_only_from_spare_headroom() {
    let mut latencies = LatencyHistogram::default();
    (1..=1000).for_each(|n| latencies.record(Duration::from_micros(n * 100)));
    assert_eq!(HedgePolicy::default().delay(&QUICK, &latencies), None);
    let hedge = HedgePolicy::new(HedgeSettings {
        enabled: true,
        ..HedgeSettings::default()
    });
    let delay = hedge.delay(&QUICK, &latencies).unwrap();
    assert!((ms(95)..ms(115)).contains(&delay), "{delay:?}");
    assert_eq!(hedge.delay(&NOT_IDEMPOTENT, &latencies), None);
    let mut budget = RetryBudget::new(99);
    (0..11).for_each(|_| budget.record_request());
    assert!(!hedge.take(&QUICK, 40, &mut budget));
    assert!(hedge.take(&QUICK, 41, &mut budget));
    assert!(!hedge.take(&QUICK, 41, &mut budget));
}
