//! Execution outcome that a response reports for its request.

use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    str::FromStr, //
};

/// Whether a request was executed, as reported in the `Jasmine-Outcome` response header.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// No upstream executed the request: it is safe to retry.
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The response is the complete response of an upstream.
    Done,
}

impl RunOutcome {
    /// Header value.
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

/// Error for text that isn't a known outcome.
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
