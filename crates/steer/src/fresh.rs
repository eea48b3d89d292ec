//! How far a fact may be used, by its age.

use std::{
    fmt,
    time::Duration, //
};

/// Use that a fact allows by its age; none of them drops anything to zero.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Freshness {
    /// Full use.
    Fresh,
    /// No growth, no new shifts, home only; what runs already goes on.
    Old,
}

/// Age at which facts narrow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FreshnessLimits {
    /// Age from which a fact is old.
    pub old_after: Duration,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self {
            old_after: Duration::from_secs(3),
        }
    }
}

impl Freshness {
    /// Judges a fact by its `age`, the time since it was true at its source, at worst.
    pub fn of_age(age: Duration, limits: &FreshnessLimits) -> Self {
        if age < limits.old_after {
            Self::Fresh
        } else {
            Self::Old
        }
    }

    /// Whether limits that depend on the fact may grow.
    pub fn allows_growth(self) -> bool {
        self == Self::Fresh
    }

    /// Whether work that does not go there yet may start to.
    pub fn allows_new_shift(self) -> bool {
        self == Self::Fresh
    }
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fresh => "fresh",
            Self::Old => "old",
        })
    }
}
