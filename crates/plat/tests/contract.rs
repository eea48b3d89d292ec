//! What each call promises under each fault of the platform.

use bytes::Bytes;
use plat::{
    Check,
    Commit,
    HttpPlatform,
    Listing,
    Objects,
    Outcome,
    ReadError,
    Reason,
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
        Faults,
        Kind, //
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

/// Deadline where an answer is to come, however busy the machine.
const AMPLE: Duration = Duration::from_secs(30);
/// Deadline where none is to come.
const SHORT: Duration = Duration::from_millis(200);

/// The calls of the table below.
#[derive(Clone, Copy)]
enum Call {
    Read,
    Scan,
    Commit,
    ConflictingCommit,
    Get,
    Put,
    PutOther,
    List,
}

/// What a call is to give.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Promise {
    Done,
    NotDone,
    Unknown,
    Error,
}

/// A platform that has the row `old`, the object `old` and one upstream, and its client.
async fn platform() -> (SocketAddr, HttpPlatform) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    actix_web::rt::spawn(platform::serve(listener).unwrap());
    let client = client(addr, AMPLE);
    assert_eq!(put_row(&client, "old").await, Promise::Done);
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
    let answer = request.send_body(json.to_owned()).await.unwrap();
    assert!(answer.status().is_success(), "{path}: {}", answer.status());
}

async fn set_fault(addr: SocketAddr, kind: Kind) {
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

async fn put_row(client: &HttpPlatform, key: &'static str) -> Promise {
    kept(client.commit(insert(key)).await)
}

fn kept<T>(outcome: Outcome<T>) -> Promise {
    match outcome {
        Outcome::Done(_) => Promise::Done,
        Outcome::NotDone(_) => Promise::NotDone,
        Outcome::Unknown(_) => Promise::Unknown,
    }
}

fn got<T>(result: Result<T, ReadError>) -> Promise {
    result.map_or(Promise::Error, |_| Promise::Done)
}

async fn make(call: Call, client: &HttpPlatform) -> Promise {
    match call {
        Call::Read => got(client.read(&["old".into(), "absent".into()]).await),
        Call::Scan => got(client.scan("o").await),
        Call::Commit => put_row(client, "new").await,
        Call::ConflictingCommit => put_row(client, "old").await,
        Call::Get => got(client.get("old").await),
        Call::Put => kept(client.put("new", "body".into()).await),
        Call::PutOther => kept(client.put("old", "other".into()).await),
        Call::List => got(client.list().await),
    }
}

/// Makes a call under a fault, then looks at the effect without one.
///
/// `effect` is whether the row `new` and the object `new` are there when the call was to make
/// them. A fault that answers nothing is met with a short deadline, any other with an ample one.
async fn check(fault: Kind, call: Call, promise: Promise, effect: bool) {
    let (addr, calm) = platform().await;
    set_fault(addr, fault).await;
    let timeout = match fault {
        Kind::Freeze => SHORT,
        _ => AMPLE,
    };
    assert_eq!(make(call, &client(addr, timeout)).await, promise);
    set_fault(addr, Kind::None).await;
    let row = calm.read(&["new".into()]).await.unwrap()[0].is_some();
    let object = calm.get("new").await.unwrap().is_some();
    assert_eq!(row || object, effect);
    assert_eq!(calm.get("old").await.unwrap().unwrap(), "body");
}

macro_rules! under_fault {
    ($($name:ident: $fault:ident, $call:ident => $promise:ident, $effect:literal;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            check(Kind::$fault, Call::$call, Promise::$promise, $effect).await;
        }
    )* };
}

under_fault! {
    read: None, Read => Done, false;
    scan: None, Scan => Done, false;
    commit: None, Commit => Done, true;
    conflict: None, ConflictingCommit => Done, false;
    get: None, Get => Done, false;
    put: None, Put => Done, true;
    put_other: None, PutOther => NotDone, false;
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
    put_other_lost: LostAnswer, PutOther => Unknown, false;
    list_lost: LostAnswer, List => Error, false;
    list_stale: Stale, List => Done, false;
}

/// A server that reads each request to the end of its head and body and answers these bytes.
///
/// Gives its address and the number of requests it got.
fn raw(answer: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&requests);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut seen = Vec::new();
            let mut buffer = [0; 4096];
            // Each of the bodies sent here ends with this, and nothing before does.
            while !seen.ends_with(b"}]}") {
                match stream.read(&mut buffer).unwrap() {
                    0 => break,
                    n => seen.extend(&buffer[..n]),
                }
            }
            count.fetch_add(1, Ordering::SeqCst);
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    (addr, requests)
}

