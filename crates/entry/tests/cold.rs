//! What all entries together send to a cold upstream, as the upstream counts it.

mod support;

use route::Routes;
use std::{
    net::TcpListener,
    thread,
    time::Duration, //
};
use support::{
    entries,
    good,
    listed,
    most_within,
    routes,
    Entry,
    Load,
    MemoryStore,
    Script,
    Sent,
    Upstream,
    NAMES, //
};

/// Requests in a second that a cold upstream of these tests bears: its stated rate of 2, one and a half times, and 5.
const BOUND: usize = 8;
/// How long an upstream of these tests says that it is cold.
const COLD: Duration = Duration::from_secs(20);

fn routes_of_cold() -> Routes {
    let mut routes = routes(1);
    routes.services[0].cold_per_s = 2.0;
    routes
}

fn answers() -> Script {
    Box::new(|_, sent, connection| {
        thread::sleep(Duration::from_millis(20));
        connection.write(good(sent, "ok"));
        true
    })
}

/// Most requests that came within any second.
fn most_in_a_second(seen: &[Sent]) -> usize {
    most_within(Duration::from_secs(1), seen)
}

/// Symptom: a cold upstream that bears 13 requests in a second got 18. Sequence: a part of the entries has not read of
/// the others, as around an outage of the store or when many start; a new upstream is listed; each part chooses
/// those of its own that serve it. Cause: who may send followed from what each entry had read of the others, and nothing
/// made them agree.
#[test]
fn entries_that_know_few_others_keep_the_bound_of_a_cold_upstream() {
    let store = MemoryStore::default();
    store.put_routes(&routes_of_cold());
    let entries = entries(&store, |place| NAMES[place / 3 * 3..][..3].to_vec());
    let upstream = Upstream::start(answers());
    let mut row = listed("u-1", upstream.addr);
    row.cold_left = COLD;
    store.put_upstream(&row);
    let load = Load::on(&entries, Duration::from_millis(20));
    thread::sleep(Duration::from_secs(5));
    drop(load);
    let most = most_in_a_second(&upstream.seen());
    assert!(most <= BOUND, "{most} requests in a second");
    assert!(most >= BOUND / 4, "{most} requests in a second: it is used");
}

/// Symptom: a cold upstream gets twice what its entries count in a second. Sequence: an entry chooses it, and has a
/// connection to open, which takes a second, as with a full queue or a lost packet; meanwhile that second of its
/// count passes, and it chooses as many again. Cause: requests were counted when they were chosen, not when they were
/// sent.
#[test]
fn requests_that_wait_for_a_connection_count_until_they_are_sent() {
    let store = MemoryStore::default();
    store.put_routes(&routes_of_cold());
    // A queue of so few connections, which nobody takes yet: what comes beyond them is tried again after a second.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any: std::net::SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("bound");
    let filler = std::net::TcpStream::connect(addr).expect("room for one");
    let handle = store.handle();
    let entry = Entry::start("entry-1", &handle);
    thread::sleep(Duration::from_millis(1500));
    let mut row = listed("u-1", addr);
    row.cold_left = COLD;
    store.put_upstream(&row);
    // Each caller waits for its own answer, so many of them wait for a connection at the same time.
    let load = Load::on([&entry; 24], Duration::from_millis(30));
    thread::sleep(Duration::from_millis(950));
    drop(filler);
    // Room for all: each comes about at its next try.
    socket2::SockRef::from(&listener)
        .listen(128)
        .expect("it listens");
    let upstream = Upstream::serve(listener, true, answers());
    thread::sleep(Duration::from_millis(2550));
    drop(load);
    let most = most_in_a_second(&upstream.seen());
    assert!(most <= BOUND, "{most} requests in a second");
    assert!(most > 0, "it is used");
}

/// Symptom: an upstream that has started again under its name, and is cold, gets all that the former one would have.
/// Sequence: it ends, and entries find its port closed; it starts again; its row says so a second later. Cause: an
/// upstream that was not there is taken for the one that it was, as soon as it answers.
#[test]
fn an_upstream_that_is_back_is_cold_until_its_row_says_otherwise() {
    let store = MemoryStore::default();
    store.put_routes(&routes_of_cold());
    let entries = entries(&store, |_| Vec::new());
    // A port that is closed for now.
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = closed.local_addr().expect("bound");
    drop(closed);
    let mut row = listed("u-1", addr);
    row.started_ms = 1;
    store.put_upstream(&row);
    let load = Load::on(&entries, Duration::from_millis(20));
    thread::sleep(Duration::from_millis(2500));
    let listener = TcpListener::bind(addr).expect("its port again");
    let upstream = Upstream::serve(listener, true, answers());
    thread::sleep(Duration::from_millis(1000));
    row.started_ms = 2;
    row.cold_left = Duration::from_secs(2);
    store.put_upstream(&row);
    thread::sleep(Duration::from_millis(1500));
    let most = most_in_a_second(&upstream.seen());
    assert!(most <= BOUND, "{most} requests in a second");
    thread::sleep(Duration::from_millis(3000));
    drop(load);
    let most = most_in_a_second(&upstream.seen());
    assert!(most > BOUND, "{most} requests in a second once it is warm");
}
