//! Serves look-ups of the entries that a caller should use, readiness checks and metrics.

use crate::{
    metric,
    snapshot::{
        EntryView,
        Snapshot, //
    },
    traffic::Traffic,
};
use actix_http::{
    header::{
        HeaderValue,
        CONTENT_TYPE, //
    },
    Request as Head,
    StatusCode, //
};
use balance::{
    affinity_hash,
    rendezvous_score, //
};
use relay::{
    CallerResponse,
    Concurrency,
    Handler,
    Refusal,
    Request, //
};
use route::CallerLimits;
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

/// Time for which a look-up's response is valid. Short, so that callers stop using an entry well before it exits; some
/// callers keep a response for three times as long.
const LOOKUP_TTL: Duration = Duration::from_secs(2);
/// Maximum number of addresses in a response.
const ADDRESSES_MAX: usize = 64;
/// Limits for requests to these ports, which consist of a request line and a few headers.
const LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 8 << 10,
    max_body_bytes: 0,
    header_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(15),
};

/// Path of the use of organisations' quotas, on the metrics port.
const ORGANISATIONS_PATH: &str = "/v1/organisations";

/// Handles requests to the look-up, readiness and metrics ports.
pub(super) struct AuxiliaryHandler {
    pub(super) traffic: Rc<Traffic>,
    /// Whether it serves the metrics port, which callers can't reach.
    pub(super) is_metrics_port: bool,
    /// Number of look-ups served.
    pub(super) lookups: Cell<u64>,
}

impl Handler for AuxiliaryHandler {
    fn limits(&self) -> CallerLimits {
        LIMITS
    }

    fn is_stopping(&self) -> bool {
        false
    }

    fn concurrency(&self, _: &Head) -> Concurrency {
        Concurrency::Concurrent
    }

    async fn handle(self: Rc<Self>, request: Request) -> CallerResponse {
        let shared = &self.traffic.shared;
        let snapshot = shared.published.load();
        let path = request.uri.path();
        if path == shared.dialect.lookup_path {
            return self.lookup(&snapshot, request.uri.query().unwrap_or(""));
        }
        if path == shared.dialect.ready_path {
            return if snapshot.ready() {
                CallerResponse::text(StatusCode::OK, "ready\n")
            } else {
                CallerResponse::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            };
        }
        if path == "/metrics" {
            return CallerResponse::text(StatusCode::OK, shared.metrics.render());
        }
        if path == ORGANISATIONS_PATH && self.is_metrics_port {
            self.traffic.refresh_snapshot();
            let usage = self.traffic.quotas.borrow().usage();
            let body = serde_json::to_string(&usage).expect("usage is serializable");
            return json_response(body);
        }
        CallerResponse::empty(StatusCode::NOT_FOUND)
    }

    fn refuse(&self, _: Refusal) -> CallerResponse {
        CallerResponse::empty(StatusCode::BAD_REQUEST)
    }
}

impl AuxiliaryHandler {
    fn lookup(&self, snapshot: &Snapshot, query: &str) -> CallerResponse {
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(field, _)| *field == name)
                .map(|(_, value)| value)
                .next()
                .unwrap_or("")
        };
        let number = self.lookups.replace(self.lookups.get().wrapping_add(1));
        let instance = affinity_hash(self.traffic.shared.settings.instance.as_bytes());
        let seed = rendezvous_score(instance, number);
        let addresses = entries_for(snapshot, field("region"), seed);
        if addresses.is_empty() {
            return CallerResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        metrics::counter!(metric::LOOKUPS).increment(1);
        let shared = &self.traffic.shared;
        let ttl = LOOKUP_TTL.min(snapshot.bounds.lookup_ttl_max);
        let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let body = serde_json::json!({
            shared.dialect.addresses_field: addresses,
            shared.dialect.ttl_s_field: ttl.as_secs_f64(),
        });
        json_response(body.to_string())
    }
}

fn json_response(body: String) -> CallerResponse {
    let mut response = CallerResponse::text(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers.insert(CONTENT_TYPE, json);
    response
}

/// Returns the entries for a caller: of those of its region, or of the nearest region if it has none, the ones to offer by
/// their capacity. Entries that are partitioned from the upstreams are left out, unless all of the region are. `seed`
/// differs between look-ups.
fn entries_for(snapshot: &Snapshot, region: &str, seed: u64) -> Vec<SocketAddr> {
    let addrs = |entries: Vec<&EntryView>| {
        let capacities: Vec<_> = entries.iter().map(|entry| entry.capacity).collect();
        let random = |index| rendezvous_score(seed, index as u64) as f64 / u64::MAX as f64;
        let offered = overlay::offered(&capacities, random).into_iter();
        let offered = offered.take(ADDRESSES_MAX);
        offered.map(|index| entries[index].callers_addr).collect()
    };
    let of_region = |region: &str| {
        let entries = snapshot.entries.iter();
        let mut entries: Vec<_> = entries.filter(|entry| entry.region == region).collect();
        if entries.iter().any(|entry| !entry.is_partitioned) {
            entries.retain(|entry| !entry.is_partitioned);
        }
        entries
    };
    let local = of_region(region);
    if !local.is_empty() {
        return addrs(local);
    }
    let nearest = snapshot
        .entries
        .iter()
        .min_by_key(|entry| snapshot.location.round_trip(&entry.region));
    nearest.map_or_else(Vec::new, |entry| addrs(of_region(&entry.region)))
}
