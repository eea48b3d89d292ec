//! How a command ends.

use crate::args::Format;
use op::Refusal;
use serde::Serialize;
use serde_json::{
    json,
    Value, //
};
use std::{
    fmt,
    process::ExitCode, //
};

/// Exit code when the system refused; nothing was changed.
const REFUSED: u8 = 1;
/// Exit code for bad input; nothing was changed.
const BAD_INPUT: u8 = 2;
/// Exit code when it is not known whether it was done.
const UNKNOWN: u8 = 3;

/// Result of a command in both forms.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    text: String,
    json: Value,
}

impl Output {
    /// Result with its text for people.
    pub(crate) fn new(text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).expect("results are plain data");
        Self {
            text: text.into(),
            json,
        }
    }

    /// Prints the form that was asked for.
    pub(crate) fn print(&self, format: Format) {
        match format {
            Format::Text => println!("{}", self.text.trim_end()),
            Format::Json => println!("{:#}", self.json),
        }
    }
}

/// Why a command was not done, or is not known to be.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The system refused; nothing was changed.
    Refused(String),
    /// The input is wrong; nothing was changed.
    BadInput(String),
    /// It may have been done.
    Unknown {
        /// What is known.
        message: String,
        /// Command to run next.
        next: String,
    },
}

impl Failure {
    /// Exit code.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => REFUSED,
            Self::BadInput(_) => BAD_INPUT,
            Self::Unknown { .. } => UNKNOWN,
        })
    }

    /// The failure as a result, for programs.
    pub(crate) fn output(&self, format: Format) -> Option<Output> {
        let json = match self {
            Self::Refused(message) => json!({"failure": "refused", "message": message}),
            Self::BadInput(message) => json!({"failure": "bad-input", "message": message}),
            Self::Unknown { message, next } => {
                json!({"failure": "unknown", "message": message, "next": next})
            }
        };
        (format == Format::Json).then(|| Output::new("", &json))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(message) | Self::BadInput(message) => f.write_str(message),
            Self::Unknown { message, next } => write!(f, "{message}\nrun next: {next}"),
        }
    }
}

/// Failure of something that changes nothing.
impl From<op::Failure> for Failure {
    fn from(failure: op::Failure) -> Self {
        let message = failure.to_string();
        match failure {
            op::Failure::Refused {
                refusal: Refusal::Findings { .. } | Refusal::BadRequest { .. },
                ..
            } => Self::BadInput(message),
            _ => Self::Refused(message),
        }
    }
}
