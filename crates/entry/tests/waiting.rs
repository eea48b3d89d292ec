//! Requests that wait at an entry while their service has no free slot.

mod support;

use picture::ListedUpstream;
use route::Routes;
use std::{
    net::Shutdown,
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

/// Time that the upstream takes for a request.
const WORK: Duration = Duration::from_millis(300);
/// Grace period of the entry that is stopped.
const GRACE: Duration = Duration::from_millis(2500);
/// Requests that wait or are rejected when the entry is stopped.
const CALLERS: usize = 90;

/// Routes to one service: reads have a lower priority than filings. Targets are long, so that requests may wait.
fn ranked_routes() -> Routes {
    let mut routes = routes(1);
    for route in &mut routes.hosts[0].routes {
        route.timeout = Duration::from_secs(20);
        route.latency_target = Duration::from_secs(12);
    }
    routes.hosts[0].routes[0].priority = 2;
    routes
}

/// An upstream with one slot, which it doesn't enforce, and an entry for it.
fn start(routes: &Routes, grace: Duration) -> (Entry, Upstream) {
    let store = MemoryStore::default();
    store.put_routes(routes);
    let upstream = Upstream::start(Box::new(|_, request, connection| {
        if !request.head.starts_with("GET /health") {
            thread::sleep(WORK);
        }
        connection.write(ok_response(request, "ok"));
        true
    }));
    store.put_upstream(&ListedUpstream {
        slots: 1,
        ..upstream_row("u-1", upstream.addr)
    });
    let entry = Entry::start_unready("entry-1", "region-a", &store, grace);
    entry.wait_ready(true);
    (entry, upstream)
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

/// Waits until the upstream has received this request.
fn wait_received(upstream: &Upstream, id: &str) {
    eventually("a request at the upstream", || {
        received(upstream).iter().any(|one| one == id).then_some(())
    });
}

/// Guards against a request that takes the slot that a waiting one of a higher rank could use, and against one that is
/// rejected although a slot becomes free in time.
#[test]
fn lower_rank_waits_for_a_slot() {
    let (entry, upstream) = start(&ranked_routes(), GRACE);
    let mut first = send(&entry, "GET", "/r/x", "a1");
    wait_received(&upstream, "a1");
    let mut lower = send(&entry, "GET", "/r/x", "b1");
    thread::sleep(WORK / 6);
    let mut higher = send(&entry, "POST", "/f/x", "c1");
    for caller in [&mut first, &mut lower, &mut higher] {
        let response = caller.read_response().expect("the entry responds");
        assert_eq!(response.status, 200, "{}", response.head);
    }
    assert_eq!(received(&upstream), ["a1", "c1", "b1"]);
}

/// Guards against a caller that has left and whose request still keeps its place or is sent.
#[test]
fn caller_that_leaves_frees_its_place() {
    let (entry, upstream) = start(&ranked_routes(), GRACE);
    let mut first = send(&entry, "GET", "/r/x", "a1");
    wait_received(&upstream, "a1");
    let leaving: Vec<Caller> = (0..80)
        .map(|number| send(&entry, "GET", "/r/x", &format!("b{number}")))
        .collect();
    thread::sleep(WORK / 6);
    for caller in &leaving {
        caller
            .stream
            .shutdown(Shutdown::Both)
            .expect("the connection is open");
    }
    thread::sleep(WORK / 6);
    let mut last = send(&entry, "GET", "/r/x", "c1");
    for caller in [&mut first, &mut last] {
        let response = caller.read_response().expect("the entry responds");
        assert_eq!(response.status, 200, "{}", response.head);
    }
    assert_eq!(received(&upstream), ["a1", "c1"]);
}

/// Guards against requests that wait in an entry that exits: each gets a response, and a rejected one has not run.
#[test]
fn stop_answers_a_full_queue() {
    let (mut entry, upstream) = start(&ranked_routes(), GRACE);
    let mut first = send(&entry, "GET", "/r/x", "first");
    wait_received(&upstream, "first");
    let ids: Vec<String> = (0..CALLERS).map(|number| format!("a{number}")).collect();
    let mut callers: Vec<Caller> = ids
        .iter()
        .map(|id| send(&entry, "GET", "/r/x", id))
        .collect();
    let started = Instant::now();
    entry.stop();
    assert_eq!(first.read_response().map(|one| one.status), Some(200));
    let responses = callers.iter_mut().map(Caller::read_response);
    let responses: Vec<Response> = responses
        .map(|response| response.expect("each request gets a response"))
        .collect();
    assert!(started.elapsed() < GRACE, "{:?}", started.elapsed());
    let received = received(&upstream);
    let mut served = 0;
    for (id, response) in ids.iter().zip(&responses) {
        served += usize::from(response.status == 200);
        if response.status != 200 {
            assert_eq!(response.status, 503);
            assert!(response.header("retry-after").is_some(), "{id}");
            assert!(!received.contains(id), "{id} was rejected and has run");
        }
    }
    assert!(served >= 2, "{served} were served");
    assert!(served < CALLERS / 2, "{served} were served");
}

/// In a deployment without ranks, no request waits.
#[test]
fn equal_ranks_are_decided_at_once() {
    let mut routes = ranked_routes();
    routes.hosts[0].routes[0].priority = 1;
    for route in &mut routes.hosts[0].routes {
        route.latency_target = Duration::from_millis(100);
    }
    let (entry, upstream) = start(&routes, GRACE);
    let mut first = send(&entry, "GET", "/r/x", "a1");
    wait_received(&upstream, "a1");
    let started = Instant::now();
    let mut second = send(&entry, "GET", "/r/x", "b1");
    let response = second.read_response().expect("the entry responds");
    assert_eq!(response.status, 503, "{}", response.head);
    assert!(started.elapsed() < WORK / 2, "{:?}", started.elapsed());
    assert_eq!(first.read_response().map(|one| one.status), Some(200));
}
