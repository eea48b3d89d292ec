//! Settings of `jasmine-router`: the fields with their defaults, and the findings.

use router::Settings;
use std::time::Duration;

/// Settings with the required fields only.
const MINIMAL: &str = "\
instance: moshi-1
region: moshi
failure_domain: moshi-a
callers_addr: 127.0.0.1:7000
lookup_addr: 127.0.0.1:7001
ready_addr: 127.0.0.1:7002
peers_addr: 127.0.0.1:7003
metrics_addr: 127.0.0.1:7004
platform_url: http://127.0.0.1:7005
";

#[test]
fn omitted_fields_have_their_defaults() {
    let settings = Settings::parse("s.yaml", MINIMAL).expect("good settings");
    assert_eq!(&*settings.entry.instance, "moshi-1");
    assert_eq!(settings.platform_timeout, Duration::from_secs(2));
    assert_eq!(settings.poll_interval, Duration::from_millis(500));
    assert_eq!(settings.entry.max_sockets, 1000);
    assert_eq!(settings.entry.relay_addr, None);
    assert_eq!(settings.entry.memory_bytes, None);
    assert_eq!(settings.entry.bounds, entry::Bounds::default());
}

#[test]
fn port_for_relayed_requests_is_read() {
    let text = format!("{MINIMAL}relay_addr: 127.0.0.1:7006\n");
    let settings = Settings::parse("s.yaml", &text).expect("good settings");
    let addr = settings.entry.relay_addr.map(|addr| addr.to_string());
    assert_eq!(addr.as_deref(), Some("127.0.0.1:7006"));
}

#[test]
fn memory_is_read_in_megabytes() {
    let text = format!("{MINIMAL}memory_mb: 256\n");
    let settings = Settings::parse("s.yaml", &text).expect("good settings");
    assert_eq!(settings.entry.memory_bytes, Some(256_000_000));
    let findings = Settings::parse("s.yaml", &format!("{MINIMAL}memory_mb: 1\n"));
    let findings = findings.expect_err("too little memory").to_string();
    assert!(findings.contains("`memory_mb`"), "{findings}");
}

#[test]
fn bounds_are_read_in_their_units() {
    let text = format!(
        "{MINIMAL}bounds: {{grace_ms: 4000, change_within_ms: 3000, retry_pct: 20, cold_pct: 150, cold_slack: 5, \
         shift_pct: 12.5, lookup_ttl_ms: 1500}}\n"
    );
    let bounds = Settings::parse("s.yaml", &text)
        .expect("good settings")
        .entry
        .bounds;
    assert_eq!(bounds.grace, Duration::from_secs(4));
    assert_eq!(bounds.change_within, Duration::from_secs(3));
    assert_eq!(bounds.retry_ratio, 0.2);
    assert_eq!(bounds.cold_factor, 1.5);
    assert_eq!(bounds.cold_slack, 5.0);
    assert_eq!(bounds.shift_max, 0.125);
    assert_eq!(bounds.lookup_ttl_max, Duration::from_millis(1500));
}

/// Guards against a check that stops at the first finding. The file lacks a field, and has a bad address, a bad
/// URL, an unknown field and a value out of range; all of them are reported at once.
#[test]
fn all_findings_are_reported_with_their_positions() {
    let text = MINIMAL
        .replace("region: moshi\n", "")
        .replace("127.0.0.1:7002", "here")
        .replace("http://127.0.0.1:7005", "https://platform")
        + "max_sockets: 3\nlook: 20\n";
    let findings = Settings::parse("s.yaml", &text)
        .expect_err("bad settings")
        .to_string();
    for expected in [
        "s.yaml:1:1: missing field `region`",
        "s.yaml:5:13: `ready_addr`",
        "s.yaml:8:15: `platform_url`",
        "s.yaml:9:14: `max_sockets`",
        "unknown field `look`",
    ] {
        assert!(findings.contains(expected), "{expected} in\n{findings}");
    }
}

#[test]
fn the_example_has_no_findings() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/router.yaml");
    let text = std::fs::read_to_string(path).expect("the example");
    Settings::parse("router.yaml", &text).expect("good settings");
}
