//! State shared by the control and traffic threads, besides snapshots.

use crate::{
    crashes::Crashes,
    departures::SharedDepartures,
    freshness::RoutesFreshness,
    limits::SharedLimits,
    loads::Loads,
    partition::SharedPartition,
    quotas::SharedQuotas,
    relay_key::SharedRelayKey, //
};
use std::sync::Arc;

/// Handles to the state shared by both threads. Clones refer to the same state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Channels {
    pub(crate) loads: Arc<Loads>,
    pub(crate) crashes: Arc<Crashes>,
    pub(crate) departures: Arc<SharedDepartures>,
    pub(crate) routes_freshness: Arc<RoutesFreshness>,
    pub(crate) limits: Arc<SharedLimits>,
    pub(crate) quotas: Arc<SharedQuotas>,
    pub(crate) partition: Arc<SharedPartition>,
    pub(crate) relay_key: Arc<SharedRelayKey>,
}
