//! How much a ledger remembers, and for how long.

use std::time::Duration;

/// How much a ledger remembers, and for how long.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bounds {
    /// Tickets remembered at a time.
    pub tickets_max: usize,
    /// Largest record that is kept whole, headers and body.
    pub record_bytes_max: usize,
    /// All records and what is reserved for running ones.
    pub total_bytes_max: usize,
    /// All records of an offer to a successor, which goes in one message.
    pub offer_bytes_max: usize,
    /// Longest life of a ticket; one that claims more was made by a wrong clock.
    pub life_max: Duration,
    /// How long an outcome is remembered past its ticket's end.
    pub margin: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            tickets_max: 100_000,
            record_bytes_max: 16 * 1024,
            total_bytes_max: 64 * 1024 * 1024,
            offer_bytes_max: 768 * 1024,
            life_max: Duration::from_secs(120),
            margin: Duration::from_secs(60),
        }
    }
}
