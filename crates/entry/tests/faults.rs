//! Misbehaving callers and upstreams: what the caller receives, which requests upstreams receive, and what happens to
//! both connections.

mod support;

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::Shutdown,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
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
    ReceivedRequest,
    Response,
    Script,
    Upstream, //
};

/// An entry and its upstreams.
struct Setup {
    entry: Entry,
    upstreams: Vec<Upstream>,
}

const UPSTREAM_NAMES: [&str; 3] = ["u-1", "u-2", "u-3"];

impl Setup {
    fn new(upstreams: Vec<Upstream>) -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        for (upstream, name) in upstreams.iter().zip(UPSTREAM_NAMES) {
            store.put_upstream(&upstream_row(name, upstream.addr));
        }
        let entry = Entry::start("entry-1", &store);
        Self { entry, upstreams }
    }

    fn scripted(script: Script) -> Self {
        Self::new(vec![Upstream::start(script)])
    }

    fn call(&self, method: &str, path: &str, id: &str, body: &str) -> Option<Response> {
        let mut caller = Caller::connect(&self.entry);
        let length = format!("content-length: {}\r\n", body.len());
        let head = request_head(method, path, id, if body.is_empty() { "" } else { &length });
        caller.send(head + body);
        caller.read_response()
    }

    /// Returns the requests with this id that upstreams have received.
    fn requests_with_id(&self, id: &str) -> Vec<ReceivedRequest> {
        let all = self.upstreams.iter().flat_map(Upstream::requests);
        all.filter(|request| request.id() == id).collect()
    }
}

/// Handles the first request by `handle_first` and responds to all others with status 200.
fn on_first(
    handle_first: impl Fn(&ReceivedRequest, &mut support::Connection) -> bool + Send + Sync + 'static,
) -> Script {
    Box::new(move |number, request, connection| {
        if number == 0 {
            return handle_first(request, connection);
        }
        connection.write(ok_response(request, "later"));
        true
    })
}

/// Tests a fault of the upstream: the status that a non-idempotent request gets and how often it is sent, and that an
/// idempotent request is sent again after this fault.
macro_rules! upstream_faults {
    ($($name:ident: $status:expr, $sends:expr, $handle_first:expr;)*) => {$(
        mod $name {
            use super::*;

            #[test]
            fn not_idempotent() {
                let setup = Setup::scripted(on_first($handle_first));
                let response = setup.call("POST", "/f/x", "a1", "order").expect("the entry responds");
                assert_eq!(response.status, $status, "{}", response.head);
                assert_eq!(setup.requests_with_id("a1").len(), $sends);
                let next = setup.call("POST", "/f/x", "a2", "order").expect("the entry responds");
                assert_eq!(next.status, 200, "{}", next.head);
                assert_eq!(next.body, b"later");
            }

            #[test]
            fn idempotent() {
                let setup = Setup::new(vec![
                    Upstream::start(on_first($handle_first)),
                    Upstream::start(on_first($handle_first)),
                    Upstream::responding("third"),
                ]);
                // Each request succeeds or has been sent twice, whichever upstreams it was sent to.
                for number in 0..3 {
                    let id = format!("b{number}");
                    let response = setup.call("GET", "/r/x", &id, "").expect("the entry responds");
                    let served_or_resent = response.status == 200 || setup.requests_with_id(&id).len() == 2;
                    assert!(served_or_resent, "{} after {} sends", response.head, setup.requests_with_id(&id).len());
                }
                let response = setup.call("GET", "/r/x", "last", "").expect("the entry responds");
                assert_eq!(response.status, 200);
            }
        }
    )*};
}

