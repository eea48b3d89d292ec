//! Answers of the system's own.
//!
//! Each carries `Jasmine-Outcome`, its claim about whether the request ran. A request that is
//! given up on gets its final answer at once; one that did not run is told when to come back and,
//! where one is known, which entry to use instead.

use crate::request::header;
use actix_web::{
    http::StatusCode,
    HttpResponse, //
};
use base::RunOutcome;
use bytestring::ByteString;
use serde::Serialize;
use std::time::Duration;

/// Why the system answers itself, in place of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Reason {
    /// The request itself is at fault.
    BadRequest,
    /// No class of this name.
    UnknownClass,
    /// This process has no configuration yet.
    NotReady,
    /// This entry stops.
    Stopping,
    /// No slot could be had in time.
    NoCapacity,
    /// The deadline passed before an upstream was asked.
    TooLate,
    /// A ticket that this entry can't honour.
    TicketRefused,
    /// The table can't be asked, so a key can't be claimed.
    ClaimImpossible,
    /// Another request with the same ticket or key has not ended.
    InProgress,
    /// An upstream was asked and gave no whole answer.
    UpstreamFailed,
    /// An upstream was asked and gave no whole answer before the deadline.
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

    /// Name in answers and metrics.
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

/// An answer of the system's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    pub(crate) reason: Reason,
    pub(crate) outcome: RunOutcome,
    pub(crate) detail: ByteString,
    /// When to come back, for what did not run.
    pub(crate) retry_after: Option<Duration>,
    /// Callers' address of the entry to use instead.
    pub(crate) entry: Option<ByteString>,
}

#[derive(Serialize)]
struct Text<'a> {
    error: &'static str,
    outcome: RunOutcome,
    detail: &'a str,
}

impl Answer {
    /// Answer to a request of which nothing reached an upstream.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<ByteString>) -> Self {
        Self {
            reason,
            outcome: RunOutcome::NotRun,
            detail: detail.into(),
            retry_after: None,
            entry: None,
        }
    }

    /// Answer to a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<ByteString>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(reason, detail)
        }
    }

    /// Tells when to come back.
    pub(crate) fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Names the entry to use instead.
    pub(crate) fn use_entry(self, entry: Option<ByteString>) -> Self {
        Self { entry, ..self }
    }

    /// The HTTP answer.
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
        response.json(Text {
            error: self.reason.as_str(),
            outcome: self.outcome,
            detail: &self.detail,
        })
    }
}
