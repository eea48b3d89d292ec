//! Tests of the selection of an upstream, and of the estimates of service times.

use balance::{
    affinity_hash,
    choose,
    rendezvous_score,
    Choice,
    LoadReport,
    Location,
    Query,
    ServiceTimes,
    StatedSpeed,
    Upstream,
    UsualSpeed, //
};
use base::{
    Now,
    RegionId, //
};
use std::time::Duration;

const NOW: Now = Duration::from_secs(100);
const HOME: RegionId = RegionId::from_static("home");

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(id: &'static str, region: &'static str) -> Upstream {
    upstream_in(id, region, "a")
}

fn upstream_in(id: &'static str, region: &'static str, domain: &'static str) -> Upstream {
    Upstream::new(id.into(), region.into(), domain.into(), 4)
}

fn here() -> Location {
    let mut here = Location {
        region: HOME,
        failure_domain: "a".into(),
        ..Location::default()
    };
    here.round_trips.insert("near".into(), ms(20));
    here.round_trips.insert("far".into(), ms(110));
    here
}

/// Service times of 100 ms if warm and 300 ms if cold; all upstreams assumed to be warm were warm.
fn reliable_times() -> ServiceTimes {
    let mut times = ServiceTimes::default();
    times.note(false, ms(300), NOW);
    for _ in 0..100 {
        times.note(true, ms(100), NOW);
        times.note(false, ms(100), NOW);
    }
    times
}

/// The same service times; no upstream assumed to be warm was warm.
fn unreliable_times() -> ServiceTimes {
    let mut times = ServiceTimes::default();
    times.note(false, ms(300), NOW);
    for _ in 0..100 {
        times.note(true, ms(100), NOW);
    }
    times
}

fn query(key: u64) -> Query<'static> {
    Query {
        key,
        has_affinity_key: true,
        target_left: ms(400),
        deadline_left: ms(2000),
        home_regions: [&[], &[]],
        tried: &[],
        shift_limited_regions: &[],
        cold_per_s: 10.0,
        service_times: reliable_times(),
        ..Query::default()
    }
}

fn sent_to(choice: Choice) -> usize {
    match choice {
        Choice::Send { index: place, .. } => place,
        other => panic!("not sent: {other:?}"),
    }
}

/// Returns a key that ranks the upstreams in this order.
fn key_for(upstreams: &[Upstream], order: &[usize]) -> u64 {
    let is_in_order = |key: &u64| {
        let scores: Vec<u64> = order
            .iter()
            .map(|index| rendezvous_score(*key, upstreams[*index].hash))
            .collect();
        scores.windows(2).all(|pair| pair[0] > pair[1])
    };
    (0..100_000_u64)
        .map(|number| affinity_hash(&number.to_le_bytes()))
        .find(is_in_order)
        .expect("a key with this order")
}

/// Guards against an upstream that is removed moving keys of other upstreams.
#[test]
fn ranks_are_stable() {
    let mut all = vec![
        upstream("a", "home"),
        upstream("b", "home"),
        upstream("c", "home"),
    ];
    let first: Vec<usize> = (0..300)
        .map(|number: u64| {
            sent_to(choose(
                &mut all,
                &query(affinity_hash(&number.to_le_bytes())),
                &here(),
                NOW,
            ))
        })
        .collect();
    for index in 0..3 {
        let count = first.iter().filter(|found| **found == index).count();
        assert!((60..140).contains(&count), "{count}");
    }
    all[1].closed = true;
    for (number, before) in (0..300_u64).zip(first) {
        let after = sent_to(choose(
            &mut all,
            &query(affinity_hash(&number.to_le_bytes())),
            &here(),
            NOW,
        ));
        assert!(before == after || before == 1);
    }
}