upstream_faults! {
    // The connection closes before the declared length is reached.
    truncated: 502, 1, |request, connection| {
        let complete = ok_response(request, "0123456789");
        connection.write(&complete[..complete.len() - 4]);
        connection.close();
        false
    };
    // The last chunk is missing.
    truncated_chunks: 502, 1, |request, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            request.id()
        ));
        connection.close();
        false
    };
    // There is no length and the connection is reset, so the response may be incomplete.
    unframed_reset: 502, 1, |request, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\r\nhalf",
            request.id()
        ));
        thread::sleep(Duration::from_millis(50));
        connection.reset();
        false
    };
    garbage: 502, 1, |_, connection| {
        connection.write("no http at all\r\n\r\n");
        connection.close();
        false
    };
    no_response: 502, 1, |_, connection| {
        connection.close();
        false
    };
    // A success without an `upstream-id` header is not from the upstream.
    without_upstream_id: 502, 1, |request, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\ncontent-length: 2\r\n\r\nno",
            request.id()
        ));
        connection.close();
        false
    };
    // The upstream states that it did not run the request, and there is no other upstream.
    not_run: 503, 1, |_, connection| {
        connection.write(
            "HTTP/1.1 503 Busy\r\nupstream-refused: 1\r\ncontent-length: 0\r\n\r\n",
        );
        true
    };
}

/// Tests the response to a request that may run once, an order and an upload, if its only upstream responds with this
/// status line and header.
macro_rules! responses_of_the_only_upstream {
    ($($name:ident: $status:expr, $header:expr => $caller_status:expr;)*) => {$(
        #[test]
        fn $name() {
            for path in ["/f/x", "/u/x"] {
                let setup = Setup::scripted(Box::new(|_, request, connection| {
                    connection.write(format!(
                        "HTTP/1.1 {}\r\njasmine-request: {}\r\nupstream-id: s\r\n{}\
                         retry-after: 1\r\ncontent-length: 2\r\n\r\nno",
                        $status,
                        request.id(),
                        $header
                    ));
                    true
                }));
                let response = setup.call("POST", path, "a1", "order").expect("the entry responds");
                assert_eq!(response.status, $caller_status, "{}", response.head);
                assert_eq!(setup.requests_with_id("a1").len(), 1);
                let states_not_run = [408, 421, 429, 503].contains(&response.status);
                assert_eq!(states_not_run, response.header("retry-after").is_some());
                // What the entry says itself doesn't pass for the upstream's.
                assert!(response.header("upstream-id").is_none(), "{}", response.head);
            }
        }
    )*};
}

// Guard against an order that is placed twice: callers repeat any request after these statuses, and an upstream that
// responds with one without a header that says so may have run it.
responses_of_the_only_upstream! {
    unavailable_after_it_ran: "503 Busy", "" => 502;
    too_many_requests_after_it_ran: "429 Slow down", "" => 502;
    request_timeout_after_it_ran: "408 Too slow", "" => 502;
    unavailable_without_having_run: "503 Busy", "upstream-refused: 1\r\n" => 503;
    too_many_requests_without_having_run: "429 Slow down", "upstream-refused: 1\r\n" => 503;
    request_timeout_without_having_run: "408 Too slow", "upstream-refused: 1\r\n" => 503;
    misdirected_without_having_run: "421 Other", "upstream-refused: 1\r\n" => 503;
    bad_request_without_having_run: "400 Bad", "upstream-refused: 1\r\n" => 503;
}

/// Guards against an upload that is sent again after an upstream has run it, and against one that isn't although the
/// first upstream states that it did not run it.
#[test]
fn upload_is_sent_again_only_if_it_did_not_run() {
    for (header, sends) in [("", 1), ("upstream-refused: 1\r\n", 2)] {
        let refusing = || {
            Upstream::start(Box::new(move |_, _, connection| {
                connection.write(format!(
                    "HTTP/1.1 503 Busy\r\n{header}content-length: 0\r\n\r\n"
                ));
                true
            }))
        };
        let setup = Setup::new(vec![refusing(), refusing()]);
        setup
            .call("POST", "/u/x", "a1", "asset")
            .expect("the entry responds");
        assert_eq!(setup.requests_with_id("a1").len(), sends);
    }
}

/// An upstream's rejection of a request that may run more than once is passed on as it is if nothing else can be done.
#[test]
fn rejection_of_a_read_is_passed_on() {
    let setup = Setup::scripted(Box::new(|_, request, connection| {
        let response = ok_response(request, "full").replacen("200 OK", "503 Busy", 1);
        connection.write(response);
        true
    }));
    let response = setup
        .call("GET", "/r/x", "a1", "")
        .expect("the entry responds");
    assert_eq!((response.status, &response.body[..]), (503, &b"full"[..]));
    assert_eq!(response.header("upstream-id"), Some("s"));
}

