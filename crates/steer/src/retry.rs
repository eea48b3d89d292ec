//! Retry budget: a fixed fraction of the offered requests.

use std::fmt;

/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1000;
/// Maximum ratio: below a tenth of the offered requests.
const RATIO_MAX_PERMILLE: u32 = 99;
/// Maximum number of saved-up retries, for a burst of failures.
const SAVED_RETRIES_MAX: u64 = 10;
/// Saved-up retries that probes may not use.
const RETRY_RESERVE: u64 = 5;

/// Limits the retries and hedges that an entry adds, as a fraction of the offered requests.
///
/// Without it, an upstream that fails every request receives several times the load that made it
/// fail; the symptom is retries that grow with errors. Credit comes only from offered requests and
/// starts at zero, so that for any sequence `retries * 1000 <= offered * ratio`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RetryBudget {
    ratio_permille: u32,
    credit: u64,
}

impl RetryBudget {
    /// Creates a budget of `ratio_permille` thousandths of the offered requests, at most 99.
    pub fn new(ratio_permille: u32) -> Self {
        Self {
            ratio_permille: ratio_permille.min(RATIO_MAX_PERMILLE),
            credit: 0,
        }
    }

    /// Counts one offered request that is not itself a retry.
    pub fn record_request(&mut self) {
        let credit = self.credit + u64::from(self.ratio_permille);
        self.credit = credit.min(SAVED_RETRIES_MAX * RETRY_COST);
    }

    /// Takes one retry or hedge from the budget, if available.
    #[must_use]
    pub fn take(&mut self) -> bool {
        self.take_above(0)
    }

    /// Takes one copy that serves as a probe, if the budget exceeds the reserve for retries.
    ///
    /// With two separate budgets, one would stay unused while the other is exhausted: copies warm
    /// an upstream that returns cold at times when no requests fail.
    #[must_use]
    pub fn take_for_probe(&mut self) -> bool {
        self.take_above(RETRY_RESERVE * RETRY_COST)
    }

    fn take_above(&mut self, reserve: u64) -> bool {
        match self.credit.checked_sub(RETRY_COST) {
            Some(left) if left >= reserve => {
                self.credit = left;
                true
            }
            _ => false,
        }
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(50)
    }
}

impl fmt::Display for RetryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.credit / RETRY_COST;
        write!(f, "{whole} retries left at {}‰", self.ratio_permille)
    }
}
