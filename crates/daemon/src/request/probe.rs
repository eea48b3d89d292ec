//! Probes: copies of idempotent requests with short bodies, sent to cold or suspect upstreams.
//!
//! A request that is itself the probe of a cold or suspect upstream suffers its latency, and a few
//! such requests in a hundred already determine the tail latency. The request is therefore sent to
//! the upstream chosen for it, and once it has a response a copy is sent to the upstream whose
//! probe is due; the response to the copy is only measured. The copy is sent after the response, so
//! that a refusal with the outcome `not-run` stays true.

use crate::{
    process::pool::Permit,
    request::{
        attempt::{
            self,
            Body,
            Outgoing,
            ResponseBody, //
        },
        deadline::Deadline,
        dispatch::{
            record_failure,
            Job, //
        },
        TrafficThread, //
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

/// Longest wait for the response to a copy.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

impl Job<'_> {
    /// Sends a copy of the request to an upstream whose probe is due, if the budget allows it.
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
        let timeout = self.class.class.deadline.min(COPY_TIMEOUT);
        let deadline = Deadline::after(Instant::now(), timeout);
        let probe = send_copy(Rc::clone(self.traffic), permit, out, body.clone(), deadline);
        actix_rt::spawn(probe);
    }
}

async fn send_copy(
    traffic: Rc<TrafficThread>,
    permit: Permit,
    out: Outgoing,
    body: Bytes,
    deadline: Deadline,
) {
    let upstream = &permit.upstream;
    let id = traffic.request_id();
    let channel = traffic.clients.unpooled();
    let started = Instant::now();
    permit.mark_sent(&channel.closing, deadline.at());
    let body = Body::Whole(body);
    let client = &channel.client;
    match attempt::send(client, &upstream.addr, &out, body, &id, deadline).await {
        Ok((_, response_body)) => {
            upstream.observations.record_response(started.elapsed());
            if matches!(response_body, ResponseBody::Whole(_)) {
                permit.mark_completed();
            }
        }
        Err(failure) => record_failure(&traffic, &permit, &failure, started.elapsed()),
    }
}
