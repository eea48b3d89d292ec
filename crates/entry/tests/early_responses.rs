//! Upstreams that respond while a request is being sent to them and then end the connection.

mod support;

use metrics::{
    Counter,
    Gauge,
    Histogram,
    HistogramFn,
    Key,
    KeyName,
    Metadata,
    Recorder,
    SharedString,
    Unit, //
};
use std::{
    io::Write as _,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        mpsc::{
            channel,
            Receiver,
            Sender, //
        },
        Arc,
        Mutex,
        MutexGuard,
        Once,
        PoisonError, //
    },
    thread,
    time::Duration, //
};
use support::{
    eventually,
    ok_response,
    request_head,
    routes,
    upstream_row,
    Caller,
    Cut,
    Entry,
    JsonRows,
    Links,
    MemoryStore,
    NewConnections,
    OpenConnections,
    ReceivedRequest,
    Upstream,
    TIMEOUT, //
};

/// Length of an upload, which is longer than the buffers of all sockets on its way.
const UPLOAD_BYTES: usize = 48 << 20;
/// Time without progress after which an upload is held up by the upstream.
const STALL_TIME: Duration = Duration::from_millis(200);
/// Time in which the end of a connection reaches its peer.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Body of an early response; an upstream that breaks off sends a part of it.
const BODY: &str = "the whole body of the response";
/// Metric that the traffic thread records right before it sends a request to an upstream.
const RECORDED_BEFORE_SEND: &str = "jasmine_entry_send_wait_seconds";

/// Stops the next traffic thread that is about to send a request to an upstream.
struct Gate {
    stopped: Sender<()>,
    resumed: Receiver<()>,
}

static GATE: Mutex<Option<Gate>> = Mutex::new(None);

struct GateHistogram;

impl HistogramFn for GateHistogram {
    fn record(&self, _: f64) {
        let gate = GATE.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(gate) = gate {
            // Both fail only if the test has ended.
            let _ = gate.stopped.send(());
            let _ = gate.resumed.recv();
        }
    }
}

/// Metrics recorder that runs [`GateHistogram`] in the traffic threads.
struct GateRecorder;

impl Recorder for GateRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, _: &Key, _: &Metadata<'_>) -> Counter {
        Counter::noop()
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        if key.name() == RECORDED_BEFORE_SEND {
            return Histogram::from_arc(Arc::new(GateHistogram));
        }
        Histogram::noop()
    }
}

/// Waits for the turn of this test, since all entries of the process share the gate.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        metrics::set_global_recorder(GateRecorder).expect("no other recorder is installed");
    });
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How an upstream ends the connection of an early response.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    /// In order. The rest of the upload then resets the connection.
    Close,
}

#[derive(Clone, Copy)]
struct Case {
    prefix: &'static str,
    http: &'static str,
    /// Further header lines.
    rest: &'static str,
    /// Body as it is sent.
    body: &'static str,
    end: End,
}

/// A response without a length that breaks off.
const CUT: Case = Case {
    prefix: "/f/",
    http: "HTTP/1.1",
    rest: "",
    body: "the whole body",
    end: End::Reset,
};

/// Body that is longer than what an entry reads before it passes on the start of it.
fn long_body() -> &'static str {
    "body ".repeat(8 << 10).leak()
}

impl Case {
    fn response(self, request: &ReceivedRequest) -> String {
        let Self {
            http, rest, body, ..
        } = self;
        let id = request.id();
        format!("{http} 200 OK\r\njasmine-request: {id}\r\nupstream-id: s\r\n{rest}\r\n{body}")
    }
}

/// An upstream whose response to an upload is triggered by the test.
struct EarlyUpstream {
    upstream: Upstream,
    respond: Sender<()>,
}

impl EarlyUpstream {
    fn start(case: Case) -> Self {
        let (respond, told) = channel();
        let told = Mutex::new(told);
        let upstream = Upstream::start_with(
            false,
            Box::new(move |_, request, connection| {
                if !request.head.starts_with("POST") {
                    connection.write(ok_response(request, "ok"));
                    return true;
                }
                let told = told
                    .lock()
                    .expect("no script panics while it holds the lock");
                // Fails if the test has ended.
                let _ = told.recv();
                connection.write(case.response(request));
                match case.end {
                    End::Reset => connection.reset(),
                    End::Close => connection.close(),
                }
                false
            }),
        );
        Self { upstream, respond }
    }

    fn has_upload(&self) -> bool {
        let requests = self.upstream.requests();
        requests.iter().any(|one| one.head.starts_with("POST"))
    }
}

/// The entry that the caller uses, and the one that sends the upload to the upstream.
struct Setup {
    early: EarlyUpstream,
    entries: Vec<Entry>,
    _links: Option<Links>,
}

