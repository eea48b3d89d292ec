//! Names of objects and of accepts, both written as hexadecimal digits.

use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    error::Error,
    fmt,
    str::FromStr, //
};

/// Digest of an object's bytes, which is its name: 64 lower-case hexadecimal digits of BLAKE3.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; blake3::OUT_LEN]);

impl Digest {
    /// Digest of an object's bytes.
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
        // Upper-case digits would give one object two names.
        if digest.to_string() == text {
            Ok(digest)
        } else {
            Err(MalformedId)
        }
    }
}

/// Name that an operator gives to one accept, so that a repeat of it is known as such.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct AcceptId(pub u128);

/// Hexadecimal digits of an accept id.
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
        // Signs, upper-case digits and missing zeros would give one accept two names.
        if id.to_string() == text {
            Ok(id)
        } else {
            Err(MalformedId)
        }
    }
}

/// Text that is no id of its kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MalformedId;

impl fmt::Display for MalformedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not the lower-case hexadecimal digits of an id")
    }
}

impl Error for MalformedId {}

/// Lets serde carry an id as its text.
macro_rules! as_text {
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

as_text!(AcceptId);
as_text!(Digest);
