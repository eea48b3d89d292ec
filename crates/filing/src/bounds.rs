//! Limits on what a ledger stores, and for how long.

use std::time::Duration;

/// Limits on what a ledger stores, and for how long.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bounds {
    /// Tickets stored at a time.
    pub tickets_max: usize,
    /// Largest record that is stored with headers and body, in bytes.
    pub record_bytes_max: usize,
    /// Total size of all records and of the space reserved for running filings, in bytes.
    pub total_bytes_max: usize,
    /// Total size of the records in an offer to a successor, which is sent as one message, in
    /// bytes.
    pub offer_bytes_max: usize,
    /// Longest lifetime of a ticket. One that expires later was issued with a wrong clock.
    pub lifetime_max: Duration,
    /// How long an outcome is kept after its ticket has expired.
    pub retention: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            tickets_max: 100_000,
            record_bytes_max: 16 * 1024,
            total_bytes_max: 64 * 1024 * 1024,
            offer_bytes_max: 768 * 1024,
            lifetime_max: Duration::from_secs(120),
            retention: Duration::from_secs(60),
        }
    }
}
