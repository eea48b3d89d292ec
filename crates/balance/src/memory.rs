//! How many affinity keys an upstream remembers.
//!
//! Upstreams don't say it, and it differs between services from some keys to more than any entry uses. An answer that
//! took cold work though its key was thought warm shows that the upstream had forgotten the key; how many other
//! keys it had since, as far as this entry knows, is then too many.
//!
//! What goes wrong without it: with more keys than an upstream remembers, most of what counts as warm is cold, requests
//! go to wherever their key was once, and each of them drives out another key. One would notice late answers that
//! were expected in time. Here such keys count as unknown, and go back to their few homes.

use crate::warm::KEYS;

/// Part by which the estimate falls with each answer that shows it to be too high.
const DOWN: f64 = 0.05;
/// Part by which it grows with an answer that was warm near it.
const UP: f64 = 0.01;
/// Part of the estimate below which keys came lately: how many of their answers are slow for other reasons, such
/// as an upstream that is slow altogether.
const LATELY: f64 = 0.25;
/// Part of the estimate from which on answers tell of the memory.
const LONG_AGO: f64 = 0.5;
/// Weight of the latest answer in the means of both: some twenty count.
const WEIGHT: f64 = 0.05;
/// Part of cold answers of keys of long ago, beyond that of late ones, that shows the estimate to be too high.
const EXCESS: f64 = 0.2;
/// Least keys; any upstream remembers those of the last few requests.
const KEYS_MIN: f64 = 2.0;

/// Keys that the upstreams of one service remember, as far as their answers show.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    keys: f64,
    /// Part of the answers of keys that came lately that were cold.
    cold_lately: f64,
    /// The same of keys of long ago.
    cold_long_ago: f64,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            keys: KEYS as f64,
            cold_lately: 0.0,
            cold_long_ago: 0.0,
        }
    }
}

impl Memory {
    /// Keys that are remembered.
    pub fn keys(&self) -> usize {
        self.keys as usize
    }

    /// Notes an answer whose key was thought warm: `since` of the `known` keys of its upstream came after it.
    pub fn note(&mut self, since: usize, known: usize, was_warm: bool) {
        let counted = self.keys.min(known as f64);
        let since = since as f64;
        let cold = if was_warm { 0.0 } else { 1.0 };
        if since < counted * LATELY {
            self.cold_lately += WEIGHT * (cold - self.cold_lately);
        } else if since >= counted * LONG_AGO {
            self.cold_long_ago += WEIGHT * (cold - self.cold_long_ago);
            let excess = self.cold_long_ago - self.cold_lately;
            if !was_warm && excess > EXCESS {
                self.keys = counted * (1.0 - DOWN);
            } else if was_warm && excess < EXCESS / 2.0 {
                self.keys *= 1.0 + UP;
            }
        }
        self.keys = self.keys.clamp(KEYS_MIN, KEYS as f64);
    }
}
