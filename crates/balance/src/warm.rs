//! Which affinity keys an upstream had lately.

use base::{
    FastMap,
    Now, //
};
use std::time::Duration;

/// Most keys remembered for each upstream, some more than any remembers itself; how many of them count is learned by
/// [`crate::Memory`].
pub(crate) const KEYS: usize = 128;
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

    /// How many other keys it had since it had this one, if it had it lately.
    pub fn since(&self, key: u64, now: Now) -> Option<usize> {
        let last = *self.last.get(&key)?;
        let lately = now.saturating_sub(last) < LATELY;
        lately.then(|| self.last.values().filter(|at| **at > last).count())
    }
}
