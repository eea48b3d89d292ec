//! The traffic thread's state of the upstreams, and the selection of an upstream for each request.
//!
//! - `hedge` decides whether a request is hedged.
//! - `outcome` updates the state with the results of requests.
//! - `peer_reports` exchanges requests in flight and warm keys with other entries.

mod hedge;
mod outcome;
mod peer_reports;

use crate::{
    limits::SharedLimits,
    message::WarmKey,
    settings::{
        Bounds,
        Settings, //
    },
    snapshot::{
        Snapshot,
        UpstreamView, //
    },
    traffic::{
        group::UpstreamGroup,
        path::ProbeTarget,
        placement::{
            logged_expectation,
            Incarnation,
            Placement,
            PlacementDecision,
            PlacementRequest,
            Rejection, //
        },
    },
};
use admit::{
    contended_ranks,
    Rank, //
};
use balance::{
    affinity_hash,
    choose,
    entry_share,
    pause_left,
    Choice,
    Query,
    ShiftLimiter,
    Upstream,
    UpstreamCounts, //
};
use base::{
    FastMap,
    FastSet,
    Now,
    RegionId,
    ServiceId,
    UpstreamId,
    Version, //
};
use bytestring::ByteString;
use event::Reason;
use relay::Target;
use route::{
    Route,
    Split,
    Table, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Window over which the change of the distribution of requests over regions is limited.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);
/// Fraction of the configured limit on that change that one entry uses. The windows of different entries overlap, so a
/// window over all entries may include the changes of two windows of an entry.
const SHIFT_LIMIT_FRACTION: f64 = 0.5;
/// Maximum wait at an upstream of requests of the lowest rank, as a multiple of the warm service time. It keeps the slots
/// busy between two requests of an entry.
const WAIT_MAX_LOWEST: f64 = 0.34;
/// `Retry-After` if the service has no upstream at all: the time until an upstream that starts is listed.
const NOT_LISTED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Cold-start parameters of a service's upstreams.
#[derive(Clone, Copy, Debug, Default)]
struct ColdStart {
    /// Time for which a started upstream is cold.
    duration: Duration,
    /// Requests per second that a cold upstream can handle; 0 means no limit.
    requests_per_s: f64,
}

/// Upstreams of all services, and this entry's limits on sends to them.
pub(crate) struct Fleet {
    bounds: Bounds,
    groups: FastMap<ServiceId, UpstreamGroup>,
    splits: FastMap<ByteString, Split>,
    shift_limiter: ShiftLimiter,
    location: balance::Location,
    entries_known: Option<usize>,
    cold_starts: FastMap<ServiceId, ColdStart>,
    snapshot_number: u64,
    /// Upstreams of the last snapshot applied.
    views: Arc<Vec<UpstreamView>>,
    routes_version: Version,
    loads_seen: u64,
    limits_seen: u64,
    /// Ranks of the requests for each service, the highest first. Services whose requests all have the same rank are left
    /// out.
    ranks: FastMap<ServiceId, Vec<Rank>>,
    /// Earlier incarnations of upstreams that have started again under their names, until their connections are closed.
    ended_targets: Vec<Target>,
    /// Keys sent to upstreams that were not known to be warm for them, not yet reported to other entries.
    unreported_warm_keys: Vec<WarmKey>,
}

