//! Number of a service's upstreams by state, logged with a refused request.

use crate::upstream::Upstream;
use base::Now;
use serde::{
    Deserialize,
    Serialize, //
};

/// Number of upstreams of one service by the first state that applies, so that each is counted once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamCounts {
    /// Accept requests.
    pub open: u32,
    /// Leaving, gone or in an evacuated failure domain.
    pub closed: u32,
    /// Recently started; accept few requests.
    pub cold: u32,
    /// Ejected because of recent failures.
    pub failing: u32,
    /// Accept no requests from this entry for a time that they stated.
    #[serde(default)]
    pub paused: u32,
}

impl UpstreamCounts {
    /// Counts upstreams by their state at `now`.
    pub fn of(upstreams: &[Upstream], now: Now) -> Self {
        let mut counts = Self::default();
        for upstream in upstreams {
            let count = if upstream.is_closed() {
                &mut counts.closed
            } else if upstream.is_paused(now) {
                &mut counts.paused
            } else if upstream.is_cold(now) {
                &mut counts.cold
            } else if upstream.health.is_ejected(now) {
                &mut counts.failing
            } else {
                &mut counts.open
            };
            *count += 1;
        }
        counts
    }
}
