//! Limit on an organisation's requests.

use crate::demand::DemandKey;
use balance::affinity_hash;
use serde::{
    Deserialize,
    Serialize, //
};

/// Limit on the requests of one organisation, of all entries combined.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Requests per second; zero means no limit.
    pub rate_per_s: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
}

impl Quota {
    /// Returns whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// Returns the key under which entries exchange the demand of an organisation. Two organisations may share a key, which
/// makes their parts smaller but never larger.
pub fn demand_key(organisation: &str) -> DemandKey {
    affinity_hash(organisation.as_bytes()) as u32
}
