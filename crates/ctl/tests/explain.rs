//! Tests of `jasminectl explain`: its input, its output and its exit codes.

#[path = "support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests that need daemons")]
mod support;

use std::{
    io::Write,
    process::Stdio, //
};
use support::{
    command,
    ctl,
    RunResult,
    TempFile, //
};

const LOG: &str = concat!(
    r#"{"time_ms":1000,"level":"info","instance":"moshi-1","up_ms":1,"event":"started","#,
    r#""region":"moshi","failure_domain":"moshi-a","callers_addr":"127.0.0.1:7000"}"#,
    "\n",
    r#"{"time_ms":2000,"level":"info","instance":"moshi-1","up_ms":1001,"event":"request","#,
    r#""id":"4f","outcome":"refused","status":503,"reason":"no-slot-in-time","route":"lookups","#,
    r#""service":"menu","census":{"open":3,"closed":1,"cold":0,"failing":0},"#,
    r#""expected":{"wait_ms":300,"answer_ms":450},"retry_after_ms":300,"took_ms":0,"#,
    r#""target_ms":400,"deadline_ms":2000,"picture":{"routes":4,"number":9,"age_ms":12}}"#,
    "\n",
    r#"{"time_ms":2100,"level":"warn","instance":"moshi-1","up_ms":1101,"event":"lines-left-out","#,
    r#""lines":5}"#,
    "\n",
);

fn log(name: &str) -> TempFile {
    TempFile::new(name, LOG.as_bytes())
}

#[test]
fn explains_a_request() {
    let log = log("explained.log");
    let result = ctl(&["explain", "--id", "4f", log.path()]).expect(0, "likely cause: overload");
    for text in [
        "3 open, 1 closed",
        "come back in 300 ms",
        "picture 9 of 12 ms ago",
        "5 lines about requests are missing",
    ] {
        assert!(result.stdout.contains(text), "{text} in {}", result.stdout);
    }
    let json = ctl(&["explain", "--id", "4f", log.path(), "--output", "json"]).json();
    assert_eq!(json["cause"]["fault"], "overload");
    assert_eq!(json["missing_lines"], 5);
}

#[test]
fn counts_failures() {
    let log = log("counted.log");
    ctl(&["explain", log.path()]).expect(0, "1  overload");
    let json = ctl(&["explain", log.path(), "--output", "json"]).json();
    assert_eq!(json["failures"][0]["first"], "4f");
}

#[test]
fn an_unknown_id_reports_missing_lines() {
    let log = log("unknown.log");
    ctl(&["explain", "--id", "50", log.path()])
        .expect(1, "no line has the id 50; lines were read of moshi-1");
    ctl(&["explain", "--id", "50", log.path()])
        .expect(1, "5 lines about requests were not written");
}

#[test]
fn bad_input_is_reported() {
    ctl(&["explain", "--id", "4f"]).expect(2, "FILES");
    ctl(&["explain", "--id", "4f", "/nowhere.log"]).expect(2, "/nowhere.log");
    let truncated = TempFile::new("cut.log", &LOG.as_bytes()[..LOG.len() - 20]);
    ctl(&["explain", "--id", "4f", truncated.path()]).expect(0, "1 lines can't be read");
}

#[test]
fn reads_standard_input() {
    let mut child = command(&["explain", "--id", "4f", "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(LOG.as_bytes())
        .unwrap();
    RunResult::from(child.wait_with_output().unwrap()).expect(0, "likely cause: overload");
}
