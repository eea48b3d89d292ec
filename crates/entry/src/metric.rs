//! Metrics that an entry exports.

metric::table! {
    /// Every metric that an entry exports.
    METRICS;
    REQUESTS = "jasmine_entry_requests_total", Counter, "requests", "outcome",
        "Requests of callers that got a final answer, by outcome.";
    REQUEST_SECONDS = "jasmine_entry_request_seconds", Histogram, "seconds", "outcome",
        "Time from a request's head to its final answer.";
    SENDS = "jasmine_entry_sends_total", Counter, "requests", "outcome",
        "Requests sent to upstreams, by what became of them.";
    SEND_WAIT_SECONDS = "jasmine_entry_send_wait_seconds", Histogram, "seconds", "",
        "Time from the choice of an upstream to a connection on which the request may be sent.";
    HEDGES = "jasmine_entry_hedges_total", Counter, "requests", "outcome",
        "Requests sent to a second upstream because the first took unusually long, by which of them responded.";
    PROBES = "jasmine_entry_probes_total", Counter, "requests", "",
        "Requests sent although no answer was expected in time, to find out whether the estimates still hold.";
    WAIT_SECONDS = "jasmine_entry_wait_seconds", Histogram, "seconds", "rank",
        "Time that requests waited at the entry because their service had no free slot, by priorities of organisation and route.";
    WAITS = "jasmine_entry_waits_total", Counter, "requests", "rank,outcome",
        "Requests that waited at the entry, by priorities of organisation and route and by what became of them.";
    WAITING = "jasmine_entry_waiting", Gauge, "requests", "service",
        "Requests that wait at the entry.";
    BODY_BYTES = "jasmine_entry_body_bytes", Gauge, "bytes", "",
        "Memory held for the bodies of requests and responses.";
    BODIES_REFUSED = "jasmine_entry_bodies_refused_total", Counter, "requests", "",
        "Requests that were rejected because there was no memory for their bodies.";
    COLD_LEASES = "jasmine_entry_cold_leases", Gauge, "leases", "",
        "Cold upstreams that only this entry sends to.";
    CRASHES = "jasmine_entry_crashes_total", Counter, "crashes", "",
        "Upstreams found to have ended while they had a request of this entry, once for each request.";
    QUARANTINED_REQUESTS = "jasmine_entry_quarantined_requests", Gauge, "requests", "",
        "Requests that are rejected because they crash upstreams.";
    LOOKUPS = "jasmine_entry_lookups_total", Counter, "look-ups", "",
        "Look-ups answered.";
    STORE_CALLS = "jasmine_entry_store_calls_total", Counter, "calls", "call,outcome",
        "Calls to the store, by what became of them.";
    LOG_LINES_LEFT_OUT = "jasmine_entry_log_lines_left_out_total", Counter, "lines", "reason",
        "Log lines that were not written: beyond the bound of a second, or the queue was full.";
    ROUTES_VERSION = "jasmine_entry_routes_version", Gauge, "version", "",
        "Version of the routes in force; 0 is none.";
    ROUTES_AGE_SECONDS = "jasmine_entry_routes_age_seconds", Gauge, "seconds", "",
        "Time since the routes were last known to be the newest.";
    DEPARTURES = "jasmine_entry_departures_total", Counter, "upstreams", "",
        "Upstreams known to be leaving from a response, to this entry or another one, before their rows said so.";
    PAUSES = "jasmine_entry_pauses_total", Counter, "pauses", "",
        "Times that an upstream rejected a request and asked for no further ones for a while.";
    UPSTREAM_WORK_TIME = "jasmine_entry_upstream_work_time_ratio", Histogram, "ratio", "",
        "Time that work takes at an upstream, as stated in its responses; 1 is the usual.";
    PARTITIONED = "jasmine_entry_partitioned", Gauge, "flag", "",
        "1 while this entry reaches no upstream and relays its callers' requests through other entries.";
    FAILED_CONNECTIONS = "jasmine_entry_failed_connections", Gauge, "upstreams", "",
        "Upstreams that connections failed to, as counted for the suspicion that this entry reaches no upstream.";
    RELAYED = "jasmine_entry_relayed_total", Counter, "requests", "outcome",
        "Requests relayed to other entries, by what became of them.";
    PEERS = "jasmine_entry_peers", Gauge, "sessions", "",
        "Sessions with other entries.";
    ENTRIES = "jasmine_entry_entries", Gauge, "entries", "",
        "Entries that are up, this one included.";
    HUB = "jasmine_entry_hub", Gauge, "flag", "",
        "1 if this entry is a hub of its failure domain.";
    FORWARDED_ROWS = "jasmine_entry_forwarded_rows_total", Counter, "messages", "step",
        "Messages with rows that a hub forwarded, by what was done with them.";
    SENT_BYTES = "jasmine_entry_peer_sent_bytes_total", Counter, "bytes", "message",
        "Bytes sent to other entries, by kind of message.";
}

/// Returns the entry's section of `docs/METRICS.md`.
pub fn metrics_page() -> String {
    format!(
        "\n## `jasmine-entry` and `jasmine-router`\n\n{}",
        metric::markdown_table(METRICS)
    )
}
