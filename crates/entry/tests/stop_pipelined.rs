//! Pipelined requests around a planned stop: one that was passed on gets its whole answer.

mod support;

use std::{
    collections::HashSet,
    io::Read as _,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    eventually,
    ok_response,
    request_head,
    routes,
    take_response,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Upstream, //
};

const GRACE: Duration = Duration::from_secs(6);
/// Time of the callers before the stop.
const RUN_TIME: Duration = Duration::from_millis(1500);
const CALLERS: usize = 12;
const UPSTREAMS: usize = 4;
/// Time of an upstream for one request.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Time between two requests of one caller.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that a caller reads at a time.
const READ_BYTES: usize = 64 << 10;

/// A caller that sends further requests before the first has been answered.
#[derive(Clone, Copy)]
struct Pipelining {
    path: &'static str,
    /// Most requests without an answer.
    outstanding_max: usize,
    body_bytes: usize,
    /// Rate at which the caller reads; as fast as it can without one.
    bytes_per_s: Option<usize>,
}

/// What one connection of a caller has seen.
#[derive(Default)]
struct Seen {
    /// Requests whose whole answer has arrived.
    answered: HashSet<String>,
    refused: usize,
}

/// Sends requests on one connection until an answer says that it closes, and reads until it has ended.
fn use_connection(entry: &Entry, name: &str, pipelining: Pipelining) -> Seen {
    let reader = Caller::connect(entry);
    let stream = reader.stream.try_clone().expect("the connection is open");
    let closes = Arc::new(AtomicBool::new(false));
    let outstanding = Arc::new(AtomicUsize::new(0));
    let reading = {
        let (closes, outstanding) = (closes.clone(), outstanding.clone());
        thread::spawn(move || read_answers(reader, &closes, &outstanding, pipelining))
    };
    let mut sender = Caller::of_stream(stream);
    for number in 0.. {
        while outstanding.load(Ordering::SeqCst) >= pipelining.outstanding_max {
            if closes.load(Ordering::SeqCst) {
                break;
            }
            thread::sleep(Duration::from_millis(1));
        }
        outstanding.fetch_add(1, Ordering::SeqCst);
        let head = request_head("GET", pipelining.path, &format!("{name}-{number}"), "");
        let head = head.replace("jasmine-deadline-ms: 3000", "jasmine-deadline-ms: 9000");
        if closes.load(Ordering::SeqCst) || !sender.try_send(head) {
            break;
        }
        thread::sleep(SEND_INTERVAL);
    }
    reading.join().expect("the reader doesn't panic")
}

