//! Order in which reports of a limit supersede each other.

use bolero::check;
use limit::{
    Limits,
    Report, //
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn report(started_ms: u64, number: u64, limit_per_s: Option<f64>) -> Report {
    Report {
        upstream: "u-1".into(),
        started_ms,
        limit_per_s,
        number,
    }
}

/// Guards against an older report superseding a newer one.
macro_rules! newest_report_is_kept {
    ($($name:ident: $reports:expr, $started_ms:expr => $limit_per_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let reports: Vec<Report> = $reports.to_vec();
            let mut forward = Limits::default();
            let mut backward = Limits::default();
            for (one, other) in reports.iter().zip(reports.iter().rev()) {
                forward.merge(one, NOW);
                backward.merge(other, NOW);
            }
            for limits in [forward, backward] {
                assert_eq!(limits.get(&"u-1".into(), $started_ms), $limit_per_s);
            }
        }
    )*};
}

newest_report_is_kept! {
    limit_that_ended: [report(1, 5, Some(6.4)), report(1, 6, None)], 1 => None;
    limit_stated_again: [report(1, 5, None), report(1, 6, Some(2.0))], 1 => Some(2.0);
    limit_of_a_former_incarnation: [report(1, 9, Some(6.4)), report(2, 1, None)], 2 => None;
    limit_does_not_apply_to_another_incarnation: [report(1, 9, Some(6.4))], 2 => None;
    stricter_of_two_with_the_same_number: [report(1, 5, None), report(1, 5, Some(6.4))], 1 => Some(6.4);
}

/// Guards against discarding a report from a restarted process as outdated.
#[test]
fn numbers_follow_the_clock() {
    let mut limits = Limits::default();
    let upstream = "u-1".into();
    let first = limits.note(&upstream, 1, Some(6.4), 1000, NOW);
    assert_eq!(first, Some(report(1, 1000, Some(6.4))));
    assert_eq!(limits.note(&upstream, 1, Some(6.4), 1001, NOW), None);
    // The clock has been set back.
    let second = limits.note(&upstream, 1, None, 500, NOW);
    assert_eq!(second, Some(report(1, 1001, None)));
    let mut restarted = Limits::default();
    let third = restarted.note(&upstream, 1, Some(3.0), 2000, NOW);
    assert!(limits.merge(&third.expect("a change"), NOW));
    assert_eq!(limits.get(&upstream, 1), Some(3.0));
}

/// Guards against sending reports about upstreams that have never stated a limit.
#[test]
fn absent_limit_is_not_reported() {
    let mut limits = Limits::default();
    assert_eq!(limits.note(&"u-1".into(), 1, None, 1000, NOW), None);
    assert!(limits.is_empty());
}

/// Guards against entries disagreeing on a limit when reports arrive reordered or duplicated.
#[test]
fn merge_is_commutative_and_idempotent() {
    check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .for_each(|inputs| {
            let reports: Vec<Report> = inputs
                .iter()
                .map(|(started, number, limit, _)| {
                    let limit_per_s = (limit % 4 != 0).then(|| f64::from(limit % 4));
                    report(u64::from(started % 3), u64::from(number % 4), limit_per_s)
                })
                .collect();
            let mut order: Vec<usize> = (0..reports.len()).collect();
            order.sort_by_key(|index| inputs[*index].3);
            let mut one = Limits::default();
            let mut other = Limits::default();
            for report in &reports {
                one.merge(report, NOW);
            }
            for index in order {
                other.merge(&reports[index], NOW);
                other.merge(&reports[index], NOW);
            }
            for started_ms in 0..3 {
                let upstream = "u-1".into();
                assert_eq!(
                    one.get(&upstream, started_ms),
                    other.get(&upstream, started_ms)
                );
            }
        });
}
