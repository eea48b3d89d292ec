//! Secret key shared by all daemons of one deployment.

use std::fmt;
use subtle::ConstantTimeEq;

/// BLAKE3 derivation context for keys derived from a setting's text.
const DERIVE_CONTEXT: &str = "jasminefield peer sessions shared key v1";

/// Length of a keyed hash, in bytes.
pub const MAC_BYTES: usize = blake3::OUT_LEN;

/// Shared key; `Debug` does not print it.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives a key from a setting's text, which may be of any length.
    pub fn from_text(text: &str) -> Self {
        Self(blake3::derive_key(DERIVE_CONTEXT, text.as_bytes()))
    }

    /// Keyed hash of `message`.
    pub fn mac(&self, message: &[u8]) -> [u8; MAC_BYTES] {
        *blake3::keyed_hash(&self.0, message).as_bytes()
    }

    /// Whether `mac` is the keyed hash of `message`; compares in constant time.
    pub(crate) fn verify(&self, message: &[u8], mac: &[u8]) -> bool {
        self.mac(message).ct_eq(mac).into()
    }
}

/// Whether two secrets are the same; compares in constant time.
pub fn is_same_secret(a: &[u8], b: &[u8]) -> bool {
    a.ct_eq(b).into()
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
