//! Tests the outcome of each call under each fault of the platform.

use bytes::Bytes;
use plat::{
    Check,
    Commit,
    FailureReason,
    HttpPlatform,
    Listing,
    Objects,
    Outcome,
    ReadError,
    Table,
    Txn,
    Write, //
};
use standin::{
    link::{
        self,
        Relay, //
    },
    platform::{
        self,
        Fault,
        FaultKind, //
        Faults,
    }, //
};
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::Duration, //
};

/// Deadline of calls that should get a response, long enough for a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline of calls that should get no response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// The calls tested under each fault.
#[derive(Clone, Copy)]
enum Call {
    Read,
    Scan,
    Commit,
    ConflictingCommit,
    Get,
    Put,
    PutDifferentBody,
    List,
}

/// Expected result of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallResult {
    Done,
    NotDone,
    Unknown,
    Error,
}

/// Starts a platform with the row `old`, the object `old` and one upstream; returns its address and
/// a client.
async fn start_platform() -> (SocketAddr, HttpPlatform) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    actix_web::rt::spawn(platform::serve(listener).unwrap());
    let client = client(addr, LONG_TIMEOUT);
    assert_eq!(put_row(&client, "old").await, CallResult::Done);
    assert_eq!(
        client.put("old", "body".into()).await,
        Outcome::Done(()) //
    );
    let listed = r#"{"id":"u","service":"s","region":"r","failure_domain":"f",
        "addr":"127.0.0.1:1","slots":3,"state":"leaving"}"#;
    send(addr, "PUT", "/list/upstreams/u", listed).await;
    (addr, client)
}

fn client(addr: SocketAddr, timeout: Duration) -> HttpPlatform {
    HttpPlatform::new(format!("http://{addr}/"), timeout, timeout)
}

async fn send(addr: SocketAddr, method: &str, path: &str, json: &str) {
    let request = awc::Client::default()
        .request(method.parse().unwrap(), format!("http://{addr}{path}"))
        .insert_header(("content-type", "application/json"));
    let response = request.send_body(json.to_owned()).await.unwrap();
    assert!(
        response.status().is_success(),
        "{path}: {}",
        response.status()
    );
}

async fn set_fault(addr: SocketAddr, kind: FaultKind) {
    let fault = Some(Fault {
        kind,
        delay_ms: 50,
        ratio: 1.0,
    });
    let faults = Faults {
        table: fault,
        objects: fault,
        list: fault,
    };
    send(
        addr,
        "POST",
        "/fault",
        &serde_json::to_string(&faults).unwrap(),
    )
    .await;
}

fn insert(key: &'static str) -> Txn {
    Txn {
        checks: vec![Check::Absent { key: key.into() }],
        writes: vec![Write::Put {
            key: key.into(),
            value: "v".into(),
        }],
    }
}

async fn put_row(client: &HttpPlatform, key: &'static str) -> CallResult {
    write_result(client.commit(insert(key)).await)
}

fn write_result<T>(outcome: Outcome<T>) -> CallResult {
    match outcome {
        Outcome::Done(_) => CallResult::Done,
        Outcome::NotDone(_) => CallResult::NotDone,
        Outcome::Unknown(_) => CallResult::Unknown,
    }
}

fn read_result<T>(result: Result<T, ReadError>) -> CallResult {
    result.map_or(CallResult::Error, |_| CallResult::Done)
}

async fn run_call(call: Call, client: &HttpPlatform) -> CallResult {
    match call {
        Call::Read => read_result(client.read(&["old".into(), "absent".into()]).await),
        Call::Scan => read_result(client.scan("o").await),
        Call::Commit => put_row(client, "new").await,
        Call::ConflictingCommit => put_row(client, "old").await,
        Call::Get => read_result(client.get("old").await),
        Call::Put => write_result(client.put("new", "body".into()).await),
        Call::PutDifferentBody => write_result(client.put("old", "other".into()).await),
        Call::List => read_result(client.list().await),
    }
}

/// Makes a call under a fault, then checks its effect without the fault.
///
/// `effect` is whether the row `new` or the object `new` should exist afterwards. The deadline is
/// short for a fault that sends no response and long for any other.
async fn check(fault: FaultKind, call: Call, expected: CallResult, effect: bool) {
    let (addr, healthy_client) = start_platform().await;
    set_fault(addr, fault).await;
    let timeout = match fault {
        FaultKind::Freeze => SHORT_TIMEOUT,
        _ => LONG_TIMEOUT,
    };
    assert_eq!(run_call(call, &client(addr, timeout)).await, expected);
    set_fault(addr, FaultKind::None).await;
    let row = healthy_client.read(&["new".into()]).await.unwrap()[0].is_some();
    let object = healthy_client.get("new").await.unwrap().is_some();
    assert_eq!(row || object, effect);
    assert_eq!(healthy_client.get("old").await.unwrap().unwrap(), "body");
}

