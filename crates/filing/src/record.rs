//! What came of a filing, kept so that every repeat gets the same answer.

use crate::{
    escape::{
        escape,
        unescape, //
    },
    Nonce, //
};
use base::RunOutcome;
use bytes::Bytes;
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    str::FromStr, //
};

/// Row of the table that holds the outcome of the ticket with this nonce.
pub fn outcome_key(nonce: Nonce) -> ByteString {
    ByteString::from(format!("outcome/{nonce:032x}"))
}

/// What came of a filing.
///
/// Invariant: `Done` only with the whole body.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Record {
    /// What is claimed about the run.
    pub outcome: RunOutcome,
    /// HTTP status of the answer.
    pub status: u16,
    /// The few headers that a repeat needs: names in lower case, and values.
    pub headers: Vec<(ByteString, Bytes)>,
    /// Body of the answer.
    pub body: Bytes,
}

impl Record {
    /// Record without headers and body.
    pub fn bare(outcome: RunOutcome, status: u16) -> Self {
        Self {
            outcome,
            status,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Size of what it keeps, in bytes.
    pub fn bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Text of a row: outcome, status, headers and body on lines of their own, escaped.
impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = format!("{} {}", self.outcome, self.status);
        for (name, value) in &self.headers {
            text.push('\n');
            escape(name.as_bytes(), &mut text);
            text.push(':');
            escape(value, &mut text);
        }
        text.push_str("\n=");
        escape(&self.body, &mut text);
        f.write_str(&text)
    }
}

/// Text that is no record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedRecord;

impl FromStr for Record {
    type Err = MalformedRecord;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or(MalformedRecord)
    }
}

fn parse(text: &str) -> Option<Record> {
    let mut lines = text.split('\n');
    let (outcome, status) = lines.next()?.split_once(' ')?;
    let mut record = Record::bare(outcome.parse().ok()?, status.parse().ok()?);
    loop {
        let line = lines.next()?;
        if let Some(body) = line.strip_prefix('=') {
            record.body = Bytes::from(unescape(body)?);
            break;
        }
        let (name, value) = line.split_once(':')?;
        let name = String::from_utf8(unescape(name)?).ok()?;
        let value = Bytes::from(unescape(value)?);
        record.headers.push((ByteString::from(name), value));
    }
    lines.next().is_none().then_some(record)
}
