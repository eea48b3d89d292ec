//! Sends a request, and sends it to a second upstream as well if the first takes unusually long (a hedged request).
//!
//! The first complete response that isn't a server error is used, and the other send is dropped, which closes its
//! connection. If one of them fails, the other one goes on. After both have failed, the request is where it would be if
//! they had been made one after the other: each counts as a send, and the last to fail decides what comes next.

use crate::{
    metric,
    traffic::{
        attempt::{
            self,
            InFlight,
            SendOutcome,
            SendState, //
        },
        dispatch::{
            outcome_label,
            Dispatch,
            Progress, //
        },
        placement::{
            Placement,
            PlacementDecision, //
        },
        response::LastSend,
    },
};
use event::HedgeOutcome;
use relay::{
    Failure,
    Target,
    UpstreamRequest, //
};
use std::{
    future::Future,
    pin::{
        pin,
        Pin, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::{
    sleep,
    timeout_at, //
};

/// A send whose upstream has been chosen.
pub(super) struct PreparedSend {
    pub(super) target: Target,
    pub(super) placement: Placement,
    pub(super) in_flight: InFlight,
    pub(super) upstream_request: UpstreamRequest,
}

/// An upstream that a request is being sent to.
struct ActiveSend {
    target: Target,
    placement: Placement,
    state: Rc<SendState>,
    started: Instant,
}

/// A send that has ended.
pub(super) struct EndedSend {
    pub(super) target: Target,
    pub(super) placement: Placement,
    pub(super) outcome: SendOutcome,
}

impl ActiveSend {
    fn end(self, outcome: SendOutcome) -> EndedSend {
        EndedSend {
            target: self.target,
            placement: self.placement,
            outcome,
        }
    }
}

impl PreparedSend {
    /// Splits off what describes the send from what is needed to make it.
    fn start(self) -> (ActiveSend, InFlight, UpstreamRequest) {
        let active = ActiveSend {
            target: self.target,
            placement: self.placement,
            state: self.in_flight.state(),
            started: Instant::now(),
        };
        (active, self.in_flight, self.upstream_request)
    }
}

impl Dispatch {
    /// Makes a send, and a second one if the first takes unusually long. Returns the one that decides how to go on; the
    /// other one has been added to `progress`.
    pub(super) async fn send_hedged(
        &mut self,
        progress: &mut Progress,
        send: PreparedSend,
    ) -> EndedSend {
        let traffic = self.traffic.clone();
        let (first, in_flight, upstream_request) = send.start();
        let mut first_send = pin!(attempt::send(&traffic, in_flight, upstream_request));
        let Some(delay) = self.hedge_delay(&first.placement) else {
            let outcome = self.until_partitioned(first_send, &first.state).await;
            return first.end(outcome.unwrap_or_else(SendOutcome::Failed));
        };
        tokio::select! {
            biased;
            outcome = self.until_partitioned(first_send.as_mut(), &first.state) => {
                return first.end(outcome.unwrap_or_else(SendOutcome::Failed));
            }
            () = sleep(delay) => {}
        }
        let Some(second) = self.prepare_second(progress, &first) else {
            let outcome = self.until_partitioned(first_send, &first.state).await;
            return first.end(outcome.unwrap_or_else(SendOutcome::Failed));
        };
        let (second, in_flight, upstream_request) = second.start();
        let second_send = pin!(attempt::send(&traffic, in_flight, upstream_request));
        self.await_pair(progress, (first, first_send), (second, second_send))
            .await
    }

    /// Returns the time after which the request may be sent to a second upstream; `None` if it may not.
    fn hedge_delay(&self, placement: &Placement) -> Option<Duration> {
        if !self.route.kind.is_idempotent() || !self.body.is_buffered() {
            return None;
        }
        let mut fleet = self.traffic.fleet.borrow_mut();
        fleet.hedge_delay(placement, self.traffic.now())
    }

    /// Prepares the second send, if it is allowed and worth it.
    fn prepare_second(
        &mut self,
        progress: &mut Progress,
        first: &ActiveSend,
    ) -> Option<PreparedSend> {
        let crashes = &self.traffic.shared.channels.crashes;
        let quarantined = crashes.remaining(self.fingerprint, self.traffic.now());
        if !first.state.awaits_response()
            || quarantined.is_some()
            || !self.may_send_after(progress.sends + 1)
        {
            return None;
        }
        let permit = self.traffic.admit(self.route.kind.is_idempotent())?;
        let elapsed = first.started.elapsed();
        let decision = self.place_hedge(&progress.tried, &first.placement, elapsed);
        let PlacementDecision::Send { target, placement } = decision else {
            return None;
        };
        self.start_send(progress, target, *placement, permit)
    }

    /// Awaits the response of a pair of sends.
    async fn await_pair<F, S>(
        &self,
        progress: &mut Progress,
        (first, mut first_send): (ActiveSend, Pin<&mut F>),
        (second, mut second_send): (ActiveSend, Pin<&mut S>),
    ) -> EndedSend
    where
        F: Future<Output = SendOutcome>,
        S: Future<Output = SendOutcome>,
    {
        let either = async {
            tokio::select! {
                biased;
                outcome = first_send.as_mut() => (outcome, false),
                outcome = second_send.as_mut() => (outcome, true),
            }
        };
        let (outcome, second_ended) = match self.until_partitioned(either, &first.state).await {
            Ok(ended) => ended,
            Err(failure) => {
                progress.note_dropped(&second);
                progress.end_hedge(&first, HedgeOutcome::BothFailed);
                return first.end(SendOutcome::Failed(failure));
            }
        };
        let (ended, other) = if second_ended {
            (second, first)
        } else {
            (first, second)
        };
        if is_final(&outcome) {
            progress.note_dropped(&other);
            if second_ended && other.state.awaits_response() {
                let mut fleet = self.traffic.fleet.borrow_mut();
                fleet.note_overtaken(&other.placement, other.started.elapsed());
            }
            progress.end_hedge(&ended, HedgeOutcome::won_by(second_ended));
            return ended.end(outcome);
        }
        let crash_check = self.note_failed(progress, ended.end(outcome));
        let rest = if second_ended {
            self.until_partitioned(first_send, &other.state).await
        } else {
            self.until_partitioned(second_send, &other.state).await
        };
        let outcome = rest.unwrap_or_else(SendOutcome::Failed);
        if is_final(&outcome) {
            progress.end_hedge(&other, HedgeOutcome::won_by(!second_ended));
            return other.end(outcome);
        }
        progress.end_hedge(&other, HedgeOutcome::BothFailed);
        if let Some(check) = crash_check {
            let _ = timeout_at(self.deadline.into(), check).await;
        }
        other.end(outcome)
    }

    /// Records the failure of one send of a pair. Returns the check whether its upstream crashed, if there is one.
    fn note_failed(
        &self,
        progress: &mut Progress,
        ended: EndedSend,
    ) -> Option<actix_rt::task::JoinHandle<()>> {
        let EndedSend {
            target,
            placement,
            outcome,
        } = ended;
        metrics::counter!(metric::SENDS, "outcome" => outcome_label(&outcome)).increment(1);
        self.log_failed_outcome(&target, &placement, &outcome);
        match outcome {
            SendOutcome::Answered(response) => {
                progress.sends += 1;
                progress.may_have_run = true;
                progress.last = Some(LastSend::Answered(response));
                None
            }
            SendOutcome::NotRun { .. } => {
                progress.note_not_run();
                None
            }
            SendOutcome::Failed(failure) => {
                progress.note_failure(&failure);
                let is_broken = matches!(failure, Failure::Broken(_));
                is_broken.then(|| self.spawn_crash_check(&target, &placement))
            }
        }
    }
}

impl Progress {
    /// Counts a send that was dropped before it had ended.
    fn note_dropped(&mut self, send: &ActiveSend) {
        if send.state.is_sent() {
            self.sends += 1;
            self.may_have_run = true;
            metrics::counter!(metric::SENDS, "outcome" => "dropped").increment(1);
        }
    }

    /// Records how a pair of sends has ended. `decisive` is the send that decides how to go on, which becomes the last.
    fn end_hedge(&mut self, decisive: &ActiveSend, outcome: HedgeOutcome) {
        metrics::counter!(metric::HEDGES, "outcome" => outcome.as_str()).increment(1);
        self.hedge = Some(outcome);
        self.placement = Some(decisive.placement.clone());
        self.tried.retain(|id| *id != decisive.target.id);
        self.tried.push(decisive.target.id.clone());
    }
}

/// Returns whether a response needs no other one.
fn is_final(outcome: &SendOutcome) -> bool {
    matches!(outcome, SendOutcome::Answered(response) if !response.status.is_server_error())
}
