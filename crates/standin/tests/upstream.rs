//! What an upstream does, and that its record is the truth.

use actix_web::rt::time::sleep;
use serde_json::{
    json,
    Value, //
};
use standin::{
    pattern::Pattern,
    upstream::{
        self,
        Ended,
        Entry,
        Faults,
        Load,
        Record,
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

/// Step of waits for something that must happen.
const STEP: Duration = Duration::from_millis(5);
/// Steps after which it counts as not happening, and longest wait for a byte of an answer.
const STEPS: u32 = 6000;

/// Starts an upstream with two slots and these further fields.
fn start(fields: &str) -> Arc<Upstream> {
    let spec = format!("id=u,service=s,region=r,domain=d,slots=2,{fields}");
    let (upstream, server) = Upstream::serve(spec.parse().unwrap()).unwrap();
    actix_web::rt::spawn(server);
    upstream
}

fn set(upstream: &Arc<Upstream>, faults: Value) {
    upstream.set_faults(serde_json::from_value::<Faults>(faults).unwrap());
}

/// Sends a request on a connection of its own.
fn send(addr: SocketAddr, path: &str, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(STEPS * STEP)).unwrap();
    let head = format!("GET {path} HTTP/1.1\r\nhost: u\r\nconnection: close\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Reads an answer to the end of its connection: its head and what came of its body.
fn read(mut stream: TcpStream) -> (String, Vec<u8>) {
    let mut answer = Vec::new();
    // A reset is an end, too.
    let _ = stream.read_to_end(&mut answer);
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n");
    let body = end.map_or(answer.len(), |end| end + 4);
    let head = String::from_utf8_lossy(&answer[..body]).to_lowercase();
    (head, answer.split_off(body))
}

/// Sends and reads without holding up the test's thread.
async fn get(addr: SocketAddr, path: &str, headers: &str) -> (String, Vec<u8>) {
    let (path, headers) = (path.to_owned(), headers.to_owned());
    let exchange = move || read(send(addr, &path, &headers));
    actix_web::rt::task::spawn_blocking(exchange).await.unwrap()
}

async fn load(upstream: &Upstream) -> Load {
    let (_, body) = get(upstream.addr(), "/load", "").await;
    serde_json::from_slice(&body).unwrap()
}

/// Waits until the record is as it must become.
async fn until(upstream: &Upstream, becomes: impl Fn(&Record) -> bool) -> Record {
    for _ in 0..STEPS {
        let record = upstream.record();
        if becomes(&record) {
            return record;
        }
        sleep(STEP).await;
    }
    panic!("still {:?}", upstream.record());
}

fn ended(entry: &Entry, outcome: Ended) -> bool {
    entry.outcome == outcome
}

/// Takes the chunks of a body apart; none for a body that isn't whole.
fn unchunk(mut body: &[u8]) -> Option<Vec<u8>> {
    let mut whole = Vec::new();
    loop {
        let line = body.windows(2).position(|w| w == b"\r\n")?;
        let len = usize::from_str_radix(std::str::from_utf8(&body[..line]).ok()?, 16).ok()?;
        whole.extend(body.get(line + 2..line + 2 + len)?);
        body = body.get(line + 2 + len + 2..)?;
        if len == 0 {
            return Some(whole);
        }
    }
}

#[actix_web::test]
async fn answers_are_the_paths_pattern() {
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
    assert!(record.entries.iter().all(|e| ended(e, Ended::Ran)));
    assert_eq!(record.entries.len(), 3);
}

#[actix_web::test]
async fn body_is_digested() {
    let upstream = start("service_ms=1");
    let sent = "jasmine-filing: f\r\ncontent-length: 3\r\n";
    let mut stream = send(upstream.addr(), "/file", sent);
    stream.write_all(b"abc").unwrap();
    let answer = actix_web::rt::task::spawn_blocking(move || read(stream));
    let (_, body) = answer.await.unwrap();
    let echo: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(echo["body_bytes"], 3);
    assert_eq!(echo["body_digest"], blake3::hash(b"abc").to_hex().as_str());
    let entry = &upstream.record().entries[0];
    assert_eq!(entry.filing.as_deref(), Some("f"));
    assert_eq!(entry.body_bytes, Some(3));
}

#[actix_web::test]
async fn half_a_body_does_not_run() {
    let upstream = start("service_ms=1");
    let mut stream = send(upstream.addr(), "/file", "content-length: 3\r\n");
    stream.write_all(b"ab").unwrap();
    stream.shutdown(Shutdown::Both).unwrap();
    let record = until(&upstream, |r| {
        r.entries.iter().any(|e| ended(e, Ended::Cancelled))
    });
    assert_eq!(record.await.entries[0].started_ms, None);
}

#[actix_web::test]
async fn excess_queues_and_is_counted() {
    let upstream = start("service_ms=100");
    let addr = upstream.addr();
    let calls: Vec<_> = (0..5)
        .map(|_| thread::spawn(move || read(send(addr, "/x", ""))))
        .collect();
    let all_ran =
        |r: &Record| r.entries.len() == 5 && r.entries.iter().all(|e| ended(e, Ended::Ran));
    let record = until(&upstream, all_ran).await;
    assert!(record.max_in_flight <= 2 && record.max_queued <= 3);
    assert!(calls
        .into_iter()
        .all(|call| call.join().unwrap().0.contains(" 200 ")));
}

// The caller of a hung request goes away: its slot must be free again, and the request recorded as
// begun, for a filing that began may not be sent again.
#[actix_web::test]
async fn hang_holds_its_slot_until_cancelled() {
    let upstream = start("service_ms=1");
    set(&upstream, json!({"hang": 1}));
    let hung: Vec<_> = (0..3).map(|_| send(upstream.addr(), "/x", "")).collect();
    let record = until(&upstream, |r| {
        r.max_in_flight == 2 && r.max_queued == 1 && r.entries.len() == 3
    });
    let record = record.await;
    assert!(record.entries.iter().all(|e| ended(e, Ended::Running)));
    assert_eq!(load(&upstream).await.in_flight, 2);
    set(&upstream, json!({}));
    drop(hung);
    let record = until(&upstream, |r| {
        r.entries.iter().all(|e| e.outcome != Ended::Running)
    });
    let began = record.await.entries.into_iter();
    let began = began.filter(|e| ended(e, Ended::Cancelled) && e.started_ms.is_some());
    assert!(began.count() >= 2);
    let (head, _) = get(upstream.addr(), "/x", "").await;
    assert!(head.contains(" 200 "));
}

macro_rules! answered_under {
    ($($name:ident: $faults:tt, $path:literal, $headers:literal
        => $status:literal, $header:literal, $outcome:ident, began $began:literal;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            let upstream = start("service_ms=100,jitter=0");
            set(&upstream, json!($faults));
            let (head, _) = get(upstream.addr(), $path, $headers).await;
            assert!(head.contains($status) && head.contains($header), "{head}");
            let record = until(&upstream, |r| r.entries.iter().all(|e| !ended(e, Ended::Running)));
            let entry = record.await.entries.remove(0);
            assert_eq!((entry.outcome, entry.started_ms.is_some()), (Ended::$outcome, $began));
        }
    )* };
}

answered_under! {
    shed: {"shed": 1}, "/x", "" => " 503 ", "upstream-refused: not-run", Shed, began false;
    expired: {}, "/x", "jasmine-deadline-ms: 10\r\n" => " 504 ", "", Expired, began true;
    in_time: {}, "/x", "jasmine-deadline-ms: 30000\r\n" => " 200 ", "", Ran, began true;
    overrun: {"overruns": true}, "/x", "jasmine-deadline-ms: 10\r\n" => " 200 ", "", Ran, began true;
    leaving: {"drain": {}}, "/x", "" => " 200 ", "upstream-state: leaving", Ran, began true;
    cut: {"truncate": 1}, "/bytes/90000", "" => " 200 ", "length: 90000", Truncated, began true;
    cut_chunks: {"truncate": 1}, "/chunked/90000", "" => " 200 ", "chunked", Truncated, began true;
}

// A request whose time runs out while it waits never ran, and its refusal says so.
#[actix_web::test]
async fn expiry_in_the_queue_is_not_run() {
    let upstream = start("service_ms=1");
    set(&upstream, json!({"hang": 1}));
    let hung = [(); 2].map(|()| send(upstream.addr(), "/x", ""));
    until(&upstream, |r| r.max_in_flight == 2).await;
    let (head, _) = get(upstream.addr(), "/late", "jasmine-deadline-ms: 50\r\n").await;
    assert!(head.contains(" 503 ") && head.contains("upstream-refused: not-run"));
    let record = upstream.record();
    let late = record.entries.iter().find(|e| e.path == "/late").unwrap();
    assert_eq!((late.outcome, late.started_ms), (Ended::Expired, None));
    drop(hung);
}

#[actix_web::test]
async fn cut_answers_are_short() {
    let upstream = start("service_ms=1");
    set(&upstream, json!({"truncate": 0.5}));
    let mut short = 0;
    for path in ["/bytes/90000", "/chunked/90000"] {
        for _ in 0..4 {
            let (_, body) = get(upstream.addr(), path, "").await;
            let whole = match path {
                "/bytes/90000" => body.len() == 90_000,
                _ => unchunk(&body).is_some(),
            };
            short += u32::from(!whole);
        }
    }
    assert_eq!(short, 4);
}

#[actix_web::test]
async fn cold_start_warms_by_work() {
    let upstream = start("service_ms=1,cold_requests=3,cold_factor=5");
    for _ in 0..3 {
        assert_eq!(load(&upstream).await.state, State::Cold);
        get(upstream.addr(), "/x", "").await;
    }
    assert_eq!(load(&upstream).await.state, State::Up);
    set(&upstream, json!({"cold": true}));
    assert_eq!(load(&upstream).await.state, State::Cold);
}

#[actix_web::test]
async fn load_lags_and_lies() {
    let upstream = start("service_ms=1");
    assert_eq!(load(&upstream).await.in_flight, 0);
    // The samples of the idle time must be old enough to be told as the lagging truth.
    sleep(Duration::from_millis(50)).await;
    set(&upstream, json!({"hang": 1, "lag_ms": 3_600_000}));
    let hung = send(upstream.addr(), "/x", "");
    until(&upstream, |r| r.max_in_flight == 1).await;
    assert_eq!(load(&upstream).await.in_flight, 0);
    set(&upstream, json!({}));
    sleep(Duration::from_millis(50)).await;
    assert_eq!(load(&upstream).await.in_flight, 1);
    let lie = json!({"lie": {"in_flight": 0, "queued": 7, "state": "leaving"}});
    set(&upstream, lie);
    let told = load(&upstream).await;
    assert_eq!(
        (told.in_flight, told.queued, told.state),
        (0, 7, State::Leaving)
    );
    drop(hung);
}

#[actix_web::test]
async fn gone_upstream_refuses_and_keeps_its_record() {
    let upstream = start("service_ms=300,jitter=0");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let control = listener.local_addr().unwrap();
    let server = upstream::control(listener, vec![Arc::clone(&upstream)]).unwrap();
    actix_web::rt::spawn(server);
    let addr = upstream.addr();
    let running = thread::spawn(move || read(send(addr, "/x", "")));
    until(&upstream, |r| r.max_in_flight == 1).await;
    set(&upstream, json!({"drain": {"refuse_after_ms": 0}}));
    let refused = |e: io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
    let mut steps = 0..STEPS;
    while !TcpStream::connect(addr).is_err_and(refused) {
        assert!(steps.next().is_some(), "still accepts");
        sleep(STEP).await;
    }
    let (head, body) = get(control, "/record?id=u", "").await;
    assert!(head.contains(" 200 "));
    let record: Record = serde_json::from_slice(&body).unwrap();
    assert_eq!(record.entries[0].path, "/x");
    let joined = actix_web::rt::task::spawn_blocking(|| running.join().unwrap());
    let (head, _) = joined.await.unwrap();
    assert!(
        head.contains(" 200 ") && head.contains("upstream-state: leaving"),
        "{head}"
    );
}

// What runs at a death gets no answer, however long it would have taken, and counts as cancelled.
#[actix_web::test]
async fn dead_upstream_breaks_off_and_keeps_its_record() {
    let upstream = start("service_ms=1");
    set(&upstream, json!({"hang": 1}));
    let hung = send(upstream.addr(), "/x", "");
    until(&upstream, |r| r.max_in_flight == 1).await;
    set(&upstream, json!({"dead": true}));
    let record = until(&upstream, |r| ended(&r.entries[0], Ended::Cancelled)).await;
    assert!(record.entries[0].started_ms.is_some());
    let joined = actix_web::rt::task::spawn_blocking(|| read(hung));
    let (head, _) = joined.await.unwrap();
    assert!(head.is_empty(), "{head}");
    let mut steps = 0..STEPS;
    while TcpStream::connect(upstream.addr()).is_ok() {
        assert!(steps.next().is_some(), "still accepts");
        sleep(STEP).await;
    }
}
