//! Requests that other entries relay to this one, and the headers that only such requests and their responses have.
//!
//! This entry serves them like those of its own callers, but never relays them again. The entry that sent one has
//! authenticated the caller and charged the quota of its organisation. A response made by this entry has the header
//! [`RELAY`], which an upstream's doesn't have. Status 421 in such a response means that the request did not run and that
//! another entry may serve it.

use crate::traffic::{
    plan::Origin,
    Traffic, //
};
use actix_http::{
    header::{
        HeaderMap,
        HeaderName,
        HeaderValue, //
    },
    Request as Head,
    StatusCode, //
};
use base::InstanceId;
use event::Outcome;
use relay::{
    BodyMemory,
    CallerResponse,
    Concurrency,
    Handler,
    Refusal,
    Request, //
};
use route::CallerLimits;
use std::rc::Rc;

/// In a request: token, number of sends so far, 1 if it counts in the retry budget of the entry that relays it, else 0, and
/// the name of that entry. In a response made by the entry that it was relayed to: number of sends.
pub(super) const RELAY: HeaderName = HeaderName::from_static("jasmine-relay");
/// Length that this header and others that entries add may have, in bytes.
const ADDED_HEADER_BYTES: usize = 1024;

/// What the entry that relays a request states about it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RelayedRequest {
    /// The entry that it came from.
    pub(super) from: InstanceId,
    /// Number of sends that reached an upstream before.
    pub(super) sends: u32,
    /// Whether it counts in the retry budget of that entry.
    pub(super) is_counted: bool,
}

/// Returns the value of [`RELAY`] in a request.
pub(super) fn request_header(
    token: &str,
    sends: u32,
    is_counted: bool,
    from: &InstanceId,
) -> Option<HeaderValue> {
    let is_counted = u8::from(is_counted);
    HeaderValue::from_str(&format!("{token} {sends} {is_counted} {from}")).ok()
}

/// Returns the number of sends stated in a response that another entry made itself; `None` for an upstream's response.
pub(super) fn stated_sends(headers: &HeaderMap) -> Option<u32> {
    headers.get(RELAY)?.to_str().ok()?.parse().ok()
}

/// Handles requests on the port for relayed ones.
pub(super) struct RelayHandler {
    pub(super) traffic: Rc<Traffic>,
}

impl Handler for RelayHandler {
    fn limits(&self) -> CallerLimits {
        let limits = self.traffic.limits();
        CallerLimits {
            max_header_bytes: limits.max_header_bytes + ADDED_HEADER_BYTES,
            ..limits
        }
    }

    fn is_stopping(&self) -> bool {
        self.traffic.is_stopping()
    }

    fn concurrency(&self, _: &Head) -> Concurrency {
        Concurrency::Sequential
    }

    async fn handle(self: Rc<Self>, mut request: Request) -> CallerResponse {
        let Some(relayed) = self.authenticate(&mut request.headers) else {
            return CallerResponse::empty(StatusCode::FORBIDDEN);
        };
        let origin = Origin::Entry(relayed);
        let (mut response, outcome) = self.traffic.serve(request, origin).await;
        if outcome.is_of_upstream() {
            response.headers.remove(RELAY);
        } else if !response.headers.contains_key(RELAY) {
            response.headers.insert(RELAY, HeaderValue::from(0));
        }
        if self.is_unavailable(outcome) {
            response.status = StatusCode::MISDIRECTED_REQUEST;
        }
        response
    }

    fn body_memory(&self) -> BodyMemory {
        self.traffic.body_memory.clone()
    }

    fn refuse(&self, refusal: Refusal) -> CallerResponse {
        let mut response = self.traffic.refuse(refusal);
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            // Otherwise it would pass for an upstream's response.
            response.headers.insert(RELAY, HeaderValue::from(0));
        }
        response
    }
}

impl RelayHandler {
    /// Removes the header of relayed requests and returns what it states if its token is valid.
    fn authenticate(&self, headers: &mut HeaderMap) -> Option<RelayedRequest> {
        let header = headers.remove(RELAY).next()?;
        let mut words = header.to_str().ok()?.splitn(4, ' ');
        let (token, sends) = (words.next()?, words.next()?);
        let (is_counted, from) = (words.next()?, words.next()?);
        let shared = &self.traffic.shared;
        let is_valid = shared
            .channels
            .relay_key
            .verify(&shared.settings.instance, token.as_bytes());
        is_valid.then_some(RelayedRequest {
            from: from.into(),
            sends: sends.parse().ok()?,
            is_counted: is_counted == "1",
        })
    }

    /// Returns whether another entry may serve a request with this outcome.
    fn is_unavailable(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Closing
            | Outcome::NoRoutes
            | Outcome::StaleRoutes
            | Outcome::NoSuchRoute
            | Outcome::NoService
            | Outcome::Unauthorized => true,
            Outcome::Refused => self.traffic.shared.channels.partition.is_partitioned(),
            _ => false,
        }
    }
}
