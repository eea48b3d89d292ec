//! What a caller gets, what an upstream runs and what becomes of both connections, when one of them
//! misbehaves.

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
    time::Duration, //
};
use support::{
    eventually,
    good,
    listed,
    request,
    routes,
    Answer,
    Caller,
    Entry,
    MemoryStore,
    Script,
    Sent,
    Upstream, //
};

/// An entry before some upstreams.
struct World {
    entry: Entry,
    upstreams: Vec<Upstream>,
}

const NAMES: [&str; 3] = ["u-1", "u-2", "u-3"];

impl World {
    fn new(upstreams: Vec<Upstream>) -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        for (upstream, name) in upstreams.iter().zip(NAMES) {
            store.put_upstream(&listed(name, upstream.addr));
        }
        let entry = Entry::start("entry-1", &store);
        Self { entry, upstreams }
    }

    fn scripted(script: Script) -> Self {
        Self::new(vec![Upstream::start(script)])
    }

    fn call(&self, method: &str, path: &str, id: &str, body: &str) -> Option<Answer> {
        let mut caller = Caller::connect(&self.entry);
        let length = format!("content-length: {}\r\n", body.len());
        let head = request(method, path, id, if body.is_empty() { "" } else { &length });
        caller.send(head + body);
        caller.answer()
    }

    /// All requests that upstreams read, by id.
    fn runs(&self, id: &str) -> Vec<Sent> {
        let all = self.upstreams.iter().flat_map(Upstream::seen);
        all.filter(|sent| sent.id() == id).collect()
    }
}

/// A script that treats the first request so and answers all others well.
fn first(
    treat: impl Fn(&Sent, &mut support::Connection) -> bool + Send + Sync + 'static,
) -> Script {
    Box::new(move |number, sent, connection| {
        if number == 0 {
            return treat(sent, connection);
        }
        connection.write(good(sent, "later"));
        true
    })
}

/// Each case with the status of a request that isn't idempotent, its runs, and whether an idempotent
/// one that meets the same on its first send is answered well by another one.
macro_rules! failing_answers {
    ($($name:ident: $status:expr, $runs:expr, $treat:expr;)*) => {$(
        mod $name {
            use super::*;

            #[test]
            fn not_idempotent() {
                let world = World::scripted(first($treat));
                let answer = world.call("POST", "/f/x", "a1", "order").expect("an answer");
                assert_eq!(answer.status, $status, "{}", answer.head);
                assert_eq!(world.runs("a1").len(), $runs);
                let next = world.call("POST", "/f/x", "a2", "order").expect("an answer");
                assert_eq!(next.status, 200, "{}", next.head);
                assert_eq!(next.body, b"later");
            }

            #[test]
            fn idempotent() {
                let world = World::new(vec![
                    Upstream::start(first($treat)),
                    Upstream::start(first($treat)),
                    Upstream::good("third"),
                ]);
                // Whichever upstreams the first ones go to, in the end all are answered.
                for number in 0..3 {
                    let id = format!("b{number}");
                    let answer = world.call("GET", "/r/x", &id, "").expect("an answer");
                    let fine = answer.status == 200 || world.runs(&id).len() == 2;
                    assert!(fine, "{} after {} sends", answer.head, world.runs(&id).len());
                }
                let answer = world.call("GET", "/r/x", "last", "").expect("an answer");
                assert_eq!(answer.status, 200);
            }
        }
    )*};
}

failing_answers! {
    // The declared length isn't reached.
    truncated: 502, 1, |sent, connection| {
        let cut = good(sent, "0123456789");
        connection.write(&cut[..cut.len() - 4]);
        connection.close();
        false
    };
    // The last chunk is missing.
    chunks_cut: 502, 1, |sent, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            sent.id()
        ));
        connection.close();
        false
    };
    // No length, and the connection is reset: nobody can tell whether it is whole.
    unframed_reset: 502, 1, |sent, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\r\nhalf",
            sent.id()
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
    no_answer: 502, 1, |_, connection| {
        connection.close();
        false
    };
    // A success that doesn't bear the upstream's seal isn't its own.
    unsealed: 502, 1, |sent, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\ncontent-length: 2\r\n\r\nno",
            sent.id()
        ));
        connection.close();
        false
    };
    // The upstream states that it did not run it, and there is no other.
    not_run: 503, 1, |_, connection| {
        connection.write(
            "HTTP/1.1 503 Busy\r\nupstream-refused: 1\r\ncontent-length: 0\r\n\r\n",
        );
        true
    };
}