/// Guards against using any upstream with a free slot. Under high load, requests that full upstreams displaced made the
/// other upstreams evict their own keys, until keys were cold everywhere and 4 % of look-ups met the target.
#[test]
fn load_does_not_spread_keys_over_all_upstreams() {
    let mut all: Vec<Upstream> = ["a", "b", "c", "d", "e", "f"]
        .map(|id| upstream(id, "home"))
        .to_vec();
    let key = key_for(&all, &[0, 1, 2, 3, 4, 5]);
    for index in [0, 1, 2] {
        all[index].in_flight = 40;
    }
    let choice = choose(&mut all, &query(key), &here(), NOW);
    assert!(matches!(choice, Choice::Refuse { .. }), "{choice:?}");
}

/// If the upstream that a key ranks highest is full, the second one is used.
#[test]
fn second_rank_is_used_if_the_first_is_full() {
    let mut all = vec![
        upstream("a", "home"),
        upstream("b", "home"),
        upstream("c", "home"),
    ];
    let key = key_for(&all, &[2, 0, 1]);
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 2);
    // With the wait, a warm response would miss the target.
    all[2].in_flight = 16;
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 0);
}

/// A warm upstream in another region is preferred to a cold one in this region that would miss the target.
#[test]
fn warm_remote_upstream_is_preferred_to_cold_local_one() {
    let mut all = vec![
        upstream("h", "home"),
        upstream("n", "near"),
        upstream("m", "near"),
        upstream("f", "far"),
    ];
    let key = key_for(&all, &[1, 2, 3, 0]);
    let query = |key| Query {
        target_left: ms(250),
        service_times: unreliable_times(),
        ..query(key)
    };
    // While no upstream is known to be warm, one in the caller's region is warmed.
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 0);
    all[1].warm_keys.note(key, NOW);
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 1);
    // Once the upstream in this region is warm, it is used.
    all[0].warm_keys.note(key, NOW);
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 0);
    // Regions excluded by the limit on shifts or by the route's home regions are not used.
    all[0] = upstream("h", "home");
    let full = [RegionId::from_static("near"), RegionId::from_static("far")];
    let shift_limited = Query {
        shift_limited_regions: &full,
        ..query(key)
    };
    assert_eq!(sent_to(choose(&mut all, &shift_limited, &here(), NOW)), 0);
    let homes = [RegionId::from_static("far")];
    let far_only = Query {
        home_regions: [&homes, &[]],
        ..query(key)
    };
    assert_eq!(sent_to(choose(&mut all, &far_only, &here(), NOW)), 3);
}

/// Guards against ranking a key's upstreams over all regions although callers of one region share its keys. Each key
/// went to the highest rank of all regions, and entries that did not know of that upstream warmed further ones: a sixth
/// of all responses were late though their keys had been served before, and half of all bytes left the caller's failure
/// domain.
#[test]
fn key_stays_in_its_callers_region() {
    let mut all = vec![
        upstream("h", "home"),
        upstream_in("i", "home", "b"),
        upstream("n", "near"),
        upstream("f", "far"),
    ];
    for number in 0..100_u64 {
        let key = affinity_hash(&number.to_le_bytes());
        let first = Query {
            target_left: ms(250),
            service_times: unreliable_times(),
            ..query(key)
        };
        let index = sent_to(choose(&mut all, &first, &here(), NOW));
        let highest = if rendezvous_score(key, all[0].hash) > rendezvous_score(key, all[1].hash) {
            0
        } else {
            1
        };
        assert_eq!(index, highest, "entries of both failure domains agree");
    }
}

/// Of the upstreams that answer within the target, the nearest is used, unless its wait is too long.
#[test]
fn nearest_upstream_within_target_is_used() {
    let mut all = vec![
        upstream("h", "home"),
        upstream_in("i", "home", "b"),
        upstream("n", "near"),
    ];
    let key = key_for(&all, &[2, 1, 0]);
    for one in &mut all {
        one.warm_keys.note(key, NOW);
    }
    // Half of the slots of each region are busy.
    all[2].in_flight = 2;
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 0);
    all[0].in_flight = 10;
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 1);
    all[1].in_flight = 12;
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 2);
}

