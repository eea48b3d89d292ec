//! Crash reports exchanged between entries.

use crate::fingerprint::{
    fingerprint,
    Fingerprint, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Hash of an upstream's id and start time, identical in every process.
pub type IncarnationHash = u64;

/// Computes the hash of an incarnation of an upstream.
pub fn incarnation_hash(upstream: &str, started_ms: u64) -> IncarnationHash {
    fingerprint(&[upstream.as_bytes(), &started_ms.to_be_bytes()])
}

/// Report of an upstream that crashed while it ran a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Incarnation that crashed.
    pub upstream: IncarnationHash,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the request has been answered since.
    pub cleared: bool,
}