impl Setup {
    fn store() -> MemoryStore {
        let store = MemoryStore::default();
        let mut routes = routes(1);
        routes.limits.max_body_bytes = 2 * UPLOAD_BYTES as u64;
        for route in &mut routes.hosts[0].routes {
            route.timeout = Duration::from_secs(20);
        }
        store.put_routes(&routes);
        store
    }

    fn direct(case: Case) -> Self {
        let early = EarlyUpstream::start(case);
        let store = Self::store();
        store.put_upstream(&upstream_row("u-1", early.upstream.addr));
        Self {
            early,
            entries: vec![Entry::start("entry-1", &store)],
            _links: None,
        }
    }

    /// Starts an entry that reaches no upstream, and one that relays its requests.
    fn relayed(case: Case) -> Self {
        let early = EarlyUpstream::start(case);
        let store = Self::store();
        let links = Links::open([early.upstream.addr]);
        let grace = Duration::from_secs(6);
        let start =
            |name, rows| Entry::start_with_rows(name, "region-a", "domain-a", &store, grace, rows);
        let cut = start("entry-1", links.rows());
        let relaying =
            Entry::start_with_rows("entry-2", "region-a", "domain-a", &store, grace, JsonRows);
        let entries = vec![cut, relaying];
        for entry in &entries {
            entry.wait_ready(true);
        }
        // Sessions between the entries are open by then.
        thread::sleep(Duration::from_millis(2500));
        store.put_upstream(&upstream_row("u-1", early.upstream.addr));
        thread::sleep(Duration::from_millis(500));
        links.cut(Cut {
            open: OpenConnections::Hang,
            new: NewConnections::Hang,
        });
        eventually("a relayed request", || {
            (status_of_read(&entries[0], "aa") == Some(200)).then_some(())
        });
        Self {
            early,
            entries,
            _links: Some(links),
        }
    }

    /// Sends an upload and lets the upstream respond to it and end the connection before the traffic thread, which waits
    /// to write more of the upload, learns of either. Returns the status and the body that the caller reads; `None` if
    /// the response breaks off.
    fn upload(&self, case: Case) -> Option<(u16, Vec<u8>)> {
        let mut caller = Caller::connect(&self.entries[0]);
        let length = format!("content-length: {UPLOAD_BYTES}\r\n");
        let head = request_head("POST", &format!("{}x", case.prefix), "b1", &length);
        caller.send(head.replace("deadline-ms: 3000", "deadline-ms: 20000"));
        let sent_bytes = Arc::new(AtomicUsize::new(0));
        let mut writer = caller.stream.try_clone().expect("the connection is open");
        let counter = sent_bytes.clone();
        let writing = thread::spawn(move || {
            let part = [b'x'; 64 << 10];
            while counter.load(Ordering::SeqCst) < UPLOAD_BYTES {
                // Fails once the entry has closed the connection.
                let Ok(written) = writer.write(&part) else {
                    return;
                };
                counter.fetch_add(written, Ordering::SeqCst);
            }
        });
        eventually("the head of the upload", || {
            self.early.has_upload().then_some(())
        });
        eventually("an upload that is held up", || {
            let before = sent_bytes.load(Ordering::SeqCst);
            thread::sleep(STALL_TIME);
            (before > 0 && sent_bytes.load(Ordering::SeqCst) == before).then_some(())
        });
        assert!(sent_bytes.load(Ordering::SeqCst) < UPLOAD_BYTES);
        self.respond_while_stopped();
        let response = caller.read_response();
        drop(caller);
        writing.join().expect("the writer doesn't panic");
        response.map(|response| (response.status, response.body))
    }

    /// Stops the traffic thread that sends the upload, lets the upstream respond, and resumes the thread.
    fn respond_while_stopped(&self) {
        let (stopped, has_stopped) = channel();
        let (resume, resumed) = channel();
        *GATE.lock().unwrap_or_else(PoisonError::into_inner) = Some(Gate { stopped, resumed });
        let sender = self.entries.last().expect("there is an entry");
        thread::scope(|scope| {
            let other = scope.spawn(|| status_of_read(sender, "c1"));
            let stops = has_stopped.recv_timeout(TIMEOUT);
            stops.expect("the thread sends the request");
            let told = self.early.respond.send(());
            told.expect("the upstream is running");
            thread::sleep(SETTLE_TIME);
            resume.send(()).expect("the thread waits");
            assert_eq!(other.join().expect("the caller doesn't panic"), Some(200));
        });
    }
}

/// Sends a request that the upstream answers at once, and returns the status.
fn status_of_read(entry: &Entry, id: &str) -> Option<u16> {
    let mut caller = Caller::connect(entry);
    caller.send(request_head("GET", "/r/x", id, ""));
    Some(caller.read_response()?.status)
}

