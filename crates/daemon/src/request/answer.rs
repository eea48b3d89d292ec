//! Error responses that the daemon generates itself.
//!
//! Each carries `Jasmine-Outcome`, which states whether the request ran. An abandoned request gets
//! its final response at once. If it did not run, the response may say when to retry and, if
//! another entry is known, which one to use.

use crate::request::header;
use actix_web::{
    http::StatusCode,
    HttpResponse, //
};
use base::RunOutcome;
use bytestring::ByteString;
use serde::Serialize;
use std::time::Duration;

/// Why the daemon generated the response, in place of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Reason {
    /// The request is invalid.
    BadRequest,
    /// There is no class of this name.
    UnknownClass,
    /// This process has no configuration yet.
    NotReady,
    /// This entry is stopping.
    Stopping,
    /// No slot was available in time.
    NoCapacity,
    /// The deadline passed before the request was sent to an upstream.
    TooLate,
    /// This entry can't accept the ticket.
    TicketRefused,
    /// The table is unavailable, so the key can't be claimed.
    ClaimImpossible,
    /// Another request with the same ticket or key has not ended.
    InProgress,
    /// The attempt at an upstream failed.
    UpstreamFailed,
    /// An upstream sent no complete response before the deadline.
    UpstreamTimeout,
}

impl Reason {
    /// All reasons, in the order of the metrics table.
    pub(crate) const ALL: [Self; 11] = [
        Self::BadRequest,
        Self::UnknownClass,
        Self::NotReady,
        Self::Stopping,
        Self::NoCapacity,
        Self::TooLate,
        Self::TicketRefused,
        Self::ClaimImpossible,
        Self::InProgress,
        Self::UpstreamFailed,
        Self::UpstreamTimeout,
    ];

    /// Name in responses and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownClass => "unknown-class",
            Self::NotReady => "not-ready",
            Self::Stopping => "stopping",
            Self::NoCapacity => "no-capacity",
            Self::TooLate => "too-late",
            Self::TicketRefused => "ticket-refused",
            Self::ClaimImpossible => "claim-impossible",
            Self::InProgress => "in-progress",
            Self::UpstreamFailed => "upstream-failed",
            Self::UpstreamTimeout => "upstream-timeout",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::NotReady | Self::Stopping | Self::NoCapacity | Self::ClaimImpossible => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::TicketRefused | Self::InProgress => StatusCode::CONFLICT,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::TooLate | Self::UpstreamTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An error response that the daemon generates itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    pub(crate) reason: Reason,
    pub(crate) outcome: RunOutcome,
    pub(crate) detail: ByteString,
    /// Time after which to retry.
    pub(crate) retry_after: Option<Duration>,
    /// Callers' address of the entry to use instead.
    pub(crate) entry: Option<ByteString>,
}

#[derive(Serialize)]
struct Payload<'a> {
    error: &'static str,
    outcome: RunOutcome,
    detail: &'a str,
}

impl ErrorResponse {
    /// Response to a request that certainly did not run.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<ByteString>) -> Self {
        Self {
            reason,
            outcome: RunOutcome::NotRun,
            detail: detail.into(),
            retry_after: None,
            entry: None,
        }
    }

    /// Response to a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<ByteString>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(reason, detail)
        }
    }

    /// Sets the time after which to retry.
    pub(crate) fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Sets the entry to use instead.
    pub(crate) fn use_entry(self, entry: Option<ByteString>) -> Self {
        Self { entry, ..self }
    }

    /// Builds the HTTP response.
    pub fn respond(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.reason.status());
        response.insert_header((header::OUTCOME, self.outcome.as_str()));
        if let Some(after) = self.retry_after {
            let after_s = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            response.insert_header(("Retry-After", after_s));
            response.insert_header((header::RETRY_AFTER_MS, after.as_millis().to_string()));
        }
        if let Some(entry) = &self.entry {
            response.insert_header((header::ENTRY, entry.to_string()));
        }
        response.json(Payload {
            error: self.reason.as_str(),
            outcome: self.outcome,
            detail: &self.detail,
        })
    }
}
