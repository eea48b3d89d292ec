//! Final answers: an upstream's passed on, or one of the entry's own.

use crate::traffic::{
    attempt::{
        Answered,
        AnsweredBody, //
    },
    job::{
        Job,
        Progress, //
    },
    log::End,
    placement::Refused,
    stream::Stream,
};
use actix_http::{
    header::{
        HeaderValue,
        RETRY_AFTER, //
    },
    Method,
    StatusCode, //
};
use event::Outcome;
use relay::{
    end_to_end_headers,
    CallerResponse,
    ResponseBody, //
};
use std::time::Duration;

/// Final answer and what the metrics call it.
pub(super) type Final = (CallerResponse, Outcome);

/// What the last send that reached an upstream came to.
pub(super) enum Last {
    Answered(Box<Answered>),
    NotRun,
    Failed { timeout: bool },
}

/// Tells the caller that the request did not run, and when to come back.
pub(super) fn come_back(after: Duration, outcome: Outcome) -> Final {
    let mut answer = CallerResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    let value = HeaderValue::from_str(&seconds).expect("digits are a header's value");
    answer.headers.insert(RETRY_AFTER, value);
    (answer, outcome)
}

impl Job {
    /// Passes an upstream's answer on.
    pub(super) fn deliver(&self, progress: &Progress, answered: Answered) -> Final {
        let outcome = if answered.status.is_server_error() {
            Outcome::UpstreamError
        } else {
            Outcome::Answered
        };
        self.log_end(&End {
            status: answered.status.as_u16(),
            outcome,
            refused: None,
            progress,
        });
        let headers = end_to_end_headers(&answered.headers);
        let body = match answered.body {
            AnsweredBody::Whole(_) if self.method == Method::HEAD => ResponseBody::Omitted {
                length_bytes: answered.length_bytes,
            },
            AnsweredBody::Whole(bytes) => ResponseBody::Whole(bytes),
            AnsweredBody::Long {
                begun,
                rest,
                in_flight,
            } => {
                let stream = Stream {
                    id: self.id.clone(),
                    received: self.received,
                    deadline: self.deadline,
                    in_flight,
                };
                let parts = stream.pass_on(begun, rest);
                ResponseBody::Stream {
                    length_bytes: answered.length_bytes,
                    parts,
                }
            }
        };
        let answer = CallerResponse {
            status: answered.status,
            headers,
            body,
            close: false,
        };
        (answer, outcome)
    }

    /// The final answer when nothing more can be done.
    pub(super) fn give_up(&self, mut progress: Progress, refused: &Refused) -> Final {
        let last = progress.last.take();
        if let Some(Last::Answered(answered)) = last {
            // An upstream's own failure is an answer: better than one of ours.
            return self.deliver(&progress, *answered);
        }
        let (answer, outcome) = match last {
            Some(Last::Failed { timeout: true }) => (
                CallerResponse::empty(StatusCode::GATEWAY_TIMEOUT),
                Outcome::TimedOut,
            ),
            _ if progress.may_have_run => (
                CallerResponse::empty(StatusCode::BAD_GATEWAY),
                Outcome::Failed,
            ),
            _ => come_back(refused.retry_after, Outcome::Refused),
        };
        self.log_end(&End {
            status: answer.status.as_u16(),
            outcome,
            refused: Some(refused),
            progress: &progress,
        });
        (answer, outcome)
    }
}
