//! State of the upstreams of one service.

use crate::{
    metric,
    settings::Bounds,
    snapshot::UpstreamView, //
};
use balance::{
    Hedger,
    RetryBudget,
    ServiceTimes,
    Upstream,
    UsualSpeed, //
};
use base::{
    FastMap,
    Now,
    ServiceId, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use relay::Target;
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
    /// Response times and limits of hedged requests, by route id.
    pub(super) hedgers: FastMap<ByteString, Hedger>,
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
            hedgers: FastMap::default(),
            usual_speed: UsualSpeed::default(),
        }
    }

    /// Returns the service times of a route, or the default if none are known; other routes' times don't apply to it.
    pub(super) fn service_times(&self, route: &str) -> ServiceTimes {
        self.service_times.get(route).copied().unwrap_or_default()
    }

    /// Records that a request of a route is sent as a probe.
    pub(super) fn note_probe_sent(&mut self, route: &ByteString, now: Now) {
        let service_times = self.service_times.entry(route.clone()).or_default();
        service_times.note_probe_sent(now);
        metrics::counter!(metric::PROBES).increment(1);
    }

    /// Discards the estimates that ruled out the requests of a route, since a probe has got a response: its service times, and
    /// the latencies of all upstreams, as what slowed them down may have ended for all.
    pub(super) fn discard_estimates(&mut self, route: &ByteString) {
        if let Some(service_times) = self.service_times.get_mut(route) {
            service_times.reset();
        }
        for upstream in &mut self.upstreams {
            upstream.health.expire_latency();
        }
    }

    /// Charges one retry to the budget, to which this entry's share of its constant part is added. Returns whether the
    /// budget allowed it, and logs once a second that it did not.
    pub(super) fn try_take_retry(&mut self, service: &ServiceId, slack: f64, now: Now) -> bool {
        let taken = self.budget.try_take(slack, now);
        if !taken && self.exhaustion_logged_s.replace(now.as_secs()) != Some(now.as_secs()) {
            emit(&Event::RetriesSpent {
                service: service.clone(),
            });
        }
        taken
    }

    /// Returns the index of an upstream.
    pub(super) fn index_of(&self, id: &str) -> Option<usize> {
        let index = self
            .upstreams
            .binary_search_by(|upstream| (*upstream.id).cmp(id));
        index.ok()
    }

    /// Applies the upstreams of a snapshot. The state that this thread has gathered about an incarnation is kept. Calls
    /// `on_ended` for each earlier incarnation of an upstream that has started again under its name.
    pub(super) fn update(&mut self, views: &mut [&UpstreamView], mut on_ended: impl FnMut(Target)) {
        views.sort_by(|a, b| a.id.cmp(&b.id));
        let upstreams = std::mem::take(&mut self.upstreams);
        let addrs = std::mem::take(&mut self.addrs);
        let mut previous = upstreams.into_iter().zip(addrs).peekable();
        for view in views {
            while previous.next_if(|(old, _)| old.id < view.id).is_some() {}
            let previous = previous.next_if(|(old, _)| old.id == view.id);
            let same = previous.and_then(|(old, addr)| {
                if old.started_ms == view.started_ms {
                    return Some(old);
                }
                on_ended(Target { id: old.id, addr });
                None
            });
            let mut upstream = same.unwrap_or_else(|| {
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
