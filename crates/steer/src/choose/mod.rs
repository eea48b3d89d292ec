//! Which upstream: the trait, the policies by name, and their dispatch.
//!
//! [`Ours`] lives in `ours`, what it is measured against in `baseline`.

mod baseline;
mod ours;

pub use baseline::{
    BaselineLimits,
    HotCold,
    LeastReported,
    PowerOfTwo,
    RoundRobin, //
};
pub use ours::{
    Ours,
    Rank, //
};

use crate::view::View;
use base::Now;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    str::FromStr, //
};

/// Choice of an upstream for one request.
pub trait Choose {
    /// Index of the upstream in `views` for a request at `now`; none when none may be used.
    ///
    /// The `seed` should differ for each request: it breaks ties and draws samples.
    fn choose(&mut self, views: &[View], now: Now, seed: u64) -> Option<usize>;
}

/// Policies by the name that the settings give.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// [`Ours`].
    #[default]
    Ours,
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
    /// Every policy, ours first.
    pub const ALL: [Self; 5] = [
        Self::Ours,
        Self::RoundRobin,
        Self::LeastReported,
        Self::PowerOfTwo,
        Self::HotCold,
    ];

    /// Name in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::PowerOfTwo => "power-of-two",
            Self::HotCold => "hot-cold",
        }
    }

    /// The policy, ready to choose; `limits` says what binds the baselines.
    pub fn chooser(self, limits: BaselineLimits) -> Chooser {
        match self {
            Self::Ours => Chooser::Ours(Ours::default()),
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

/// Text that names no policy.
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

/// Any of the policies, without a box: a traffic thread owns one for each service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Chooser {
    /// The policy that ships.
    Ours(Ours),
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
    fn choose(&mut self, views: &[View], now: Now, seed: u64) -> Option<usize> {
        match self {
            Self::Ours(policy) => policy.choose(views, now, seed),
            Self::RoundRobin(policy) => policy.choose(views, now, seed),
            Self::LeastReported(policy) => policy.choose(views, now, seed),
            Self::PowerOfTwo(policy) => policy.choose(views, now, seed),
            Self::HotCold(policy) => policy.choose(views, now, seed),
        }
    }
}