/// Symptom: a caller whose filing an upstream had refused got 502, which promises nothing. Sequence:
/// the only upstream states that it did not run the request. Cause guarded against: losing that proof.
#[test]
fn proved_not_run_is_told_with_a_time_to_come_back() {
    let world = World::scripted(Box::new(|_, _, connection| {
        connection.write("HTTP/1.1 503 Busy\r\nupstream-refused: 1\r\ncontent-length: 0\r\n\r\n");
        true
    }));
    let answer = world
        .call("POST", "/f/x", "a1", "order")
        .expect("an answer");
    assert_eq!(answer.status, 503);
    let after: f64 = answer
        .header("retry-after")
        .expect("a time")
        .parse()
        .expect("seconds");
    assert!(after > 0.0);
    assert!(answer.header("upstream-id").is_none());
}

/// A proof that it did not run lets a filing go to another upstream.
#[test]
fn filing_goes_on_after_a_proof_that_it_did_not_run() {
    let refusing = || {
        Upstream::start(Box::new(|_, _, connection| {
            connection.write("HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n");
            true
        }))
    };
    let world = World::new(vec![refusing(), Upstream::good("done")]);
    for number in 0..6 {
        let id = format!("a{number}");
        let answer = world.call("POST", "/f/x", &id, "order").expect("an answer");
        assert_eq!((answer.status, answer.body.as_slice()), (200, &b"done"[..]));
    }
    // Whoever has the address of an upstream that is gone is asked once.
    assert!(world.upstreams[0].seen().len() <= 1);
}

/// An answer without a length that ends with its connection is whole.
#[test]
fn unframed_answer_that_ends_orderly_is_whole() {
    let world = World::scripted(Box::new(|_, sent, connection| {
        connection.write(format!(
            "HTTP/1.1 200 OK\r\njasmine-request: {}\r\nupstream-id: s\r\n\r\nall of it",
            sent.id()
        ));
        connection.close();
        false
    }));
    let answer = world
        .call("POST", "/f/x", "a1", "order")
        .expect("an answer");
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (200, &b"all of it"[..])
    );
}

