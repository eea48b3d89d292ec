//! The real `jasmine-router` with a stand-in platform and two upstreams.

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
    POLL_INTERVAL,
    ROUTES, //
};

/// Specification of upstreams that respond at once.
const FAST_UPSTREAMS: &str = "slots=4,service_ms=5";

#[test]
fn routes_and_evacuations_of_the_table_are_in_force() {
    let system = System::start("whole-path", FAST_UPSTREAMS);
    let readiness = "GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    eventually("the entry runs without routes", || {
        let response = exchange(system.ready_addr, readiness)?;
        (status(&response) == Some(503)).then_some(())
    });
    // Without routes, the entry can't know that a route is missing, so the status is not 404.
    assert_eq!(
        system.send_request("1").map(|(status, _)| status),
        Some(503)
    );

    system.write_row(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);

    let evacuated = keys::evacuated_key("moshi-a");
    system.write_row(&evacuated, keys::EVACUATED);
    system.wait_served_by(&["m-b"]);
    system.write_row(&evacuated, keys::NOT_EVACUATED);
    system.wait_served_by(&["m-a", "m-b"]);

    // A version with findings is not applied; the previous one stays in force.
    system.write_row(keys::ROUTES_KEY, "version: 2\n");
    thread::sleep(POLL_INTERVAL * 10);
    system.wait_served_by(&["m-a", "m-b"]);
    assert!(system
        .upstreams
        .iter()
        .all(|upstream| !upstream.record().entries.is_empty()));
}

#[test]
fn settings_are_checked() {
    let system = System::start("check", FAST_UPSTREAMS);
    let output = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&system.settings)
        .arg("--check-settings")
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{output:?}");
    fs::write(&system.settings, "instance: [\n").expect("writable");
    let output = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&system.settings)
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(
        String::from_utf8_lossy(&output.stderr).contains(".yaml:"),
        "{output:?}"
    );
}

/// Each served metric is in the table from which the metrics page is made, and has its help text.
#[test]
fn served_metrics_are_declared() {
    let system = System::start("metrics", FAST_UPSTREAMS);
    system.write_row(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);
    let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let page = exchange(system.metrics_addr, request).expect("a page");
    let (_, page) = page.split_once("\r\n\r\n").expect("a body");
    let samples = page
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    let mut metric_count = 0;
    for line in samples {
        let name = line.split(['{', ' ']).next().expect("a name");
        let suffixes = ["_bucket", "_sum", "_count"];
        let base_name = suffixes.iter().find_map(|suffix| name.strip_suffix(suffix));
        let declared = entry::METRICS
            .iter()
            .find(|metric| metric.name == name || Some(metric.name) == base_name);
        let declared = declared.unwrap_or_else(|| panic!("{name} is not declared"));
        let help = format!("# HELP {} {}", declared.name, declared.help);
        assert!(page.contains(&help), "{help} in {page}");
        metric_count += 1;
    }
    assert!(metric_count > 10, "{page}");
    let bucket = "jasmine_entry_request_seconds_bucket{outcome=\"answered\",le=\"0.5\"}";
    assert!(page.contains(bucket), "{page}");
}
