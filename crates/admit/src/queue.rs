//! Requests of one service that wait at one entry.

use crate::{
    decaying::DecayingRate,
    rank::Rank,
    shares::Shares, //
};
use base::{
    FastMap,
    Now,
    OrganisationId, //
};
use std::{
    cmp::Ordering,
    time::Duration, //
};

/// Grants of higher ranks after which a rank whose requests wait is owed one.
const OWED_AFTER_GRANTS: u32 = 10;
/// Time after its last grant from which a rank whose requests wait is owed one.
const OWED_AFTER: Duration = Duration::from_secs(2);
/// Time after the rejection of a request for which lower ranks leave room to its rank.
const ROOM_TIME: Duration = Duration::from_secs(1);
/// Time over which the rate of grants is averaged.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Minimum delay stated to a rejected caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Maximum delay stated to a rejected caller. The state behind a longer delay is outdated by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Part of the delay by which callers are spread, so that they don't return together.
const RETRY_SPREAD: f64 = 0.5;

/// Identifier of a waiting request in its queue.
pub type Ticket = u64;

/// A request that may wait.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Rank of the request.
    pub rank: Rank,
    /// Organisation of the request, if it has one.
    pub organisation: Option<OrganisationId>,
    /// Time from which it is too late to send the request.
    pub useful_until: Now,
}

/// Result of adding a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pushed {
    /// It waits.
    Waits {
        /// The request.
        ticket: Ticket,
        /// A request that lost its place to it and is rejected.
        displaced: Option<Ticket>,
    },
    /// The queue is full of requests that go before it.
    Full,
}

/// What became of a request that was offered in a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferResult {
    /// It is sent.
    Granted,
    /// It can't be sent now.
    Waits {
        /// Time from which it is too late to send it, as known now.
        useful_until: Now,
    },
    /// It can't be sent at all.
    Rejected,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    candidate: Candidate,
    /// Whether the current pass has offered it.
    is_offered: bool,
}

/// What decides when a waiting request is offered.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// Whether its rank is owed a grant.
    is_owed: bool,
    rank: Rank,
    /// Recent grants of its organisation relative to its usual requests.
    used: f64,
    /// Its number by age; a larger one goes first.
    age: usize,
    index: usize,
}

impl Place {
    /// Compares two requests by who goes first.
    fn compare(&self, other: &Self) -> Ordering {
        let by_owed = other.is_owed.cmp(&self.is_owed);
        let by_rank = by_owed.then_with(|| self.rank.cmp(&other.rank));
        let by_share = by_rank.then_with(|| self.used.total_cmp(&other.used));
        by_share.then_with(|| other.age.cmp(&self.age))
    }
}

/// Grants of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankGrants {
    rate: DecayingRate,
    /// Grants of higher ranks while requests of this one waited or lost their place, since its last grant.
    passed_over: u32,
    /// Whether a request of this rank was rejected since its last grant.
    had_rejection: bool,
    /// Time when a request of this rank was last rejected.
    rejected_at: Option<Now>,
    /// Time of its last grant, or since which its requests have had none.
    last: Option<Now>,
}

/// Requests of one service that wait at one entry, and what the service's requests were granted.
#[derive(Clone, Debug)]
pub struct Queue {
    len_max: usize,
    /// In the order of arrival.
    waiting: Vec<Waiting>,
    next_ticket: Ticket,
    grants: FastMap<Rank, RankGrants>,
    shares: Shares,
}