/// Guards against losing an upstream's statement that it did not run a request: if the only upstream refuses a
/// non-idempotent request, its caller must not get a 502, which leaves open whether the request ran.
#[test]
fn refusal_by_the_only_upstream_gets_503_with_retry_after() {
    let setup = Setup::scripted(Box::new(|_, _, connection| {
        connection.write("HTTP/1.1 503 Busy\r\nupstream-refused: 1\r\ncontent-length: 0\r\n\r\n");
        true
    }));
    let response = setup
        .call("POST", "/f/x", "a1", "order")
        .expect("the entry responds");
    assert_eq!(response.status, 503);
    let after: f64 = response
        .header("retry-after")
        .expect("the header is present")
        .parse()
        .expect("the value is a number of seconds");
    assert!(after > 0.0);
    assert!(response.header("upstream-id").is_none());
}

/// A non-idempotent request is sent to another upstream once the first has stated that it did not run it.
#[test]
fn refused_non_idempotent_request_is_sent_to_another_upstream() {
    let refusing = || {
        Upstream::start(Box::new(|_, _, connection| {
            connection.write("HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n");
            true
        }))
    };
    let setup = Setup::new(vec![refusing(), Upstream::responding("done")]);
    for number in 0..6 {
        let id = format!("a{number}");
        let response = setup
            .call("POST", "/f/x", &id, "order")
            .expect("the entry responds");
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, &b"done"[..])
        );
    }
    // A process that uses the address of a former upstream receives at most one request.
    assert!(setup.upstreams[0].requests().len() <= 1);
}

/// A response without a length is complete if its connection is closed without an error.
#[test]
fn unframed_response_is_complete_if_its_connection_is_closed() {
    let setup = Setup::scripted(Box::new(|_, request, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\r\nall of it",
            request.id()
        ));
        connection.close();
        false
    }));
    let response = setup
        .call("POST", "/f/x", "a1", "order")
        .expect("the entry responds");
    assert_eq!(
        (response.status, response.body.as_slice()),
        (200, &b"all of it"[..])
    );
}

/// Guards against a caller that gets the response to an earlier request. This happened when an upstream sent a second,
/// late response on a reused connection, as responses were matched to requests by their order alone.
#[test]
fn late_second_response_is_discarded() {
    let setup = Setup::scripted(Box::new(|number, request, connection| {
        connection.write(ok_response(request, "own"));
        if number == 0 {
            // May arrive before or after the connection has returned to the pool.
            let id = request.id().to_owned();
            let stray = format!(
                "HTTP/1.1 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n\
                 content-length: 5\r\n\r\nstray"
            );
            connection.write(stray);
        }
        true
    }));
    for number in 0..5 {
        let id = format!("a{number}");
        let response = setup
            .call("POST", "/f/x", &id, "order")
            .expect("the entry responds");
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, &b"own"[..])
        );
        assert_eq!(response.header("jasmine-request"), Some(&*id));
    }
}

/// Like the previous test, with the stray response sent after the next request has been received.
#[test]
fn stray_response_before_the_matching_one_is_discarded() {
    let setup = Setup::scripted(Box::new(|number, request, connection| {
        if number == 1 {
            connection.write(
                "HTTP/1.1 200 OK\r\njasmine-request: other\r\nupstream-id: s\r\n\
                 content-length: 5\r\n\r\nstray",
            );
        }
        connection.write(ok_response(request, "own"));
        true
    }));
    for number in 0..3 {
        let id = format!("a{number}");
        let response = setup
            .call("POST", "/f/x", &id, "order")
            .expect("the entry responds");
        assert_eq!(
            (response.status, response.body.as_slice()),
            (200, &b"own"[..])
        );
    }
    // The connection with the stray response was not reused.
    assert_eq!(setup.requests_with_id("a2")[0].connection, 1);
}

/// Guards against a non-idempotent request that runs twice. An upstream may close an idle connection just as the
/// request is sent on it; without proof that it did not run, the entry must not send it again on a new connection.
#[test]
fn non_idempotent_request_on_a_closing_connection_is_not_sent_again() {
    let setup = Setup::scripted(Box::new(|number, request, connection| {
        if number == 1 {
            connection.close();
            return false;
        }
        connection.write(ok_response(request, "ok"));
        true
    }));
    let served = setup
        .call("POST", "/f/x", "a1", "order")
        .expect("the entry responds");
    assert_eq!(served.status, 200);
    let broken = setup
        .call("POST", "/f/x", "a2", "order")
        .expect("the entry responds");
    assert_eq!(broken.status, 502);
    assert_eq!(setup.requests_with_id("a2").len(), 1);
}

