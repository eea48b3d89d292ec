//! Outages of the platform of each kind, and processes that are paused or started during one.
//!
//! Each test runs the real program. It must keep serving with the configuration that it knows for as long
//! as the outage lasts, and apply later changes soon after the end.

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
    FaultKind, //
    Faults,
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

/// Specification of upstreams that respond at once.
const FAST_UPSTREAMS: &str = "slots=8,service_ms=5";
/// Duration of an outage or a pause; longer than the deadline of calls to the platform.
const OUTAGE_DURATION: Duration = Duration::from_millis(3_000);
/// Time after an outage within which changes must be in force: the deadline of one failed call, the longest
/// pause after it and one poll, doubled for a busy machine.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Sets a fault for all calls to the table and the list.
fn set_fault(platform_addr: SocketAddr, kind: FaultKind) {
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
    let response = exchange(platform_addr, &request);
    assert_eq!(
        response.as_deref().and_then(status),
        Some(200),
        "{response:?}"
    );
}

/// The routes with another version and prefix.
fn next_routes(version: u64) -> String {
    ROUTES
        .replace("version: 1", &format!("version: {version}"))
        .replace("/menus/", &format!("/menus{version}/"))
}

/// Sends a request, and returns the status of its response.
fn get_status(system: &System, path: &str) -> Option<u16> {
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: menus.example\r\njasmine-request: a1\r\n\
         connection: close\r\n\r\n"
    );
    status(&exchange(system.callers_addr, &request)?)
}

/// Waits until a path is served, within [`RECOVERY_TIME`].
fn wait_until_served(system: &System, path: &str) {
    let start = Instant::now();
    eventually("routes in force", || {
        (get_status(system, path) == Some(200)).then_some(())
    });
    let elapsed = start.elapsed();
    assert!(elapsed < RECOVERY_TIME, "{elapsed:?}");
}

/// Guards against request handling that waits for the platform, and against a change feed that doesn't recover.
/// Requests go on during an outage; after its end, an operator's next version of the routes is accepted.
fn serves_during_outage(name: &str, kind: FaultKind) {
    let system = System::start(name, FAST_UPSTREAMS);
    system.write_row(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);
    set_fault(system.platform_addr, kind);
    let start = Instant::now();
    let mut served = 0;
    while start.elapsed() < OUTAGE_DURATION {
        assert_eq!(get_status(&system, "/menus/x"), Some(200), "after {served}");
        served += 1;
        thread::sleep(Duration::from_millis(20));
    }
    set_fault(system.platform_addr, FaultKind::None);
    system.write_row(keys::ROUTES_KEY, &next_routes(2));
    wait_until_served(&system, "/menus2/x");
    assert_eq!(get_status(&system, "/menus/x"), Some(404));
}

/// Defines a test for each kind of outage.
macro_rules! outages {
    ($($name:ident: $kind:ident;)*) => {
        $(
            #[test]
            fn $name() {
                serves_during_outage(stringify!($name), FaultKind::$kind);
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

/// Guards against treating unknown routes as missing ones. After a loss of all processes, entries start while
/// the platform is unavailable; callers must not get the response that their routes don't exist.
#[test]
fn started_while_the_platform_is_away() {
    let system = System::start_with("started-away", FAST_UPSTREAMS, |platform_addr| {
        set_fault(platform_addr, FaultKind::Down);
    });
    let start = Instant::now();
    while start.elapsed() < OUTAGE_DURATION {
        if let Some(status) = get_status(&system, "/menus/x") {
            assert_eq!(status, 503);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let readiness = "GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let readiness = exchange(system.ready_addr, readiness);
    assert_eq!(
        readiness.as_deref().and_then(status),
        Some(503),
        "{readiness:?}"
    );
    set_fault(system.platform_addr, FaultKind::None);
    system.write_row(keys::ROUTES_KEY, ROUTES);
    wait_until_served(&system, "/menus/x");
}

/// Guards against a paused process that goes on with outdated configuration, because it takes clocks and calls
/// from before the pause for current. Routes and an evacuation change while the process is stopped.
#[test]
fn paused_while_routes_and_an_evacuation_change() {
    let system = System::start("paused", FAST_UPSTREAMS);
    system.write_row(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);
    let pid = Pid::from_raw(system.process_id());
    kill(pid, Signal::SIGSTOP).expect("the process runs");
    system.write_row(&keys::evacuated_key("moshi-a"), keys::EVACUATED);
    system.write_row(keys::ROUTES_KEY, &next_routes(2));
    thread::sleep(OUTAGE_DURATION);
    kill(pid, Signal::SIGCONT).expect("the process is stopped");
    wait_until_served(&system, "/menus2/x");
    eventually("the evacuation", || {
        let request_count = || {
            let upstream = &system.upstreams[0];
            upstream.record().entries.len()
        };
        let before = request_count();
        for _ in 0..20 {
            assert_eq!(get_status(&system, "/menus2/x"), Some(200));
        }
        (request_count() == before).then_some(())
    });
}
