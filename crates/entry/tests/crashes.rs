//! Tests of requests that crash upstreams and are repeated at several entries.

mod support;

use org::{
    KeyDigest,
    Quota, //
};
use route::{
    Organisation,
    Routes, //
};
use std::{
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
    Entry,
    MemoryStore,
    Response,
    Script,
    Upstream, //
};

const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const UPSTREAMS: [&str; 12] = [
    "u-1", "u-2", "u-3", "u-4", "u-5", "u-6", "u-7", "u-8", "u-9", "u-10", "u-11", "u-12",
];
/// Maximum number of upstreams that one request may crash, over all entries.
const CRASHES_MAX: usize = 3;
/// Maximum number of further sends before all entries reject it.
const EXTRA_SENDS_MAX: usize = 3;
/// Attempts of a caller that retries; more than there are upstreams.
const ATTEMPTS: usize = 30;
/// Pause before each attempt.
const PAUSE: Duration = Duration::from_millis(50);

/// Crashes on a path that ends in `fatal`, resets the connection on `broken`, and delays the response on `slow`.
fn crash_script() -> Script {
    Box::new(|_, request, connection| {
        let path = request.head.split(' ').nth(1).unwrap_or_default();
        if path.ends_with("fatal") {
            thread::sleep(Duration::from_millis(10));
            connection.crash();
            return false;
        }
        if path.ends_with("broken") {
            connection.reset();
            return false;
        }
        if path.ends_with("slow") {
            thread::sleep(Duration::from_millis(150));
        }
        connection.write(ok_response(request, "ok"));
        true
    })
}

struct Setup {
    store: MemoryStore,
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
}

impl Setup {
    fn start() -> Self {
        Self::start_with(&routes(1))
    }

    fn start_with(routes: &Routes) -> Self {
        let store = MemoryStore::default();
        store.put_routes(routes);
        let upstreams: Vec<Upstream> = UPSTREAMS
            .iter()
            .map(|name| {
                let upstream = Upstream::start(crash_script());
                store.put_upstream(&upstream_row(*name, upstream.addr));
                upstream
            })
            .collect();
        let entries = ENTRIES.iter().map(|name| Entry::start(name, &store));
        let entries = entries.collect();
        // Waits until the entries have sessions to each other.
        thread::sleep(Duration::from_millis(1500));
        Self {
            store,
            entries,
            upstreams,
        }
    }

    /// Stops all entries, then starts them again with the same store.
    fn restart(&mut self) {
        for entry in &mut self.entries {
            entry.stop();
        }
        // No request is in flight, so the entries stop within this time.
        thread::sleep(Duration::from_secs(5));
        let restarted = ENTRIES.iter().map(|name| Entry::start(name, &self.store));
        self.entries = restarted.collect();
    }

    /// Counts how often a request with this path has reached an upstream.
    fn sends(&self, path: &str) -> usize {
        let line = format!(" {path} ");
        let requests = self.upstreams.iter().flat_map(Upstream::requests);
        requests
            .filter(|request| request.head.contains(&line))
            .count()
    }

    /// Sends attempts one after another, each to the next entry and with a new id.
    fn repeat(&self, method: &str, path: &str, body: &str, attempts: usize) -> Vec<Response> {
        self.repeat_with(method, path, body, attempts, |_| String::new())
    }

    /// Does the same with further header lines, given the number of the attempt.
    fn repeat_with(
        &self,
        method: &str,
        path: &str,
        body: &str,
        attempts: usize,
        headers: impl Fn(usize) -> String,
    ) -> Vec<Response> {
        let entries = self.entries.iter().cycle();
        let attempts = entries.take(attempts).enumerate().map(|(number, entry)| {
            thread::sleep(PAUSE);
            let id = format!("{number:x}");
            call_with(entry, method, path, &id, &headers(number), body)
        });
        attempts.collect()
    }
}

fn call(entry: &Entry, method: &str, path: &str, id: &str, body: &str) -> Response {
    call_with(entry, method, path, id, "", body)
}

fn call_with(
    entry: &Entry,
    method: &str,
    path: &str,
    id: &str,
    headers: &str,
    body: &str,
) -> Response {
    let mut caller = Caller::connect(entry);
    let length = format!("content-length: {}\r\n", body.len());
    let length = if body.is_empty() { "" } else { &length };
    let head = request_head(method, path, id, &format!("{length}{headers}"));
    caller.send(head + body);
    caller.read_response().expect("the entry responds")
}

/// Guards against a caller taking down a service by repeating one request.
macro_rules! few_crashes {
    ($($name:ident: $method:expr, $path:expr, $body:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup::start();
            let responses = setup.repeat($method, $path, $body, ATTEMPTS);
            let sends = setup.sends($path);
            assert!(sends <= CRASHES_MAX + EXTRA_SENDS_MAX, "sent {sends} times");
            let last = responses.last().expect("attempts were made");
            assert_eq!(last.status, 503, "{}", last.head);
            assert!(last.header("retry-after").is_some(), "{}", last.head);
            // Other requests are still served.
            let others = setup.repeat("GET", "/r/x", "", ENTRIES.len());
            assert!(others.iter().all(|response| response.status == 200));
        }
    )*};
}

few_crashes! {
    repeated_idempotent_request_crashes_few_upstreams: "GET", "/r/fatal", "";
    repeated_non_idempotent_request_crashes_few_upstreams: "POST", "/f/fatal", "order";
}

