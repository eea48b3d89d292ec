//! Requests that a caller sends behind one whose response is long and breaks off.

mod support;

use route::Route;
use std::{
    thread,
    time::Duration, //
};
use support::{
    ok_response,
    request_head,
    routes,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    ReceivedRequest,
    Upstream, //
};

/// Length of a response that an entry streams, and how much of it arrives.
const LONG_BODY_BYTES: usize = 600_000;
const SENT_BODY_BYTES: usize = 400_000;
/// Requests behind the long one.
const BEHIND: usize = 11;
/// Time of an upstream for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time from the last part of a response to its end.
const STALL: Duration = Duration::from_millis(400);

/// What an upstream does at the end of a long response.
type EndOfLong = fn(&mut support::Connection, &str);

struct Setup {
    entry: Entry,
    upstreams: Vec<Upstream>,
}

impl Setup {
    fn start(end_of_long: EndOfLong) -> Self {
        let store = MemoryStore::default();
        let mut routes = routes(1);
        let all = &mut routes.hosts[0].routes;
        all.push(Route {
            id: "others".into(),
            prefix: "/o/".into(),
            ..all[0].clone()
        });
        store.put_routes(&routes);
        let upstreams = ["u-1", "u-2", "u-3"].map(|name| {
            let upstream = Upstream::start(Box::new(move |_, request, connection| {
                thread::sleep(SERVICE_TIME);
                if !request.head.contains("/long ") {
                    connection.write(ok_response(request, "ok"));
                    return true;
                }
                let response = ok_response(request, &"x".repeat(LONG_BODY_BYTES));
                let (begin, rest) = response.split_at(SENT_BODY_BYTES);
                connection.write(begin);
                thread::sleep(STALL);
                end_of_long(connection, rest);
                false
            }));
            store.put_upstream(&upstream_row(name, upstream.addr));
            upstream
        });
        Self {
            entry: Entry::start("entry-1", &store),
            upstreams: upstreams.into(),
        }
    }

    fn received(&self) -> Vec<ReceivedRequest> {
        let requests = self.upstreams.iter().flat_map(Upstream::requests);
        requests.collect()
    }
}

fn get(path: &str, id: usize) -> String {
    request_head("GET", path, &format!("{id:x}"), "")
}

/// Guards against requests that are passed on to upstreams and never answered, because a response before them breaks off
/// and its connection is reset.
#[test]
fn requests_behind_a_response_that_breaks_off_are_answered() {
    let setup = Setup::start(|_, _| {});
    let mut caller = Caller::connect(&setup.entry);
    let behind = (1..=BEHIND).map(|id| get("/r/x", id));
    caller.send(get("/r/long", 0) + &behind.collect::<String>());
    let long = caller.read_response().expect("the entry responds");
    assert_eq!(long.status, 502, "{}", long.head);
    for id in 1..=BEHIND {
        let response = caller.read_response();
        let response = response.unwrap_or_else(|| panic!("no response to {id:x}"));
        assert_eq!(response.status, 200);
        assert_eq!(
            response.header("jasmine-request"),
            Some(&*format!("{id:x}"))
        );
    }
}

/// Guards against a long response that is lost or cut because others wait behind it.
#[test]
fn long_response_before_others_is_complete() {
    let setup = Setup::start(|connection, rest| connection.write(rest));
    let mut caller = Caller::connect(&setup.entry);
    caller.send(get("/r/long", 0) + &get("/r/x", 1));
    let long = caller.read_response().expect("the entry responds");
    assert_eq!(long.body.len(), LONG_BODY_BYTES);
    let behind = caller.read_response().expect("the entry responds");
    assert_eq!(behind.body, b"ok");
}

/// Guards against requests that are passed on while a response before them is being written and may still break off.
#[test]
fn no_request_is_passed_on_behind_a_response_being_written() {
    let setup = Setup::start(|_, _| {});
    let mut caller = Caller::connect(&setup.entry);
    caller.send(get("/r/long", 0));
    thread::sleep(SERVICE_TIME + STALL / 2);
    // Of another route: those of this one are known to have long responses by now.
    let behind = (1..=BEHIND).map(|id| get("/o/x", id));
    assert!(caller.try_send(behind.collect::<String>()));
    assert_eq!(caller.read_response(), None);
    let received = setup.received();
    assert_eq!(received.len(), 1, "{received:?}");
}
