//! Parser for routes in YAML that reports all findings with their locations.

use crate::{
    config::{
        CallerLimits,
        Host,
        Kind,
        Organisation,
        Route,
        Routes,
        Service,
        ServiceShare, //
    },
    verify::{
        organisation_location,
        route_location,
        service_location,
        verify, //
    },
};
use base::FastMap;
use conf::{
    Document,
    Field,
    Findings,
    Map,
    SourceLocation, //
};
use org::{
    KeyDigest,
    Quota, //
};
use std::time::Duration;

/// Maximum of a duration: no request, head or idle connection is waited for longer.
const DURATION_MAX_MS: u64 = 3_600_000;
/// Maximum of a size in bytes.
const BYTES_MAX: u64 = 1 << 40;
/// Maximum of a count.
const COUNT_MAX: u32 = 1_000_000;

/// Parses and verifies routes; `file` is only used as the file name in findings.
///
/// # Errors
///
/// Returns all findings of the file: syntax, unknown or duplicate fields, ranges and references.
pub fn parse(file: &str, text: &str) -> Result<Routes, Findings> {
    let document = Document::parse(file, text);
    let mut locations = FastMap::default();
    let routes = document.map().and_then(|map| routes(map, &mut locations));
    // References are checked only if all fields could be read, since missing parts would cause further findings.
    if let Some(routes) = routes.as_ref().filter(|_| document.finding_count() == 0) {
        for finding in verify(routes) {
            let location = locations.get(&finding.location);
            let location = location
                .cloned()
                .unwrap_or_else(|| document.root().location());
            document.report(location, finding.to_string());
        }
    }
    document.finish(routes)
}

/// Position in the file of each service and route, by its location in findings.
type Locations = FastMap<String, SourceLocation>;

fn routes(mut map: Map<'_>, locations: &mut Locations) -> Option<Routes> {
    let version = map.required("version").integer(1..=u64::MAX, "");
    let limits = map.required("limits").map().and_then(limits);
    let services = read_all(map.required("services"), |field| service(field, locations));
    let hosts = read_all(map.required("hosts"), |field| host(field, locations));
    let organisations = map.optional("organisations");
    let organisations = (!organisations.is_absent())
        .then(|| read_all(organisations, |field| organisation(field, locations)));
    Some(Routes {
        version: version?,
        limits: limits?,
        services,
        hosts,
        organisations,
    })
}

/// Returns all items of a list that could be read; the others are reported as findings.
fn read_all<'a, T>(list: Field<'a>, mut read: impl FnMut(Field<'a>) -> Option<T>) -> Vec<T> {
    list.list().into_iter().filter_map(&mut read).collect()
}

fn limits(mut map: Map<'_>) -> Option<CallerLimits> {
    let header = map.required("max_header_bytes");
    let header = header.integer(1..=1_usize << 20, "bytes");
    let body = map.required("max_body_bytes");
    let body = body.integer(0..=BYTES_MAX, "bytes");
    let header_timeout = duration(map.required("header_timeout_ms"));
    let idle_timeout = duration(map.required("idle_timeout_ms"));
    Some(CallerLimits {
        max_header_bytes: header?,
        max_body_bytes: body?,
        header_timeout: header_timeout?,
        idle_timeout: idle_timeout?,
    })
}

fn service(field: Field<'_>, locations: &mut Locations) -> Option<Service> {
    let location = field.location();
    let mut map = field.map()?;
    let id = map.required("id").text();
    let health_path = map.required("health_path").text();
    let connections = map.required("max_connections");
    let connections = connections.integer(1..=COUNT_MAX, "connections");
    let cold_start = map
        .optional("cold_start_ms")
        .duration_ms(0..=DURATION_MAX_MS);
    let cold = map.optional("cold_per_s");
    let cold_per_s = cold.integer(0..=COUNT_MAX, "requests per second");
    let id = id?;
    locations.insert(service_location(&id), location);
    Some(Service {
        id,
        health_path: health_path?,
        max_connections: connections?,
        cold_start: cold_start.unwrap_or_default(),
        cold_per_s: cold_per_s.map_or(0.0, f64::from),
    })
}

