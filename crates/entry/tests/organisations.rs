//! Organisations: whose key a request has, and what upstreams receive.

mod support;

use org::{
    KeyDigest,
    Quota, //
};
use route::{
    Organisation,
    Routes, //
};
use std::time::Duration;
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

const KEY: &str = "k-of-acme-1";

fn organisation(id: &'static str, keys: &[&str]) -> Organisation {
    Organisation {
        id: id.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        quota: Quota::default(),
        homes: Vec::new(),
    }
}

/// Routes with the organisation `acme`; downloads are open.
fn routes_with_organisations(version: u64, organisations: Vec<Organisation>) -> Routes {
    let mut routes = routes(version);
    routes.hosts[0].routes[2].open = true;
    routes.organisations = Some(organisations);
    routes
}

fn acme() -> Organisation {
    organisation("acme", &[KEY, "k-of-acme-2"])
}

/// An entry with one upstream, and the store.
struct Setup {
    store: MemoryStore,
    entry: Entry,
    upstream: Upstream,
}

impl Setup {
    fn new(organisations: Vec<Organisation>) -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes_with_organisations(1, organisations));
        let upstream = Upstream::responding("ok");
        store.put_upstream(&upstream_row("u-1", upstream.addr));
        let entry = Entry::start("entry-1", &store);
        Self {
            store,
            entry,
            upstream,
        }
    }

    fn respond(&self, method: &str, path: &str, id: &str, headers: &str) -> Response {
        let mut caller = Caller::connect(&self.entry);
        let headers = format!("content-length: 0\r\n{headers}");
        caller.send(request_head(method, path, id, &headers));
        caller.read_response().expect("the entry responds")
    }

    /// Returns the request with an id, as the upstream received it.
    fn received(&self, id: &str) -> Option<support::ReceivedRequest> {
        let mut received = self.upstream.requests().into_iter();
        received.find(|request| request.id() == id)
    }
}

fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

/// Each case gives the headers of a request that must not run, and whose response must be 401.
macro_rules! unauthorized {
    ($($name:ident: $headers:expr;)*) => {$(
        #[test]
        fn $name() {
            let setup = Setup::new(vec![acme()]);
            for (method, path) in [("GET", "/r/x"), ("POST", "/f/x")] {
                let response = setup.respond(method, path, "a1", $headers);
                assert_eq!(response.status, 401, "{}", response.head);
                assert_eq!(response.header("www-authenticate"), Some("Bearer"));
            }
            assert_eq!(setup.received("a1"), None);
        }
    )*};
}

unauthorized! {
    request_without_a_key: "";
    request_with_an_unknown_key: &bearer("k-of-nobody");
    request_with_a_key_of_another_scheme: &format!("authorization: Basic {KEY}\r\n");
    request_with_two_keys: &(bearer(KEY) + &bearer(KEY));
    request_with_a_name_in_place_of_a_key: "jasmine-organisation: acme\r\n";
}

/// Guards against an upstream that gets a key, or a name that the caller has set.
#[test]
fn upstream_gets_the_name_and_no_key() {
    let setup = Setup::new(vec![acme(), organisation("other", &["k-of-other"])]);
    let spoofed = "Jasmine-Organisation: other\r\nJASMINE-ORGANISATION: other\r\n";
    for (id, key) in [("a1", KEY), ("a2", "k-of-acme-2")] {
        let response = setup.respond("GET", "/r/x", id, &(bearer(key) + spoofed));
        assert_eq!(response.status, 200);
        let received = setup.received(id).expect("the request ran");
        assert_eq!(received.header("jasmine-organisation"), Some("acme"));
        let names = received.head.to_ascii_lowercase();
        assert_eq!(names.matches("jasmine-organisation").count(), 1, "{names}");
        assert!(
            !names.contains("authorization") && !names.contains(key),
            "{names}"
        );
    }
}

/// Guards against an open route that requires a key, passes one on, or passes on a name that the caller has set.
#[test]
fn open_route_needs_no_key() {
    let setup = Setup::new(vec![acme()]);
    let spoofed = "jasmine-organisation: acme\r\n";
    for (id, headers, name) in [
        ("a1", String::new(), None),
        ("a2", bearer("k-of-nobody"), None),
        ("a3", bearer(KEY), Some("acme")),
        ("a4", bearer(KEY) + &bearer(KEY), None),
    ] {
        let response = setup.respond("GET", "/d/x", id, &(headers + spoofed));
        assert_eq!(response.status, 200, "{id}");
        let received = setup.received(id).expect("the request ran");
        assert_eq!(received.header("jasmine-organisation"), name, "{id}");
        assert!(!received.head.contains("k-of"), "{}", received.head);
    }
    let basic = "authorization: Basic dTpw\r\n";
    assert_eq!(setup.respond("GET", "/d/x", "a5", basic).status, 200);
    let received = setup.received("a5").expect("the request ran");
    assert_eq!(received.header("authorization"), Some("Basic dTpw"));
}

