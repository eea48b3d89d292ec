//! Claims on callers' idempotency keys, as rows of the platform's table.

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

/// Key of the table row for a caller's idempotency key within a class.
pub fn claim_key(class: &str, key: &[u8]) -> ByteString {
    let mut row = String::from("claim/");
    escape(class.as_bytes(), &mut row);
    row.push('/');
    escape(key, &mut row);
    ByteString::from(row)
}

/// State of a claimed filing.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimState {
    /// The holder is running the filing, has run it, or failed before it recorded an outcome.
    Held,
    /// The holder gave the claim up without sending the request: the key is free.
    Released,
    /// The filing has ended with this outcome.
    Ended(Record),
}

/// Value of a claim's row: who claimed the key, for which request, and its state.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Claim {
    /// Random number that identifies the holder's claim.
    pub token: Token,
    /// Instance that holds the claim.
    pub instance: InstanceId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Digest of the request; a different request under the same key must not get this one's
    /// response.
    pub digest: u128,
    /// State of the filing.
    pub state: ClaimState,
}

/// First line: token, holder, incarnation, digest, state. The text of the record, if any, follows.
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

/// The text is not a valid claim.
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
