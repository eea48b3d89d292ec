//! Failures of a command, by whether it may have changed something.

use crate::Refusal;
use std::fmt;

/// Why a command failed, or may have failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A daemon refused the request, which changed nothing.
    Refused {
        /// Address of the daemon.
        daemon: String,
        /// Its refusal.
        refusal: Refusal,
    },
    /// No daemon gave a valid response; nothing was changed.
    NoResponse {
        /// Result of each attempt.
        tried: Vec<String>,
    },
    /// The command may have taken effect.
    Unknown {
        /// Result of each attempt.
        tried: Vec<String>,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (summary, tried) = match self {
            Self::Refused { daemon, refusal } => return write!(f, "{daemon}: {refusal}"),
            Self::NoResponse { tried } => ("no daemon answered", tried),
            Self::Unknown { tried } => ("the outcome is unknown", tried),
        };
        f.write_str(summary)?;
        for line in tried {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Failure {}
