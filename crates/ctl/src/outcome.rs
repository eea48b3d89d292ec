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
    io::{
        self,
        stderr,
        stdout,
        Write, //
    },
    process::ExitCode, //
};

/// Exit code when the system refused; nothing was changed.
const REFUSED: u8 = 1;
/// Exit code for bad input; nothing was changed.
const BAD_INPUT: u8 = 2;
/// Exit code when it is not known whether it was done, or its result is lost.
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
    ///
    /// # Errors
    ///
    /// When standard output does not take it.
    pub(crate) fn print(&self, format: Format) -> io::Result<()> {
        let mut out = stdout().lock();
        match format {
            Format::Text => writeln!(out, "{}", self.text.trim_end())?,
            Format::Json => writeln!(out, "{:#}", self.json)?,
        }
        out.flush()
    }
}

/// Tells people of progress or of a failure.
///
/// Nobody may listen any more, as after `2>&1 | head`. That must not end the command: it may be in
/// the middle of a change, whose outcome its exit code still has to tell.
pub(crate) fn tell(line: &str) {
    let _ = writeln!(stderr(), "{line}");
}

/// Ends a command that is done and whose result standard output does not take.
pub(crate) fn unwritten(output: &Output, error: &io::Error) -> ExitCode {
    if error.kind() == io::ErrorKind::BrokenPipe {
        // Whoever reads has seen enough.
        return ExitCode::SUCCESS;
    }
    tell(&format!(
        "done, but the result can't be written: {error}\n{}",
        output.text.trim_end()
    ));
    ExitCode::from(UNKNOWN)
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
