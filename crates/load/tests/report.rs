//! The report's figures, computed from a few records of callers and upstreams.

use base::RunOutcome::Done;
use load::{
    CallerRecord,
    CallerResult,
    DrainTime,
    Evidence,
    FilingMethod,
    Leaving,
    Limits,
    Report,
    Run,
    SecondHeadroom,
    Try,
    TryEnd,
    UpstreamFacts, //
};

const CONFIG: &str = "
name: test
regions:
  - {id: arusha, failure_domains: [a]}
  - {id: moshi, failure_domains: [a]}
services: [menu]
classes:
  - {id: menu, service: menu, idempotent: true, priority: 0, latency_ms: 100, headroom_pct: 50, deadline_ms: 3000, success_pct: 99}
  - {id: notes, service: menu, idempotent: true, priority: 1, latency_ms: 100, headroom_pct: 30, deadline_ms: 3000, success_pct: 99}
caps:
  - {from: arusha, to: moshi, bytes_per_s: 5000, in_flight: 30, growth_per_s: 6}
  - {from: moshi, to: arusha, bytes_per_s: 5000, in_flight: 30, growth_per_s: 6}
blocks:
  - {block: 10.1.0.0/16, regions: [arusha, moshi]}
";
const START_MS: u64 = 1_000_000;

/// A request from arusha, `at_ms` after the start, with one try at `entry`.
fn caller(id: &str, at_ms: u64, entry: &str) -> CallerRecord {
    let at_us = (START_MS + at_ms) * 1_000;
    let attempt = Try {
        number: 1,
        entry: entry.into(),
        filing: None,
        sent_us: at_us,
        ended_us: at_us + 900_000,
        end: TryEnd::Answered(Done),
        request: None,
        instance: None,
        status: Some(200),
        detail: None,
    };
    CallerRecord {
        id: id.into(),
        class: "menu".into(),
        region: "arusha".into(),
        filing: FilingMethod::None,
        scheduled_us: at_us,
        started_us: at_us,
        finished_us: at_us + 900_000,
        deadline_ms: 3_000,
        result: CallerResult::Done,
        flaw: None,
        tries: vec![attempt],
    }
}

fn run(id: &str, upstream: &str, from_ms: u64, to_ms: u64) -> Run {
    Run {
        upstream: upstream.into(),
        id: id.into(),
        try_number: 1,
        filing: None,
        arrived_us: (START_MS + from_ms) * 1_000,
        started_us: Some((START_MS + from_ms) * 1_000),
        ended_us: Some((START_MS + to_ms) * 1_000),
        end: "ran".into(),
        bytes: 1_000,
    }
}

/// Two seconds of arrivals, and an upstream with two slots in each region.
fn evidence(runs: Vec<Run>) -> Evidence {
    let facts = |region: &str| UpstreamFacts {
        service: "menu".into(),
        region: region.into(),
        slots: 2,
        max_queued: 0,
    };
    Evidence {
        callers: vec![caller("c1", 0, "entry-a"), caller("c2", 1_999, "entry-m")],
        runs,
        upstreams: [
            ("a0".into(), facts("arusha")),
            ("m0".into(), facts("moshi")),
        ]
        .into(),
        entries: [
            ("entry-a".into(), "arusha".into()),
            ("entry-m".into(), "moshi".into()),
        ]
        .into(),
        limits: Limits::read("config", CONFIG).unwrap(),
        ..Evidence::default()
    }
}

fn report(evidence: &Evidence) -> Report {
    Report::new(evidence, Vec::new())
}

/// Minimum and mean of each second, in whole percent.
fn seconds(headroom: &[SecondHeadroom]) -> Vec<(i64, i64)> {
    let whole = |pct: f64| pct.round() as i64;
    headroom
        .iter()
        .map(|second| (whole(second.least_pct), whole(second.mean_pct)))
        .collect()
}

macro_rules! headroom {
    ($($name:ident: [$($run:expr),*] => $seconds:expr, below $below:expr;)*) => {$(
        #[test]
        fn $name() {
            let report = report(&evidence(vec![$($run),*]));
            let headroom = &report.headroom["menu/arusha"];
            assert_eq!((headroom.slots, headroom.target_pct), (2, Some(30)));
            assert_eq!(seconds(&headroom.seconds), $seconds);
            assert_eq!(headroom.seconds_below, $below);
        }
    )*};
}

headroom! {
    idle_region_has_full_headroom: [] => [(100, 100), (100, 100)], below 0;
    runs_in_another_region_use_no_slot: [run("c1", "m0", 0, 2_000)]
        => [(100, 100), (100, 100)], below 0;
    one_run_of_half_a_second: [run("c1", "a0", 0, 500)] => [(50, 75), (100, 100)], below 0;
    one_run_over_the_boundary: [run("c1", "a0", 500, 1_500)] => [(50, 75), (50, 75)], below 0;
    one_run_from_before_the_first_arrival: [Run {
        started_us: Some(START_MS * 1_000 - 5_000_000),
        ..run("c1", "a0", 0, 1_000)
    }] => [(50, 50), (100, 100)], below 0;
    all_slots_in_use_for_a_second: [run("c1", "a0", 0, 1_000), run("c2", "a0", 0, 1_000)]
        => [(0, 0), (100, 100)], below 1;
    running_request_uses_its_slot: [Run { ended_us: None, ..run("c1", "a0", 1_000, 0) }]
        => [(100, 100), (50, 50)], below 0;
    refused_request_uses_no_slot: [Run { started_us: None, ..run("c1", "a0", 0, 1_000) }]
        => [(100, 100), (100, 100)], below 0;
    run_that_starts_as_another_ends: [run("c1", "a0", 0, 500), run("c2", "a0", 500, 1_000)]
        => [(50, 50), (100, 100)], below 0;
}

