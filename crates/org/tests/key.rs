//! Keys in `Authorization` headers.

use org::{
    credentials,
    is_of_scheme,
    Credentials,
    KeyDigest, //
};

/// Each case gives the values of the headers and the expected credentials.
macro_rules! read {
    ($($name:ident: $values:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let values: &[&[u8]] = &$values;
            assert_eq!(credentials(values.iter().copied(), "Token"), $expected);
        }
    )*};
}

fn key(key: &str) -> Credentials {
    Credentials::Key(KeyDigest::of(key.as_bytes()))
}

read! {
    no_header: [] => Credentials::Missing;
    key_after_the_scheme: [b"Token k1"] => key("k1");
    scheme_in_another_case: [b"tOKEN k1"] => key("k1");
    spaces_around_the_key: [b" Token   k1 "] => key("k1");
    two_headers: [b"Token k1", b"Token k1"] => Credentials::Malformed;
    another_scheme: [b"Basic k1"] => Credentials::Malformed;
    longer_scheme: [b"Tokens k1"] => Credentials::Malformed;
    no_key: [b"Token "] => Credentials::Malformed;
    no_space: [b"Tokenk1"] => Credentials::Malformed;
    two_keys: [b"Token k1 k2"] => Credentials::Malformed;
    key_that_is_not_text: [b"Token \xff\xfe"] => Credentials::Malformed;
    empty_value: [b""] => Credentials::Malformed;
}

/// Guards against a key that is passed on because its header is not in the expected form.
#[test]
fn scheme_is_recognised_in_any_form() {
    for value in [&b"Token k1"[..], b" token k1", b"Token", b"TOKEN\tk1 k2"] {
        assert!(is_of_scheme(value, "Token"), "{value:?}");
    }
    assert!(!is_of_scheme(b"Basic k1", "Token"));
}

#[test]
fn digest_has_a_textual_form() {
    let digest = KeyDigest::of(b"k1");
    assert_eq!(KeyDigest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(KeyDigest::from_hex("k1"), None);
    assert_ne!(digest, KeyDigest::of(b"k2"));
    let json = serde_json::to_string(&digest).expect("a digest is serializable");
    assert_eq!(serde_json::from_str::<KeyDigest>(&json).ok(), Some(digest));
}

/// Guards against keys and digests in logs and error messages.
#[test]
fn digest_is_not_printed() {
    let digest = KeyDigest::of(b"k1");
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
    let error = serde_json::from_str::<KeyDigest>("\"secret\"").expect_err("not a digest");
    assert!(!error.to_string().contains("secret"), "{error}");
}
