//! Failures of the real program, each explained from the request's id and the log alone.
//!
//! docs/OPERATIONS.md shows these cases with the log lines of such a run.

mod support;

use event::Event;
use explain::{
    Fault,
    Logs,
    RequestTrace, //
};
use nix::{
    sys::signal::{
        kill,
        Signal, //
    },
    unistd::Pid,
};
use route::keys;
use standin::upstream::Faults;
use std::{
    fs,
    io::{
        Read as _,
        Write as _, //
    },
    net::TcpStream,
    process::{
        Command,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    eventually,
    exchange,
    status,
    KillOnDrop,
    System,
    ROUTES, //
    TIMEOUT,
};

/// Starts a system and waits until its routes are in force. Filings, under `/orders/`, run at most once.
fn start_system(name: &str, upstream_spec: &str) -> System {
    let system = System::start(name, upstream_spec);
    let filings = "      - {id: filings, prefix: /orders/, kind: non-idempotent, timeout_ms: 800, \
                  latency_ms: 400, split: [{service: menu, weight: 1}]}\n";
    system.write_row(keys::ROUTES_KEY, &format!("{ROUTES}{filings}"));
    eventually("routes in force", || {
        (system.send_request("f0")?.0 == 200).then_some(())
    });
    system
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: menus.example\r\njasmine-request: {id}\r\n\
         connection: close\r\n\r\n"
    )
}

/// Waits until the log's thread has written the end of a request, and explains it; `--nocapture` shows the
/// trace.
fn wait_for_trace(system: &System, id: &str) -> RequestTrace {
    let trace = eventually("the request's lines", || {
        let text = fs::read_to_string(&system.log).ok()?;
        let mut logs = Logs::default();
        logs.add("moshi-1.log", &text);
        let mut lines = logs.lines().iter();
        // The lines of the sends precede the line of the request's end.
        let ended = lines.any(|located| match &located.line.event {
            Event::Request(ended) => ended.id == id,
            _ => false,
        });
        ended.then(|| logs.trace(id).expect("the request has lines"))
    });
    println!("{trace}");
    trace
}

fn set_faults(system: &System, faults: Faults) {
    for upstream in &system.upstreams {
        upstream.set_faults(faults);
    }
}

/// Many concurrent requests find all slots of all upstreams in use, so callers are refused.
#[test]
fn refused_under_overload() {
    let system = start_system("overload", "slots=1,service_ms=400");
    let ids: Vec<String> = (1..30).map(|number| format!("a{number:x}")).collect();
    let responses: Vec<(String, Option<u16>)> = thread::scope(|scope| {
        let handles: Vec<_> = ids
            .iter()
            .map(|id| {
                let (id, request) = (id.clone(), request("/orders/now", id));
                let callers_addr = system.callers_addr;
                scope.spawn(move || {
                    let response = exchange(callers_addr, &request);
                    (id, response.and_then(|response| status(&response)))
                })
            })
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().expect("no panic"))
            .collect()
    });
    let refused = responses.iter().find(|(_, status)| *status == Some(503));
    let (id, _) = refused.expect("a refused request");
    let trace = wait_for_trace(&system, id);
    assert_eq!(trace.cause.fault, Fault::Overload, "{trace}");
}

/// A filing ends with status 502 because its upstream breaks off the response. The filing may have run, so
/// it is not retried.
#[test]
fn failed_after_its_upstream_broke_off() {
    let system = start_system("broke-off", "slots=4,service_ms=5");
    set_faults(
        &system,
        Faults {
            truncate: 1.0,
            ..Faults::default()
        },
    );
    let response = exchange(
        system.callers_addr,
        &request("/orders/now?bytes=5000", "b1"),
    );
    assert_eq!(
        response.as_deref().and_then(status),
        Some(502),
        "{response:?}"
    );
    let trace = wait_for_trace(&system, "b1");
    assert_eq!(trace.cause.fault, Fault::UpstreamBrokeOff, "{trace}");
}

