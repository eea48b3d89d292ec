//! Requests to upstreams whose responses state that they leave or want no requests for a time, as received by them.

mod support;

use std::{
    sync::{
        atomic::{
            AtomicBool,
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
    Load,
    MemoryStore,
    ReceivedRequest,
    Response,
    Upstream, //
};

/// Time after which requests that were sent before a response was read have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Pause of each caller between a response and its next request.
const PAUSE: Duration = Duration::from_millis(10);
/// Pause at which an upstream rejects too few requests to be ejected for them.
const LONG_PAUSE: Duration = Duration::from_millis(600);
/// Time within which all entries have to know that an upstream leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Value of `Retry-After` of an upstream that rejects requests.
const REST: Duration = Duration::from_secs(3);

fn get(entry: &Entry, id: &str) -> Response {
    let mut caller = Caller::connect(entry);
    caller.send(request_head("GET", "/r/x", id, ""));
    caller.read_response().expect("the entry responds")
}

/// Adds a header line to a response.
fn with_header(response: &str, line: &str) -> String {
    let line = format!("{line}\r\ncontent-length");
    response.replacen("content-length", &line, 1)
}

/// A response that states that the request did not run.
fn rejection(request: &ReceivedRequest, status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\njasmine-request: {}\r\nupstream-refused: 1\r\ncontent-length: 0\r\n\r\n",
        request.id()
    )
}

/// An upstream whose responses have an additional header line while its switch is on.
struct Signalling {
    upstream: Upstream,
    on: Arc<AtomicBool>,
}

impl Signalling {
    fn start(line: &'static str, respond: fn(&ReceivedRequest) -> String) -> Self {
        let on = Arc::new(AtomicBool::new(false));
        let is_on = on.clone();
        let upstream = Upstream::start(Box::new(move |_, request, connection| {
            thread::sleep(Duration::from_millis(5));
            if is_on.load(Ordering::Relaxed) {
                connection.write(with_header(&respond(request), line));
            } else {
                connection.write(ok_response(request, "ok"));
            }
            true
        }));
        Self { upstream, on }
    }

    fn set(&self, on: bool) {
        self.on.store(on, Ordering::Relaxed);
    }

    fn requests_between(&self, from: Instant, to: Instant) -> usize {
        let requests = self.upstream.requests();
        let between = requests.iter().filter(|one| one.at >= from && one.at < to);
        between.count()
    }

    /// Waits for the first request that is answered with the header, and returns when it arrived.
    fn first_signal(&self) -> Instant {
        let since = Instant::now();
        self.set(true);
        eventually("a request", || {
            let requests = self.upstream.requests();
            requests.iter().map(|one| one.at).find(|at| *at >= since)
        })
    }
}

/// A response body longer than what an entry reads before it passes the response on.
fn long_response(request: &ReceivedRequest) -> String {
    ok_response(request, &"x".repeat(1 << 20))
}

fn ok(request: &ReceivedRequest) -> String {
    ok_response(request, "ok")
}

fn server_error(request: &ReceivedRequest) -> String {
    ok_response(request, "").replacen("200 OK", "500 Error", 1)
}

fn full(request: &ReceivedRequest) -> String {
    rejection(request, "503 Full")
}

/// Guards against requests that go on to an upstream that says in its responses that it leaves, while its row does not.
macro_rules! leaving_upstream_gets_nothing {
    ($($name:ident: $respond:expr, $then:expr;)*) => {$(
        #[test]
        fn $name() {
            let store = MemoryStore::default();
            store.put_routes(&routes(1));
            let leaving = Signalling::start("upstream-state: leaving", $respond);
            let other = Signalling::start("", ok);
            store.put_upstream(&upstream_row("u-1", leaving.upstream.addr));
            store.put_upstream(&upstream_row("u-2", other.upstream.addr));
            let entry = Entry::start("entry-1", &store);
            let _load = Load::start([&entry, &entry, &entry], PAUSE);
            let told = leaving.first_signal();
            let change_store: fn(&MemoryStore, &Signalling) = $then;
            change_store(&store, &leaving);
            thread::sleep(Duration::from_secs(2));
            let later = leaving.requests_between(told + SETTLE_TIME, Instant::now());
            assert_eq!(later, 0);
        }
    )*};
}

leaving_upstream_gets_nothing! {
    upstream_leaving_by_its_answer_gets_nothing: ok, |store, _| store.set_down(true);
    upstream_leaving_by_a_long_answer_gets_nothing: long_response, |_, _| {};
    upstream_leaving_by_an_error_gets_nothing: server_error, |_, _| {};
    upstream_leaving_by_a_rejection_gets_nothing: full, |_, _| {};
    upstream_leaving_by_its_answer_and_ready_by_its_row_gets_nothing: ok, |store, leaving| {
        store.put_upstream(&upstream_row("u-1", leaving.upstream.addr));
    };
    upstream_leaving_by_its_answer_and_ready_by_the_whole_table_gets_nothing: ok, |store, leaving| {
        store.compact();
        store.put_upstream(&upstream_row("u-1", leaving.upstream.addr));
    };
}

/// Guards against entries that go on sending to a leaving upstream because another entry got the answer that says so.
#[test]
fn all_entries_learn_that_an_upstream_leaves() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let leaving = Signalling::start("upstream-state: leaving", ok);
    store.put_upstream(&upstream_row("u-1", leaving.upstream.addr));
    let entry_1 = Entry::start("entry-1", &store);
    let entry_2 = Entry::start("entry-2", &store);
    assert_eq!(get(&entry_2, "a").status, 200);
    leaving.set(true);
    assert_eq!(get(&entry_1, "b").status, 200);
    thread::sleep(DRAIN_TIME);
    leaving.set(false);
    assert_eq!(get(&entry_2, "c").status, 503);
}