macro_rules! calls_under_fault {
    ($($name:ident: $fault:ident, $call:ident => $expected:ident, $effect:literal;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            check(FaultKind::$fault, Call::$call, CallResult::$expected, $effect).await;
        }
    )* };
}

calls_under_fault! {
    read: None, Read => Done, false;
    scan: None, Scan => Done, false;
    commit: None, Commit => Done, true;
    conflict: None, ConflictingCommit => Done, false;
    get: None, Get => Done, false;
    put: None, Put => Done, true;
    put_other: None, PutDifferentBody => NotDone, false;
    list: None, List => Done, false;
    read_down: Down, Read => Error, false;
    scan_down: Down, Scan => Error, false;
    commit_down: Down, Commit => NotDone, false;
    conflict_down: Down, ConflictingCommit => NotDone, false;
    get_down: Down, Get => Error, false;
    put_down: Down, Put => NotDone, false;
    list_down: Down, List => Error, false;
    read_frozen: Freeze, Read => Error, false;
    scan_frozen: Freeze, Scan => Error, false;
    commit_frozen: Freeze, Commit => Unknown, false;
    conflict_frozen: Freeze, ConflictingCommit => Unknown, false;
    get_frozen: Freeze, Get => Error, false;
    put_frozen: Freeze, Put => Unknown, false;
    list_frozen: Freeze, List => Error, false;
    read_slow: Slow, Read => Done, false;
    commit_slow: Slow, Commit => Done, true;
    put_slow: Slow, Put => Done, true;
    list_slow: Slow, List => Done, false;
    read_lost: LostAnswer, Read => Error, false;
    scan_lost: LostAnswer, Scan => Error, false;
    commit_lost: LostAnswer, Commit => Unknown, true;
    conflict_lost: LostAnswer, ConflictingCommit => Unknown, false;
    get_lost: LostAnswer, Get => Error, false;
    put_lost: LostAnswer, Put => Unknown, true;
    put_other_lost: LostAnswer, PutDifferentBody => Unknown, false;
    list_lost: LostAnswer, List => Error, false;
    list_stale: Stale, List => Done, false;
}

/// Starts a server that reads each request completely and responds with the given bytes.
///
/// Returns its address and a counter of the requests received.
fn start_raw_server(response: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&requests);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut seen = Vec::new();
            let mut buffer = [0; 4096];
            // Every request body sent here ends with these bytes and contains them nowhere else.
            while !seen.ends_with(b"}]}") {
                match stream.read(&mut buffer).unwrap() {
                    0 => break,
                    n => seen.extend(&buffer[..n]),
                }
            }
            count.fetch_add(1, Ordering::SeqCst);
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    (addr, requests)
}

macro_rules! commit_with_response {
    ($($name:ident: $response:literal => $expected:ident;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            let (addr, requests) = start_raw_server($response);
            let client = client(addr, LONG_TIMEOUT);
            assert_eq!(put_row(&client, "new").await, CallResult::$expected);
            assert_eq!(requests.load(Ordering::SeqCst), 1, "sent more than once");
        }
    )* };
}

// A commit that may have taken effect is reported as neither done nor not done, whatever is wrong
// with its response.
commit_with_response! {
    empty_response: "" => Unknown;
    truncated_head: "HTTP/1.1 200 OK\r\ncontent-le" => Unknown;
    response_not_http: "hello\r\n\r\n" => Unknown;
    truncated_body: "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"committed\":true,\"version\":1}"
        => Unknown;
    missing_final_chunk: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        1e\r\n{\"committed\":true,\"version\":1}\r\n" => Unknown;
    body_not_json: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" => Unknown;
    body_without_version: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" => Unknown;
    conflict_with_too_few_rows: "HTTP/1.1 409 Conflict\r\ncontent-length: 11\r\n\r\n{\"rows\":[]}"
        => Unknown;
    server_error: "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n" => Unknown;
    redirect: "HTTP/1.1 307 There\r\nlocation: /table/commit\r\ncontent-length: 0\r\n\r\n"
        => Unknown;
    service_unavailable: "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n" => NotDone;
    complete_response: "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n{\"committed\":true,\"version\":1}"
        => Done;
}

#[actix_web::test]
async fn connection_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = client(addr, LONG_TIMEOUT);
    assert_eq!(run_call(Call::Commit, &client).await, CallResult::NotDone);
    assert_eq!(run_call(Call::Put, &client).await, CallResult::NotDone);
    assert_eq!(run_call(Call::Read, &client).await, CallResult::Error);
}

