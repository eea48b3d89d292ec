//! The whole path with the real program: a stand-in platform, two upstreams, one `jasmine-router`.

mod support;

use route::keys;
use std::{
    fs,
    process::Command,
    thread, //
};
use support::{
    eventually,
    exchange,
    status,
    System,
    LOOK,
    ROUTES, //
};

/// Upstreams that answer at once.
const QUICK: &str = "slots=4,service_ms=5";

#[test]
fn routes_and_evacuations_of_the_table_are_in_force() {
    let system = System::start("whole-path", QUICK);
    let not_ready = "GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    eventually("it runs without routes", || {
        let answer = exchange(system.ready, not_ready)?;
        (status(&answer) == Some(503)).then_some(())
    });
    // Without routes nothing is known to be missing.
    assert_eq!(system.ask("1").map(|(status, _)| status), Some(503));

    system.put(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);

    let evacuated = keys::evacuated_key("moshi-a");
    system.put(&evacuated, keys::EVACUATED);
    system.wait_served_by(&["m-b"]);
    system.put(&evacuated, keys::NOT_EVACUATED);
    system.wait_served_by(&["m-a", "m-b"]);

    // A version with findings leaves the one before in force.
    system.put(keys::ROUTES_KEY, "version: 2\n");
    thread::sleep(LOOK * 10);
    system.wait_served_by(&["m-a", "m-b"]);
    assert!(system
        .upstreams
        .iter()
        .all(|u| !u.record().entries.is_empty()));
}

#[test]
fn checked_settings_are_said_to_be_good() {
    let system = System::start("check", QUICK);
    let checked = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&system.settings)
        .arg("--check-settings")
        .output()
        .expect("it runs");
    assert!(checked.status.success(), "{checked:?}");
    fs::write(&system.settings, "instance: [\n").expect("writable");
    let checked = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&system.settings)
        .output()
        .expect("it runs");
    assert_eq!(checked.status.code(), Some(2), "{checked:?}");
    assert!(
        String::from_utf8_lossy(&checked.stderr).contains(".yaml:"),
        "{checked:?}"
    );
}

/// Every metric that is served is in the table that the page is made from, and says what it is.
#[test]
fn served_metrics_are_declared() {
    let system = System::start("metrics", QUICK);
    system.put(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);
    let ask = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let page = exchange(system.metrics, ask).expect("a page");
    let (_, page) = page.split_once("\r\n\r\n").expect("a body");
    let served = page
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    let mut seen = 0;
    for line in served {
        let name = line.split(['{', ' ']).next().expect("a name");
        let ends = ["_bucket", "_sum", "_count"];
        let base = ends.iter().find_map(|end| name.strip_suffix(end));
        let declared = entry::METRICS
            .iter()
            .find(|metric| metric.name == name || Some(metric.name) == base);
        let declared = declared.unwrap_or_else(|| panic!("{name} is in no table"));
        let help = format!("# HELP {} {}", declared.name, declared.help);
        assert!(page.contains(&help), "{help} in {page}");
        seen += 1;
    }
    assert!(seen > 10, "{page}");
    let bucket = "jasmine_entry_request_seconds_bucket{outcome=\"answered\",le=\"0.5\"}";
    assert!(page.contains(bucket), "{page}");
}