/// Guards against a cost of crossing failure domains for requests without a key. They all stayed in the entry's failure
/// domain, and an upstream in another one got no request as long as the nearer one had free slots.
#[test]
fn requests_without_a_key_are_spread_over_the_region() {
    let mut all = vec![upstream("h", "home"), upstream_in("i", "home", "b")];
    let mut counts = [0, 0];
    for number in 0..100_u64 {
        let unkeyed = Query {
            has_affinity_key: false,
            ..query(affinity_hash(&number.to_le_bytes()))
        };
        counts[sent_to(choose(&mut all, &unkeyed, &here(), NOW))] += 1;
    }
    assert!(counts.iter().all(|count| *count > 30), "{counts:?}");
}

/// Guards against keeping all requests in a region until no slot is free, since the limit on shifts lets few leave from
/// then on: a region with few upstreams refused a fifth of its requests for fourteen seconds while other regions were
/// idle. Here all but one slot are busy, and warm requests would still meet the target.
#[test]
fn requests_leave_a_busy_region_before_it_is_full() {
    let mut all = vec![upstream("h", "home"), upstream("n", "near")];
    for one in &mut all {
        one.warm_keys.note(7, NOW);
    }
    assert_eq!(sent_to(choose(&mut all, &query(7), &here(), NOW)), 0);
    all[0].in_flight = 3;
    assert_eq!(sent_to(choose(&mut all, &query(7), &here(), NOW)), 1);
    all[1].in_flight = 2;
    assert_eq!(sent_to(choose(&mut all, &query(7), &here(), NOW)), 0);
}

/// Guards against a key that is warmed at a second upstream because the warm one is in another failure domain.
#[test]
fn request_uses_the_warm_upstream_outside_its_failure_domain() {
    let mut all = vec![
        upstream("h", "home"),
        upstream_in("i", "home", "b"),
        upstream("n", "near"),
    ];
    let key = key_for(&all, &[1, 2, 0]);
    all[1].warm_keys.note(key, NOW);
    let query = Query {
        service_times: unreliable_times(),
        target_left: ms(250),
        ..query(key)
    };
    for in_flight in 0..4 {
        all[1].in_flight = in_flight;
        assert_eq!(sent_to(choose(&mut all, &query, &here(), NOW)), 1);
    }
}

/// Upstreams that must not be chosen, by the reason.
macro_rules! never_chosen {
    ($($name:ident: $exclude:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut all = vec![upstream("a", "home")];
            let exclude: fn(&mut Upstream) = $exclude;
            exclude(&mut all[0]);
            let choice = choose(&mut all, &query(7), &here(), NOW);
            assert!(matches!(choice, Choice::NoUpstream { .. }), "{choice:?}");
        }
    )*};
}

never_chosen! {
    closed: |upstream| upstream.closed = true;
    cold_at_its_limit: |upstream| {
        upstream.cold_until = NOW + Duration::from_secs(1);
        upstream.lease_until = Some(NOW + Duration::from_secs(1));
        for _ in 0..8 {
            upstream.cold_start_limiter.note_sent(NOW);
        }
    };
    cold_in_another_region: |upstream| {
        upstream.region = "near".into();
        upstream.cold_until = NOW + Duration::from_secs(1);
    };
    cold_without_a_lease: |upstream| upstream.cold_until = NOW + Duration::from_secs(1);
    cold_with_an_expired_lease: |upstream| {
        upstream.cold_until = NOW + Duration::from_secs(1);
        upstream.lease_until = Some(NOW);
    };
    limited_without_a_lease: |upstream| upstream.limit_per_s = Some(100.0);
    limited_at_its_limit: |upstream| {
        upstream.limit_per_s = Some(6.4);
        upstream.lease_until = Some(NOW + Duration::from_secs(1));
        for _ in 0..6 {
            upstream.note_sent(NOW);
        }
    };
    limited_and_cold_at_its_limit: |upstream| {
        upstream.limit_per_s = Some(100.0);
        upstream.cold_until = NOW + Duration::from_secs(1);
        upstream.lease_until = Some(NOW + Duration::from_secs(1));
        for _ in 0..8 {
            upstream.note_sent(NOW);
        }
    };
    paused: |upstream| upstream.note_pause(ms(1), NOW);
    paused_for_less_than_before: |upstream| {
        upstream.note_pause(ms(3000), Duration::from_secs(98));
        upstream.note_pause(ms(100), Duration::from_secs(99));
    };
    paused_without_end: |upstream| upstream.note_pause(Duration::MAX, NOW);
    unreachable: |upstream| {
        upstream.health.note_failure(true, NOW);
    };
    probe_in_flight: |upstream| {
        upstream.health.note_failure(true, Duration::ZERO);
        upstream.in_flight = 1;
    };
}

