//! Bad input at the callers' port: each request gets one clear response, is counted and has no
//! effect.
//!
//! Each row sends bytes verbatim and checks the response's status, its `jasmine-outcome` and its
//! text. After all rows no upstream has run anything, and the daemon still serves requests. Other
//! tests cover bytes that follow a good request, expired tickets, callers that disconnect, and
//! unknown clients at the peers' port.

use rig::{
    send_raw,
    Layout,
    Rig, //
};
use serde_json::Value;
use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Limit on waits for a condition; generous, for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(40);

/// Header with a request id, which the response repeats.
const REQUEST_ID: &str = "jasmine-request: row-7\r\n";

/// A request and the response expected to it.
struct Row {
    name: &'static str,
    request: String,
    status: u16,
    /// Text that the response must contain.
    text: &'static str,
    outcome: &'static str,
}

fn row(name: &'static str, request: impl Into<String>, status: u16, text: &'static str) -> Row {
    Row {
        name,
        request: request.into(),
        status,
        text,
        outcome: "not-run",
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{REQUEST_ID}\r\n")
}

fn post(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{REQUEST_ID}{headers}content-length: 2\r\n\r\nhi"
    )
}

/// Heads that the HTTP library refuses, with the reason under which they are counted.
fn refused_heads() -> Vec<(Row, &'static str)> {
    let long = "a".repeat(400_000);
    let head = |lines: &str| format!("POST /v1/work/menu/x HTTP/1.1\r\nhost: x\r\n{lines}\r\n");
    let malformed = |name, request: String| {
        let row = row(name, request, 400, "400 Bad Request");
        (row, "head")
    };
    let oversized = |name, request: String| {
        let row = row(name, request, 431, "431 Request Header Fields Too Large");
        (row, "oversized-head")
    };
    vec![
        malformed("no request line", "HELLO\r\n\r\n".into()),
        malformed("unknown version", "GET /v1/live HTTP/9.9\r\n\r\n".into()),
        malformed("header without a colon", head("no colon\r\n")),
        malformed("header with a control byte", head("x: a\0b\r\n")),
        malformed("invalid length", head("content-length: many\r\n")),
        malformed(
            "two lengths",
            head("content-length: 1\r\ncontent-length: 2\r\n"),
        ),
        malformed(
            "unknown transfer coding",
            head("transfer-encoding: rice\r\n"),
        ),
        oversized("oversized header", head(&format!("x: {long}\r\n"))),
        oversized("oversized path", format!("GET /v1/{long} HTTP/1.1\r\n\r\n")),
    ]
}

fn rows() -> Vec<Row> {
    let forged_ticket =
        "jasmine-ticket: t1.orders.arusha-0.1.1.fffffffffff.00000000000000000000000000000000\r\n";
    vec![
        row("no class", get("/v1/entries"), 400, "class: missing"),
        row(
            "several errors at once",
            get("/v1/entries?block=10.0.0&x=1"),
            400,
            "block: \\\"10.0.0\\\" is no IP address; x: no such parameter; class: missing",
        ),
        row(
            "class twice",
            get("/v1/entries?class=menu&class=menu"),
            400,
            "class: given twice",
        ),
        row(
            "unknown class",
            get("/v1/entries?class=tea"),
            404,
            "no class named \\\"tea\\\"",
        ),
        row(
            "unknown class of work",
            get("/v1/work/tea/x"),
            404,
            "no class named \\\"tea\\\"",
        ),
        row("unknown path", get("/v2/entries"), 400, "no such path"),
        row(
            "wrong method",
            post("/v1/entries", ""),
            400,
            "only GET is served here",
        ),
        row(
            "wrong method for a page",
            post("/v1/ready", ""),
            400,
            "only GET is served here",
        ),
        row(
            "web socket",
            post(
                "/v1/work/menu/x",
                "upgrade: websocket\r\nconnection: upgrade\r\n",
            ),
            400,
            "no web sockets",
        ),
        row(
            "invalid deadline",
            post("/v1/work/menu/x", "jasmine-deadline-ms: soon\r\n"),
            400,
            "jasmine-deadline-ms: no whole number of milliseconds",
        ),
        row(
            "deadline of zero",
            post("/v1/work/menu/x", "jasmine-deadline-ms: 0\r\n"),
            400,
            "jasmine-deadline-ms: no whole number of milliseconds",
        ),
        row(
            "filing without a ticket",
            post("/v1/work/orders/x", ""),
            400,
            "needs a Jasmine-Ticket",
        ),
        row(
            "malformed ticket",
            post("/v1/work/orders/x", "jasmine-ticket: please\r\n"),
            409,
            "the ticket is malformed",
        ),
        row(
            "forged ticket",
            post("/v1/work/orders/x", forged_ticket),
            409,
            "the ticket's hash is wrong",
        ),
        row(
            "ticket and key",
            post(
                "/v1/work/orders/x",
                "jasmine-ticket: a\r\nidempotency-key: b\r\n",
            ),
            400,
            "not both",
        ),
        row(
            "empty key",
            post("/v1/work/orders/x", "idempotency-key: \r\n"),
            400,
            "Idempotency-Key: 1 to 200",
        ),
        row(
            "invalid proof of forwarding",
            post("/v1/work/orders/x", "jasmine-forward: moshi-0:00\r\n"),
            400,
            "needs a Jasmine-Ticket",
        ),
    ]
}

