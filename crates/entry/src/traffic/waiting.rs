//! Requests that wait at this entry because the upstreams of their service have too few free slots.
//!
//! Only requests for services that requests of several ranks lead to can wait; others are sent or rejected at once. The order
//! is that of [`admit::Queue`]. A pass offers the waiting requests to [`Fleet::place`] in this order. It is due when a request
//! to the service has ended or another one arrives, and otherwise after a short time, since other entries' requests end as
//! well. Waiting requests run the passes themselves, so there is no task that could fail.
//!
//! The upstream that a pass has chosen for a request is handed over in its [`Waiter`]. The request counts as in flight there
//! from that time on, also if its caller has left before it could take over.

use crate::{
    clock::millis,
    metric,
    traffic::{
        dispatch::{
            Dispatch,
            Progress, //
        },
        fleet::Fleet,
        placement::{
            Placement,
            PlacementDecision,
            PlacementRequest,
            Rejection, //
        },
        response::LastSend,
        Traffic, //
    },
};
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
    OrganisationId,
    ServiceId,
    UpstreamId, //
};
use event::{
    QueueWait,
    Reason, //
};
use relay::Target;
use route::{
    Organisation,
    Route, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use tokio::sync::Notify;

/// Maximum number of requests that wait for one service. A pass offers all of them.
const QUEUE_LEN_MAX: usize = 32;
/// Time after which a pass is due if nothing is known to have changed.
const TICK: Duration = Duration::from_millis(10);
/// Maximum wait as a fraction of the target. A rejected caller has to reach another entry within the rest.
const WAIT_TARGET_MAX: f64 = 0.25;
/// Fraction of the remaining time that the estimated response time may take. The estimate is a mean.
const TIME_USED: f64 = 0.9;
/// `Retry-After` of an entry that is about to exit; the caller should use another entry.
const CLOSING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Queues of the services.
#[derive(Default)]
pub(super) struct Queues(FastMap<ServiceId, ServiceQueue>);

/// Requests that wait for one service.
struct ServiceQueue {
    queue: Queue,
    waiters: FastMap<Ticket, Rc<Waiter>>,
    /// Whether room may have appeared since the last pass.
    may_have_room: bool,
    /// Wakes one of the waiting requests, which then runs a pass.
    room: Rc<Notify>,
    last_pass: Now,
}

impl ServiceQueue {
    fn new() -> Self {
        Self {
            queue: Queue::new(QUEUE_LEN_MAX),
            waiters: FastMap::default(),
            may_have_room: false,
            room: Rc::default(),
            last_pass: Now::ZERO,
        }
    }

    /// Ends the wait of a request.
    fn end(&mut self, ticket: Ticket, end: WaitEnd) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            waiter.end.replace(Some(end));
            waiter.ended.notify_one();
        }
    }

    /// Rejects a request that has been removed from the queue.
    fn reject(&mut self, ticket: Ticket, now: Now) {
        let Some(waiter) = self.waiters.get(&ticket).cloned() else {
            return;
        };
        let rejection = self.rejection(&waiter.request, waiter.rejection.get(), now);
        self.end(ticket, WaitEnd::Rejected(rejection));
    }

    /// Returns a rejection which states when room for the rank of the request is expected.
    fn rejection(&self, request: &RankedRequest, rejection: Rejection, now: Now) -> Rejection {
        let least = rejection.retry_after;
        let retry_after = self
            .queue
            .retry_after(request.rank, least, request.hash, now);
        Rejection {
            retry_after,
            ..rejection
        }
    }
}

/// Placement properties of a request that may wait.
struct RankedRequest {
    service: ServiceId,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    rank: Rank,
    key: u64,
    has_affinity_key: bool,
    /// Hash of the request's id.
    hash: u64,
    received: Instant,
    deadline: Instant,
    tried: Vec<UpstreamId>,
}

impl RankedRequest {
    fn organisation_id(&self) -> Option<OrganisationId> {
        self.organisation.as_ref().map(|one| one.id.clone())
    }

