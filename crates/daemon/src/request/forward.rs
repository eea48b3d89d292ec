//! Proof that a request was forwarded by another entry, of this region or another.
//!
//! An entry takes forwarded work without a ticket and without shifting it on. Callers must not be
//! able to claim that, so the header proves the daemons' key over the hop's id and both ends.

use crate::process::settings::Secret;
use bytestring::ByteString;
use subtle::ConstantTimeEq;

/// Keeps this use of the daemons' key apart from others.
const KEY_CONTEXT: &str = "jasminefield forwarded request v1";

/// Key for proofs of forwarding.
#[derive(Clone)]
pub struct ForwardKey([u8; 32]);

/// What one proof is about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hop<'a> {
    pub(crate) from: &'a str,
    pub(crate) to: &'a str,
    pub(crate) class: &'a str,
    /// Id of the request on this hop.
    pub(crate) request: &'a str,
}

impl ForwardKey {
    /// Derives the key from the daemons' secret.
    pub fn derive(secret: &Secret) -> Self {
        Self(secret.derive(KEY_CONTEXT))
    }

    /// Text of the header: the sender, a colon, the keyed hash.
    pub(crate) fn prove(&self, hop: &Hop<'_>) -> String {
        format!("{}:{}", hop.from, self.mac(hop).to_hex())
    }

    /// Sender of a genuine header; `None` for any other.
    pub(crate) fn verify(
        &self,
        text: &str,
        to: &str,
        class: &str,
        request: &str,
    ) -> Option<ByteString> {
        let (from, mac) = text.rsplit_once(':')?;
        let hop = Hop {
            from,
            to,
            class,
            request,
        };
        let genuine = self.mac(&hop).to_hex();
        let same: bool = genuine.as_bytes().ct_eq(mac.as_bytes()).into();
        same.then(|| from.into())
    }

    fn mac(&self, hop: &Hop<'_>) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in [hop.from, hop.to, hop.class, hop.request] {
            // Lengths keep one field's end from passing as the next one's start.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.finalize()
    }
}
