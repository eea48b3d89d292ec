//! Names of the metrics, in one place, so that the page that explains them can be checked.

/// One metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Name as served.
    pub name: &'static str,
    /// Labels that it may carry.
    pub labels: &'static [&'static str],
    /// What it counts.
    pub help: &'static str,
}

/// Requests that got a final answer.
pub(crate) const REQUESTS: &str = "jasmine_entry_requests_total";
/// Time from a request's head to its final answer.
pub(crate) const REQUEST_SECONDS: &str = "jasmine_entry_request_seconds";
/// Requests sent to upstreams.
pub(crate) const SENDS: &str = "jasmine_entry_sends_total";
/// Look-ups answered.
pub(crate) const LOOKUPS: &str = "jasmine_entry_lookups_total";
/// Calls to the store.
pub(crate) const STORE_CALLS: &str = "jasmine_entry_store_calls_total";
/// Version of the routes in force.
pub(crate) const ROUTES_VERSION: &str = "jasmine_entry_routes_version";
/// Other entries that are connected.
pub(crate) const PEERS: &str = "jasmine_entry_peers";

/// Log lines that were not written.
pub(crate) const LOG_LINES_LEFT_OUT: &str = "jasmine_entry_log_lines_left_out_total";

/// All metrics.
pub const METRICS: &[Metric] = &[
    Metric {
        name: REQUESTS,
        labels: &["outcome"],
        help: "requests of callers by outcome",
    },
    Metric {
        name: REQUEST_SECONDS,
        labels: &["outcome"],
        help: "time from a request's head to its final answer",
    },
    Metric {
        name: SENDS,
        labels: &["outcome"],
        help: "requests sent to upstreams by what became of them",
    },
    Metric {
        name: LOOKUPS,
        labels: &[],
        help: "answers to look-ups",
    },
    Metric {
        name: STORE_CALLS,
        labels: &["call", "outcome"],
        help: "calls to the store by what became of them",
    },
    Metric {
        name: LOG_LINES_LEFT_OUT,
        labels: &["reason"],
        help: "log lines that were not written, by why",
    },
    Metric {
        name: ROUTES_VERSION,
        labels: &[],
        help: "version of the routes in force; 0 is none",
    },
    Metric {
        name: PEERS,
        labels: &[],
        help: "other entries that are connected",
    },
];
