//! Requests that wait at an entry while their service has no free slot.

mod support;

use picture::ListedUpstream;
use route::Routes;
use std::{
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
    Response,
    Upstream, //
};

/// Time that the upstream takes for a first request, from which the entry learns its service time.
const WORK: Duration = Duration::from_secs(1);
/// Target of all requests. They may wait for a quarter of it.
const TARGET: Duration = Duration::from_secs(4);
/// Requests of the higher priority that the entry sends at once: a further one would miss its target.
const HELD: usize = 7;
/// Time that the upstream takes for each request of the callers that are stopped with the entry.
const SHORT_WORK: Duration = Duration::from_millis(250);
/// Grace period of the entry.
const GRACE: Duration = Duration::from_millis(1600);
/// Requests that wait or are rejected when the entry is stopped.
const CALLERS: usize = 45;

/// Routes to one service: reads have a lower priority than filings.
fn ranked_routes() -> Routes {
    let mut routes = routes(1);
    for route in &mut routes.hosts[0].routes {
        route.timeout = Duration::from_secs(20);
        route.latency_target = TARGET;
    }
    routes.hosts[0].routes[0].priority = 2;
    routes
}

/// An entry and an upstream with one slot, which holds requests until they are released.
struct Setup {
    entry: Entry,
    upstream: Upstream,
    /// Number of held requests that are released.
    released: Arc<AtomicUsize>,
    /// Callers of the held requests, of which the first is released last.
    held: Vec<Caller>,
}

impl Setup {
    /// Starts an entry that knows the upstream's service time.
    fn start(routes: &Routes) -> Self {
        let store = MemoryStore::default();
        store.put_routes(routes);
        let released = Arc::new(AtomicUsize::new(0));
        let seen = released.clone();
        let upstream = Upstream::start(Box::new(move |_, request, connection| {
            let id = request.id();
            match id.as_bytes().first() {
                Some(b'e') => thread::sleep(WORK),
                Some(b'a') => thread::sleep(SHORT_WORK),
                Some(b'f') => {
                    let number: usize = id[1..].parse().expect("held requests are numbered");
                    while seen.load(Ordering::Relaxed) < HELD - number {
                        thread::sleep(Duration::from_millis(2));
                    }
                }
                _ => {}
            }
            connection.write(ok_response(request, "ok"));
            true
        }));
        store.put_upstream(&ListedUpstream {
            slots: 1,
            ..upstream_row("u-1", upstream.addr)
        });
        let entry = Entry::start_unready("entry-1", "region-a", &store, GRACE);
        entry.wait_ready(true);
        for path in ["/f/x", "/r/x"] {
            let response = send(&entry, "POST", path, "e").read_response();
            assert_eq!(response.map(|response| response.status), Some(200));
        }
        Self {
            entry,
            upstream,
            released,
            held: Vec::new(),
        }
    }

    /// Sends as many requests of the higher priority as the upstream may have.
    fn fill(&mut self) {
        for number in 0..HELD {
            let id = format!("f{number}");
            self.held.push(send(&self.entry, "POST", "/f/x", &id));
            self.wait_received(&id);
        }
    }

    /// Lets the upstream answer this many of the held requests, the last ones first.
    fn release(&self, count: usize) {
        self.released.store(count, Ordering::Relaxed);
    }

    /// Waits until the upstream has received this request.
    fn wait_received(&self, id: &str) {
        eventually("a request at the upstream", || {
            self.is_received(id).then_some(())
        });
    }

    fn is_received(&self, id: &str) -> bool {
        received(&self.upstream).iter().any(|one| one == id)
    }
}

fn send(entry: &Entry, method: &str, path: &str, id: &str) -> Caller {
    let mut caller = Caller::connect(entry);
    let rest = "jasmine-deadline-ms: 20000\r\ncontent-length: 0\r\n";
    let head = request_head(method, path, id, rest);
    caller.send(head.replacen("jasmine-deadline-ms: 3000\r\n", "", 1));
    caller
}

/// Returns the ids of the requests that the upstream received, in their order.
fn received(upstream: &Upstream) -> Vec<String> {
    let requests = upstream.requests().into_iter();
    let requests = requests.filter(|request| !request.head.starts_with("GET /health"));
    requests.map(|request| request.id().to_owned()).collect()
}