fn read_answers(
    mut reader: Caller,
    closes: &AtomicBool,
    outstanding: &AtomicUsize,
    pipelining: Pipelining,
) -> Seen {
    let mut seen = Seen::default();
    let mut part = [0; READ_BYTES];
    let mut received = Vec::new();
    loop {
        if let Some(response) = take_response(&mut received) {
            if response.status == 200 {
                assert!(response.body.len() >= pipelining.body_bytes);
                let id = response.header("jasmine-request");
                let id = id.expect("the answer repeats the request's id");
                seen.answered.insert(id.to_owned());
            } else {
                assert_eq!(response.status, 503, "{}", response.head);
                seen.refused += 1;
            }
            outstanding.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        let heads_end = received.windows(4).any(|end| end == b"\r\n\r\n");
        if heads_end && contains(&received, b"connection: close") {
            closes.store(true, Ordering::SeqCst);
        }
        let length = match reader.stream.read(&mut part) {
            Ok(length @ 1..) => length,
            Ok(0) | Err(_) => break,
        };
        received.extend_from_slice(&part[..length]);
        if let Some(bytes_per_s) = pipelining.bytes_per_s {
            thread::sleep(Duration::from_secs_f64(length as f64 / bytes_per_s as f64));
        }
    }
    closes.store(true, Ordering::SeqCst);
    seen
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
    let head = &bytes[..head.unwrap_or(0)];
    head.windows(part.len()).any(|window| window == part)
}

/// Stops an entry while callers pipeline requests. Returns the requests that reached an upstream, and what the callers
/// have seen.
fn stop_while_callers_pipeline(pipelining: Pipelining) -> (HashSet<String>, Seen) {
    let store = MemoryStore::default();
    let mut slow_routes = routes(1);
    for route in &mut slow_routes.hosts[0].routes {
        route.timeout = Duration::from_secs(9);
    }
    store.put_routes(&slow_routes);
    let body = "x".repeat(pipelining.body_bytes);
    let upstreams: Vec<Upstream> = (0..UPSTREAMS)
        .map(|index| {
            let body = body.clone();
            let upstream = Upstream::start(Box::new(move |_, request, connection| {
                thread::sleep(SERVICE_TIME);
                connection.write(ok_response(request, &body));
                true
            }));
            store.put_upstream(&upstream_row(format!("u-{index}"), upstream.addr));
            upstream
        })
        .collect();
    let entry = Entry::start_unready("entry-1", "region-a", &store, GRACE);
    entry.wait_ready(true);
    let seen = Mutex::new(Seen::default());
    let stopping = AtomicBool::new(false);
    thread::scope(|scope| {
        let (entry_ref, seen, stopping) = (&entry, &seen, &stopping);
        for caller in 0..CALLERS {
            scope.spawn(move || {
                for connection in 0.. {
                    // Callers use other entries once they have learned of the stop.
                    if stopping.load(Ordering::SeqCst) {
                        return;
                    }
                    let name = format!("{caller:x}-{connection:x}");
                    let used = use_connection(entry_ref, &name, pipelining);
                    let mut seen = seen.lock().expect("no caller panics");
                    seen.answered.extend(used.answered);
                    seen.refused += used.refused;
                }
            });
        }
        thread::sleep(RUN_TIME);
        stopping.store(true, Ordering::SeqCst);
        entry_ref.begin_stop();
    });
    let began = Instant::now();
    eventually("the end of the entry", || {
        Caller::try_connect(&entry).is_none().then_some(())
    });
    assert!(began.elapsed() < GRACE);
    let requests = upstreams.iter().flat_map(Upstream::requests);
    let passed_on = requests.map(|request| request.id().to_owned()).collect();
    (passed_on, seen.into_inner().expect("no caller panics"))
}

/// Guards against requests that are passed on behind an answer that closes its connection, and never answered.
macro_rules! planned_stop_answers_what_was_passed_on {
    ($($name:ident: $pipelining:expr;)*) => {$(
        #[test]
        fn $name() {
            let (passed_on, seen) = stop_while_callers_pipeline($pipelining);
            assert!(seen.answered.len() >= CALLERS, "{} answered", seen.answered.len());
            let lost: Vec<&String> = passed_on.difference(&seen.answered).collect();
            let passed_on = passed_on.len();
            assert!(lost.is_empty(), "{} of {passed_on} lost: {lost:?}", lost.len());
        }
    )*};
}

planned_stop_answers_what_was_passed_on! {
    planned_stop_behind_short_answers: Pipelining {
        path: "/r/x", outstanding_max: 8, body_bytes: 2 << 10, bytes_per_s: None,
    };
    planned_stop_behind_long_answers: Pipelining {
        path: "/r/x", outstanding_max: 4, body_bytes: 540_000, bytes_per_s: None,
    };
    planned_stop_behind_very_long_answers: Pipelining {
        path: "/r/x", outstanding_max: 16, body_bytes: 4 << 20, bytes_per_s: None,
    };
    planned_stop_behind_long_downloads: Pipelining {
        path: "/d/x", outstanding_max: 16, body_bytes: 1 << 20, bytes_per_s: None,
    };
    planned_stop_behind_answers_that_are_read_slowly: Pipelining {
        path: "/r/x", outstanding_max: 8, body_bytes: 128 << 10, bytes_per_s: Some(1 << 20),
    };
    planned_stop_behind_long_answers_that_are_read_slowly: Pipelining {
        path: "/r/x", outstanding_max: 4, body_bytes: 540_000, bytes_per_s: Some(1 << 20),
    };
}