/// Guards against an entry that reads no response before it has sent the whole body: if an upstream rejects a request
/// by its head and reads no further, the caller would wait for the available response until its deadline. The
/// connection must not be reused, as the upstream would take the next request for the rest of the body.
#[test]
fn early_response_to_a_long_body_arrives() {
    let upstream = Upstream::start_with(
        false,
        Box::new(|_, request, connection| {
            connection.write(format!(
                "HTTP/1.1 400 No\r\njasmine-request: {}\r\nupstream-id: s\r\n\
                 content-length: 3\r\n\r\nnay",
                request.id()
            ));
            connection.wait_for_close();
            false
        }),
    );
    let setup = Setup::new(vec![upstream]);
    let mut caller = Caller::connect(&setup.entry);
    caller.send(request_head(
        "POST",
        "/f/x",
        "a1",
        "content-length: 900000\r\n",
    ));
    caller.send(vec![b'x'; 300_000]);
    let response = caller
        .read_response()
        .expect("the entry responds before the body is complete");
    assert_eq!(
        (response.status, response.body.as_slice()),
        (400, &b"nay"[..])
    );
    assert!(response
        .header("connection")
        .is_some_and(|value| value == "close"));
}

/// Short and long chunked bodies reach the upstream complete.
#[test]
fn chunked_bodies_arrive_complete() {
    for length in [10_usize, 200_000] {
        let setup = Setup::new(vec![Upstream::responding("ok")]);
        let mut caller = Caller::connect(&setup.entry);
        caller.send(request_head(
            "POST",
            "/f/x",
            "a1",
            "transfer-encoding: chunked\r\n",
        ));
        let data = vec![b'd'; length];
        for piece in data.chunks(50_000) {
            caller.send(format!("{:x}\r\n", piece.len()));
            caller.send(piece);
            caller.send("\r\n");
        }
        caller.send("0\r\n\r\n");
        assert_eq!(
            caller.read_response().expect("the entry responds").status,
            200
        );
        let request = &setup.requests_with_id("a1")[0];
        let bytes = request.body.iter().filter(|byte| **byte == b'd').count();
        assert!(bytes >= length, "{bytes} of {length}");
    }
}

/// A caller that reads slowly receives the whole of a long response.
#[test]
fn slow_reader_gets_the_whole_response() {
    let body: &'static str = Box::leak("z".repeat(3 << 20).into_boxed_str());
    let setup = Setup::new(vec![Upstream::responding(body)]);
    let mut caller = Caller::connect(&setup.entry);
    caller.send(request_head("GET", "/d/x", "a1", ""));
    let mut read = 0;
    let mut buf = vec![0; 256 << 10];
    while read < body.len() {
        thread::sleep(Duration::from_millis(5));
        let length = caller
            .stream
            .read(&mut buf)
            .expect("the response continues");
        assert!(length > 0, "the response ended after {read} bytes");
        read += length;
    }
}

/// A long response that the upstream truncates does not look complete to the caller either.
#[test]
fn truncated_long_response_does_not_look_complete() {
    let setup = Setup::scripted(Box::new(|_, request, connection| {
        let complete = ok_response(request, &"y".repeat(1 << 20));
        connection.write(&complete[..complete.len() - 10]);
        connection.close();
        false
    }));
    assert_eq!(setup.call("GET", "/d/x", "a1", ""), None);
}

