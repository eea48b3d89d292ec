//! One try: the request as sent, its answer, and the record of both.

use super::{
    answer::Answer,
    asking::{
        Asking,
        Target, //
    },
};
use crate::{
    payload::Payload,
    record::{
        Flaw,
        Try,
        TryEnd, //
    },
    scene::{
        FilingWay,
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

/// Characters of a ticket that a record keeps.
const KEPT_CHARS: usize = 24;

impl Asking<'_> {
    /// Sends one try and waits for its end.
    pub(super) async fn attempt(&mut self, target: &Target) -> (TryEnd, Answer) {
        let number = self.number(target);
        let limit = self.limit();
        let sent = Instant::now();
        let mut answer = Answer::default();
        let end = timeout(limit, self.exchange(target, number, &mut answer))
            .await
            .unwrap_or(TryEnd::TimedOut);
        let clock = self.callers.clock;
        self.tries.push(Try {
            number,
            entry: target.entry.clone(),
            filing: self.filing(target).map(|text| shortened(&text)),
            sent_us: clock.us(sent),
            ended_us: clock.us(Instant::now()),
            end,
            request: answer.request.clone(),
            instance: answer.instance.clone(),
            status: answer.status,
            detail: answer.detail.clone(),
        });
        (end, answer)
    }

    /// How long to wait for the next try: to the deadline and some more for the last one, so that
    /// a late final answer is told from none.
    fn limit(&self) -> Duration {
        let whole = self.left() + Duration::from_millis(self.callers.scene.allowance_ms);
        let last = self.tries.len() as u64 + 1 >= u64::from(self.class.tries);
        match self.class.attempt_ms.map(Duration::from_millis) {
            Some(attempt) if !last && attempt < self.left() => attempt,
            _ => whole,
        }
    }

    /// Number of the next try: a copy of a filing is the same request to the last byte.
    fn number(&self, target: &Target) -> u32 {
        let last = self.tries.last().map_or(0, |last| last.number);
        let copy = match self.class.filing {
            FilingWay::None => false,
            FilingWay::Ticket => self.maybe_ran && target.ticket.is_some(),
            FilingWay::Key => true,
        };
        if copy {
            last.max(1)
        } else {
            last + 1
        }
    }

    /// Ticket or key that goes with a try.
    fn filing(&self, target: &Target) -> Option<ByteString> {
        match self.class.filing {
            FilingWay::None => None,
            FilingWay::Ticket => target.ticket.clone(),
            FilingWay::Key => Some(self.arrival.id.clone()),
        }
    }

    /// One request and its answer on the wire.
    async fn exchange(&self, target: &Target, number: u32, answer: &mut Answer) -> TryEnd {
        self.travel().await;
        let id = &self.arrival.id;
        let payload = Payload::new(self.class.work, self.class.bytes, id, number);
        let request = self.request(target, &payload);
        let response = match request.send_body(payload.body.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_)) => return TryEnd::NotConnected,
            Err(SendRequestError::Timeout) => return TryEnd::TimedOut,
            Err(_) => return TryEnd::Cut,
        };
        answer.read_head(response.status().as_u16(), response.headers());
        let mut checker = payload.checker();
        if answer.read_body(response, &mut checker).await.is_err() {
            return TryEnd::Cut;
        }
        self.travel().await;
        let Some(outcome) = answer.outcome else {
            answer.flaw = Some(Flaw::NoOutcome);
            return TryEnd::Unclaimed;
        };
        if outcome == RunOutcome::Done && answer.is_success() {
            answer.flaw = checker.finish();
        }
        TryEnd::Answered(outcome)
    }

    /// Head of the request.
    fn request(&self, target: &Target, payload: &Payload) -> ClientRequest {
        let (entry, class) = (&target.entry, &self.class.name);
        let url = format!("http://{entry}/v1/work/{class}{}", payload.path);
        let method = match self.class.work {
            Work::Bytes | Work::Chunked => Method::GET,
            Work::Echo => Method::POST,
        };
        let left_ms = self.left().as_millis().to_string();
        let client = &self.callers.client;
        let request = client
            .request(method, url)
            .insert_header(("Jasmine-Deadline-Ms", left_ms));
        let Some(filing) = self.filing(target) else {
            return request;
        };
        let name = match self.class.filing {
            FilingWay::Ticket => "Jasmine-Ticket",
            FilingWay::None | FilingWay::Key => "Idempotency-Key",
        };
        request.insert_header((name, filing.to_string()))
    }
}

/// Start of a long text.
fn shortened(text: &ByteString) -> ByteString {
    text.chars().take(KEPT_CHARS).collect::<String>().into()
}
