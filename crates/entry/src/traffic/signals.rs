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
use balance::LoadReport;
use std::time::Duration;

/// Statements of an upstream about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
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
    /// Reads the head of a response. Invalid values count as absent.
    pub(super) fn parse(dialect: &Dialect, status: StatusCode, headers: &HeaderMap) -> Self {
        // A 421 response comes from another incarnation: only the load is about the process at this address.
        let is_other = status == StatusCode::MISDIRECTED_REQUEST;
        let load = text(headers, &dialect.load).and_then(parse_load);
        if is_other {
            return Self {
                load,
                ..Self::default()
            };
        }
        let mut limits = dialect.limit_per_s.iter();
        let limit = limits.find_map(|name| text(headers, name));
        let retry_after = text(headers, &RETRY_AFTER);
        Self {
            load,
            limit_per_s: limit.and_then(parse_non_negative),
            is_leaving: text(headers, &dialect.leaving) == Some(LEAVING),
            retry_after: retry_after
                .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
                .and_then(parse_seconds),
        }
    }
}

/// Value of the header that states that an upstream is leaving.
const LEAVING: &str = "1";

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    Some(headers.get(name)?.to_str().ok()?.trim())
}

/// Parses a load report of the form `running,waiting,slots`.
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
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
