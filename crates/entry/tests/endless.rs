//! Upstreams that send bytes without end that are no answer.

mod support;

use std::{
    fs,
    io::Read as _,
    sync::{
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Arc, //
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
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Upstream, //
};

/// Time within which a caller has an answer, and other callers have theirs.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Deadline of a request, by which the answer to it is cut off if its body doesn't end.
const DEADLINE: Duration = Duration::from_secs(3);
/// How much later than the deadline the connections may end.
const DEADLINE_MARGIN: Duration = Duration::from_millis(700);
/// Most bytes that are taken of a head, or of a body without data. Sockets hold a part of them.
const TAKEN_BYTES_MAX: u64 = 24 << 20;
/// Most memory that the process may take in addition.
const ADDED_BYTES_MAX: u64 = 96 << 20;
/// Requests of the caller that sends one after the other.
const REQUESTS: usize = 40;
/// Most of them that may reach the upstream without ends before it is passed over, and as it is tried again.
const REQUESTS_AT_ENDLESS_MAX: usize = 8;

/// What an upstream sends.
#[derive(Clone, Copy)]
struct Endless {
    begin: &'static str,
    repeated: &'static str,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nupstream-id: s\r\n";

/// One upstream that sends bytes without end and one that answers.
struct Setup {
    entry: Entry,
    endless: Upstream,
    _sound: Upstream,
    /// Connections that send without end, and the bytes that the last one wrote.
    open: Arc<AtomicUsize>,
    taken_bytes: Arc<AtomicU64>,
}

impl Setup {
    fn start(sent: Endless) -> Self {
        let open = Arc::new(AtomicUsize::new(0));
        let taken_bytes = Arc::new(AtomicU64::new(0));
        let (open_now, taken) = (open.clone(), taken_bytes.clone());
        let endless = Upstream::start(Box::new(move |_, request, connection| {
            open_now.fetch_add(1, Ordering::SeqCst);
            let begin = sent.begin.replace("{id}", request.id());
            let written = connection.write_without_end(begin.as_bytes(), sent.repeated.as_bytes());
            taken.fetch_max(written, Ordering::SeqCst);
            open_now.fetch_sub(1, Ordering::SeqCst);
            false
        }));
        let sound = Upstream::start(Box::new(|_, request, connection| {
            connection.write(ok_response(request, "ok"));
            true
        }));
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        store.put_upstream(&upstream_row("u-1", endless.addr));
        store.put_upstream(&upstream_row("u-2", sound.addr));
        Self {
            entry: Entry::start("entry-1", &store),
            endless,
            _sound: sound,
            open,
            taken_bytes,
        }
    }

    /// Waits until no connection sends any more, and returns the most bytes that one of them wrote.
    fn taken_bytes(&self) -> u64 {
        eventually("the end of all connections", || {
            (self.open.load(Ordering::SeqCst) == 0).then_some(())
        });
        self.taken_bytes.load(Ordering::SeqCst)
    }
}

/// Returns the memory of this process that is resident.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux has this file");
    let pages = statm.split(' ').nth(1).expect("the second field");
    let pages: u64 = pages.parse().expect("a number of pages");
    pages * 4096
}

/// Guards against an upstream that keeps requests, memory or a connection by bytes that never become an answer.
macro_rules! bytes_without_end_that_are_no_answer {
    ($($name:ident: $begin:expr, $repeated:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup::start(Endless { begin: $begin, repeated: $repeated });
            let before_bytes = resident_bytes();
            for number in 0..REQUESTS {
                let sent = Instant::now();
                let mut caller = Caller::connect(&setup.entry);
                let id = format!("a{number:x}");
                let is_idempotent = number % 2 == 0;
                caller.send(if is_idempotent {
                    request_head("GET", "/r/x", &id, "")
                } else {
                    request_head("POST", "/f/x", &id, "content-length: 0\r\n")
                });
                let answer = caller.read_response().expect("the entry responds");
                // A request that may have run and must not run twice fails.
                let fails = !is_idempotent && answer.status == 502;
                assert!(answer.status == 200 || fails, "{}", answer.head);
                let took = sent.elapsed();
                assert!(took < ANSWER_TIME, "request {number} took {took:?}");
            }
            let reached = setup.endless.requests().len();
            assert!(reached >= 1, "no request reached the upstream");
            assert!(reached <= REQUESTS_AT_ENDLESS_MAX, "{reached} requests reached it");
            let taken = setup.taken_bytes();
            assert!(taken <= TAKEN_BYTES_MAX, "{taken} bytes were taken");
            let added = resident_bytes().saturating_sub(before_bytes);
            assert!(added <= ADDED_BYTES_MAX, "{added} bytes of memory were taken");
        }
    )*};
}