/// Guards against an entry that is started, or started anew, while an upstream leaves, and learns of it from its row alone.
#[test]
fn started_entry_learns_that_an_upstream_leaves() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let leaving = Signalling::start("upstream-state: leaving", ok);
    store.put_upstream(&upstream_row("u-1", leaving.upstream.addr));
    let entry_1 = Entry::start("entry-1", &store);
    leaving.set(true);
    assert_eq!(get(&entry_1, "a").status, 200);
    leaving.set(false);
    let entry_2 = Entry::start("entry-2", &store);
    thread::sleep(DRAIN_TIME);
    assert_eq!(get(&entry_2, "b").status, 503);
}

/// Guards against an upstream that stays closed because an earlier incarnation of the same name has left.
#[test]
fn later_incarnation_of_a_leaving_upstream_is_used() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let leaving = Signalling::start("upstream-state: leaving", ok);
    store.put_upstream(&upstream_row("u-1", leaving.upstream.addr));
    let entry = Entry::start("entry-1", &store);
    leaving.set(true);
    assert_eq!(get(&entry, "a").status, 200);
    leaving.set(false);
    let mut row = upstream_row("u-1", leaving.upstream.addr);
    row.started_ms = 1;
    store.put_upstream(&row);
    eventually("the later incarnation", || {
        (get(&entry, "b").status == 200).then_some(())
    });
}

fn unmarked(request: &ReceivedRequest) -> String {
    rejection(request, "503 Full").replacen("upstream-refused: 1\r\n", "", 1)
}

/// Guards against requests to an upstream that has rejected one and asked for a pause, and against one left unused after it.
macro_rules! pause_of_an_upstream_holds {
    ($($name:ident: $respond:expr, $rejecting:expr, $all:expr, $pause:expr, $headers:expr;)*) => {$(
        #[test]
        fn $name() {
            let store = MemoryStore::default();
            let mut routes = routes(1);
            routes.hosts[0].routes[0].sticky = true;
            store.put_routes(&routes);
            let mut upstreams = Vec::new();
            for number in 0..$all {
                let upstream = Signalling::start("retry-after: 3", $respond);
                let id = format!("u-{number}");
                store.put_upstream(&upstream_row(id, upstream.upstream.addr));
                upstreams.push(upstream);
            }
            let entry = Entry::start("entry-1", &store);
            let _load = Load::with_headers([&entry, &entry, &entry, &entry], $pause, $headers);
            thread::sleep(SETTLE_TIME);
            let told: Vec<Instant> = upstreams[..$rejecting].iter().map(Signalling::first_signal).collect();
            // A new snapshot must not end the pause.
            store.put("operator/evacuated/other", "yes");
            let last = *told.iter().max().expect("an upstream rejects requests");
            thread::sleep((last + REST).saturating_duration_since(Instant::now()));
            for (upstream, told) in upstreams.iter().zip(&told) {
                let in_pause = upstream.requests_between(*told + SETTLE_TIME, *told + REST);
                assert!(in_pause <= 2, "{in_pause} requests in the pause");
                upstream.set(false);
            }
            let ended = Instant::now();
            eventually("requests after the pause", || {
                let used = |one: &Signalling| one.requests_between(ended, Instant::now()) > 0;
                upstreams.iter().all(used).then_some(())
            });
        }
    )*};
}

