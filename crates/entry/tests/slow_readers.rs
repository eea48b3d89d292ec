//! Callers that stop reading a response for some seconds.

mod support;

use std::{
    io::Read as _,
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
    Upstream, //
};

/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_millis(5_500);
/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a response that is lost because its caller pauses, although its deadline is far.
macro_rules! paused_reader_gets_its_response {
    ($($name:ident: $body_bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            let store = MemoryStore::default();
            let mut routes = routes(1);
            for route in &mut routes.hosts[0].routes {
                route.timeout = TIMEOUT;
            }
            store.put_routes(&routes);
            let upstream = Upstream::start(Box::new(|_, request, connection| {
                connection.write(ok_response(request, &"x".repeat($body_bytes)));
                true
            }));
            store.put_upstream(&upstream_row("u-1", upstream.addr));
            let entry = Entry::start("entry-1", &store);
            let mut caller = Caller::connect(&entry);
            let head = request_head("GET", "/d/x", "a1", "connection: close\r\n");
            caller.send(head.replace("deadline-ms: 3000", "deadline-ms: 10000"));
            thread::sleep(PAUSE);
            let mut bytes = Vec::new();
            let ended = caller.stream.read_to_end(&mut bytes);
            ended.expect("the connection ends in an orderly way");
            let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
            let head_end = head_end.expect("the response has a head");
            assert!(bytes.starts_with(b"HTTP/1.1 200 "));
            assert_eq!(bytes.len() - head_end - 4, $body_bytes);
        }
    )*};
}

paused_reader_gets_its_response! {
    paused_reader_gets_a_buffered_response: 250_000;
    paused_reader_gets_a_streamed_response: 500_000;
    paused_reader_gets_a_response_longer_than_all_buffers: 24 << 20;
}
