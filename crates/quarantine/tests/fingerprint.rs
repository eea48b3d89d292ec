//! Tests of request fingerprints.

use quarantine::fingerprint;

macro_rules! differ {
    ($($name:ident: $one:expr, $other:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_ne!(fingerprint(&$one), fingerprint(&$other));
        }
    )*};
}

differ! {
    different_path: [b"GET" as &[u8], b"/a"], [b"GET" as &[u8], b"/b"];
    // Guards against hashing the concatenated parts without their lengths.
    part_boundary: [b"GET/" as &[u8], b"a"], [b"GET" as &[u8], b"/a"];
    empty_part_position: [b"a" as &[u8], b"", b"b"], [b"a" as &[u8], b"b", b""];
}

/// Guards against a per-process hash seed: entries must compute the same fingerprint.
#[test]
fn stable_across_processes() {
    assert_eq!(
        fingerprint(&[b"GET", b"/a", b""]),
        8_599_017_028_752_505_722
    );
}
