//! Merging: windows, burn, alerts, and daemons that are missing.

use op::{
    Bucket,
    Burn,
    ClassBurn, //
};
use report::{
    AlertKind,
    NotAnswered,
    Report, //
};

const BUCKET_MS: u64 = 10_000;
const HOUR_S: u64 = 3600;

/// Counts of a daemon that has run for `age_s`; each bucket is (seconds ago, good, bad).
fn daemon(name: &'static str, age_s: u64, buckets: &[(u64, u64, u64)]) -> Burn {
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
                let report = report(vec![daemon("one", 2 * HOUR_S, &$buckets)]);
                assert_eq!(counts(&report), $expected);
                let minutes = &report.classes[0].minutes;
                let by_minutes: u64 = minutes.iter().map(|m| m.good + m.bad).sum();
                let hour = counts(&report)[3];
                assert_eq!(by_minutes, hour.0 + hour.1);
            }
        )*
    };
}

windows! {
    nothing: [] => [(0, 0); 4];
    now: [(5, 7, 1)] => [(7, 1); 4];
    a_minute_and_a_half_ago: [(90, 7, 1)] => [(0, 0), (7, 1), (7, 1), (7, 1)];
    ten_minutes_ago: [(600, 7, 1)] => [(0, 0), (0, 0), (7, 1), (7, 1)];
    forty_minutes_ago: [(2400, 7, 1)] => [(0, 0), (0, 0), (0, 0), (7, 1)];
    more_than_an_hour_ago: [(3700, 7, 1)] => [(0, 0); 4];
    all_along: [(5, 1, 0), (90, 10, 0), (600, 100, 0), (2400, 1000, 2)]
        => [(1, 0), (11, 0), (111, 0), (1111, 2)];
}

/// Alerts of a class with these parts of bad requests, in percent, in each window.
macro_rules! alerts {
    ($($name:ident: $bad:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                // Bad requests of a thousand in the last minute, the minutes before up to five,
                // up to thirty, up to sixty.
                let ages_s = [5, 150, 1200, 3000];
                let buckets: Vec<(u64, u64, u64)> = ages_s
                    .into_iter()
                    .zip($bad)
                    .map(|(ago_s, bad): (u64, u64)| (ago_s, 1000 - bad, bad))
                    .collect();
                let report = report(vec![daemon("one", 2 * HOUR_S, &buckets)]);
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
    none_once_the_last_minute_is_well: [0, 40, 0, 0] => [AlertKind::Slow];
    none_for_a_burst_that_is_over: [0, 0, 500, 500] => [];
    slow_when_it_goes_on: [7, 7, 7, 7] => [AlertKind::Slow];
    none_for_a_short_bad_start: [16, 1, 1, 1] => [];
}

#[test]
fn daemons_are_added_up_and_young_ones_cover_less() {
    let old = daemon("old", 2 * HOUR_S, &[(5, 10, 0), (600, 100, 0)]);
    let young = daemon("young", 150, &[(5, 5, 5)]);
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
    let one = daemon("one", HOUR_S, &[(5, 10, 0)]);
    let report = report(vec![one.clone(), one]);
    assert_eq!(counts(&report)[0], (10, 0));
    assert_eq!(report.counted.len(), 1);
}

/// Symptom: a report judges by a target that is no longer in force. Sequence: a version with a new
/// target spreads while the report asks. Cause: daemons differ for a moment; the highest version
/// counts, and the report says so.
#[test]
fn the_target_of_the_highest_version_counts() {
    let old = daemon("a", HOUR_S, &[(5, 990, 10)]);
    let mut new = daemon("b", HOUR_S, &[(5, 990, 10)]);
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

/// Symptom: a report looks well because the daemon with the failures did not answer. Sequence: one
/// of two daemons is gone or cut off. Cause: its counts are missing; every form has to name it.
#[test]
fn who_did_not_answer_is_named_in_every_form() {
    let missing = NotAnswered {
        daemon: "two (10.0.0.2:7002)".into(),
        why: "no daemon answered\n  10.0.0.2:7002: connection <refused>".into(),
    };
    let daemons = vec![daemon("one", HOUR_S, &[(5, 10, 0)])];
    let report = Report::new(0, daemons, vec![missing]);
    assert!(report.text().contains("not counted: two (10.0.0.2:7002)"));
    assert!(report.html().contains("not counted: two (10.0.0.2:7002)"));
    assert!(report.html().contains("&lt;refused&gt;"));
    let json = serde_json::json!(report);
    assert_eq!(json["not_answered"][0]["daemon"], "two (10.0.0.2:7002)");
    for form in [report.text(), report.html(), json.to_string()] {
        assert!(form.contains("of an instance that was replaced"));
    }
}

#[test]
fn a_page_needs_nothing_from_elsewhere() {
    let mut one = daemon("one", HOUR_S, &[(5, 10, 1), (300, 20, 0), (900, 20, 0)]);
    one.classes[0].class = "menu<script>".into();
    let page = report(vec![one]).html();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(!page.contains("<script"), "names are escaped");
    for word in ["src=", "href=", "url(", "@import"] {
        assert!(!page.contains(word), "{word}");
    }
    let links = page.matches("http").count();
    assert_eq!(links, page.matches("xmlns=\"http://www.w3.org").count());
}

/// Symptom: whoever opens the page can't tell what a line stands for, or takes an empty plot for a
/// class without failures. Sequence: a class with requests, and one without. Cause: a plot that
/// shows values alone.
#[test]
fn plots_say_what_they_show() {
    let mut one = daemon("one", HOUR_S, &[(5, 10, 1)]);
    let page = report(vec![one.clone()]).html();
    for words in [
        "minutes ago",
        "burn by minute",
        "6: slow alert",
        "14.4: fast alert",
        "latency, ms",
        "percentile of whole answers",
        "target: 200 ms",
        "\u{2264} 0.01",
    ] {
        assert!(page.contains(words), "no `{words}` in {page}");
    }
    assert!(page.contains("menu: FAST BURN"), "named at the top");
    assert!(!page.contains("no requests in the last hour"));
    one.classes[0].buckets.clear();
    one.classes[0].latency_us.clear();
    let page = report(vec![one]).html();
    for words in [
        "no requests in the last hour",
        "no whole answers yet",
        "No alerts.",
    ] {
        assert!(page.contains(words), "no `{words}` in {page}");
    }
}

#[test]
fn a_target_of_all_requests_has_no_budget() {
    for (bad, text) in [(0, "0.00"), (1, "no budget")] {
        let mut one = daemon("one", HOUR_S, &[(5, 10, bad)]);
        one.classes[0].success_target_ppm = 1_000_000;
        let report = report(vec![one]);
        assert!(report.text().contains(text), "{}", report.text());
        assert!(report.html().contains(text));
    }
}

/// Any counts make a report in every form, and no request is lost or counted twice.
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
                    let mut burn = daemon(names[index], u64::from(*age_s), &[]);
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
            let all: u64 = burns
                .iter()
                .flat_map(|burn| &burn.classes[0].buckets)
                .map(|bucket| bucket.good + bucket.bad)
                .sum();
            let report = Report::new(0, burns, Vec::new());
            for class in &report.classes {
                let sizes = class.windows.iter().map(|w| w.good + w.bad);
                let sizes: Vec<u64> = sizes.collect();
                assert!(sizes.is_sorted(), "{sizes:?}");
                assert!(sizes[3] <= all);
            }
            assert!(!report.text().is_empty());
            assert!(!report.html().is_empty());
        });
}
