//! Resolves the route, service, deadline and affinity key of a request.

use crate::{
    dialect::Dialect,
    snapshot::Snapshot,
    traffic::{
        dispatch::{
            BodySource,
            Dispatch, //
        },
        relayed::RelayedRequest,
        response::{
            over_quota,
            retry_later,
            unauthorized,
            FinalResponse, //
        },
        Traffic, //
    },
};
use actix_http::{
    header::{
        HeaderMap,
        HeaderName,
        HeaderValue,
        AUTHORIZATION,
        COOKIE,
        EXPECT,
        HOST, //
    },
    Method,
    StatusCode, //
};
use base::OrganisationId;
use event::Outcome;
use quarantine::Fingerprint;
use relay::{
    end_to_end_headers,
    CallerResponse,
    Request,
    RequestBody, //
};
use route::{
    CallerId,
    Organisation, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::atomic::Ordering,
    time::Duration, //
};

/// `Retry-After` of an entry that has no routes yet. Reading them takes a few milliseconds once the store responds.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of an entry whose routes may be outdated; the caller should use another entry.
const STALE_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(100);
/// `Retry-After` of an entry that is about to exit; the caller should use another entry.
const CLOSING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Where a request came from.
pub(super) enum Origin {
    /// A caller of this entry.
    Caller,
    /// Another entry, which has authenticated the caller and charged the quota of its organisation.
    Entry(RelayedRequest),
}

impl Origin {
    fn is_entry(&self) -> bool {
        matches!(self, Self::Entry(_))
    }
}

/// A request that can't be served, with its final response.
pub(super) struct Rejected {
    pub(super) response: CallerResponse,
    pub(super) outcome: Outcome,
    /// Organisation of the request, if the rejection is about the organisation's quota.
    pub(super) organisation: Option<OrganisationId>,
}

impl From<FinalResponse> for Box<Rejected> {
    fn from((response, outcome): FinalResponse) -> Self {
        Self::new(Rejected {
            response,
            outcome,
            organisation: None,
        })
    }
}

/// Prepares a request for dispatch, or returns the final response if it can't be served.
pub(super) fn plan(
    traffic: &Rc<Traffic>,
    snapshot: &Snapshot,
    request: Request,
    origin: Origin,
) -> Result<Dispatch, Box<Rejected>> {
    if traffic.shared.closing.load(Ordering::Relaxed) {
        return Err(about_to_exit().into());
    }
    let dialect = &traffic.shared.dialect;
    let Some(table) = &snapshot.routes else {
        return Err(retry_later(NO_ROUTES_RETRY_AFTER, Outcome::NoRoutes).into());
    };
    let host = text(&request.headers, &HOST);
    let path = request.uri.path();
    let Some(route) = host.and_then(|host| table.find(host, path)) else {
        return Err(deny(traffic, no_such_route()).into());
    };
    let caller = if origin.is_entry() {
        table.identify_by_name(route, text(&request.headers, &dialect.organisation))
    } else {
        let credentials = org::credentials(authorizations(&request.headers), dialect.key_scheme);
        table.identify(route, credentials)
    };
    let caller = caller.map_err(|_| deny(traffic, unauthorized(dialect)))?;
    let Some(id) = request.headers.get(&dialect.request_id).cloned() else {
        let response = CallerResponse::empty(StatusCode::BAD_REQUEST);
        return Err((response, Outcome::NoRequestId).into());
    };
    let requested_ms = text(&request.headers, &dialect.deadline_ms)
        .and_then(|value| value.trim().parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0);
    // A value too large for a `Duration` is capped by the route's timeout below.
    let requested =
        requested_ms.map(|ms| Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX));
    let timeout = requested.map_or(route.timeout, |requested| requested.min(route.timeout));
    let deadline = request.received + timeout;
    let deadline_max = traffic.shared.deadline_max.get();
    if deadline_max.is_some_and(|max| deadline > *max) {
        return Err(about_to_exit().into());
    }
    let mut fleet = traffic.fleet.borrow_mut();
    let Some(service) = fleet.next_service(route) else {
        return Err(retry_later(NO_ROUTES_RETRY_AFTER, Outcome::NoService).into());
    };
    if let Some(organisation) = caller.organisation().filter(|_| !origin.is_entry()) {
        take_quota(traffic, organisation)?;
    }
    drop(fleet);
    let key = affinity_key(dialect, &request.headers).filter(|_| route.sticky);
    let has_affinity_key = key.is_some();
    let key = key.unwrap_or_else(|| balance::affinity_hash(id.as_bytes()));
    let path_and_query = request.uri.path_and_query();
    let path = path_and_query.map_or("/", |path| path.as_str()).to_owned();
    let mut headers = end_to_end_headers(&request.headers);
    headers.remove(EXPECT);
    remove_credentials(dialect, &caller, &mut headers);
    let fingerprint = request_fingerprint(&request.method, &path, &headers, &request.body);
    let organisation = caller.organisation().cloned();
    if let Some(organisation) = &organisation {
        let name = HeaderValue::from_maybe_shared(organisation.id.as_bytes().clone());
        let name = name.expect("verified names are valid header values");
        headers.insert(dialect.organisation.clone(), name);
    }
    let body = match request.body {
        RequestBody::Whole(bytes) => BodySource::Buffered(bytes),
        body @ RequestBody::Stream { .. } => BodySource::Streamed(Some(body)),
    };
    Ok(Dispatch {
        traffic: traffic.clone(),
        route: route.clone(),
        organisation,
        service,
        id,
        method: request.method,
        path,
        headers,
        body,
        body_hold: request.body_hold,
        fingerprint,
        key,
        has_affinity_key,
        received: request.received,
        deadline,
        is_counted: matches!(&origin, Origin::Entry(relayed) if relayed.is_counted),
        origin,
        has_final_response: Cell::new(false),
        last_placed: RefCell::default(),
        waited: Cell::default(),
    })
}

