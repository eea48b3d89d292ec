//! Properties of reading and printing configurations.

use spec::{
    Config,
    DrainTarget,
    TargetUpdate, //
};
use std::time::Duration;

const EXAMPLES: [(&str, &str); 2] = [
    ("kilima.yaml", include_str!("../../../examples/kilima.yaml")),
    (
        "cascade.yaml",
        include_str!("../../../examples/cascade.yaml"),
    ),
];

fn example(index: usize) -> Config {
    let (file, text) = EXAMPLES[index];
    spec::parse(file, text).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Parses a text; a configuration that is accepted must be valid, and its printed text must parse
/// to an equal configuration.
fn check_round_trip(text: &str) {
    if let Ok(config) = spec::parse("any.yaml", text) {
        assert_eq!(spec::verify(&config), []);
        assert_eq!(
            spec::parse("printed.yaml", &config.to_string()).unwrap(),
            config
        );
    }
}

#[test]
fn examples_round_trip() {
    for (file, text) in EXAMPLES {
        let config = spec::parse(file, text).unwrap_or_else(|findings| panic!("{findings}"));
        let printed = config.to_string();
        assert_eq!(spec::parse(file, &printed).unwrap(), config);
        assert_eq!(spec::diff(&config, &config), []);
    }
}

#[test]
fn any_text_is_accepted_or_rejected() {
    bolero::check!()
        .with_iterations(3_000)
        .with_type::<String>()
        .for_each(|text| check_round_trip(text));
}

#[test]
fn any_damaged_example_is_accepted_or_rejected() {
    // Arbitrary text rarely gets past the scanner. Most of the parser is covered by damaging a
    // valid file: bytes are removed, duplicated and overwritten, and YAML's special characters
    // inserted.
    const SPECIAL_CHARACTERS: &[u8] = b":-{}[]#&*!|>'\"%@`,? \n\t~0a.";
    bolero::check!()
        .with_iterations(1_500)
        .with_type::<(bool, Vec<(u16, u8, u8)>)>()
        .for_each(|(example, edits)| {
            let mut bytes = EXAMPLES[usize::from(*example)].1.as_bytes().to_vec();
            for (position, kind, arg) in edits.iter().take(8) {
                let start = usize::from(*position) % bytes.len();
                let end = (start + usize::from(arg % 64)).min(bytes.len());
                match kind % 4 {
                    0 => bytes.insert(
                        start,
                        SPECIAL_CHARACTERS[usize::from(*arg) % SPECIAL_CHARACTERS.len()],
                    ),
                    1 => {
                        bytes[start] =
                            SPECIAL_CHARACTERS[usize::from(*arg) % SPECIAL_CHARACTERS.len()]
                    }
                    2 if bytes.len() > 128 => drop(bytes.drain(start..end)),
                    _ => {
                        let copy = bytes[start..end].to_vec();
                        bytes.splice(start..start, copy);
                    }
                }
            }
            check_round_trip(&String::from_utf8_lossy(&bytes));
        });
}

#[test]
fn deep_and_wide_texts_are_rejected() {
    for text in [
        "[".repeat(100_000),
        "- ".repeat(100_000),
        "{a: ".repeat(100_000),
        (0..20_000).map(|n| format!("a{n}: 1\n")).collect(),
        "a: 1\n".repeat(20_000),
    ] {
        assert!(spec::parse("deep.yaml", &text).is_err());
    }
}

#[test]
fn edits_appear_in_the_difference_and_can_be_undone() {
    let config = example(0);
    let target: DrainTarget = "failure-domain:moshi/b".parse().unwrap();
    let drained = config.with_drain(&target).unwrap();
    assert!(drained.has_drain(&target));
    assert_eq!(drained.with_drain(&target).unwrap(), drained);
    assert_eq!(drained.without_drain(&target).unwrap(), config);
    let revised = drained
        .with_target(
            "menu",
            &TargetUpdate {
                latency_target: Some(Duration::from_millis(80)),
                success_target_ppm: Some(999_900),
                ..TargetUpdate::default()
            },
        )
        .unwrap();
    let changes: Vec<String> = spec::diff(&config, &revised)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        changes,
        [
            "~ class menu: latency_ms 100 -> 80",
            "~ class menu: success_pct 99.9 -> 99.99",
            "+ drain failure-domain:moshi/b",
        ]
    );
}

#[test]
fn invalid_edits_are_rejected() {
    let config = example(0);
    let violations = |result: Result<Config, Vec<spec::Violation>>| {
        let violations = result.unwrap_err();
        violations
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    let unknown_region = DrainTarget::Region("moshy".into());
    assert_eq!(
        violations(config.with_drain(&unknown_region)),
        ["drains[0]: unknown region `moshy`, did you mean `moshi`?"]
    );
    let target = TargetUpdate {
        latency_target: Some(Duration::from_secs(4)),
        ..TargetUpdate::default()
    };
    assert_eq!(
        violations(config.with_target("menu", &target)),
        [
            "classes[1].deadline_ms: the deadline of 3000 ms is before the latency target of \
             4000 ms"
        ]
    );
    assert_eq!(
        violations(config.with_target("menus", &target)),
        ["classes: unknown class `menus`, did you mean `menu`?"]
    );
}

#[test]
fn drain_targets_round_trip_through_text() {
    for text in ["upstream:menu-3", "failure-domain:moshi/b", "region:dar"] {
        let target: DrainTarget = text.parse().unwrap();
        assert_eq!(target.to_string(), text);
    }
    for text in [
        "",
        "region:",
        "region",
        "failure-domain:b",
        "zone:dar",
        "failure-domain:moshi/",
    ] {
        assert!(text.parse::<DrainTarget>().is_err(), "{text}");
    }
}
