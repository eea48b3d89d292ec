//! Merging of counts: windows, burn, alerts and daemons that did not answer.

use op::{
    Bucket,
    Burn,
    ClassBurn, //
};
use report::{
    AlertKind,
    Report, //
    UnansweredDaemon,
};

const BUCKET_MS: u64 = 10_000;
const HOUR_S: u64 = 3600;

/// Counts of a daemon that has run for `age_s`; each bucket is (seconds ago, good, bad).
fn daemon_burn(name: &'static str, age_s: u64, buckets: &[(u64, u64, u64)]) -> Burn {
    let age_ms = age_s * 1000;
    let mut buckets: Vec<Bucket> = buckets
        .iter()
        .map(|(ago_s, good, bad)| Bucket {
            index: (age_ms - ago_s * 1000) / BUCKET_MS,
            good: *good,
            bad: *bad,
        })
        .collect();
    buckets.sort_by_key(|bucket| bucket.index);
    Burn {
        instance: name.into(),
        incarnation: 1,
        region: "arusha".into(),
        failure_domain: "a".into(),
        version: 1,
        age_ms,
        bucket_ms: BUCKET_MS,
        classes: vec![ClassBurn {
            class: "menu".into(),
            success_target_ppm: 999_000,
            latency_target_ms: 200,
            buckets,
            latency_us: vec![(1_000, 90), (50_000, 10)],
        }],
    }
}

fn report(daemons: Vec<Burn>) -> Report {
    Report::new(0, daemons, Vec::new())
}

/// Good and bad requests in the windows of 1, 5, 30 and 60 minutes.
fn counts(report: &Report) -> Vec<(u64, u64)> {
    let windows = &report.classes[0].windows;
    windows.iter().map(|w| (w.good, w.bad)).collect()
}

macro_rules! windows {
    ($($name:ident: $buckets:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let report = report(vec![daemon_burn("one", 2 * HOUR_S, &$buckets)]);
                assert_eq!(counts(&report), $expected);
                let minutes = &report.classes[0].minutes;
                let by_minutes: u64 = minutes.iter().map(|m| m.good + m.bad).sum();
                let last_hour = counts(&report)[3];
                assert_eq!(by_minutes, last_hour.0 + last_hour.1);
            }
        )*
    };
}

windows! {
    no_requests: [] => [(0, 0); 4];
    in_the_last_minute: [(5, 7, 1)] => [(7, 1); 4];
    a_minute_and_a_half_ago: [(90, 7, 1)] => [(0, 0), (7, 1), (7, 1), (7, 1)];
    ten_minutes_ago: [(600, 7, 1)] => [(0, 0), (0, 0), (7, 1), (7, 1)];
    forty_minutes_ago: [(2400, 7, 1)] => [(0, 0), (0, 0), (0, 0), (7, 1)];
    more_than_an_hour_ago: [(3700, 7, 1)] => [(0, 0); 4];
    in_all_windows: [(5, 1, 0), (90, 10, 0), (600, 100, 0), (2400, 1000, 2)]
        => [(1, 0), (11, 0), (111, 0), (1111, 2)];
}

/// Alerts of a class with the given numbers of bad requests per thousand in each period.
macro_rules! alerts {
    ($($name:ident: $bad:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                // The periods are the last minute, 1 to 5, 5 to 30 and 30 to 60 minutes ago.
                let ages_s = [5, 150, 1200, 3000];
                let buckets: Vec<(u64, u64, u64)> = ages_s
                    .into_iter()
                    .zip($bad)
                    .map(|(ago_s, bad): (u64, u64)| (ago_s, 1000 - bad, bad))
                    .collect();
                let report = report(vec![daemon_burn("one", 2 * HOUR_S, &buckets)]);
                let alerts = &report.classes[0].alerts;
                let kinds: Vec<AlertKind> = alerts.iter().map(|alert| alert.kind).collect();
                let expected: &[AlertKind] = &$expected;
                assert_eq!(kinds, expected);
            }
        )*
    };
}

alerts! {
    no_alert_within_the_budget: [1, 1, 1, 1] => [];
    fast_when_the_last_minutes_are_bad: [20, 20, 0, 0] => [AlertKind::Fast, AlertKind::Slow];
    no_fast_alert_once_the_last_minute_is_good: [0, 40, 0, 0] => [AlertKind::Slow];
    none_for_a_burst_that_is_over: [0, 0, 500, 500] => [];
    slow_when_failures_continue: [7, 7, 7, 7] => [AlertKind::Slow];
    none_for_a_single_bad_minute: [16, 1, 1, 1] => [];
}

#[test]
fn daemons_are_added_up_and_young_ones_cover_less() {
    let old = daemon_burn("old", 2 * HOUR_S, &[(5, 10, 0), (600, 100, 0)]);
    let young = daemon_burn("young", 150, &[(5, 5, 5)]);
    let report = report(vec![old, young]);
    assert_eq!(counts(&report), [(15, 5), (15, 5), (115, 5), (115, 5)]);
    let windows = &report.classes[0].windows;
    let covered: Vec<u8> = windows.iter().map(|window| window.covered_pct).collect();
    assert_eq!(covered, [100, 75, 54, 52]);
    let burn = windows[0].burn.unwrap();
    assert!((burn - 250.0).abs() < 1e-6, "{burn}");
    assert_eq!(report.classes[0].latency.count, 200);
    assert!((990..=1010).contains(&report.classes[0].latency.p50_us));
}

#[test]
fn a_daemon_under_two_addresses_counts_once() {
    let burn = daemon_burn("one", HOUR_S, &[(5, 10, 0)]);
    let report = report(vec![burn.clone(), burn]);
    assert_eq!(counts(&report)[0], (10, 0));
    assert_eq!(report.counted.len(), 1);
}

