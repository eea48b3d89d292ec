//! Large request and response bodies of slow callers, and what upstreams see of them.

mod support;

use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc, //
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
    Entry,
    MemoryStore,
    Script,
    Upstream, //
};

/// Memory of the process of which bodies may take 16 MB.
const MEMORY_BYTES: u64 = 64_000_000;
/// Length of an upload that is longer than what is kept without a limit on the memory.
const UPLOAD_BYTES: usize = 360_000;
/// Time in which what an upstream is going to receive has arrived.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Starts an entry with this memory and upstreams with these scripts, which are called once a head has been read if
/// `read_bodies` is not set.
fn start(
    memory_bytes: u64,
    read_bodies: bool,
    scripts: impl IntoIterator<Item = Script>,
) -> (Entry, Vec<Upstream>) {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let upstreams: Vec<Upstream> = scripts
        .into_iter()
        .map(|script| Upstream::start_with(read_bodies, script))
        .collect();
    for (upstream, name) in upstreams.iter().zip(["u-1", "u-2"]) {
        store.put_upstream(&upstream_row(name, upstream.addr));
    }
    let entry = Entry::start_with_memory("entry-1", memory_bytes, &store);
    (entry, upstreams)
}

fn ok() -> Script {
    Box::new(|_, request, connection| {
        connection.write(ok_response(request, "ok"));
        true
    })
}

/// Sends the head of an upload.
fn begin_upload(entry: &Entry, id: &str, length: usize) -> Caller {
    let mut caller = Caller::connect(entry);
    let length = format!("content-length: {length}\r\n");
    caller.send(request_head("POST", "/u/x", id, &length));
    caller
}

/// Guards against an upstream's slot that is held at the speed of a slow caller: the upstream must not hear of an upload
/// before all of it has arrived here.
#[test]
fn slow_upload_holds_no_slot() {
    let (entry, upstreams) = start(MEMORY_BYTES, false, [ok()]);
    let mut caller = begin_upload(&entry, "a1", UPLOAD_BYTES);
    let body = vec![b'x'; UPLOAD_BYTES];
    let (last, pieces) = body.split_last().expect("a body");
    for piece in pieces.chunks(60_000) {
        caller.send(piece);
        thread::sleep(Duration::from_millis(100));
        assert!(upstreams[0].requests().is_empty());
    }
    caller.send([*last]);
    let response = caller.read_response().expect("the entry responds");
    assert_eq!(response.status, 200, "{}", response.head);
    assert_eq!(upstreams[0].requests().len(), 1);
}

/// Guards against an upload lost because the first upstream had no room for it: while there is memory, it is kept and
/// sent to the next one.
#[test]
fn long_upload_is_sent_again_if_it_did_not_run() {
    let full = || -> Script {
        Box::new(|_, _, connection| {
            connection
                .write("HTTP/1.1 503 Busy\r\nupstream-refused: 1\r\ncontent-length: 0\r\n\r\n");
            true
        })
    };
    let (entry, upstreams) = start(MEMORY_BYTES, true, [full(), full()]);
    // An entry sends nothing twice before it has its share of the retry budget.
    thread::sleep(Duration::from_millis(800));
    let mut caller = begin_upload(&entry, "a1", UPLOAD_BYTES);
    caller.send(vec![b'x'; UPLOAD_BYTES]);
    let response = caller.read_response().expect("the entry responds");
    assert_eq!(response.status, 503, "{}", response.head);
    let lengths: Vec<usize> = upstreams
        .iter()
        .flat_map(Upstream::requests)
        .map(|request| request.body.len())
        .collect();
    assert_eq!(lengths, [UPLOAD_BYTES; 2]);
}

/// Guards against a refused upload that has run or runs later, and against one that its caller can't repeat: while there
/// is no memory for it, it gets 503 with a time to come back at once, and no upstream hears of it.
#[test]
fn upload_without_memory_is_refused_at_once() {
    // 40 kB for bodies.
    let (entry, upstreams) = start(160_000, true, [ok()]);
    let mut caller = begin_upload(&entry, "a1", UPLOAD_BYTES);
    let response = caller.read_response().expect("the entry responds");
    assert_eq!(response.status, 503, "{}", response.head);
    let after = response.header("retry-after").expect("a time to come back");
    assert!(after.parse::<f64>().is_ok_and(|seconds| seconds > 0.0));
    assert!(caller.is_closed());
    let mut caller = begin_upload(&entry, "a2", 5000);
    caller.send(vec![b'x'; 5000]);
    let response = caller.read_response().expect("the entry responds");
    assert_eq!(response.status, 200, "{}", response.head);
    assert_eq!(upstreams[0].requests().len(), 1);
}