/// Guards against an upstream that is left unused after the pause it asked for.
#[test]
fn paused_upstream_is_used_again() {
    let mut all = vec![upstream("a", "home")];
    all[0].note_pause(ms(3000), NOW);
    let choice = choose(&mut all, &query(7), &here(), NOW + ms(3000));
    assert_eq!(sent_to(choice), 0);
}

/// Guards against a `Retry-After` that is over while all upstreams are still paused.
macro_rules! told_when_a_pause_ends {
    ($($name:ident: $pauses_ms:expr => $retry_after_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let pauses_ms: &[u64] = &$pauses_ms;
            let mut all = vec![upstream("a", "home"), upstream("b", "home")];
            for (upstream, pause_ms) in all.iter_mut().zip(pauses_ms) {
                upstream.note_pause(ms(*pause_ms), NOW);
            }
            let query = Query { tried: &[0, 1], ..query(7) };
            let choice = choose(&mut all, &query, &here(), NOW);
            assert_eq!(choice, Choice::NoUpstream { retry_after: ms($retry_after_ms) });
        }
    )*};
}

told_when_a_pause_ends! {
    told_when_the_first_of_two_pauses_ends: [5000, 3000] => 3000;
    told_the_usual_time_if_one_is_not_paused: [5000] => 300;
    told_the_usual_time_if_a_pause_ends_sooner: [5000, 200] => 300;
}

/// An upstream that has become slow is avoided.
#[test]
fn slow_upstream_is_avoided() {
    let mut all = vec![upstream("a", "home"), upstream("b", "home")];
    let key = key_for(&all, &[0, 1]);
    for _ in 0..30 {
        all[0].health.note_response(ms(1500), NOW);
    }
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 1);
}

/// Guards against an upstream that is avoided for good because it was slow once, and against a crowd that tries it again.
#[test]
fn slow_upstream_is_tried_again_by_one_request() {
    let mut all = vec![upstream("a", "home"), upstream("b", "home")];
    let key = key_for(&all, &[0, 1]);
    all[0].health.note_response(ms(1500), NOW);
    let later = NOW + Duration::from_secs(6);
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), later)), 0);
    all[0].in_flight = 1;
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), later)), 1);
    all[0].in_flight = 0;
    all[0].health.note_response(ms(1500), later);
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), later)), 1);
    all[0]
        .health
        .note_response(ms(100), later + Duration::from_secs(6));
    let reset = later + Duration::from_secs(6);
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), reset)), 0);
}

/// Guards against a request that is refused because the upstream of its key is slow, while another is idle that would answer
/// it late but before its deadline.
#[test]
fn request_leaves_a_slow_upstream_that_would_miss_its_deadline() {
    let mut all = vec![upstream("a", "home"), upstream("b", "home")];
    let key = key_for(&all, &[0, 1]);
    all[0].health.note_response(ms(3000), NOW);
    let query = Query {
        target_left: ms(200),
        deadline_left: ms(900),
        ..query(key)
    };
    assert_eq!(sent_to(choose(&mut all, &query, &here(), NOW)), 1);
}

