//! Round trip of every event through a log line.

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
    Severity, //
    SnapshotInfo,
    StatedWorkTime,
    UpstreamCounts, //
};

fn sent() -> SendTarget {
    SendTarget {
        upstream: "u-1".into(),
        region: "moshi".into(),
        failure_domain: "moshi-a".into(),
        key: Some("00000000000000a7".into()),
        load: 2.5,
        slots: 9,
        report_age_ms: Some(120),
        work_time: Some(StatedWorkTime {
            pct: 250,
            age_ms: 90,
        }),
        warm: true,
        expected: ResponseEstimate {
            wait_ms: 20,
            answer_ms: 180,
        },
    }
}

fn ended() -> RequestEnded {
    RequestEnded {
        id: "4f".into(),
        outcome: Outcome::Refused,
        status: Some(503),
        reason: Some(Reason::NoSlotInTime),
        route: Some("lookups".into()),
        organisation: Some("acme".into()),
        service: Some("menu".into()),
        sends: 0,
        may_have_run: false,
        fingerprint: Some("0a".into()),
        sent: None,
        via: Some("dar-1".into()),
        hedge: None,
        relayed_by: Some("dar-2".into()),
        census: Some(UpstreamCounts {
            open: 3,
            closed: 1,
            cold: 0,
            paused: 5,
            failing: 2,
        }),
        expected: Some(ResponseEstimate {
            wait_ms: 400,
            answer_ms: 520,
        }),
        retry_after_ms: Some(400),
        wait: Some(QueueWait {
            ms: 90,
            rank: [1, 2],
        }),
        took_ms: 1,
        target_ms: Some(300),
        deadline_ms: Some(2000),
        picture: SnapshotInfo {
            routes: 7,
            number: 12,
            age_ms: 40,
        },
    }
}

/// Declares a test for each event.
macro_rules! read_back {
    ($($name:ident: $event:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check(&$event);
            }
        )*
    };
}

/// Guards against an event field with the same name as a field of the line: such a line can't be parsed,
/// and only lines of that event are affected.
fn check(event: &Event) {
    let line = Line {
        time_ms: 1_770_974_084_016,
        level: event.severity(),
        instance: "moshi-1".into(),
        up_ms: 8_207,
        event: event.clone(),
    };
    let text = serde_json::to_string(&line).expect("the line can be serialised");
    let collected = format!("2026-12-03 moshi-1 {text}");
    let read = Line::parse(&collected)
        .expect("a JSON object")
        .expect("a known event");
    assert_eq!(read, line, "{text}");
}

