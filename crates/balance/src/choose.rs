//! Selection of the upstream for one request.
//!
//! The estimated response time of an upstream is the sum of the network round trip, the wait for a slot and the service
//! time. Of the upstreams that are expected to answer within the latency target, the nearest is chosen, unless one
//! farther away is faster by a considerable part of the target.
//!
//! The service time is several times shorter at an upstream that served the request's affinity key recently, which
//! saves latency and capacity alike, and each upstream is warmed for a key by a slow request. A key's requests are
//! therefore kept on few upstreams in the region of its callers. All entries use the one that the key ranks highest
//! there, even entries without any observations, such as after a restart. Other upstreams are used if they are known to
//! be warm, from this entry's requests or from what the other entries of the region stated, or if the first one is
//! full.
//!
//! A request that would wait for a slot and miss its target is refused at once, because its wait would only delay the
//! requests after it. So is one that isn't expected to be answered before its deadline, unless it may be sent as a probe:
//! without responses, the estimates that rule it out would never change.

use crate::{
    margin::{
        has_margin,
        SpeedForecast, //
    },
    rendezvous::rendezvous_score,
    service_times::ServiceTimes,
    speed::UsualSpeed,
    upstream::Upstream, //
};
use base::{
    DomainId,
    FastMap,
    Now,
    RegionId, //
};
use std::{
    cmp::Reverse,
    time::Duration, //
};

/// Number of upstreams of this entry's region that a key's requests may have to warm: the one that the key ranks
/// highest, and another for when that is full. Upstreams that get more keys than they remember have forgotten each
/// by the time that it returns.
const KEY_UPSTREAMS_OWN_REGION: usize = 2;
/// Number of upstreams of each other region that a key's requests may have to warm.
const KEY_UPSTREAMS_OTHER_REGION: usize = 1;
/// Number of further upstreams of a region that are used because they are known to be warm for a key. While upstreams fail
/// or reject requests, a key's requests are sent to many; if all of these stayed in use, each would get more keys than it
/// remembers, long after the failures.
const KEY_UPSTREAMS_WARM: usize = 2;
/// Cost of crossing a failure domain's boundary, as a fraction of the target. A wait that is longer by this much is
/// accepted at the nearer upstream, which saves traffic between failure domains.
const DOMAIN_CROSSING_COST: f64 = 0.15;
/// Cost of a region's busy slots, as a fraction of the target if all are busy. It moves requests elsewhere gradually
/// while there are free slots, since the limit on shifts lets few move at once when there are none. Without it, a
/// region with few slots for its callers refuses requests for many seconds while other regions are idle.
const REGION_LOAD_COST: f64 = 0.5;
/// Cost of crossing a region's boundary in addition to the round trip, as a fraction of the target.
const REGION_CROSSING_COST: f64 = 0.3;
/// Fraction of the remaining time that the estimated response time may take. The estimate is a mean, and half of all
/// responses take longer.
pub(crate) const TIME_USED: f64 = 0.9;
/// Maximum wait for a slot of a request that misses its target anyway, as a fraction of the warm service time. It
/// admits some requests of a burst without building a queue.
const LATE_WAIT_MAX: f64 = 0.34;
/// Ratio of an upstream's latency to the service time above which the upstream counts as slow. A smaller difference may
/// be due to the keys that it serves.
const SLOWDOWN_MIN: f64 = 2.0;
/// Minimum delay stated to a refused caller, about the round trip of a new attempt.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Maximum delay stated to a refused caller. The state behind a longer delay is outdated by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Delay stated if no upstream may serve the request: the time until the replacement of an upstream is listed.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_millis(300);
/// Round trip assumed for a region that has not been measured yet: that of a distant one.
const ROUND_TRIP_UNKNOWN: Duration = Duration::from_millis(110);

/// Location of this entry, and the round trips to other regions.
#[derive(Clone, Debug, Default)]
pub struct Location {
    /// Region of this entry.
    pub region: RegionId,
    /// Failure domain of this entry.
    pub failure_domain: DomainId,
    /// Measured round trips to other regions; a missing region counts as distant.
    pub round_trips: FastMap<RegionId, Duration>,
}

