//! The accepted configuration: adopts higher versions, accepts new ones.
//!
//! The state machines are those of crate `spec`; here their actions are carried out. A version
//! comes by the head's row in the table and by the heartbeats of other daemons, whichever is
//! first; its objects come from a peer or from the store. So a daemon that is cut off from the
//! platform still adopts what the others have, and a slow platform delays only the one daemon that
//! accepts.
//!
//! - `adopt`: who told of which head, and putting one in force.
//! - `fetch`: getting the objects that a head names.
//! - `serve`: giving them to peers.
//! - `objects`: the few that are kept for that.
//! - `accept`: operators' configurations, drains and targets.
//! - `history`: earlier versions.
//! - `confirm`: which instances have a version in force.

mod accept;
mod adopt;
mod confirm;
mod fetch;
mod history;
mod objects;
mod serve;

pub(crate) use self::{
    accept::{
        Accept,
        Edit, //
    },
    confirm::GetConfirmation,
    history::{
        GetConfig,
        GetHistory, //
    },
};

use self::{
    adopt::Waiter,
    fetch::{
        Fetch,
        Want, //
    },
    objects::Objects, //
};
use base::{
    InstanceId,
    Now,
    Version, //
};
use member::LeaseObserver;
use peer::ConfigAssembly;
use spec::Adopt;
use std::collections::BTreeMap;

/// Versions as this daemon knows them, and what is under way.
#[derive(Default)]
pub(super) struct Versions {
    /// The state machine, once it is known whom to ask at the start.
    adopt: Option<Adopt>,
    /// Peers asked at the start that have not been heard, or have told of a version whose head is
    /// on its way.
    unheard: BTreeMap<InstanceId, Option<Version>>,
    /// When those that have not been heard are given up.
    give_up_at: Now,
    /// Objects kept for peers.
    objects: Objects,
    /// Parts that peers sent so far.
    assemblies: BTreeMap<InstanceId, ConfigAssembly>,
    /// Head that a peer was asked for.
    want: Option<Want>,
    /// Object that is being fetched.
    fetch: Option<Fetch>,
    /// Accepts that wait until a version is in force here.
    waiters: Vec<Waiter>,
    /// A snapshot is being written out for a peer.
    is_rebuilding: bool,
    /// Leases of silent instances, as accepts that wait for confirmations saw them.
    leases: Option<LeaseObserver>,
}