    /// Selects an upstream for it.
    fn place(&self, fleet: &mut Fleet, terms: Terms, now: Now) -> PlacementDecision {
        let at = Instant::now();
        let target_at = self.received + self.route.latency_target;
        let target_left = target_at.saturating_duration_since(at);
        let deadline_left = self.deadline.saturating_duration_since(at);
        let wait_max = terms
            .leaves_room
            .then(|| fleet.wait_max(&self.service, self.rank));
        let request = PlacementRequest {
            service: &self.service,
            route: &self.route,
            organisation_homes: self.organisation.as_ref().map_or(&[], |one| &one.homes),
            key: self.key,
            has_affinity_key: self.has_affinity_key,
            target_left,
            deadline_left: if terms.may_be_late {
                deadline_left
            } else {
                deadline_left.min(target_left)
            },
            tried: &self.tried,
            pending: None,
            wait_max: wait_max.flatten(),
            may_probe: terms.may_be_late && self.tried.is_empty(),
        };
        fleet.place(&request, now)
    }

    /// Returns the time until which the request may wait, given the estimates of its last rejection: it must still be
    /// answered within its target at an upstream with a free slot.
    fn useful_until(&self, rejection: &Rejection, now: Now) -> Now {
        let expected = rejection.expected;
        let response_ms = expected.answer_ms.saturating_sub(expected.wait_ms);
        let response = Duration::from_millis(response_ms).div_f64(TIME_USED);
        let target = self.route.latency_target;
        let useful_at = (self.received + target).min(self.deadline);
        let useful = useful_at.saturating_duration_since(Instant::now());
        now.saturating_add(useful.saturating_sub(response))
            .min(self.wait_until(now))
    }

    /// Returns the time until which the request may wait in any case.
    fn wait_until(&self, now: Now) -> Now {
        let wait_max = self.route.latency_target.mul_f64(WAIT_TARGET_MAX);
        now.saturating_add(wait_max.saturating_sub(self.received.elapsed()))
    }
}

/// Terms on which a request is placed.
#[derive(Clone, Copy)]
struct Terms {
    /// Whether it has to leave room at the upstreams to requests of higher ranks.
    leaves_room: bool,
    /// Whether it may be sent although it will miss its target. That is decided when it arrives: a request that has waited
    /// and is late is worth less than those after it.
    may_be_late: bool,
}

impl Terms {
    /// Terms for a service whose requests all have the same rank.
    const FREE: Self = Self {
        leaves_room: false,
        may_be_late: true,
    };
}

/// A waiting request.
struct Waiter {
    request: RankedRequest,
    /// Whether it has been offered to the upstreams.
    is_offered: Cell<bool>,
    /// The last rejection by [`Fleet::place`].
    rejection: Cell<Rejection>,
    end: RefCell<Option<WaitEnd>>,
    ended: Notify,
}

/// How a wait ended.
enum WaitEnd {
    Granted {
        target: Target,
        placement: Box<Placement>,
    },
    Rejected(Rejection),
}

impl WaitEnd {
    fn label(&self) -> &'static str {
        match self {
            Self::Granted { .. } => "granted",
            Self::Rejected(_) => "rejected",
        }
    }
}

/// Result of selecting an upstream, maybe after a wait.
pub(super) enum PlacementOutcome {
    Send {
        target: Target,
        placement: Box<Placement>,
    },
    Reject(Rejection),
    /// This entry has lost all upstreams during the wait.
    PathCut,
}

impl From<PlacementDecision> for PlacementOutcome {
    fn from(decision: PlacementDecision) -> Self {
        match decision {
            PlacementDecision::Send { target, placement } => Self::Send { target, placement },
            PlacementDecision::Reject(rejection) => Self::Reject(rejection),
        }
    }
}

impl From<WaitEnd> for PlacementOutcome {
    fn from(end: WaitEnd) -> Self {
        match end {
            WaitEnd::Granted { target, placement } => Self::Send { target, placement },
            WaitEnd::Rejected(rejection) => Self::Reject(rejection),
        }
    }
}

impl Dispatch {
    /// Selects the upstream for the next send. If there is no free slot, the request may wait for one.
    pub(super) async fn place_in_turn(&self, progress: &Progress) -> PlacementOutcome {
        self.traffic.refresh();
        let request = self.ranked_request(&progress.tried);
        // The caller gets the response or the failure of an earlier send instead of a wait.
        let may_wait = matches!(progress.last, None | Some(LastSend::NotRun));
        match self.traffic.place_or_enqueue(request, may_wait) {
            Ok(turn) => turn,
            Err(queued) => self.wait(queued).await,
        }
    }

