//! Use that information permits, by its age.

use std::{
    fmt,
    time::Duration, //
};

/// Use that information permits by its age; no level reduces the use to zero.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Freshness {
    /// Full use.
    Fresh,
    /// No growth, no new shifts, local region only; existing use continues.
    Old,
}

/// Ages at which information permits less use.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FreshnessLimits {
    /// Age from which information is old.
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
    /// Freshness for an `age`, the upper bound of the time since the information was true at its
    /// source.
    pub fn of_age(age: Duration, limits: &FreshnessLimits) -> Self {
        if age < limits.old_after {
            Self::Fresh
        } else {
            Self::Old
        }
    }

    /// Whether limits that depend on the information may grow.
    pub fn allows_growth(self) -> bool {
        self == Self::Fresh
    }

    /// Whether work may be shifted to a region that receives none yet.
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
