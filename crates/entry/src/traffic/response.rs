//! Builds final responses: an upstream's response, or one made by the entry.

use crate::{
    dialect::Dialect,
    traffic::{
        attempt::{
            ReceivedBody,
            ReceivedResponse,
            BUFFERED_BODY_BYTES_MAX, //
        },
        dispatch::{
            Dispatch,
            Progress, //
        },
        placement::Rejection,
        relayed::RELAY,
        request_log::EndSummary,
        stream::ResponseStream,
    },
};
use actix_http::{
    header::{
        HeaderValue,
        RETRY_AFTER,
        WWW_AUTHENTICATE, //
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

/// Final response and the outcome for metrics.
pub(super) type FinalResponse = (CallerResponse, Outcome);

/// Result of the last send that reached an upstream.
pub(super) enum LastSend {
    Answered(Box<ReceivedResponse>),
    NotRun,
    Failed { timeout: bool },
}

/// Builds a response which states that the request did not run and when to retry.
pub(super) fn retry_later(after: Duration, outcome: Outcome) -> FinalResponse {
    let mut response = CallerResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    let value = HeaderValue::from_str(&seconds).expect("a decimal number is a valid header value");
    response.headers.insert(RETRY_AFTER, value);
    (response, outcome)
}

/// Returns whether callers take a status as the statement that the request did not run and never will, and repeat it.
fn states_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Builds the response to a request over the quota of its organisation, which states that it did not run and when to
/// retry.
pub(super) fn over_quota(after: Duration) -> FinalResponse {
    let (mut response, outcome) = retry_later(after, Outcome::OverQuota);
    response.status = StatusCode::TOO_MANY_REQUESTS;
    (response, outcome)
}

/// Builds the response to a request without a valid key.
pub(super) fn unauthorized(dialect: &Dialect) -> FinalResponse {
    let mut response = CallerResponse::empty(StatusCode::UNAUTHORIZED);
    let scheme = HeaderValue::from_static(dialect.key_scheme);
    response.headers.insert(WWW_AUTHENTICATE, scheme);
    (response, Outcome::Unauthorized)
}

impl Dispatch {
    /// Returns whether a response with this status would state that the request did not run, although it may have: an
    /// upstream that didn't run a request says so in a header.
    pub(super) fn is_untrue(&self, status: StatusCode) -> bool {
        !self.route.kind.is_idempotent() && states_not_run(status)
    }

    /// Builds the final response from an upstream's response.
    pub(super) fn forward_response(
        &self,
        progress: &Progress,
        upstream_response: ReceivedResponse,
    ) -> FinalResponse {
        let outcome = if upstream_response.status.is_server_error() {
            Outcome::UpstreamError
        } else {
            Outcome::Answered
        };
        self.log_end(&EndSummary {
            status: upstream_response.status.as_u16(),
            outcome,
            rejection: None,
            progress,
        });
        let headers = end_to_end_headers(&upstream_response.headers);
        let body_hold = upstream_response.body_hold;
        let body = match upstream_response.body {
            ReceivedBody::Complete(_) if self.method == Method::HEAD => ResponseBody::Omitted {
                length_bytes: upstream_response.length_bytes,
            },
            ReceivedBody::Complete(bytes) => ResponseBody::Whole(bytes),
            ReceivedBody::Partial {
                prefix,
                rest,
                guard,
            } => {
                if prefix.len() > BUFFERED_BODY_BYTES_MAX {
                    self.traffic.note_long_response(&self.route.id);
                }
                let stream = ResponseStream {
                    id: self.id.clone(),
                    received: self.received,
                    deadline: self.deadline,
                    guard,
                    body_hold: body_hold.clone(),
                    rest_bytes: upstream_response
                        .length_bytes
                        .map(|length| length.saturating_sub(prefix.len() as u64)),
                };
                let parts = stream.forward(prefix, rest);
                ResponseBody::Stream {
                    length_bytes: upstream_response.length_bytes,
                    parts,
                }
            }
        };
        let response = CallerResponse {
            status: upstream_response.status,
            headers,
            body,
            close: false,
            guard: None,
            body_hold: Some(body_hold),
        };
        (response, outcome)
    }

    /// Builds the final response when no further send is possible.
    pub(super) fn give_up(&self, mut progress: Progress, rejection: &Rejection) -> FinalResponse {
        let last = progress.last.take();
        if let Some(LastSend::Answered(upstream_response)) = last {
            // An upstream's own error response is preferred to one made by the entry.
            return self.forward_response(&progress, *upstream_response);
        }
        let (mut response, outcome) = match last {
            Some(LastSend::Failed { timeout: true }) => (
                CallerResponse::empty(StatusCode::GATEWAY_TIMEOUT),
                Outcome::TimedOut,
            ),
            _ if progress.may_have_run => (
                CallerResponse::empty(StatusCode::BAD_GATEWAY),
                Outcome::Failed,
            ),
            _ => {
                self.refund_quota();
                retry_later(rejection.retry_after, Outcome::Refused)
            }
        };
        if self.is_relayed() {
            let sends = HeaderValue::from(progress.sends);
            response.headers.insert(RELAY, sends);
        }
        self.log_end(&EndSummary {
            status: response.status.as_u16(),
            outcome,
            rejection: Some(rejection),
            progress: &progress,
        });
        (response, outcome)
    }
}