    fn ranked_request(&self, tried: &[UpstreamId]) -> RankedRequest {
        let priority = self.organisation.as_ref().and_then(|one| one.priority);
        RankedRequest {
            service: self.service.clone(),
            route: self.route.clone(),
            organisation: self.organisation.clone(),
            rank: Rank::new(self.route.priority, priority),
            key: self.key,
            has_affinity_key: self.has_affinity_key,
            hash: balance::affinity_hash(self.id.as_bytes()),
            received: self.received,
            deadline: self.deadline,
            tried: tried.to_vec(),
        }
    }

    /// Waits until the request is sent or rejected.
    async fn wait(&self, queued: Queued) -> PlacementOutcome {
        let guard = WaitGuard {
            dispatch: self,
            queued,
            started: Instant::now(),
            outcome: Cell::new("left"),
        };
        let (waiter, room) = (&guard.queued.waiter, &guard.queued.room);
        let shared = &self.traffic.shared;
        loop {
            self.traffic.pass_if_due(&self.service);
            if let Some(end) = waiter.end.take() {
                guard.outcome.set(end.label());
                return end.into();
            }
            if shared.closing.load(Ordering::Relaxed) {
                guard.outcome.set("rejected");
                let rejection = waiter.rejection.get();
                return PlacementOutcome::Reject(Rejection {
                    retry_after: CLOSING_RETRY_AFTER,
                    ..rejection
                });
            }
            tokio::select! {
                biased;
                // Checked first: a request that misses it would be sent on a path that is cut.
                () = self.traffic.path_cut.notified() => {
                    guard.outcome.set("left");
                    return PlacementOutcome::PathCut;
                }
                () = waiter.ended.notified() => {}
                () = room.notified() => {}
                () = tokio::time::sleep(TICK) => {}
            }
        }
    }
}

/// A request that has been added to a queue.
struct Queued {
    ticket: Ticket,
    waiter: Rc<Waiter>,
    room: Rc<Notify>,
}

/// Ends the wait of a request when dropped, also if its caller has left.
struct WaitGuard<'a> {
    dispatch: &'a Dispatch,
    queued: Queued,
    started: Instant,
    outcome: Cell<&'static str>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let (dispatch, queued) = (self.dispatch, &self.queued);
        let traffic = &dispatch.traffic;
        traffic.leave_queue(&dispatch.service, queued);
        let rank = queued.waiter.request.rank;
        let waited = self.started.elapsed();
        let before_ms = dispatch.waited.get().map_or(0, |waited| waited.ms);
        dispatch.waited.set(Some(QueueWait {
            ms: before_ms + millis(waited),
            rank: [rank.organisation, rank.route],
        }));
        let outcome = self.outcome.get();
        metrics::counter!(metric::WAITS, "rank" => rank.to_string(), "outcome" => outcome)
            .increment(1);
        metrics::histogram!(metric::WAIT_SECONDS, "rank" => rank.to_string())
            .record(waited.as_secs_f64());
    }
}

impl Traffic {
    /// Selects an upstream for a request, or adds it to the queue of its service if others go before it or if there is no
    /// free slot and it may wait. Requests for services without ranks are sent or rejected at once.
    fn place_or_enqueue(
        &self,
        request: RankedRequest,
        may_wait: bool,
    ) -> Result<PlacementOutcome, Queued> {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        if !fleet.is_contended(&request.service) {
            return Ok(request.place(&mut fleet, Terms::FREE, now).into());
        }
        let organisation = request.organisation_id();
        let rank = request.rank;
        let mut queues = self.waiting.borrow_mut();
        let of_service = queues
            .0
            .entry(request.service.clone())
            .or_insert_with(ServiceQueue::new);
        of_service.queue.note_request(rank, &organisation, now);
        // A request that may no longer wait is sent or rejected now, whatever waits.
        let may_wait = may_wait && request.wait_until(now) > now.saturating_add(TICK);
        let goes_first = !may_wait || !of_service.queue.has_before(rank, now);
        let rejection = if goes_first {
            let terms = Terms {
                leaves_room: of_service.queue.leaves_room(rank, now),
                ..Terms::FREE
            };
            match request.place(&mut fleet, terms, now) {
                PlacementDecision::Send { target, placement } => {
                    of_service.queue.note_grant(rank, &organisation, now);
                    return Ok(PlacementOutcome::Send { target, placement });
                }
                PlacementDecision::Reject(rejection) => rejection,
            }
        } else {
            fleet.no_slot(&request.service, now)
        };
        if rejection.reason != Reason::NoSlotInTime {
            return Ok(PlacementOutcome::Reject(rejection));
        }
        let useful_until = request.useful_until(&rejection, now);
        if !may_wait || useful_until <= now.saturating_add(TICK) {
            of_service.queue.note_rejected(rank, now);
            let rejection = of_service.rejection(&request, rejection, now);
            return Ok(PlacementOutcome::Reject(rejection));
        }
        let candidate = Candidate {
            rank,
            organisation,
            useful_until,
        };
        match of_service.queue.push(candidate, now) {
            Pushed::Full => {
                let rejection = of_service.rejection(&request, rejection, now);
                Ok(PlacementOutcome::Reject(rejection))
            }
            Pushed::Waits { ticket, displaced } => {
                if let Some(displaced) = displaced {
                    of_service.reject(displaced, now);
                }
                let waiter = Rc::new(Waiter {
                    request,
                    is_offered: Cell::new(goes_first),
                    rejection: Cell::new(rejection),
                    end: RefCell::default(),
                    ended: Notify::new(),
                });
                of_service.waiters.insert(ticket, waiter.clone());
                of_service.may_have_room = true;
                Err(Queued {
                    ticket,
                    waiter,
                    room: of_service.room.clone(),
                })
            }
        }
    }

