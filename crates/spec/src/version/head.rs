//! The head: the version in force, with the accept and the operator that made it.

use crate::{
    AcceptId,
    Digest, //
};
use base::Version;
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    error::Error,
    fmt,
    str::FromStr, //
};

/// Value of the table's row `head`, of each row of the history, and of the messages in which
/// daemons announce versions to each other. Its text is JSON on one line.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Head {
    /// Version; the first version is 1.
    pub version: Version,
    /// Digest of the body.
    pub digest: Digest,
    /// Accept that made the version.
    pub accept_id: AcceptId,
    /// Operator, as stated in the request.
    pub author: ByteString,
    /// Wall-clock time of the daemon that ran the accept; for display only.
    pub accepted_at_ms: u64,
}

impl fmt::Display for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}

/// Error for a text that is not a head.
#[derive(Debug)]
pub struct MalformedHead(serde_json::Error);

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed head: {}", self.0)
    }
}

impl Error for MalformedHead {}

impl FromStr for Head {
    type Err = MalformedHead;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text).map_err(MalformedHead)
    }
}