#[actix_web::test]
async fn written_data_is_read_back() {
    let (addr, client) = start_platform().await;
    let rows = client.read(&["absent".into(), "old".into()]).await.unwrap();
    assert_eq!(rows[0], None);
    let old = rows[1].clone().unwrap();
    assert_eq!((&*old.key, &*old.value), ("old", "v"));
    assert_eq!(client.scan("ol").await.unwrap(), vec![old.clone()]);
    assert_eq!(client.scan("p").await.unwrap(), vec![]);
    assert_eq!(
        client.commit(insert("old")).await,
        Outcome::Done(Commit::Conflict {
            rows: vec![Some(old.clone())]
        })
    );
    let delete = |version| Txn {
        checks: vec![Check::Version {
            key: "old".into(),
            version,
        }],
        writes: vec![Write::Delete { key: "old".into() }],
    };
    let stale = client.commit(delete(old.version + 1)).await;
    assert!(matches!(stale, Outcome::Done(Commit::Conflict { .. })));
    let fresh = client.commit(delete(old.version)).await;
    assert!(matches!(fresh, Outcome::Done(Commit::Committed { version }) if version > old.version));
    assert_eq!(client.read(&["old".into()]).await.unwrap(), vec![None]);
    assert_eq!(client.get("absent").await.unwrap(), None);
    assert_eq!(
        client.put("../list", Bytes::new()).await,
        Outcome::NotDone(FailureReason::BadName)
    );
    set_fault(addr, FaultKind::Stale).await;
    send(addr, "DELETE", "/list/upstreams/u", "").await;
    assert_eq!(client.list().await.unwrap().upstreams[0].slots, 3);
    set_fault(addr, FaultKind::None).await;
    assert_eq!(client.list().await.unwrap().upstreams, vec![]);
}

// Guards against a read that returns the rows of an earlier read: if a connection is reused after a
// timeout, the late response to the first read is taken for the response to the second.
#[actix_web::test]
async fn late_response_is_not_taken_for_the_next_call() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        // Each connection returns its number as the row's version; the first responds too late.
        for number in 0.. {
            let (mut stream, _) = listener.accept().unwrap();
            thread::spawn(move || {
                while stream.read(&mut [0; 4096]).unwrap_or(0) > 0 {
                    if number == 0 {
                        thread::sleep(3 * SHORT_TIMEOUT);
                    }
                    let row = format!(r#"{{"key":"k","version":{number},"value":"v"}}"#);
                    let body = format!(r#"{{"rows":[{row}]}}"#);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
                    let _ = stream.write_all(format!("{head}\r\n{body}").as_bytes());
                }
            });
        }
    });
    let client = client(addr, SHORT_TIMEOUT);
    let read = || client.scan("k");
    assert_eq!(read().await, Err(ReadError(FailureReason::Timeout)));
    actix_web::rt::time::sleep(4 * SHORT_TIMEOUT).await;
    // Retries until a response arrives in time on a busy machine; a wrong response always fails.
    loop {
        match read().await {
            Ok(rows) => return assert_ne!(rows[0].version, 0),
            Err(ReadError(reason)) => assert_eq!(reason, FailureReason::Timeout),
        }
    }
}

// Guards against one timeout per idle connection after a network path silently dropped all of them:
// if only the connection of the timed-out call is closed, each further call uses the next dead one.
#[actix_web::test]
async fn timeout_closes_all_idle_connections() {
    let (addr, _) = start_platform().await;
    let spec = format!("name=l,to={addr}").parse().unwrap();
    let relay = Relay::start(spec).await.unwrap();
    let timeout = Duration::from_secs(2);
    let client = client(relay.addr(), timeout);
    let keys = ["old".into()];
    let (a, b, c) = tokio::join!(client.read(&keys), client.read(&keys), client.read(&keys));
    assert!(a.is_ok() && b.is_ok() && c.is_ok());
    assert_eq!(relay.counters().connections, 3);
    relay.set_fault(link::FaultKind::SilentOld);
    let first = client.read(&keys).await;
    assert_eq!(first, Err(ReadError(FailureReason::Timeout)));
    assert!(client.read(&keys).await.is_ok());
    assert_eq!(relay.counters().connections, 4);
}