/// A request that would wait and miss its target is refused at once with a retry delay. One that misses its target
/// without waiting is sent.
#[test]
fn late_request_does_not_queue() {
    let mut all = vec![upstream("a", "home")];
    all[0].in_flight = 30;
    let choice = choose(&mut all, &query(3), &here(), NOW);
    let Choice::Refuse { retry_after, .. } = choice else {
        panic!("{choice:?}");
    };
    assert!(retry_after >= ms(500), "{retry_after:?}");
    all[0].in_flight = 0;
    let late = Query {
        target_left: Duration::ZERO,
        ..query(3)
    };
    assert_eq!(sent_to(choose(&mut all, &late, &here(), NOW)), 0);
    let past_deadline = Query {
        target_left: Duration::ZERO,
        deadline_left: ms(50),
        ..query(3)
    };
    assert!(matches!(
        choose(&mut all, &past_deadline, &here(), NOW),
        Choice::Refuse { .. }
    ));
}

/// The load from other entries counts: a new report first, then what those entries stated.
#[test]
fn load_from_other_entries_counts() {
    let mut one = upstream("a", "home");
    one.in_flight = 1;
    let reported = LoadReport {
        running: 4,
        waiting: 3,
        slots: 4,
        ..LoadReport::default()
    };
    one.note_report(reported, NOW);
    assert_eq!(one.load(NOW), 8.0);
    one.peers_in_flight = Some(2);
    assert_eq!(one.load(NOW + ms(500)), 3.0);
    one.peers_in_flight = None;
    assert_eq!(one.load(NOW + Duration::from_secs(3)), 1.0);
}

/// Guards against ejecting more upstreams than the others can replace: when each upstream of a service failed half of
/// its requests, one after another was ejected, and most requests were refused.
#[test]
fn upstreams_that_all_fail_partly_are_used() {
    let mut all = vec![
        upstream("a", "home"),
        upstream("b", "home"),
        upstream("c", "home"),
    ];
    for one in &mut all {
        for _ in 0..10 {
            one.health.note_failure(false, NOW);
        }
    }
    sent_to(choose(&mut all, &query(5), &here(), NOW));
    // If one of three fails, it is ejected.
    let mut all = vec![
        upstream("a", "home"),
        upstream("b", "home"),
        upstream("c", "home"),
    ];
    for _ in 0..10 {
        all[1].health.note_failure(false, NOW);
    }
    for number in 0..50_u64 {
        let key = affinity_hash(&number.to_le_bytes());
        assert_ne!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 1);
    }
}

/// Guards against service time estimates that include the wait in queues. Longer estimates let longer waits be
/// accepted: ten seconds after a burst most responses were still late, while none was right after a restart of all
/// entries.
#[test]
fn queueing_does_not_raise_the_service_time() {
    let mut times = ServiceTimes::default();
    for _ in 0..100 {
        times.note(true, ms(100), NOW);
    }
    // Three of four responses include a wait, although none was expected.
    for _ in 0..100 {
        for time_ms in [400, 500, 110, 350] {
            times.note(true, ms(time_ms), NOW);
        }
    }
    assert!(times.warm() < ms(260), "{:?}", times.warm());
    for _ in 0..20 {
        times.note(true, ms(100), NOW);
    }
    assert!(times.warm() < ms(120), "{:?}", times.warm());
}

