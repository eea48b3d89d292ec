//! Affinity keys that an upstream served recently.

use base::{
    FastMap,
    Now, //
};
use std::time::Duration;

/// Maximum number of keys stored per upstream. An upstream itself caches some dozens to a hundred keys; storing more
/// here would treat keys as warm that it has long evicted.
const KEYS_MAX: usize = 128;
/// Time for which a key counts as warm after its last request.
const WARM_TIME: Duration = Duration::from_secs(60);

/// Affinity keys that are warm at one upstream, with the time of each key's last request.
#[derive(Clone, Debug, Default)]
pub struct WarmKeys {
    last_requests: FastMap<u64, Now>,
}

impl WarmKeys {
    /// Records a request with this key. If the storage is full, the least recently used key is evicted.
    pub fn note(&mut self, key: u64, now: Now) {
        if self.last_requests.len() >= KEYS_MAX && !self.last_requests.contains_key(&key) {
            let oldest = self.last_requests.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.last_requests.remove(&oldest);
            }
        }
        self.last_requests.insert(key, now);
    }

    /// Removes a key, for example because the upstream has rejected the only request with it.
    pub fn remove(&mut self, key: u64) {
        self.last_requests.remove(&key);
    }

    /// Returns all stored keys, including those that are no longer warm.
    pub fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.last_requests.keys().copied()
    }

    /// Returns whether a key is warm.
    pub fn is_warm(&self, key: u64, now: Now) -> bool {
        let last = self.last_requests.get(&key);
        last.is_some_and(|at| now.saturating_sub(*at) < WARM_TIME)
    }
}