pause_of_an_upstream_holds! {
    pause_of_one_of_two_upstreams_holds: full, 1, 2, PAUSE, "";
    pause_of_one_of_two_upstreams_holds_at_a_low_rate: full, 1, 2, LONG_PAUSE, "";
    pause_of_most_upstreams_holds: full, 3, 4, PAUSE, "";
    pause_of_all_upstreams_holds: full, 2, 2, PAUSE, "";
    pause_of_an_upstream_holds_for_keyed_requests: full, 1, 1, PAUSE, "cookie: jasmine-affinity=7\r\n";
    pause_stated_without_a_proof_that_nothing_ran_holds: unmarked, 1, 2, LONG_PAUSE, "";
}

/// Guards against an upstream that is left unused for good because its only response so far was slow.
#[test]
fn upstream_that_was_slow_once_is_used_again() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let slow_once = Upstream::start(Box::new(|number, request, connection| {
        thread::sleep(Duration::from_millis(if number == 0 { 500 } else { 5 }));
        connection.write(ok_response(request, "ok"));
        true
    }));
    let other = Signalling::start("", ok);
    store.put_upstream(&upstream_row("u-1", slow_once.addr));
    store.put_upstream(&upstream_row("u-2", other.upstream.addr));
    let entry = Entry::start("entry-1", &store);
    let _load = Load::start([&entry, &entry], LONG_PAUSE);
    eventually("requests after the slow one", || {
        (slow_once.requests().len() > 1).then_some(())
    });
}

/// Guards against a `Retry-After` that is over before the first pause ends.
#[test]
fn caller_is_told_when_the_first_pause_ends() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let upstream = Signalling::start("retry-after: 3", full);
    store.put_upstream(&upstream_row("u-1", upstream.upstream.addr));
    let entry = Entry::start("entry-1", &store);
    upstream.set(true);
    for id in ["a", "b"] {
        let response = get(&entry, id);
        assert_eq!(response.status, 503);
        let stated = response.header("retry-after");
        let seconds = stated.and_then(|value| value.parse().ok());
        let seconds: f64 = seconds.expect("the rejection states when to retry");
        assert!((2.0..=3.0).contains(&seconds), "{seconds} s");
    }
    assert_eq!(upstream.upstream.requests().len(), 1);
}

/// Guards against requests to an upstream that states that it is slow while another one is as fast as usual, and against
/// avoiding one because of a statement that can't be read.
macro_rules! slow_upstream_is_avoided_if_it_says_so {
    ($($name:ident: $line:expr => $is_avoided:expr;)*) => {$(
        #[test]
        fn $name() {
            let store = MemoryStore::default();
            store.put_routes(&routes(1));
            let slow = Signalling::start($line, ok);
            let other = Signalling::start("upstream-load: 1,0,8,100", ok);
            store.put_upstream(&upstream_row("u-1", slow.upstream.addr));
            store.put_upstream(&upstream_row("u-2", other.upstream.addr));
            let entry = Entry::start("entry-1", &store);
            let _load = Load::start([&entry, &entry, &entry], PAUSE);
            // A first response that is late by chance makes an upstream count as slow for some seconds.
            eventually("requests to both upstreams", || {
                let is_used = |one: &Signalling| {
                    let now = Instant::now();
                    one.requests_between(now - SETTLE_TIME, now) > 10
                };
                (is_used(&slow) && is_used(&other)).then_some(())
            });
            other.set(true);
            let from = slow.first_signal() + SETTLE_TIME;
            let to = from + REST;
            thread::sleep(to.saturating_duration_since(Instant::now()));
            let to_slow = slow.requests_between(from, to);
            let all = to_slow + other.requests_between(from, to);
            assert_eq!(to_slow * 4 < all, $is_avoided, "{to_slow} of {all}");
            assert!(to_slow > 0, "it is tried again once its statement is old");
        }
    )*};
}

slow_upstream_is_avoided_if_it_says_so! {
    upstream_that_states_a_long_work_time_is_avoided: "upstream-load: 1,0,8,250" => true;
    upstream_with_further_values_in_its_report_is_avoided: "upstream-load: 1,0,8,250,7" => true;
    upstream_that_states_the_usual_work_time_is_used: "upstream-load: 1,0,8,100" => false;
    upstream_that_states_no_work_time_is_used: "upstream-load: 1,0,8" => false;
    upstream_with_a_garbled_work_time_is_used: "upstream-load: 1,0,8,2x0" => false;
    upstream_with_an_absurd_work_time_is_used: "upstream-load: 1,0,8,4000000" => false;
    upstream_with_a_garbled_report_is_used: "upstream-load: 1,?,8,250" => false;
}
