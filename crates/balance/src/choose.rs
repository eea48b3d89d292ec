//! The decision on one request.
//!
//! Each upstream that may do the work is expected to answer after the way there and back, the wait
//! for a slot, and the work; of those that answer within the target the request goes to the nearest, as
//! long as that has not to be waited for much longer than one farther away. Work takes a fraction of
//! its time at an upstream that had the request's affinity key lately, which is latency and capacity
//! at once, and each upstream has to be warmed for a key by a request that is slow. So a key has homes in
//! its callers' region: there the one that it ranks highest is used by all entries, even by those that
//! know nothing yet, such as after a restart. Others are used where they are known to be warm, by what this entry
//! saw and what the others of its region told, or when the first is full. Now and then the one of the
//! entry's own failure domain is tried in the place of a warm one beyond it, which warms it bit by bit.
//!
//! A request that would wait for a slot and come late is refused at once: in overload its wait
//! would only make the next ones late, too.

use crate::{
    rank::rank,
    upstream::Upstream,
    work::Work, //
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

/// Upstreams of this entry's failure domain, and of the rest of its region, that a key's requests may have to
/// warm: the one that the key ranks highest, and another one for when that is full.
const USED_NEAR: usize = 2;
/// Upstreams of each other region that they may have to warm.
const USED_FAR: usize = 1;
/// What crossing a failure domain's boundary costs, as a part of the target: a wait of so much longer is accepted
/// at the nearer upstream, which saves bytes between failure domains.
const DOMAIN_COST: f64 = 0.15;
/// What a region's busy slots cost, as a part of the target if all are busy: work goes elsewhere bit by bit while
/// there still is room, since the bound on shifts lets little go at once when there is none. Without it a region
/// with few slots for its callers refuses requests for many seconds while others stand idle.
const BUSY_COST: f64 = 0.5;
/// What crossing a region's boundary costs besides the way, as a part of the target.
const REGION_COST: f64 = 0.3;
/// Part of the time left that the expected answer may take: it is a mean, and half of all answers
/// take longer.
const TIME_USED: f64 = 0.9;
/// Wait for a slot, as a part of the mean work, that is accepted for a request that comes late
/// anyway: some requests of a burst, not a queue.
const LATE_WAIT: f64 = 0.34;
/// An upstream whose answers take longer than the service's by this factor is counted as slow;
/// below it the difference is one of keys.
const SLOW: f64 = 2.0;
/// Shortest delay that a refused caller is told: a round trip to come back takes about as long.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Longest delay that a refused caller is told; the picture behind a longer one is too old by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// When to come back if no upstream may do the work: as long as a replaced one takes to be listed.
const RETRY_AFTER_NONE: Duration = Duration::from_millis(300);
/// Round trip to a region that was not measured yet: far.
const ROUND_TRIP_UNKNOWN: Duration = Duration::from_millis(110);

/// Where this entry is, and how far the other regions are.
#[derive(Clone, Debug, Default)]
pub struct Location {
    /// This entry's region.
    pub region: RegionId,
    /// This entry's failure domain.
    pub failure_domain: DomainId,
    /// Measured round trip to each other region; one that is missing counts as far.
    pub round_trips: FastMap<RegionId, Duration>,
}

impl Location {
    /// Round trip to `region`.
    pub fn round_trip(&self, region: &str) -> Duration {
        if region == &*self.region {
            return Duration::ZERO;
        }
        let known = self.round_trips.get(region);
        known.copied().unwrap_or(ROUND_TRIP_UNKNOWN)
    }
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Hash of its affinity key, or of its own id if it has none.
    pub key: u64,
    /// Whether it has an affinity key that makes a difference.
    pub keyed: bool,
    /// Whether the highest of this failure domain is tried in place of a warm one beyond it.
    pub explores: bool,
    /// Time left within which an answer is worth most.
    pub target_left: Duration,
    /// Time left until the caller gives up.
    pub deadline_left: Duration,
    /// Regions that may do it; empty is all.
    pub homes: &'a [RegionId],
    /// Upstreams that had it already.
    pub tried: &'a [usize],
    /// Regions that get no more for now, by the bound on shifts.
    pub full_regions: &'a [RegionId],
    /// Requests in a second that a cold upstream bears.
    pub cold_per_s: f64,
    /// Times of the service's work.
    pub work: Work,
}

/// What is expected of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Expectation {
    /// Wait for a slot there.
    pub wait: Duration,
    /// The way there and back, the wait and the work.
    pub answer: Duration,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send it to the upstream at this place.
    Send {
        /// Place among the upstreams.
        place: usize,
        /// The upstream had its key lately.
        warm: bool,
        /// It should find a free slot.
        idle: bool,
        /// What is expected of it.
        expected: Expectation,
    },
    /// No slot in time: refuse, and say when to come back.
    Refuse {
        /// When room is expected.
        retry_after: Duration,
        /// What was expected of the upstream that would have answered first.
        expected: Expectation,
    },
    /// No upstream may do it now: none is listed, or all are closed.
    NoUpstream {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Boundaries that a request crosses on its way to an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Crossing {
    /// None: the upstream is in the entry's failure domain.
    None,
    /// That of the failure domain.
    Domain,
    /// That of the region.
    Region,
}

/// An upstream that may do the request.
#[derive(Clone, Copy)]
struct Candidate {
    place: usize,
    rank: u64,
    crossing: Crossing,
    known_warm: bool,
    /// How many upstreams of the same region the key ranks higher.
    order: usize,
    /// It is the one of this entry's failure domain that the key ranks highest.
    nearest: bool,
}

/// What is expected of a candidate.
#[derive(Clone, Copy)]
struct Expected {
    place: usize,
    crossing: Crossing,
    known_warm: bool,
    order: usize,
    nearest: bool,
    /// Part of its region's slots that are busy.
    busy: f64,
    expectation: Expectation,
}

/// Decides on one request; `upstreams` are those of its service.
pub fn choose(upstreams: &mut [Upstream], query: &Query<'_>, here: &Location, now: Now) -> Choice {
    let mut candidates = candidates(upstreams, query, here, now);
    let open = |candidate: &Candidate| {
        let region = &upstreams[candidate.place].region;
        !query.full_regions.contains(region)
    };
    // Where no other region has an upstream for it, a bound on their change means nothing.
    if candidates.iter().any(open) {
        candidates.retain(open);
    }
    put_in_order(&mut candidates, upstreams);
    let busy = busy_parts(upstreams, now);
    let used = candidates
        .iter()
        .filter(|candidate| is_used(candidate, query));
    let expected: Vec<Expected> = used
        .map(|candidate| expect(upstreams, candidate, &busy, query, here, now))
        .collect();
    let Some(best) = best(&expected, query) else {
        return Choice::NoUpstream {
            retry_after: RETRY_AFTER_NONE,
        };
    };
    let in_deadline = best.expectation.answer <= query.deadline_left.mul_f64(TIME_USED);
    let late_wait = query.work.warm().mul_f64(LATE_WAIT);
    if is_in_target(best, query) || (in_deadline && best.expectation.wait <= late_wait) {
        return Choice::Send {
            place: best.place,
            warm: best.known_warm,
            idle: best.expectation.wait.is_zero(),
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

/// Puts the candidates into the order in which the key prefers them, and notes it.
fn put_in_order(candidates: &mut [Candidate], upstreams: &[Upstream]) {
    candidates.sort_unstable_by_key(|candidate| Reverse(candidate.rank));
    let mut higher: FastMap<&RegionId, usize> = FastMap::default();
    let mut nearest_found = false;
    for candidate in candidates {
        let higher = higher
            .entry(&upstreams[candidate.place].region)
            .or_default();
        candidate.order = *higher;
        *higher += 1;
        if candidate.crossing == Crossing::None {
            candidate.nearest = !std::mem::replace(&mut nearest_found, true);
        }
    }
}

/// Whether a key's requests may go to a candidate: each further upstream has to be warmed for the key.
fn is_used(candidate: &Candidate, query: &Query<'_>) -> bool {
    let used = match candidate.crossing {
        Crossing::None | Crossing::Domain => USED_NEAR,
        Crossing::Region => USED_FAR,
    };
    !query.keyed || candidate.known_warm || candidate.nearest || candidate.order < used
}

/// Part of the slots of each region's open upstreams that are busy.
fn busy_parts(upstreams: &[Upstream], now: Now) -> FastMap<&RegionId, f64> {
    let mut sums: FastMap<&RegionId, (f64, f64)> = FastMap::default();
    for upstream in upstreams.iter().filter(|upstream| !upstream.is_closed()) {
        let (load, slots) = sums.entry(&upstream.region).or_default();
        let own = f64::from(upstream.slots);
        *load += upstream.load(now).min(own);
        *slots += own;
    }
    let parts = sums.into_iter();
    parts
        .map(|(region, (load, slots))| (region, load / slots))
        .collect()
}

/// Whether an answer is expected in target. As long as no answer was seen, that is known of no upstream which may have
/// to be warmed first: the key's first one is used by all entries, and not another one by those of each domain.
fn is_in_target(expected: &Expected, query: &Query<'_>) -> bool {
    let known = query.work.is_known() || !query.keyed || expected.known_warm;
    known && expected.expectation.answer <= query.target_left.mul_f64(TIME_USED)
}

/// Where the request goes, if it is to be sent at all.
///
/// Of upstreams that answer in time it is the nearest, unless one farther away is earlier by a good part of the
/// target. If none does, it is late in any case, and warms an upstream for the next ones.
fn best<'a>(expected: &'a [Expected], query: &Query<'_>) -> Option<&'a Expected> {
    let in_target = expected.iter().filter(|one| is_in_target(one, query));
    let target = query.target_left;
    let cost = |one: &&Expected| {
        let crossed = match one.crossing {
            Crossing::None => 0.0,
            // Requests without a key are spread over the region: an upstream that gets none is not known to work.
            Crossing::Domain if !query.keyed => 0.0,
            Crossing::Domain => DOMAIN_COST,
            Crossing::Region => REGION_COST,
        };
        one.expectation.answer + target.mul_f64(crossed + BUSY_COST * one.busy)
    };
    let Some(best) = in_target.min_by_key(cost) else {
        let idle = expected.iter().filter(|one| one.expectation.wait.is_zero());
        let near = idle.min_by_key(|one| {
            (
                one.crossing == Crossing::Region,
                one.order,
                one.expectation.answer,
            )
        });
        return near.or_else(|| expected.iter().min_by_key(|one| one.expectation.answer));
    };
    if query.explores && best.crossing > Crossing::None {
        // The nearest place that the key could be warm at, and isn't.
        let nearer = expected
            .iter()
            .find(|one| one.nearest && one.expectation.wait.is_zero());
        return Some(nearer.filter(|one| !one.known_warm).unwrap_or(best));
    }
    Some(best)
}

fn expect(
    upstreams: &[Upstream],
    candidate: &Candidate,
    busy: &FastMap<&RegionId, f64>,
    query: &Query<'_>,
    here: &Location,
    now: Now,
) -> Expected {
    let upstream = &upstreams[candidate.place];
    let work = if query.keyed && candidate.known_warm {
        query.work.warm()
    } else if query.keyed && candidate.order == 0 {
        query.work.assumed()
    } else {
        query.work.cold()
    };
    let slowness = slowness(upstream, query);
    let slots = f64::from(upstream.slots);
    let ahead = (upstream.load(now) - slots + 1.0).max(0.0);
    let wait = query.work.warm().mul_f64(slowness * ahead / slots);
    let way = here.round_trip(&upstream.region);
    Expected {
        place: candidate.place,
        crossing: candidate.crossing,
        known_warm: candidate.known_warm,
        order: candidate.order,
        nearest: candidate.nearest,
        busy: busy.get(&upstream.region).copied().unwrap_or_default(),
        expectation: Expectation {
            wait,
            answer: way + wait + work.mul_f64(slowness),
        },
    }
}

/// How much longer than the service's usual work an upstream takes; 1 within the usual spread.
fn slowness(upstream: &Upstream, query: &Query<'_>) -> f64 {
    let Some(latency) = upstream.health.latency() else {
        return 1.0;
    };
    let usual = query.work.cold().as_secs_f64();
    let ratio = latency.as_secs_f64() / usual.max(0.001);
    if ratio > SLOW {
        ratio
    } else {
        1.0
    }
}

/// Upstreams that may do the request.
///
/// Those that fail are passed over, unless that leaves less than half of those that are there: when
/// most fail a part of their requests, the rest can't take the whole load, and a part that succeeds is
/// better than none.
fn candidates(
    upstreams: &mut [Upstream],
    query: &Query<'_>,
    here: &Location,
    now: Now,
) -> Vec<Candidate> {
    let mut candidates = Vec::with_capacity(upstreams.len());
    let mut failing = Vec::new();
    for (place, upstream) in upstreams.iter_mut().enumerate() {
        let local = upstream.region == here.region;
        let home = query.homes.is_empty() || query.homes.contains(&upstream.region);
        if upstream.is_closed() || !home || query.tried.contains(&place) {
            continue;
        }
        if !upstream.accepts(query.cold_per_s, now) {
            continue;
        }
        let crossing = match (local, upstream.failure_domain == here.failure_domain) {
            (true, true) => Crossing::None,
            (true, false) => Crossing::Domain,
            (false, _) => Crossing::Region,
        };
        let candidate = Candidate {
            place,
            rank: rank(query.key, upstream.hash),
            crossing,
            known_warm: query.keyed && upstream.warm.has(query.key, now),
            order: 0,
            nearest: false,
        };
        // One request at a time finds out whether a failing upstream is back.
        let on_trial = upstream.health.on_trial(now) && upstream.in_flight > 0;
        if !upstream.health.is_away(now) && !on_trial {
            candidates.push(candidate);
        } else if upstream.health.is_there() {
            failing.push(candidate);
        }
    }
    if failing.len() > candidates.len() {
        candidates.append(&mut failing);
    }
    candidates
}