/// Guards against assuming that upstreams are warm before any has served a request. With all caches empty, each key
/// went to its highest rank in any region, which added a round trip to the cold service time: more than half of all
/// responses were late in the first two seconds of a day, although a cold response meets the target.
#[test]
fn no_upstream_is_assumed_warm_at_first() {
    let mut all = vec![
        upstream("h", "home"),
        upstream("f", "far"),
        upstream("g", "far"),
    ];
    let key = key_for(&all, &[1, 2, 0]);
    let first = Query {
        service_times: ServiceTimes::default(),
        ..query(key)
    };
    assert_eq!(sent_to(choose(&mut all, &first, &here(), NOW)), 0);
    // If a cold response misses the target in any case, this region is warmed as well.
    let short_target = Query {
        target_left: ms(150),
        ..first
    };
    assert_eq!(sent_to(choose(&mut all, &short_target, &here(), NOW)), 0);
}

/// Guards against responses of upstreams that other entries have warmed reducing the cold service time.
#[test]
fn warm_answers_of_unknown_upstreams_count_as_warm() {
    let mut times = ServiceTimes::default();
    times.note(false, ms(300), NOW);
    times.note(true, ms(100), NOW);
    for _ in 0..100 {
        times.note(false, ms(110), NOW);
    }
    assert_eq!(times.cold(), ms(300));
    assert!(times.warm() < ms(120));
    assert!(times.assumed_warm() < ms(120));
}

/// Service times of an order: 540 ms if warm and 1800 ms if cold.
fn order_times() -> ServiceTimes {
    let mut times = ServiceTimes::default();
    times.note(false, ms(1800), NOW);
    for _ in 0..100 {
        times.note(true, ms(540), NOW);
    }
    times
}

/// The usual speed of a service of which this fraction of statements is 250 %, the others 100 %.
fn usual_speed(slow_fraction: f64) -> UsualSpeed {
    let mut usual = UsualSpeed::default();
    for number in 0..1000 {
        let is_slow = f64::from(number % 20) < slow_fraction * 20.0;
        usual.note(if is_slow { 250 } else { 100 });
    }
    usual
}

/// A request that must not run twice, with a timeout of 3 s.
fn single_run(key: u64) -> Query<'static> {
    Query {
        target_left: ms(1500),
        deadline_left: ms(3000),
        service_times: order_times(),
        usual_speed: usual_speed(0.15),
        runs_once: true,
        ..query(key)
    }
}

fn state_speed(upstream: &mut Upstream, work_time_pct: u32, at: Now) {
    let report = LoadReport {
        slots: 4,
        work_time_pct: Some(work_time_pct),
        ..LoadReport::default()
    };
    upstream.note_report(report, at);
}

/// Guards against sending to an upstream that is slow at the moment while another warm one is not.
#[test]
fn upstream_that_states_that_it_is_slow_is_avoided() {
    let mut all = vec![upstream("a", "home"), upstream("b", "home")];
    let key = key_for(&all, &[0, 1]);
    for one in &mut all {
        one.warm_keys.note(key, NOW);
        state_speed(one, 100, NOW);
    }
    let stated = Query {
        usual_speed: usual_speed(0.15),
        ..query(key)
    };
    let first = sent_to(choose(&mut all, &stated, &here(), NOW));
    state_speed(&mut all[first], 250, NOW);
    assert_eq!(sent_to(choose(&mut all, &stated, &here(), NOW)), 1 - first);
    // What it stated a second ago says nothing about the present.
    let later = NOW + ms(1000);
    assert_eq!(sent_to(choose(&mut all, &stated, &here(), later)), first);
}

/// Guards against keys that become warm at further upstreams because of passing slow moments, and push others out there.
#[test]
fn slow_moment_does_not_move_a_key_to_a_cold_upstream() {
    for warm in [0, 1] {
        let mut all = vec![upstream("a", "home"), upstream("b", "home")];
        let key = key_for(&all, &[0, 1]);
        all[warm].warm_keys.note(key, NOW);
        state_speed(&mut all[warm], 250, NOW);
        let repeatable = Query {
            deadline_left: ms(8000),
            runs_once: false,
            ..single_run(key)
        };
        let choice = choose(&mut all, &repeatable, &here(), NOW);
        assert_eq!(sent_to(choice), warm);
    }
}

