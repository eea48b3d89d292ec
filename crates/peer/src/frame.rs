//! Messages between daemons.
//!
//! A frame is a CBOR map with one entry, from the name of the frame's kind to its fields. A
//! receiver ignores unknown fields and unknown kinds, so that daemons of two releases can run side
//! by side; a change that must not be ignored needs a higher [`PROTOCOL`]. Ages are milliseconds
//! at the sender when it wrote the frame: an age is a lower bound, and the receiver adds the time
//! since.

use base::{
    DomainId,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId,
    Version, //
};
use bytes::Bytes;
use bytestring::ByteString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Protocol version of this build.
pub const PROTOCOL: u32 = 1;
/// Oldest protocol version that this build accepts.
pub const MIN_PROTOCOL: u32 = 1;

/// One message between two daemons.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// First message of both sides.
    Hello(Hello),
    /// Response to the other side's nonce.
    Proof(Proof),
    /// Heartbeat.
    Beat(Beat),
    /// One message of the `share` protocol.
    Share(Share),
    /// Request for a configuration.
    ConfigWant(ConfigWant),
    /// One part of a configuration.
    ConfigBody(ConfigBody),
    /// A stopping instance's records for its successor.
    HandOver(HandOver),
    /// The successor's response.
    HandOverAck(HandOverAck),
    /// Application message, opaque to this layer.
    Note(Note),
    /// The sender closes the session and does not reopen it.
    Goodbye(Goodbye),
}

impl Frame {
    /// Name of the frame's kind on the wire.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Proof(_) => "proof",
            Self::Beat(_) => "beat",
            Self::Share(_) => "share",
            Self::ConfigWant(_) => "config-want",
            Self::ConfigBody(_) => "config-body",
            Self::HandOver(_) => "hand-over",
            Self::HandOverAck(_) => "hand-over-ack",
            Self::Note(_) => "note",
            Self::Goodbye(_) => "goodbye",
        }
    }
}

/// Identity of the sender, and its challenge to the other side.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Newest protocol version that the sender accepts.
    pub protocol: u32,
    /// Oldest protocol version that the sender accepts.
    pub min_protocol: u32,
    /// Sender.
    pub instance: InstanceId,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Sender's region.
    pub region: RegionId,
    /// Sender's failure domain.
    pub failure_domain: DomainId,
    /// Challenge, fresh for each session.
    pub nonce: Bytes,
    /// Lost session that the dialling side replaces with this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reopens: Option<Bytes>,
}

/// Keyed hash over both hellos and the sender's side.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof {
    /// Hash, 32 bytes.
    pub mac: Bytes,
}

/// Heartbeat: the sender's state and its view of instances and regions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// Sequence number, increasing within one incarnation.
    pub seq: u64,
    /// Sender.
    pub instance: InstanceId,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Sender's state.
    pub state: BeatState,
    /// Highest configuration version in force at the sender; 0 if none.
    pub version: Version,
    /// Digest of that configuration; empty if none.
    #[serde(default)]
    pub digest: Bytes,
    /// Instances known to the sender.
    #[serde(default)]
    pub instances: Vec<InstanceSummary>,
    /// Services known to the sender, by region.
    #[serde(default)]
    pub regions: Vec<RegionSummary>,
    /// Upstreams that the sender saw leaving.
    #[serde(default)]
    pub leaving_upstreams: Vec<LeavingUpstream>,
    /// Piggybacked messages of the `share` protocol.
    #[serde(default)]
    pub shares: Vec<Share>,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BeatState {
    /// Accepts new work.
    Live,
    /// Is stopping. An unknown state of a newer peer is read as this one, to be safe.
    #[serde(other)]
    Leaving,
}

/// A daemon's view of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceSummary {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Configuration version in force there.
    pub version: Version,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Age of the information at the sender, in milliseconds.
    pub age_ms: u64,
    /// Its address for callers.
    pub callers_addr: ByteString,
    /// Its address for other daemons.
    pub peers_addr: ByteString,
    /// Its address for operators.
    pub operator_addr: ByteString,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
}

/// A daemon's view of one service in one region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionId,
    /// The service.
    pub service: ServiceId,
    /// Usable slots.
    pub slots: u64,
    /// Slots in use.
    pub in_use: u64,
    /// Typical latency, in microseconds.
    pub latency_us: u64,
    /// Age of the information at the sender, in milliseconds.
    pub age_ms: u64,
    /// Load from the region's own callers, in thousandths of a busy slot.
    #[serde(default)]
    pub arriving_milli_slots: u64,
    /// Load on the region's upstreams, in thousandths of a busy slot.
    #[serde(default)]
    pub carrying_milli_slots: u64,
}

/// An upstream that is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Time since its departure was first noticed, in milliseconds.
    pub age_ms: u64,
}

/// One message of the `share` protocol; the daemon encodes it with [`crate::to_payload`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// Pool that the message concerns.
    pub pool: ByteString,
    /// The message, opaque to this layer.
    pub payload: Bytes,
}

/// Request for a configuration, or for one of its objects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigWant {
    /// Version that the sender learned of; the response may be a higher one.
    pub version: Version,
    /// Digest of the requested object; without it, the body of the version in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<ByteString>,
}

/// One part of a configuration object; see [`crate::ConfigAssembly`].
///
/// An object of total length 0 means that the sender does not have it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigBody {
    /// Version of the configuration.
    pub version: Version,
    /// Text of the head; the same in each part.
    pub head: ByteString,
    /// Offset of `body` in the object, in bytes.
    pub offset: u64,
    /// Length of the object, in bytes.
    pub total: u64,
    /// Content of the part.
    pub body: Bytes,
}

/// A stopping instance's records for its successor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// Number of the hand-over within the sender's incarnation; repeated in the response.
    pub seq: u64,
    /// The records, opaque to this layer.
    pub payload: Bytes,
}

/// The successor's response to a [`HandOver`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOverAck {
    /// Number of the hand-over.
    pub seq: u64,
    /// Whether the successor accepted it.
    pub accepted: bool,
    /// Details, opaque to this layer.
    #[serde(default)]
    pub payload: Bytes,
}

/// Application message, encoded with [`crate::to_payload`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Note {
    /// The message, opaque to this layer.
    pub payload: Bytes,
}

/// The sender closes the session and does not reopen it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Goodbye {
    /// Why the session is closed.
    pub reason: GoodbyeReason,
}

/// Why a daemon closes a session deliberately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GoodbyeReason {
    /// Its process is stopping.
    Stopping,
    /// The receiver is no longer among its partners. An unknown reason of a newer peer is read as
    /// this one.
    #[serde(other)]
    Unwanted,
}