/// Describes how the response to a row differs from the expected one.
fn mismatch(addr: &str, row: &Row) -> Option<String> {
    let (status, text) = send_raw(addr, &row.request);
    let responses = text.matches("HTTP/1.1 ").count();
    let outcome = format!("jasmine-outcome: {}\r\n", row.outcome);
    let outcomes = text.matches(&outcome).count();
    let identified = text.contains("jasmine-instance: arusha-")
        && text.contains("jasmine-region: arusha\r\n")
        && text.contains(REQUEST_ID) == row.request.contains(REQUEST_ID);
    let expected = status == row.status && text.contains(row.text);
    let matches = expected && identified && responses == 1 && outcomes == 1;
    (!matches).then(|| {
        format!(
            "{}: expected one response, {}, {} {:?}, got {text}",
            row.name, row.outcome, row.status, row.text
        )
    })
}

/// Value of a counter on the metrics page; 0 if it is absent.
fn counter(addr: &str, name: &str) -> u64 {
    let (status, text) = send_raw(addr, &get("/metrics"));
    assert_eq!(status, 200);
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a number"))
}

fn wait_for(description: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "timed out waiting for {description}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn each_bad_request_gets_one_clear_answer_and_changes_nothing() {
    let rig = Rig::start(Layout::two_regions()).unwrap();
    let addr = rig.daemons["arusha-0"].callers_addr.as_str();
    let mismatches: Vec<_> = rows()
        .iter()
        .filter_map(|row| mismatch(addr, row))
        .collect();
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
    assert_eq!(rig.run_count(), 0, "an upstream ran a request");
    for reason in ["bad-request", "unknown-class", "ticket-refused"] {
        let name = format!("jasmine_own_answers_total{{reason=\"{reason}\"}}");
        assert!(counter(addr, &name) > 0, "{reason} is not counted");
    }
    let (status, text) = send_raw(addr, &get("/v1/work/menu/today"));
    assert_eq!(status, 200, "{text}");
}

