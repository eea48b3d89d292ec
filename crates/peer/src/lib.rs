//! Sessions between daemons: CBOR frames over WebSocket, authenticated by a shared key.
//!
//! A [`Mesh`] belongs to the daemon's control thread. It dials its configured partners, accepts
//! connections from other daemons and reports everything as one stream of [`Event`]s;
//! [`Mesh::send`] never blocks. Duplicate connections of a pair and reopened connections are
//! hidden: the owner sees one peer per instance, which is up or down.
//!
//! Invariants:
//! - No frame reaches the owner before its sender has proved that it holds the shared key, over
//!   fresh nonces of both sides.
//! - `Up`, then frames, then `Down`, for one incarnation of an instance at a time.
//! - Memory is bounded by the frame size, the queue lengths and the number of concurrent
//!   handshakes.
//!
//! `frame.rs` defines the messages, `handshake.rs` the authentication, `registry.rs` the set of
//! connected peers, `session/mod.rs` the lifecycle of one connection and `dial.rs` reconnection.
//! docs/design/peer.md lists the alternatives that were considered.

mod accept;
mod codec;
mod config;
mod counters;
mod counting_stream;
mod dial;
mod event;
mod frame;
mod handshake;
mod key;
mod mesh;
mod opening;
mod outbox;
mod refusal;
mod registry;
mod session;
mod shared;

pub use codec::{
    decode,
    encode,
    from_payload,
    to_payload,
    CodecError,
    Decoded, //
};
pub use config::{
    split_config,
    AssemblyError,
    ConfigAssembly,
    WholeConfig,
    CONFIG_PART_BYTES, //
};
pub use counters::{
    Counter,
    Counters, //
};
pub use event::{
    DownReason,
    Event,
    Events,
    PeerInfo, //
};
pub use frame::{
    Beat,
    BeatState,
    ConfigBody,
    ConfigWant,
    Frame,
    Goodbye,
    GoodbyeReason,
    HandOver,
    HandOverAck,
    Hello,
    InstanceSummary,
    LeavingUpstream,
    Note,
    Proof,
    RegionSummary,
    Share,
    MIN_PROTOCOL,
    PROTOCOL, //
};
pub use key::{
    is_same_secret,
    Key,
    MAC_BYTES, //
};
pub use mesh::{
    Identity,
    Mesh,
    Options,
    Partner,
    SendResult, //
};
pub use refusal::Refusal;