/// Guards against a report that applies a target which is no longer in force. While a version with
/// a new target spreads, daemons report different targets: that of the highest version applies, and
/// the report states that targets differ.
#[test]
fn the_target_of_the_highest_version_counts() {
    let old = daemon_burn("a", HOUR_S, &[(5, 990, 10)]);
    let mut new = daemon_burn("b", HOUR_S, &[(5, 990, 10)]);
    new.version = 2;
    new.classes[0].success_target_ppm = 990_000;
    for daemons in [vec![old.clone(), new.clone()], vec![new, old]] {
        let report = report(daemons);
        let class = &report.classes[0];
        assert_eq!(class.success_target_ppm, 990_000);
        assert!(class.targets_differ);
        assert!((class.windows[0].burn.unwrap() - 1.0).abs() < 1e-9);
    }
}

/// Guards against a report that looks good because a daemon with failures did not answer. When one
/// of two daemons has stopped or can't be reached, its counts are absent, so every format has to
/// name it.
#[test]
fn unanswered_daemons_are_named_in_every_format() {
    let unanswered = UnansweredDaemon {
        daemon: "two (10.0.0.2:7002)".into(),
        why: "no daemon answered\n  10.0.0.2:7002: connection <refused>".into(),
    };
    let daemons = vec![daemon_burn("one", HOUR_S, &[(5, 10, 0)])];
    let report = Report::new(0, daemons, vec![unanswered]);
    assert!(report.text().contains("not counted: two (10.0.0.2:7002)"));
    assert!(report.html().contains("not counted: two (10.0.0.2:7002)"));
    assert!(report.html().contains("&lt;refused&gt;"));
    let json = serde_json::json!(report);
    assert_eq!(json["not_answered"][0]["daemon"], "two (10.0.0.2:7002)");
    for output in [report.text(), report.html(), json.to_string()] {
        assert!(output.contains("of an instance that was replaced"));
    }
}

#[test]
fn the_page_loads_no_external_resources() {
    let mut burn = daemon_burn("one", HOUR_S, &[(5, 10, 1), (300, 20, 0), (900, 20, 0)]);
    burn.classes[0].class = "menu<script>".into();
    let page = report(vec![burn]).html();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(!page.contains("<script"), "names are escaped");
    for word in ["src=", "href=", "url(", "@import"] {
        assert!(!page.contains(word), "{word}");
    }
    let links = page.matches("http").count();
    assert_eq!(links, page.matches("xmlns=\"http://www.w3.org").count());
}

/// Guards against plots without labels, where the meaning of a line is unclear and an empty plot of
/// a class without requests looks like a class without failures.
#[test]
fn plots_are_labelled() {
    let mut burn = daemon_burn("one", HOUR_S, &[(5, 10, 1)]);
    let page = report(vec![burn.clone()]).html();
    for text in [
        "minutes ago",
        "burn by minute",
        "6: slow alert",
        "14.4: fast alert",
        "latency, ms",
        "percentile of whole answers",
        "target: 200 ms",
        "\u{2264} 0.01",
    ] {
        assert!(page.contains(text), "no `{text}` in {page}");
    }
    assert!(
        page.contains("menu: FAST BURN"),
        "alerts are listed at the top"
    );
    assert!(!page.contains("no requests in the last hour"));
    burn.classes[0].buckets.clear();
    burn.classes[0].latency_us.clear();
    let page = report(vec![burn]).html();
    for text in [
        "no requests in the last hour",
        "no whole answers yet",
        "No alerts.",
    ] {
        assert!(page.contains(text), "no `{text}` in {page}");
    }
}

#[test]
fn a_target_of_all_requests_has_no_budget() {
    for (bad, text) in [(0, "0.00"), (1, "no budget")] {
        let mut burn = daemon_burn("one", HOUR_S, &[(5, 10, bad)]);
        burn.classes[0].success_target_ppm = 1_000_000;
        let report = report(vec![burn]);
        assert!(report.text().contains(text), "{}", report.text());
        assert!(report.html().contains(text));
    }
}

/// A report is generated in every format from arbitrary counts, and counts no request twice.
#[test]
fn any_counts_are_reported() {
    bolero::check!()
        .with_type::<Vec<(u32, u16, Vec<(u16, u16, u16)>)>>()
        .with_iterations(200)
        .for_each(|daemons| {
            let burns: Vec<Burn> = daemons
                .iter()
                .take(4)
                .enumerate()
                .map(|(index, (age_s, target, buckets))| {
                    let names = ["a", "b", "c", "d"];
                    let mut burn = daemon_burn(names[index], u64::from(*age_s), &[]);
                    burn.classes[0].success_target_ppm = u32::from(*target) * 100 % 1_000_001;
                    let class = &mut burn.classes[0];
                    class.buckets = buckets
                        .iter()
                        .map(|(index, good, bad)| Bucket {
                            index: u64::from(*index),
                            good: u64::from(*good),
                            bad: u64::from(*bad),
                        })
                        .collect();
                    burn
                })
                .collect();
            let total: u64 = burns
                .iter()
                .flat_map(|burn| &burn.classes[0].buckets)
                .map(|bucket| bucket.good + bucket.bad)
                .sum();
            let report = Report::new(0, burns, Vec::new());
            for class in &report.classes {
                let sizes = class.windows.iter().map(|w| w.good + w.bad);
                let sizes: Vec<u64> = sizes.collect();
                assert!(sizes.is_sorted(), "{sizes:?}");
                assert!(sizes[3] <= total);
            }
            assert!(!report.text().is_empty());
            assert!(!report.html().is_empty());
        });
}
