//! One try: the request as sent, its response, and the record of both.

use super::{
    request::{
        RequestState,
        Target, //
    },
    response::ResponseSummary, //
};
use crate::{
    payload::Payload,
    record::{
        Flaw,
        Try,
        TryEnd, //
    },
    scene::{
        FilingMethod,
        Work, //
    },
};
use awc::{
    error::SendRequestError,
    http::Method,
    ClientRequest, //
};
use base::RunOutcome;
use bytestring::ByteString;
use std::time::{
    Duration,
    Instant, //
};
use tokio::time::timeout;

/// Characters of a ticket or key that a record keeps.
const MAX_FILING_CHARS: usize = 24;

impl RequestState<'_> {
    /// Sends one try, waits for its end and records it.
    pub(super) async fn attempt(&mut self, target: &Target) -> (TryEnd, ResponseSummary) {
        let number = self.next_number(target);
        let attempt_timeout = self.attempt_timeout();
        let sent_at = Instant::now();
        let mut summary = ResponseSummary::default();
        let end = timeout(attempt_timeout, self.exchange(target, number, &mut summary))
            .await
            .unwrap_or(TryEnd::TimedOut);
        let clock = self.callers.clock;
        self.tries.push(Try {
            number,
            entry: target.entry.clone(),
            filing: self.filing(target).map(|text| truncated(&text)),
            sent_us: clock.wall_us(sent_at),
            ended_us: clock.wall_us(Instant::now()),
            end,
            request: summary.request.clone(),
            instance: summary.instance.clone(),
            status: summary.status,
            detail: summary.detail.clone(),
        });
        (end, summary)
    }

    /// Timeout of the next try. The last one may exceed the deadline by the allowance, so that the
    /// record distinguishes a late final response from a missing one.
    fn attempt_timeout(&self) -> Duration {
        let final_timeout =
            self.time_left() + Duration::from_millis(self.callers.scene.allowance_ms);
        let is_last = self.tries.len() as u64 + 1 >= u64::from(self.class.tries);
        match self.class.attempt_ms.map(Duration::from_millis) {
            Some(attempt) if !is_last && attempt < self.time_left() => attempt,
            _ => final_timeout,
        }
    }

    /// Number of the next try. A copy of a filing keeps its number, since it has to be the same
    /// request byte for byte.
    fn next_number(&self, target: &Target) -> u32 {
        let last = self.tries.last().map_or(0, |last| last.number);
        let is_copy = match self.class.filing {
            FilingMethod::None => false,
            FilingMethod::Ticket => self.may_have_run && target.ticket.is_some(),
            FilingMethod::Key => true,
        };
        if is_copy {
            last.max(1)
        } else {
            last + 1
        }
    }

    /// Ticket or key to send with a try.
    fn filing(&self, target: &Target) -> Option<ByteString> {
        match self.class.filing {
            FilingMethod::None => None,
            FilingMethod::Ticket => target.ticket.clone(),
            FilingMethod::Key => Some(self.arrival.id.clone()),
        }
    }

    /// Sends one request and reads its response.
    async fn exchange(
        &self,
        target: &Target,
        number: u32,
        summary: &mut ResponseSummary,
    ) -> TryEnd {
        self.network_delay().await;
        let id = &self.arrival.id;
        let payload = Payload::new(self.class.work, self.class.bytes, id, number);
        let request = self.build_request(target, &payload);
        let response = match request.send_body(payload.body.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_)) => return TryEnd::NotConnected,
            Err(SendRequestError::Timeout) => return TryEnd::TimedOut,
            Err(_) => return TryEnd::Cut,
        };
        summary.read_head(response.status().as_u16(), response.headers());
        let mut checker = payload.checker();
        if summary.read_body(response, &mut checker).await.is_err() {
            return TryEnd::Cut;
        }
        self.network_delay().await;
        let Some(outcome) = summary.outcome else {
            summary.flaw = Some(Flaw::NoOutcome);
            return TryEnd::Unclaimed;
        };
        if outcome == RunOutcome::Done && summary.is_success() {
            summary.flaw = checker.finish();
        }
        TryEnd::Answered(outcome)
    }

    /// Builds the request without its body.
    fn build_request(&self, target: &Target, payload: &Payload) -> ClientRequest {
        let (entry, class) = (&target.entry, &self.class.name);
        let url = format!("http://{entry}/v1/work/{class}{}", payload.path);
        let method = match self.class.work {
            Work::Bytes | Work::Chunked => Method::GET,
            Work::Echo => Method::POST,
        };
        let left_ms = self.time_left().as_millis().to_string();
        let client = &self.callers.client;
        let request = client
            .request(method, url)
            .insert_header(("Jasmine-Deadline-Ms", left_ms));
        let Some(filing) = self.filing(target) else {
            return request;
        };
        let header = match self.class.filing {
            FilingMethod::Ticket => "Jasmine-Ticket",
            FilingMethod::None | FilingMethod::Key => "Idempotency-Key",
        };
        request.insert_header((header, filing.to_string()))
    }
}

/// First [`MAX_FILING_CHARS`] characters of a text.
fn truncated(text: &ByteString) -> ByteString {
    text.chars()
        .take(MAX_FILING_CHARS)
        .collect::<String>()
        .into()
}