/// Symptom: a caller got the answer to an earlier request. Sequence: an upstream sends a second
/// answer to a request, late, where the answer to the next one is expected. Cause: connections are
/// used again, and answers were taken by their order alone.
#[test]
fn late_second_answer_reaches_nobody() {
    let world = World::scripted(Box::new(|number, sent, connection| {
        connection.write(good(sent, "own"));
        if number == 0 {
            // Arrives after the connection was put back, or before: both must hold.
            let id = sent.id().to_owned();
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
        let answer = world.call("POST", "/f/x", &id, "order").expect("an answer");
        assert_eq!((answer.status, answer.body.as_slice()), (200, &b"own"[..]));
        assert_eq!(answer.header("jasmine-request"), Some(&*id));
    }
}

/// The same, with the stray answer on its way behind the next request.
#[test]
fn stray_answer_before_the_own_one_is_read_over() {
    let world = World::scripted(Box::new(|number, sent, connection| {
        if number == 1 {
            connection.write(
                "HTTP/1.1 200 OK\r\njasmine-request: other\r\nupstream-id: s\r\n\
                 content-length: 5\r\n\r\nstray",
            );
        }
        connection.write(good(sent, "own"));
        true
    }));
    for number in 0..3 {
        let id = format!("a{number}");
        let answer = world.call("POST", "/f/x", &id, "order").expect("an answer");
        assert_eq!((answer.status, answer.body.as_slice()), (200, &b"own"[..]));
    }
    // The connection that carried it was not used again.
    assert_eq!(world.runs("a2")[0].connection, 1);
}

/// Symptom: a filing ran twice. Sequence: an upstream closes an idle connection just as a filing is
/// sent on it. Cause guarded against: sending it again on a new connection without proof.
#[test]
fn filing_on_a_connection_that_closes_is_not_sent_again() {
    let world = World::scripted(Box::new(|number, sent, connection| {
        if number == 1 {
            connection.close();
            return false;
        }
        connection.write(good(sent, "ok"));
        true
    }));
    let fine = world
        .call("POST", "/f/x", "a1", "order")
        .expect("an answer");
    assert_eq!(fine.status, 200);
    let broken = world
        .call("POST", "/f/x", "a2", "order")
        .expect("an answer");
    assert_eq!(broken.status, 502);
    assert_eq!(world.runs("a2").len(), 1);
}

/// Symptom: a caller with a long body waited to its deadline for an answer that was there. Sequence:
/// the upstream refuses by the head alone and reads no further. Cause guarded against: clients that
/// send all before they read. The connection must not carry another request: its upstream would take
/// it for the rest of the body.
#[test]
fn early_answer_to_a_long_body_arrives() {
    let upstream = Upstream::start_reading(
        false,
        Box::new(|_, sent, connection| {
            connection.write(format!(
                "HTTP/1.1 400 No\r\njasmine-request: {}\r\nupstream-id: s\r\n\
                 content-length: 3\r\n\r\nnay",
                sent.id()
            ));
            connection.wait_for_end();
            false
        }),
    );
    let world = World::new(vec![upstream]);
    let mut caller = Caller::connect(&world.entry);
    caller.send(request("POST", "/f/x", "a1", "content-length: 900000\r\n"));
    caller.send(vec![b'x'; 300_000]);
    let answer = caller.answer().expect("an answer before the body is whole");
    assert_eq!((answer.status, answer.body.as_slice()), (400, &b"nay"[..]));
    assert!(answer
        .header("connection")
        .is_some_and(|value| value == "close"));
}

/// A body in chunks reaches the upstream byte for byte, short or long.
#[test]
fn chunked_bodies_arrive_whole() {
    for length in [10_usize, 200_000] {
        let world = World::new(vec![Upstream::good("ok")]);
        let mut caller = Caller::connect(&world.entry);
        caller.send(request(
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
        assert_eq!(caller.answer().expect("an answer").status, 200);
        let sent = &world.runs("a1")[0];
        let bytes = sent.body.iter().filter(|byte| **byte == b'd').count();
        assert!(bytes >= length, "{bytes} of {length}");
    }
}

/// A long answer to a caller who reads slowly arrives whole.
#[test]
fn slow_reader_gets_all() {
    let body: &'static str = Box::leak("z".repeat(3 << 20).into_boxed_str());
    let world = World::new(vec![Upstream::good(body)]);
    let mut caller = Caller::connect(&world.entry);
    caller.send(request("GET", "/d/x", "a1", ""));
    let mut read = 0;
    let mut buf = vec![0; 256 << 10];
    while read < body.len() {
        thread::sleep(Duration::from_millis(5));
        let got = caller.stream.read(&mut buf).expect("more of it");
        assert!(got > 0, "it ended after {read} bytes");
        read += got;
    }
}

/// A long answer that breaks off on its way is cut for the caller, too: it never looks whole.
#[test]
fn long_answer_that_breaks_off_does_not_look_whole() {
    let world = World::scripted(Box::new(|_, sent, connection| {
        let cut = good(sent, &"y".repeat(1 << 20));
        connection.write(&cut[..cut.len() - 10]);
        connection.close();
        false
    }));
    assert_eq!(world.call("GET", "/d/x", "a1", ""), None);
}

/// Requests sent ahead are answered in order, and the one that closes is the last.
#[test]
fn requests_sent_ahead_are_answered_in_order() {
    let world = World::scripted(Box::new(|_, sent, connection| {
        let body = sent.id().to_owned();
        if body == "a1" {
            thread::sleep(Duration::from_millis(100));
        }
        connection.write(good(sent, &body));
        true
    }));
    let mut caller = Caller::connect(&world.entry);
    let ahead = request("GET", "/r/x", "a1", "")
        + &request("GET", "/r/x", "a2", "")
        + &request("GET", "/r/x", "a3", "connection: close\r\n")
        + &request("GET", "/r/x", "a4", "");
    caller.send(ahead);
    for id in ["a1", "a2", "a3"] {
        assert_eq!(caller.answer().expect("an answer").body, id.as_bytes());
    }
    assert!(caller.ends());
    assert!(world.runs("a4").is_empty());
}

/// Symptom: a filing ran twice, once for a request that its caller counted as not read. Sequence: a
/// filing is sent ahead, and the answer before it closes the connection. Cause guarded against:
/// starting it before its turn.
#[test]
fn filing_sent_ahead_waits_for_its_turn() {
    let started = Arc::new(AtomicUsize::new(0));
    let count = started.clone();
    let world = World::scripted(Box::new(move |_, sent, connection| {
        if sent.id() == "a1" {
            thread::sleep(Duration::from_millis(300));
            count.store(1, Ordering::SeqCst);
        } else {
            assert_eq!(
                count.load(Ordering::SeqCst),
                1,
                "the one ahead is answered first"
            );
        }
        connection.write(good(sent, "ok"));
        true
    }));
    let mut caller = Caller::connect(&world.entry);
    let filing = request("POST", "/f/x", "a2", "content-length: 1\r\n") + "x";
    caller.send(request("GET", "/r/x", "a1", "") + &filing);
    assert_eq!(caller.answer().expect("an answer").status, 200);
    assert_eq!(caller.answer().expect("an answer").status, 200);
    assert_eq!(world.runs("a2").len(), 1);
}

/// Symptom: upstreams worked for callers who had gone. Sequence: a caller closes its connection in the
/// middle of its request. Cause guarded against: keeping the connection to the upstream, whose end is
/// what cancels the work.
#[test]
fn caller_that_leaves_cancels_its_request() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let world = World::scripted(Box::new(move |_, _, connection| {
        connection.wait_for_end();
        count.fetch_add(1, Ordering::SeqCst);
        false
    }));
    let mut caller = Caller::connect(&world.entry);
    caller.send(request("GET", "/r/x", "a1", ""));
    eventually("the request at the upstream", || {
        (!world.runs("a1").is_empty()).then_some(())
    });
    caller.stream.shutdown(Shutdown::Both).expect("open");
    eventually("the end at the upstream", || {
        (ended.load(Ordering::SeqCst) == 1).then_some(())
    });
}

/// The same in the middle of a long answer.
#[test]
fn caller_that_leaves_an_answer_cancels_it() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let world = World::scripted(Box::new(move |_, sent, connection| {
        let long = good(sent, &"w".repeat(1 << 20));
        connection.write(&long[..700_000]);
        connection.wait_for_end();
        count.fetch_add(1, Ordering::SeqCst);
        false
    }));
    let mut caller = Caller::connect(&world.entry);
    caller.send(request("GET", "/d/x", "a1", ""));
    let mut buf = [0; 1000];
    caller.stream.read_exact(&mut buf).expect("its beginning");
    caller.stream.shutdown(Shutdown::Both).expect("open");
    eventually("the end at the upstream", || {
        (ended.load(Ordering::SeqCst) == 1).then_some(())
    });
}

/// The same while the upstream has stopped sending.
#[test]
fn caller_that_leaves_a_stalled_answer_cancels_it() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let world = World::scripted(Box::new(move |_, sent, connection| {
        let long = good(sent, &"v".repeat(1 << 20));
        connection.write(&long[..300_000]);
        connection.wait_for_end();
        count.fetch_add(1, Ordering::SeqCst);
        false
    }));
    let mut caller = Caller::connect(&world.entry);
    let head = request("GET", "/d/x", "a1", "");
    let patient = head.replace("jasmine-deadline-ms: 3000", "jasmine-deadline-ms: 60000");
    caller.send(patient);
    let mut buf = [0; 200_000];
    caller.stream.read_exact(&mut buf).expect("its beginning");
    caller.stream.shutdown(Shutdown::Both).expect("open");
    let begun = std::time::Instant::now();
    eventually("the end at the upstream", || {
        (ended.load(Ordering::SeqCst) == 1).then_some(())
    });
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "before the route's timeout of 3 s"
    );
}

/// Input that no upstream may see, with the status that its caller gets.
macro_rules! refused_input {
    ($($name:ident: $status:expr, $input:expr;)*) => {$(
        #[test]
        fn $name() {
            let world = World::new(vec![Upstream::good("never")]);
            let mut caller = Caller::connect(&world.entry);
            // The entry may refuse and close before all of it is written.
            let _ = caller.stream.write_all($input.as_bytes());
            let answer = caller.answer().expect("an answer");
            assert_eq!(answer.status, $status, "{}", answer.head);
            assert!(caller.ends());
            assert!(world.upstreams[0].seen().is_empty());
        }
    )*};
}

refused_input! {
    two_lengths: 400,
        request("POST", "/f/x", "a1", "content-length: 1\r\ncontent-length: 2\r\n") + "x";
    length_with_chunks: 400,
        request("POST", "/f/x", "a1", "content-length: 4\r\ntransfer-encoding: chunked\r\n")
            + "0\r\n\r\n";
    folded_header: 400, request("GET", "/r/x", "a1", "x-a: b\r\n c\r\n");
    space_before_colon: 400, request("GET", "/r/x", "a1", "x-a : b\r\n");
    unknown_coding: 400, request("POST", "/f/x", "a1", "transfer-encoding: gzip\r\n");
    chunk_of_no_size: 400,
        request("POST", "/f/x", "a1", "transfer-encoding: chunked\r\n") + "zz\r\n";
    head_too_long: 431, request("GET", "/r/x", "a1", &format!("x-a: {}\r\n", "h".repeat(5000)));
    body_too_long: 413, request("POST", "/f/x", "a1", "content-length: 9000000\r\n");
    no_http: 400, "hello there\r\n\r\n".to_owned();
    head_too_slow: 408, "GET /r/x HTTP/1.1\r\nhost: app.exa".to_owned();
}

/// What no route takes is told so, on a connection that goes on.
#[test]
fn unknown_route_is_not_found() {
    let world = World::new(vec![Upstream::good("ok")]);
    let mut caller = Caller::connect(&world.entry);
    caller.send(request("GET", "/none/x", "a1", ""));
    assert_eq!(caller.answer().expect("an answer").status, 404);
    caller.send(request("GET", "/r/x", "a2", ""));
    assert_eq!(caller.answer().expect("an answer").status, 200);
}

/// What an upstream gets: the request unchanged, its incarnation, the time left, and no header of
/// the caller's connection.
#[test]
fn request_arrives_unchanged() {
    let world = World::new(vec![Upstream::good("ok")]);
    let mut caller = Caller::connect(&world.entry);
    let rest = "x-kept: 1\r\nconnection: x-own\r\nx-own: 2\r\nte: trailers\r\n";
    caller.send(request("GET", "/r/a%20b?c=d&e=%2f", "a1", rest));
    assert_eq!(caller.answer().expect("an answer").status, 200);
    let sent = &world.runs("a1")[0];
    assert!(
        sent.head.starts_with("GET /r/a%20b?c=d&e=%2f HTTP/1.1\r\n"),
        "{}",
        sent.head
    );
    assert_eq!(sent.header("host"), Some("app.example"));
    assert_eq!(sent.header("x-kept"), Some("1"));
    assert_eq!(sent.header("jasmine-target"), Some("u-1"));
    assert_eq!(sent.header("x-own"), None);
    assert_eq!(sent.header("te"), None);
    let left: u64 = sent
        .header("jasmine-deadline-ms")
        .expect("it")
        .parse()
        .expect("ms");
    assert!(left <= 3000);
}
