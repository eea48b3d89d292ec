//! The operators' port of a real daemon: invalid requests are refused with a reason and change
//! nothing, and block tables may follow an accept as a stream.

use op::Refusal;
use rig::{
    Layout,
    Rig, //
};
use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    time::{
        Duration,
        Instant, //
    },
};

/// Limit of waits for events that take well under a tenth of it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Sends a request on a new connection and returns the status and body of the response.
fn send(rig: &Rig, head: &str, body: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(&rig.daemons["arusha-0"].operator_addr).unwrap();
    let head = format!(
        "{head}\r\nhost: a\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    (status, body.to_owned())
}

const JSON: &str = "content-type: application/json";
const BLOCKS: &str = "content-type: application/x-jasmine-accept";

/// An accept as one line of JSON, with the configuration that the rig already runs.
fn accept(rig: &Rig, id: &str) -> String {
    let text = rig.layout.config();
    let request = serde_json::json!({"accept_id": id, "author": "a", "text": text});
    format!("{request}\n")
}

#[test]
fn each_invalid_request_is_refused_with_a_reason() {
    let rig = Rig::start(Layout::one_region()).unwrap();
    let line = accept(&rig, "wrong");
    let with_blocks = |blocks: &[u8]| [line.as_bytes(), blocks].concat();
    let cases: Vec<(String, Vec<u8>, u16, &str)> =
        vec![
        ("GET /op/v1/nothing HTTP/1.1".into(), vec![], 404, "/op/v1/nothing"),
        ("GET / HTTP/1.1".into(), vec![], 404, "has no /"),
        ("GET /op/v1/accept HTTP/1.1".into(), vec![], 400, "has no GET"),
        ("DELETE /op/v1/drain HTTP/1.1".into(), vec![], 400, "has no DELETE"),
        ("GET /op/v1/config/x HTTP/1.1".into(), vec![], 400, "x"),
        ("GET /op/v1/config/9 HTTP/1.1".into(), vec![], 404, "no version 9"),
        ("GET /op/v1/confirmed HTTP/1.1".into(), vec![], 400, "version"),
        ("GET /op/v1/confirmed?version=-1 HTTP/1.1".into(), vec![], 400, "invalid digit"),
        ("GET /op/v1/history?limit=many HTTP/1.1".into(), vec![], 400, "invalid digit"),
        (format!("POST /op/v1/accept HTTP/1.1\r\n{JSON}"), b"{".into(), 400, "EOF"),
        (format!("POST /op/v1/accept HTTP/1.1\r\n{JSON}"), b"{}".into(), 400, "accept_id"),
        ("POST /op/v1/accept HTTP/1.1".into(), b"{}".into(), 400, "ontent type"),
        (
            format!("POST /op/v1/accept HTTP/1.1\r\n{JSON}"),
            br#"{"accept_id":"","author":"a","text":""}"#.into(),
            400,
            "1 to 128 bytes",
        ),
        (
            format!("POST /op/v1/accept HTTP/1.1\r\n{JSON}"),
            br#"{"accept_id":"a","author":"a","text":"nam: a"}"#.into(),
            422,
            "configuration:1:1",
        ),
        (
            format!("POST /op/v1/drain HTTP/1.1\r\n{JSON}"),
            br#"{"accept_id":"a","author":"a","action":"start","target":{"kind":"zone","id":"a"}}"#
                .into(),
            400,
            "zone",
        ),
        (
            format!("POST /op/v1/target HTTP/1.1\r\n{JSON}"),
            br#"{"accept_id":"a","author":"a","class":"menu","latency_ms":0}"#.into(),
            422,
            "latency_ms",
        ),
        (format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}"), vec![], 400, "line is missing"),
        (format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}"), b"{}\n".into(), 400, "accept_id"),
        (
            format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}"),
            with_blocks(b"10.0.0.0/8 arusha\nx arusha\n10.0.0.0/99 arusha"),
            422,
            "blocks:2:1",
        ),
        (
            format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}"),
            with_blocks(b"10.0.0.0/8 arusha\n10.0.0.0/8 arusha\n"),
            422,
            "1 lines repeat",
        ),
        (
            format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}"),
            with_blocks(b"10.0.0.0/8 nowhere\n"),
            422,
            "`nowhere`",
        ),
        (
            format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}"),
            with_blocks(&[0xff, b'\n']),
            400,
            "UTF-8",
        ),
    ];
    for (head, body, status, expected_text) in cases {
        let (actual_status, answer) = send(&rig, &head, &body);
        assert_eq!(actual_status, status, "{head}: {answer}");
        let refusal: Refusal = serde_json::from_str(&answer).expect(&answer);
        assert_eq!(refusal.status(), status, "{head}: {answer}");
        assert!(
            answer.contains(expected_text),
            "{head}: no `{expected_text}` in {answer}"
        );
    }
    let status = rig.operator_request("arusha-0", "/op/v1/status", None);
    assert_eq!(status.body["version"], 1);
}

