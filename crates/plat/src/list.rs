//! Decoding of the platform's list, entry by entry.
//!
//! Others write to the list as well, and what they leave there must not keep the rest of it from being followed.

use crate::types::{
    List,
    UnusableEntry, //
};
use bytestring::ByteString;
use serde::{
    de::{
        DeserializeOwned,
        Error as _, //
    },
    Deserialize,
    Deserializer, //
};
use serde_json::value::RawValue;

/// Longest finding about an entry, in characters. An error message may quote a value of any length.
const FINDING_CHARS_MAX: usize = 200;

/// The list before its entries are decoded. Unlike a decoded value, raw text may be nested to any depth.
#[derive(Deserialize)]
pub(crate) struct WireList {
    as_of_ms: u64,
    instances: Vec<Box<RawValue>>,
    upstreams: Vec<Box<RawValue>>,
}

impl From<WireList> for List {
    fn from(wire: WireList) -> Self {
        let mut unusable = Vec::new();
        Self {
            as_of_ms: wire.as_of_ms,
            instances: decode_entries("instances", &wire.instances, &mut unusable),
            upstreams: decode_entries("upstreams", &wire.upstreams, &mut unusable),
            unusable,
        }
    }
}

/// Decodes the entries of one kind, and adds those that can't be used to `unusable`.
fn decode_entries<T: DeserializeOwned>(
    kind: &str,
    entries: &[Box<RawValue>],
    unusable: &mut Vec<UnusableEntry>,
) -> Vec<T> {
    let mut decoded = Vec::with_capacity(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        match serde_json::from_str(entry.get()) {
            Ok(entry) => decoded.push(entry),
            Err(error) => unusable.push(UnusableEntry {
                place: format!("{kind}[{index}]"),
                finding: error.to_string().chars().take(FINDING_CHARS_MAX).collect(),
            }),
        }
    }
    decoded
}

/// Decodes an address of the form `host:port`.
pub(crate) fn host_and_port<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<ByteString, D::Error> {
    let addr = ByteString::deserialize(deserializer)?;
    let is_valid = addr.rsplit_once(':').is_some_and(|(host, port)| {
        !host.is_empty() && port.parse::<u16>().is_ok_and(|port| port > 0)
    });
    if is_valid {
        return Ok(addr);
    }
    Err(D::Error::custom(format!("`{addr}` is not host:port")))
}
