//! Tickets: the right to file once at one incarnation of one entry.

use crate::{
    escape::{
        escape,
        unescape, //
    },
    Nonce, //
};
use base::{
    ClassId,
    Incarnation,
    InstanceId, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;
use subtle::ConstantTimeEq;

/// First field of the text; another layout gets another one.
const FORMAT: &str = "t1";
/// Hex digits of the keyed hash in the text: 128 bits.
const MAC_DIGITS: usize = 32;
/// Longest text that is looked at; ids are short, so longer ones are no ticket of ours.
const TEXT_BYTES_MAX: usize = 1024;
/// Keeps the key of tickets apart from other uses of the same secret.
const KEY_CONTEXT: &str = "jasminefield 2025 ticket key";

/// Key that the daemons share; tickets are unforgeable without it.
///
/// Neither `Debug` nor `Display` shows it.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Key of these bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Key derived from the daemons' shared secret, of any length.
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    fn mac(&self, body: &str) -> String {
        let hash = blake3::keyed_hash(&self.0, body.as_bytes());
        let mut hex = hash.to_hex().to_string();
        hex.truncate(MAC_DIGITS);
        hex
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}

/// Right to one filing at one incarnation of one entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ticket {
    /// Class of the work.
    pub class: ClassId,
    /// Entry that may run it.
    pub instance: InstanceId,
    /// Life of that entry.
    pub incarnation: Incarnation,
    /// What makes the ticket unique.
    pub nonce: Nonce,
    /// End of its life: wall time in milliseconds since the Unix epoch.
    pub expires_at_ms: u64,
}

/// Why a text is no ticket.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum TicketError {
    /// The text hasn't the form of a ticket.
    Malformed,
    /// The keyed hash isn't that of the daemons' key.
    Forged,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the ticket is malformed",
            Self::Forged => "the ticket's hash is wrong",
        })
    }
}

impl std::error::Error for TicketError {}

impl Ticket {
    /// Text for the `Jasmine-Ticket` header: ASCII, fields separated by dots, the hash last.
    pub fn mint(&self, key: &Key) -> String {
        let mut text = self.body();
        let mac = key.mac(&text);
        text.push('.');
        text.push_str(&mac);
        text
    }

    /// Ticket of a header's text; says nothing about expiry, which the [`Ledger`] judges.
    ///
    /// # Errors
    ///
    /// [`TicketError::Malformed`] for another form, [`TicketError::Forged`] for a wrong hash.
    ///
    /// [`Ledger`]: crate::Ledger
    pub fn verify(text: &str, key: &Key) -> Result<Self, TicketError> {
        if text.len() > TEXT_BYTES_MAX {
            return Err(TicketError::Malformed);
        }
        let (body, mac) = text.rsplit_once('.').ok_or(TicketError::Malformed)?;
        if mac.len() != MAC_DIGITS {
            return Err(TicketError::Malformed);
        }
        let ticket = Self::parse(body).ok_or(TicketError::Malformed)?;
        // An early end of the comparison tells a forger, by its time, how many digits are right.
        let genuine = key.mac(body).as_bytes().ct_eq(mac.as_bytes());
        if bool::from(genuine) {
            Ok(ticket)
        } else {
            Err(TicketError::Forged)
        }
    }

    fn body(&self) -> String {
        let mut text = String::from(FORMAT);
        text.push('.');
        escape(self.class.as_bytes(), &mut text);
        text.push('.');
        escape(self.instance.as_bytes(), &mut text);
        text.push_str(&format!(
            ".{:x}.{:x}.{:x}",
            self.incarnation, self.nonce, self.expires_at_ms
        ));
        text
    }

    fn parse(body: &str) -> Option<Self> {
        let mut fields = body.split('.');
        if fields.next()? != FORMAT {
            return None;
        }
        let ticket = Self {
            class: id(fields.next()?)?,
            instance: id(fields.next()?)?,
            incarnation: u64::from_str_radix(fields.next()?, 16).ok()?,
            nonce: u128::from_str_radix(fields.next()?, 16).ok()?,
            expires_at_ms: u64::from_str_radix(fields.next()?, 16).ok()?,
        };
        fields.next().is_none().then_some(ticket)
    }
}

/// Shows no hash: what is printed can't be used.
impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}@{}#{} {:032x} until {}",
            self.class, self.instance, self.incarnation, self.nonce, self.expires_at_ms
        )
    }
}

fn id(text: &str) -> Option<ByteString> {
    let bytes = unescape(text)?;
    String::from_utf8(bytes).ok().map(ByteString::from)
}
