//! Tests of parsing settings: all findings are reported at once, each with its position.

use daemon::Settings;

const VALID: &str = "\
instance: arusha-1
region: arusha
failure_domain: a
callers_addr: 127.0.0.1:7000
peers_addr: 127.0.0.1:7001
operator_addr: 127.0.0.1:7002
platform_url: http://127.0.0.1:7003
peer_key: a key of twenty bytes
";

fn findings(text: &str) -> String {
    match Settings::parse("d.yaml", text) {
        Ok(_) => String::new(),
        Err(findings) => findings.to_string(),
    }
}

macro_rules! cases {
    ($($name:ident: $change:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let change: fn(String) -> String = $change;
            assert_eq!(findings(&change(VALID.to_owned())), $expected);
        }
    )*};
}

cases! {
    valid: |text| text => "";
    optional_fields: |text| text + "traffic_threads: 4\npolicy: ours\nlog_level: warn\n\
        dial:\n  - {listed: 127.0.0.1:1, dial: 127.0.0.1:2}\nterms:\n  lease_ms: 8000\n" => "";
    empty: |_| String::from("{}") => "\
        d.yaml:1:1: missing field `callers_addr`\n\
        d.yaml:1:1: missing field `failure_domain`\n\
        d.yaml:1:1: missing field `instance`\n\
        d.yaml:1:1: missing field `operator_addr`\n\
        d.yaml:1:1: missing field `peer_key`\n\
        d.yaml:1:1: missing field `peers_addr`\n\
        d.yaml:1:1: missing field `platform_url`\n\
        d.yaml:1:1: missing field `region`";
    unknown_field: |text| text + "polcy: ours\n" =>
        "d.yaml:9:1: unknown field `polcy`, did you mean `policy`?";
    repeated_field: |text| text + "region: moshi\n" =>
        "d.yaml:9:1: duplicate field `region`, first on line 2";
    invalid_addresses: |text| text.replace("127.0.0.1:7000", "here").replace("http:", "https:") => "\
        d.yaml:4:15: `callers_addr` must be an address such as 127.0.0.1:7000, found `here`\n\
        d.yaml:7:15: `platform_url` must be `http://` and an address such as 127.0.0.1:7000";
    short_key: |text| text.replace("a key of twenty bytes", "secret") =>
        "d.yaml:8:11: `peer_key` must have at least 16 bytes";
    public_operators_port_without_a_key: |text| text.replace("127.0.0.1:7002", "0.0.0.0:7002") =>
        "d.yaml:6:16: `operator_addr` is not loopback, which needs `operator_key`";
    public_operators_port_with_a_key: |text| {
        text.replace("127.0.0.1:7002", "0.0.0.0:7002") + "operator_key: another key of ours\n"
    } => "";
    inconsistent_terms: |text| {
        text + "terms:\n  lease_ms: 2000\n  lease_renew_ms: 1500\n  beat_ms: 5\n  lease_floor_ms: 1000\n"
    } => "\
        d.yaml:10:3: `lease_floor_ms` must not be shorter than `lease_ms`\n\
        d.yaml:10:3: `lease_renew_ms` must be at most half of `lease_ms`, or one lost renewal lapses\n\
        d.yaml:12:12: `beat_ms` must be between 10 and 600000 ms, found 5";
    syntax: |text| text + "dial: [" => "d.yaml:10:1: syntax: while parsing a node, did not find expected node content";
}

/// Guards against a derived `Debug`, which would print keys into logs and errors.
#[test]
fn debug_output_hides_keys() {
    let settings = Settings::parse("d.yaml", VALID).expect("the settings are valid");
    assert!(!format!("{settings:?}").contains("twenty"));
}

/// Any text parses to settings or findings without a panic.
#[test]
fn any_text_parses_without_a_panic() {
    bolero::check!()
        .with_iterations(2_000)
        .for_each(|bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes);
            let _ = Settings::parse("d.yaml", &text);
        });
}