impl Location {
    /// Returns the round trip to `region`.
    pub fn round_trip(&self, region: &str) -> Duration {
        if region == &*self.region {
            return Duration::ZERO;
        }
        let measured = self.round_trips.get(region);
        measured.copied().unwrap_or(ROUND_TRIP_UNKNOWN)
    }
}

/// Request for which an upstream is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Hash of its affinity key, or of its id if it has none.
    pub key: u64,
    /// Whether it has an affinity key and its route is sticky, so that a warm upstream is faster.
    pub has_affinity_key: bool,
    /// Time left until the latency target is missed.
    pub target_left: Duration,
    /// Time left until the caller's deadline.
    pub deadline_left: Duration,
    /// Regions that may serve it, by its route and by its organisation. Both lists bind; an empty one allows all.
    pub home_regions: [&'a [RegionId]; 2],
    /// Indices of the upstreams that it was already sent to.
    pub tried: &'a [usize],
    /// Regions that may get no more requests for now because of the limit on shifts.
    pub shift_limited_regions: &'a [RegionId],
    /// Requests per second that a cold upstream accepts.
    pub cold_per_s: f64,
    /// Estimated service times.
    pub service_times: ServiceTimes,
    /// Mean of the speeds that the service's upstreams state.
    pub usual_speed: UsualSpeed,
    /// Whether it must not run twice.
    pub runs_once: bool,
    /// Whether it may be sent to an idle upstream that isn't expected to answer in time.
    pub may_probe: bool,
}

/// Estimated times of a request at one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Expectation {
    /// Wait for a slot.
    pub wait: Duration,
    /// Response time: network round trip, wait and service time.
    pub response_time: Duration,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this upstream.
    Send {
        /// Index of the upstream.
        index: usize,
        /// Whether the upstream is known to have served the request's key recently.
        warm: bool,
        /// Whether the upstream should have a free slot.
        idle: bool,
        /// Whether it is sent although no answer is expected in time, so that its response renews the estimates.
        is_probe: bool,
        /// Estimated times at the upstream.
        expected: Expectation,
    },
    /// Refuse it, because no slot is available in time.
    Refuse {
        /// Time after which a slot is expected.
        retry_after: Duration,
        /// Estimated times at the upstream that would have answered first.
        expected: Expectation,
    },
    /// No upstream may serve it now: none is listed, or all are excluded.
    NoUpstream {
        /// Time after which to try again.
        retry_after: Duration,
    },
}

/// Boundary that a request crosses to reach an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Crossing {
    /// None; the upstream is in the entry's failure domain.
    None,
    /// Boundary of the failure domain.
    Domain,
    /// Boundary of the region.
    Region,
}

/// An upstream that may serve the request.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    score: u64,
    crossing: Crossing,
    known_warm: bool,
    /// Number of candidates of the same region that the key ranks higher.
    rank_in_region: usize,
    /// Number of these that are known to be warm.
    warm_before: usize,
}

/// A candidate with its estimated times.
#[derive(Clone, Copy)]
struct Estimate {
    index: usize,
    crossing: Crossing,
    known_warm: bool,
    rank_in_region: usize,
    /// Fraction of its region's slots that are busy.
    region_load: f64,
    expectation: Expectation,
    /// Response time if the work takes as long as usual.
    usual_response_time: Duration,
    speed_forecast: SpeedForecast,
}