impl Fleet {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            bounds: settings.bounds.clone(),
            groups: FastMap::default(),
            splits: FastMap::default(),
            shift_limiter: ShiftLimiter::new(
                SHIFT_WINDOW,
                affinity_hash(settings.instance.as_bytes()),
            ),
            location: balance::Location::default(),
            entries_known: None,
            cold_starts: FastMap::default(),
            snapshot_number: 0,
            views: Arc::default(),
            routes_version: 0,
            loads_seen: 0,
            limits_seen: 0,
            ranks: FastMap::default(),
            ended_targets: Vec::new(),
            unreported_warm_keys: Vec::new(),
        }
    }

    /// Applies a snapshot. Returns whether it is newer than the last one.
    pub(super) fn update(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.number == self.snapshot_number {
            return false;
        }
        self.snapshot_number = snapshot.number;
        self.location = snapshot.location.clone();
        self.bounds = snapshot.bounds.clone();
        self.entries_known = snapshot.sender_count;
        if !Arc::ptr_eq(&self.views, &snapshot.upstreams) {
            self.views = snapshot.upstreams.clone();
            self.update_upstreams(&snapshot.upstreams);
        }
        if let Some(table) = &snapshot.routes {
            self.update_routes(table);
        }
        true
    }

    fn update_upstreams(&mut self, upstreams: &[UpstreamView]) {
        let mut views: FastMap<&ServiceId, Vec<&UpstreamView>> = FastMap::default();
        for view in upstreams {
            views.entry(&view.service).or_default().push(view);
        }
        self.groups.retain(|service, _| views.contains_key(service));
        for (service, mut views) in views {
            let bounds = &self.bounds;
            let group = self
                .groups
                .entry(service.clone())
                .or_insert_with(|| UpstreamGroup::new(bounds));
            group.update(&mut views, |ended| self.ended_targets.push(ended));
        }
    }

    /// Takes the earlier incarnations of upstreams that have started again since the last call. Nothing may be sent on
    /// connections to them: requests on a connection whose process is gone may have run, as far as this entry can tell.
    pub(super) fn take_ended_targets(&mut self) -> Vec<Target> {
        std::mem::take(&mut self.ended_targets)
    }

    /// Applies the limits known to the entries, if the limits or the upstreams have changed.
    pub(super) fn update_limits(&mut self, limits: &SharedLimits, upstreams_changed: bool) {
        if upstreams_changed {
            self.limits_seen = 0;
        }
        let Some(limits) = limits.changed_since(&mut self.limits_seen) else {
            return;
        };
        let groups = self.groups.values_mut();
        for upstream in groups.flat_map(|group| &mut group.upstreams) {
            upstream.limit_per_s = limits.get(&upstream.id, upstream.started_ms);
        }
    }

    /// Applies a newer version of the routes and drops the state of removed routes.
    fn update_routes(&mut self, table: &Table) {
        if table.version() == self.routes_version {
            return;
        }
        self.routes_version = table.version();
        let services = &table.routes().services;
        let cold_starts = services.iter().map(|service| {
            let cold_start = ColdStart {
                duration: service.cold_start,
                requests_per_s: service.cold_per_s,
            };
            (service.id.clone(), cold_start)
        });
        self.cold_starts = cold_starts.collect();
        self.ranks = contended_ranks(table.routes());
        let hosts = &table.routes().hosts;
        let routes = hosts.iter().flat_map(|host| &host.routes);
        let ids: FastSet<&ByteString> = routes.map(|route| &route.id).collect();
        self.splits.retain(|id, _| ids.contains(id));
        for group in self.groups.values_mut() {
            group.service_times.retain(|id, _| ids.contains(id));
            group.hedgers.retain(|id, _| ids.contains(id));
        }
    }

    /// Returns whether an upstream is known and not closed, so that connections to it are worth keeping.
    pub(super) fn is_usable(&self, id: &UpstreamId) -> bool {
        self.groups.values().any(|group| {
            let index = group.index_of(id);
            index.is_some_and(|index| !group.upstreams[index].is_closed())
        })
    }

    /// Returns the upstreams of the services that the routes list. A row may name a service that nobody else knows.
    fn listed_services(&self) -> impl Iterator<Item = &UpstreamGroup> {
        let groups = self.groups.iter();
        let listed = groups.filter(|(service, _)| self.cold_starts.contains_key(*service));
        listed.map(|(_, group)| group)
    }

    /// Returns how many upstreams may get requests.
    pub(super) fn usable_count(&self, now: Now) -> usize {
        let upstreams = self.listed_services().flat_map(|group| &group.upstreams);
        upstreams.filter(|upstream| upstream.is_open(now)).count()
    }

    /// Returns the upstreams that may be probed.
    pub(super) fn probe_targets(&self, now: Now) -> Vec<ProbeTarget> {
        let groups = self.listed_services();
        let upstreams = groups.flat_map(|group| group.upstreams.iter().zip(&group.addrs));
        upstreams
            .filter(|(upstream, _)| upstream.is_open(now))
            .map(|(upstream, addr)| ProbeTarget {
                target: Target {
                    id: upstream.id.clone(),
                    addr: *addr,
                },
                round_trip: self.location.round_trip(&upstream.region),
            })
            .collect()
    }

    /// Returns whether requests of several ranks reach a service.
    pub(super) fn is_contended(&self, service: &ServiceId) -> bool {
        self.ranks.contains_key(service)
    }

    /// Returns how long requests of a rank may wait at an upstream while higher ones lack room, as a multiple of the warm
    /// service time. The time of the highest rank is limited by its target alone; each lower rank leaves a part of the room at
    /// the upstreams to those above it.
    pub(super) fn wait_max(&self, service: &ServiceId, rank: Rank) -> Option<f64> {
        let ranks = self.ranks.get(service)?;
        let higher = ranks.iter().filter(|other| **other < rank).count();
        let lower_or_same = ranks.len().saturating_sub(higher).max(1);
        (higher > 0).then_some(WAIT_MAX_LOWEST * lower_or_same as f64)
    }

    /// Returns the service for the next request of a route, by its traffic split.
    pub(super) fn next_service(&mut self, route: &Route) -> Option<ServiceId> {
        let split = self.splits.entry(route.id.clone()).or_default();
        let index = split.next(&route.split)?;
        Some(route.split[index].service.clone())
    }

    /// Adds a caller's request to the retry budget of a service.
    pub(super) fn note_request(&mut self, service: &ServiceId, now: Now) {
        if let Some(group) = self.groups.get_mut(service) {
            group.budget.note_request(now);
        }
    }

    /// Charges one retry to the budget of a service. Returns whether the budget allowed it.
    pub(super) fn try_take_retry(&mut self, service: &ServiceId, now: Now) -> bool {
        let slack = entry_share(self.bounds.retry_slack, self.entries_known);
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        group.try_take_retry(service, slack, now)
    }

    /// Selects the upstream for a request and counts the request as in flight there.
    pub(super) fn place(&mut self, request: &PlacementRequest<'_>, now: Now) -> PlacementDecision {
        let cold_per_s = self.cold_per_s(request.service);
        let shift_limited_regions = self.shift_limited_regions(request.service, now);
        let Some(group) = self.groups.get_mut(request.service) else {
            return PlacementDecision::Reject(Rejection::new(
                Reason::NoUpstreamListed,
                NOT_LISTED_RETRY_AFTER,
            ));
        };
        let tried = request.tried.iter().filter_map(|id| group.index_of(id));
        let tried: Vec<usize> = tried.collect();
        let service_times = group.service_times(&request.route.id);
        let query = Query {
            key: request.key,
            has_affinity_key: request.has_affinity_key,
            target_left: request.target_left,
            deadline_left: request.deadline_left,
            home_regions: [&request.route.homes, request.organisation_homes],
            tried: &tried,
            shift_limited_regions: &shift_limited_regions,
            cold_per_s,
            service_times,
            usual_speed: group.usual_speed,
            runs_once: !request.route.kind.is_idempotent(),
            may_probe: request.may_probe && service_times.is_probe_due(now),
        };
        let warm = query.service_times.warm();
        let wait_max = request.wait_max.map(|max| warm.mul_f64(max));
        let choice = choose(&mut group.upstreams, &query, &self.location, now);
        let choice = limit_wait(choice, wait_max);
        if let Some(pending) = &request.pending {
            let slack = entry_share(self.bounds.retry_slack, self.entries_known);
            if !group.try_take_hedge(request, pending, &choice, slack, now) {
                return PlacementDecision::Reject(Rejection::default());
            }
        }
        match choice {
            Choice::Send {
                index,
                warm,
                idle,
                is_probe,
                expected,
            } => {
                if is_probe {
                    group.note_probe_sent(&request.route.id, now);
                }
                let upstream = &mut group.upstreams[index];
                let load = upstream.load(now);
                let report_age = upstream.report_age(now);
                upstream.in_flight += 1;
                upstream.chosen_at = Some(now);
                if request.has_affinity_key {
                    upstream.warm_keys.note(request.key, now);
                    if !warm {
                        self.unreported_warm_keys
                            .push(WarmKey(upstream.incarnation_hash(), request.key));
                    }
                }
                let restricted = upstream.is_restricted(now);
                if restricted {
                    upstream.note_chosen();
                }
                self.shift_limiter.note(&upstream.region, now);
                let target = Target {
                    id: upstream.id.clone(),
                    addr: group.addrs[index],
                };
                let incarnation = Incarnation {
                    service: request.service.clone(),
                    id: upstream.id.clone(),
                    started_ms: upstream.started_ms,
                };
                let placement = Placement {
                    incarnation,
                    route: request.route.id.clone(),
                    key: request.has_affinity_key.then_some(request.key),
                    warm,
                    idle,
                    is_probe,
                    restricted,
                    load,
                    slots: upstream.slots,
                    report_age,
                    speed: upstream.speed,
                    chosen_at: now,
                    region: upstream.region.clone(),
                    failure_domain: upstream.failure_domain.clone(),
                    expected: logged_expectation(expected),
                };
                PlacementDecision::Send {
                    target,
                    placement: Box::new(placement),
                }
            }
            Choice::Refuse {
                retry_after,
                expected,
            } => PlacementDecision::Reject(Rejection {
                reason: Reason::NoSlotInTime,
                retry_after,
                expected: logged_expectation(expected),
                upstream_counts: UpstreamCounts::of(&group.upstreams, now),
            }),
            Choice::NoUpstream { retry_after } => PlacementDecision::Reject(Rejection {
                upstream_counts: UpstreamCounts::of(&group.upstreams, now),
                ..Rejection::new(Reason::NoUpstreamOpen, retry_after)
            }),
        }
    }

    /// Returns the rejection of a request for a service that other requests go before.
    pub(super) fn no_slot(&self, service: &ServiceId, now: Now) -> Rejection {
        let group = self.groups.get(service);
        let upstreams = group.map_or(&[][..], |group| &group.upstreams);
        Rejection {
            upstream_counts: UpstreamCounts::of(upstreams, now),
            ..Rejection::default()
        }
    }

    /// Returns the time until the first upstream of a service in these regions ends its pause; zero if one of them is
    /// not paused.
    pub(super) fn pause_left(
        &self,
        service: &ServiceId,
        home_regions: [&[RegionId]; 2],
        now: Now,
    ) -> Duration {
        let group = self.groups.get(service);
        group.map_or(Duration::ZERO, |group| {
            pause_left(&group.upstreams, home_regions, now)
        })
    }

    /// Returns the regions of the service's upstreams that may get no more requests for now, by the limit on shifts
    /// between regions.
    fn shift_limited_regions(&mut self, service: &ServiceId, now: Now) -> Vec<RegionId> {
        let growth = self.bounds.shift_max * SHIFT_LIMIT_FRACTION;
        let mut limited: Vec<RegionId> = Vec::new();
        let mut allowed: Vec<RegionId> = Vec::new();
        let upstreams = self.groups.get(service).map(|group| &group.upstreams);
        for upstream in upstreams.into_iter().flatten() {
            let region = &upstream.region;
            if allowed.contains(region) || limited.contains(region) {
                continue;
            }
            let list = if self.shift_limiter.allows(region, growth, now) {
                &mut allowed
            } else {
                &mut limited
            };
            list.push(region.clone());
        }
        limited
    }

    /// Returns the limit on requests per second to a cold upstream.
    fn cold_per_s(&self, service: &ServiceId) -> f64 {
        let rate = self.cold_start(service).requests_per_s;
        if rate <= 0.0 {
            return f64::MAX;
        }
        rate * self.bounds.cold_factor + self.bounds.cold_slack
    }

    fn cold_start(&self, service: &ServiceId) -> ColdStart {
        self.cold_starts.get(service).copied().unwrap_or_default()
    }

    fn upstream(&mut self, incarnation: &Incarnation) -> Option<&mut Upstream> {
        let group = self.groups.get_mut(&incarnation.service)?;
        let index = group.index_of(&incarnation.id)?;
        let upstream = &mut group.upstreams[index];
        incarnation.matches(upstream).then_some(upstream)
    }
}

/// Refuses a request that would wait for longer than `wait_max` at the upstream chosen for it.
fn limit_wait(choice: Choice, wait_max: Option<Duration>) -> Choice {
    match choice {
        Choice::Send { expected, .. } if wait_max.is_some_and(|max| expected.wait > max) => {
            Choice::Refuse {
                retry_after: expected.wait,
                expected,
            }
        }
        choice => choice,
    }
}