    /// Records that a request to a service has ended, so that a waiting one may be sent.
    pub(super) fn note_room(&self, service: &ServiceId) {
        let mut queues = self.waiting.borrow_mut();
        let of_service = queues.0.get_mut(service);
        if let Some(of_service) = of_service.filter(|one| !one.queue.is_empty()) {
            of_service.may_have_room = true;
            of_service.room.notify_one();
        }
    }

    /// Offers the waiting requests of a service to its upstreams, if room may have appeared.
    fn pass_if_due(&self, service: &ServiceId) {
        let now = self.now();
        let mut queues = self.waiting.borrow_mut();
        let Some(of_service) = queues.0.get_mut(service) else {
            return;
        };
        let is_due = now.saturating_sub(of_service.last_pass) >= TICK;
        if !std::mem::take(&mut of_service.may_have_room) && !is_due {
            return;
        }
        of_service.last_pass = now;
        self.refresh();
        let mut fleet = self.fleet.borrow_mut();
        let waiters = &of_service.waiters;
        let mut ended = Vec::new();
        let offer = |ticket: Ticket, leaves_room| {
            let Some(waiter) = waiters.get(&ticket) else {
                return OfferResult::Rejected;
            };
            let terms = Terms {
                leaves_room,
                may_be_late: !waiter.is_offered.replace(true),
            };
            match waiter.request.place(&mut fleet, terms, now) {
                PlacementDecision::Send { target, placement } => {
                    ended.push((ticket, WaitEnd::Granted { target, placement }));
                    OfferResult::Granted
                }
                PlacementDecision::Reject(rejection) => {
                    waiter.rejection.set(rejection);
                    if rejection.reason != Reason::NoSlotInTime {
                        ended.push((ticket, WaitEnd::Rejected(rejection)));
                        return OfferResult::Rejected;
                    }
                    let useful_until = waiter.request.useful_until(&rejection, now);
                    OfferResult::Waits { useful_until }
                }
            }
        };
        let rejected = of_service.queue.pass(now, offer);
        for (ticket, end) in ended {
            of_service.end(ticket, end);
        }
        for ticket in rejected {
            of_service.reject(ticket, now);
        }
        metrics::gauge!(metric::WAITING, "service" => service.to_string())
            .set(of_service.queue.len() as f64);
    }

    /// Removes a request from its queue if it is still there, and gives back a slot that it has not used.
    fn leave_queue(&self, service: &ServiceId, queued: &Queued) {
        if let Some(WaitEnd::Granted { placement, .. }) = queued.waiter.end.take() {
            let mut fleet = self.fleet.borrow_mut();
            fleet.note_finished(&placement.incarnation, placement.restricted);
            fleet.note_not_run(&placement);
        }
        let mut queues = self.waiting.borrow_mut();
        if let Some(of_service) = queues.0.get_mut(service) {
            of_service.queue.remove(queued.ticket);
            of_service.waiters.remove(&queued.ticket);
            metrics::gauge!(metric::WAITING, "service" => service.to_string())
                .set(of_service.queue.len() as f64);
        }
        drop(queues);
        self.note_room(service);
    }
}
