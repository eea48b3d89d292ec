//! When the path to the upstreams counts as cut, and how it opens again.

use base::Now;
use bolero::{
    check,
    TypeGenerator, //
};
use reach::{
    Admission,
    Change,
    Evidence,
    Reach, //
};
use std::time::Duration;

const ALL_REACHABLE: Evidence = Evidence {
    usable: 10,
    failed_connections: 0,
};
const MOST_FAILED: Evidence = Evidence {
    usable: 10,
    failed_connections: 6,
};

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Returns the state of an entry that has got a response every `gap_ms` for ten seconds, with one more request waiting.
fn steady(gap_ms: u64) -> (Reach, Now) {
    let mut reach = Reach::default();
    let mut now = ms(0);
    while now < ms(10_000) {
        reach.note_sent(now);
        now += ms(gap_ms);
        assert_eq!(reach.note_response(now), None);
        reach.note_ended();
    }
    reach.note_sent(now);
    (reach, now)
}

/// Returns a path that was cut at `now`.
fn cut(now: Now) -> Reach {
    let mut reach = Reach::default();
    reach.note_sent(ms(0));
    assert!(matches!(
        reach.note_probes_failed(now),
        Some(Change::Cut { .. })
    ));
    reach
}

/// Returns the silence after which probes are due.
fn silence_until_probe(gap_ms: u64) -> Duration {
    let (mut reach, since) = steady(gap_ms);
    let mut now = since;
    while !reach.take_probe(ALL_REACHABLE, now) {
        now += ms(1);
    }
    now - since
}

macro_rules! probes_after_silence {
    ($($name:ident: $gap_ms:expr, $silence_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let silence = silence_until_probe($gap_ms);
            let expected = $silence_ms;
            assert!(expected.contains(&(silence.as_millis() as u64)), "{silence:?}");
        }
    )*};
}

probes_after_silence! {
    // Guards against slow detection at a busy entry.
    busy_entry_probes_soon: 5, 300..=301;
    usual_entry_probes_after_several_gaps: 40, 600..=700;
    // Guards against an entry that never notices because responses are rare.
    quiet_entry_probes_in_time: 500, 1000..=1001;
}

/// Guards against a partition that goes unnoticed because each request fails at once.
#[test]
fn entry_whose_requests_fail_fast_probes() {
    let (mut reach, mut now) = steady(5);
    let since = now;
    reach.note_ended();
    while !reach.take_probe(ALL_REACHABLE, now) {
        reach.note_sent(now);
        reach.note_failed(now + ms(1));
        reach.note_ended();
        now += ms(20);
        assert!(now - since < ms(400), "no probe");
    }
}

/// Guards against probes of upstreams that no request waits for.
#[test]
fn idle_entry_does_not_probe() {
    let (mut reach, now) = steady(5);
    reach.note_failed(now);
    reach.note_ended();
    assert!(!reach.take_probe(ALL_REACHABLE, now + ms(60_000)));
}

/// Guards against a partition that goes unnoticed because old connections still work.
#[test]
fn refused_connections_are_probed_despite_responses() {
    let (mut reach, now) = steady(5);
    assert!(reach.take_probe(MOST_FAILED, now));
}

/// Guards against a flood of probes while they fail.
#[test]
fn probes_are_rate_limited() {
    let mut reach = cut(ms(0));
    let probes = (0..3000).filter(|at| reach.take_probe(ALL_REACHABLE, ms(*at)));
    assert_eq!(probes.count(), 10);
}

/// Guards against probes without a target.
#[test]
fn nothing_is_probed_without_upstreams() {
    let mut reach = cut(ms(0));
    assert!(!reach.take_probe(Evidence::default(), ms(1000)));
}

/// Guards against requests that are sent into a partition.
#[test]
fn cut_path_admits_nothing() {
    let mut reach = cut(ms(0));
    assert_eq!(reach.admit(true, ms(5000)), None);
    assert!(!reach.is_open());
}

/// Guards against a partition that ends in this entry's eyes with the first late response on an old connection.
#[test]
fn response_does_not_open_a_cut_path() {
    let mut reach = cut(ms(0));
    assert_eq!(reach.note_response(ms(10)), None);
    assert!(!reach.is_open());
}

