//! Tests of `jasminectl routes` against a stand-in platform, with its faults.

#[path = "support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests that need daemons")]
mod support;

use standin::platform::{
    self,
    Fault,
    FaultKind,
    Faults,
    ListContent, //
};
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread,
};
use support::{
    ctl,
    RunResult,
    TempFile, //
};

fn routes(version: u64) -> String {
    format!(
        "version: {version}\n\
         limits: {{max_header_bytes: 16384, max_body_bytes: 65536, header_timeout_ms: 3000, \
         idle_timeout_ms: 15000}}\n\
         services:\n  - {{id: menu, health_path: /health, max_connections: 100}}\n\
         hosts:\n  - host: menus.example\n    routes:\n      - {{id: lookups, prefix: /menus/, \
         kind: idempotent, timeout_ms: 3000, latency_ms: 1000, split: [{{service: menu, weight: 1}}]}}\n"
    )
}

struct Platform(SocketAddr);

impl Platform {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        thread::spawn(move || {
            let result = actix_rt::System::new().block_on(async move {
                platform::serve_with(listener, ListContent::default())?.await
            });
            result.unwrap();
        });
        Self(addr)
    }

    fn run(&self, args: &[&str]) -> RunResult {
        let url = format!("http://{}", self.0);
        ctl(&[
            &["--request-timeout-s", "5", "routes"],
            args,
            &["--platform", &url],
        ]
        .concat())
    }

    /// Applies a fault to this ratio of the table's calls; with 0.5, of two calls the second.
    fn set_fault(&self, kind: FaultKind, ratio: f64) {
        let table = Some(Fault {
            kind,
            ratio,
            ..Fault::default()
        });
        let faults = Faults {
            table,
            ..Faults::default()
        };
        let body = serde_json::to_string(&faults).unwrap();
        let request = format!(
            "POST /fault HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(self.0).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

fn routes_file(name: &str, version: u64) -> TempFile {
    TempFile::new(name, routes(version).as_bytes())
}

#[test]
fn routes_are_accepted_in_increasing_versions() {
    let platform = Platform::start();
    platform
        .run(&["show"])
        .expect(1, "no routes are in force yet");
    let (first, second) = (
        routes_file("rising-1.yaml", 4),
        routes_file("rising-2.yaml", 7),
    );
    platform
        .run(&["accept", first.path()])
        .expect(0, "version 4: accepted");
    platform
        .run(&["accept", first.path()])
        .expect(0, "version 4: in force already");
    platform
        .run(&["accept", second.path()])
        .expect(0, "version 7: accepted");
    platform.run(&["accept", first.path()]).expect(
        1,
        "version 7 is in force: entries take higher versions only",
    );
    let shown = platform.run(&["show"]).expect(0, "version: 7");
    assert_eq!(shown.stdout, routes(7));
    let json = platform.run(&["show", "--output", "json"]).json();
    assert_eq!(json["version"], 7);
}

#[test]
fn routes_with_findings_are_not_written() {
    let platform = Platform::start();
    let text = routes(3).replace("service: menu, weight", "service: soup, weight");
    let bad = TempFile::new("findings.yaml", text.as_bytes());
    platform.run(&["accept", bad.path()]).expect(2, "soup");
    platform
        .run(&["show"])
        .expect(1, "no routes are in force yet");
}

#[test]
fn failure_domains_are_evacuated_and_restored() {
    let platform = Platform::start();
    platform
        .run(&["restore", "moshi-a"])
        .expect(0, "moshi-a: in use already");
    platform
        .run(&["evacuate", "moshi-a"])
        .expect(0, "moshi-a: evacuated\n");
    platform
        .run(&["evacuate", "moshi-a"])
        .expect(0, "moshi-a: evacuated already");
    platform
        .run(&["restore", "moshi-a"])
        .expect(0, "moshi-a: in use\n");
}

/// Guards against a change that is reported as failed although entries follow it: the table commits
/// the change and its response is lost, which must not be taken for a refusal.
#[test]
fn a_lost_response_is_unknown_and_may_be_repeated() {
    let platform = Platform::start();
    let first = routes_file("lost.yaml", 1);
    platform.set_fault(FaultKind::LostAnswer, 0.5);
    platform
        .run(&["accept", first.path()])
        .expect(3, "run next: jasminectl routes accept ");
    platform.set_fault(FaultKind::None, 1.0);
    platform
        .run(&["accept", first.path()])
        .expect(0, "version 1: in force already");
}

#[test]
fn an_outage_changes_nothing() {
    let platform = Platform::start();
    let first = routes_file("outage.yaml", 1);
    for ratio in [1.0, 0.5] {
        platform.set_fault(FaultKind::Down, ratio);
        platform
            .run(&["accept", first.path()])
            .expect(1, "the platform refused");
    }
    platform.set_fault(FaultKind::None, 1.0);
    platform
        .run(&["accept", first.path()])
        .expect(0, "version 1: accepted");
}
