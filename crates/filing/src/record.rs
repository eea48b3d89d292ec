//! Recorded outcomes of filings, so that every repeat gets the same response.

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

/// Key of the table row that holds the outcome of the ticket with this nonce.
pub fn outcome_key(nonce: Nonce) -> ByteString {
    ByteString::from(format!("outcome/{nonce:032x}"))
}

/// Outcome of a filing and its response.
///
/// Invariant: a `Done` record has the complete body.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Record {
    /// Whether the filing ran.
    pub outcome: RunOutcome,
    /// HTTP status of the response.
    pub status: u16,
    /// Headers that a replayed response needs: lower-case names, and values.
    pub headers: Vec<(ByteString, Bytes)>,
    /// Body of the response.
    pub body: Bytes,
}

impl Record {
    /// Creates a record without headers or body.
    pub fn status_only(outcome: RunOutcome, status: u16) -> Self {
        Self {
            outcome,
            status,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Size of headers and body, in bytes.
    pub fn bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Text of a row: a line for outcome and status, one for each header, one for the body, escaped.
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

/// The text is not a valid record.
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
    let mut record = Record::status_only(outcome.parse().ok()?, status.parse().ok()?);
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
