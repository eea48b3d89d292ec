//! How the upstreams of a service stand, for whoever asks why a request was refused.

use crate::upstream::Upstream;
use base::Now;
use serde::{
    Deserialize,
    Serialize, //
};

/// Upstreams of one service by what keeps work from them; each is counted once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Census {
    /// Take work.
    pub open: u32,
    /// Leave, are gone, or are in an evacuated failure domain.
    pub closed: u32,
    /// Have just started and take little.
    pub cold: u32,
    /// Are passed over because they failed lately.
    pub failing: u32,
}

impl Census {
    /// Counts them.
    pub fn of(upstreams: &[Upstream], now: Now) -> Self {
        let mut census = Self::default();
        for upstream in upstreams {
            let side = if upstream.is_closed() {
                &mut census.closed
            } else if upstream.is_cold(now) {
                &mut census.cold
            } else if upstream.health.is_away(now) {
                &mut census.failing
            } else {
                &mut census.open
            };
            *side += 1;
        }
        census
    }
}
