//! The head: which version is in force, and who accepted it.

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

/// Value of the table's row `head`, of each row of the history, and of what daemons tell each
/// other. Its text is JSON on one line.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Head {
    /// Version; the first is 1.
    pub version: Version,
    /// Digest of the body.
    pub digest: Digest,
    /// Accept that made it.
    pub accept_id: AcceptId,
    /// Operator, as stated.
    pub author: ByteString,
    /// Wall time of the accept by the daemon that ran it, for people only.
    pub accepted_at_ms: u64,
}

impl fmt::Display for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}

/// Text that is no head.
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
