//! Upstream selection: the trait, the policies by name, and their dispatch.
//!
//! [`LeastLoaded`] is in `least_loaded`, the policies that it is compared with in `baseline`.

mod baseline;
mod least_loaded;

pub use baseline::{
    BaselineLimits,
    HotCold,
    LeastReported,
    PowerOfTwo,
    RoundRobin, //
};
pub use least_loaded::{
    LeastLoaded,
    Rank, //
};

use crate::view::UpstreamView;
use base::Now;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    str::FromStr, //
};

/// Selection of an upstream for one request.
pub trait Choose {
    /// Index in `views` of the upstream for a request at `now`; `None` if none may be used.
    ///
    /// The `seed` should differ for each request: it breaks ties and selects random samples.
    fn choose(&mut self, views: &[UpstreamView], now: Now, seed: u64) -> Option<usize>;
}

/// Policies by their name in the settings.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// [`LeastLoaded`], the default.
    #[default]
    #[serde(rename = "ours")]
    LeastLoaded,
    /// [`RoundRobin`].
    RoundRobin,
    /// [`LeastReported`].
    LeastReported,
    /// [`PowerOfTwo`].
    PowerOfTwo,
    /// [`HotCold`].
    HotCold,
}

impl Policy {
    /// Every policy, the default first.
    pub const ALL: [Self; 5] = [
        Self::LeastLoaded,
        Self::RoundRobin,
        Self::LeastReported,
        Self::PowerOfTwo,
        Self::HotCold,
    ];

    /// Name in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeastLoaded => "ours",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::PowerOfTwo => "power-of-two",
            Self::HotCold => "hot-cold",
        }
    }

    /// Creates the policy; `limits` applies to the baselines only.
    pub fn chooser(self, limits: BaselineLimits) -> Chooser {
        match self {
            Self::LeastLoaded => Chooser::LeastLoaded(LeastLoaded::default()),
            Self::RoundRobin => Chooser::RoundRobin(RoundRobin::new(limits)),
            Self::LeastReported => Chooser::LeastReported(LeastReported::new(limits)),
            Self::PowerOfTwo => Chooser::PowerOfTwo(PowerOfTwo::new(limits)),
            Self::HotCold => Chooser::HotCold(HotCold::new(limits)),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error of parsing an unknown policy name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownPolicy;

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("unknown policy: one of ")?;
        for (index, policy) in Policy::ALL.into_iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{policy}")?;
        }
        Ok(())
    }
}

impl std::error::Error for UnknownPolicy {}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text)
            .ok_or(UnknownPolicy)
    }
}

/// Any of the policies, without dynamic dispatch: a traffic thread owns one for each service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Chooser {
    /// Default policy.
    LeastLoaded(LeastLoaded),
    /// Baseline.
    RoundRobin(RoundRobin),
    /// Baseline.
    LeastReported(LeastReported),
    /// Baseline.
    PowerOfTwo(PowerOfTwo),
    /// Baseline.
    HotCold(HotCold),
}

impl Choose for Chooser {
    fn choose(&mut self, views: &[UpstreamView], now: Now, seed: u64) -> Option<usize> {
        match self {
            Self::LeastLoaded(policy) => policy.choose(views, now, seed),
            Self::RoundRobin(policy) => policy.choose(views, now, seed),
            Self::LeastReported(policy) => policy.choose(views, now, seed),
            Self::PowerOfTwo(policy) => policy.choose(views, now, seed),
            Self::HotCold(policy) => policy.choose(views, now, seed),
        }
    }
}