/// Chooses the upstream for a request among the upstreams of its service.
pub fn choose(upstreams: &mut [Upstream], query: &Query<'_>, here: &Location, now: Now) -> Choice {
    let mut candidates = candidates(upstreams, query, here, now);
    let is_open = |candidate: &Candidate| {
        let region = &upstreams[candidate.index].region;
        !query.shift_limited_regions.contains(region)
    };
    // The limit on shifts is ignored if only the limited regions have an upstream for the request.
    if candidates.iter().any(is_open) {
        candidates.retain(is_open);
    }
    rank_candidates(&mut candidates, upstreams);
    let region_loads = region_loads(upstreams, now);
    let eligible = candidates
        .iter()
        .filter(|candidate| is_eligible(candidate, query));
    let estimates: Vec<Estimate> = eligible
        .map(|candidate| estimate(upstreams, candidate, &region_loads, query, here, now))
        .collect();
    let (with_margin, others): (Vec<Estimate>, Vec<Estimate>) = estimates
        .into_iter()
        .partition(|one| has_margin(query, one.expectation, one.speed_forecast));
    if with_margin.is_empty() && !others.is_empty() {
        return refuse_without_margin(&others);
    }
    let Some(best) = best(&with_margin, query) else {
        let pause_left = pause_left(upstreams, query.home_regions, now);
        return Choice::NoUpstream {
            retry_after: pause_left.max(RETRY_AFTER_NO_UPSTREAM),
        };
    };
    let late_wait_max = query.service_times.warm().mul_f64(LATE_WAIT_MAX);
    let is_served = is_in_target(best, query)
        || (is_in_deadline(best, query) && best.expectation.wait <= late_wait_max);
    let idle = best.expectation.wait.is_zero();
    if is_served || (idle && query.may_probe) {
        return Choice::Send {
            index: best.index,
            warm: best.known_warm,
            idle,
            is_probe: !is_served,
            expected: best.expectation,
        };
    }
    Choice::Refuse {
        retry_after: best
            .expectation
            .wait
            .clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        expected: best.expectation,
    }
}

/// Refuses a request that may not end in time at any upstream, until the first of them is expected to be faster.
fn refuse_without_margin(estimates: &[Estimate]) -> Choice {
    let expectations = estimates.iter().map(|one| one.expectation);
    let fastest = expectations.min_by_key(|one| one.response_time);
    let improves_in = |one: &Estimate| one.expectation.wait.max(one.speed_forecast.settles_in);
    let retry_after = estimates.iter().map(improves_in).min().unwrap_or_default();
    Choice::Refuse {
        retry_after: retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        expected: fastest.unwrap_or_default(),
    }
}

/// Returns the time until the first upstream of these regions ends its pause; zero if one of them is not paused.
pub fn pause_left(upstreams: &[Upstream], home_regions: [&[RegionId]; 2], now: Now) -> Duration {
    let usable = upstreams
        .iter()
        .filter(|upstream| !upstream.is_closed() && is_home(upstream, home_regions));
    let ends = usable.map(|upstream| upstream.paused_until.saturating_sub(now));
    ends.min().unwrap_or_default()
}

/// Returns whether an upstream's region may serve requests with these home regions.
fn is_home(upstream: &Upstream, home_regions: [&[RegionId]; 2]) -> bool {
    let allows = |homes: &[RegionId]| homes.is_empty() || homes.contains(&upstream.region);
    home_regions.into_iter().all(allows)
}

/// Sorts the candidates by their score for the key, and sets their ranks.
fn rank_candidates(candidates: &mut [Candidate], upstreams: &[Upstream]) {
    candidates.sort_unstable_by_key(|candidate| Reverse(candidate.score));
    let mut counts: FastMap<&RegionId, (usize, usize)> = FastMap::default();
    for candidate in candidates {
        let (count, warm) = counts
            .entry(&upstreams[candidate.index].region)
            .or_default();
        candidate.rank_in_region = *count;
        candidate.warm_before = *warm;
        *count += 1;
        *warm += usize::from(candidate.known_warm);
    }
}

/// Returns whether a key's requests may be sent to a candidate. Their number is limited because each further upstream
/// has to be warmed for the key.
fn is_eligible(candidate: &Candidate, query: &Query<'_>) -> bool {
    let limit = match candidate.crossing {
        Crossing::None | Crossing::Domain => KEY_UPSTREAMS_OWN_REGION,
        Crossing::Region => KEY_UPSTREAMS_OTHER_REGION,
    };
    let is_known = candidate.known_warm && candidate.warm_before < KEY_UPSTREAMS_WARM;
    !query.has_affinity_key || is_known || candidate.rank_in_region < limit
}