/// Builds the response to a request that this entry may not be able to finish before it exits.
fn about_to_exit() -> FinalResponse {
    let (mut response, outcome) = retry_later(CLOSING_RETRY_AFTER, Outcome::Closing);
    response.close = true;
    (response, outcome)
}

fn no_such_route() -> FinalResponse {
    let response = CallerResponse::empty(StatusCode::NOT_FOUND);
    (response, Outcome::NoSuchRoute)
}

/// Returns the response to a request whose route or key this entry doesn't know: `denial`, or a rejection while the routes
/// may be outdated, since callers don't try another entry after a denial.
fn deny(traffic: &Traffic, denial: FinalResponse) -> FinalResponse {
    let freshness = &traffic.shared.channels.routes_freshness;
    if freshness.is_stale(traffic.now()) {
        return retry_later(STALE_ROUTES_RETRY_AFTER, Outcome::StaleRoutes);
    }
    denial
}

/// Returns the values of a request's `Authorization` headers.
fn authorizations(headers: &HeaderMap) -> impl Iterator<Item = &[u8]> {
    headers.get_all(AUTHORIZATION).map(HeaderValue::as_bytes)
}

/// Takes a request from the quota of its organisation.
fn take_quota(traffic: &Traffic, organisation: &Organisation) -> Result<(), Box<Rejected>> {
    let mut quotas = traffic.quotas.borrow_mut();
    let taken = quotas.try_take(&organisation.id, traffic.now());
    taken.map_err(|retry_after| {
        let (response, outcome) = over_quota(retry_after);
        Box::new(Rejected {
            response,
            outcome,
            organisation: Some(organisation.id.clone()),
        })
    })
}

/// Removes what upstreams must not get: the key, and an organisation's name that the caller has set.
fn remove_credentials(dialect: &Dialect, caller: &CallerId, headers: &mut HeaderMap) {
    headers.remove(&dialect.organisation);
    let is_key = |value| org::is_of_scheme(value, dialect.key_scheme);
    let has_key = match caller {
        CallerId::NotRequired => false,
        CallerId::Anonymous => authorizations(headers).any(is_key),
        CallerId::Organisation(_) => true,
    };
    if has_key {
        headers.remove(AUTHORIZATION);
    }
}

/// Computes the fingerprint of a request. A streamed body contributes only its declared length.
fn request_fingerprint(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: &RequestBody,
) -> Fingerprint {
    let header = |name| headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
    let length;
    let body = match body {
        RequestBody::Whole(bytes) => &bytes[..],
        RequestBody::Stream { length_bytes, .. } => {
            length = length_bytes.unwrap_or_default().to_be_bytes();
            &length[..]
        }
    };
    quarantine::fingerprint(&[
        method.as_str().as_bytes(),
        header(HOST),
        path.as_bytes(),
        header(AUTHORIZATION),
        body,
    ])
}

/// Returns the hash of the affinity cookie's value.
fn affinity_key(dialect: &Dialect, headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all(COOKIE).filter_map(|v| v.to_str().ok());
    let mut pairs = cookies.flat_map(|cookies| cookies.split(';'));
    let value = pairs.find_map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        (name == dialect.affinity_cookie).then_some(value)
    })?;
    Some(balance::affinity_hash(value.as_bytes()))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
