//! Requests that all entries combined send to a cold upstream, as received by the upstream.

mod support;

use route::Routes;
use std::{
    net::TcpListener,
    thread,
    time::Duration, //
};
use support::{
    max_within,
    ok_response,
    routes,
    start_entries,
    upstream_row,
    Entry,
    Load,
    MemoryStore,
    ReceivedRequest,
    Script,
    Upstream,
    ENTRY_NAMES, //
};

/// Maximum number of requests that a cold upstream may receive within a second: 1.5 times its configured rate of 2,
/// plus 5.
const MAX_PER_SECOND: usize = 8;
/// Time for which the row of an upstream declares it cold.
const COLD_TIME: Duration = Duration::from_secs(20);

fn cold_routes() -> Routes {
    let mut routes = routes(1);
    routes.services[0].cold_per_s = 2.0;
    routes
}

fn respond() -> Script {
    Box::new(|_, request, connection| {
        thread::sleep(Duration::from_millis(20));
        connection.write(ok_response(request, "ok"));
        true
    })
}

/// Returns the maximum number of requests received within any second.
fn max_per_second(requests: &[ReceivedRequest]) -> usize {
    max_within(Duration::from_secs(1), requests)
}

/// Guards against a cold upstream that receives 18 requests in a second where 13 are allowed. This happened when groups
/// of entries had not read of each other, as around an outage of the store or when many start, and a new upstream was
/// listed: each group determined from the entries that it knew which of them may send, without any agreement.
#[test]
fn cold_rate_holds_where_entries_know_few_others() {
    let store = MemoryStore::default();
    store.put_routes(&cold_routes());
    let entries = start_entries(&store, |index| ENTRY_NAMES[index / 3 * 3..][..3].to_vec());
    let upstream = Upstream::start(respond());
    let mut row = upstream_row("u-1", upstream.addr);
    row.cold_left = COLD_TIME;
    store.put_upstream(&row);
    let load = Load::start(&entries, Duration::from_millis(20));
    thread::sleep(Duration::from_secs(5));
    drop(load);
    let max = max_per_second(&upstream.requests());
    assert!(max <= MAX_PER_SECOND, "{max} requests in a second");
    assert!(
        max >= MAX_PER_SECOND / 4,
        "{max} requests in a second, so the upstream is hardly used"
    );
}

/// Guards against a cold upstream that receives twice the number of requests that its entries count in a second. This
/// happened when requests were counted on selection of the upstream rather than when sent: opening a connection may
/// take a second, as with a full accept queue or a lost packet; meanwhile the entry's window passes, and it selects
/// the upstream as often again.
#[test]
fn requests_waiting_for_a_connection_count_against_the_cold_rate() {
    let store = MemoryStore::default();
    store.put_routes(&cold_routes());
    // Connections beyond this short accept queue, from which nothing is accepted yet, are retried after a second.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket is available");
    let any_port: std::net::SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any_port.into()).expect("a port is free");
    socket.listen(0).expect("the socket listens");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("the listener is bound");
    let queued_connection =
        std::net::TcpStream::connect(addr).expect("the accept queue has room for one connection");
    let handle = store.handle();
    let entry = Entry::start("entry-1", &handle);
    thread::sleep(Duration::from_millis(1500));
    let mut row = upstream_row("u-1", addr);
    row.cold_left = COLD_TIME;
    store.put_upstream(&row);
    // Each caller waits for its own response, so many of them wait for a connection at the same time.
    let load = Load::start([&entry; 24], Duration::from_millis(30));
    thread::sleep(Duration::from_millis(950));
    drop(queued_connection);
    // The queue now has room for all connections; each is established at its next retry.
    socket2::SockRef::from(&listener)
        .listen(128)
        .expect("the socket listens");
    let upstream = Upstream::serve(listener, true, respond());
    thread::sleep(Duration::from_millis(2550));
    drop(load);
    let max = max_per_second(&upstream.requests());
    assert!(max <= MAX_PER_SECOND, "{max} requests in a second");
    assert!(max > 0, "the upstream must be used");
}

/// Guards against a restarted, cold upstream that receives as many requests as its warm predecessor. This happened when
/// an upstream ended, entries found its port closed, and it started again under the same name: as soon as it responded,
/// it was taken for the former incarnation, as its row showed the restart only a second later.
#[test]
fn restarted_upstream_is_cold_until_its_row_says_otherwise() {
    let store = MemoryStore::default();
    store.put_routes(&cold_routes());
    let entries = start_entries(&store, |_| Vec::new());
    // Reserves a port that stays closed until the upstream starts.
    let reserved = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = reserved.local_addr().expect("the listener is bound");
    drop(reserved);
    let mut row = upstream_row("u-1", addr);
    row.started_ms = 1;
    store.put_upstream(&row);
    let load = Load::start(&entries, Duration::from_millis(20));
    thread::sleep(Duration::from_millis(2500));
    let listener = TcpListener::bind(addr).expect("the port is still free");
    let upstream = Upstream::serve(listener, true, respond());
    thread::sleep(Duration::from_millis(1000));
    row.started_ms = 2;
    row.cold_left = Duration::from_secs(2);
    store.put_upstream(&row);
    thread::sleep(Duration::from_millis(1500));
    let max = max_per_second(&upstream.requests());
    assert!(max <= MAX_PER_SECOND, "{max} requests in a second");
    thread::sleep(Duration::from_millis(3000));
    drop(load);
    let max = max_per_second(&upstream.requests());
    assert!(
        max > MAX_PER_SECOND,
        "only {max} requests in a second after the upstream became warm"
    );
}

/// Guards against a second entry that sends to a cold upstream because the store was restored from a copy that lacks
/// the lease of the first, which uses it until it expires.
#[test]
fn cold_rate_holds_as_the_store_is_restored() {
    let store = MemoryStore::default();
    store.put_routes(&cold_routes());
    let handles = [store.handle(), store.handle()];
    let start = |index: usize| {
        handles[index].show_only(&[ENTRY_NAMES[index]]);
        Entry::start(ENTRY_NAMES[index], &handles[index])
    };
    let entries = [start(0), start(1)];
    // A process that has just started sends nothing to cold upstreams.
    thread::sleep(Duration::from_millis(1500));
    let upstream = Upstream::start(respond());
    let mut row = upstream_row("u-1", upstream.addr);
    row.cold_left = COLD_TIME;
    let backup = store.back_up();
    // The second entry learns of the upstream after the restore, and never sees the row of the first one's lease.
    handles[1].set_down(true);
    store.put_upstream(&row);
    let load = Load::start(&entries, Duration::from_millis(20));
    thread::sleep(Duration::from_millis(2500));
    store.restore(&backup);
    store.put_upstream(&row);
    handles[1].set_down(false);
    thread::sleep(Duration::from_secs(9));
    drop(load);
    let requests = upstream.requests();
    let max = max_per_second(&requests);
    assert!(max <= MAX_PER_SECOND, "{max} requests in a second");
    let last = requests.last().expect("the upstream was used").at;
    let used_again = requests
        .iter()
        .filter(|request| last.duration_since(request.at) < Duration::from_secs(2));
    assert!(used_again.count() > 2, "the upstream is hardly used again");
}
