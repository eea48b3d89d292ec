//! What the traffic thread knows of upstreams, and where a request goes.
//!
//! - `outcome` takes what becomes of a request, from its first byte on, and what that says of its upstream.
//! - `told` is what entries tell each other: requests in flight, and keys that upstreams are warm for.

mod outcome;
mod told;

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
        group::Group,
        placement::{
            logged,
            Incarnation,
            Need,
            Placed,
            Placement,
            Refused, //
        },
    },
};
use balance::{
    affinity_hash,
    choose,
    entry_share,
    Choice,
    Query,
    ShiftLimiter,
    Upstream, //
    UpstreamCounts,
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
use event::{
    emit,
    Event,
    Reason, //
};
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

/// Windows over which the part of requests that leaves the region may change.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);
/// Part of the promised bound on that change that one entry uses: windows of different entries
/// overlap, so that a window of the whole may see the growth of two of theirs.
const SHIFT_USED: f64 = 0.5;
/// When to come back if the service has no upstream at all: as long as one that starts takes to be
/// listed.
const NOT_LISTED_RETRY: Duration = Duration::from_millis(500);
/// One request in so many tries the upstream of this failure domain that its key ranks highest, though one
/// beyond it is warm: it warms within some seconds without making many requests late at once.
const EXPLORE_EVERY: u64 = 12;

/// How upstreams of a service start.
#[derive(Clone, Copy, Debug, Default)]
struct ColdStart {
    /// How long they are cold.
    lasts: Duration,
    /// Requests that a cold one bears in a second; zero is no bound.
    per_s: f64,
}

/// Upstreams of all services, and the budgets of this entry.
pub(crate) struct Fleet {
    bounds: Bounds,
    groups: FastMap<ServiceId, Group>,
    splits: FastMap<ByteString, Split>,
    shift: ShiftLimiter,
    here: balance::Location,
    entries_known: Option<usize>,
    starts: FastMap<ServiceId, ColdStart>,
    number: u64,
    /// Upstreams of the snapshot that was followed last.
    views: Arc<Vec<UpstreamView>>,
    routes_version: Version,
    loads_seen: u64,
    limits_seen: u64,
    /// Keys that were sent to upstreams not known to be warm for them, and not told yet.
    warmed: Vec<WarmKey>,
}

impl Fleet {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            bounds: settings.bounds.clone(),
            groups: FastMap::default(),
            splits: FastMap::default(),
            shift: ShiftLimiter::new(SHIFT_WINDOW, affinity_hash(settings.instance.as_bytes())),
            here: balance::Location::default(),
            entries_known: None,
            starts: FastMap::default(),
            number: 0,
            views: Arc::default(),
            routes_version: 0,
            loads_seen: 0,
            limits_seen: 0,
            warmed: Vec::new(),
        }
    }

    /// Takes over a newer snapshot; whether it was newer.
    pub(super) fn follow(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.number == self.number {
            return false;
        }
        self.number = snapshot.number;
        self.here = snapshot.here.clone();
        self.bounds = snapshot.bounds.clone();
        self.entries_known = snapshot.entries_known;
        if !Arc::ptr_eq(&self.views, &snapshot.upstreams) {
            self.views = snapshot.upstreams.clone();
            self.follow_upstreams(&snapshot.upstreams);
        }
        if let Some(table) = &snapshot.table {
            self.follow_routes(table);
        }
        true
    }

    fn follow_upstreams(&mut self, upstreams: &[UpstreamView]) {
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
                .or_insert_with(|| Group::new(bounds));
            group.follow(&mut views);
        }
    }

    /// Applies the limits known to the entries, if the limits or the upstreams have changed.
    pub(super) fn follow_limits(&mut self, limits: &SharedLimits, upstreams_changed: bool) {
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

    /// Takes over a newer version of the routes; what belongs to routes that are gone is forgotten.
    fn follow_routes(&mut self, table: &Table) {
        if table.version() == self.routes_version {
            return;
        }
        self.routes_version = table.version();
        let services = &table.routes().services;
        let starts = services.iter().map(|service| {
            let start = ColdStart {
                lasts: service.cold_start,
                per_s: service.cold_per_s,
            };
            (service.id.clone(), start)
        });
        self.starts = starts.collect();
        let hosts = &table.routes().hosts;
        let routes = hosts.iter().flat_map(|host| &host.routes);
        let ids: FastSet<&ByteString> = routes.map(|route| &route.id).collect();
        self.splits.retain(|id, _| ids.contains(id));
        for group in self.groups.values_mut() {
            group.work.retain(|id, _| ids.contains(id));
        }
    }

    /// Whether connections to an upstream may still be of use.
    pub(super) fn knows(&self, id: &UpstreamId) -> bool {
        self.groups.values().any(|group| {
            let place = group.place(id);
            place.is_some_and(|place| !group.upstreams[place].is_closed())
        })
    }

    /// Service for the next request of a route.
    pub(super) fn service(&mut self, route: &Route) -> Option<ServiceId> {
        let split = self.splits.entry(route.id.clone()).or_default();
        let place = split.next(&route.split)?;
        Some(route.split[place].service.clone())
    }

    /// Counts a caller's request for a service.
    pub(super) fn offer(&mut self, service: &ServiceId, now: Now) {
        if let Some(group) = self.groups.get_mut(service) {
            group.budget.note_request(now);
        }
    }

    /// Takes one send beyond a request's first from the budget.
    pub(super) fn take_retry(&mut self, service: &ServiceId, now: Now) -> bool {
        let slack = entry_share(self.bounds.retry_slack, self.entries_known);
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        let taken = group.budget.try_take(slack, now);
        if !taken && group.spent_told.replace(now.as_secs()) != Some(now.as_secs()) {
            emit(&Event::RetriesSpent {
                service: service.clone(),
            });
        }
        taken
    }

    /// Decides where a request goes; what it is sent to then counts it as in flight.
    pub(super) fn place(&mut self, need: &Need<'_>, now: Now) -> Placed {
        let cold_per_s = self.cold_per_s(need.service);
        let full_regions = self.full_regions(need.service, now);
        let Some(group) = self.groups.get_mut(need.service) else {
            return Placed::Refuse(Refused::new(Reason::NoUpstreamListed, NOT_LISTED_RETRY));
        };
        let tried = need.tried.iter().filter_map(|id| group.place(id));
        let tried: Vec<usize> = tried.collect();
        let query = Query {
            key: need.key,
            has_affinity_key: need.keyed,
            explores: need.nonce % EXPLORE_EVERY == 0,
            target_left: need.target_left,
            deadline_left: need.deadline_left,
            home_regions: &need.route.homes,
            tried: &tried,
            shift_limited_regions: &full_regions,
            cold_per_s,
            service_times: group.work(&need.route.id),
        };
        match choose(&mut group.upstreams, &query, &self.here, now) {
            Choice::Send {
                index: place,
                warm,
                idle,
                expected,
            } => {
                let upstream = &mut group.upstreams[place];
                let load = upstream.load(now);
                let report_age = upstream.report_age(now);
                upstream.in_flight += 1;
                if need.keyed {
                    upstream.warm_keys.note(need.key, now);
                    if !warm {
                        self.warmed.push(WarmKey(upstream.hash, need.key));
                    }
                }
                let restricted = upstream.is_restricted(now);
                if restricted {
                    upstream.note_chosen();
                }
                self.shift.note(&upstream.region, now);
                let target = Target {
                    id: upstream.id.clone(),
                    addr: group.addrs[place],
                };
                let at = Incarnation {
                    service: need.service.clone(),
                    id: upstream.id.clone(),
                    started_ms: upstream.started_ms,
                };
                let placement = Placement {
                    at,
                    route: need.route.id.clone(),
                    key: need.keyed.then_some(need.key),
                    warm,
                    idle,
                    restricted,
                    load,
                    slots: upstream.slots,
                    report_age,
                    region: upstream.region.clone(),
                    failure_domain: upstream.failure_domain.clone(),
                    expected: logged(expected),
                };
                Placed::Send {
                    target,
                    placement: Box::new(placement),
                }
            }
            Choice::Refuse {
                retry_after,
                expected,
            } => Placed::Refuse(Refused {
                reason: Reason::NoSlotInTime,
                retry_after,
                expected: logged(expected),
                census: UpstreamCounts::of(&group.upstreams, now),
            }),
            Choice::NoUpstream { retry_after } => Placed::Refuse(Refused {
                census: UpstreamCounts::of(&group.upstreams, now),
                ..Refused::new(Reason::NoUpstreamOpen, retry_after)
            }),
        }
    }

    /// Regions of the service's upstreams that get no more for now, by the bound on shifts.
    fn full_regions(&mut self, service: &ServiceId, now: Now) -> Vec<RegionId> {
        let growth = self.bounds.shift_max * SHIFT_USED;
        let mut full: Vec<RegionId> = Vec::new();
        let mut open: Vec<RegionId> = Vec::new();
        let upstreams = self.groups.get(service).map(|group| &group.upstreams);
        for upstream in upstreams.into_iter().flatten() {
            let region = &upstream.region;
            if open.contains(region) || full.contains(region) {
                continue;
            }
            let side = if self.shift.allows(region, growth, now) {
                &mut open
            } else {
                &mut full
            };
            side.push(region.clone());
        }
        full
    }

    /// Requests in a second that a cold upstream bears.
    fn cold_per_s(&self, service: &ServiceId) -> f64 {
        let rate = self.start_of(service).per_s;
        if rate <= 0.0 {
            return f64::MAX;
        }
        rate * self.bounds.cold_factor + self.bounds.cold_slack
    }

    fn start_of(&self, service: &ServiceId) -> ColdStart {
        self.starts.get(service).copied().unwrap_or_default()
    }

    fn upstream(&mut self, at: &Incarnation) -> Option<&mut Upstream> {
        let group = self.groups.get_mut(&at.service)?;
        let place = group.place(&at.id)?;
        let upstream = &mut group.upstreams[place];
        at.is(upstream).then_some(upstream)
    }
}