/// Returns the fraction of busy slots among each region's open upstreams.
fn region_loads(upstreams: &[Upstream], now: Now) -> FastMap<&RegionId, f64> {
    let mut sums: FastMap<&RegionId, (f64, f64)> = FastMap::default();
    for upstream in upstreams.iter().filter(|upstream| upstream.is_open(now)) {
        let (load, slots) = sums.entry(&upstream.region).or_default();
        let own_slots = f64::from(upstream.slots);
        *load += upstream.load(now).min(own_slots);
        *slots += own_slots;
    }
    let sums = sums.into_iter();
    sums.map(|(region, (load, slots))| (region, load / slots))
        .collect()
}

/// Returns whether a response is expected within the target.
///
/// Before any response has been observed, this is false for upstreams that may have to be warmed first. All entries
/// then use the upstream that the key ranks highest, rather than a different one in each failure domain.
fn is_in_target(estimate: &Estimate, query: &Query<'_>) -> bool {
    let known = query.service_times.is_known() || !query.has_affinity_key || estimate.known_warm;
    let response_time = if query.has_affinity_key {
        estimate.usual_response_time
    } else {
        estimate.expectation.response_time
    };
    known && response_time <= query.target_left.mul_f64(TIME_USED)
}

/// Returns whether a response is expected before the deadline.
fn is_in_deadline(estimate: &Estimate, query: &Query<'_>) -> bool {
    estimate.expectation.response_time <= query.deadline_left.mul_f64(TIME_USED)
}

/// Returns the best upstream for the request.
///
/// Of the upstreams that answer within the target, this is the nearest, unless one farther away is faster by a
/// considerable part of the target. If there is none, the request is late in any case, and warms an upstream for the
/// requests after it.
///
/// A slow moment moves a key's requests only to another warm upstream, since it is over before a further one is warm.
fn best<'a>(estimates: &'a [Estimate], query: &Query<'_>) -> Option<&'a Estimate> {
    let in_target = estimates.iter().filter(|one| is_in_target(one, query));
    let target = query.target_left;
    let added_cost = |one: &Estimate| {
        let crossing = match one.crossing {
            Crossing::None => 0.0,
            // Requests without a key are spread over the region, since an upstream without requests is not known to
            // work.
            Crossing::Domain if !query.has_affinity_key => 0.0,
            Crossing::Domain => DOMAIN_CROSSING_COST,
            Crossing::Region => REGION_CROSSING_COST,
        };
        target.mul_f64(crossing + REGION_LOAD_COST * one.region_load)
    };
    let usual_cost = |one: &&Estimate| one.usual_response_time + added_cost(one);
    let Some(usual_best) = in_target.clone().min_by_key(usual_cost) else {
        let idle = estimates
            .iter()
            .filter(|one| one.expectation.wait.is_zero());
        let nearest = idle.min_by_key(|one| {
            (
                !is_in_deadline(one, query),
                one.crossing == Crossing::Region,
                one.rank_in_region,
                one.expectation.response_time,
            )
        });
        return nearest.or_else(|| {
            estimates
                .iter()
                .min_by_key(|one| one.expectation.response_time)
        });
    };
    if query.has_affinity_key && !usual_best.known_warm {
        return Some(usual_best);
    }
    let alternatives = in_target.filter(|one| one.known_warm || !query.has_affinity_key);
    alternatives.min_by_key(|one| one.expectation.response_time + added_cost(one))
}