/// Guards against a request that takes the slot that a waiting one of a higher rank could use, and against one that is
/// rejected although a slot becomes free in time.
#[test]
fn lower_rank_waits_for_a_slot() {
    let mut setup = Setup::start(&ranked_routes());
    setup.fill();
    let mut lower = send(&setup.entry, "GET", "/r/x", "b1");
    let mut higher = send(&setup.entry, "POST", "/f/x", "c1");
    thread::sleep(TARGET / 16);
    assert!(!setup.is_received("b1") && !setup.is_received("c1"));
    setup.release(2);
    setup.wait_received("c1");
    setup.release(5);
    for caller in [&mut higher, &mut lower] {
        let response = caller.read_response().expect("the entry responds");
        assert_eq!(response.status, 200, "{}", response.head);
    }
    let ids = received(&setup.upstream);
    let at = |id| ids.iter().position(|one| one == id);
    assert!(at("c1") < at("b1"), "{ids:?}");
    setup.release(HELD);
}

/// Guards against a caller that has left and whose request still keeps its place or is sent.
#[test]
fn caller_that_leaves_frees_its_place() {
    let mut setup = Setup::start(&ranked_routes());
    setup.fill();
    let leaving: Vec<Caller> = (0..CALLERS)
        .map(|number| send(&setup.entry, "GET", "/r/x", &format!("b{number}")))
        .collect();
    thread::sleep(TARGET / 40);
    for caller in &leaving {
        // The entry has closed the connection if the queue was full.
        let _ = caller.stream.shutdown(Shutdown::Both);
    }
    thread::sleep(TARGET / 40);
    let mut last = send(&setup.entry, "GET", "/r/x", "c1");
    thread::sleep(TARGET / 40);
    assert!(!setup.is_received("c1"));
    setup.release(5);
    let response = last.read_response().expect("the entry responds");
    assert_eq!(response.status, 200, "{}", response.head);
    setup.release(HELD);
    let ids = received(&setup.upstream);
    assert!(!ids.iter().any(|id| id.starts_with('b')), "{ids:?}");
}

/// Guards against requests that wait in an entry that exits: each gets a response, and a rejected one has not run.
#[test]
fn stop_answers_a_full_queue() {
    let mut setup = Setup::start(&ranked_routes());
    setup.fill();
    let ids: Vec<String> = (0..CALLERS).map(|number| format!("a{number}")).collect();
    let mut callers: Vec<Caller> = ids
        .iter()
        .map(|id| send(&setup.entry, "GET", "/r/x", id))
        .collect();
    let started = Instant::now();
    setup.entry.stop();
    thread::sleep(GRACE / 16);
    setup.release(3);
    thread::sleep(GRACE / 2);
    setup.release(HELD);
    let responses = callers.iter_mut().map(Caller::read_response);
    let responses: Vec<Response> = responses
        .map(|response| response.expect("each request gets a response"))
        .collect();
    for held in &mut setup.held {
        assert_eq!(held.read_response().map(|one| one.status), Some(200));
    }
    assert!(started.elapsed() < GRACE, "{:?}", started.elapsed());
    let received = received(&setup.upstream);
    let mut served = 0;
    for (id, response) in ids.iter().zip(&responses) {
        served += usize::from(response.status == 200);
        if response.status != 200 {
            assert_eq!(response.status, 503);
            assert!(response.header("retry-after").is_some(), "{id}");
            assert!(!received.contains(id), "{id} was rejected and has run");
        }
    }
    assert!(served >= 1, "{served} were served");
    assert!(served < CALLERS / 2, "{served} were served");
}

/// In a deployment without ranks, no request waits.
#[test]
fn equal_ranks_are_decided_at_once() {
    let mut routes = ranked_routes();
    routes.hosts[0].routes[0].priority = 1;
    let mut setup = Setup::start(&routes);
    setup.fill();
    let started = Instant::now();
    let mut last = send(&setup.entry, "GET", "/r/x", "b1");
    let response = last.read_response().expect("the entry responds");
    assert_eq!(response.status, 503, "{}", response.head);
    assert!(started.elapsed() < TARGET / 16, "{:?}", started.elapsed());
    setup.release(HELD);
}