/// Guards against requests that are passed on behind a long answer and get none, because that one breaks off.
macro_rules! requests_behind_an_answer_that_breaks_off_stay_unsent {
    ($($name:ident: $path:expr, $whole_answers:expr;)*) => {$(
        #[test]
        fn $name() {
            let whole_answers: &[&str] = $whole_answers;
            let setup = Setup::scripted(Box::new(|_, request, connection| {
                let answer = ok_response(request, &"y".repeat(1 << 20));
                if request.id().starts_with("b") {
                    connection.write(&answer[..answer.len() - 10]);
                    connection.close();
                    return false;
                }
                connection.write(answer);
                true
            }));
            for id in whole_answers {
                let answer = setup.call("GET", $path, id, "");
                assert_eq!(answer.map(|answer| answer.status), Some(200));
            }
            let mut caller = Caller::connect(&setup.entry);
            let pipelined = ["b1", "c1", "c2"].map(|id| request_head("GET", $path, id, ""));
            let sent = Instant::now();
            caller.send(pipelined.concat());
            assert_eq!(caller.read_response(), None);
            assert!(sent.elapsed() < Duration::from_secs(1), "the connection stays open");
            thread::sleep(Duration::from_millis(300));
            for id in ["c1", "c2"] {
                assert!(setup.requests_with_id(id).is_empty(), "{id} was passed on");
            }
        }
    )*};
}

requests_behind_an_answer_that_breaks_off_stay_unsent! {
    requests_behind_a_download_that_breaks_off_stay_unsent: "/d/x", &[];
    requests_behind_a_long_answer_that_breaks_off_stay_unsent: "/r/x", &["a1"];
}

/// Pipelined requests get their responses in order; none is served after one with `connection: close`.
#[test]
fn pipelined_requests_get_responses_in_order() {
    let setup = Setup::scripted(Box::new(|_, request, connection| {
        let body = request.id().to_owned();
        if body == "a1" {
            thread::sleep(Duration::from_millis(100));
        }
        connection.write(ok_response(request, &body));
        true
    }));
    let mut caller = Caller::connect(&setup.entry);
    let pipelined = request_head("GET", "/r/x", "a1", "")
        + &request_head("GET", "/r/x", "a2", "")
        + &request_head("GET", "/r/x", "a3", "connection: close\r\n")
        + &request_head("GET", "/r/x", "a4", "");
    caller.send(pipelined);
    for id in ["a1", "a2", "a3"] {
        assert_eq!(
            caller.read_response().expect("the entry responds").body,
            id.as_bytes()
        );
    }
    assert!(caller.is_closed());
    assert!(setup.requests_with_id("a4").is_empty());
}

/// Guards against starting a pipelined non-idempotent request before the previous response: if that response closes the
/// connection, the caller assumes that the request was not read and repeats it, so that it runs twice.
#[test]
fn pipelined_non_idempotent_request_waits_for_the_previous_response() {
    let started = Arc::new(AtomicUsize::new(0));
    let count = started.clone();
    let setup = Setup::scripted(Box::new(move |_, request, connection| {
        if request.id() == "a1" {
            thread::sleep(Duration::from_millis(300));
            count.store(1, Ordering::SeqCst);
        } else {
            assert_eq!(
                count.load(Ordering::SeqCst),
                1,
                "the pipelined request was sent before the previous one completed"
            );
        }
        connection.write(ok_response(request, "ok"));
        true
    }));
    let mut caller = Caller::connect(&setup.entry);
    let second = request_head("POST", "/f/x", "a2", "content-length: 1\r\n") + "x";
    caller.send(request_head("GET", "/r/x", "a1", "") + &second);
    assert_eq!(
        caller.read_response().expect("the entry responds").status,
        200
    );
    assert_eq!(
        caller.read_response().expect("the entry responds").status,
        200
    );
    assert_eq!(setup.requests_with_id("a2").len(), 1);
}

/// Guards against upstreams that work for callers that have disconnected. When a caller closes its connection during a
/// request, the entry must close the connection to the upstream, which cancels the work.
#[test]
fn disconnect_cancels_the_request() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let setup = Setup::scripted(Box::new(move |_, _, connection| {
        connection.wait_for_close();
        count.fetch_add(1, Ordering::SeqCst);
        false
    }));
    let mut caller = Caller::connect(&setup.entry);
    caller.send(request_head("GET", "/r/x", "a1", ""));
    eventually("the request to reach the upstream", || {
        (!setup.requests_with_id("a1").is_empty()).then_some(())
    });
    caller
        .stream
        .shutdown(Shutdown::Both)
        .expect("the connection is open");
    eventually("the end of the connection to the upstream", || {
        (ended.load(Ordering::SeqCst) == 1).then_some(())
    });
}