/// The expected times at an upstream follow what it stated, for the wait and for the work.
#[test]
fn expected_times_follow_the_stated_speed() {
    let expected = |pct: Option<u32>, age: Duration| {
        let mut all = vec![upstream("a", "home")];
        all[0].warm_keys.note(7, NOW);
        if let Some(pct) = pct {
            state_speed(&mut all[0], pct, NOW - age);
        }
        all[0].in_flight = 4;
        let stated = Query {
            target_left: ms(9000),
            deadline_left: ms(9000),
            usual_speed: usual_speed(0.0),
            ..query(7)
        };
        let Choice::Send { expected, .. } = choose(&mut all, &stated, &here(), NOW) else {
            panic!("sent");
        };
        (expected.wait, expected.response_time)
    };
    // One request is ahead at four slots, and all times are those of warm requests.
    assert_eq!(expected(None, ms(0)), (ms(25), ms(125)));
    assert_eq!(expected(Some(100), ms(0)), (ms(25), ms(125)));
    assert_eq!(expected(Some(200), ms(0)), (ms(50), ms(250)));
    assert_eq!(expected(Some(200), ms(2000)), (ms(25), ms(125)));
    let (wait, response_time) = expected(Some(200), ms(350));
    assert!(wait > ms(25) && wait < ms(50), "{wait:?}");
    assert!(response_time > ms(125) && response_time < ms(250));
}

/// Guards against requests that all go to the upstreams that were used last, since only these are known to be fast.
#[test]
fn requests_are_not_drawn_to_upstreams_that_were_used_last() {
    let mut all = vec![upstream("h", "home"), upstream("i", "home")];
    state_speed(&mut all[0], 100, NOW);
    let mut counts = [0, 0];
    for number in 0..100_u64 {
        let unkeyed = Query {
            has_affinity_key: false,
            usual_speed: usual_speed(0.15),
            ..query(affinity_hash(&number.to_le_bytes()))
        };
        counts[sent_to(choose(&mut all, &unkeyed, &here(), NOW))] += 1;
    }
    assert!(counts.iter().all(|count| *count > 30), "{counts:?}");
}

/// Guards against other decisions where upstreams don't state their speed.
#[test]
fn decisions_are_the_same_without_stated_speeds() {
    let mut all = vec![upstream("a", "home"), upstream("n", "near")];
    for in_flight in 0..30 {
        all[0].in_flight = in_flight;
        for target_ms in [0, 300, 1500] {
            let decide = |all: &mut Vec<Upstream>, runs_once| {
                let query = Query {
                    target_left: ms(target_ms),
                    deadline_left: ms(2000),
                    runs_once,
                    service_times: order_times(),
                    ..query(7)
                };
                choose(all, &query, &here(), NOW)
            };
            assert_eq!(decide(&mut all, true), decide(&mut all, false));
        }
    }
}

/// Guards against a request that must not run twice and is cut off at its timeout, because it began at an upstream that
/// had just stated that it is slow.
#[test]
fn cold_single_run_request_avoids_slow_upstreams() {
    let mut all = vec![upstream("a", "home"), upstream("b", "home")];
    let key = key_for(&all, &[0, 1]);
    assert_eq!(sent_to(choose(&mut all, &single_run(key), &here(), NOW)), 0);
    state_speed(&mut all[0], 250, NOW);
    assert_eq!(sent_to(choose(&mut all, &single_run(key), &here(), NOW)), 1);
    // One that may be repeated and has more time warms the upstream of its key.
    let repeatable = Query {
        deadline_left: ms(8000),
        runs_once: false,
        ..single_run(key)
    };
    assert_eq!(sent_to(choose(&mut all, &repeatable, &here(), NOW)), 0);
    let short = Query {
        deadline_left: ms(3000),
        ..repeatable
    };
    assert_eq!(sent_to(choose(&mut all, &short, &here(), NOW)), 1);
}