bytes_without_end_that_are_no_answer! {
    head_of_arbitrary_bytes: "", "no answer at all; ";
    head_of_empty_lines: "", "\r\n";
    head_with_a_line_without_end: "HTTP/1.1 200 OK\r\nupstream-id: s\r\nx-a: ", "aaaaaaaaaaaaaaaa";
    head_with_headers_without_end: "HTTP/1.1 200 OK\r\nupstream-id: s\r\n", "x-a: a\r\n";
    interim_responses_without_end: "", "HTTP/1.1 100 Continue\r\n\r\n";
    response_to_another_request_without_end:
        "HTTP/1.1 200 OK\r\njasmine-request: other\r\ncontent-length: 9000000000000\r\n\r\n", "x";
    responses_to_other_requests_without_end:
        "", "HTTP/1.1 200 OK\r\njasmine-request: other\r\ncontent-length: 1\r\n\r\nx";
    chunk_length_without_end:
        "HTTP/1.1 200 OK\r\nupstream-id: s\r\ntransfer-encoding: chunked\r\n\r\n", "0";
    chunk_extension_without_end:
        "HTTP/1.1 200 OK\r\nupstream-id: s\r\ntransfer-encoding: chunked\r\n\r\n1;", "x";
    chunk_extension_without_end_behind_data:
        "HTTP/1.1 200 OK\r\nupstream-id: s\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n1;", "x";
    trailer_without_end:
        "HTTP/1.1 200 OK\r\nupstream-id: s\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nx-a: ", "a";
    trailers_without_end:
        "HTTP/1.1 200 OK\r\nupstream-id: s\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "x-a: a\r\n";
    chunk_length_that_is_none:
        "HTTP/1.1 200 OK\r\nupstream-id: s\r\ntransfer-encoding: chunked\r\n\r\n", "zz";
}

/// Guards against a body without end that is taken for a whole one, fills the memory, or holds its upstream for longer
/// than its caller waits.
macro_rules! bodies_without_end {
    ($($name:ident: $framing:expr, $repeated:expr, $reads:expr;)*) => {$(
        #[test]
        fn $name() {
            let begin = Box::leak(format!("{HEAD}{}\r\n", $framing).into_boxed_str());
            let setup = Setup::start(Endless { begin, repeated: $repeated });
            let before_bytes = resident_bytes();
            let mut callers: Vec<Caller> = (0..4).map(|number| {
                let mut caller = Caller::connect(&setup.entry);
                caller.send(request_head("GET", "/r/x", &format!("b{number:x}"), ""));
                caller
            }).collect();
            eventually("a request at the upstream", || {
                (!setup.endless.requests().is_empty()).then_some(())
            });
            let sent = Instant::now();
            let others = thread::scope(|scope| {
                for caller in &mut callers {
                    scope.spawn(move || if $reads { read_to_end(caller) });
                }
                let mut slowest = Duration::ZERO;
                // Some of them reach the upstream without ends as well and are not waited for.
                while sent.elapsed() < DEADLINE {
                    let began = Instant::now();
                    let mut other = Caller::connect(&setup.entry);
                    other.send(request_head("POST", "/f/x", "c1", "content-length: 0\r\n"));
                    let timeout = Some(ANSWER_TIME);
                    other.stream.set_read_timeout(timeout).expect("the timeout is valid");
                    let mut first = [0; 12];
                    other.stream.read_exact(&mut first).expect("an answer begins in time");
                    slowest = slowest.max(began.elapsed());
                    let added = resident_bytes().saturating_sub(before_bytes);
                    assert!(added <= ADDED_BYTES_MAX, "{added} bytes of memory were taken");
                    thread::sleep(Duration::from_millis(20));
                }
                slowest
            });
            assert!(others < ANSWER_TIME, "another caller waited for {others:?}");
            setup.taken_bytes();
            let ended = sent.elapsed();
            let before = setup.endless.requests().len();
            for number in 0..REQUESTS {
                let mut caller = Caller::connect(&setup.entry);
                let head = request_head("GET", "/r/x", &format!("d{number:x}"), "");
                caller.send(head.replace("deadline-ms: 3000", "deadline-ms: 100"));
                read_to_end(&mut caller);
            }
            let reached = setup.endless.requests().len() - before;
            assert!(reached <= REQUESTS_AT_ENDLESS_MAX, "{reached} requests reached it");
            assert!(ended < DEADLINE + DEADLINE_MARGIN, "the connections ended after {ended:?}");
        }
    )*};
}

/// Reads an answer without end until the connection ends, which must not look like the end of the answer.
fn read_to_end(caller: &mut Caller) {
    let mut part = vec![0; 64 << 10];
    let mut last = Vec::new();
    loop {
        match caller.stream.read(&mut part) {
            Ok(0) => break,
            // The answer of the sound upstream.
            Ok(length) if part[..length].ends_with(b"\r\n\r\nok") => return,
            Ok(length) => last = part[..length].to_vec(),
            Err(_reset) => return,
        }
    }
    assert!(!last.ends_with(b"0\r\n\r\n"), "the answer looks complete");
}

bodies_without_end! {
    body_in_chunks_without_end: "transfer-encoding: chunked\r\n", "4\r\nxxxx\r\n", true;
    body_until_the_connection_ends_without_end: "", "x", true;
    body_without_end_that_the_caller_does_not_read: "", "x", false;
    body_in_chunks_without_end_that_the_caller_does_not_read:
        "transfer-encoding: chunked\r\n", "4\r\nxxxx\r\n", false;
    body_with_a_length_without_end: "content-length: 9000000000000\r\n", "x", true;
    body_with_a_length_without_end_that_the_caller_does_not_read:
        "content-length: 9000000000000\r\n", "x", false;
}