/// Like the previous test, during a long response.
#[test]
fn disconnect_during_a_response_cancels_it() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let setup = Setup::scripted(Box::new(move |_, request, connection| {
        let complete = ok_response(request, &"w".repeat(1 << 20));
        connection.write(&complete[..700_000]);
        connection.wait_for_close();
        count.fetch_add(1, Ordering::SeqCst);
        false
    }));
    let mut caller = Caller::connect(&setup.entry);
    caller.send(request_head("GET", "/d/x", "a1", ""));
    let mut buf = [0; 1000];
    caller
        .stream
        .read_exact(&mut buf)
        .expect("the start of the response arrives");
    caller
        .stream
        .shutdown(Shutdown::Both)
        .expect("the connection is open");
    eventually("the end of the connection to the upstream", || {
        (ended.load(Ordering::SeqCst) == 1).then_some(())
    });
}

/// Like the previous test, while the upstream has stopped sending.
#[test]
fn disconnect_during_a_stalled_response_cancels_it() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let setup = Setup::scripted(Box::new(move |_, request, connection| {
        let complete = ok_response(request, &"v".repeat(1 << 20));
        connection.write(&complete[..300_000]);
        connection.wait_for_close();
        count.fetch_add(1, Ordering::SeqCst);
        false
    }));
    let mut caller = Caller::connect(&setup.entry);
    let head = request_head("GET", "/d/x", "a1", "");
    let head_with_long_deadline =
        head.replace("jasmine-deadline-ms: 3000", "jasmine-deadline-ms: 60000");
    caller.send(head_with_long_deadline);
    let mut buf = [0; 200_000];
    caller
        .stream
        .read_exact(&mut buf)
        .expect("the start of the response arrives");
    caller
        .stream
        .shutdown(Shutdown::Both)
        .expect("the connection is open");
    let started = std::time::Instant::now();
    eventually("the end of the connection to the upstream", || {
        (ended.load(Ordering::SeqCst) == 1).then_some(())
    });
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "the connection must end before the route's timeout of 3 s"
    );
}

/// Tests that input is rejected with this status, and that the upstream receives nothing.
macro_rules! rejected_input {
    ($($name:ident: $status:expr, $input:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup::new(vec![Upstream::responding("never")]);
            let mut caller = Caller::connect(&setup.entry);
            // Fails if the entry rejects the input and closes the connection before all of it is written.
            let _ = caller.stream.write_all($input.as_bytes());
            let response = caller.read_response().expect("the entry responds");
            assert_eq!(response.status, $status, "{}", response.head);
            assert!(caller.is_closed());
            assert!(setup.upstreams[0].requests().is_empty());
        }
    )*};
}

rejected_input! {
    two_lengths: 400,
        request_head("POST", "/f/x", "a1", "content-length: 1\r\ncontent-length: 2\r\n") + "x";
    length_with_chunks: 400,
        request_head("POST", "/f/x", "a1", "content-length: 4\r\ntransfer-encoding: chunked\r\n")
            + "0\r\n\r\n";
    folded_header: 400, request_head("GET", "/r/x", "a1", "x-a: b\r\n c\r\n");
    space_before_colon: 400, request_head("GET", "/r/x", "a1", "x-a : b\r\n");
    unknown_coding: 400, request_head("POST", "/f/x", "a1", "transfer-encoding: gzip\r\n");
    chunk_without_size: 400,
        request_head("POST", "/f/x", "a1", "transfer-encoding: chunked\r\n") + "zz\r\n";
    head_too_long: 431, request_head("GET", "/r/x", "a1", &format!("x-a: {}\r\n", "h".repeat(5000)));
    body_too_long: 413, request_head("POST", "/f/x", "a1", "content-length: 9000000\r\n");
    not_http: 400, "hello there\r\n\r\n".to_owned();
    head_too_slow: 408, "GET /r/x HTTP/1.1\r\nhost: app.exa".to_owned();
}

/// A request that matches no route gets 404, and the connection remains usable.
#[test]
fn unknown_route_is_not_found() {
    let setup = Setup::new(vec![Upstream::responding("ok")]);
    let mut caller = Caller::connect(&setup.entry);
    caller.send(request_head("GET", "/none/x", "a1", ""));
    assert_eq!(
        caller.read_response().expect("the entry responds").status,
        404
    );
    caller.send(request_head("GET", "/r/x", "a2", ""));
    assert_eq!(
        caller.read_response().expect("the entry responds").status,
        200
    );
}