fn estimate(
    upstreams: &[Upstream],
    candidate: &Candidate,
    region_loads: &FastMap<&RegionId, f64>,
    query: &Query<'_>,
    here: &Location,
    now: Now,
) -> Estimate {
    let upstream = &upstreams[candidate.index];
    let service_time = if query.has_affinity_key && candidate.known_warm {
        query.service_times.warm()
    } else if query.has_affinity_key && candidate.rank_in_region == 0 {
        query.service_times.assumed_warm()
    } else {
        query.service_times.cold()
    };
    let slots = f64::from(upstream.slots);
    let ahead = (upstream.load(now) - slots + 1.0).max(0.0);
    let round_trip = here.round_trip(&upstream.region);
    let slowdown = slowdown(upstream, query, now);
    let work_time = |start| query.usual_speed.forecast(upstream.speed, start);
    let slowdown_now = slowdown * work_time(now + round_trip);
    let wait = query
        .service_times
        .warm()
        .mul_f64(slowdown_now * ahead / slots);
    let work_time = work_time(now + round_trip + wait);
    Estimate {
        index: candidate.index,
        crossing: candidate.crossing,
        known_warm: candidate.known_warm,
        rank_in_region: candidate.rank_in_region,
        region_load: region_loads
            .get(&upstream.region)
            .copied()
            .unwrap_or_default(),
        expectation: Expectation {
            wait,
            response_time: round_trip + wait + service_time.mul_f64(slowdown * work_time),
        },
        usual_response_time: round_trip
            + wait
            + service_time.mul_f64(slowdown * query.usual_speed.work_time()),
        speed_forecast: SpeedForecast {
            is_slow: work_time > query.usual_speed.work_time(),
            settles_in: upstream
                .speed
                .map_or(Duration::ZERO, |stated| stated.stale_after(now)),
        },
    }
}

/// Returns the ratio of an upstream's latency to the service time, or 1 if it is within the usual variation. Once the latency
/// is outdated, one request at a time finds out whether it still holds.
fn slowdown(upstream: &Upstream, query: &Query<'_>, now: Now) -> f64 {
    if upstream.health.is_latency_outdated(now) && !upstream.is_being_tried(now) {
        return 1.0;
    }
    let Some(latency) = upstream.health.latency() else {
        return 1.0;
    };
    let usual = query.service_times.cold().as_secs_f64();
    let ratio = latency.as_secs_f64() / usual.max(0.001);
    if ratio > SLOWDOWN_MIN {
        ratio
    } else {
        1.0
    }
}

/// Returns the upstreams that may serve the request.
///
/// Ejected upstreams are excluded, unless that would exclude more than half of the reachable ones. If most upstreams
/// fail some of their requests, the others can't take the whole load, and sending requests that partly succeed is
/// better than refusing them.
fn candidates(
    upstreams: &mut [Upstream],
    query: &Query<'_>,
    here: &Location,
    now: Now,
) -> Vec<Candidate> {
    let mut candidates = Vec::with_capacity(upstreams.len());
    let mut failing = Vec::new();
    for (index, upstream) in upstreams.iter_mut().enumerate() {
        let is_local = upstream.region == here.region;
        let is_home = is_home(upstream, query.home_regions);
        if !upstream.is_open(now) || !is_home || query.tried.contains(&index) {
            continue;
        }
        if !upstream.accepts(query.cold_per_s, now) {
            continue;
        }
        let crossing = match (is_local, upstream.failure_domain == here.failure_domain) {
            (true, true) => Crossing::None,
            (true, false) => Crossing::Domain,
            (false, _) => Crossing::Region,
        };
        let candidate = Candidate {
            index,
            score: rendezvous_score(query.key, upstream.hash),
            crossing,
            known_warm: query.has_affinity_key && upstream.warm_keys.is_warm(query.key, now),
            rank_in_region: 0,
            warm_before: 0,
        };
        // One request at a time probes whether a failing upstream has recovered.
        let probe_pending = upstream.health.is_probing(now) && upstream.is_being_tried(now);
        if !upstream.health.is_ejected(now) && !probe_pending {
            candidates.push(candidate);
        } else if upstream.health.is_reachable() {
            failing.push(candidate);
        }
    }
    if failing.len() > candidates.len() {
        candidates.append(&mut failing);
    }
    candidates
}
