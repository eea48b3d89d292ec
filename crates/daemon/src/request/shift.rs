//! Shifting one request: hands it to an entry of another region, which admits it or not; or to
//! another entry of this region, when no slot is free here.
//!
//! The caps are kept on this side: a shift needs room in this entry's part of the link's cap, and
//! the answer's bytes are paced by it. Whether the other region has capacity is decided there.

use crate::{
    process::link::ShiftGuard,
    request::{
        answer::{
            Answer,
            Reason, //
        },
        attempt::{
            self,
            AnswerBody,
            Body,
            Failure,
            Head,
            Outgoing, //
        },
        carry::{
            Carried,
            Hold, //
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
/// When to come back if no region takes the request.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl Work {
    /// Hands the request to the first region, in the order given, that admits it.
    pub(crate) async fn shift(
        &self,
        out: &Outgoing,
        body: Bytes,
        regions: &[usize],
    ) -> Result<Carried, Answer> {
        for &index in regions {
            let region = &self.snapshot.regions[index];
            let Some(guard) = self.admit_shift(region) else {
                continue;
            };
            self.note_flow(index);
            if let Some(ended) = self.shift_to(region, out, &body, guard).await {
                return ended;
            }
        }
        let answer = Answer::not_run(Reason::NoCapacity, "no region has room for the request");
        Err(answer.retry_after(RETRY_AFTER))
    }

    /// Hands the request to another entry of this region, if no slot is free here and one may be
    /// there. It is handed on at most once.
    pub(super) async fn hand_over(&self, out: &Outgoing, body: Bytes) -> HandedOver {
        let Some((entry, guard)) = self.place_beside() else {
            return HandedOver::NotRun;
        };
        self.counters.handed_over.increment(1);
        match self.shift_once(entry, out, body).await {
            Ok((head, body)) => HandedOver::Done(Carried {
                head,
                body,
                hold: Hold::Sibling(guard),
            }),
            Err(Shifted::NotRun) => HandedOver::NotRun,
            Err(Shifted::Failed(failure)) if failure.not_run() => HandedOver::NotRun,
            Err(Shifted::Failed(failure)) => HandedOver::Unknown(unknown(failure)),
            Err(Shifted::Unknown) => {
                let detail = "the other entry does not know the outcome";
                HandedOver::Unknown(Answer::unknown(Reason::UpstreamFailed, detail))
            }
        }
    }

    /// Room for one shift to `region`, if its link has any.
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
    ) -> Option<Result<Carried, Answer>> {
        let count = region.entries.len();
        if count == 0 {
            return None;
        }
        let first = usize::try_from(self.traffic.seed() % count as u64).unwrap_or(0);
        let mut guard = guard;
        for offset in 0..count.min(ENTRIES_TRIED) {
            let entry = &region.entries[(first + offset) % count];
            self.wait_for(guard.pass(body.len())).await;
            match self.shift_once(entry, out, body.clone()).await {
                Ok((head, answer)) => {
                    self.counters.shifted.increment(1);
                    if let AnswerBody::Whole(bytes) = &answer {
                        self.wait_for(guard.pass(bytes.len())).await;
                    }
                    return Some(Ok(Carried {
                        head,
                        body: answer,
                        hold: Hold::Shift(guard),
                    }));
                }
                Err(Shifted::NotRun) => {}
                Err(Shifted::Failed(failure)) if failure.not_run() => {}
                Err(Shifted::Failed(failure)) => return Some(Err(unknown(failure))),
                Err(Shifted::Unknown) => {
                    let detail = "the other region does not know the outcome";
                    return Some(Err(Answer::unknown(Reason::UpstreamFailed, detail)));
                }
            }
            // Each attempt is a request in flight of its own.
            drop(guard);
            guard = self.admit_shift(region)?;
        }
        None
    }

    async fn wait_for(&self, wait: Duration) {
        if !wait.is_zero() {
            let at = self.deadline.within(std::time::Instant::now(), wait);
            tokio::time::sleep_until(at.at()).await;
        }
    }

    async fn shift_once(
        &self,
        entry: &Entry,
        out: &Outgoing,
        body: Bytes,
    ) -> Result<(Head, AnswerBody), Shifted> {
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
        if let Ok(proof) = HeaderValue::from_str(&traffic.shared.forward_key.prove(&hop)) {
            out.headers
                .insert(HeaderName::from_static(header::FORWARD), proof);
        }
        let channel = if class.idempotent {
            traffic.clients.get(&entry.dial_addr)
        } else {
            traffic.clients.fresh()
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
        let (head, answer) = sent.map_err(Shifted::Failed)?;
        match outcome(&head) {
            Some(RunOutcome::Done) => Ok((head, answer)),
            Some(RunOutcome::NotRun) => Err(Shifted::NotRun),
            Some(RunOutcome::Unknown) | None => Err(Shifted::Unknown),
        }
    }
}

/// How the hand-over to another entry of this region ended.
pub(super) enum HandedOver {
    /// Answered there.
    Done(Carried),
    /// Nothing ran, or there is nobody to hand it to.
    NotRun,
    /// It may have run.
    Unknown(Answer),
}

/// How one attempt at another region ended without an answer to pass on.
enum Shifted {
    /// The other entry says that nothing ran.
    NotRun,
    /// The other entry doesn't know, or is no entry.
    Unknown,
    /// The hop itself failed.
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

fn unknown(failure: Failure) -> Answer {
    match failure {
        Failure::Timeout => {
            let detail = "no whole answer of the other entry before the deadline";
            Answer::unknown(Reason::UpstreamTimeout, detail)
        }
        Failure::Broken(why) | Failure::NotSent(why) => {
            Answer::unknown(Reason::UpstreamFailed, why)
        }
        Failure::Refused { .. } => Answer::unknown(Reason::UpstreamFailed, "refused"),
    }
}