/// An upstream receives the request unchanged, with its own name and the remaining time, and without the hop-by-hop
/// headers of the caller's connection.
#[test]
fn request_arrives_unchanged() {
    let setup = Setup::new(vec![Upstream::responding("ok")]);
    let mut caller = Caller::connect(&setup.entry);
    let rest = "x-kept: 1\r\nconnection: x-own\r\nx-own: 2\r\nte: trailers\r\n";
    caller.send(request_head("GET", "/r/a%20b?c=d&e=%2f", "a1", rest));
    assert_eq!(
        caller.read_response().expect("the entry responds").status,
        200
    );
    let request = &setup.requests_with_id("a1")[0];
    assert!(
        request
            .head
            .starts_with("GET /r/a%20b?c=d&e=%2f HTTP/1.1\r\n"),
        "{}",
        request.head
    );
    assert_eq!(request.header("host"), Some("app.example"));
    assert_eq!(request.header("x-kept"), Some("1"));
    assert_eq!(request.header("jasmine-target"), Some("u-1"));
    assert_eq!(request.header("x-own"), None);
    assert_eq!(request.header("te"), None);
    let left: u64 = request
        .header("jasmine-deadline-ms")
        .expect("the header is present")
        .parse()
        .expect("the value is a number of milliseconds");
    assert!(left <= 3000);
}

/// Guards against an upstream that gets as many requests as others although it breaks off every long answer.
#[test]
fn upstream_that_breaks_off_long_answers_is_passed_over() {
    let answer_bytes = 1 << 20;
    let breaking = Upstream::start(Box::new(move |_, request, connection| {
        let answer = ok_response(request, &"y".repeat(answer_bytes));
        connection.write(&answer[..answer_bytes / 2]);
        connection.close();
        false
    }));
    let sound = Upstream::start(Box::new(move |_, request, connection| {
        connection.write(ok_response(request, &"y".repeat(answer_bytes)));
        true
    }));
    let setup = Setup::new(vec![breaking, sound]);
    for number in 0..40 {
        let id = format!("a{number}");
        let whole = setup.call("GET", "/d/x", &id, "").is_some();
        let by_sound = setup.upstreams[1]
            .requests()
            .iter()
            .any(|one| one.id() == id);
        assert_eq!(whole, by_sound);
    }
    let reached = setup.upstreams[0].requests().len();
    assert!((1..=8).contains(&reached), "{reached} of 40 reached it");
}

/// Guards against bytes without any request's id that an upstream sends where a response is expected: one that seems to
/// state that the request did not run must not have it sent to another upstream, nor be passed on to the caller.
macro_rules! response_without_an_id_is_skipped {
    ($($name:ident: $additional:expr;)*) => {$(
        #[test]
        fn $name() {
            let start = || {
                let last_connection = AtomicUsize::new(usize::MAX);
                Upstream::start(Box::new(move |_, request, connection| {
                    let last = last_connection.swap(request.connection, Ordering::Relaxed);
                    if last == request.connection {
                        connection.write($additional);
                        thread::sleep(Duration::from_millis(20));
                    }
                    connection.write(ok_response(request, "own"));
                    true
                }))
            };
            let setup = Setup::new(vec![start(), start()]);
            for number in 0..10 {
                let id = format!("d{number}");
                let response = setup.call("POST", "/f/x", &id, "order").expect("the entry responds");
                assert_eq!(response.status, 200, "{}", response.head);
                assert_eq!(response.body, b"own");
                assert_eq!(setup.requests_with_id(&id).len(), 1);
            }
        }
    )*};
}

response_without_an_id_is_skipped! {
    rejection_without_an_id:
        "HTTP/1.1 503 Full\r\nupstream-refused: 1\r\ncontent-length: 0\r\n\r\n";
    misdirection_without_an_id: "HTTP/1.1 421 Gone\r\ncontent-length: 0\r\n\r\n";
    success_without_an_id:
        "HTTP/1.1 200 OK\r\nupstream-id: s\r\ncontent-length: 5\r\n\r\nother";
}