/// Guards against a new entry sending a request that the other entries already reject.
#[test]
fn new_entry_learns_of_crashes() {
    let mut setup = Setup::start();
    setup.repeat("GET", "/r/fatal", "", ATTEMPTS);
    let before = setup.sends("/r/fatal");
    setup.entries = vec![Entry::start("entry-4", &setup.store)];
    thread::sleep(Duration::from_millis(1500));
    setup.repeat("GET", "/r/fatal", "", CRASHES_MAX);
    assert_eq!(setup.sends("/r/fatal"), before);
    assert!(
        before <= CRASHES_MAX + EXTRA_SENDS_MAX,
        "sent {before} times"
    );
}

macro_rules! restarted_entries_remember {
    ($($name:ident: $method:expr, $path:expr, $body:expr, $crash:expr;)*) => {$(
        /// Guards against losing all crash reports when all entries restart.
        #[test]
        fn $name() {
            let mut setup = Setup::start();
            $crash(&setup);
            let before = setup.sends($path);
            setup.restart();
            setup.repeat($method, $path, $body, CRASHES_MAX);
            assert_eq!(setup.sends($path), before);
            assert!(
                before <= CRASHES_MAX + EXTRA_SENDS_MAX,
                "sent {before} times"
            );
        }
    )*};
}

restarted_entries_remember! {
    restarted_entries_remember_crashes: "GET", "/r/fatal", "", |setup: &Setup| {
        setup.repeat("GET", "/r/fatal", "", ATTEMPTS);
    };
    // Each entry sees one crash, so all of them may reach the limit by another entry's report.
    restarted_entries_remember_simultaneous_crashes: "POST", "/f/fatal", "order", |setup: &Setup| {
        thread::scope(|scope| {
            for (entry, id) in setup.entries.iter().zip(["a", "b", "c"]) {
                scope.spawn(move || call(entry, "POST", "/f/fatal", id, "order"));
            }
        });
        thread::sleep(Duration::from_secs(1));
    };
}

/// Guards against expired rows accumulating in the store, and against an unreadable row keeping an entry from serving.
#[test]
fn expired_crash_rows_are_removed() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let upstream = Upstream::start(crash_script());
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let expired = "entries/.crashes/00000000000000aa";
    let unreadable = "entries/.crashes/00000000000000bb";
    let crash = r#"{"upstream":1,"at_ms":1000,"cleared":false}"#;
    store.put(expired, format!("{{\"crashes\":[{crash}]}}"));
    store.put(unreadable, "{");
    let entry = Entry::start("entry-1", &store);
    eventually("removal of the expired row", || {
        (!store.has(expired)).then_some(())
    });
    assert!(store.has(unreadable));
    assert_eq!(call(&entry, "GET", "/r/x", "a1", "").status, 200);
}

/// Guards against quarantining a request whose connections broke without a crash.
#[test]
fn broken_connections_do_not_count_as_crashes() {
    let setup = Setup::start();
    let attempts = 2 * CRASHES_MAX;
    let responses = setup.repeat("POST", "/f/broken", "order", attempts);
    assert!(responses.iter().all(|response| response.status == 502));
    assert_eq!(setup.sends("/f/broken"), attempts);
}

/// Guards against quarantining a request that only ran concurrently with one that crashes upstreams.
#[test]
fn successful_request_is_not_quarantined() {
    let setup = Setup::start();
    for number in 0..CRASHES_MAX {
        // At least one of these is running at the upstream that crashes.
        thread::scope(|scope| {
            for _ in 0..2 * UPSTREAMS.len() {
                scope.spawn(|| call(&setup.entries[0], "GET", "/r/slow", "a", ""));
            }
            thread::sleep(Duration::from_millis(50));
            let path = format!("/f/{number}fatal");
            call(&setup.entries[1], "POST", &path, "b", "order");
        });
        let response = call(&setup.entries[2], "GET", "/r/slow", "c", "");
        assert_eq!(response.status, 200, "{}", response.head);
    }
    let responses = setup.repeat("GET", "/r/slow", "", ENTRIES.len());
    assert!(responses.iter().all(|response| response.status == 200));
}

/// Guards against three crashed upstreams for each key and each organisation that a request is repeated with.
#[test]
fn request_is_the_same_with_another_key() {
    let organisation = |id: &'static str, keys: [&str; 2]| Organisation {
        id: id.into(),
        keys: keys.map(|key| KeyDigest::of(key.as_bytes())).to_vec(),
        priority: None,
        quota: Quota::default(),
        homes: Vec::new(),
    };
    let mut routes = routes(1);
    routes.organisations = Some(vec![
        organisation("a", ["k-0", "k-1"]),
        organisation("b", ["k-2", "k-3"]),
    ]);
    let setup = Setup::start_with(&routes);
    let key = |number: usize| format!("authorization: Bearer k-{}\r\n", number % 4);
    let responses = setup.repeat_with("GET", "/r/fatal", "", ATTEMPTS, key);
    let sends = setup.sends("/r/fatal");
    assert!(sends <= CRASHES_MAX + EXTRA_SENDS_MAX, "sent {sends} times");
    let last = responses.last().expect("attempts were made");
    assert_eq!(last.status, 503, "{}", last.head);
    let others = setup.repeat_with("GET", "/r/x", "", 4, key);
    assert!(others.iter().all(|response| response.status == 200));
}
