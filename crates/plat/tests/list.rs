//! Entries of the platform's list that another writer has put there.

use plat::{
    HttpPlatform,
    List,
    Listing, //
};
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::TcpListener,
    thread,
    time::Duration, //
};

/// Deadline of the call, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

const INSTANCE: &str = r#"{"id":"i-1","region":"r","failure_domain":"f","callers_addr":"127.0.0.1:1",
    "peers_addr":"127.0.0.1:2","operator_addr":"127.0.0.1:3","state":"live"}"#;
const UPSTREAM: &str = r#"{"id":"u-1","service":"s","region":"r","failure_domain":"f",
    "addr":"127.0.0.1:1","slots":3,"state":"live"}"#;

/// Reads a list with an odd entry between two others of each kind.
fn read(odd_instance: &str, odd_upstream: &str) -> List {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let instances = [INSTANCE, odd_instance, &INSTANCE.replace("i-1", "i-2")].join(",");
    let upstreams = [UPSTREAM, odd_upstream, &UPSTREAM.replace("u-1", "u-2")].join(",");
    let body = format!(r#"{{"as_of_ms":7,"instances":[{instances}],"upstreams":[{upstreams}]}}"#);
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let read = stream.read(&mut [0; 4096]);
        assert!(read.expect("the client sends a request") > 0);
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        let written = stream.write_all(response.as_bytes());
        written.expect("the client reads the response");
    });
    let list = actix_web::rt::System::new().block_on(async {
        let platform = HttpPlatform::new(format!("http://{addr}"), TIMEOUT, TIMEOUT);
        platform.list().await
    });
    server.join().expect("the server doesn't panic");
    list.expect("the list is read")
}

/// Guards against one entry that keeps the others of the list from being followed.
macro_rules! unusable_entry_is_left_out {
    ($($name:ident: $instance:expr, $upstream:expr;)*) => {$(
        #[test]
        fn $name() {
            let list = read(&$instance, &$upstream);
            let instances: Vec<&str> = list.instances.iter().map(|one| &*one.id).collect();
            let upstreams: Vec<&str> = list.upstreams.iter().map(|one| &*one.id).collect();
            assert_eq!((instances, upstreams), (vec!["i-1", "i-2"], vec!["u-1", "u-2"]));
            let places: Vec<&str> = list.unusable.iter().map(|one| &*one.place).collect();
            assert_eq!(places, ["instances[1]", "upstreams[1]"]);
        }
    )*};
}

/// Arrays within each other, deeper than a parser that recurses can follow.
fn deeply_nested() -> String {
    "[".repeat(100_000) + &"]".repeat(100_000)
}

unusable_entry_is_left_out! {
    deeply_nested_entry: deeply_nested(), deeply_nested();
    deeply_nested_field:
        INSTANCE.replace(r#""live""#, &deeply_nested()), UPSTREAM.replace("3", &deeply_nested());
    number_too_large: INSTANCE.replace(r#""live""#, "1e999"), UPSTREAM.replace("3", "4294967296");
    number_beyond_all_types: INSTANCE.replace(r#""live""#, "1e99999"), UPSTREAM.replace("3", "1e99999");
    negative_number: "-1", UPSTREAM.replace("3", "-3");
    fraction: "0.5", UPSTREAM.replace("3", "3.5");
    port_out_of_range: INSTANCE.replace(":2\"", ":65536\""), UPSTREAM.replace(":1\"", ":99999\"");
    port_zero: INSTANCE.replace(":3\"", ":0\""), UPSTREAM.replace(":1\"", ":0\"");
    no_port: INSTANCE.replace(":1\"", "\""), UPSTREAM.replace(":1\"", "\"");
    no_host: INSTANCE.replace("127.0.0.1:1", ":1"), UPSTREAM.replace("127.0.0.1:1", ":1");
    unknown_state: INSTANCE.replace("live", "of-tomorrow"), UPSTREAM.replace("live", "of-tomorrow");
    missing_field: INSTANCE.replace("region", "area"), UPSTREAM.replace("service", "work");
    no_object: "null", "[]";
}
