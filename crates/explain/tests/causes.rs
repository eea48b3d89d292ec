//! Causes that are determined from logs of a few lines each.

use event::{
    Event,
    HedgeOutcome,
    Line,
    Outcome,
    QueueWait,
    Reason,
    RequestEnded,
    ResponseEstimate,
    SendFailed,
    SendTarget,
    Severity,
    SnapshotInfo,
    UpstreamCounts, //
};
use explain::{
    Fault,
    Logs, //
};

/// Time of the request's end in each log.
const END_MS: u64 = 100_000;

fn send_target() -> SendTarget {
    SendTarget {
        upstream: "u-1".into(),
        region: "moshi".into(),
        failure_domain: "moshi-a".into(),
        key: Some("00000000000000a7".into()),
        load: 3.0,
        slots: 9,
        report_age_ms: Some(80),
        work_time: None,
        warm: true,
        expected: ResponseEstimate {
            wait_ms: 0,
            answer_ms: 150,
        },
    }
}

fn ended(outcome: Outcome) -> RequestEnded {
    RequestEnded {
        id: "4f".into(),
        outcome,
        status: None,
        reason: None,
        route: Some("lookups".into()),
        organisation: None,
        service: Some("menu".into()),
        sends: 1,
        may_have_run: true,
        fingerprint: None,
        sent: Some(send_target()),
        via: None,
        hedge: None,
        relayed_by: None,
        census: None,
        expected: None,
        retry_after_ms: None,
        wait: None,
        took_ms: 100,
        target_ms: Some(400),
        deadline_ms: Some(2000),
        picture: SnapshotInfo::default(),
    }
}

fn refused(reason: Reason, census: UpstreamCounts) -> RequestEnded {
    RequestEnded {
        status: Some(503),
        reason: Some(reason),
        sends: 0,
        may_have_run: false,
        fingerprint: None,
        sent: None,
        census: Some(census),
        expected: Some(ResponseEstimate {
            wait_ms: 380,
            answer_ms: 520,
        }),
        retry_after_ms: Some(380),
        ..ended(Outcome::Refused)
    }
}

fn send_failed(why: &str, not_run: bool) -> Event {
    Event::SendFailed(Box::new(SendFailed {
        id: "4f".into(),
        fingerprint: None,
        service: "menu".into(),
        sent: send_target(),
        not_run,
        why: why.to_owned(),
        retry_after_ms: None,
        after_ms: 60,
    }))
}

/// Crash of an upstream during another attempt of the request.
fn crashed(upstream: &'static str, fingerprint: &str) -> Event {
    Event::UpstreamCrashed {
        id: "other".into(),
        fingerprint: fingerprint.to_owned(),
        upstream: upstream.into(),
        service: "menu".into(),
    }
}

fn request(ended: RequestEnded) -> Event {
    Event::Request(Box::new(ended))
}

/// Another request that the same upstream answered.
fn other_answered(took_ms: u64) -> Event {
    request(RequestEnded {
        id: "other".into(),
        took_ms,
        ..ended(Outcome::Answered)
    })
}

fn removed() -> Event {
    Event::UpstreamRemoved {
        upstream: "u-1".into(),
        row_version: 9,
        after_outage: false,
    }
}

fn leaving() -> Event {
    Event::UpstreamListed {
        upstream: "u-1".into(),
        service: "menu".into(),
        leaving: true,
        cold_left_ms: 0,
        row_version: 8,
    }
}

/// Builds the log of one instance: its start, and the given events at times relative to the request's end.
fn logs(events: &[(i64, Event)]) -> Logs {
    let started = Event::Started {
        region: "moshi".into(),
        failure_domain: "moshi-a".into(),
        callers_addr: "127.0.0.1:7000".into(),
    };
    let mut text = String::new();
    for (at_ms, event) in [(-50_000, started)].iter().chain(events) {
        let line = Line {
            time_ms: END_MS.checked_add_signed(*at_ms).expect("in range"),
            level: Severity::Info,
            instance: "moshi-1".to_owned(),
            up_ms: 0,
            event: event.clone(),
        };
        text += &serde_json::to_string(&line).expect("plain data");
        text.push('\n');
    }
    let mut logs = Logs::default();
    logs.add("moshi-1.log", &text);
    logs
}

