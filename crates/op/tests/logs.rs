//! What a real daemon's log and its operators' port say, and what they never do.

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
/// As the rig's settings have it.
const PEER_KEY: &str = "key-of-the-rig-only-for-tests";
const REQUESTS: usize = 50;

fn exchange(addr: &str, head: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    let head = format!("{head}\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Log of a daemon of the only rig of this process.
fn log(id: &str) -> String {
    let folder = format!("jasmine-rig-{}-0", process::id());
    let file = env::temp_dir().join(folder).join(format!("{id}.log"));
    fs::read_to_string(file).unwrap()
}

/// Symptom: a key is read in a log or an error, or a log grows with the load. Sequence: good and bad
/// requests by callers, operators with and without the key, and strangers; a drain, a death. Cause:
/// a line for each request, or a message that shows what it was given.
#[test]
fn a_line_for_each_change_of_state_and_no_key_anywhere() {
    let mut rig = Rig::start(Layout {
        operator_key: Some(OPERATOR_KEY),
        ..Layout::one_region()
    })
    .unwrap();
    let daemon = rig.daemons["arusha-0"].clone();
    let mut told = String::new();
    for index in 0..REQUESTS {
        told += &exchange(
            &daemon.callers,
            "GET /v1/lookup/menu?addr=10.1.0.9 HTTP/1.1",
        );
        told += &exchange(
            &daemon.callers,
            &format!("GET /v1/work/menu/{index} HTTP/1.1"),
        );
        told += &exchange(&daemon.callers, "GET /nothing HTTP/1.1");
    }
    let wrong = format!("GET /op/v1/status HTTP/1.1\r\nauthorization: Bearer {WRONG_KEY}");
    let refused = exchange(&daemon.operator, &wrong);
    assert!(refused.contains("unauthorized"), "{refused}");
    told += &refused;
    told += &exchange(&daemon.operator, "GET /op/v1/status HTTP/1.1");
    let stranger = format!("GET / HTTP/1.1\r\nauthorization: Bearer {WRONG_KEY}");
    told += &exchange(&daemon.peers, &stranger);
    let drain = json!({"accept_id": "d", "author": "a", "action": "start",
        "target": {"kind": "upstream", "id": "arusha-menu-0"}});
    let drained = rig.operator("arusha-0", "/op/v1/drain", Some(&drain));
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
        let reply = rig.operator("arusha-0", &format!("/op/v1/{path}"), None);
        told += &reply.body.to_string();
    }
    told += &exchange(&daemon.callers, "GET /metrics HTTP/1.1");
    rig.terminate("arusha-0");
    rig.kill("arusha-1");

    let logs = log("arusha-0") + &log("arusha-1");
    for key in [OPERATOR_KEY, WRONG_KEY, PEER_KEY] {
        assert!(!logs.contains(key), "{key} in {logs}");
        assert!(!told.contains(key), "{key} in {told}");
    }
    let lines: Vec<Value> = log("arusha-0")
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let count = |what: &str| lines.iter().filter(|line| line["payload"] == what).count();
    for once in ["started", "lease taken", "serving", "stopped"] {
        assert_eq!(count(once), 1, "{once}: {lines:#?}");
    }
    assert_eq!(
        count("configuration in force"),
        2,
        "one a version: {lines:#?}"
    );
    assert!(lines.len() < REQUESTS, "{lines:#?}");
}
