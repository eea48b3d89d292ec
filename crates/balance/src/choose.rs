//! The decision on one request.
//!
//! Each upstream that may do the work is expected to answer after the way there and back, the wait
//! for a slot, and the work; the request goes to the one expected first. Work takes a fraction of
//! its time at an upstream that had the request's affinity key lately, which is latency and capacity
//! at once. So that few upstreams have to be warmed for a key, the one that its key ranks highest of
//! all counts as warm before anything is known; beyond it this entry trusts what it saw itself. Now
//! and then the highest of this region is tried in its place, which warms it bit by bit.
//!
//! A request that would wait for a slot and come late is refused at once: in overload its wait
//! would only make the next ones late, too.

use crate::{
    rank::rank,
    upstream::Upstream,
    work::Work, //
};
use base::{
    FastMap,
    Now,
    RegionId, //
};
use std::time::Duration;

/// Upstreams that a key ranks highest and that count as warm for it before anything is known: two,
/// so that a key whose first one is full has another place to be warm at.
const ASSUMED_WARM: usize = 2;
/// Upstreams that a key ranks highest and that get its requests at all, besides those known to be
/// warm. Each one more has to be warmed for each key, at some three times the work, and drives other
/// keys out of its memory: spread over all, keys are cold everywhere once load is high.
const USED: usize = 3;
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
    /// Whether the highest of this region is tried in place of a warm one elsewhere.
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
    /// This entry's part of what a cold upstream of this region bears, in requests a second; those
    /// of other regions are left to the entries there.
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

/// An upstream that may do the request.
#[derive(Clone, Copy)]
struct Candidate {
    place: usize,
    rank: u64,
    local: bool,
    known_warm: bool,
}

/// What is expected of a candidate.
#[derive(Clone, Copy)]
struct Expected {
    place: usize,
    known_warm: bool,
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
    candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.rank));
    let in_target =
        |best: &Expected| best.expectation.answer <= query.target_left.mul_f64(TIME_USED);
    // What is assumed warm may not be, as after a start of everything: as long as some upstream does
    // the work in time even so, that one is taken. Else it is late in any case, and what is assumed
    // warm is warmed, so that the next ones are not.
    let best = best(
        upstreams,
        &candidates,
        query,
        here,
        now,
        query.work.assumed(),
    )
    .filter(in_target)
    .or_else(|| best(upstreams, &candidates, query, here, now, query.work.warm()));
    let Some(best) = best else {
        return Choice::NoUpstream {
            retry_after: RETRY_AFTER_NONE,
        };
    };
    let in_deadline = best.expectation.answer <= query.deadline_left.mul_f64(TIME_USED);
    let late_wait = query.work.warm().mul_f64(LATE_WAIT);
    if in_target(&best) || (in_deadline && best.expectation.wait <= late_wait) {
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

/// The candidate expected to answer first, if work takes `assumed` where an upstream is only assumed
/// to be warm. Of equal ones it is the one that the key ranks highest.
fn best(
    upstreams: &[Upstream],
    candidates: &[Candidate],
    query: &Query<'_>,
    here: &Location,
    now: Now,
    assumed: Duration,
) -> Option<Expected> {
    let local_highest = candidates.iter().position(|c| c.local);
    let mut best: Option<Expected> = None;
    for (order, candidate) in candidates.iter().enumerate() {
        let tried_out = query.explores && local_highest == Some(order);
        let near_top = order < ASSUMED_WARM || tried_out;
        let local_first = local_highest == Some(order);
        let used = candidate.known_warm || near_top || local_first || order < USED;
        if query.keyed && !used {
            continue;
        }
        let work = if query.keyed && candidate.known_warm {
            query.work.warm()
        } else if query.keyed && near_top {
            assumed
        } else {
            query.work.cold()
        };
        let upstream = &upstreams[candidate.place];
        let expected = expect(upstream, candidate, work, query, here, now);
        if best.is_none_or(|best| expected.expectation.answer < best.expectation.answer) {
            best = Some(expected);
        }
    }
    best
}

fn expect(
    upstream: &Upstream,
    candidate: &Candidate,
    work: Duration,
    query: &Query<'_>,
    here: &Location,
    now: Now,
) -> Expected {
    let slowness = slowness(upstream, query);
    let slots = f64::from(upstream.slots);
    let ahead = (upstream.load(now) - slots + 1.0).max(0.0);
    let wait = query.work.warm().mul_f64(slowness * ahead / slots);
    let way = here.round_trip(&upstream.region);
    Expected {
        place: candidate.place,
        known_warm: candidate.known_warm,
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
        if upstream.is_cold(now) && !(local && upstream.cold_gate.fits(query.cold_per_s, now)) {
            continue;
        }
        let candidate = Candidate {
            place,
            rank: rank(query.key, upstream.hash),
            local,
            known_warm: query.keyed && upstream.warm.has(query.key, now),
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
