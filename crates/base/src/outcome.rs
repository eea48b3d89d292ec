//! What an answer of the system claims about the request it answers.

use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    str::FromStr, //
};

/// Claim of an answer about whether the request ran; the `Jasmine-Outcome` header.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// Nothing of the request reached an upstream: safe to send again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer is an upstream's, whole.
    Done,
}

impl RunOutcome {
    /// Text of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Text that names no outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownOutcome;

impl FromStr for RunOutcome {
    type Err = UnknownOutcome;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::NotRun, Self::Unknown, Self::Done]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or(UnknownOutcome)
    }
}
