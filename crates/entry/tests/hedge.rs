//! Requests that are sent to a second upstream because the first takes unusually long: which response the caller
//! receives, how often a request is sent, and what happens to the connections.

mod support;

use std::{
    collections::HashSet,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc,
        Mutex, //
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
    Connection,
    Entry,
    MemoryStore,
    ReceivedRequest,
    Response,
    Upstream,
    LONG_BODY_BYTES, //
};

const UPSTREAM_NAMES: [&str; 3] = ["u-1", "u-2", "u-3"];
/// Usual time of a request.
const USUAL_TIME: Duration = Duration::from_millis(20);
/// Time of an unusually slow request, above the latency target.
const SLOW_TIME: Duration = Duration::from_millis(1_500);
const LATENCY_TARGET: Duration = Duration::from_millis(800);
/// Requests from which the entry learns the response times, and how many of them are slow.
const LEARNT_REQUESTS: usize = 140;
const LEARNT_SLOW: usize = 5;

/// What an upstream does with a request, by whether it is the first send of it.
type Script = fn(first: bool, &ReceivedRequest, &mut Connection) -> bool;

/// An entry with upstreams that take [`USUAL_TIME`], or [`SLOW_TIME`] if the path says so, except that the requests of
/// `/x/special` paths are handled by a script.
struct Setup {
    entry: Entry,
    upstreams: Vec<Upstream>,
    /// Connections that the entry closed while a script waited for that.
    closed: Arc<AtomicUsize>,
}

impl Setup {
    fn new(script: Script) -> Self {
        Self::with_attempts(2, script)
    }

    fn with_attempts(max_attempts: u32, script: Script) -> Self {
        let store = MemoryStore::default();
        let mut routes = routes(1);
        for route in &mut routes.hosts[0].routes {
            route.latency_target = LATENCY_TARGET;
            route.max_attempts = max_attempts;
        }
        store.put_routes(&routes);
        let closed = Arc::new(AtomicUsize::new(0));
        let seen = Arc::new(Mutex::new(HashSet::new()));
        let upstreams = UPSTREAM_NAMES.map(|_| {
            let (closed, seen) = (closed.clone(), seen.clone());
            Upstream::start(Box::new(move |_, request, connection| {
                if !request.head.contains("/special ") {
                    let is_slow = request.head.contains("/slow ");
                    thread::sleep(if is_slow { SLOW_TIME } else { USUAL_TIME });
                    connection.write(ok_response(request, "usual"));
                    return true;
                }
                let mut seen = seen
                    .lock()
                    .expect("no script panics while it holds the lock");
                let first = seen.insert(request.id().to_owned());
                drop(seen);
                let goes_on = script(first, request, connection);
                closed.fetch_add(usize::from(!goes_on), Ordering::Relaxed);
                goes_on
            }))
        });
        let upstreams = Vec::from(upstreams);
        for (upstream, name) in upstreams.iter().zip(UPSTREAM_NAMES) {
            store.put_upstream(&upstream_row(name, upstream.addr));
        }
        let entry = Entry::start("entry-1", &store);
        Self {
            entry,
            upstreams,
            closed,
        }
    }

    /// Makes requests of this prefix until the entry knows their response times.
    fn learn(self, method: &'static str, prefix: &str) -> Self {
        let slow: Vec<_> = (0..LEARNT_SLOW)
            .map(|number| {
                let mut caller = Caller::connect(&self.entry);
                caller.send(request_head(
                    method,
                    &format!("{prefix}slow"),
                    &format!("s{number}"),
                    "",
                ));
                caller
            })
            .collect();
        for mut caller in slow {
            caller.read_response().expect("the entry responds");
        }
        let mut caller = Caller::connect(&self.entry);
        for number in LEARNT_SLOW..LEARNT_REQUESTS {
            caller.send(request_head(
                method,
                &format!("{prefix}usual"),
                &format!("l{number}"),
                "",
            ));
            caller.read_response().expect("the entry responds");
        }
        self
    }

    fn send(&self, method: &str, path: &str, id: &str) -> Caller {
        let mut caller = Caller::connect(&self.entry);
        caller.send(request_head(method, path, id, ""));
        caller
    }

    fn call(&self, method: &str, path: &str, id: &str) -> Response {
        let response = self.send(method, path, id).read_response();
        response.expect("the entry responds")
    }

    /// Returns the number of each upstream that received a request with this id.
    fn receivers(&self, id: &str) -> Vec<usize> {
        let upstreams = self.upstreams.iter().enumerate();
        let received = upstreams.flat_map(|(index, upstream)| {
            let requests = upstream.requests().into_iter();
            requests
                .filter(|request| request.id() == id)
                .map(move |_| index)
        });
        received.collect()
    }

    fn wait_for_closed(&self, count: usize) {
        eventually("the connections to be closed", || {
            (self.closed.load(Ordering::Relaxed) == count).then_some(())
        });
    }
}

/// Responds to the second send; waits at the first until the entry closes the connection.
fn first_stuck(first: bool, request: &ReceivedRequest, connection: &mut Connection) -> bool {
    if first {
        connection.wait_for_close();
        return false;
    }
    connection.write(ok_response(request, "second"));
    true
}

