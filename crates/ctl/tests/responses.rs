//! `jasminectl` against a daemon whose responses are invalid or don't end.

#[path = "support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests that need daemons")]
mod support;

use std::{
    fs,
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    ctl,
    spawn_ctl,
    wait_for_exit, //
};

/// Most memory that a command may use, in kilobytes: the size limit of a response and as much again.
const MAX_MEMORY_KB: u64 = 512 << 10;
/// Time for a command to end, which covers two requests of [`REQUEST_TIMEOUT_S`].
const MAX_TIME: Duration = Duration::from_secs(30);
const REQUEST_TIMEOUT_S: &str = "2";

/// Starts a server that sends `start` on each connection, and then `rest` until the peer closes it.
fn serve(start: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 8192]);
                let part = rest.repeat((64 << 10) / rest.len().max(1));
                let mut sent = stream.write_all(start.as_bytes());
                while sent.is_ok() && !part.is_empty() {
                    sent = stream.write_all(part.as_bytes());
                }
            });
        }
    });
    addr
}

/// Peak memory of a running process, in kilobytes; `None` once it has ended.
fn peak_memory_kb(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Runs a command against `daemon` and returns its exit code, after checks of its time and memory.
fn run(daemon: SocketAddr, command: &[&str]) -> i32 {
    let daemon = daemon.to_string();
    let options = [
        "--daemon",
        &daemon,
        "--request-timeout-s",
        REQUEST_TIMEOUT_S,
    ];
    let started = Instant::now();
    let mut child = spawn_ctl(&[&options, command].concat());
    let mut peak_kb = 0;
    while child.try_wait().expect("the process is ours").is_none() {
        peak_kb = peak_kb.max(peak_memory_kb(child.id()).unwrap_or_default());
        assert!(started.elapsed() < MAX_TIME, "{command:?} has not ended");
        thread::sleep(Duration::from_millis(5));
    }
    let ran = wait_for_exit(child);
    assert!(peak_kb < MAX_MEMORY_KB, "{command:?} used {peak_kb} kB");
    assert_eq!(ran.stdout, "", "{command:?}");
    ran.code
}

/// Guards against bytes that are no response but count as success or as a refusal, and against a command that keeps
/// reading them. The outcome of a change is then unknown.
macro_rules! faulty_response_is_a_failure {
    ($($name:ident: $start:expr, $rest:expr;)*) => {$(
        #[test]
        fn $name() {
            let daemon = serve($start, $rest);
            for read in [&["status"][..], &["history"], &["target", "show"]] {
                assert_eq!(run(daemon, read), 1, "{read:?}");
            }
            for change in [
                &["drain", "start", "region:arusha"][..],
                &["target", "set", "menu", "--latency-ms", "9"],
            ] {
                assert_eq!(run(daemon, change), 3, "{change:?}");
            }
        }
    )*};
}

/// A response with this status line and these header lines, and the body that reports a change as made.
macro_rules! change_made {
    ($head:literal) => {
        concat!(
            $head,
            "content-length: 25\r\n\r\n{\"version\":2,\"how\":\"new\"}"
        )
    };
}

/// A chunk, large enough for the size limit of a response to be reached early.
fn chunk() -> &'static str {
    format!("1000\r\n{:4096}\r\n", "").leak()
}

faulty_response_is_a_failure! {
    status_000: change_made!("HTTP/1.1 000 Trouble\r\n"), "";
    status_099: change_made!("HTTP/1.1 099 Trouble\r\n"), "";
    status_600: change_made!("HTTP/1.1 600 Trouble\r\n"), "";
    blank_after_a_name: change_made!("HTTP/1.1 200 OK\r\nx-a : b\r\n"), "";
    control_byte_in_a_name: change_made!("HTTP/1.1 200 OK\r\nx\u{1}a: b\r\n"), "";
    no_length: "HTTP/1.1 200 OK\r\n\r\n{\"version\":2,\"how\":\"new\"}", "";
    interim_response_alone: "HTTP/1.1 103 Early Hints\r\n\r\n", "";
    endless_bytes: "", "no response ";
    endless_status_line: "HTTP/1.1 200 ", "OK";
    endless_header: "HTTP/1.1 200 OK\r\nx-a: ", "b";
    endless_headers: "HTTP/1.1 200 OK\r\n", "x-a: b\r\n";
    endless_interim_responses: "", "HTTP/1.1 103 Early Hints\r\n\r\n";
    endless_body: "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", " ";
    endless_chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", chunk();
    endless_chunk_extension: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;", "a";
    endless_trailer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n19\r\n{\"version\":2,\"how\":\"new\"}\r\n0\r\n", "x-a: b\r\n";
}

/// Shows that the cases above fail by what is wrong with them.
#[test]
fn valid_response_is_a_success() {
    let daemon = serve(change_made!("HTTP/1.1 200 OK\r\n"), "").to_string();
    let change = ["target", "set", "menu", "--latency-ms", "9"];
    ctl(&[&["--daemon", &daemon], &change[..]].concat()).expect(0, "2");
}
