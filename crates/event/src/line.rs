//! One line of a log.

use crate::event::{
    Event,
    Severity, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// One line, as it is written and read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Time of day, in milliseconds since the Unix epoch; it may jump.
    pub time_ms: u64,
    /// How much attention it asks for.
    pub level: Severity,
    /// The instance that wrote it.
    pub instance: String,
    /// Time since the process's start, in milliseconds; it never jumps.
    #[serde(default)]
    pub up_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

impl Line {
    /// Reads a line; what stands before its first brace was added by whoever collected it. `None` for
    /// a line without one, which no entry wrote.
    ///
    /// # Errors
    ///
    /// The line holds an object that is no event: it is cut, or another release's.
    pub fn parse(text: &str) -> Option<Result<Self, serde_json::Error>> {
        let begin = text.find('{')?;
        Some(serde_json::from_str(&text[begin..]))
    }
}
