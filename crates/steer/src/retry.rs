//! Budget of retries: a fixed part of the offered work.

use std::fmt;

/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1000;
/// Highest ratio: below a tenth of the offered work.
const RATIO_MAX_PERMILLE: u32 = 99;
/// Retries that may be saved up for a bad moment.
const SAVED_MAX: u64 = 10;
/// Of these, those that nothing but a retry may take.
const RESERVED: u64 = 5;

/// Retries and hedges that an entry may send of its own, as a part of the offered work.
///
/// Without it an upstream that fails each request gets several times the load that made it fail,
/// which one would notice as retries growing with errors. Credit comes only from offered requests
/// and starts at zero, so that for any sequence `retries * 1000 <= offered * ratio`.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RetryBudget {
    ratio_permille: u32,
    credit: u64,
}

impl RetryBudget {
    /// Budget of `ratio_permille` thousandths of the offered work; 99 at most.
    pub fn new(ratio_permille: u32) -> Self {
        Self {
            ratio_permille: ratio_permille.min(RATIO_MAX_PERMILLE),
            credit: 0,
        }
    }

    /// Counts one offered request, which is no retry itself.
    pub fn offer(&mut self) {
        let credit = self.credit + u64::from(self.ratio_permille);
        self.credit = credit.min(SAVED_MAX * RETRY_COST);
    }

    /// Takes one retry or hedge from the budget, if it holds one.
    #[must_use]
    pub fn take(&mut self) -> bool {
        self.take_above(0)
    }

    /// Takes one copy that serves as a probe, if the budget holds more than a bad moment needs.
    ///
    /// Two budgets apart would leave one of them idle while the other starves: an upstream that
    /// comes back cold is warmed by copies just when nothing fails.
    #[must_use]
    pub fn take_spare(&mut self) -> bool {
        self.take_above(RESERVED * RETRY_COST)
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
