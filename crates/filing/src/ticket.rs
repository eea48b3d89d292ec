//! Tickets: each grants one filing at one incarnation of one entry.

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

/// Format version, the first field of the text; a changed layout needs a new one.
const FORMAT: &str = "t1";
/// Length of the keyed hash in the text, in hex digits: 128 bits.
const MAC_HEX_DIGITS: usize = 32;
/// Longest text that is parsed. Ids are short, so a longer text is not one of our tickets.
const TEXT_BYTES_MAX: usize = 1024;
/// Key-derivation context; separates the ticket key from other uses of the same secret.
const KEY_CONTEXT: &str = "jasminefield 2025 ticket key";

/// Key shared by the daemons that authenticates tickets.
///
/// `Debug` and `Display` hide it.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Creates a key from raw bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Derives the key from the daemons' shared secret, which may have any length.
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    fn mac(&self, body: &str) -> String {
        let hash = blake3::keyed_hash(&self.0, body.as_bytes());
        let mut hex = hash.to_hex().to_string();
        hex.truncate(MAC_HEX_DIGITS);
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

/// Permission for one filing at one incarnation of one entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ticket {
    /// Class of the request.
    pub class: ClassId,
    /// Entry that may run the filing.
    pub instance: InstanceId,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Unique random number.
    pub nonce: Nonce,
    /// Expiry: wall time in milliseconds since the Unix epoch.
    pub expires_at_ms: u64,
}

/// Why a text was rejected as a ticket.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum TicketError {
    /// The text doesn't have the format of a ticket.
    Malformed,
    /// The keyed hash was not made with the daemons' key.
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
    /// Encodes the ticket for the `Jasmine-Ticket` header: ASCII, fields separated by dots, the
    /// keyed hash last.
    pub fn mint(&self, key: &Key) -> String {
        let mut text = self.body();
        let mac = key.mac(&text);
        text.push('.');
        text.push_str(&mac);
        text
    }

    /// Parses and authenticates the text of a header. Expiry is checked by the [`Ledger`], not
    /// here.
    ///
    /// # Errors
    ///
    /// [`TicketError::Malformed`] for a wrong format, [`TicketError::Forged`] for a wrong hash.
    ///
    /// [`Ledger`]: crate::Ledger
    pub fn verify(text: &str, key: &Key) -> Result<Self, TicketError> {
        if text.len() > TEXT_BYTES_MAX {
            return Err(TicketError::Malformed);
        }
        let (body, mac) = text.rsplit_once('.').ok_or(TicketError::Malformed)?;
        if mac.len() != MAC_HEX_DIGITS {
            return Err(TicketError::Malformed);
        }
        let ticket = Self::parse(body).ok_or(TicketError::Malformed)?;
        // Constant time: a comparison that stops at the first difference would reveal by its
        // duration how many digits of a forged hash are right.
        let hash_matches = key.mac(body).as_bytes().ct_eq(mac.as_bytes());
        if bool::from(hash_matches) {
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
            class: parse_id(fields.next()?)?,
            instance: parse_id(fields.next()?)?,
            incarnation: u64::from_str_radix(fields.next()?, 16).ok()?,
            nonce: u128::from_str_radix(fields.next()?, 16).ok()?,
            expires_at_ms: u64::from_str_radix(fields.next()?, 16).ok()?,
        };
        fields.next().is_none().then_some(ticket)
    }
}

/// Omits the hash, so that printed text can't be used as a ticket.
impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}@{}#{} {:032x} until {}",
            self.class, self.instance, self.incarnation, self.nonce, self.expires_at_ms
        )
    }
}

fn parse_id(text: &str) -> Option<ByteString> {
    let bytes = unescape(text)?;
    String::from_utf8(bytes).ok().map(ByteString::from)
}
