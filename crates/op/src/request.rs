//! What operators ask for.

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
    Target, //
};
use std::time::Duration;

/// Content type of an accept whose blocks follow: the request as JSON on one line, then the block
/// file as it is.
///
/// As a string in JSON a table of 1.7 million blocks would be held twice over by the daemon that
/// takes it, which shows as a resident size past its limit.
pub const WITH_BLOCKS: &str = "application/x-jasmine-accept";

/// Makes a configuration the one in force: `POST /op/v1/accept`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptRequest {
    /// Name of the accept; a repeat carries the same one.
    pub accept_id: String,
    /// Operator, as stated.
    pub author: ByteString,
    /// Version that the operator changed; without it, the one in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base_version: Option<Version>,
    /// Configuration, in YAML.
    pub text: String,
    /// Block table or a difference to the one in force; without it, the table stays. A large one
    /// follows the request's line instead, see [`WITH_BLOCKS`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub blocks: Option<String>,
}

/// What becomes of a drain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainAction {
    /// No new work goes there.
    Start,
    /// New work goes there again.
    Stop,
}

/// Starts or stops a drain: `POST /op/v1/drain`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainRequest {
    /// Name of the accept that this is under the hood.
    pub accept_id: String,
    /// Operator, as stated.
    pub author: ByteString,
    /// Start or stop.
    pub action: DrainAction,
    /// What is drained.
    pub target: DrainTarget,
}

/// Revises the targets of a class: `POST /op/v1/target`. What is left out stays.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRequest {
    /// Name of the accept that this is under the hood.
    pub accept_id: String,
    /// Operator, as stated.
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
    /// Rank when work must be refused; 0 is refused last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Requests that should be answered whole and in time, per million.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub success_target_ppm: Option<u32>,
}

impl TargetRequest {
    /// The revision of a class that this asks for.
    pub fn target(&self) -> Target {
        Target {
            latency_target: self.latency_ms.map(Duration::from_millis),
            headroom_pct: self.headroom_pct,
            deadline: self.deadline_ms.map(Duration::from_millis),
            priority: self.priority,
            success_target_ppm: self.success_target_ppm,
        }
    }
}
