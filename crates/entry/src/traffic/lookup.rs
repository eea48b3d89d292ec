//! Look-ups: which entries a caller is to use. And readiness, and metrics.

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
use relay::{
    CallerResponse,
    Handler,
    Refusal,
    Request, //
};
use route::CallerLimits;
use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

/// How long an answer holds: short, so that an entry that stops is out of use well before it ends;
/// some callers keep an answer three times as long.
const TTL: Duration = Duration::from_secs(2);
/// Most addresses in an answer.
const ADDRESSES_MAX: usize = 64;
/// Limits of callers of these ports, whose requests are a line and a few headers.
const LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 8 << 10,
    max_body_bytes: 0,
    header_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(15),
};

/// Answers on the ports beside the callers' one.
pub(super) struct Pages(pub(super) Rc<Traffic>);

impl Handler for Pages {
    fn limits(&self) -> CallerLimits {
        LIMITS
    }

    fn is_stopping(&self) -> bool {
        false
    }

    fn may_run_concurrently(&self, _: &Head) -> bool {
        true
    }

    async fn handle(self: Rc<Self>, request: Request) -> CallerResponse {
        let shared = &self.0.shared;
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
        CallerResponse::empty(StatusCode::NOT_FOUND)
    }

    fn refuse(&self, _: Refusal) -> CallerResponse {
        CallerResponse::empty(StatusCode::BAD_REQUEST)
    }
}

impl Pages {
    fn lookup(&self, snapshot: &Snapshot, query: &str) -> CallerResponse {
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(field, _)| *field == name)
                .map(|(_, value)| value)
                .next()
                .unwrap_or("")
        };
        let addresses = entries_for(snapshot, field("region"));
        if addresses.is_empty() {
            return CallerResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        metrics::counter!(metric::LOOKUPS).increment(1);
        let shared = &self.0.shared;
        let ttl = TTL.min(snapshot.bounds.lookup_ttl_max);
        let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let body = serde_json::json!({
            shared.dialect.addresses_field: addresses,
            shared.dialect.ttl_s_field: ttl.as_secs_f64(),
        });
        let mut answer = CallerResponse::text(StatusCode::OK, body.to_string());
        let json = HeaderValue::from_static("application/json");
        answer.headers.insert(CONTENT_TYPE, json);
        answer
    }
}

/// Entries for a caller: those of its region, or else those of the nearest one.
fn entries_for(snapshot: &Snapshot, region: &str) -> Vec<SocketAddr> {
    let addrs = |entries: Vec<&EntryView>| {
        let entries = entries.into_iter().take(ADDRESSES_MAX);
        entries.map(|entry| entry.callers_addr).collect::<Vec<_>>()
    };
    let of_region = |region: &str| {
        let entries = snapshot.entries.iter();
        entries
            .filter(|entry| entry.region == region)
            .collect::<Vec<_>>()
    };
    let here = of_region(region);
    if !here.is_empty() {
        return addrs(here);
    }
    let nearest = snapshot
        .entries
        .iter()
        .min_by_key(|entry| snapshot.here.round_trip(&entry.region));
    nearest.map_or_else(Vec::new, |entry| addrs(of_region(&entry.region)))
}
