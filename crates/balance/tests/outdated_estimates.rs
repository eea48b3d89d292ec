//! Estimates that rule out requests, although only responses change them.

use balance::{
    choose,
    Choice,
    Health,
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
const SERVICE_TIME: Duration = Duration::from_millis(480);
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(2_400);
const TIMEOUT: Duration = Duration::from_millis(2_500);
const LATENCY_TARGET: Duration = Duration::from_millis(400);
/// Time after which each estimate has to be tried again.
const OUTDATED_AFTER: Duration = Duration::from_secs(6);

fn here() -> Location {
    Location {
        region: HOME,
        failure_domain: "a".into(),
        ..Location::default()
    }
}

fn upstream(id: &'static str) -> Upstream {
    Upstream::new(id.into(), HOME, "a".into(), 4)
}

fn times_of(service_time: Duration) -> ServiceTimes {
    let mut times = ServiceTimes::default();
    times.note(false, service_time, NOW);
    times
}

/// Returns a query of a request that may be a probe as soon as one is due.
fn query(service_times: ServiceTimes, now: Now) -> Query<'static> {
    Query {
        target_left: LATENCY_TARGET,
        deadline_left: TIMEOUT,
        service_times,
        may_probe: service_times.is_probe_due(now),
        ..Query::default()
    }
}

fn is_probe(choice: Choice) -> Option<bool> {
    match choice {
        Choice::Send { is_probe, .. } => Some(is_probe),
        _ => None,
    }
}

/// Guards against estimates that rule out all requests for good, and against more than one request at a time that is sent
/// in spite of them.
#[test]
fn probes_are_sent_one_at_a_time() {
    let mut times = times_of(SLOW_SERVICE_TIME);
    let mut upstreams = [upstream("u-1")];
    let mut sent = |times, at| is_probe(choose(&mut upstreams, &query(times, at), &here(), at));
    assert_eq!(sent(times, NOW), None);
    let later = NOW + OUTDATED_AFTER;
    assert_eq!(sent(times, later), Some(true));
    times.note_probe_sent(later);
    assert_eq!(sent(times, later), None);
    times.reset();
    times.note(false, SERVICE_TIME, later);
    assert_eq!(sent(times, later), Some(false));
}

/// Guards against probes that wait at an upstream whose slots are all busy.
#[test]
fn no_probe_is_sent_to_a_full_upstream() {
    let mut upstreams = [upstream("u-1")];
    upstreams[0].in_flight = 4;
    let later = NOW + OUTDATED_AFTER;
    let query = query(times_of(SLOW_SERVICE_TIME), later);
    let choice = choose(&mut upstreams, &query, &here(), later);
    assert!(matches!(choice, Choice::Refuse { .. }), "{choice:?}");
}

/// Guards against responses of warm upstreams that postpone the probes which would renew the estimate for the others.
#[test]
fn warm_responses_dont_postpone_probes() {
    let mut times = times_of(SLOW_SERVICE_TIME);
    let later = NOW + OUTDATED_AFTER;
    times.note(true, SERVICE_TIME, later);
    assert!(times.is_probe_due(later));
}

/// Guards against a mean of stated speeds that keeps requests away for good: each response changes it by little.
#[test]
fn statement_in_the_response_to_a_probe_replaces_the_mean() {
    let mut usual = UsualSpeed::default();
    for _ in 0..200 {
        usual.note(1_000);
    }
    let query = |usual_speed, may_probe| Query {
        usual_speed,
        may_probe,
        ..query(times_of(SERVICE_TIME), NOW)
    };
    let mut upstreams = [upstream("u-1")];
    upstreams[0].speed = Some(StatedSpeed {
        work_time_pct: 1_000,
        at: NOW,
    });
    let later = NOW + OUTDATED_AFTER;
    let mut sent = |query: &Query<'_>| is_probe(choose(&mut upstreams, query, &here(), later));
    assert_eq!(sent(&query(usual, false)), None);
    assert_eq!(sent(&query(usual, true)), Some(true));
    usual.restart(100);
    assert_eq!(sent(&query(usual, false)), Some(false));
}

/// An upstream with a long response under way that was chosen long before [`NOW`].
fn upstream_with_a_long_response() -> Upstream {
    let mut upstream = upstream("u-1");
    upstream.in_flight = 1;
    upstream.chosen_at = Some(Duration::from_secs(1));
    upstream
}

/// Guards against an upstream that stays unused until the long responses end which were under way when it was ejected.
#[test]
fn long_responses_dont_prolong_an_ejection() {
    let mut upstreams = [upstream_with_a_long_response()];
    upstreams[0].health.note_failure(true, NOW);
    let query = query(times_of(SERVICE_TIME), NOW);
    let choice = |upstreams: &mut [Upstream], at| is_probe(choose(upstreams, &query, &here(), at));
    assert_eq!(choice(&mut upstreams, NOW), None);
    let later = NOW + OUTDATED_AFTER;
    assert_eq!(choice(&mut upstreams, later), Some(false));
    // One request at a time finds out.
    upstreams[0].in_flight += 1;
    upstreams[0].chosen_at = Some(later);
    assert_eq!(choice(&mut upstreams, later), None);
}

/// Guards against a latency that stays in force until the long responses end which are under way.
#[test]
fn long_responses_dont_prolong_a_latency() {
    let mut upstreams = [upstream_with_a_long_response()];
    upstreams[0].health.note_response(SLOW_SERVICE_TIME, NOW);
    let query = query(times_of(SERVICE_TIME), NOW);
    let mut choice = |at| is_probe(choose(&mut upstreams, &query, &here(), at));
    assert_eq!(choice(NOW), None);
    assert_eq!(choice(NOW + OUTDATED_AFTER), Some(false));
}

/// Guards against an upstream that gets one request at a time for good, because its responses are streamed and don't renew
/// its latency.
#[test]
fn streamed_responses_end_an_outdated_latency() {
    let mut health = Health::default();
    health.note_response(SLOW_SERVICE_TIME, NOW);
    health.note_streamed(NOW);
    assert_eq!(health.latency(), Some(SLOW_SERVICE_TIME));
    health.note_streamed(NOW + OUTDATED_AFTER);
    assert_eq!(health.latency(), None);
}