/// `(requests, bytes, bytes of the second with the most)` of a pair.
fn shifted_figures(report: &Report, pair: &str) -> (u64, u64, u64) {
    let shifted = &report.shifted[pair];
    assert_eq!(shifted.cap_bytes_per_s, Some(5_000));
    (shifted.requests, shifted.bytes, shifted.peak_bytes_per_s)
}

macro_rules! shifts {
    ($($name:ident: [$($run:expr),*], $pair:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let report = report(&evidence(vec![$($run),*]));
            assert_eq!(shifted_figures(&report, $pair), $expected);
        }
    )*};
}

shifts! {
    work_in_the_entrys_region_is_not_shifted: [run("c1", "a0", 0, 10)], "arusha>moshi" => (0, 0, 0);
    work_in_another_region_is_shifted: [run("c1", "m0", 0, 10)], "arusha>moshi" => (1, 1_000, 1_000);
    opposite_direction_is_a_separate_pair: [run("c1", "m0", 0, 10)], "moshi>arusha" => (0, 0, 0);
    work_in_the_other_entrys_region_is_not_shifted: [run("c2", "m0", 1_999, 2_000)],
        "arusha>moshi" => (0, 0, 0);
    runs_of_two_seconds_peak_in_one: [
        run("c1", "m0", 0, 10), run("c1", "m0", 0, 20), run("c1", "m0", 0, 1_500)
    ], "arusha>moshi" => (3, 3_000, 2_000);
    refused_request_is_not_shifted: [Run { started_us: None, ..run("c1", "m0", 0, 10) }],
        "arusha>moshi" => (0, 0, 0);
}

/// Drain of `a0`, requested at 100 ms and detectable from 300 ms on.
fn drained(until_ms: Option<u64>, runs: Vec<Run>) -> DrainTime {
    let us = |ms: u64| (START_MS + ms) * 1_000;
    let leaving = Leaving {
        upstream: "a0".into(),
        requested_us: us(100),
        since_us: us(300),
        until_us: until_ms.map(us),
    };
    let evidence = Evidence {
        leaving: vec![leaving],
        ..evidence(runs)
    };
    report(&evidence).drains.remove(0)
}

macro_rules! drains {
    ($($name:ident: until $until:expr, [$($run:expr),*] => $duration_ms:expr, $arrived:expr;)*) => {$(
        #[test]
        fn $name() {
            let drain = drained($until, vec![$($run),*]);
            assert_eq!((drain.duration_ms, drain.arrived), ($duration_ms, $arrived));
        }
    )*};
}

drains! {
    no_new_work: until None, [run("c1", "a0", 99, 5_000)] => 0, 0;
    last_new_work_counts: until None, [run("c1", "a0", 200, 210), run("c2", "a0", 900, 910)] => 800, 2;
    work_elsewhere_does_not_count: until None, [run("c1", "m0", 900, 910)] => 0, 0;
    work_after_the_return_does_not_count: until Some(500), [
        run("c1", "a0", 200, 210), run("c2", "a0", 500, 510)
    ] => 100, 1;
}

/// Retries of callers, retries of entries, and both per request.
fn retries(evidence: &Evidence) -> (u64, u64, f64) {
    let row = &report(evidence).classes["menu"];
    (row.retries, row.entry_retries, row.retries_per_request)
}

#[test]
fn no_retries() {
    let evidence = evidence(vec![run("c1", "a0", 0, 10), run("c2", "m0", 1_999, 2_010)]);
    assert_eq!(retries(&evidence), (0, 0, 0.0));
}

#[test]
fn second_upstream_counts_as_an_entry_retry() {
    let evidence = evidence(vec![run("c1", "a0", 0, 10), run("c1", "m0", 20, 30)]);
    assert_eq!(retries(&evidence), (0, 1, 0.5));
}

#[test]
fn second_try_counts_as_a_caller_retry() {
    let mut evidence = evidence(vec![run("c1", "a0", 0, 10)]);
    let second_try = Try {
        number: 2,
        ..evidence.callers[0].tries[0].clone()
    };
    evidence.callers[0].tries.push(second_try);
    let second_run = Run {
        try_number: 2,
        ..run("c1", "a0", 20, 30)
    };
    evidence.runs.push(second_run);
    assert_eq!(retries(&evidence), (1, 0, 0.5));
}

#[test]
fn text_and_json_have_the_same_figures() {
    let report = report(&evidence(vec![run("c1", "m0", 0, 500)]));
    let text = report.to_string();
    let json = serde_json::to_value(&report).unwrap();
    for part in ["menu/moshi", "arusha>moshi"] {
        assert!(text.contains(part), "{part} is missing from {text}");
    }
    assert_eq!(
        json["headroom"]["menu/moshi"]["seconds"][0]["mean_pct"],
        75.0
    );
    assert_eq!(json["shifted"]["arusha>moshi"]["seconds_bytes"][0], 1_000);
    assert_eq!(
        json["class_regions"]["menu/arusha"]["retries_per_request"],
        0.0
    );
}
