//! Outages of the platform of each kind, and processes that are paused or started meanwhile.
//!
//! Each row drives the real program: it serves with what it knows for as long as the outage lasts, and
//! what changed meanwhile is in force soon after its end.

mod support;

use nix::{
    sys::signal::{
        kill,
        Signal, //
    },
    unistd::Pid,
};
use route::keys;
use standin::platform::{
    Fault,
    Faults,
    Kind, //
};
use std::{
    net::SocketAddr,
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
    System,
    ROUTES, //
};

/// Upstreams that answer at once.
const QUICK: &str = "slots=8,service_ms=5";
/// How long an outage or a pause lasts: beyond the deadline of calls to the platform.
const OUTAGE: Duration = Duration::from_millis(3_000);
/// Time after an outage within which what changed meanwhile is in force: one failed call's deadline, the
/// longest pause after it, and a look, with as much again for a busy machine.
const IN_FORCE: Duration = Duration::from_secs(8);

/// Makes all calls of the table and the list meet a fault.
fn set_fault(platform: SocketAddr, kind: Kind) {
    let fault = Some(Fault {
        kind,
        delay_ms: 900,
        ratio: 1.0,
    });
    let faults = Faults {
        table: fault,
        list: fault,
        objects: None,
    };
    let body = serde_json::to_string(&faults).expect("plain data");
    let request = format!(
        "POST /fault HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = exchange(platform, &request);
    assert_eq!(answer.as_deref().and_then(status), Some(200), "{answer:?}");
}

/// Routes under another version and prefix.
fn next_routes(version: u64) -> String {
    ROUTES
        .replace("version: 1", &format!("version: {version}"))
        .replace("/menus/", &format!("/menus{version}/"))
}

fn ask(system: &System, path: &str) -> Option<u16> {
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: menus.example\r\njasmine-request: a1\r\n\
         connection: close\r\n\r\n"
    );
    status(&exchange(system.callers, &request)?)
}

fn wait_in_force(system: &System, path: &str) {
    let begun = Instant::now();
    eventually("the routes", || {
        (ask(system, path) == Some(200)).then_some(())
    });
    let took = begun.elapsed();
    assert!(took < IN_FORCE, "{took:?}");
}

/// Symptom: an outage of the platform is one of the system. Sequence: the outage begins, requests go on, it
/// ends, and an operator's next routes are accepted. Cause guarded against: anything on a request's way that
/// waits for the platform, and a feed that doesn't come back.
fn serves_through(name: &str, kind: Kind) {
    let system = System::start(name, QUICK);
    system.put(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);
    set_fault(system.platform, kind);
    let begun = Instant::now();
    let mut served = 0;
    while begun.elapsed() < OUTAGE {
        assert_eq!(ask(&system, "/menus/x"), Some(200), "after {served}");
        served += 1;
        thread::sleep(Duration::from_millis(20));
    }
    set_fault(system.platform, Kind::None);
    system.put(keys::ROUTES_KEY, &next_routes(2));
    wait_in_force(&system, "/menus2/x");
    assert_eq!(ask(&system, "/menus/x"), Some(404));
}

/// Names a row for each outage.
macro_rules! outages {
    ($($name:ident: $kind:ident;)*) => {
        $(
            #[test]
            fn $name() {
                serves_through(stringify!($name), Kind::$kind);
            }
        )*
    };
}

outages! {
    platform_refuses: Down;
    platform_is_silent: Freeze;
    platform_is_slow: Slow;
    platform_loses_answers: LostAnswer;
    platform_gives_old_answers: Stale;
}

/// Symptom: after a loss of all processes, callers are told that their routes don't exist. Sequence: the
/// processes start while the platform is away. Cause guarded against: knowing no routes taken for there
/// being none.
#[test]
fn started_while_the_platform_is_away() {
    let system = System::start_with("started-away", QUICK, |platform| {
        set_fault(platform, Kind::Down);
    });
    let begun = Instant::now();
    while begun.elapsed() < OUTAGE {
        if let Some(status) = ask(&system, "/menus/x") {
            assert_eq!(status, 503);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let ready = "GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let ready = exchange(system.ready, ready);
    assert_eq!(ready.as_deref().and_then(status), Some(503), "{ready:?}");
    set_fault(system.platform, Kind::None);
    system.put(keys::ROUTES_KEY, ROUTES);
    wait_in_force(&system, "/menus/x");
}

/// Symptom: a process that was paused goes on by what it knew before. Sequence: it is stopped, routes and an
/// evacuation change, it goes on. Cause guarded against: clocks and calls of before the pause taken for
/// current.
#[test]
fn paused_while_routes_and_an_evacuation_change() {
    let system = System::start("paused", QUICK);
    system.put(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);
    let id = Pid::from_raw(system.process_id());
    kill(id, Signal::SIGSTOP).expect("it runs");
    system.put(&keys::evacuated_key("moshi-a"), keys::EVACUATED);
    system.put(keys::ROUTES_KEY, &next_routes(2));
    thread::sleep(OUTAGE);
    kill(id, Signal::SIGCONT).expect("it is stopped");
    wait_in_force(&system, "/menus2/x");
    eventually("the evacuation", || {
        let records = || {
            let upstream = &system.upstreams[0];
            upstream.record().entries.len()
        };
        let before = records();
        for _ in 0..20 {
            assert_eq!(ask(&system, "/menus2/x"), Some(200));
        }
        (records() == before).then_some(())
    });
}
