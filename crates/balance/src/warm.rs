//! Which affinity keys an upstream had lately.

use base::{
    FastMap,
    Now, //
};
use std::time::Duration;

/// Keys remembered for each upstream. An upstream remembers some dozens to a hundred itself; more
/// here would take a key for warm that it has dropped long since.
const KEYS: usize = 128;
/// How long a key counts as had lately.
const LATELY: Duration = Duration::from_secs(60);

/// Keys that this entry's requests had at one upstream.
#[derive(Clone, Debug, Default)]
pub struct WarmKeys {
    last: FastMap<u64, Now>,
}

impl WarmKeys {
    /// Notes that the upstream answered a request with this key.
    pub fn note(&mut self, key: u64, now: Now) {
        if self.last.len() >= KEYS && !self.last.contains_key(&key) {
            let oldest = self.last.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.last.remove(&oldest);
            }
        }
        self.last.insert(key, now);
    }

    /// All keys that it had.
    pub fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.last.keys().copied()
    }

    /// Whether it had the key lately.
    pub fn has(&self, key: u64, now: Now) -> bool {
        let last = self.last.get(&key);
        last.is_some_and(|at| now.saturating_sub(*at) < LATELY)
    }
}