read_back! {
    started: Event::Started {
        region: "moshi".into(),
        failure_domain: "moshi-a".into(),
        callers_addr: "127.0.0.1:7000".into(),
    };
    ports_not_served: Event::PortsNotServed { error: "in use".into() };
    reload_asked: Event::ReloadAsked;
    settings_in_force: Event::SettingsInForce { after_restart: "regions".into() };
    settings_refused: Event::SettingsRefused { findings: vec!["a".into(), "b".into()] };
    stopping: Event::Stopping { under_way: 3 };
    stopped: Event::Stopped { under_way: 0, took_ms: 3_500 };
    store_lost: Event::StoreLost { table: "operator".into(), error: "no answer".into() };
    store_regained: Event::StoreRegained {
        table: "operator".into(),
        outage_ms: 40,
        failed_calls: 2,
        last_call_ms: 10,
        retry_ms: 20,
    };
    table_read: Event::TableRead { table: "operator".into(), rows: 2, position: 9 };
    history_gone: Event::HistoryGone { table: "operator".into(), position: 9 };
    body_refused: Event::BodyRefused { held_bytes: 40_000_000, limit_bytes: 40_000_000 };
    row_unreadable: Event::RowUnreadable { row: "routes".into(), findings: vec!["x".into()] };
    own_row_not_removed: Event::OwnRowNotRemoved;
    lost_entry_row: Event::LostEntryRow { row: "entries/a".into(), outcome: "done".into() };
    routes_in_force: Event::RoutesInForce { version: 7, from: "store".into() };
    evacuation: Event::Evacuation { failure_domain: "moshi-a".into(), on: true, row_version: 9 };
    evacuations_ended: Event::EvacuationsEnded { position: 9 };
    evacuations_heard: Event::EvacuationsHeard { from: "dar-1".into() };
    picture_taken: Event::PictureTaken {
        from: "dar-1".into(),
        routes_version: 7,
        upstreams: 3,
        position: 9,
    };
    entries_not_read: Event::EntriesNotRead { error: "no answer".into() };
    hub_not_reading: Event::HubNotReading { hub: "dar-1".into(), table: "operator".into() };
    upstreams_heard: Event::UpstreamsHeard { from: "dar-1".into() };
    upstream_listed: Event::UpstreamListed {
        upstream: "u-1".into(),
        service: "menu".into(),
        leaving: true,
        cold_left_ms: 200,
        row_version: 9,
    };
    upstream_removed: Event::UpstreamRemoved {
        upstream: "u-1".into(),
        row_version: 9,
        after_outage: true,
    };
    cold_leases: Event::ColdLeases {
        outcome: "granted".into(),
        upstreams: vec!["u-1".into()],
        row_version: 9,
        took_ms: 12,
    };
    cold_leases_removed: Event::ColdLeasesRemoved { rows: 3, outcome: "done".into() };
    upstream_passed_over: Event::UpstreamPassedOver {
        upstream: "u-1".into(),
        service: "menu".into(),
        away_ms: 400,
        not_there: true,
    };
    upstream_back: Event::UpstreamBack { upstream: "u-1".into(), service: "menu".into() };
    upstream_closed: Event::UpstreamClosed {
        upstream: "u-1".into(),
        service: "menu".into(),
        why: "it leaves".into(),
    };
    retries_spent: Event::RetriesSpent { service: "menu".into() };
    no_peers_port: Event::NoPeersPort { error: "in use".into() };
    entry_connected: Event::EntryConnected { entry: "dar-1".into(), incarnation: 3 };
    entry_lost: Event::EntryLost { entry: "dar-1".into(), why: "silent".into() };
    stranger_refused: Event::StrangerRefused { addr: "127.0.0.1:1".into(), why: "no proof".into() };
    message_unreadable: Event::MessageUnreadable { from: "dar-1".into(), error: "x".into() };
    message_unwritable: Event::MessageUnwritable { error: "x".into() };
    request: Event::Request(Box::new(ended()));
    request_sent: Event::Request(Box::new(RequestEnded {
        outcome: Outcome::Answered,
        sent: Some(sent()),
        census: None,
        ..ended()
    }));
    request_hedged: Event::Request(Box::new(RequestEnded {
        outcome: Outcome::Answered,
        sends: 2,
        sent: Some(sent()),
        hedge: Some(HedgeOutcome::SecondWon),
        ..ended()
    }));
    send_failed: Event::SendFailed(Box::new(SendFailed {
        id: "4f".into(),
        fingerprint: Some("0a".into()),
        service: "menu".into(),
        sent: sent(),
        not_run: false,
        why: "it was closed".into(),
        retry_after_ms: None,
        after_ms: 30,
    }));
    send_rejected: Event::SendFailed(Box::new(SendFailed {
        id: "4f".into(),
        fingerprint: Some("0a".into()),
        service: "menu".into(),
        sent: sent(),
        not_run: true,
        why: "status 503".into(),
        retry_after_ms: Some(3_000),
        after_ms: 30,
    }));
    upstream_paused: Event::UpstreamPaused {
        upstream: "u-1".into(),
        service: "menu".into(),
        pause_ms: 3_000,
    };
    upstreams_unreachable: Event::UpstreamsUnreachable {
        silence_ms: 320,
        failed_connections: 3,
        usable: 370,
        relays: 9,
    };
    upstreams_reachable: Event::UpstreamsReachable { after_ms: 11_800 };
    relay_failed: Event::RelayFailed {
        id: "4f".into(),
        entry: "dar-1".into(),
        not_run: true,
        why: "not sent: connection refused".into(),
    };
    upstream_leaving: Event::UpstreamLeaving { upstream: "u-1".into(), from: "dar-1".into() };
    upstream_limit: Event::UpstreamLimit {
        upstream: "u-1".into(),
        service: "menu".into(),
        limit_per_s: Some(6.4),
    };
    upstream_crashed: Event::UpstreamCrashed {
        id: "4f".into(),
        fingerprint: "0a".into(),
        upstream: "u-1".into(),
        service: "menu".into(),
    };
    request_quarantined: Event::RequestQuarantined {
        fingerprint: "0a".into(),
        from: "dar-1".into(),
    };
    crash_row_removed: Event::CrashRowRemoved {
        row: "entries/.crashes/0a".into(),
        outcome: "x".into(),
    };
    answer_cut: Event::AnswerCut {
        id: "4f".into(),
        upstream: "u-1".into(),
        why: "the caller has gone".into(),
        sent_bytes: 300_000,
        took_ms: 90,
    };
    request_not_read: Event::RequestNotRead { why: "Malformed".into(), status: 400 };
    accept_failed: Event::AcceptFailed { error: "x".into() };
    caller_turned_away: Event::CallerTurnedAway { most: 700 };
    lines_left_out: Event::LinesLeftOut { lines: 12 };
    lines_dropped: Event::LinesDropped { lines: 12, since_start: 40 };
    text: Event::Text { text: "from a library".into() };
}

#[test]
fn parse_distinguishes_other_text_from_truncated_event() {
    assert!(Line::parse("starting up").is_none());
    assert!(matches!(
        Line::parse("x {\"time_ms\":1,\"lev"),
        Some(Err(_))
    ));
    assert_eq!(Event::OwnRowNotRemoved.severity(), Severity::Warn);
}
