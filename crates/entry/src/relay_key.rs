//! Key by which entries authenticate the requests that they relay to each other.

use base::InstanceId;
use peer::Key;
use std::sync::OnceLock;

/// Purpose that a token is derived for, so that it proves nothing on a session.
const PURPOSE: &str = "relayed requests to ";

/// The entries' shared key, once control has read it from the store.
#[derive(Debug, Default)]
pub(crate) struct SharedRelayKey(OnceLock<Key>);

impl SharedRelayKey {
    /// Sets the key; the first one stays.
    pub(crate) fn set(&self, key: &Key) {
        // The key never changes while the process runs.
        let _ = self.0.set(key.clone());
    }

    /// Returns the token of requests that are relayed to an entry; `None` before the key is known.
    pub(crate) fn token(&self, to: &InstanceId) -> Option<String> {
        let mac = self.0.get()?.mac(format!("{PURPOSE}{to}").as_bytes());
        Some(mac.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Returns whether `token` is that of requests that are relayed to this entry.
    pub(crate) fn verify(&self, own: &InstanceId, token: &[u8]) -> bool {
        let expected = self.token(own);
        expected.is_some_and(|expected| peer::is_same_secret(expected.as_bytes(), token))
    }
}
