//! Rows of the table that claim a caller's key.

use crate::{
    escape::escape,
    escape::unescape,
    Record,
    Token, //
};
use base::{
    Incarnation,
    InstanceId, //
};
use bytestring::ByteString;
use std::{
    fmt,
    str::FromStr, //
};

/// Row of the table for a caller's idempotency key within a class.
pub fn claim_key(class: &str, key: &[u8]) -> ByteString {
    let mut row = String::from("claim/");
    escape(class.as_bytes(), &mut row);
    row.push('/');
    escape(key, &mut row);
    ByteString::from(row)
}

/// How far a claimed filing is.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimState {
    /// Its holder runs it, or has, or was lost.
    Held,
    /// Given up by its holder, never sent: the key is free.
    Released,
    /// It has ended.
    Ended(Record),
}

/// One row: who claimed the key, for which request, and what came of it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// What makes it its holder's own.
    pub token: Token,
    /// Holder.
    pub instance: InstanceId,
    /// Life of the holder.
    pub incarnation: Incarnation,
    /// Digest of the request; another request under the same key gets no other's answer.
    pub digest: u128,
    /// How far it is.
    pub state: ClaimState,
}

/// First line: token, holder, incarnation, digest, state; a record's text follows.
impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut holder = String::new();
        escape(self.instance.as_bytes(), &mut holder);
        write!(
            f,
            "{:032x} {holder} {} {:032x}",
            self.token, self.incarnation, self.digest
        )?;
        match &self.state {
            ClaimState::Held => f.write_str(" held"),
            ClaimState::Released => f.write_str(" released"),
            ClaimState::Ended(record) => write!(f, " ended\n{record}"),
        }
    }
}

/// Text that is no claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedClaim;

impl FromStr for Claim {
    type Err = MalformedClaim;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or(MalformedClaim)
    }
}

fn parse(text: &str) -> Option<Claim> {
    let (head, record) = match text.split_once('\n') {
        Some((head, record)) => (head, Some(record)),
        None => (text, None),
    };
    let mut fields = head.split(' ');
    let token = u128::from_str_radix(fields.next()?, 16).ok()?;
    let instance = String::from_utf8(unescape(fields.next()?)?).ok()?;
    let incarnation = fields.next()?.parse().ok()?;
    let digest = u128::from_str_radix(fields.next()?, 16).ok()?;
    let state = match (fields.next()?, record) {
        ("held", None) => ClaimState::Held,
        ("released", None) => ClaimState::Released,
        ("ended", Some(record)) => ClaimState::Ended(record.parse().ok()?),
        _ => return None,
    };
    let claim = Claim {
        token,
        instance: InstanceId::from(instance),
        incarnation,
        digest,
        state,
    };
    fields.next().is_none().then_some(claim)
}
