//! Forwarding of one request to an entry of another region (a shift), or to another entry of this
//! region when no slot is free here (a handover).
//!
//! The sender enforces the link's caps: a shift needs capacity in this entry's share of the link's
//! cap, and the bytes of the response are paced by it. The other region decides by itself whether
//! it has capacity for the request.

use crate::{
    process::link::ShiftGuard,
    request::{
        answer::{
            ErrorResponse,
            Reason, //
        },
        attempt::{
            self,
            Body,
            Failure,
            Head,
            Outgoing,
            ResponseBody, //
        },
        dispatch::{
            Dispatched,
            ResponseGuard, //
        },
        forward::Hop,
        header,
        work::Work, //
    },
    version::{
        Entry,
        RegionView, //
    },
};
use actix_web::http::header::{
    HeaderName,
    HeaderValue, //
};
use base::RunOutcome;
use bytes::Bytes;
use std::time::Duration;
use steer::Freshness;

/// Entries of one region that are tried for one request.
const ENTRIES_TRIED: usize = 2;
/// Retry delay if no region admits the request.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl Work {
    /// Sends the request to the first of `regions` that admits it.
    pub(crate) async fn shift(
        &self,
        out: &Outgoing,
        body: Bytes,
        regions: &[usize],
    ) -> Result<Dispatched, ErrorResponse> {
        for &index in regions {
            let region = &self.snapshot.regions[index];
            let Some(guard) = self.admit_shift(region) else {
                continue;
            };
            self.record_flow(index);
            if let Some(result) = self.shift_to(region, out, &body, guard).await {
                return result;
            }
        }
        let error =
            ErrorResponse::not_run(Reason::NoCapacity, "no region has room for the request");
        Err(error.retry_after(RETRY_AFTER))
    }

    /// Hands the request to another entry of this region, if no slot is free here and one may be
    /// free there. It is handed over at most once.
    pub(super) async fn hand_over(&self, out: &Outgoing, body: Bytes) -> HandoverResult {
        let Some((entry, guard)) = self.place_on_sibling() else {
            return HandoverResult::NotRun;
        };
        self.counters.handed_over.increment(1);
        match self.shift_once(entry, out, body).await {
            Ok((head, body)) => HandoverResult::Done(Dispatched {
                head,
                body,
                guard: ResponseGuard::Sibling(guard),
            }),
            Err(ShiftError::NotRun) => HandoverResult::NotRun,
            Err(ShiftError::Failed(failure)) if failure.not_run() => HandoverResult::NotRun,
            Err(ShiftError::Failed(failure)) => HandoverResult::Unknown(unknown_outcome(failure)),
            Err(ShiftError::Unknown) => {
                let detail = "the other entry does not know the outcome";
                HandoverResult::Unknown(ErrorResponse::unknown(Reason::UpstreamFailed, detail))
            }
        }
    }

    /// Reserves capacity for one shift on the link to `region`, if it has any.
    fn admit_shift(&self, region: &RegionView) -> Option<ShiftGuard> {
        let link = self.snapshot.links.get(&region.id)?;
        let now = self.traffic.shared.now();
        link.admit(now, Freshness::Fresh).ok()
    }

    /// Tries entries of one region; `None` if the request certainly did not run there.
    async fn shift_to(
        &self,
        region: &RegionView,
        out: &Outgoing,
        body: &Bytes,
        guard: ShiftGuard,
    ) -> Option<Result<Dispatched, ErrorResponse>> {
        let count = region.entries.len();
        if count == 0 {
            return None;
        }
        let first = usize::try_from(self.traffic.seed() % count as u64).unwrap_or(0);
        let mut guard = guard;
        for offset in 0..count.min(ENTRIES_TRIED) {
            let entry = &region.entries[(first + offset) % count];
            self.wait_for(guard.record_bytes(body.len())).await;
            match self.shift_once(entry, out, body.clone()).await {
                Ok((head, response_body)) => {
                    self.counters.shifted.increment(1);
                    if let ResponseBody::Whole(bytes) = &response_body {
                        self.wait_for(guard.record_bytes(bytes.len())).await;
                    }
                    return Some(Ok(Dispatched {
                        head,
                        body: response_body,
                        guard: ResponseGuard::Shift(guard),
                    }));
                }
                Err(ShiftError::NotRun) => {}
                Err(ShiftError::Failed(failure)) if failure.not_run() => {}
                Err(ShiftError::Failed(failure)) => return Some(Err(unknown_outcome(failure))),
                Err(ShiftError::Unknown) => {
                    let detail = "the other region does not know the outcome";
                    return Some(Err(ErrorResponse::unknown(Reason::UpstreamFailed, detail)));
                }
            }
            // Each attempt counts as a request in flight of its own.
            drop(guard);
            guard = self.admit_shift(region)?;
        }
        None
    }

    /// Sleeps for `wait`, but not beyond the deadline.
    async fn wait_for(&self, wait: Duration) {
        if !wait.is_zero() {
            let at = self.deadline.within(std::time::Instant::now(), wait);
            tokio::time::sleep_until(at.at()).await;
        }
    }

    /// Sends the request once to `entry`.
    async fn shift_once(
        &self,
        entry: &Entry,
        out: &Outgoing,
        body: Bytes,
    ) -> Result<(Head, ResponseBody), ShiftError> {
        let traffic = &self.traffic;
        let id = traffic.request_id();
        let class = &self.class.class;
        let hop = Hop {
            from: &traffic.shared.settings.instance,
            to: &entry.instance,
            class: &class.id,
            request: &id,
        };
        let mut out = Outgoing {
            method: out.method.clone(),
            path_and_query: format!("/v1/work/{}{}", class.id, out.path_and_query).into(),
            headers: out.headers.clone(),
        };
        if let Ok(proof) = HeaderValue::from_str(&traffic.shared.forward_key.sign(&hop)) {
            out.headers
                .insert(HeaderName::from_static(header::FORWARD), proof);
        }
        let channel = if class.idempotent {
            traffic.clients.get(&entry.dial_addr)
        } else {
            traffic.clients.unpooled()
        };
        let body = Body::Whole(body);
        let sent = attempt::send(
            &channel.client,
            &entry.dial_addr,
            &out,
            body,
            &id,
            self.deadline,
        )
        .await;
        if matches!(sent, Err(Failure::Timeout)) {
            traffic.clients.retire(&entry.dial_addr);
        }
        let (head, body) = sent.map_err(ShiftError::Failed)?;
        match outcome(&head) {
            Some(RunOutcome::Done) => Ok((head, body)),
            Some(RunOutcome::NotRun) => Err(ShiftError::NotRun),
            Some(RunOutcome::Unknown) | None => Err(ShiftError::Unknown),
        }
    }
}

/// Result of a handover to another entry of this region.
pub(super) enum HandoverResult {
    /// The other entry returned a response.
    Done(Dispatched),
    /// Nothing ran, or there is no entry to hand the request to.
    NotRun,
    /// The request may have run.
    Unknown(ErrorResponse),
}

/// Failure of one attempt at another entry, without a response to forward.
enum ShiftError {
    /// The other entry reports that nothing ran.
    NotRun,
    /// The other entry doesn't know the outcome, or the response names none.
    Unknown,
    /// The attempt itself failed.
    Failed(Failure),
}

fn outcome(head: &Head) -> Option<RunOutcome> {
    head.headers
        .get(header::OUTCOME)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Error response after a failure that leaves the outcome unknown.
fn unknown_outcome(failure: Failure) -> ErrorResponse {
    match failure {
        Failure::Timeout => {
            let detail = "no whole answer of the other entry before the deadline";
            ErrorResponse::unknown(Reason::UpstreamTimeout, detail)
        }
        Failure::Broken(detail) | Failure::NotSent(detail) => {
            ErrorResponse::unknown(Reason::UpstreamFailed, detail)
        }
        Failure::Refused { .. } => ErrorResponse::unknown(Reason::UpstreamFailed, "refused"),
    }
}