/// Guards against an upstream that works on an upload whose caller has left, before and after the upstream was chosen.
#[test]
fn caller_that_leaves_mid_upload() {
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    let script: Script = Box::new(move |_, _, connection| {
        connection.wait_for_close();
        count.fetch_add(1, Ordering::SeqCst);
        false
    });
    let (entry, upstreams) = start(MEMORY_BYTES, false, [script]);
    let mut caller = begin_upload(&entry, "a1", UPLOAD_BYTES);
    caller.send(vec![b'x'; UPLOAD_BYTES / 2]);
    drop(caller);
    thread::sleep(SETTLE_TIME);
    assert!(upstreams[0].requests().is_empty());
    // Longer than what is kept, so that the upstream gets its head before its end.
    let mut caller = begin_upload(&entry, "a2", 1_000_000);
    caller.send(vec![b'x'; 600_000]);
    eventually("the head of the upload", || {
        (!upstreams[0].requests().is_empty()).then_some(())
    });
    drop(caller);
    eventually("the end of the connection to the upstream", || {
        (ended.load(Ordering::SeqCst) == 1).then_some(())
    });
}

/// Guards against an upstream that waits for a slow reader, which it cuts off after some seconds: while there is memory,
/// the whole response is read from it. The reader is one that has to wait for the response to an earlier request, so that
/// nothing of the next one is on its way.
#[test]
fn slow_reader_holds_no_slot() {
    const RESPONSE_BYTES: usize = 1_000_000;
    let released = Arc::new(AtomicBool::new(false));
    let is_released = released.clone();
    let script: Script = Box::new(move |_, request, connection| {
        while request.id() == "first" && !is_released.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        connection.write(ok_response(request, &"z".repeat(RESPONSE_BYTES)));
        true
    });
    let (entry, upstreams) = start(MEMORY_BYTES, true, [script]);
    let connection_of = |id: &str| {
        let requests = upstreams[0].requests();
        let request = requests.iter().find(|request| request.id() == id);
        request.map(|request| request.connection)
    };
    let mut slow = Caller::connect(&entry);
    let second = request_head("GET", "/r/x", "second", "");
    slow.send(request_head("GET", "/r/x", "first", "") + &second);
    let busy = eventually("the second request", || connection_of("second"));
    let mut sent = 0;
    eventually("a request on the connection of the second", || {
        sent += 1;
        let id = format!("next{sent}");
        let mut next = Caller::connect(&entry);
        next.send(request_head("GET", "/r/x", &id, ""));
        next.read_response().expect("the entry responds");
        (connection_of(&id) == Some(busy)).then_some(())
    });
    released.store(true, Ordering::SeqCst);
    for _ in 0..2 {
        let response = slow.read_response().expect("the entry responds");
        assert_eq!(response.body.len(), RESPONSE_BYTES);
    }
}

/// Guards against a response that is lost or cut because the memory for bodies is used up: it is passed on part by part.
#[test]
fn ready_response_is_delivered_without_memory() {
    let script: Script = Box::new(|_, request, connection| {
        connection.write(ok_response(request, &"z".repeat(2_000_000)));
        true
    });
    // 10 kB for bodies.
    let (entry, _upstreams) = start(40_000, true, [script]);
    let mut callers: Vec<Caller> = (0..4)
        .map(|number| {
            let mut caller = Caller::connect(&entry);
            caller.send(request_head("GET", "/d/x", &format!("a{number}"), ""));
            caller
        })
        .collect();
    thread::sleep(SETTLE_TIME);
    for caller in &mut callers {
        let response = caller.read_response().expect("the entry responds");
        assert_eq!((response.status, response.body.len()), (200, 2_000_000));
    }
}