/// Sends malformed HTTP, and checks the responses and their counters.
fn check_malformed(addr: &str, rows: &[(Row, &str)]) {
    let mut mismatches = Vec::new();
    for (row, reason) in rows {
        let name = format!("jasmine_malformed_requests_total{{reason=\"{reason}\"}}");
        let before = counter(addr, &name);
        mismatches.extend(mismatch(addr, row));
        let counted = counter(addr, &name) - before;
        if counted != 1 {
            mismatches.push(format!("{}: counted {counted} times", row.name));
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}

/// Symptom: a caller whose proxy corrupts heads gets a 400 without an outcome, and operators don't
/// see it. Sequence: a request head is malformed or too long. Cause: the HTTP library refuses it
/// before any handler runs.
#[test]
fn each_head_that_is_no_http_gets_one_clear_answer_and_is_counted() {
    let rig = Rig::start(Layout::two_regions()).unwrap();
    let addr = rig.daemons["arusha-0"].callers_addr.as_str();
    check_malformed(addr, &refused_heads());
    assert_eq!(rig.run_count(), 0, "an upstream ran a request");
    let (status, text) = send_raw(addr, &get("/v1/work/menu/today"));
    assert_eq!(status, 200, "{text}");
}

/// Symptom: a caller whose proxy corrupts bodies sees only a closed connection, and operators don't
/// see it. Sequence: a chunk has no valid length. Cause: the HTTP library closes the connection.
/// The body before that chunk may have been sent to an upstream, so the outcome is unknown.
#[test]
fn each_body_that_is_no_http_gets_one_clear_answer_and_is_counted() {
    let rig = Rig::start(Layout::two_regions()).unwrap();
    let addr = rig.daemons["arusha-0"].callers_addr.as_str();
    let chunked = |line: &str, body: &str| {
        format!("{line} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n{body}")
    };
    let unknown_outcome = |name, body: &str| Row {
        outcome: "unknown",
        ..row(
            name,
            chunked("POST /v1/work/menu/x", body),
            400,
            "400 Bad Request",
        )
    };
    let look_up = chunked("GET /v1/entries", "rice\r\n");
    check_malformed(
        addr,
        &[
            (unknown_outcome("first chunk", "rice\r\n"), "body"),
            (
                unknown_outcome("later chunk", "3\r\nabc\r\nrice\r\n"),
                "body",
            ),
            (
                row("refused before the body", look_up, 400, "class: missing"),
                "body",
            ),
        ],
    );
    let (status, text) = send_raw(addr, &get("/v1/work/menu/today"));
    assert_eq!(status, 200, "{text}");
}

/// Symptom: a port scan exhausts the memory, or connection attempts without the key go unnoticed.
/// Sequence: three requests that are no websocket handshake arrive at the peers' port. Cause: the
/// port expects only daemons.
#[test]
fn strangers_at_the_peers_port_get_one_clear_answer_and_are_counted() {
    let rig = Rig::start(Layout::two_regions()).unwrap();
    let daemon = &rig.daemons["arusha-0"];
    let strangers = || counter(&daemon.callers_addr, "jasmine_peer_strangers_total ");
    let before = strangers();
    for request in ["HELLO\r\n\r\n", &get("/v1/live"), &post("/", "")] {
        let (status, text) = send_raw(&daemon.peers_addr, request);
        assert_eq!(status, 400, "{text}");
        assert!(text.ends_with("not a websocket handshake\n"), "{text}");
    }
    // The control loop updates the counters at its ticks.
    wait_for("the strangers to be counted", || strangers() == before + 3);
    let other_daemons = u64::try_from(rig.daemons.len() - 1).unwrap();
    assert!(counter(&daemon.callers_addr, "jasmine_peers ") <= other_daemons);
}

/// Symptom: the caller of a good request gets no response, or one that says `not-run` although the
/// request ran. Sequence: malformed bytes follow a good request on its connection, as after a
/// `content-length` that is too short. Cause: the refusal of those bytes is taken for the response
/// to the request.
#[test]
fn what_follows_a_good_request_changes_nothing_about_its_answer() {
    let rig = Rig::start(Layout::two_regions()).unwrap();
    let addr = rig.daemons["arusha-0"].callers_addr.as_str();
    let good = "GET /v1/work/menu/today HTTP/1.1\r\nhost: x\r\n\r\n";
    let (status, text) = send_raw(addr, &format!("{good}HELLO\r\n\r\n"));
    let (first, second) = text.split_at(text.rfind("HTTP/1.1 ").unwrap_or(0));
    assert_eq!(status, 200, "{text}");
    assert!(first.contains("jasmine-outcome: done\r\n"), "{text}");
    assert!(!first.contains("not-run"), "{text}");
    assert!(second.starts_with("HTTP/1.1 400"), "{text}");
    assert!(second.contains("jasmine-outcome: not-run\r\n"), "{text}");
    assert_eq!(rig.run_count(), 1);
}

/// Symptom: requests of callers that have disconnected keep their slots, and upstreams serve them
/// in vain. Sequence: the caller closes the connection while a slow upstream serves its request.
/// Cause: the connection is not read while the entry waits for the upstream's response.
#[test]
fn a_caller_who_goes_away_frees_the_slot() {
    let mut layout = Layout::two_regions();
    // Neither the deadline nor the upstream ends the request during the test.
    layout.classes[0].deadline_ms = 600_000;
    layout.classes[0].service_ms = 600_000.0;
    let rig = Rig::start(layout).unwrap();
    let daemon = &rig.daemons["arusha-0"];
    let active_requests = || counter(&daemon.callers_addr, "jasmine_active_requests ");
    let mut caller = TcpStream::connect(&daemon.callers_addr).unwrap();
    caller
        .write_all(b"GET /v1/work/menu/today HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    wait_for("the request to be in flight", || {
        active_requests() == 1 && rig.run_count() == 1
    });
    drop(caller);
    wait_for("the request to end", || active_requests() == 0);
}

/// Symptom: an order filed with an expired ticket runs, although the outcome of an earlier copy may
/// already be forgotten. Sequence: a caller keeps a ticket beyond its lifetime and then uses it for
/// the first time. Cause: only the ticket's hash is checked.
#[test]
fn an_expired_ticket_is_refused_and_counted() {
    let mut layout = Layout::two_regions();
    layout.terms.push(("ticket_ms", 1_000));
    let rig = Rig::start(layout).unwrap();
    let path = "/v1/entries?class=orders&block=10.1.0.1";
    let (status, text) = send_raw(&rig.daemons["arusha-0"].callers_addr, &get(path));
    assert_eq!(status, 200, "{text}");
    let (_, body) = text
        .split_once("\r\n\r\n")
        .expect("the response has a body");
    let look_up: Value = serde_json::from_str(body).expect("the body is JSON");
    let addr = look_up["entries"][0]["addr"].as_str().expect("an address");
    let ticket = look_up["ticket"].as_str().expect("a ticket");
    // A longer sleep would do no harm: for a minute after its expiry, an unused ticket is still
    // known to be unused.
    thread::sleep(Duration::from_secs(2));
    let filing = post(
        "/v1/work/orders/x",
        &format!("jasmine-ticket: {ticket}\r\n"),
    );
    let name = "jasmine_own_answers_total{reason=\"ticket-refused\"}";
    let before = counter(addr, name);
    for copy in 1..=2 {
        let row = row("expired", &filing, 409, "ExpiredUnused");
        assert_eq!(mismatch(addr, &row), None);
        assert_eq!(counter(addr, name), before + copy);
    }
    assert_eq!(rig.run_count(), 0, "an upstream ran a request");
}
