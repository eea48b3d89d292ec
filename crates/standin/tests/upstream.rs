//! Tests of upstreams: responses, faults, and agreement of the record with what ran.

use actix_web::rt::time::sleep;
use serde_json::{
    json,
    Value, //
};
use standin::{
    pattern::Pattern,
    upstream::{
        self,
        Faults,
        Load,
        Record,
        RecordEntry,
        RequestOutcome,
        State,
        Upstream, //
    }, //
};
use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of polls; as many intervals are also the read timeout of a response.
const MAX_POLLS: u32 = 6000;

/// Starts an upstream with two slots and further configuration fields.
fn start(fields: &str) -> Arc<Upstream> {
    let spec = format!("id=u,service=s,region=r,domain=d,slots=2,{fields}");
    let (upstream, server) = Upstream::serve(spec.parse().unwrap()).unwrap();
    actix_web::rt::spawn(server);
    upstream
}

/// Replaces the active faults.
fn set_faults(upstream: &Arc<Upstream>, faults: Value) {
    upstream.set_faults(serde_json::from_value::<Faults>(faults).unwrap());
}

/// Sends a request on a new connection.
fn send(addr: SocketAddr, path: &str, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(MAX_POLLS * POLL_INTERVAL))
        .unwrap();
    let head = format!("GET {path} HTTP/1.1\r\nhost: u\r\nconnection: close\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Reads a response until the connection ends, and returns its head and the part of its body that
/// arrived.
fn read(mut stream: TcpStream) -> (String, Vec<u8>) {
    let mut response = Vec::new();
    // A reset ends the response, too.
    let _ = stream.read_to_end(&mut response);
    let end = response.windows(4).position(|w| w == b"\r\n\r\n");
    let body = end.map_or(response.len(), |end| end + 4);
    let head = String::from_utf8_lossy(&response[..body]).to_lowercase();
    (head, response.split_off(body))
}

/// Sends a request and reads the response without blocking the test's thread.
async fn get(addr: SocketAddr, path: &str, headers: &str) -> (String, Vec<u8>) {
    let (path, headers) = (path.to_owned(), headers.to_owned());
    let exchange = move || read(send(addr, &path, &headers));
    actix_web::rt::task::spawn_blocking(exchange).await.unwrap()
}

/// Reads `/load`.
async fn load(upstream: &Upstream) -> Load {
    let (_, body) = get(upstream.addr(), "/load", "").await;
    serde_json::from_slice(&body).unwrap()
}

/// Waits until the record meets a condition.
async fn wait_for_record(upstream: &Upstream, condition: impl Fn(&Record) -> bool) -> Record {
    for _ in 0..MAX_POLLS {
        let record = upstream.record();
        if condition(&record) {
            return record;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("condition not met by {:?}", upstream.record());
}

/// Returns whether a request has this outcome.
fn has_outcome(entry: &RecordEntry, outcome: RequestOutcome) -> bool {
    entry.outcome == outcome
}

/// Decodes a chunked body; returns `None` if it is incomplete.
fn unchunk(mut body: &[u8]) -> Option<Vec<u8>> {
    let mut decoded = Vec::new();
    loop {
        let line = body.windows(2).position(|w| w == b"\r\n")?;
        let len = usize::from_str_radix(std::str::from_utf8(&body[..line]).ok()?, 16).ok()?;
        decoded.extend(body.get(line + 2..line + 2 + len)?);
        body = body.get(line + 2 + len + 2..)?;
        if len == 0 {
            return Some(decoded);
        }
    }
}

#[actix_web::test]
async fn response_bodies_match_the_pattern_of_the_path() {
    let upstream = start("service_ms=1");
    for (path, len) in [("/bytes/200000", 200_000), ("/bytes/0/x?y=1", 0)] {
        let (head, body) = get(upstream.addr(), path, "").await;
        assert!(head.contains(&format!("content-length: {len}")), "{head}");
        assert_eq!(body.len(), len);
        assert!(Pattern::new(path, len as u64).matches(0, &body));
    }
    let path = "/chunked/200000/a";
    let (head, body) = get(upstream.addr(), path, "jasmine-request: 0a\r\n").await;
    assert!(head.contains("jasmine-request: 0a\r\n") && head.contains("upstream-id: u\r\n"));
    let body = unchunk(&body).unwrap();
    assert_eq!(body.len(), 200_000);
    let pattern = Pattern::new(path, 200_000);
    assert!(pattern.matches(0, &body) && !pattern.matches(1, &body));
    assert!(!Pattern::new("/chunked/200000/b", 200_000).matches(0, &body));
    let record = upstream.record();
    assert!(record
        .entries
        .iter()
        .all(|e| has_outcome(e, RequestOutcome::Ran)));
    assert_eq!(record.entries.len(), 3);
}

#[actix_web::test]
async fn echo_contains_the_body_digest() {
    let upstream = start("service_ms=1");
    let headers = "jasmine-filing: f\r\ncontent-length: 3\r\n";
    let mut stream = send(upstream.addr(), "/file", headers);
    stream.write_all(b"abc").unwrap();
    let response = actix_web::rt::task::spawn_blocking(move || read(stream));
    let (_, body) = response.await.unwrap();
    let echo: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(echo["body_bytes"], 3);
    assert_eq!(echo["body_digest"], blake3::hash(b"abc").to_hex().as_str());
    let entry = &upstream.record().entries[0];
    assert_eq!(entry.filing.as_deref(), Some("f"));
    assert_eq!(entry.body_bytes, Some(3));
}

#[actix_web::test]
async fn incomplete_body_does_not_run() {
    let upstream = start("service_ms=1");
    let mut stream = send(upstream.addr(), "/file", "content-length: 3\r\n");
    stream.write_all(b"ab").unwrap();
    stream.shutdown(Shutdown::Both).unwrap();
    let record = wait_for_record(&upstream, |r| {
        r.entries
            .iter()
            .any(|e| has_outcome(e, RequestOutcome::Cancelled))
    });
    assert_eq!(record.await.entries[0].started_ms, None);
}

#[actix_web::test]
async fn requests_beyond_the_slots_queue() {
    let upstream = start("service_ms=100");
    let addr = upstream.addr();
    let calls: Vec<_> = (0..5)
        .map(|_| thread::spawn(move || read(send(addr, "/x", ""))))
        .collect();
    let all_ran = |r: &Record| {
        r.entries.len() == 5
            && r.entries
                .iter()
                .all(|e| has_outcome(e, RequestOutcome::Ran))
    };
    let record = wait_for_record(&upstream, all_ran).await;
    assert!(record.max_in_flight <= 2 && record.max_queued <= 3);
    assert!(calls
        .into_iter()
        .all(|call| call.join().unwrap().0.contains(" 200 ")));
}

// When the caller of a hung request disconnects, its slot must be released and the record must show
// that the request started, because a filing that started must not be sent again.
#[actix_web::test]
async fn hang_holds_its_slot_until_cancelled() {
    let upstream = start("service_ms=1");
    set_faults(&upstream, json!({"hang": 1}));
    let hung_connections: Vec<_> = (0..3).map(|_| send(upstream.addr(), "/x", "")).collect();
    let record = wait_for_record(&upstream, |r| {
        r.max_in_flight == 2 && r.max_queued == 1 && r.entries.len() == 3
    });
    let record = record.await;
    assert!(record
        .entries
        .iter()
        .all(|e| has_outcome(e, RequestOutcome::Running)));
    assert_eq!(load(&upstream).await.in_flight, 2);
    set_faults(&upstream, json!({}));
    drop(hung_connections);
    let record = wait_for_record(&upstream, |r| {
        r.entries
            .iter()
            .all(|e| e.outcome != RequestOutcome::Running)
    });
    let started = record.await.entries.into_iter();
    let started =
        started.filter(|e| has_outcome(e, RequestOutcome::Cancelled) && e.started_ms.is_some());
    assert!(started.count() >= 2);
    let (head, _) = get(upstream.addr(), "/x", "").await;
    assert!(head.contains(" 200 "));
}

macro_rules! fault_cases {
    ($($name:ident: $faults:tt, $path:literal, $headers:literal
        => $status:literal, $header:literal, $outcome:ident, started $started:literal;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            let upstream = start("service_ms=100,jitter=0");
            set_faults(&upstream, json!($faults));
            let (head, _) = get(upstream.addr(), $path, $headers).await;
            assert!(head.contains($status) && head.contains($header), "{head}");
            let record = wait_for_record(&upstream, |r|
                r.entries.iter().all(|e| !has_outcome(e, RequestOutcome::Running)));
            let entry = record.await.entries.remove(0);
            assert_eq!((entry.outcome, entry.started_ms.is_some()), (RequestOutcome::$outcome, $started));
        }
    )* };
}

fault_cases! {
    shed: {"shed": 1}, "/x", "" => " 503 ", "upstream-refused: not-run", Shed, started false;
    deadline_during_service: {}, "/x", "jasmine-deadline-ms: 10\r\n"
        => " 504 ", "", Expired, started true;
    within_deadline: {}, "/x", "jasmine-deadline-ms: 30000\r\n" => " 200 ", "", Ran, started true;
    overrun_deadline: {"overruns": true}, "/x", "jasmine-deadline-ms: 10\r\n"
        => " 200 ", "", Ran, started true;
    leaving: {"drain": {}}, "/x", "" => " 200 ", "upstream-state: leaving", Ran, started true;
    truncated: {"truncate": 1}, "/bytes/90000", ""
        => " 200 ", "length: 90000", Truncated, started true;
    truncated_chunked: {"truncate": 1}, "/chunked/90000", ""
        => " 200 ", "chunked", Truncated, started true;
}

// A request whose deadline passes while it is queued never runs, and its refusal must say so.
#[actix_web::test]
async fn expiry_in_the_queue_is_not_run() {
    let upstream = start("service_ms=1");
    set_faults(&upstream, json!({"hang": 1}));
    let hung_connections = [(); 2].map(|()| send(upstream.addr(), "/x", ""));
    wait_for_record(&upstream, |r| r.max_in_flight == 2).await;
    let (head, _) = get(upstream.addr(), "/late", "jasmine-deadline-ms: 50\r\n").await;
    assert!(head.contains(" 503 ") && head.contains("upstream-refused: not-run"));
    let record = upstream.record();
    let late = record.entries.iter().find(|e| e.path == "/late").unwrap();
    assert_eq!(
        (late.outcome, late.started_ms),
        (RequestOutcome::Expired, None)
    );
    drop(hung_connections);
}

#[actix_web::test]
async fn truncate_fault_shortens_its_ratio_of_responses() {
    let upstream = start("service_ms=1");
    set_faults(&upstream, json!({"truncate": 0.5}));
    let mut truncated = 0;
    for path in ["/bytes/90000", "/chunked/90000"] {
        for _ in 0..4 {
            let (_, body) = get(upstream.addr(), path, "").await;
            let complete = match path {
                "/bytes/90000" => body.len() == 90_000,
                _ => unchunk(&body).is_some(),
            };
            truncated += u32::from(!complete);
        }
    }
    assert_eq!(truncated, 4);
}

#[actix_web::test]
async fn cold_upstream_warms_up_by_requests() {
    let upstream = start("service_ms=1,cold_requests=3,cold_factor=5");
    for _ in 0..3 {
        assert_eq!(load(&upstream).await.state, State::Cold);
        get(upstream.addr(), "/x", "").await;
    }
    assert_eq!(load(&upstream).await.state, State::Up);
    set_faults(&upstream, json!({"cold": true}));
    assert_eq!(load(&upstream).await.state, State::Cold);
}

#[actix_web::test]
async fn load_is_reported_with_lag_and_overrides() {
    let upstream = start("service_ms=1");
    assert_eq!(load(&upstream).await.in_flight, 0);
    // The interval of the idle sample must end before the load rises; otherwise that sample would
    // be updated with the new load.
    sleep(Duration::from_millis(50)).await;
    set_faults(&upstream, json!({"hang": 1, "lag_ms": 3_600_000}));
    let hung_connection = send(upstream.addr(), "/x", "");
    wait_for_record(&upstream, |r| r.max_in_flight == 1).await;
    assert_eq!(load(&upstream).await.in_flight, 0);
    set_faults(&upstream, json!({}));
    sleep(Duration::from_millis(50)).await;
    assert_eq!(load(&upstream).await.in_flight, 1);
    let overrides = json!({"lie": {"in_flight": 0, "queued": 7, "state": "leaving"}});
    set_faults(&upstream, overrides);
    let reported = load(&upstream).await;
    assert_eq!(
        (reported.in_flight, reported.queued, reported.state),
        (0, 7, State::Leaving)
    );
    drop(hung_connection);
}

#[actix_web::test]
async fn drained_upstream_refuses_and_keeps_its_record() {
    let upstream = start("service_ms=300,jitter=0");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let control = listener.local_addr().unwrap();
    let server = upstream::control(listener, vec![Arc::clone(&upstream)]).unwrap();
    actix_web::rt::spawn(server);
    let addr = upstream.addr();
    let running = thread::spawn(move || read(send(addr, "/x", "")));
    wait_for_record(&upstream, |r| r.max_in_flight == 1).await;
    set_faults(&upstream, json!({"drain": {"refuse_after_ms": 0}}));
    let refused = |e: io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
    let mut polls = 0..MAX_POLLS;
    while !TcpStream::connect(addr).is_err_and(refused) {
        assert!(polls.next().is_some(), "still accepts");
        sleep(POLL_INTERVAL).await;
    }
    let (head, body) = get(control, "/record?id=u", "").await;
    assert!(head.contains(" 200 "));
    let record: Record = serde_json::from_slice(&body).unwrap();
    assert_eq!(record.entries[0].path, "/x");
    let response = actix_web::rt::task::spawn_blocking(|| running.join().unwrap());
    let (head, _) = response.await.unwrap();
    assert!(
        head.contains(" 200 ") && head.contains("upstream-state: leaving"),
        "{head}"
    );
}

// Requests in flight when an upstream dies get no response, however long they would have run, and
// are recorded as cancelled.
#[actix_web::test]
async fn dead_upstream_closes_connections_and_keeps_its_record() {
    let upstream = start("service_ms=1");
    set_faults(&upstream, json!({"hang": 1}));
    let hung_connection = send(upstream.addr(), "/x", "");
    wait_for_record(&upstream, |r| r.max_in_flight == 1).await;
    set_faults(&upstream, json!({"dead": true}));
    let record = wait_for_record(&upstream, |r| {
        has_outcome(&r.entries[0], RequestOutcome::Cancelled)
    })
    .await;
    assert!(record.entries[0].started_ms.is_some());
    let response = actix_web::rt::task::spawn_blocking(|| read(hung_connection));
    let (head, _) = response.await.unwrap();
    assert!(head.is_empty(), "{head}");
    let mut polls = 0..MAX_POLLS;
    while TcpStream::connect(upstream.addr()).is_ok() {
        assert!(polls.next().is_some(), "still accepts");
        sleep(POLL_INTERVAL).await;
    }
}
