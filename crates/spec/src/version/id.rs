//! Ids of objects and of accepts, both written as hexadecimal digits.

use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    error::Error,
    fmt,
    str::FromStr, //
};

/// BLAKE3 digest of an object's bytes, which identifies the object; written as 64 lower-case
/// hexadecimal digits.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; blake3::OUT_LEN]);

impl Digest {
    /// Computes the digest of an object's bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Name of the object in the platform's store.
    pub fn object_name(&self) -> String {
        format!("config-{self}")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = MalformedId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| MalformedId)?;
        let digest = Self(*hash.as_bytes());
        // If upper-case digits were accepted, one object would have two names.
        if digest.to_string() == text {
            Ok(digest)
        } else {
            Err(MalformedId)
        }
    }
}

/// Id that an operator gives to an accept, so that a repeated request is recognised.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct AcceptId(pub u128);

/// Number of hexadecimal digits of an accept id.
const ACCEPT_ID_DIGITS: usize = 32;

impl fmt::Display for AcceptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0ACCEPT_ID_DIGITS$x}", self.0)
    }
}

impl FromStr for AcceptId {
    type Err = MalformedId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| MalformedId)?;
        // If signs, upper-case digits or omitted zeros were accepted, one accept would have two
        // ids.
        if id.to_string() == text {
            Ok(id)
        } else {
            Err(MalformedId)
        }
    }
}

/// Error for a text that is not a digest or an accept id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedId;

impl fmt::Display for MalformedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an id must have its full number of lower-case hexadecimal digits")
    }
}

impl Error for MalformedId {}

/// Implements the conversions by which serde writes and reads an id as its text.
macro_rules! serde_as_text {
    ($id:ty) => {
        impl From<$id> for String {
            fn from(id: $id) -> Self {
                id.to_string()
            }
        }

        impl TryFrom<String> for $id {
            type Error = MalformedId;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }
    };
}

serde_as_text!(AcceptId);
serde_as_text!(Digest);