/// Defines a test per case: the events in the log, the expected fault, and a part of the expected evidence.
macro_rules! cases {
    ($($name:ident: [$($event:expr),* $(,)?] => $fault:ident, $evidence:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let logs = logs(&[$($event),*]);
                let trace = logs.trace("4f").expect("the log has the request's lines");
                assert_eq!(trace.cause.fault, Fault::$fault, "{trace}");
                let evidence = trace.cause.evidence.join("\n");
                assert!(evidence.contains($evidence), "{trace}");
            }
        )*
    };
}

cases! {
    answered_in_time: [(0, request(ended(Outcome::Answered)))] => None, "";
    late_in_the_queue: [(0, request(RequestEnded {
        took_ms: 600,
        sent: Some(SendTarget { expected: ResponseEstimate { wait_ms: 300, answer_ms: 450 }, ..send_target() }),
        ..ended(Outcome::Answered)
    }))] => Queued, "450 ms, 300 of them waiting";
    late_from_a_slow_upstream: [(0, request(RequestEnded {
        took_ms: 900,
        ..ended(Outcome::Answered)
    }))] => UpstreamSlow, "900 ms for a target of 400 ms";
    late_although_hedged: [(0, request(RequestEnded {
        took_ms: 480,
        sends: 2,
        hedge: Some(HedgeOutcome::SecondWon),
        ..ended(Outcome::Answered)
    }))] => UpstreamSlow, "it was sent to a second upstream as well";
    late_on_a_cold_upstream: [(0, request(RequestEnded {
        took_ms: 480,
        sent: Some(SendTarget { warm: false, ..send_target() }),
        ..ended(Outcome::Answered)
    }))] => ColdCache, "";
    late_from_another_region: [(0, request(RequestEnded {
        took_ms: 420,
        sent: Some(SendTarget {
            region: "dar".into(),
            expected: ResponseEstimate { wait_ms: 0, answer_ms: 380 },
            ..send_target()
        }),
        ..ended(Outcome::Answered)
    }))] => FarAway, "u-1 in dar";
    refused_without_free_slots: [
        (0, request(refused(Reason::NoSlotInTime, UpstreamCounts { open: 6, ..UpstreamCounts::default() }))),
    ] => Overload, "answer after 520 ms, 380 of them waiting";
    refused_during_an_evacuation: [
        (-3_000, Event::Evacuation {
            failure_domain: "moshi-b".into(),
            on: true,
            row_version: 4,
        }),
        (0, request(refused(Reason::NoSlotInTime, UpstreamCounts { open: 3, closed: 3, ..UpstreamCounts::default() }))),
    ] => Overload, "moshi-b was evacuated";
    refused_after_the_end_of_an_evacuation: [
        (-3_000, Event::Evacuation {
            failure_domain: "moshi-b".into(),
            on: true,
            row_version: 4,
        }),
        (-2_000, Event::Evacuation {
            failure_domain: "moshi-b".into(),
            on: false,
            row_version: 5,
        }),
        (0, request(refused(Reason::NoUpstreamOpen, UpstreamCounts { cold: 3, ..UpstreamCounts::default() }))),
    ] => NoUpstreamOpen, "0 open, 0 leaving, gone or evacuated, 3 cold";
    refused_after_crashes: [
        (-900, crashed("u-1", "0a")),
        (-600, crashed("u-9", "0b")),
        (-300, crashed("u-2", "0a")),
        (0, request(RequestEnded {
            fingerprint: Some("0a".into()),
            ..refused(Reason::Quarantined, UpstreamCounts::default())
        })),
    ] => Quarantined, "fingerprint 0a; crashed in these logs: u-1, u-2";
    refused_by_a_partitioned_entry: [
        (-300, Event::UpstreamsUnreachable {
            silence_ms: 320,
            failed_connections: 3,
            usable: 370,
            relays: 1,
        }),
        (-2, Event::RelayFailed {
            id: "4f".into(),
            entry: "dar-1".into(),
            not_run: true,
            why: "not sent: timeout".into(),
        }),
        (0, request(refused(Reason::Partitioned, UpstreamCounts::default()))),
    ] => Partitioned, "relayed to dar-1: not sent: timeout";
    refused_by_full_upstreams: [
        (-10, send_failed("status 503", true)),
        (0, request(refused(Reason::UpstreamRefused, UpstreamCounts::default()))),
    ] => UpstreamRefused, "u-1: status 503";
    refused_by_unreachable_upstreams: [
        (-10, send_failed("not sent: Connection refused", true)),
        (0, request(refused(Reason::NoUpstreamOpen, UpstreamCounts::default()))),
    ] => UpstreamUnreachable, "Connection refused";
    broken_off_by_an_upstream_that_ended: [
        (-5, send_failed("connection broke after the request was sent: reset", false)),
        (0, request(RequestEnded { reason: Some(Reason::SendFailed), ..ended(Outcome::Failed) })),
        (4_500, removed()),
    ] => UpstreamEnded, "4505 ms later";
    broken_off_by_an_upstream_that_keeps_running: [
        (-5, send_failed("malformed answer: invalid HTTP version", false)),
        (0, request(RequestEnded { reason: Some(Reason::SendFailed), ..ended(Outcome::Failed) })),
    ] => UpstreamBrokeOff, "malformed answer";
    broken_off_by_an_upstream_that_left: [
        (-900, leaving()),
        (-5, send_failed("connection broke after the request was sent: reset", false)),
        (0, request(RequestEnded { reason: Some(Reason::SendFailed), ..ended(Outcome::Failed) })),
        (4_500, removed()),
    ] => UpstreamBrokeOff, "reset";
    timed_out_at_a_silent_upstream: [
        (-1, send_failed("no answer before the deadline", false)),
        (0, request(RequestEnded { took_ms: 2_000, ..ended(Outcome::TimedOut) })),
    ] => UpstreamSilent, "answered nobody any more";
    timed_out_at_an_upstream_that_ended: [
        (0, request(RequestEnded { took_ms: 2_000, ..ended(Outcome::TimedOut) })),
        (2_500, removed()),
    ] => UpstreamEnded, "the store dropped it";
    timed_out_at_a_slow_upstream: [
        (-800, other_answered(1_400)),
        (0, request(RequestEnded { took_ms: 2_000, ..ended(Outcome::TimedOut) })),
    ] => UpstreamSlow, "the slowest after 1400 ms";
    timed_out_at_an_upstream_that_died: [
        (-1_900, other_answered(140)),
        (0, request(RequestEnded { took_ms: 2_000, ..ended(Outcome::TimedOut) })),
    ] => UpstreamSilent, "answered nobody any more";
    timed_out_while_others_were_answered: [
        (-800, other_answered(140)),
        (0, request(RequestEnded { took_ms: 2_000, ..ended(Outcome::TimedOut) })),
    ] => UpstreamBrokeOff, "answered 1 other requests";
    caller_left_early: [
        (0, request(RequestEnded { took_ms: 300, ..ended(Outcome::Cancelled) })),
    ] => CallerLeft, "after 300 of 2000 ms";
    cancelled_at_the_deadline: [
        (0, request(RequestEnded { took_ms: 1_980, ..ended(Outcome::Cancelled) })),
    ] => UpstreamSilent, "after 1980 of 2000 ms";
    closed_in_a_planned_stop: [
        (0, request(RequestEnded { sent: None, ..ended(Outcome::Closing) })),
    ] => PlannedStop, "nothing ran";
    no_routes_known_yet: [
        (-500, Event::StoreLost { table: "operator".into(), error: "no answer".into() }),
        (0, request(RequestEnded { sent: None, ..ended(Outcome::NoRoutes) })),
    ] => NoRoutes, "its calls to the store failed";
    route_that_may_be_newer_than_known: [
        (0, request(RequestEnded { sent: None, ..ended(Outcome::StaleRoutes) })),
    ] => StaleRoutes, "version 0 of the routes";
    unknown_route: [
        (0, request(RequestEnded { sent: None, ..ended(Outcome::NoSuchRoute) })),
    ] => BadRequest, "version 0 of the routes";
    request_without_a_valid_key: [
        (0, request(RequestEnded { sent: None, ..ended(Outcome::Unauthorized) })),
    ] => Unauthorized, "has its key";
    request_over_the_quota: [
        (0, request(RequestEnded {
            sent: None,
            organisation: Some("acme".into()),
            retry_after_ms: Some(700),
            ..ended(Outcome::OverQuota)
        })),
    ] => OverQuota, "organisation acme under version 0 of the routes";
    rejected_after_a_wait: [
        (0, request(RequestEnded {
            wait: Some(QueueWait { ms: 90, rank: [1, 2] }),
            ..refused(Reason::NoSlotInTime, UpstreamCounts { open: 3, ..UpstreamCounts::default() })
        })),
    ] => Overload, "waited 90 ms at the entry for a slot, with priority 1 of its organisation and 2 of its route";
    end_missing_from_the_logs: [(-5, send_failed("it was closed", false))] => Unfinished, "or its process ended";
    error_status_of_an_upstream: [
        (0, request(RequestEnded { status: Some(500), ..ended(Outcome::UpstreamError) })),
    ] => UpstreamFailed, "status 500 of u-1";
    cut_off_by_the_upstream: [
        (0, request(ended(Outcome::Answered))),
        (200, Event::AnswerCut {
            id: "4f".into(),
            upstream: "u-1".into(),
            why: "the connection was closed".into(),
            sent_bytes: 300_000,
            took_ms: 300,
        }),
    ] => UpstreamBrokeOff, "after 300000 bytes";
    cut_off_by_the_caller: [
        (0, request(ended(Outcome::Answered))),
        (200, Event::AnswerCut {
            id: "4f".into(),
            upstream: "u-1".into(),
            why: "the caller has gone".into(),
            sent_bytes: 300_000,
            took_ms: 300,
        }),
    ] => CallerLeft, "after 300000 bytes";
}

