//! Why a daemon did not do what an operator asked for.

use base::Version;
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;

/// Refusal by a daemon; the JSON's `error` names which.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum Refusal {
    /// The operators' key is missing or wrong.
    Unauthorized,
    /// The request can't be read.
    BadRequest {
        /// What is wrong with it.
        detail: String,
    },
    /// The port has no such request, or there is no such version.
    NotFound {
        /// What there is not.
        detail: String,
    },
    /// The configuration, the blocks or the edit doesn't hold.
    Findings {
        /// Each with its place.
        findings: Vec<String>,
    },
    /// The accept id was used before, for something else.
    Reused {
        /// Version that it made then.
        version: Version,
        /// Operator who did.
        author: ByteString,
    },
    /// Another accept came first: this one is not accepted, and never will be on its base.
    Raced {
        /// Version in force.
        version: Version,
        /// Operator who made it.
        author: ByteString,
        /// Steps from the base to that version, as text; empty when not known.
        difference: Vec<String>,
    },
    /// Nothing was changed, and nothing will be by this request.
    NotDone {
        /// Why.
        detail: String,
    },
    /// It may have been done; repeat it with the same accept id to learn which.
    Unknown {
        /// Why.
        detail: String,
    },
}

impl Refusal {
    /// Status of the HTTP answer.
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
                 holds something else"
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
