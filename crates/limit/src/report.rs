//! Reports of limits, exchanged between entries.

use base::UpstreamId;
use serde::{
    Deserialize,
    Serialize, //
};

/// The limit that an upstream last stated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Upstream that stated the limit.
    pub upstream: UpstreamId,
    /// Start of its incarnation, in Unix milliseconds.
    pub started_ms: u64,
    /// Maximum requests per second from all entries combined; `None` once the limit has ended.
    pub limit_per_s: Option<f64>,
    /// Sequence number that grows with each change. It is at least the time of the change in Unix milliseconds.
    pub number: u64,
}

impl Report {
    /// Returns whether it supersedes `other`. Of two with the same number, the stricter one is kept.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let strictness = |report: &Self| -report.limit_per_s.unwrap_or(f64::MAX);
        let order = |report: &Self| (report.started_ms, report.number, strictness(report));
        order(self) > order(other)
    }
}