/// Guards against a part of a response that its caller takes for all of it, because the write of the request has received
/// the error of the reset and the read that follows sees an orderly end.
macro_rules! early_response_cut_by_a_reset_is_not_whole {
    ($($name:ident: $start:ident, $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let _turn = take_turn();
            let case = $case;
            let read = Setup::$start(case).upload(case);
            let is_reported = read.as_ref().is_none_or(|(status, _)| *status == 502);
            assert!(is_reported, "{read:?}");
        }
    )*};
}

early_response_cut_by_a_reset_is_not_whole! {
    cut_response_to_a_filing: direct, CUT;
    cut_response_to_a_read: direct, Case { prefix: "/r/", ..CUT };
    cut_response_to_a_download: direct, Case { prefix: "/d/", ..CUT };
    cut_response_to_an_upload: direct, Case { prefix: "/u/", ..CUT };
    cut_response_of_an_older_version: direct, Case { http: "HTTP/1.0", ..CUT };
    cut_response_that_closes: direct, Case { rest: "connection: close\r\n", ..CUT };
    cut_response_of_an_older_version_that_closes: direct,
        Case { http: "HTTP/1.0", rest: "connection: close\r\n", ..CUT };
    cut_response_without_a_transfer_coding: direct,
        Case { rest: "transfer-encoding: identity\r\n", ..CUT };
    cut_response_without_any_body: direct, Case { body: "", ..CUT };
    cut_response_with_a_length: direct, Case { rest: "content-length: 30\r\n", ..CUT };
    cut_response_in_chunks: direct,
        Case { rest: "transfer-encoding: chunked\r\n", body: "5\r\nthe w\r\n", ..CUT };
    long_cut_response_to_a_filing: direct, Case { body: long_body(), ..CUT };
    long_cut_response_to_a_read: direct, Case { prefix: "/r/", body: long_body(), ..CUT };
    long_cut_response_to_a_download: direct, Case { prefix: "/d/", body: long_body(), ..CUT };
    long_cut_response_to_an_upload: direct, Case { prefix: "/u/", body: long_body(), ..CUT };
    long_cut_response_of_an_older_version: direct,
        Case { http: "HTTP/1.0", body: long_body(), ..CUT };
    cut_response_to_a_relayed_filing: relayed, CUT;
    cut_response_to_a_relayed_read: relayed, Case { prefix: "/r/", ..CUT };
    cut_response_to_a_relayed_download: relayed, Case { prefix: "/d/", ..CUT };
    cut_response_to_a_relayed_upload: relayed, Case { prefix: "/u/", ..CUT };
    cut_response_of_an_older_version_to_a_relayed_filing: relayed, Case { http: "HTTP/1.0", ..CUT };
    cut_response_that_closes_to_a_relayed_filing: relayed,
        Case { rest: "connection: close\r\n", ..CUT };
    long_cut_response_to_a_relayed_filing: relayed, Case { body: long_body(), ..CUT };
    long_cut_response_to_a_relayed_download: relayed,
        Case { prefix: "/d/", body: long_body(), ..CUT };
}

/// Guards against a complete response that is replaced by a failure because the request can't be written to its end.
macro_rules! early_response_that_is_whole_is_delivered {
    ($($name:ident: $start:ident, $case:expr;)*) => {$(
        #[test]
        fn $name() {
            let _turn = take_turn();
            let case = $case;
            let read = Setup::$start(case).upload(case);
            assert_eq!(read, Some((200, BODY.into())));
        }
    )*};
}

early_response_that_is_whole_is_delivered! {
    whole_response_with_a_length: direct,
        Case { rest: "content-length: 30\r\n", body: BODY, ..CUT };
    whole_response_in_chunks: direct, Case {
        rest: "transfer-encoding: chunked\r\n",
        body: "1e\r\nthe whole body of the response\r\n0\r\n\r\n",
        ..CUT
    };
    whole_response_that_ends_in_order: direct, Case { body: BODY, end: End::Close, ..CUT };
    whole_response_of_an_older_version_that_ends_in_order: direct,
        Case { http: "HTTP/1.0", body: BODY, end: End::Close, ..CUT };
    whole_response_to_a_relayed_filing_that_ends_in_order: relayed,
        Case { body: BODY, end: End::Close, ..CUT };
}

/// Guards against a long response that is taken for a part of one since the request can't be written to its end.
#[test]
fn long_response_that_ends_in_order_is_delivered() {
    let _turn = take_turn();
    let body = long_body();
    let case = Case {
        body,
        end: End::Close,
        ..CUT
    };
    let read = Setup::direct(case).upload(case);
    assert_eq!(read, Some((200, body.into())));
}
