//! State of the upstreams of one service.

use crate::{
    settings::Bounds,
    snapshot::UpstreamView, //
};
use balance::{
    RetryBudget,
    ServiceTimes,
    Upstream,
    UsualSpeed, //
};
use base::FastMap;
use bytestring::ByteString;
use std::net::SocketAddr;

/// Upstreams of one service.
pub(super) struct UpstreamGroup {
    /// Sorted by id.
    pub(super) upstreams: Vec<Upstream>,
    /// Addresses, in the order of `upstreams`.
    pub(super) addrs: Vec<SocketAddr>,
    pub(super) budget: RetryBudget,
    /// Second in which the exhausted budget was last logged.
    pub(super) exhaustion_logged_s: Option<u64>,
    /// Service times by route id, as those of the routes of one service may differ widely.
    pub(super) service_times: FastMap<ByteString, ServiceTimes>,
    /// Mean of the speeds that the upstreams state.
    pub(super) usual_speed: UsualSpeed,
}

impl UpstreamGroup {
    /// Creates a group without upstreams.
    pub(super) fn new(bounds: &Bounds) -> Self {
        Self {
            upstreams: Vec::new(),
            addrs: Vec::new(),
            budget: RetryBudget::new(bounds.retry_ratio, bounds.retry_window),
            exhaustion_logged_s: None,
            service_times: FastMap::default(),
            usual_speed: UsualSpeed::default(),
        }
    }

    /// Returns the service times of a route, or the default if none are known; other routes' times don't apply to it.
    pub(super) fn service_times(&self, route: &str) -> ServiceTimes {
        self.service_times.get(route).copied().unwrap_or_default()
    }

    /// Returns the index of an upstream.
    pub(super) fn index_of(&self, id: &str) -> Option<usize> {
        let index = self
            .upstreams
            .binary_search_by(|upstream| (*upstream.id).cmp(id));
        index.ok()
    }

    /// Applies the upstreams of a snapshot. The state that this thread has gathered about an incarnation is kept.
    pub(super) fn update(&mut self, views: &mut [&UpstreamView]) {
        views.sort_by(|a, b| a.id.cmp(&b.id));
        let mut previous = std::mem::take(&mut self.upstreams).into_iter().peekable();
        self.addrs.clear();
        for view in views {
            while previous.next_if(|upstream| upstream.id < view.id).is_some() {}
            let same = |old: &Upstream| old.id == view.id && old.started_ms == view.started_ms;
            let mut upstream = previous.next_if(same).unwrap_or_else(|| {
                Upstream::new(
                    view.id.clone(),
                    view.region.clone(),
                    view.failure_domain.clone(),
                    view.slots,
                )
            });
            upstream.started_ms = view.started_ms;
            upstream.closed = view.closed;
            upstream.cold_until = view.cold_until;
            upstream.lease_until = view.lease_until;
            self.upstreams.push(upstream);
            self.addrs.push(view.addr);
        }
    }
}