/// A warm upstream that is slow still leaves a good margin.
#[test]
fn warm_single_run_request_may_use_a_slow_upstream() {
    let mut all = vec![upstream("a", "home")];
    all[0].warm_keys.note(7, NOW);
    state_speed(&mut all[0], 250, NOW);
    assert_eq!(sent_to(choose(&mut all, &single_run(7), &here(), NOW)), 0);
}

/// Guards against a request that is refused for longer than the reason lasts, or is sent where it can't end in time.
#[test]
fn single_run_request_is_refused_while_all_upstreams_are_slow() {
    let mut all = vec![upstream("a", "home"), upstream("b", "home")];
    for one in &mut all {
        state_speed(one, 250, NOW - ms(100));
    }
    let choice = choose(&mut all, &single_run(7), &here(), NOW);
    let Choice::Refuse {
        retry_after,
        expected,
    } = choice
    else {
        panic!("{choice:?}");
    };
    assert!(retry_after <= ms(600), "{retry_after:?}");
    assert!(expected.response_time > ms(3000), "{expected:?}");
    let later = NOW + retry_after;
    let choice = choose(&mut all, &single_run(7), &here(), later);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// Guards against refusing all requests of a key for good, where even an idle upstream leaves little margin: the key
/// would never become warm.
#[test]
fn cold_single_run_request_is_sent_to_an_idle_upstream_of_usual_speed() {
    let mut all = vec![upstream("a", "home")];
    let short = Query {
        deadline_left: ms(2600),
        ..single_run(7)
    };
    assert_eq!(sent_to(choose(&mut all, &short, &here(), NOW)), 0);
    all[0].in_flight = 4;
    let choice = choose(&mut all, &short, &here(), NOW);
    assert!(matches!(choice, Choice::Refuse { .. }), "{choice:?}");
}

/// Guards against taking a response of a slow moment for a cold one, and one of a fast moment for a warm one.
#[test]
fn service_times_are_those_at_the_usual_speed() {
    let usual = usual_speed(0.0);
    let stated = |work_time_pct| StatedSpeed {
        work_time_pct,
        at: NOW,
    };
    let at = |took, after| usual.usual_time(took, None, after, NOW);
    assert_eq!(at(ms(90), None), ms(90));
    assert_eq!(at(ms(90), Some(stated(100))), ms(90));
    assert_eq!(at(ms(90), Some(stated(250))), ms(36));
    assert_eq!(at(ms(90), Some(stated(60))), ms(150));
}

/// Guards against converting the time of a long run by a statement made when it ended, as the speed may have changed
/// several times since it began.
#[test]
fn speed_at_the_start_of_the_work_counts() {
    let usual = usual_speed(0.0);
    let stated = |work_time_pct, at| Some(StatedSpeed { work_time_pct, at });
    let start = NOW - ms(1800);
    let at = |before| usual.usual_time(ms(1800), before, stated(250, NOW), NOW);
    assert_eq!(at(None), ms(1800));
    assert_eq!(at(stated(200, start - ms(50))), ms(900));
    assert_eq!(at(stated(200, start - ms(550))), ms(1800));
}

/// Guards against an upstream that counts as slow because of a noisy moment.
#[test]
fn noisy_moment_does_not_brand_an_upstream_as_slow() {
    let usual = usual_speed(0.0);
    let before = StatedSpeed {
        work_time_pct: 250,
        at: NOW - ms(750),
    };
    let after = StatedSpeed { at: NOW, ..before };
    let mut all = vec![upstream("a", "home"), upstream("b", "home")];
    let key = key_for(&all, &[0, 1]);
    let service_time = usual.usual_time(ms(750), Some(before), Some(after), NOW);
    all[0].health.note_response(service_time, NOW);
    assert_eq!(all[0].health.latency(), Some(ms(300)));
    assert_eq!(sent_to(choose(&mut all, &query(key), &here(), NOW)), 0);
}
