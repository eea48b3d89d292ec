//! Tests of the quarantine and of the merging of crash reports.

use bolero::check;
use quarantine::{
    Quarantine,
    Report,
    CRASHES_MAX, //
};
use std::time::Duration;

const REQUEST: u64 = 7;
const MINUTE: Duration = Duration::from_secs(60);

fn at_s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn crashed(upstreams: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for upstream in upstreams {
        quarantine.note_crash(REQUEST, *upstream, at_s(1));
    }
    quarantine
}

macro_rules! quarantined {
    ($($name:ident: $upstreams:expr => $quarantined:expr;)*) => {$(
        #[test]
        fn $name() {
            let quarantine = crashed(&$upstreams);
            assert_eq!(quarantine.remaining(REQUEST, at_s(2)).is_some(), $quarantined);
            assert_eq!(quarantine.remaining(REQUEST + 1, at_s(2)), None);
        }
    )*};
}

quarantined! {
    two_crashes: [1, 2] => false;
    three_crashes: [1, 2, 3] => true;
    // Guards against counting one crash several times when several attempts ran at the upstream.
    one_crash_reported_by_three: [1, 1, 1] => false;
}

#[test]
fn quarantine_ends() {
    let mut quarantine = crashed(&[1, 2, 3]);
    let remaining = quarantine
        .remaining(REQUEST, at_s(11))
        .expect("in quarantine");
    assert_eq!(remaining, 10 * MINUTE - at_s(10));
    assert_eq!(quarantine.remaining(REQUEST, at_s(11) + remaining), None);
    quarantine.sweep(at_s(1) + 10 * MINUTE);
    assert!(quarantine.is_empty());
}

/// Guards against quarantining a request for crashes that other requests caused.
#[test]
fn answer_clears_earlier_crashes() {
    let mut quarantine = crashed(&[1, 2]);
    let mut other = quarantine.clone();
    let cleared = quarantine.note_response(REQUEST, at_s(2));
    assert_eq!(cleared.len(), 2);
    for quarantine in [&mut quarantine, &mut other] {
        quarantine.merge(&cleared, at_s(3));
        quarantine.note_crash(REQUEST, 3, at_s(4));
        assert_eq!(quarantine.remaining(REQUEST, at_s(5)), None);
    }
    assert_eq!(quarantine.note_response(REQUEST + 1, at_s(5)), []);
}

/// Guards against entries forwarding the same report to each other forever.
#[test]
fn known_reports_are_not_forwarded() {
    let mut quarantine = crashed(&[1, 2]);
    let reports = quarantine.reports(MINUTE, at_s(2));
    assert_eq!(quarantine.merge(&reports, at_s(2)), []);
    assert_eq!(quarantine.note_crash(REQUEST, 1, at_s(3)), None);
}

/// Guards against a report's age restarting at each entry that receives it.
#[test]
fn age_is_preserved_between_entries() {
    let reports = crashed(&[1, 2, 3]).reports(10 * MINUTE, at_s(61));
    let mut other = Quarantine::default();
    // The clock of a process that has just started is behind the reported ages.
    assert_eq!(other.merge(&reports, at_s(5)).len(), CRASHES_MAX);
    let remaining = other.remaining(REQUEST, at_s(5)).expect("in quarantine");
    assert_eq!(remaining, 9 * MINUTE);
}

/// Guards against unbounded memory use by crashes of many requests or of many upstreams.
#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::default();
    for request in 0..10_000 {
        quarantine.note_crash(request, 1, Duration::from_millis(request));
    }
    let kept = quarantine.reports(10 * MINUTE, at_s(10));
    assert_eq!(kept.len(), 4096);
    assert!(kept.iter().all(|report| report.request >= 10_000 - 4096));
    let mut quarantine = Quarantine::default();
    for upstream in 0..100 {
        quarantine.note_crash(REQUEST, upstream, at_s(1));
    }
    assert_eq!(quarantine.reports(10 * MINUTE, at_s(2)).len(), 16);
}

/// Guards against entries that receive reports in different orders, or twice, disagreeing on what is quarantined.
#[test]
fn order_and_repeats_of_reports_do_not_matter() {
    check!()
        .with_type::<Vec<(u8, bool, u8)>>()
        .for_each(|inputs| {
            let reports: Vec<Report> = inputs
                .iter()
                .map(|(upstream, cleared, _)| Report {
                    request: REQUEST,
                    upstream: u64::from(upstream % 8),
                    age: Duration::ZERO,
                    cleared: *cleared,
                })
                .collect();
            let mut order: Vec<usize> = (0..reports.len()).collect();
            order.sort_by_key(|index| inputs[*index].2);
            let mut one = Quarantine::default();
            let mut other = Quarantine::default();
            one.merge(&reports, at_s(1));
            for index in order {
                other.merge(&[reports[index]], at_s(1));
                other.merge(&[reports[index]], at_s(1));
            }
            assert_eq!(
                one.remaining(REQUEST, at_s(1)),
                other.remaining(REQUEST, at_s(1))
            );
        });
}