impl Queue {
    /// Creates an empty queue for at most `len_max` requests.
    pub fn new(len_max: usize) -> Self {
        Self {
            len_max,
            waiting: Vec::new(),
            next_ticket: 0,
            grants: FastMap::default(),
            shares: Shares::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Counts a new request.
    pub fn note_request(&mut self, rank: Rank, organisation: &Option<OrganisationId>, now: Now) {
        self.shares.note_request(organisation, now);
        self.grants.entry(rank).or_default().last.get_or_insert(now);
    }

    /// Returns whether a waiting request goes before a new one of this rank. The new one must then be added, and gets what
    /// a pass leaves.
    pub fn has_before(&self, rank: Rank, now: Now) -> bool {
        self.waiting.iter().any(|one| {
            let waiting = one.candidate.rank;
            waiting <= rank || (self.is_owed(waiting, now) && !self.is_owed(rank, now))
        })
    }

    /// Returns whether a rank is owed a grant: its next request goes before those of higher ranks.
    pub fn is_owed(&self, rank: Rank, now: Now) -> bool {
        self.grants.get(&rank).is_some_and(|grants| {
            let is_starved = |last| now.saturating_sub(last) >= OWED_AFTER;
            grants.passed_over >= OWED_AFTER_GRANTS || grants.last.is_some_and(is_starved)
        })
    }

    /// Returns whether requests of a rank have to leave room at the upstreams to those of higher ranks: one of those waits, or
    /// was rejected recently. A rank that is owed a grant doesn't have to.
    pub fn leaves_room(&self, rank: Rank, now: Now) -> bool {
        let waits = self.waiting.iter().any(|one| one.candidate.rank < rank);
        let mut higher = self.grants.iter().filter(|(higher, _)| **higher < rank);
        let had_rejection = |grants: &RankGrants| {
            let rejected_at = grants.rejected_at;
            rejected_at.is_some_and(|at| now.saturating_sub(at) < ROOM_TIME)
        };
        let is_pressed = waits || higher.any(|(_, grants)| had_rejection(grants));
        is_pressed && !self.is_owed(rank, now)
    }

    /// Counts a grant.
    pub fn note_grant(&mut self, rank: Rank, organisation: &Option<OrganisationId>, now: Now) {
        for (lower, grants) in self.grants.iter_mut().filter(|(lower, _)| **lower > rank) {
            let mut waiting = self.waiting.iter().map(|one| one.candidate.rank);
            if grants.had_rejection || waiting.any(|waiting| waiting == *lower) {
                grants.passed_over += 1;
            }
        }
        let grants = self.grants.entry(rank).or_default();
        grants.rate.note(1.0, RATE_TIME, now);
        grants.passed_over = 0;
        grants.had_rejection = false;
        grants.last = Some(now);
        self.shares.note_grant(organisation, now);
    }

    /// Adds a request. If the queue is full, the last one is rejected.
    pub fn push(&mut self, candidate: Candidate, now: Now) -> Pushed {
        let mut displaced = None;
        if self.waiting.len() >= self.len_max {
            let Some(index) = self.displaced_by(&candidate, now) else {
                self.note_rejected(candidate.rank, now);
                return Pushed::Full;
            };
            let lost = self.waiting.remove(index);
            self.note_rejected(lost.candidate.rank, now);
            displaced = Some(lost.ticket);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(Waiting {
            ticket,
            candidate,
            is_offered: false,
        });
        Pushed::Waits { ticket, displaced }
    }

    /// Returns the index of the request that loses its place to a new one, if any: the last one of the lowest rank, and there
    /// of the organisation with the most grants. It does so if the new one goes before it, or is the only one of a rank that is
    /// owed a grant.
    fn displaced_by(&self, new: &Candidate, now: Now) -> Option<usize> {
        let used = |one: &Candidate| self.shares.used(&one.organisation, now);
        let is_only_of = |rank: Rank| {
            let of_rank = self.waiting.iter().filter(|one| one.candidate.rank == rank);
            of_rank.count() == 1
        };
        // The only one of a rank that is owed a grant keeps its place.
        let waiting = self.waiting.iter().enumerate().filter(|(_, one)| {
            let rank = one.candidate.rank;
            !(self.is_owed(rank, now) && is_only_of(rank))
        });
        let waiting = waiting.map(|(index, one)| (one.candidate.rank, used(&one.candidate), index));
        let (rank, last_used, index) = waiting.max_by(|one, other| {
            let by_rank = one.0.cmp(&other.0);
            let by_share = by_rank.then_with(|| one.1.total_cmp(&other.1));
            by_share.then_with(|| one.2.cmp(&other.2))
        })?;
        let mut of_rank = self.waiting.iter();
        let is_only = !of_rank.any(|one| one.candidate.rank == new.rank);
        let is_needed = is_only && self.is_owed(new.rank, now);
        let is_before = rank > new.rank || (rank == new.rank && last_used > used(new));
        (is_before || is_needed).then_some(index)
    }

    /// Counts a request that is rejected because others have taken the slots.
    pub fn note_rejected(&mut self, rank: Rank, now: Now) {
        let grants = self.grants.entry(rank).or_default();
        grants.had_rejection = true;
        grants.rejected_at = Some(now);
    }

    /// Removes a request that no longer waits. Returns whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.waiting.iter().position(|one| one.ticket == ticket);
        index.is_some_and(|index| {
            self.waiting.remove(index);
            true
        })
    }

    /// Offers each waiting request in their order, and removes those that no longer wait. The flag passed to `offer` states
    /// whether the request has to leave room to higher ranks. Returns the requests that are rejected because it is too late
    /// for them or because `offer` rejected them.
    pub fn pass(
        &mut self,
        now: Now,
        mut offer: impl FnMut(Ticket, bool) -> OfferResult,
    ) -> Vec<Ticket> {
        let mut rejected = self.remove_late(now);
        for one in &mut self.waiting {
            one.is_offered = false;
        }
        while let Some(index) = self.next_offer(now) {
            let one = &mut self.waiting[index];
            one.is_offered = true;
            let (ticket, rank) = (one.ticket, one.candidate.rank);
            let leaves_room = self.leaves_room(rank, now);
            match offer(ticket, leaves_room) {
                OfferResult::Granted => {
                    let one = self.waiting.remove(index);
                    self.note_grant(rank, &one.candidate.organisation, now);
                }
                OfferResult::Waits { useful_until } if useful_until > now => {
                    self.waiting[index].candidate.useful_until = useful_until;
                }
                OfferResult::Waits { .. } | OfferResult::Rejected => {
                    self.waiting.remove(index);
                    self.note_rejected(rank, now);
                    rejected.push(ticket);
                }
            }
        }
        rejected
    }

    /// Returns the delay after which the caller of a rejected request should return: until the requests that go before it
    /// have been granted, but at least `at_least`. `request_hash` spreads the callers.
    pub fn retry_after(
        &self,
        rank: Rank,
        at_least: Duration,
        request_hash: u64,
        now: Now,
    ) -> Duration {
        let expected = self.expected_wait(rank, now).max(at_least);
        // The longest delay is spread as well.
        let max = RETRY_AFTER_MAX.div_f64(1.0 + RETRY_SPREAD);
        let spread = (request_hash >> 32) as f64 / f64::from(u32::MAX);
        let spread = 1.0 + RETRY_SPREAD * spread;
        expected.clamp(RETRY_AFTER_MIN, max).mul_f64(spread)
    }

    /// Returns the time until a further request of a rank is expected to be granted, from the rate of grants to this rank
    /// and lower ones.
    fn expected_wait(&self, rank: Rank, now: Now) -> Duration {
        let before = self.waiting.iter();
        let before = before.filter(|one| one.candidate.rank <= rank).count() + 1;
        let grants = self.grants.iter().filter(|(granted, _)| **granted >= rank);
        let per_s: f64 = grants
            .map(|(_, grants)| grants.rate.per_s(RATE_TIME, now))
            .sum();
        let wait = Duration::try_from_secs_f64(before as f64 / per_s);
        wait.map_or(RETRY_AFTER_MAX, |wait| wait.min(RETRY_AFTER_MAX))
    }

    /// Removes the requests that it is too late for.
    fn remove_late(&mut self, now: Now) -> Vec<Ticket> {
        let is_late = |one: &Waiting| one.candidate.useful_until <= now;
        let late = self.waiting.iter().filter(|one| is_late(one));
        let late: Vec<(Ticket, Rank)> = late.map(|one| (one.ticket, one.candidate.rank)).collect();
        self.waiting.retain(|one| !is_late(one));
        for (_, rank) in &late {
            self.note_rejected(*rank, now);
        }
        late.into_iter().map(|(ticket, _)| ticket).collect()
    }

    /// Returns the index of the request to offer next in this pass.
    fn next_offer(&self, now: Now) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        let left = waiting.filter(|(_, one)| !one.is_offered);
        let mut newest_first: FastMap<Rank, bool> = FastMap::default();
        let places = left.map(|(index, one)| {
            let rank = one.candidate.rank;
            let newest_first = newest_first
                .entry(rank)
                .or_insert_with(|| self.is_newest_first(rank, now));
            Place {
                is_owed: self.is_owed(rank, now),
                rank,
                used: self.shares.used(&one.candidate.organisation, now),
                age: if *newest_first {
                    index
                } else {
                    usize::MAX - index
                },
                index,
            }
        });
        places.min_by(Place::compare).map(|place| place.index)
    }

    /// Returns whether the newest request of a rank goes first: it is expected to be too late for the oldest one before all
    /// that wait have been granted.
    fn is_newest_first(&self, rank: Rank, now: Now) -> bool {
        let mut of_rank = self.waiting.iter().map(|one| &one.candidate);
        let oldest = of_rank.find(|candidate| candidate.rank == rank);
        oldest.is_some_and(|oldest| {
            let left = oldest.useful_until.saturating_sub(now);
            self.expected_wait(rank, now) > left
        })
    }
}