/// Responds to the first send after [`SLOW_TIME`] if the second one fails.
fn second_fails(first: bool, request: &ReceivedRequest, connection: &mut Connection) -> bool {
    if first {
        thread::sleep(SLOW_TIME);
        connection.write(ok_response(request, "first"));
        return true;
    }
    connection.write(format!(
        "HTTP/1.1 500 Internal Server Error\r\njasmine-request: {}\r\ncontent-length: 0\r\n\r\n",
        request.id()
    ));
    true
}

/// Guards against callers that wait for a stuck request until its deadline while another upstream would respond.
#[test]
fn second_upstream_answers_for_a_stuck_one() {
    let setup = Setup::new(first_stuck).learn("GET", "/r/");
    let response = setup.call("GET", "/r/special", "a1");
    assert_eq!((response.status, &response.body[..]), (200, &b"second"[..]));
    let receivers = setup.receivers("a1");
    assert_eq!(receivers.len(), 2);
    assert_ne!(receivers[0], receivers[1]);
    setup.wait_for_closed(1);
}

/// Guards against a long response that is cut off when the other send is dropped.
#[test]
fn long_response_of_the_second_is_streamed() {
    let setup = Setup::new(|first, request, connection| {
        if first {
            connection.wait_for_close();
            return false;
        }
        connection.write(ok_response(request, &"x".repeat(LONG_BODY_BYTES)));
        true
    });
    let setup = setup.learn("GET", "/d/");
    let response = setup.call("GET", "/d/special", "a1");
    assert_eq!(
        (response.status, response.body.len()),
        (200, LONG_BODY_BYTES)
    );
    assert_eq!(setup.receivers("a1").len(), 2);
    setup.wait_for_closed(1);
}

/// Guards against a failure of the second send that ends the first one.
#[test]
fn first_goes_on_if_the_second_fails() {
    let setup = Setup::new(second_fails).learn("GET", "/r/");
    let response = setup.call("GET", "/r/special", "a1");
    assert_eq!((response.status, &response.body[..]), (200, &b"first"[..]));
    assert_eq!(setup.receivers("a1").len(), 2);
}

/// Guards against a failure of the first send that ends the second one, and against a third send meanwhile.
#[test]
fn second_goes_on_if_the_first_fails() {
    let setup = Setup::with_attempts(3, |first, request, connection| {
        thread::sleep(if first {
            SLOW_TIME / 3
        } else {
            SLOW_TIME * 2 / 3
        });
        if first {
            connection.close();
            return false;
        }
        connection.write(ok_response(request, "second"));
        true
    });
    let setup = setup.learn("GET", "/r/");
    let response = setup.call("GET", "/r/special", "a1");
    assert_eq!((response.status, &response.body[..]), (200, &b"second"[..]));
    assert_eq!(setup.receivers("a1").len(), 2);
}

/// Guards against further sends after both have failed, beyond the attempts that the route allows.
#[test]
fn both_failed() {
    let setup = Setup::new(|_, _, connection| {
        thread::sleep(SLOW_TIME / 3);
        connection.close();
        false
    });
    let setup = setup.learn("GET", "/r/");
    let response = setup.call("GET", "/r/special", "a1");
    assert_eq!(response.status, 502, "{}", response.head);
    assert_eq!(setup.receivers("a1").len(), 2);
}

/// Guards against a request that runs twice although it isn't idempotent.
#[test]
fn not_idempotent_is_never_hedged() {
    let setup = Setup::new(second_fails).learn("POST", "/f/");
    let response = setup.call("POST", "/f/special", "a1");
    assert_eq!((response.status, &response.body[..]), (200, &b"first"[..]));
    assert_eq!(setup.receivers("a1").len(), 1);
}

/// Guards against a second send where the route allows one attempt.
#[test]
fn attempts_of_the_route_are_kept() {
    let setup = Setup::with_attempts(1, second_fails).learn("GET", "/r/");
    let response = setup.call("GET", "/r/special", "a1");
    assert_eq!((response.status, &response.body[..]), (200, &b"first"[..]));
    assert_eq!(setup.receivers("a1").len(), 1);
}

/// Guards against second sends beyond the retry budget of all entries.
#[test]
fn retry_budget_is_kept() {
    let setup = Setup::new(second_fails).learn("GET", "/r/");
    setup.entry.change_settings(|mut settings| {
        settings.bounds.retry_slack = 0.0;
        Ok(settings)
    });
    // The requests of the last window allow some retries by themselves.
    thread::sleep(Duration::from_secs(1));
    let response = setup.call("GET", "/r/special", "a1");
    assert_eq!((response.status, &response.body[..]), (200, &b"first"[..]));
    assert_eq!(setup.receivers("a1").len(), 1);
}

/// Guards against second sends before the usual response time of a route is known.
#[test]
fn not_hedged_without_known_response_times() {
    let setup = Setup::new(second_fails);
    let response = setup.call("GET", "/r/special", "a1");
    assert_eq!((response.status, &response.body[..]), (200, &b"first"[..]));
    assert_eq!(setup.receivers("a1").len(), 1);
}

/// Guards against upstreams that go on with a request after its caller has disconnected.
#[test]
fn disconnected_caller_cancels_both() {
    let setup = Setup::new(|_, _, connection| {
        connection.wait_for_close();
        false
    });
    let setup = setup.learn("GET", "/r/");
    let caller = setup.send("GET", "/r/special", "a1");
    eventually("both sends", || {
        (setup.receivers("a1").len() == 2).then_some(())
    });
    drop(caller);
    setup.wait_for_closed(2);
}
