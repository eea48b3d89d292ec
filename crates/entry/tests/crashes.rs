//! Requests that crash the upstreams that run them, from callers that repeat them at several entries.

mod support;

use std::{
    thread,
    time::Duration, //
};
use support::{
    good,
    listed,
    request,
    routes,
    Answer,
    Caller,
    Entry,
    MemoryStore,
    Script,
    Upstream, //
};

const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const UPSTREAMS: [&str; 12] = [
    "u-1", "u-2", "u-3", "u-4", "u-5", "u-6", "u-7", "u-8", "u-9", "u-10", "u-11", "u-12",
];
/// Crashes that may come of one request, over all entries.
const CRASHES: usize = 3;
/// Further upstreams that it may reach after that.
const SENDS_AFTER: usize = 3;
/// Attempts of a caller that comes back: more than there are upstreams.
const ATTEMPTS: usize = 30;
/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(50);

/// Crashes upon a path that ends in `fatal`, breaks the connection upon `broken`, and takes its time for `slow`.
fn fragile() -> Script {
    Box::new(|_, sent, connection| {
        let path = sent.head.split(' ').nth(1).unwrap_or_default();
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
        connection.write(good(sent, "ok"));
        true
    })
}

struct World {
    store: MemoryStore,
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
}

impl World {
    fn start() -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        let upstreams: Vec<Upstream> = UPSTREAMS
            .iter()
            .map(|name| {
                let upstream = Upstream::start(fragile());
                store.put_upstream(&listed(*name, upstream.addr));
                upstream
            })
            .collect();
        let entries = ENTRIES.iter().map(|name| Entry::start(name, &store));
        let entries = entries.collect();
        // Sessions between all of them stand.
        thread::sleep(Duration::from_millis(1500));
        Self {
            store,
            entries,
            upstreams,
        }
    }

    /// Upstreams that a request with this path has reached, each as often as it did.
    fn sends(&self, path: &str) -> usize {
        let line = format!(" {path} ");
        let seen = self.upstreams.iter().flat_map(Upstream::seen);
        seen.filter(|sent| sent.head.contains(&line)).count()
    }

    /// One attempt after another, each at the next entry and with an id of its own.
    fn repeat(&self, method: &str, path: &str, body: &str, attempts: usize) -> Vec<Answer> {
        let entries = self.entries.iter().cycle();
        let attempts = entries.take(attempts).enumerate().map(|(number, entry)| {
            thread::sleep(PAUSE);
            call(entry, method, path, &format!("{number:x}"), body)
        });
        attempts.collect()
    }
}

fn call(entry: &Entry, method: &str, path: &str, id: &str, body: &str) -> Answer {
    let mut caller = Caller::connect(entry);
    let length = format!("content-length: {}\r\n", body.len());
    let head = request(method, path, id, if body.is_empty() { "" } else { &length });
    caller.send(head + body);
    caller.answer().expect("an answer")
}

/// Guards against a caller that takes down a service by repeating one request.
macro_rules! few_crashes {
    ($($name:ident: $method:expr, $path:expr, $body:expr;)*) => {$(
        #[test]
        fn $name() {
            let world = World::start();
            let answers = world.repeat($method, $path, $body, ATTEMPTS);
            let sends = world.sends($path);
            assert!(sends <= CRASHES + SENDS_AFTER, "sent {sends} times");
            let last = answers.last().expect("attempts were made");
            assert_eq!(last.status, 503, "{}", last.head);
            assert!(last.header("retry-after").is_some(), "{}", last.head);
            // All others are served.
            let others = world.repeat("GET", "/r/x", "", ENTRIES.len());
            assert!(others.iter().all(|answer| answer.status == 200));
        }
    )*};
}

few_crashes! {
    repeated_read_crashes_few_upstreams: "GET", "/r/fatal", "";
    repeated_filing_crashes_few_upstreams: "POST", "/f/fatal", "order";
}

/// A process that starts anew would let a request crash upstreams again that the others already reject.
#[test]
fn new_entry_learns_of_crashes() {
    let mut world = World::start();
    world.repeat("GET", "/r/fatal", "", ATTEMPTS);
    let before = world.sends("/r/fatal");
    world.entries = vec![Entry::start("entry-4", &world.store)];
    thread::sleep(Duration::from_millis(1500));
    world.repeat("GET", "/r/fatal", "", CRASHES);
    assert_eq!(world.sends("/r/fatal"), before);
    assert!(before <= CRASHES + SENDS_AFTER, "sent {before} times");
}

/// After a loss of all processes each would let a request crash upstreams again.
#[test]
fn restarted_entries_remember_crashes() {
    let mut world = World::start();
    world.repeat("GET", "/r/fatal", "", ATTEMPTS);
    let before = world.sends("/r/fatal");
    for entry in &mut world.entries {
        entry.stop();
    }
    // Nothing is under way, so they end well within their grace period.
    thread::sleep(Duration::from_secs(5));
    let restarted = ENTRIES.iter().map(|name| Entry::start(name, &world.store));
    world.entries = restarted.collect();
    world.repeat("GET", "/r/fatal", "", CRASHES);
    assert_eq!(world.sends("/r/fatal"), before);
    assert!(before <= CRASHES + SENDS_AFTER, "sent {before} times");
}

/// A request would be rejected because its connections broke, while its upstreams are well.
#[test]
fn broken_connections_are_no_crashes() {
    let world = World::start();
    let attempts = 2 * CRASHES;
    let answers = world.repeat("POST", "/f/broken", "order", attempts);
    assert!(answers.iter().all(|answer| answer.status == 502));
    assert_eq!(world.sends("/f/broken"), attempts);
}

/// A request that happens to run where others crash would be rejected with them.
#[test]
fn answered_request_is_no_suspect() {
    let world = World::start();
    for number in 0..CRASHES {
        // One of these runs where the crash comes, ...
        thread::scope(|scope| {
            for _ in 0..2 * UPSTREAMS.len() {
                scope.spawn(|| call(&world.entries[0], "GET", "/r/slow", "a", ""));
            }
            thread::sleep(Duration::from_millis(50));
            let path = format!("/f/{number}fatal");
            call(&world.entries[1], "POST", &path, "b", "order");
        });
        // ... and this one is answered.
        let answer = call(&world.entries[2], "GET", "/r/slow", "c", "");
        assert_eq!(answer.status, 200, "{}", answer.head);
    }
    let answers = world.repeat("GET", "/r/slow", "", ENTRIES.len());
    assert!(answers.iter().all(|answer| answer.status == 200));
}
