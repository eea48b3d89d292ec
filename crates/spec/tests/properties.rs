//! Properties of reading and printing configurations.

use spec::{
    Config,
    DrainTarget,
    Target, //
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

/// Reads a text; if it is taken it must print to what reads back the same and holds.
fn take(text: &str) {
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
fn any_text_is_read_or_refused() {
    bolero::check!()
        .with_iterations(3_000)
        .with_type::<String>()
        .for_each(|text| take(text));
}

#[test]
fn any_change_of_an_example_is_read_or_refused() {
    // Text out of the blue hardly gets past the scanner, so most of the reader is reached by
    // damage to a file that is whole: pieces cut, doubled, moved, and marks of YAML put in.
    const MARKS: &[u8] = b":-{}[]#&*!|>'\"%@`,? \n\t~0a.";
    bolero::check!()
        .with_iterations(1_500)
        .with_type::<(bool, Vec<(u16, u8, u8)>)>()
        .for_each(|(which, edits)| {
            let mut bytes = EXAMPLES[usize::from(*which)].1.as_bytes().to_vec();
            for (at, kind, arg) in edits.iter().take(8) {
                let at = usize::from(*at) % bytes.len();
                let end = (at + usize::from(arg % 64)).min(bytes.len());
                match kind % 4 {
                    0 => bytes.insert(at, MARKS[usize::from(*arg) % MARKS.len()]),
                    1 => bytes[at] = MARKS[usize::from(*arg) % MARKS.len()],
                    2 if bytes.len() > 128 => drop(bytes.drain(at..end)),
                    _ => {
                        let copy = bytes[at..end].to_vec();
                        bytes.splice(at..at, copy);
                    }
                }
            }
            take(&String::from_utf8_lossy(&bytes));
        });
}

#[test]
fn deep_and_wide_texts_are_refused_without_harm() {
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
fn edits_show_in_the_difference_and_undo_each_other() {
    let config = example(0);
    let target: DrainTarget = "failure-domain:moshi/b".parse().unwrap();
    let drained = config.with_drain(&target).unwrap();
    assert!(drained.has_drain(&target));
    assert_eq!(drained.with_drain(&target).unwrap(), drained);
    assert_eq!(drained.without_drain(&target).unwrap(), config);
    let revised = drained
        .with_target(
            "menu",
            &Target {
                latency_target: Some(Duration::from_millis(80)),
                success_target_ppm: Some(999_900),
                ..Target::default()
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
fn edits_that_do_not_hold_are_refused() {
    let config = example(0);
    let faults = |result: Result<Config, Vec<spec::Fault>>| {
        let faults = result.unwrap_err();
        faults.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let unknown = DrainTarget::Region("moshy".into());
    assert_eq!(
        faults(config.with_drain(&unknown)),
        ["drains[0]: unknown region `moshy`, did you mean `moshi`?"]
    );
    let late = Target {
        latency_target: Some(Duration::from_secs(4)),
        ..Target::default()
    };
    assert_eq!(
        faults(config.with_target("menu", &late)),
        [
            "classes[1].deadline_ms: the deadline of 3000 ms is before the latency target of \
             4000 ms"
        ]
    );
    assert_eq!(
        faults(config.with_target("menus", &late)),
        ["classes: unknown class `menus`, did you mean `menu`?"]
    );
}

#[test]
fn drain_targets_read_back_from_text() {
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
