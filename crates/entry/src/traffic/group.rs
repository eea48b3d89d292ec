//! The upstreams of one service, as this thread sees them.

use crate::{
    settings::Bounds,
    snapshot::UpstreamView, //
};
use balance::{
    RetryBudget,
    ServiceTimes, //
    Upstream,
};
use base::FastMap;
use bytestring::ByteString;
use std::net::SocketAddr;

/// Upstreams of one service.
pub(super) struct Group {
    /// In order of their names.
    pub(super) upstreams: Vec<Upstream>,
    pub(super) addrs: Vec<SocketAddr>,
    pub(super) budget: RetryBudget,
    /// Second in which it was last said that the budget is spent.
    pub(super) spent_told: Option<u64>,
    /// Times of the work of each route: routes of one service may differ by far.
    pub(super) work: FastMap<ByteString, ServiceTimes>,
}

impl Group {
    /// One without upstreams.
    pub(super) fn new(bounds: &Bounds) -> Self {
        Self {
            upstreams: Vec::new(),
            addrs: Vec::new(),
            budget: RetryBudget::new(bounds.retry_ratio, bounds.retry_window),
            spent_told: None,
            work: FastMap::default(),
        }
    }

    /// Times of the work of a route; those of any other say nothing of it.
    pub(super) fn work(&self, route: &str) -> ServiceTimes {
        self.work.get(route).copied().unwrap_or_default()
    }

    /// Place of an upstream.
    pub(super) fn place(&self, id: &str) -> Option<usize> {
        let place = self.upstreams.binary_search_by(|one| (*one.id).cmp(id));
        place.ok()
    }

    /// Takes over what control knows; what this thread saw of an incarnation stays.
    pub(super) fn follow(&mut self, views: &mut [&UpstreamView]) {
        views.sort_by(|a, b| a.id.cmp(&b.id));
        let mut before = std::mem::take(&mut self.upstreams).into_iter().peekable();
        self.addrs.clear();
        for view in views {
            while before.next_if(|one| one.id < view.id).is_some() {}
            let same = |one: &Upstream| one.id == view.id && one.started_ms == view.started_ms;
            let mut upstream = before.next_if(same).unwrap_or_else(|| {
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
