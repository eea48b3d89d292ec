//! What a request needs, or why it can't be served.

use crate::{
    dialect::Dialect,
    snapshot::Snapshot,
    traffic::{
        job::{
            Job,
            Resend, //
        },
        reply::{
            come_back,
            Final, //
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
use event::Outcome;
use quarantine::Fingerprint;
use relay::{
    end_to_end_headers,
    CallerResponse,
    Request,
    RequestBody, //
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

/// When to come back to an entry that knows no routes yet: reading them takes a few milliseconds
/// once the store answers.
const NO_ROUTES_RETRY: Duration = Duration::from_millis(300);
/// When to come back, to another entry, after one that is about to end.
const CLOSING_RETRY: Duration = Duration::from_millis(20);

/// Finds out what a request needs, or why it can't be served.
pub(super) fn plan(
    traffic: &Rc<Traffic>,
    snapshot: &Snapshot,
    request: Request,
) -> Result<Job, Final> {
    if traffic.shared.closing.load(Ordering::Relaxed) {
        let (mut answer, outcome) = come_back(CLOSING_RETRY, Outcome::Closing);
        answer.close = true;
        return Err((answer, outcome));
    }
    let dialect = &traffic.shared.dialect;
    let Some(table) = &snapshot.table else {
        return Err(come_back(NO_ROUTES_RETRY, Outcome::NoRoutes));
    };
    let host = text(&request.headers, &HOST);
    let path = request.uri.path();
    let Some(route) = host.and_then(|host| table.find(host, path)) else {
        return Err((
            CallerResponse::empty(StatusCode::NOT_FOUND),
            Outcome::NoSuchRoute,
        ));
    };
    let Some(id) = request.headers.get(&dialect.request_id).cloned() else {
        return Err((
            CallerResponse::empty(StatusCode::BAD_REQUEST),
            Outcome::NoRequestId,
        ));
    };
    let asked_ms = text(&request.headers, &dialect.deadline_ms)
        .and_then(|value| value.trim().parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0);
    // Whatever a caller states: more than any time is longer than the route's.
    let asked =
        asked_ms.map(|ms| Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX));
    let wait = asked.map_or(route.timeout, |asked| asked.min(route.timeout));
    let mut fleet = traffic.fleet.borrow_mut();
    let Some(service) = fleet.service(route) else {
        return Err(come_back(NO_ROUTES_RETRY, Outcome::NoService));
    };
    fleet.offer(&service, traffic.now());
    drop(fleet);
    let key = affinity_key(dialect, &request.headers).filter(|_| route.sticky);
    let keyed = key.is_some();
    let key = key.unwrap_or_else(|| balance::affinity_hash(id.as_bytes()));
    let path_and_query = request.uri.path_and_query();
    let path = path_and_query.map_or("/", |path| path.as_str()).to_owned();
    let mut headers = end_to_end_headers(&request.headers);
    headers.remove(EXPECT);
    let fingerprint = request_fingerprint(&request.method, &path, &headers, &request.body);
    let body = match request.body {
        RequestBody::Whole(bytes) => Resend::Whole(bytes),
        body @ RequestBody::Stream { .. } => Resend::Once(Some(body)),
    };
    Ok(Job {
        traffic: traffic.clone(),
        route: route.clone(),
        service,
        id,
        method: request.method,
        path,
        headers,
        body,
        fingerprint,
        key,
        keyed,
        received: request.received,
        deadline: request.received + wait,
        ended: Cell::new(false),
        last_placed: RefCell::default(),
    })
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

/// Hash of the affinity cookie's value.
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