/// Without organisations, a caller's `Authorization` header is the upstreams'.
#[test]
fn header_is_forwarded_if_there_are_no_organisations() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let upstream = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let entry = Entry::start("entry-1", &store);
    let setup = Setup {
        store,
        entry,
        upstream,
    };
    assert_eq!(setup.respond("GET", "/r/x", "a1", &bearer("k")).status, 200);
    let received = setup.received("a1").expect("the request ran");
    assert_eq!(received.header("authorization"), Some("Bearer k"));
}

/// Guards against a check of the key once per connection: each of several pipelined requests has its own, and a key
/// that is taken away or added applies to connections that are open.
#[test]
fn key_is_checked_for_each_request_of_a_connection() {
    let setup = Setup::new(vec![acme()]);
    let mut caller = Caller::connect(&setup.entry);
    let keys = [KEY, "k-of-nobody", "k-of-acme-2"];
    for (number, key) in keys.iter().enumerate() {
        caller.send(request_head(
            "GET",
            "/r/x",
            &format!("a{number}"),
            &bearer(key),
        ));
    }
    let statuses = keys.map(|_| caller.read_response().expect("the entry responds").status);
    assert_eq!(statuses, [200, 401, 200]);
    let next = organisation("acme", &["k-of-acme-2", "k-of-acme-3"]);
    setup
        .store
        .put_routes(&routes_with_organisations(2, vec![next]));
    let mut status = |key: &str, id: &str| {
        caller.send(request_head("GET", "/r/x", id, &bearer(key)));
        caller.read_response().expect("the entry responds").status
    };
    eventually("the removed key to be refused", || {
        (status(KEY, "b1") == 401).then_some(())
    });
    assert_eq!(status("k-of-acme-2", "b2"), 200);
    assert_eq!(status("k-of-acme-3", "b3"), 200);
}

/// Guards against a second send that lacks the name, or has the key.
#[test]
fn second_send_has_the_name_as_well() {
    let setup = Setup::new(vec![acme()]);
    let failing = Upstream::start(Box::new(|_, request, connection| {
        let failure = "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";
        if request.head.starts_with("GET /health") {
            connection.write(ok_response(request, "ok"));
        } else {
            connection.write(failure);
        }
        true
    }));
    setup.store.put_upstream(&upstream_row("u-2", failing.addr));
    let mut number = 0;
    eventually("a request that was sent twice", || {
        number += 1;
        setup.respond("GET", "/r/x", &format!("a{number}"), &bearer(KEY));
        let first = failing.requests().into_iter().next()?;
        setup.received(first.id())
    });
    for request in failing.requests().iter().chain(&setup.upstream.requests()) {
        assert_eq!(request.header("jasmine-organisation"), Some("acme"));
        assert_eq!(request.header("authorization"), None);
    }
}

/// Guards against requests of an organisation that run outside its regions.
#[test]
fn regions_of_an_organisation_bind() {
    let far = Organisation {
        homes: vec!["region-b".into()],
        ..acme()
    };
    let setup = Setup::new(vec![far, organisation("other", &["k-of-other"])]);
    let response = setup.respond("GET", "/r/x", "a1", &bearer(KEY));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(setup.received("a1"), None);
    assert_eq!(
        setup
            .respond("GET", "/r/x", "a2", &bearer("k-of-other"))
            .status,
        200
    );
}

/// Guards against an organisation over its quota that is not refused at once, or takes from another one's quota.
#[test]
fn request_over_the_quota_is_refused() {
    let limited = Organisation {
        quota: Quota {
            rate_per_s: 1.0,
            burst: 1.0,
        },
        ..acme()
    };
    let setup = Setup::new(vec![limited, organisation("other", &["k-of-other"])]);
    let mut caller = Caller::connect(&setup.entry);
    let mut refused = 0;
    for number in 0..80 {
        let id = format!("a{number}");
        caller.send(request_head("GET", "/r/x", &id, &bearer(KEY)));
        let response = caller.read_response().expect("the entry responds");
        if response.status == 429 {
            assert!(
                response.header("retry-after").is_some(),
                "{}",
                response.head
            );
            assert_eq!(setup.received(&id), None);
            refused += 1;
        }
    }
    assert!(refused > 40, "{refused} of 80 were refused");
    assert_eq!(
        setup
            .respond("GET", "/r/x", "b1", &bearer("k-of-other"))
            .status,
        200
    );
}

/// Guards against a 401 from an entry that doesn't know the organisations yet.
#[test]
fn entry_without_routes_refuses_no_key() {
    let store = MemoryStore::default();
    store.set_down(true);
    let grace = Duration::from_secs(6);
    let entry = Entry::start_unready("entry-1", "region-a", &store, grace);
    entry.wait_ready(false);
    let mut caller = Caller::connect(&entry);
    caller.send(request_head("GET", "/r/x", "a1", &bearer(KEY)));
    assert_eq!(
        caller.read_response().map(|response| response.status),
        Some(503)
    );
}
