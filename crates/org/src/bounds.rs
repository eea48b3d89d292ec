//! Margin within which quotas are kept.

use crate::quota::Quota;
use std::time::Duration;

/// How far a quota may be exceeded within a window, of all entries combined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window over which requests are counted.
    pub window: Duration,
    /// Fraction of a window's quota that may be added to it.
    pub overrun: f64,
    /// Requests that may be added to it.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the requests in a window beyond those at the quota's rate that the bound allows.
    pub fn margin(&self, quota: &Quota) -> f64 {
        let window = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        quota.burst + window * self.overrun + self.slack
    }

    /// Returns the requests that the bound allows in a window.
    pub fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate_per_s * self.window.as_secs_f64() + self.margin(quota)
    }
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overrun: 0.1,
            slack: 20.0,
        }
    }
}
