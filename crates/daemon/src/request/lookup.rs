//! Lookups: tells a caller which entries to use.

use crate::{
    process::stop::Stage,
    request::{
        answer::{
            ErrorResponse,
            Reason, //
        },
        input::LookupQuery,
        traffic,
        work::refuse,
        TrafficThread, //
    },
    version::{
        ClassPlacementInputs,
        Entry,
        RegionView,
        Snapshot, //
    },
};
use actix_web::{
    http::header::CACHE_CONTROL,
    HttpRequest,
    HttpResponse, //
};
use base::Version;
use serde::Serialize;
use std::{
    net::IpAddr,
    time::Duration, //
};
use steer::place_displaced;

/// Entries listed of the most preferred region.
const FIRST_REGION_ENTRIES: usize = 3;
/// Entries listed of the next region, for a caller that reaches none of the first.
const NEXT_REGION_ENTRIES: usize = 1;
/// Retry delay given by a daemon that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct LookupResponse<'a> {
    version: Version,
    ttl_ms: u64,
    entries: Vec<NamedEntry<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
}

#[derive(Serialize)]
struct NamedEntry<'a> {
    addr: &'a str,
    region: &'a str,
    failure_domain: &'a str,
    instance: &'a str,
}

/// `GET /v1/entries?class=C[&block=IP]`.
pub(crate) async fn entries(request: HttpRequest) -> HttpResponse {
    let traffic = traffic(&request);
    let snapshot = traffic.shared.published.load();
    match answer(&traffic, &snapshot, request.query_string()) {
        Ok(response) => {
            traffic.counters.lookups_answered.increment(1);
            response
        }
        Err(error) => {
            traffic.counters.lookups_refused.increment(1);
            refuse(&traffic, &request, &error)
        }
    }
}

fn answer(
    traffic: &TrafficThread,
    snapshot: &Snapshot,
    query: &str,
) -> Result<HttpResponse, ErrorResponse> {
    if snapshot.stage == Stage::Starting {
        let error = ErrorResponse::not_run(Reason::NotReady, "no configuration yet");
        return Err(error.retry_after(NOT_READY_RETRY));
    }
    let query = LookupQuery::parse(query)?;
    let Some(class) = snapshot.classes.get(query.class.as_str()) else {
        let detail = format!("no class named {:?}", query.class);
        return Err(ErrorResponse::not_run(Reason::UnknownClass, detail));
    };
    let mut regions = snapshot.preference(query.block);
    regions.retain(|region| !region.entries.is_empty());
    let inputs = traffic.shared.outlook.load();
    if let Some(inputs) = inputs.for_class(&class.class.id, snapshot) {
        let headroom_pct = class.target.headroom_pct;
        let seed = traffic.seed();
        spread_displaced(
            &mut regions,
            snapshot,
            inputs,
            headroom_pct,
            query.block,
            seed,
        );
    }
    let chosen = choose_entries(&regions, traffic.seed());
    let Some(&(_, first)) = chosen.first() else {
        let error = ErrorResponse::not_run(Reason::NoCapacity, "no entry is known to take work");
        return Err(error.retry_after(NOT_READY_RETRY));
    };
    let ticket = (!class.class.idempotent).then(|| traffic.mint_ticket(&class.class.id, first));
    let ttl = traffic.shared.settings.terms.lookup_ttl;
    Ok(HttpResponse::Ok()
        .insert_header((CACHE_CONTROL, cache_control(ttl, ticket.is_some())))
        .json(LookupResponse {
            version: snapshot.version,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
            entries: chosen.into_iter().map(NamedEntry::from).collect(),
            ticket,
        }))
}

/// Entries to list, best first.
///
/// The entries of one region are equivalent for a caller. Each response starts at a random one,
/// which spreads the work over them.
fn choose_entries<'a>(regions: &[&'a RegionView], seed: u64) -> Vec<(&'a RegionView, &'a Entry)> {
    let mut regions = regions.iter().copied();
    let first = regions.next().into_iter();
    let next = regions.next().into_iter();
    first
        .flat_map(|region| rotated_entries(region, seed).take(FIRST_REGION_ENTRIES))
        .chain(next.flat_map(|region| rotated_entries(region, seed).take(NEXT_REGION_ENTRIES)))
        .collect()
}

/// Moves another region to the front for some callers whose home region is drained or lost.
fn spread_displaced(
    regions: &mut [&RegionView],
    snapshot: &Snapshot,
    inputs: &ClassPlacementInputs,
    headroom_pct: u32,
    block: Option<IpAddr>,
    seed: u64,
) {
    // Drained regions come last.
    let open = regions.partition_point(|region| !region.drained);
    // If all regions are open, no caller is displaced and the block lookup can be skipped.
    if open == snapshot.regions.len() {
        return;
    }
    let is_home = |region: &&RegionView| snapshot.is_home(region, block);
    if regions.first().is_none_or(is_home) {
        return;
    }
    let headroom_left_pct = |region: &&RegionView| {
        let mut estimates = snapshot.regions.iter().zip(&inputs.estimates);
        let (_, estimate) = estimates.find(|(known, _)| known.id == region.id)?;
        let is_fresh = estimate.freshness.allows_new_shift();
        is_fresh.then_some(estimate.headroom_left_pct)
    };
    let left_pct: Vec<Option<u32>> = regions[..open].iter().map(headroom_left_pct).collect();
    if let Some(chosen) = place_displaced(&left_pct, headroom_pct, seed) {
        regions[..=chosen].rotate_right(1);
    }
}

fn rotated_entries(region: &RegionView, seed: u64) -> impl Iterator<Item = (&RegionView, &Entry)> {
    let count = region.entries.len();
    let first = usize::try_from(seed % count as u64)
        .expect("the remainder is less than the number of entries");
    (0..count).map(move |offset| (region, &region.entries[(first + offset) % count]))
}

impl<'a> From<(&'a RegionView, &'a Entry)> for NamedEntry<'a> {
    fn from((region, entry): (&'a RegionView, &'a Entry)) -> Self {
        Self {
            addr: &entry.callers_addr,
            region: &region.id,
            failure_domain: &entry.failure_domain,
            instance: &entry.instance,
        }
    }
}

/// A ticket is for one filing, so a response that contains one must not be cached.
fn cache_control(ttl: Duration, has_ticket: bool) -> String {
    if has_ticket {
        "no-store".to_string()
    } else {
        format!("max-age={}", ttl.as_secs())
    }
}
