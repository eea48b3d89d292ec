//! Each case has a configuration file and the complete, ordered list of findings that it must give.

use std::{
    collections::BTreeSet,
    fs,
    path::PathBuf, //
};

fn path(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("tests/cases").join(name)
}

fn check(name: &str) {
    let file = format!("{name}.yaml");
    let text = fs::read_to_string(path(&file)).unwrap();
    let findings = spec::parse(&file, &text).expect_err("the case has findings");
    let expected = fs::read_to_string(path(&format!("{name}.findings"))).unwrap();
    assert_eq!(findings.to_string(), expected.trim_end(), "{name}");
}

/// Defines a test for each case, and a test that fails if a case file isn't listed.
macro_rules! cases {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                check(stringify!($name));
            }
        )*

        #[test]
        fn every_case_file_is_listed() {
            let listed: BTreeSet<String> = [$(stringify!($name).to_owned()),*].into();
            let files = fs::read_dir(path("")).unwrap().map(|entry| entry.unwrap().path());
            let yaml = files.filter(|path| path.extension().is_some_and(|e| e == "yaml"));
            let present = yaml.map(|path| path.file_stem().unwrap().to_str().unwrap().to_owned());
            assert_eq!(present.collect::<BTreeSet<_>>(), listed);
        }
    };
}

cases! {
    anchors
    duplicates
    empty
    missing_fields
    names
    not_a_mapping
    ranges
    references
    shapes
    syntax
    two_documents
    units
    unknown_fields
    unreadable_names
}