/// Guards against a crowd of requests on a path that accepts connections and resets them.
#[test]
fn one_request_at_a_time_tries_the_path() {
    let mut reach = cut(ms(0));
    reach.note_probe_connected(ms(100));
    assert_eq!(reach.admit(true, ms(101)), Some(Admission::Trial));
    assert_eq!(reach.admit(true, ms(102)), None);
    reach.end_trial(true);
    assert_eq!(reach.admit(true, ms(103)), None);
    reach.note_probe_connected(ms(400));
    assert_eq!(reach.admit(true, ms(401)), Some(Admission::Trial));
    let opened = reach.note_response(ms(420));
    assert_eq!(opened, Some(Change::Opened { after: ms(420) }));
    reach.end_trial(false);
    assert_eq!(reach.admit(false, ms(421)), Some(Admission::Regular));
}

/// Guards against the loss of a request that may not be repeated, and against a path that only such requests could open.
#[test]
fn requests_that_run_once_try_the_path_later() {
    let mut reach = cut(ms(0));
    reach.note_probe_connected(ms(100));
    assert_eq!(reach.admit(false, ms(600)), None);
    assert_eq!(reach.admit(false, ms(1100)), Some(Admission::Trial));
}

/// Guards against a trial that never ends because its caller has left.
#[test]
fn trial_that_ends_without_a_result_is_repeated() {
    let mut reach = cut(ms(0));
    reach.note_probe_connected(ms(100));
    assert_eq!(reach.admit(true, ms(101)), Some(Admission::Trial));
    reach.end_trial(false);
    assert_eq!(reach.admit(true, ms(102)), Some(Admission::Trial));
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Wait(u8),
    Send { may_run_twice: bool },
    Respond,
    End,
    ProbeConnects,
    ProbesFail,
    TrialEnds { failed: bool },
}

/// At most one trial is pending, a path opens only by a response after a successful probe, and a cut path admits nothing.
#[test]
fn any_order_of_events() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut reach = Reach::default();
        let mut now = ms(0);
        let mut trial_pending = false;
        let mut connected = false;
        for step in steps {
            let was_open = reach.is_open();
            match *step {
                Step::Wait(tenths) => now += ms(u64::from(tenths) * 100),
                Step::Send { may_run_twice } => {
                    match reach.admit(may_run_twice, now) {
                        Some(Admission::Regular) => assert!(was_open),
                        Some(Admission::Trial) => {
                            assert!(!was_open && connected && !trial_pending);
                            trial_pending = true;
                        }
                        None => assert!(!was_open),
                    }
                    reach.note_sent(now);
                }
                Step::Respond => {
                    let opened = reach.note_response(now).is_some();
                    assert_eq!(opened, !was_open && connected);
                    assert_eq!(reach.is_open(), was_open || connected);
                    trial_pending &= !opened;
                }
                Step::End => reach.note_ended(),
                Step::ProbeConnects => {
                    reach.note_probe_connected(now);
                    connected |= !was_open;
                }
                Step::ProbesFail => {
                    let cut = reach.note_probes_failed(now).is_some();
                    assert_eq!(cut, was_open);
                    connected &= !was_open;
                }
                Step::TrialEnds { failed } => {
                    reach.end_trial(failed);
                    trial_pending = false;
                    connected &= !failed;
                }
            }
            if reach.is_open() {
                connected = false;
                trial_pending = false;
            }
        }
    });
}

macro_rules! failed_connections_are_suspicious {
    ($($name:ident: $failed:expr, $usable:expr, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let evidence = Evidence {
                usable: $usable,
                failed_connections: $failed,
            };
            assert_eq!(evidence.is_suspicious(), $expected);
        }
    )*};
}

failed_connections_are_suspicious! {
    // Guards against a partition that goes unnoticed until connections to half of many upstreams have failed.
    three_of_many_upstreams_are_suspicious: 3, 370, true;
    two_of_many_upstreams_are_not_suspicious: 2, 370, false;
    // Guards against a partition that goes unnoticed because there are few upstreams.
    only_upstream_is_suspicious: 1, 1, true;
    both_upstreams_are_suspicious: 2, 2, true;
    one_of_two_upstreams_is_not_suspicious: 1, 2, false;
    no_failure_is_not_suspicious: 0, 1, false;
    no_upstreams_are_not_suspicious: 0, 0, false;
}