macro_rules! commit_answered {
    ($($name:ident: $answer:literal => $promise:ident;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            let (addr, requests) = raw($answer);
            let client = client(addr, AMPLE);
            assert_eq!(put_row(&client, "new").await, Promise::$promise);
            assert_eq!(requests.load(Ordering::SeqCst), 1, "sent more than once");
        }
    )* };
}

// A commit that may have been made is neither "done" nor "not done", however its answer is broken.
commit_answered! {
    answer_none: "" => Unknown;
    answer_half_head: "HTTP/1.1 200 OK\r\ncontent-le" => Unknown;
    answer_no_http: "hello\r\n\r\n" => Unknown;
    answer_short: "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"committed\":true,\"version\":1}"
        => Unknown;
    answer_cut_chunk: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        1e\r\n{\"committed\":true,\"version\":1}\r\n" => Unknown;
    answer_no_json: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" => Unknown;
    answer_no_version: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" => Unknown;
    answer_too_few_rows: "HTTP/1.1 409 Conflict\r\ncontent-length: 11\r\n\r\n{\"rows\":[]}"
        => Unknown;
    answer_server_error: "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n" => Unknown;
    answer_redirect: "HTTP/1.1 307 There\r\nlocation: /table/commit\r\ncontent-length: 0\r\n\r\n"
        => Unknown;
    answer_refusal: "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n" => NotDone;
    answer_whole: "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n{\"committed\":true,\"version\":1}"
        => Done;
}

#[actix_web::test]
async fn nothing_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = client(addr, AMPLE);
    assert_eq!(make(Call::Commit, &client).await, Promise::NotDone);
    assert_eq!(make(Call::Put, &client).await, Promise::NotDone);
    assert_eq!(make(Call::Read, &client).await, Promise::Error);
}

#[actix_web::test]
async fn content_comes_back() {
    let (addr, client) = platform().await;
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
        Outcome::NotDone(Reason::BadName)
    );
    set_fault(addr, Kind::Stale).await;
    send(addr, "DELETE", "/list/upstreams/u", "").await;
    assert_eq!(client.list().await.unwrap().upstreams[0].slots, 3);
    set_fault(addr, Kind::None).await;
    assert_eq!(client.list().await.unwrap().upstreams, vec![]);
}

// Symptom: a read gave the rows of an earlier read. Sequence: the first timed out, its answer came
// late, the next was sent on the same connection and took that answer for its own. Cause: a
// connection was reused after a timeout.
#[actix_web::test]
async fn late_answer_is_not_the_next_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        // Each connection tells its number as the row's version; the first tells it too late.
        for number in 0.. {
            let (mut stream, _) = listener.accept().unwrap();
            thread::spawn(move || {
                while stream.read(&mut [0; 4096]).unwrap_or(0) > 0 {
                    if number == 0 {
                        thread::sleep(3 * SHORT);
                    }
                    let row = format!(r#"{{"key":"k","version":{number},"value":"v"}}"#);
                    let body = format!(r#"{{"rows":[{row}]}}"#);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
                    let _ = stream.write_all(format!("{head}\r\n{body}").as_bytes());
                }
            });
        }
    });
    let client = client(addr, SHORT);
    let read = || client.scan("k");
    assert_eq!(read().await, Err(ReadError(Reason::Timeout)));
    actix_web::rt::time::sleep(4 * SHORT).await;
    // Tried until the busy machine gives an answer in time; a wrong answer is never right.
    loop {
        match read().await {
            Ok(rows) => return assert_ne!(rows[0].version, 0),
            Err(ReadError(reason)) => assert_eq!(reason, Reason::Timeout),
        }
    }
}

// Symptom: after a path went silent, as many calls timed out as connections were idle. Sequence:
// several connections were made, the path dropped them without a word, each call took the next.
// Cause: only the connection of the call that timed out was retired.
#[actix_web::test]
async fn silent_connections_go_together() {
    let (addr, _) = platform().await;
    let spec = format!("name=l,to={addr}").parse().unwrap();
    let relay = Relay::start(spec).await.unwrap();
    let timeout = Duration::from_secs(2);
    let client = client(relay.addr(), timeout);
    let keys = ["old".into()];
    let (a, b, c) = tokio::join!(client.read(&keys), client.read(&keys), client.read(&keys));
    assert!(a.is_ok() && b.is_ok() && c.is_ok());
    assert_eq!(relay.counters().connections, 3);
    relay.set_fault(link::Kind::SilentOld);
    let first = client.read(&keys).await;
    assert_eq!(first, Err(ReadError(Reason::Timeout)));
    assert!(client.read(&keys).await.is_ok());
    assert_eq!(relay.counters().connections, 4);
}
