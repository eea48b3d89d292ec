//! CBOR encoding and decoding of frames.
//!
//! Decoding never panics. A length claimed by a frame preallocates at most the 1 MiB that `serde`
//! allows before the bytes themselves have been read. Trailing bytes are an error, so that one
//! message is exactly one frame.

use crate::frame::Frame;
use bytes::Bytes;
use serde::{
    de::{
        DeserializeOwned,
        Error as _,
        IgnoredAny,
        MapAccess,
        Visitor, //
    },
    Deserialize,
    Deserializer,
    Serialize, //
};
use std::fmt;

/// Nesting limit, above that of any valid frame; deeper input is rejected before it can exhaust the
/// stack.
const MAX_DEPTH: usize = 32;

/// Error of encoding or decoding.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CodecError {
    /// The input ends too early.
    Truncated,
    /// The input is not CBOR; holds the byte offset of the error.
    Syntax(usize),
    /// The input is CBOR, but without the expected fields and types.
    Shape,
    /// The input is nested too deeply.
    Depth,
    /// The input goes on after the frame; holds the number of extra bytes.
    Trailing(usize),
    /// The value cannot be written as CBOR.
    Unwritable,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("unexpected end of input"),
            Self::Syntax(offset) => write!(f, "not CBOR at byte {offset}"),
            Self::Shape => f.write_str("unexpected fields or types"),
            Self::Depth => f.write_str("nested too deeply"),
            Self::Trailing(count) => write!(f, "{count} bytes after the end"),
            Self::Unwritable => f.write_str("cannot be written as CBOR"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Content of one message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decoded {
    /// A frame.
    Frame(Frame),
    /// A well-formed frame of a kind that this build does not know.
    UnknownKind,
}

impl<'de> Deserialize<'de> for Decoded {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(DecodedVisitor)
    }
}

/// Kind of a frame that is being decoded.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    /// [`Frame::Hello`].
    Hello,
    /// [`Frame::Proof`].
    Proof,
    /// [`Frame::Beat`].
    Beat,
    /// [`Frame::Share`].
    Share,
    /// [`Frame::ConfigWant`].
    ConfigWant,
    /// [`Frame::ConfigBody`].
    ConfigBody,
    /// [`Frame::HandOver`].
    HandOver,
    /// [`Frame::HandOverAck`].
    HandOverAck,
    /// [`Frame::Note`].
    Note,
    /// [`Frame::Goodbye`].
    Goodbye,
    /// Any other kind.
    #[serde(other)]
    Unknown,
}

/// Decodes a map with one entry, from a frame's kind to its fields.
struct DecodedVisitor;

impl<'de> Visitor<'de> for DecodedVisitor {
    type Value = Decoded;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map from a frame's kind to its fields")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Decoded, A::Error> {
        let kind = map
            .next_key::<Kind>()?
            .ok_or_else(|| A::Error::custom("empty"))?;
        let frame = match kind {
            Kind::Hello => Frame::Hello(map.next_value()?),
            Kind::Proof => Frame::Proof(map.next_value()?),
            Kind::Beat => Frame::Beat(map.next_value()?),
            Kind::Share => Frame::Share(map.next_value()?),
            Kind::ConfigWant => Frame::ConfigWant(map.next_value()?),
            Kind::ConfigBody => Frame::ConfigBody(map.next_value()?),
            Kind::HandOver => Frame::HandOver(map.next_value()?),
            Kind::HandOverAck => Frame::HandOverAck(map.next_value()?),
            Kind::Note => Frame::Note(map.next_value()?),
            Kind::Goodbye => Frame::Goodbye(map.next_value()?),
            Kind::Unknown => {
                map.next_value::<IgnoredAny>()?;
                expect_end_of_map(&mut map)?;
                return Ok(Decoded::UnknownKind);
            }
        };
        expect_end_of_map(&mut map)?;
        Ok(Decoded::Frame(frame))
    }
}

/// Rejects a second entry.
fn expect_end_of_map<'de, A: MapAccess<'de>>(map: &mut A) -> Result<(), A::Error> {
    match map.next_key::<IgnoredAny>()? {
        Some(_) => Err(A::Error::custom("second entry")),
        None => Ok(()),
    }
}

/// Encodes `frame`.
///
/// # Errors
///
/// [`CodecError::Unwritable`]; does not happen for frames of this build.
pub fn encode(frame: &Frame) -> Result<Bytes, CodecError> {
    to_payload(frame)
}

/// Decodes one frame, which has to take up all of `bytes`.
///
/// # Errors
///
/// Any [`CodecError`] except [`CodecError::Unwritable`].
pub fn decode(bytes: &[u8]) -> Result<Decoded, CodecError> {
    from_payload(bytes)
}

/// Encodes `value` as CBOR, for the opaque payloads of frames.
///
/// # Errors
///
/// [`CodecError::Unwritable`] if the type's `Serialize` implementation fails.
pub fn to_payload<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).map_err(|_| CodecError::Unwritable)?;
    Ok(out.into())
}

/// Decodes one value, which has to take up all of `bytes`.
///
/// # Errors
///
/// Any [`CodecError`] except [`CodecError::Unwritable`].
pub fn from_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(CodecError::from_ciborium)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(CodecError::Trailing(rest.len()))
    }
}

impl CodecError {
    /// Converts the library's error without its text, which may quote unauthenticated input.
    fn from_ciborium<E>(error: ciborium::de::Error<E>) -> Self {
        match error {
            ciborium::de::Error::Io(_) => Self::Truncated,
            ciborium::de::Error::Syntax(place) => Self::Syntax(place),
            ciborium::de::Error::Semantic(..) => Self::Shape,
            ciborium::de::Error::RecursionLimitExceeded => Self::Depth,
        }
    }
}
