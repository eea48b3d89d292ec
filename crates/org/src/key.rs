//! Keys of organisations.

use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;

/// Digest of a key.
///
/// Keys have to be found by equality, and a comparison of keys would take longer the more of a guess is right. The time
/// to compare digests tells nothing about the keys.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; 32]);

/// Error for text that isn't a digest. It doesn't repeat the text, which may be a key that was entered by mistake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidDigest;

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a digest of 64 hexadecimal digits")
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        Self::from_hex(&text).ok_or(InvalidDigest)
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_hex()
    }
}

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Parses a digest from 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }

    /// Returns the digest as hexadecimal digits.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest, since a weak key could be guessed from it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a request's `Authorization` headers contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credentials {
    /// There is no such header.
    Missing,
    /// One header with a key in the expected form.
    Key(KeyDigest),
    /// A header of another form, or several headers.
    Malformed,
}

/// Extracts the key from the values of a request's `Authorization` headers, which have the form `SCHEME KEY`. The case
/// of the scheme is ignored.
pub fn credentials<'a>(mut values: impl Iterator<Item = &'a [u8]>, scheme: &str) -> Credentials {
    let Some(value) = values.next() else {
        return Credentials::Missing;
    };
    if values.next().is_some() {
        return Credentials::Malformed;
    }
    match key(value, scheme) {
        Some(key) => Credentials::Key(KeyDigest::of(key)),
        None => Credentials::Malformed,
    }
}

/// Returns whether an `Authorization` header's value is of a scheme, whatever follows it.
pub fn is_of_scheme(value: &[u8], scheme: &str) -> bool {
    let found = value.trim_ascii_start().get(..scheme.len());
    found.is_some_and(|found| found.eq_ignore_ascii_case(scheme.as_bytes()))
}

/// Returns the key in a header's value.
fn key<'a>(value: &'a [u8], scheme: &str) -> Option<&'a [u8]> {
    if !is_of_scheme(value, scheme) {
        return None;
    }
    let rest = value.trim_ascii().get(scheme.len()..)?;
    let key = rest.trim_ascii_start();
    let is_valid =
        key.len() < rest.len() && !key.is_empty() && key.iter().all(u8::is_ascii_graphic);
    is_valid.then_some(key)
}
