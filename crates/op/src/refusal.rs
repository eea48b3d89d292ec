//! Reasons for which a daemon refuses an operator's request.

use base::Version;
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;

/// Refusal by a daemon; `error` in the JSON names the variant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum Refusal {
    /// The operators' key is missing or wrong.
    Unauthorized,
    /// The request can't be parsed.
    BadRequest {
        /// What is invalid.
        detail: String,
    },
    /// The port has no such request, or there is no such version.
    NotFound {
        /// What was not found.
        detail: String,
    },
    /// The configuration, the blocks or the edit is invalid.
    Findings {
        /// All findings, each with its position.
        findings: Vec<String>,
    },
    /// The accept id was used before, for a different change.
    Reused {
        /// Version that was created with it.
        version: Version,
        /// Operator who used it.
        author: ByteString,
    },
    /// Another accept came first: this one is not accepted, and can't be on its base version.
    Raced {
        /// Version in force.
        version: Version,
        /// Operator who created it.
        author: ByteString,
        /// Changes from the base to that version, as text; empty if unknown.
        difference: Vec<String>,
    },
    /// This request has changed nothing and will change nothing.
    NotDone {
        /// Reason.
        detail: String,
    },
    /// The change may have been made; repeating it with the same accept id returns the outcome.
    Unknown {
        /// Reason.
        detail: String,
    },
}

impl Refusal {
    /// Status of the HTTP response.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadRequest { .. } => 400,
            Self::Unauthorized => 401,
            Self::NotFound { .. } => 404,
            Self::Raced { .. } | Self::Reused { .. } => 409,
            Self::Findings { .. } => 422,
            Self::NotDone { .. } | Self::Unknown { .. } => 503,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unauthorized => f.write_str("the operators' key is missing or wrong"),
            Self::BadRequest { detail } => write!(f, "the daemon can't read the request: {detail}"),
            Self::NotFound { detail } => f.write_str(detail),
            Self::Findings { findings } => f.write_str(&findings.join("\n")),
            Self::Reused { version, author } => write!(
                f,
                "this accept id was used before: {author} made version {version} with it, which \
                 has different content"
            ),
            Self::Raced {
                version,
                author,
                difference,
            } => {
                write!(f, "not accepted: {author} made version {version} meanwhile")?;
                for step in difference {
                    write!(f, "\n  {step}")?;
                }
                Ok(())
            }
            Self::NotDone { detail } => write!(f, "not done, nothing was changed: {detail}"),
            Self::Unknown { detail } => write!(f, "the outcome is unknown: {detail}"),
        }
    }
}
