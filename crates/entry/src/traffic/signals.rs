//! What an upstream states about itself in the head of a response.

use crate::dialect::Dialect;
use actix_http::{
    header::{
        HeaderMap,
        HeaderName,
        RETRY_AFTER, //
    },
    StatusCode, //
};
use balance::{
    LoadReport,
    StatedSpeed, //
};
use base::Now;
use std::time::Duration;

/// Statements of an upstream about itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Signals {
    /// Its load, if stated.
    pub(super) load: Option<LoadReport>,
    /// Maximum requests per second from all entries combined; `None` if it states no limit.
    pub(super) limit_per_s: Option<f64>,
    /// Whether it is leaving.
    pub(super) is_leaving: bool,
    /// Time for which it accepts no further requests from this entry, if it rejected this one.
    pub(super) retry_after: Option<Duration>,
}

impl Signals {
    /// Reads the head of a response of the incarnation that the request was sent to; returns `None` for a response of
    /// another one. Invalid values count as absent.
    pub(super) fn parse(
        dialect: &Dialect,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<Self> {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        let (leaving, leaving_value) = &dialect.leaving;
        let load = text(headers, &dialect.load);
        let mut limits = dialect.limit_per_s.iter();
        let limit = limits.find_map(|name| text(headers, name));
        let retry_after = text(headers, &RETRY_AFTER);
        Some(Self {
            load: load.and_then(LoadReport::parse),
            limit_per_s: limit.and_then(parse_non_negative),
            is_leaving: text(headers, leaving) == Some(*leaving_value),
            retry_after: retry_after
                .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
                .and_then(parse_seconds),
        })
    }

    /// Returns its stated speed, if any. `at` is when the head arrived.
    pub(super) fn speed(&self, at: Now) -> Option<StatedSpeed> {
        let work_time_pct = self.load?.work_time_pct?;
        Some(StatedSpeed { work_time_pct, at })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    Some(headers.get(name)?.to_str().ok()?.trim())
}

fn parse_non_negative(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Parses a number of seconds. A number too large for a [`Duration`] is the longest one.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = parse_non_negative(text)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
