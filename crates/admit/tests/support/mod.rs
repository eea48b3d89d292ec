//! A service with a number of slots, and one entry that queues requests for it.

#![allow(dead_code, reason = "each test target uses a part of this module")]

use admit::{
    Candidate,
    OfferResult, //
    Pushed,
    Queue,
    Rank,
    Ticket,
};
use base::{
    FastMap,
    Now,
    OrganisationId, //
};
use std::time::Duration;

/// Requests that may wait.
pub(crate) const LEN_MAX: usize = 32;

pub(crate) fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

pub(crate) fn rank(route: u32) -> Rank {
    Rank::new(route, None)
}

/// A request, and how it ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) rank: Rank,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) arrived: Now,
    pub(crate) granted: Option<Now>,
    pub(crate) rejected: Option<Now>,
    pub(crate) retry_after: Duration,
}

/// Service with slots that each take the same time for a request.
pub(crate) struct Service {
    pub(crate) queue: Queue,
    pub(crate) now: Now,
    /// Ends of the requests that run.
    running: Vec<Now>,
    slots: usize,
    work: Duration,
    /// Maximum wait of a request.
    patience: Duration,
    pub(crate) requests: Vec<Request>,
    waiting: FastMap<Ticket, usize>,
}

impl Service {
    pub(crate) fn new(slots: usize, work: Duration, patience: Duration) -> Self {
        Self {
            queue: Queue::new(LEN_MAX),
            now: Now::ZERO,
            running: Vec::new(),
            slots,
            work,
            patience,
            requests: Vec::new(),
            waiting: FastMap::default(),
        }
    }

    pub(crate) fn free_slots(&self) -> usize {
        self.slots - self.running.len()
    }

    /// Adds a request, which is sent at once if there is a slot and no other goes before it.
    pub(crate) fn arrive(&mut self, rank: Rank, organisation: Option<&'static str>) {
        let organisation = organisation.map(OrganisationId::from_static);
        let index = self.requests.len();
        self.requests.push(Request {
            rank,
            organisation: organisation.clone(),
            arrived: self.now,
            granted: None,
            rejected: None,
            retry_after: Duration::ZERO,
        });
        self.queue.note_request(rank, &organisation, self.now);
        if !self.queue.has_before(rank, self.now) && self.free_slots() > 0 {
            self.queue.note_grant(rank, &organisation, self.now);
            self.grant(index);
            return;
        }
        let candidate = Candidate {
            rank,
            organisation,
            useful_until: self.now + self.patience,
        };
        match self.queue.push(candidate, self.now) {
            Pushed::Full => self.reject(index),
            Pushed::Waits { ticket, displaced } => {
                if let Some(displaced) = displaced.and_then(|one| self.waiting.remove(&one)) {
                    self.reject(displaced);
                }
                self.waiting.insert(ticket, index);
            }
        }
        self.pass();
    }

    /// Lets time pass.
    pub(crate) fn wait(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        self.running.retain(|end| *end > now);
        self.pass();
    }

    /// Sends the waiting requests that there are slots for.
    pub(crate) fn pass(&mut self) {
        let mut free = self.free_slots();
        let mut granted = Vec::new();
        let useful_until: FastMap<Ticket, Now> = self
            .waiting
            .iter()
            .map(|(ticket, index)| (*ticket, self.requests[*index].arrived + self.patience))
            .collect();
        let rejected = self.queue.pass(self.now, |ticket, _| {
            if free == 0 {
                return OfferResult::Waits {
                    useful_until: useful_until[&ticket],
                };
            }
            free -= 1;
            granted.push(ticket);
            OfferResult::Granted
        });
        for ticket in granted {
            let index = self.waiting.remove(&ticket).expect("it waited");
            self.grant(index);
        }
        for ticket in rejected {
            let index = self.waiting.remove(&ticket).expect("it waited");
            self.reject(index);
        }
        assert_eq!(self.queue.len(), self.waiting.len());
        assert!(
            self.free_slots() == 0 || self.queue.is_empty(),
            "a slot is idle while a request waits"
        );
    }

    /// Simulates that a caller of a waiting request leaves. Returns whether one waited.
    pub(crate) fn leave(&mut self) -> bool {
        let Some(ticket) = self.waiting.keys().min().copied() else {
            return false;
        };
        self.waiting.remove(&ticket);
        assert!(self.queue.remove(ticket));
        assert!(!self.queue.remove(ticket), "a request is removed once");
        true
    }

    pub(crate) fn waiting_ranks(&self) -> Vec<Rank> {
        let waiting = self.waiting.values();
        waiting.map(|index| self.requests[*index].rank).collect()
    }

    /// Returns the number of granted and of all requests that `is_counted` selects.
    pub(crate) fn granted_of(&self, is_counted: impl Fn(&Request) -> bool) -> (usize, usize) {
        let counted = self.requests.iter().filter(|one| is_counted(one));
        counted.fold((0, 0), |(granted, all), one| {
            (granted + usize::from(one.granted.is_some()), all + 1)
        })
    }

    fn grant(&mut self, index: usize) {
        let request = &mut self.requests[index];
        assert!(request.granted.is_none() && request.rejected.is_none());
        request.granted = Some(self.now);
        self.running.push(self.now + self.work);
    }

    fn reject(&mut self, index: usize) {
        let request = &mut self.requests[index];
        assert!(request.granted.is_none() && request.rejected.is_none());
        request.rejected = Some(self.now);
        let hash = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let retry_after = self
            .queue
            .retry_after(request.rank, Duration::ZERO, hash, self.now);
        request.retry_after = retry_after;
    }
}
