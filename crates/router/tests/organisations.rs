//! Organisations with the real `jasmine-router`: keys, and what leaves the process.

mod support;

use org::KeyDigest;
use route::keys;
use std::fs;
use support::{
    eventually,
    exchange,
    status,
    System,
    ROUTES, //
};

const KEY: &str = "k-of-acme-93751";

/// Guards against a key in a log, on a page or at an upstream.
#[test]
fn key_leaves_the_process_nowhere() {
    let system = System::start("keys", "slots=4,service_ms=5");
    let digest = KeyDigest::of(KEY.as_bytes()).to_hex();
    let organisations = format!(
        "organisations:\n  - {{id: acme, key_digests: [{digest}], quota: {{rate_per_s: 2}}}}\n"
    );
    system.write_row(keys::ROUTES_KEY, &format!("{ROUTES}{organisations}"));
    let send = |id: u32, authorization: &str| {
        let request = format!(
            "GET /menus/today HTTP/1.1\r\nhost: menus.example\r\njasmine-request: {id:032x}\r\n\
             {authorization}connection: close\r\n\r\n"
        );
        status(&exchange(system.callers_addr, &request)?)
    };
    let bearer = format!("authorization: Bearer {KEY}\r\n");
    eventually("a request with the key", || {
        (send(1, &bearer) == Some(200)).then_some(())
    });
    assert_eq!(send(2, ""), Some(401));
    assert_eq!(
        send(3, &format!("authorization: Basic {KEY}\r\n")),
        Some(401)
    );
    assert_eq!(
        send(4, &format!("authorization: Bearer {KEY}x\r\n")),
        Some(401)
    );
    let refused = (10..60).any(|id| send(id, &bearer) == Some(429));
    assert!(refused, "the quota is used up");
    // A version with a key in place of a digest has a finding, which must not repeat it.
    let bad = organisations.replace(&digest, KEY);
    system.write_row(keys::ROUTES_KEY, &format!("{ROUTES}{bad}"));
    let log = || fs::read_to_string(&system.log).expect("the log is readable");
    eventually("the finding", || {
        log().contains("64 hexadecimal digits").then_some(())
    });
    let page = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        exchange(system.metrics_addr, &request).expect("a page")
    };
    let usage = page("/v1/organisations");
    assert!(usage.contains("\"organisation\":\"acme\""), "{usage}");
    let received: String = system
        .upstreams
        .iter()
        .map(|upstream| format!("{:?}", upstream.record()))
        .collect();
    for (place, text) in [
        ("the log", log()),
        ("the metrics", page("/metrics")),
        ("the use of quotas", usage),
        ("the upstreams", received),
    ] {
        assert!(
            !text.contains(KEY) && !text.contains(&digest),
            "{place}: {text}"
        );
    }
    assert!(log().contains("\"outcome\":\"over-quota\""), "{}", log());
    assert!(log().contains("\"outcome\":\"unauthorized\""), "{}", log());
}

/// Guards against use of quotas that callers can read.
#[test]
fn use_of_quotas_is_on_the_metrics_port_only() {
    let system = System::start("usage", "slots=4,service_ms=5");
    let request = "GET /v1/organisations HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let statuses = [system.metrics_addr, system.ready_addr].map(|addr| {
        eventually("a response", || {
            exchange(addr, request).and_then(|text| status(&text))
        })
    });
    assert_eq!(statuses, [200, 404]);
}
