//! Upstreams that start again under the name and at the address that they had, and know nothing of before.

mod support;

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
    Connection,
    Entry,
    MemoryStore,
    ReceivedRequest,
    Response,
    Upstream, //
};

/// Time within which a change of a row is known to the entry.
const KNOWN_TIME: Duration = Duration::from_millis(800);

/// An entry with one upstream, which starts again.
struct Setup {
    store: MemoryStore,
    upstream: Upstream,
    entry: Entry,
}

impl Setup {
    fn new(
        slots: u32,
        script: impl Fn(usize, &ReceivedRequest, &mut Connection) -> bool + Send + Sync + 'static,
    ) -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        let upstream = Upstream::start(Box::new(script));
        let mut row = upstream_row("u-1", upstream.addr);
        row.started_ms = 1000;
        row.slots = slots;
        store.put_upstream(&row);
        let entry = Entry::start("entry-1", &store);
        Self {
            store,
            upstream,
            entry,
        }
    }

    /// Writes the row of the next incarnation, and waits until it is known.
    fn restart(&self, slots: u32) {
        let mut row = upstream_row("u-1", self.upstream.addr);
        row.started_ms = 2000;
        row.slots = slots;
        self.store.put_upstream(&row);
        thread::sleep(KNOWN_TIME);
    }

    fn send(&self, id: &str) -> Caller {
        let mut caller = Caller::connect(&self.entry);
        let head = request_head("POST", "/f/x", id, "content-length: 1\r\n");
        caller.send(head + "x");
        caller
    }

    fn call(&self, id: &str) -> Response {
        let response = self.send(id).read_response();
        response.expect("the entry responds")
    }
}

/// Guards against requests sent on a connection to the process that has ended: it says nothing any more, and as far as
/// the entry can tell, such a request has run.
#[test]
fn idle_connection_to_the_ended_process_is_not_used() {
    let setup = Setup::new(8, |_, request, connection| {
        if request.id() != "a1" && request.connection == 0 {
            connection.wait_for_close();
            return false;
        }
        connection.write(ok_response(request, "ok"));
        true
    });
    assert_eq!(setup.call("a1").status, 200);
    setup.restart(8);
    assert_eq!(setup.call("a2").status, 200);
}

/// Guards against an upstream left idle because its former process asked for a pause.
#[test]
fn pause_ends_with_its_process() {
    let setup = Setup::new(8, |number, request, connection| {
        if number == 0 {
            connection.write(format!(
                "HTTP/1.1 503 Busy\r\njasmine-request: {}\r\nupstream-refused: 1\r\n\
                 retry-after: 60\r\ncontent-length: 0\r\n\r\n",
                request.id()
            ));
        } else {
            connection.write(ok_response(request, "ok"));
        }
        true
    });
    assert_eq!(setup.call("a1").status, 503);
    assert_eq!(setup.call("a2").status, 503);
    setup.restart(8);
    assert_eq!(setup.call("a3").status, 200);
}

/// Guards against an upstream that counts as full because of what its former process was running.
#[test]
fn requests_of_the_former_process_take_no_slots() {
    let setup = Setup::new(1, |_, request, connection| {
        if request.id().starts_with("hang") {
            connection.wait_for_close();
            return false;
        }
        connection.write(ok_response(request, "ok"));
        true
    });
    let hanging: Vec<Caller> = (0..6)
        .map(|number| setup.send(&format!("hang{number}")))
        .collect();
    eventually("a request at the upstream", || {
        (!setup.upstream.requests().is_empty()).then_some(())
    });
    setup.restart(1);
    let response = setup.call("a1");
    assert_eq!(response.status, 200, "{}", response.head);
    drop(hanging);
}

/// Guards against requests for a process that has ended: a write of its own that takes effect late must not replace the
/// row of the next one.
#[test]
fn late_row_of_the_former_process_replaces_nothing() {
    let setup = Setup::new(8, |_, request, connection| {
        connection.write(ok_response(request, "ok"));
        true
    });
    setup.restart(8);
    let former = Upstream::responding("former");
    let mut late = upstream_row("u-1", former.addr);
    late.started_ms = 1000;
    setup.store.put_upstream(&late);
    thread::sleep(KNOWN_TIME);
    for number in 0..5 {
        assert_eq!(setup.call(&format!("a{number}")).body, b"ok");
    }
    assert!(former.requests().is_empty());
}
