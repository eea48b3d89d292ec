//! Probes: copies of quick idempotent requests, sent to upstreams that have to prove themselves.
//!
//! A request that is itself the probe of a cold or suspected upstream bears its latency, and a few
//! of a hundred already make the tail. So the request goes where it would go anyway, and once it
//! is answered a copy goes to the upstream whose probe is due; the copy's answer is only measured.
//! The copy comes after the answer, so that a refusal which says that nothing ran stays true.

use crate::{
    process::pool::Permit,
    request::{
        attempt::{
            self,
            AnswerBody,
            Body,
            Outgoing, //
        },
        carry::{
            note_failure,
            Job, //
        },
        deadline::Deadline,
        Traffic, //
    },
};
use bytes::Bytes;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Longest that a copy is waited for.
const PATIENCE: Duration = Duration::from_secs(5);

impl Job<'_> {
    /// Sends a copy of the request to an upstream whose probe is due, within what the budget can spare.
    pub(super) fn copy_to_due_probe(&self, body: &Bytes) {
        let upstreams = self.class.pool.upstreams();
        let is_due = upstreams.iter().any(|upstream| upstream.probe_due());
        if !is_due || !self.class.class.idempotent || self.traffic.is_baseline() {
            return;
        }
        if !self.traffic.budget.borrow_mut().take_for_probe() {
            return;
        }
        let Some(permit) = self.take_due_probe() else {
            return;
        };
        self.counters.copies.increment(1);
        let out = Outgoing {
            method: self.out.method.clone(),
            path_and_query: self.out.path_and_query.clone(),
            headers: self.out.headers.clone(),
        };
        let patience = self.class.class.deadline.min(PATIENCE);
        let deadline = Deadline::after(Instant::now(), patience);
        let probe = send(Rc::clone(self.traffic), permit, out, body.clone(), deadline);
        actix_rt::spawn(probe);
    }
}

async fn send(
    traffic: Rc<Traffic>,
    permit: Permit,
    out: Outgoing,
    body: Bytes,
    deadline: Deadline,
) {
    let upstream = &permit.upstream;
    let id = traffic.request_id();
    let channel = traffic.clients.fresh();
    let started = Instant::now();
    permit.sent(&channel.closing, deadline.at());
    let body = Body::Whole(body);
    let client = &channel.client;
    match attempt::send(client, &upstream.addr, &out, body, &id, deadline).await {
        Ok((_, answer)) => {
            upstream.seen.note_answer(started.elapsed());
            if matches!(answer, AnswerBody::Whole(_)) {
                permit.completed();
            }
        }
        Err(failure) => note_failure(&traffic, &permit, &failure, started.elapsed()),
    }
}
