//! Why a command failed, by whether something may have changed.

use crate::Refusal;
use std::fmt;

/// Why a command was not done, or is not known to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A daemon refused; nothing was changed by this request.
    Refused {
        /// Which.
        daemon: String,
        /// Why.
        refusal: Refusal,
    },
    /// No daemon gave an answer that can be read; nothing was changed.
    NoAnswer {
        /// What became of each try.
        tried: Vec<String>,
    },
    /// It may have been done.
    Unknown {
        /// What became of each try.
        tried: Vec<String>,
    },
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, tried) = match self {
            Self::Refused { daemon, refusal } => return write!(f, "{daemon}: {refusal}"),
            Self::NoAnswer { tried } => ("no daemon answered", tried),
            Self::Unknown { tried } => ("the outcome is unknown", tried),
        };
        f.write_str(what)?;
        for line in tried {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Failure {}
