//! Failures of the real program, each walked from the request's id to its cause by the log alone.
//!
//! docs/OPERATIONS.md shows these walks with the lines of such a run.

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
    Running,
    System,
    PATIENCE,
    ROUTES, //
};

/// A system whose routes are in force; filings run at most once, under `/orders/`.
fn system(name: &str, work: &str) -> System {
    let system = System::start(name, work);
    let orders = "      - {id: filings, prefix: /orders/, kind: non-idempotent, timeout_ms: 800, \
                  latency_ms: 400, split: [{service: menu, weight: 1}]}\n";
    system.put(keys::ROUTES_KEY, &format!("{ROUTES}{orders}"));
    eventually("routes in force", || {
        (system.ask("f0")?.0 == 200).then_some(())
    });
    system
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: menus.example\r\njasmine-request: {id}\r\n\
         connection: close\r\n\r\n"
    )
}

/// The story of an id, once the log's own thread has written its end; `--nocapture` shows it.
fn story(system: &System, id: &str) -> RequestTrace {
    let story = eventually("its lines", || {
        let text = fs::read_to_string(&system.log).ok()?;
        let mut logs = Logs::default();
        logs.add("moshi-1.log", &text);
        let mut lines = logs.lines().iter();
        // A send's line comes before the request's own.
        let ended = lines.any(|placed| match &placed.line.event {
            Event::Request(ended) => ended.id == id,
            _ => false,
        });
        ended.then(|| logs.story(id).expect("it has lines"))
    });
    println!("{story}");
    story
}

fn set_faults(system: &System, faults: Faults) {
    for upstream in &system.upstreams {
        upstream.set_faults(faults);
    }
}

/// Symptom: callers are refused. Sequence: many ask at once, and every upstream has its slots in use.
#[test]
fn refused_under_overload() {
    let system = system("overload", "slots=1,service_ms=400");
    let ids: Vec<String> = (1..30).map(|number| format!("a{number:x}")).collect();
    let answers: Vec<(String, Option<u16>)> = thread::scope(|scope| {
        let asked: Vec<_> = ids
            .iter()
            .map(|id| {
                let (id, request) = (id.clone(), request("/orders/now", id));
                let callers = system.callers;
                scope.spawn(move || {
                    let answer = exchange(callers, &request);
                    (id, answer.and_then(|answer| status(&answer)))
                })
            })
            .collect();
        asked
            .into_iter()
            .map(|asked| asked.join().expect("no panic"))
            .collect()
    });
    let refused = answers.iter().find(|(_, status)| *status == Some(503));
    let (id, _) = refused.expect("one that is refused");
    let story = story(&system, id);
    assert_eq!(story.cause.fault, Fault::Overload, "{story}");
}

/// Symptom: a filing ends 502. Sequence: its upstream breaks the answer off; it may have run, so it is not
/// sent again.
#[test]
fn failed_after_its_upstream_broke_off() {
    let system = system("broke-off", "slots=4,service_ms=5");
    set_faults(
        &system,
        Faults {
            truncate: 1.0,
            ..Faults::default()
        },
    );
    let answer = exchange(system.callers, &request("/orders/now?bytes=5000", "b1"));
    assert_eq!(answer.as_deref().and_then(status), Some(502), "{answer:?}");
    let story = story(&system, "b1");
    assert_eq!(story.cause.fault, Fault::UpstreamBrokeOff, "{story}");
}

/// Symptom: a filing ends 504 during an outage of the store. Sequence: the store goes down, then an
/// upstream hangs; its row stays, so nothing tells the entry.
#[test]
fn timed_out_during_an_outage_of_the_store() {
    let system = system("outage", "slots=4,service_ms=5");
    let down = "{\"table\":{\"kind\":\"down\"},\"list\":{\"kind\":\"down\"}}";
    let fault = format!(
        "POST /fault HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{down}",
        down.len()
    );
    let answer = exchange(system.platform, &fault);
    assert_eq!(answer.as_deref().and_then(status), Some(200), "{answer:?}");
    set_faults(
        &system,
        Faults {
            hang: 1.0,
            ..Faults::default()
        },
    );
    eventually("the entry has noticed", || {
        let text = fs::read_to_string(&system.log).ok()?;
        text.contains("\"event\":\"store-lost\"").then_some(())
    });
    let answer = exchange(system.callers, &request("/orders/now", "c1"));
    assert_eq!(answer.as_deref().and_then(status), Some(504), "{answer:?}");
    let story = story(&system, "c1");
    assert_eq!(story.cause.fault, Fault::UpstreamSilent, "{story}");
    let around = story.surroundings.iter();
    let lost = around
        .filter(|step| step.text.starts_with("store lost"))
        .count();
    assert!(lost > 0, "{story}");
}

/// Symptom: a process whose output nobody reads can't be stopped. Sequence: its pipe fills, the log's
/// thread waits in a write, and the process waits for that thread at its end. Cause guarded against: any
/// wait for the log without a bound.
#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let system = system("unread", "slots=64,service_ms=0");
    let own = fs::read_to_string(&system.settings).expect("its settings");
    // A second entry with ports of its own, whose output is a pipe that stays full.
    let settings = system.settings.with_extension("unread.yaml");
    let mut text = own.replace("moshi-1", "moshi-2");
    for port in support::free_addrs::<5>() {
        let taken = text
            .lines()
            .find_map(|line| Some(line.split_once("_addr: ")?.1.to_owned()))
            .expect("an address that was not replaced");
        text = text.replacen(&format!("_addr: {taken}"), &format!("_ADDR: {port}"), 1);
    }
    let text = text
        .replace("_ADDR", "_addr")
        .replace("grace_ms: 3000", "grace_ms: 2000");
    fs::write(&settings, &text).expect("writable");
    let callers = text
        .lines()
        .find_map(|line| line.strip_prefix("callers_addr: ")?.parse().ok())
        .expect("its callers' address");
    let process = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut process = Running(process);
    eventually("it serves", || {
        let answer = exchange(callers, &request("/menus/x", "d0"))?;
        (status(&answer) == Some(200)).then_some(())
    });
    let mut caller = TcpStream::connect(callers).expect("the callers' port");
    caller.set_read_timeout(Some(PATIENCE)).expect("a time");
    // Some 400 bytes a line: far more than a pipe holds and the queue takes.
    for number in 0..4_000 {
        let ask = format!(
            "GET /nowhere/ HTTP/1.1\r\nhost: menus.example\r\njasmine-request: d{number:x}\r\n\r\n"
        );
        caller.write_all(ask.as_bytes()).expect("it reads");
        let mut answer = [0; 4096];
        assert!(caller.read(&mut answer).expect("an answer") > 0);
    }
    let id = i32::try_from(process.0.id()).expect("a process id");
    let begun = Instant::now();
    kill(Pid::from_raw(id), Signal::SIGTERM).expect("it runs");
    let ended = eventually("its end", || process.0.try_wait().expect("our own child"));
    let took = begun.elapsed();
    assert!(ended.success(), "{ended:?}");
    assert!(
        took < Duration::from_secs(4),
        "{took:?} for a grace of two seconds"
    );
    fs::remove_file(&settings).expect("ours");
}
