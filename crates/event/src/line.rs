//! Log lines.

use crate::event::{
    Event,
    Severity, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Log line, as it is written and parsed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Wall-clock time, in milliseconds since the Unix epoch; not monotonic.
    pub time_ms: u64,
    /// Severity of the event.
    pub level: Severity,
    /// Instance that wrote the line.
    pub instance: String,
    /// Monotonic time since the start of the process, in milliseconds.
    #[serde(default)]
    pub up_ms: u64,
    /// The event itself.
    #[serde(flatten)]
    pub event: Event,
}

impl Line {
    /// Parses a line, ignoring any prefix before the first brace, such as one added by a log collector.
    /// Returns `None` for a line without a brace, which no entry wrote.
    ///
    /// # Errors
    ///
    /// The object isn't a known event: it is truncated or from another release.
    pub fn parse(text: &str) -> Option<Result<Self, serde_json::Error>> {
        let start = text.find('{')?;
        Some(serde_json::from_str(&text[start..]))
    }
}
