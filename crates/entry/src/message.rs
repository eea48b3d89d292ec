//! What entries tell each other.

use base::{
    DomainId,
    UpstreamId, //
};
use picture::{
    Evacuation,
    Reach,
    UpstreamUpdate, //
};
use route::Routes;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// One message between entries.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Message {
    /// How the sender is, and how far its picture reaches.
    State(State),
    /// The receiver's picture reaches farther: send me what it has.
    Want(Want),
    /// Routes.
    Routes(Arc<Routes>),
    /// Evacuations, and those taken back.
    Evacuations(Vec<(DomainId, Evacuation)>),
    /// Upstreams.
    Upstreams(Vec<UpstreamUpdate>),
    /// Cold upstreams of which the sender holds the leases.
    ColdHeld(Vec<UpstreamId>),
    /// Affinity keys that the sender has sent to upstreams which it did not know to be warm for them.
    Warmed(Vec<WarmKey>),
    /// The sender has just started: tell it all such keys that are known.
    WantWarmed,
    /// The sender's requests in flight at upstreams; none at those not named.
    Loads(Vec<UpstreamLoad>),
}

/// Requests of one entry in flight at one upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct UpstreamLoad(
    /// Hash of the upstream's name, as [`balance::affinity`] makes it.
    pub(crate) u64,
    /// Requests.
    pub(crate) u32,
);

/// An affinity key that an upstream had.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WarmKey(
    /// Hash of the upstream's name, as [`balance::affinity`] makes it.
    pub(crate) u64,
    /// Hash of the key, made likewise.
    pub(crate) u64,
);

/// State of an entry; told at intervals and at each change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct State {
    /// Where callers reach it.
    pub(crate) callers_addr: SocketAddr,
    /// Takes new callers.
    pub(crate) ready: bool,
    /// How far its picture reaches.
    pub(crate) reach: Reach,
}

/// The parts of a picture that are asked for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Want {
    pub(crate) operator: bool,
    pub(crate) upstreams: bool,
}
