//! Contents of a real daemon's log and responses: state changes, and never a key.

use rig::{
    Layout,
    Rig, //
};
use serde_json::{
    json,
    Value, //
};
use std::{
    env,
    fs,
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    process, //
};

const OPERATOR_KEY: &str = "the-operators-key-of-the-rig";
const WRONG_KEY: &str = "a-wrong-key-of-the-same-sort";
/// Peer key in the rig's settings.
const PEER_KEY: &str = "key-of-the-rig-only-for-tests";
const REQUESTS: usize = 50;

fn exchange(addr: &str, head: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    let head = format!("{head}\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// Reads the log of a daemon. Assumes that this process has only one rig.
fn log(id: &str) -> String {
    let dir = format!("jasmine-rig-{}-0", process::id());
    let file = env::temp_dir().join(dir).join(format!("{id}.log"));
    fs::read_to_string(file).unwrap()
}

/// Guards against a key in a log or a response, and against a log that grows with the load. Either
/// happens if a message contains its input, or if each request logs a line. The test sends valid and
/// invalid requests on all ports, with and without the key, then drains an upstream and stops one
/// daemon and kills another.
#[test]
fn logs_each_state_change_once_and_never_a_key() {
    let mut rig = Rig::start(Layout {
        operator_key: Some(OPERATOR_KEY),
        ..Layout::one_region()
    })
    .unwrap();
    let daemon = rig.daemons["arusha-0"].clone();
    let mut responses = String::new();
    for index in 0..REQUESTS {
        responses += &exchange(
            &daemon.callers_addr,
            "GET /v1/lookup/menu?addr=10.1.0.9 HTTP/1.1",
        );
        responses += &exchange(
            &daemon.callers_addr,
            &format!("GET /v1/work/menu/{index} HTTP/1.1"),
        );
        responses += &exchange(&daemon.callers_addr, "GET /nothing HTTP/1.1");
    }
    let wrong_key = format!("GET /op/v1/status HTTP/1.1\r\nauthorization: Bearer {WRONG_KEY}");
    let refused = exchange(&daemon.operator_addr, &wrong_key);
    assert!(refused.contains("unauthorized"), "{refused}");
    responses += &refused;
    responses += &exchange(&daemon.operator_addr, "GET /op/v1/status HTTP/1.1");
    let unauthorized = format!("GET / HTTP/1.1\r\nauthorization: Bearer {WRONG_KEY}");
    responses += &exchange(&daemon.peers_addr, &unauthorized);
    let drain = json!({"accept_id": "d", "author": "a", "action": "start",
        "target": {"kind": "upstream", "id": "arusha-menu-0"}});
    let drained = rig.operator_request("arusha-0", "/op/v1/drain", Some(&drain));
    assert_eq!(drained.status, 200, "{drained:?}");
    for path in [
        "status",
        "instances",
        "shares",
        "config",
        "history",
        "drain",
        "burn",
        "x",
    ] {
        let response = rig.operator_request("arusha-0", &format!("/op/v1/{path}"), None);
        responses += &response.body.to_string();
    }
    responses += &exchange(&daemon.callers_addr, "GET /metrics HTTP/1.1");
    rig.terminate("arusha-0");
    rig.kill("arusha-1");

    let logs = log("arusha-0") + &log("arusha-1");
    for key in [OPERATOR_KEY, WRONG_KEY, PEER_KEY] {
        assert!(!logs.contains(key), "{key} in {logs}");
        assert!(!responses.contains(key), "{key} in {responses}");
    }
    let lines: Vec<Value> = log("arusha-0")
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let count = |text: &str| lines.iter().filter(|line| line["payload"] == text).count();
    for message in ["started", "lease taken", "serving", "stopped"] {
        assert_eq!(count(message), 1, "{message}: {lines:#?}");
    }
    assert_eq!(
        count("configuration in force"),
        2,
        "one per version: {lines:#?}"
    );
    assert!(lines.len() < REQUESTS, "{lines:#?}");
}
