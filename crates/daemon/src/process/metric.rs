//! The table of metrics: names, kinds, units and descriptions.
//!
//! The Prometheus endpoint, `docs/METRICS.md` and the counters of the request path take their names
//! from this table.

metric::table! {
    /// Every metric that a daemon exports.
    METRICS;
    LOOKUPS = "jasmine_lookups_total", Counter, "look-ups", "result",
        "Look-ups answered, by result.";
    REQUESTS = "jasmine_requests_total", Counter, "requests", "class,outcome",
        "Requests answered, by what the answer claims.";
    REASONS = "jasmine_own_answers_total", Counter, "answers", "reason",
        "Answers of the system's own, by reason.";
    MALFORMED = "jasmine_malformed_requests_total", Counter, "requests", "reason",
        "Requests that are no HTTP, by what is wrong: head, oversized-head, body.";
    LATENCY = "jasmine_request_seconds", Histogram, "seconds", "class",
        "Time from a request's head to its answer's last byte here, done requests only.";
    RETRIES = "jasmine_retries_total", Counter, "attempts", "class",
        "Attempts beyond the first.";
    SHIFTED = "jasmine_shifted_total", Counter, "requests", "class",
        "Requests handed to the entry of another region.";
    HANDED_OVER = "jasmine_handed_over_total", Counter, "requests", "class",
        "Requests handed to another entry of this region, as no slot was free here.";
    COPIES = "jasmine_probe_copies_total", Counter, "requests", "class",
        "Copies of requests sent to upstreams that have to prove themselves.";
    BROKEN_STREAMS = "jasmine_broken_streams_total", Counter, "answers", "class",
        "Answers that streamed and were broken off, so that the caller saw them as short.";
    WAITED = "jasmine_slot_wait_seconds", Histogram, "seconds", "class",
        "Time that requests waited here for a slot.";
    LINK_BYTES = "jasmine_link_passed_bytes_total", Counter, "bytes", "to",
        "Bytes of shifted requests and their answers, by the region that does the work.";
    ACTIVE = "jasmine_active_requests", Gauge, "requests", "",
        "Requests that are not finished.";
    VERSION = "jasmine_config_version", Gauge, "version", "",
        "Configuration in force.";
    LEASE_LEFT = "jasmine_lease_left_seconds", Gauge, "seconds", "",
        "Time for which the lease allows the whole allotment.";
    SLOTS_USABLE = "jasmine_slots_usable", Gauge, "slots", "service",
        "Upstream slots that this entry may use now.";
    SLOTS_USED = "jasmine_slots_used", Gauge, "slots", "service",
        "Upstream slots that this entry uses.";
    PLATFORM_CALLS = "jasmine_platform_calls_total", Counter, "calls", "call,result",
        "Calls of the platform, by what came of them.";
    PEERS = "jasmine_peers", Gauge, "sessions", "",
        "Sessions with other daemons.";
    PEER_BYTES = "jasmine_peer_sent_bytes_total", Counter, "bytes", "",
        "Bytes sent to other daemons.";
    STRANGERS = "jasmine_peer_strangers_total", Counter, "connections", "",
        "Connections on the peers' port that proved no key or sent what is no frame.";
    REFUSED_FRAMES = "jasmine_peer_refused_frames_total", Counter, "frames", "reason",
        "Frames of proven daemons of a kind that this release doesn't know, or malformed.";
    CONTROL_TICK = "jasmine_control_tick_seconds", Histogram, "seconds", "",
        "Processor time of one tick of control.";
}

/// Returns the daemon's section of `docs/METRICS.md`.
pub fn metrics_page() -> String {
    format!(
        "# Metrics\n\nGenerated from the tables in the code by `jasmined --metrics-page` and \
         `jasmine-router --metrics-page`, one after the other; a test checks that they agree. All start \
         at zero with the process: instances keep nothing. Histograms are exported as buckets.\n\n\
         ## `jasmined`\n\n{}",
        metric::markdown_table(METRICS)
    )
}