#[test]
fn blocks_may_follow_the_request_in_several_reads() {
    let rig = Rig::start(Layout::one_region()).unwrap();
    let head = format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}");
    let mut body = accept(&rig, "table");
    for index in 0..60_000u32 {
        body += &format!("11.{}.{}.0/24 arusha\n", index / 256, index % 256);
    }
    let (status, answer) = send(&rig, &head, body.trim_end().as_bytes());
    assert_eq!(status, 200, "{answer}");
    assert!(answer.contains("~ block table"), "{answer}");
    let body = accept(&rig, "difference") + "# gone\n-11.0.0.0/24\n";
    let (status, answer) = send(&rig, &head, body.as_bytes());
    assert_eq!(status, 200, "{answer}");
    let body = accept(&rig, "again") + "-11.0.0.0/24\n";
    let (status, answer) = send(&rig, &head, body.as_bytes());
    assert_eq!(status, 200, "{answer}");
    let status = rig.operator_request("arusha-0", "/op/v1/status", None);
    assert_eq!(status.body["version"], 4);
}

/// Guards against a daemon that exceeds its memory limit when two operators send it large tables
/// concurrently: each is in memory besides the table in force, so only one may be at a time.
#[test]
fn one_of_two_concurrent_large_tables_is_refused() {
    let rig = Rig::start(Layout::one_region()).unwrap();
    let head = format!("POST /op/v1/accept HTTP/1.1\r\n{BLOCKS}");
    let mut table = String::new();
    for index in 0..300_000u32 {
        let (high, low) = (index >> 16, index & 0xffff);
        table += &format!("11.{high}.{}.{}/32 arusha\n", low >> 8, low & 0xff);
    }
    let body = accept(&rig, "first") + &table;
    let mut first = TcpStream::connect(&rig.daemons["arusha-0"].operator_addr).unwrap();
    let first_head = format!(
        "{head}\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    first.write_all(first_head.as_bytes()).unwrap();
    let (all_but_last, last) = body.as_bytes().split_at(body.len() - 100);
    first.write_all(all_but_last).unwrap();
    // The daemon may not have read the first request yet. Until it has, it reads the other table
    // and reports its unknown region.
    let other = accept(&rig, "other") + &table.replace("arusha", "nowhere");
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        let (status, answer) = send(&rig, &head, other.as_bytes());
        if status == 503 {
            assert!(answer.contains("not-done"), "{answer}");
            break;
        }
        assert_eq!(status, 422, "{answer}");
        assert!(Instant::now() < deadline, "never refused");
    }
    let (status, answer) = send(
        &rig,
        &head,
        (accept(&rig, "small") + "+12.0.0.0/8 arusha\n").as_bytes(),
    );
    assert_eq!(status, 200, "a difference is small: {answer}");
    first.write_all(last).unwrap();
    let mut answer = [0; 12];
    first.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
    let (status, answer) = send(&rig, &head, other.as_bytes());
    assert_eq!(status, 422, "a large table is read again: {answer}");
}
