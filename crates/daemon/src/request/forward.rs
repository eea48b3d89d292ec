//! Authentication of requests that another entry forwarded, of this region or another.
//!
//! An entry accepts forwarded work without a ticket and never shifts it again. Callers must not be
//! able to forge that, so the header carries a MAC under the daemons' key over the request id, the
//! class, and both entries.

use crate::process::settings::Secret;
use bytestring::ByteString;
use subtle::ConstantTimeEq;

/// Separates this use of the daemons' key from others.
const KEY_CONTEXT: &str = "jasminefield forwarded request v1";

/// Key that authenticates forwarded requests.
#[derive(Clone)]
pub struct ForwardKey([u8; 32]);

/// One forwarding of a request, as covered by the MAC.
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

    /// Value of the header: the sender, a colon, the MAC in hexadecimal.
    pub(crate) fn sign(&self, hop: &Hop<'_>) -> String {
        format!("{}:{}", hop.from, self.mac(hop).to_hex())
    }

    /// Sender named by an authentic header; `None` for any other.
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
        let expected = self.mac(&hop).to_hex();
        let is_valid: bool = expected.as_bytes().ct_eq(mac.as_bytes()).into();
        is_valid.then(|| from.into())
    }

    fn mac(&self, hop: &Hop<'_>) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in [hop.from, hop.to, hop.class, hop.request] {
            // The length prefix keeps bytes from moving between adjacent fields.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.finalize()
    }
}
