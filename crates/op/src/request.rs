//! Requests of operators.

use base::{
    ClassId,
    Version, //
};
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};
use spec::{
    DrainTarget,
    TargetUpdate, //
};
use std::time::Duration;

/// Content type of an accept followed by its blocks: the request as JSON on one line, then the
/// unmodified block file.
///
/// As a JSON string, a table of 1.7 million blocks would be in the receiving daemon's memory twice
/// and raise its resident size above the limit.
pub const CONTENT_TYPE_WITH_BLOCKS: &str = "application/x-jasmine-accept";

/// Puts a configuration into force: `POST /op/v1/accept`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptRequest {
    /// Id of the accept; a repeat carries the same one.
    pub accept_id: String,
    /// Operator, as stated by the client.
    pub author: ByteString,
    /// Version that the operator edited; the one in force if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base_version: Option<Version>,
    /// Configuration, in YAML.
    pub text: String,
    /// Block table, or a difference to the one in force; if absent, the table stays. A large one
    /// follows the request's line instead, see [`CONTENT_TYPE_WITH_BLOCKS`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blocks: Option<String>,
}

/// Change to a drain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainAction {
    /// The target gets no new work.
    Start,
    /// The target gets new work again.
    Stop,
}

/// Starts or stops a drain: `POST /op/v1/drain`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainRequest {
    /// Id of the accept that implements this request.
    pub accept_id: String,
    /// Operator, as stated by the client.
    pub author: ByteString,
    /// Start or stop.
    pub action: DrainAction,
    /// Target of the drain.
    pub target: DrainTarget,
}

/// Changes the targets of a class: `POST /op/v1/target`. Absent fields stay as they are.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRequest {
    /// Id of the accept that implements this request.
    pub accept_id: String,
    /// Operator, as stated by the client.
    pub author: ByteString,
    /// Class.
    pub class: ClassId,
    /// Latency target, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_ms: Option<u64>,
    /// Headroom, in percent of a region's slots.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub headroom_pct: Option<u8>,
    /// Deadline, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Rank for load shedding; 0 is refused last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Target for complete responses in time, per million requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub success_target_ppm: Option<u32>,
}

impl TargetRequest {
    /// The requested changes to the targets of the class.
    pub fn target(&self) -> TargetUpdate {
        TargetUpdate {
            latency_target: self.latency_ms.map(Duration::from_millis),
            headroom_pct: self.headroom_pct,
            deadline: self.deadline_ms.map(Duration::from_millis),
            priority: self.priority,
            success_target_ppm: self.success_target_ppm,
        }
    }
}