fn host(field: Field<'_>, locations: &mut Locations) -> Option<Host> {
    let mut map = field.map()?;
    let name = map.required("host").text();
    let name_or_empty = name.clone().unwrap_or_default();
    let routes = read_all(map.required("routes"), |field| {
        route(field, &name_or_empty, locations)
    });
    Some(Host {
        host: name?.to_ascii_lowercase().into(),
        routes,
    })
}

fn route(field: Field<'_>, host: &str, locations: &mut Locations) -> Option<Route> {
    let location = field.location();
    let mut map = field.map()?;
    let id = map.required("id").text();
    let prefix = map.required("prefix").text();
    let kind = map.required("kind").choice(&[
        ("idempotent", Kind::Idempotent),
        ("non-idempotent", Kind::NonIdempotent),
        ("download", Kind::Download),
        ("upload", Kind::Upload),
    ]);
    let timeout = duration(map.required("timeout_ms"));
    let latency_target = duration(map.required("latency_ms"));
    let priority = map.optional("priority").integer(0..=COUNT_MAX, "");
    let attempts = map.optional("max_attempts").integer(1..=16, "attempts");
    let sticky = map.optional("sticky").boolean();
    let split = read_all(map.required("split"), share);
    let homes = read_all(map.optional("homes"), Field::text);
    let open = map.optional("open").boolean();
    let id = id?;
    locations.insert(route_location(&host.to_ascii_lowercase(), &id), location);
    Some(Route {
        id,
        prefix: prefix?,
        kind: kind?,
        timeout: timeout?,
        latency_target: latency_target?,
        priority: priority.unwrap_or(0),
        split,
        max_attempts: attempts.unwrap_or(1),
        sticky: sticky.unwrap_or(false),
        homes,
        open: open.unwrap_or(false),
    })
}

fn organisation(field: Field<'_>, locations: &mut Locations) -> Option<Organisation> {
    let location = field.location();
    let mut map = field.map()?;
    let id = map.required("id").text();
    let keys = read_all(map.required("key_digests"), key_digest);
    let priority = map.optional("priority").integer(0..=COUNT_MAX, "");
    let quota = map.optional("quota").map().map(quota);
    let homes = read_all(map.optional("homes"), Field::text);
    let id = id?;
    locations.insert(organisation_location(&id), location);
    Some(Organisation {
        id,
        keys,
        priority,
        quota: quota.unwrap_or_default(),
        homes,
    })
}

fn quota(mut map: Map<'_>) -> Quota {
    let rate = map.required("rate_per_s");
    let rate = rate.integer(1..=COUNT_MAX, "requests per second");
    let burst = map.optional("burst").integer(0..=COUNT_MAX, "requests");
    Quota {
        rate_per_s: rate.map_or(0.0, f64::from),
        burst: burst.map_or(0.0, f64::from),
    }
}

/// Reads a digest. The finding doesn't repeat the text, which may be a key that was entered by mistake.
fn key_digest(field: Field<'_>) -> Option<KeyDigest> {
    let digest = KeyDigest::from_hex(&field.text()?);
    if digest.is_none() {
        field.report(
            "must be a digest of 64 hexadecimal digits, as `jasminectl key-digest` prints it",
        );
    }
    digest
}

fn share(field: Field<'_>) -> Option<ServiceShare> {
    let mut map = field.map()?;
    let service = map.required("service").text();
    let weight = map.required("weight").integer(0..=COUNT_MAX, "");
    Some(ServiceShare {
        service: service?,
        weight: f64::from(weight?),
    })
}

fn duration(field: Field<'_>) -> Option<Duration> {
    field.duration_ms(1..=DURATION_MAX_MS)
}