#[test]
fn failures_are_counted_by_cause() {
    let logs = logs(&[
        (
            0,
            request(refused(Reason::NoSlotInTime, UpstreamCounts::default())),
        ),
        (
            1,
            request(RequestEnded {
                id: "50".into(),
                ..refused(Reason::NoSlotInTime, UpstreamCounts::default())
            }),
        ),
        (2, other_answered(100)),
        (3, Event::LinesLeftOut { lines: 7 }),
    ]);
    let failures = logs.failures();
    assert_eq!(failures.get(&Fault::Overload), Some(&(2, "4f".to_owned())));
    assert_eq!(failures.len(), 1);
    assert_eq!(logs.missing_lines(), 7);
}

/// An id without a line is reported as unknown, with the possible reasons why its lines are missing.
#[test]
fn unknown_ids_report_missing_lines() {
    let started = Event::Started {
        region: "moshi".into(),
        failure_domain: "moshi-a".into(),
        callers_addr: "127.0.0.1:7000".into(),
    };
    let logs = logs(&[
        (
            0,
            Event::LinesDropped {
                lines: 3,
                since_start: 3,
            },
        ),
        (1, started),
    ]);
    let unknown = logs.trace("nowhere").expect_err("no line has the id");
    assert_eq!(unknown.ended_unplanned, ["moshi-1"]);
    assert_eq!(unknown.missing_lines, 3);
    let message = unknown.to_string();
    assert!(
        message.contains("moshi-1 ended without a planned stop"),
        "{message}"
    );
    let empty = Logs::default()
        .trace("4f")
        .expect_err("no lines at all")
        .to_string();
    assert!(empty.contains("no lines of an entry"), "{empty}");
}

#[test]
fn unreadable_lines_are_reported() {
    let mut logs = Logs::default();
    logs.add("a.log", "booting\n{\"time_ms\":1,\"level\":\"in\n");
    let (unreadable, count) = logs.unreadable();
    assert_eq!(count, 1);
    assert_eq!(unreadable[0].place, "a.log:2");
}
