//! Results and failures of commands, their output and exit codes.

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

/// Exit code if the system refused; nothing was changed.
const EXIT_REFUSED: u8 = 1;
/// Exit code for bad input; nothing was changed.
const EXIT_BAD_INPUT: u8 = 2;
/// Exit code if it is unknown whether the command was done, or its result is lost.
const EXIT_UNKNOWN: u8 = 3;

/// Result of a command in both output formats.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    text: String,
    json: Value,
}

impl Output {
    /// Result from its text and the data for JSON.
    pub(crate) fn new(text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).expect("results are plain data");
        Self {
            text: text.into(),
            json,
        }
    }

    /// Prints the result in the requested format.
    ///
    /// # Errors
    ///
    /// If the write to standard output fails.
    pub(crate) fn print(&self, format: Format) -> io::Result<()> {
        let mut out = stdout().lock();
        match format {
            Format::Text => writeln!(out, "{}", self.text.trim_end())?,
            Format::Json => writeln!(out, "{:#}", self.json)?,
        }
        out.flush()
    }
}

/// Prints progress or a failure to standard error; ignores write errors.
///
/// The reader may have closed the pipe, as in `2>&1 | head`. That must not end the command: it may
/// be in the middle of a change, whose outcome its exit code has to report.
pub(crate) fn print_stderr(line: &str) {
    let _ = writeln!(stderr(), "{line}");
}

/// Exit code of a command that is done but whose result can't be written to standard output.
pub(crate) fn report_write_error(output: &Output, error: &io::Error) -> ExitCode {
    if error.kind() == io::ErrorKind::BrokenPipe {
        // The reader closed the pipe on purpose, as `head` does.
        return ExitCode::SUCCESS;
    }
    print_stderr(&format!(
        "done, but the result can't be written: {error}\n{}",
        output.text.trim_end()
    ));
    ExitCode::from(EXIT_UNKNOWN)
}

/// Reason why a command was not done, or its outcome is unknown.
#[derive(Clone, Debug)]
pub(crate) enum Failure {
    /// The system refused; nothing was changed.
    Refused(String),
    /// The input is wrong; nothing was changed.
    BadInput(String),
    /// The outcome is unknown; the command may have been done.
    Unknown {
        /// Description of the failure.
        message: String,
        /// Command to run next.
        next: String,
    },
}

impl Failure {
    /// Exit code.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => EXIT_REFUSED,
            Self::BadInput(_) => EXIT_BAD_INPUT,
            Self::Unknown { .. } => EXIT_UNKNOWN,
        })
    }

    /// The failure as JSON output; `None` for text.
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

/// Failure of a request that changes nothing.
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