/// A filing ends with status 504 during an outage of the store. The store goes down, then an upstream hangs.
/// Its row stays in the store, so the entry keeps sending requests to it.
#[test]
fn timed_out_during_an_outage_of_the_store() {
    let system = start_system("outage", "slots=4,service_ms=5");
    let faults = "{\"table\":{\"kind\":\"down\"},\"list\":{\"kind\":\"down\"}}";
    let set_fault = format!(
        "POST /fault HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{faults}",
        faults.len()
    );
    let response = exchange(system.platform_addr, &set_fault);
    assert_eq!(
        response.as_deref().and_then(status),
        Some(200),
        "{response:?}"
    );
    set_faults(
        &system,
        Faults {
            hang: 1.0,
            ..Faults::default()
        },
    );
    eventually("the entry notices the outage", || {
        let text = fs::read_to_string(&system.log).ok()?;
        text.contains("\"event\":\"store-lost\"").then_some(())
    });
    let response = exchange(system.callers_addr, &request("/orders/now", "c1"));
    assert_eq!(
        response.as_deref().and_then(status),
        Some(504),
        "{response:?}"
    );
    let trace = wait_for_trace(&system, "c1");
    assert_eq!(trace.cause.fault, Fault::UpstreamSilent, "{trace}");
    let surroundings = trace.surroundings.iter();
    let lost = surroundings
        .filter(|step| step.text.starts_with("store lost"))
        .count();
    assert!(lost > 0, "{trace}");
}

/// Guards against an unbounded wait for the log. If the output is a pipe that is not read, the pipe fills
/// and the log's thread blocks in a write; a process that waits for that thread at its end can't be stopped.
#[test]
fn an_unread_log_blocks_nothing() {
    let system = start_system("unread", "slots=64,service_ms=0");
    let original = fs::read_to_string(&system.settings).expect("the settings of the system");
    // A second entry, with its own ports, whose output is a pipe that is never read.
    let settings = system.settings.with_extension("unread.yaml");
    let mut text = original.replace("moshi-1", "moshi-2");
    for addr in support::free_addrs::<5>() {
        let used_addr = text
            .lines()
            .find_map(|line| Some(line.split_once("_addr: ")?.1.to_owned()))
            .expect("an address that was not replaced");
        text = text.replacen(&format!("_addr: {used_addr}"), &format!("_ADDR: {addr}"), 1);
    }
    let text = text
        .replace("_ADDR", "_addr")
        .replace("grace_ms: 3000", "grace_ms: 2000");
    fs::write(&settings, &text).expect("writable");
    let callers_addr = text
        .lines()
        .find_map(|line| line.strip_prefix("callers_addr: ")?.parse().ok())
        .expect("the callers' address");
    let child = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut router = KillOnDrop(child);
    eventually("the entry serves", || {
        let response = exchange(callers_addr, &request("/menus/x", "d0"))?;
        (status(&response) == Some(200)).then_some(())
    });
    let mut caller = TcpStream::connect(callers_addr).expect("the callers' port");
    caller
        .set_read_timeout(Some(TIMEOUT))
        .expect("a valid timeout");
    // At some 400 bytes a line, this is far more than the pipe and the queue hold.
    for number in 0..4_000 {
        let request = format!(
            "GET /nowhere/ HTTP/1.1\r\nhost: menus.example\r\njasmine-request: d{number:x}\r\n\r\n"
        );
        caller
            .write_all(request.as_bytes())
            .expect("the entry reads");
        let mut response = [0; 4096];
        assert!(caller.read(&mut response).expect("an answer") > 0);
    }
    let id = i32::try_from(router.0.id()).expect("a process id");
    let start = Instant::now();
    kill(Pid::from_raw(id), Signal::SIGTERM).expect("the process runs");
    let ended = eventually("the end of the process", || {
        router.0.try_wait().expect("a child of this process")
    });
    let elapsed = start.elapsed();
    assert!(ended.success(), "{ended:?}");
    assert!(
        elapsed < Duration::from_secs(4),
        "{elapsed:?} for a grace of two seconds"
    );
    fs::remove_file(&settings).expect("a file of this test");
}
