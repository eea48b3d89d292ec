//! Parsing of callers' requests: the headers of work and the parameters of lookups.
//!
//! Everything that callers send and the HTTP library doesn't parse is parsed here. Any input gives
//! either a value or one [`ErrorResponse`] whose outcome is `not-run`.

use crate::request::{
    answer::{
        ErrorResponse,
        Reason, //
    },
    forward::ForwardKey,
    header, //
};
use actix_web::{
    http::header::{
        HeaderMap,
        UPGRADE, //
    },
    web, //
};
use bytestring::ByteString;
use filing::{
    Key,
    Ticket, //
};
use std::{
    net::IpAddr,
    time::Duration, //
};

/// Longest idempotency key, in bytes.
pub const IDEMPOTENCY_KEY_MAX_BYTES: usize = 200;

/// Refuses a request to upgrade to a WebSocket; other upgrade offers are ignored.
///
/// Otherwise the HTTP library would treat all further bytes as the body, and the caller would get
/// its response only at the deadline.
///
/// # Errors
///
/// The request asks for a WebSocket.
pub fn check_upgrade(headers: &HeaderMap) -> Result<(), ErrorResponse> {
    let upgrade = headers.get(UPGRADE).map(|value| value.as_bytes());
    if upgrade.is_some_and(|upgrade| upgrade.eq_ignore_ascii_case(b"websocket")) {
        let detail = "upgrade: no web sockets are served here";
        return Err(ErrorResponse::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}

/// Remaining time that the caller waits, if it sent one.
///
/// # Errors
///
/// The header is not a positive integer number of milliseconds.
pub fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = headers.get(header::DEADLINE_MS) else {
        return Ok(None);
    };
    let left_ms = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<u64>().ok())
        .filter(|&left_ms| left_ms > 0);
    let Some(left_ms) = left_ms else {
        let detail = format!("{}: no whole number of milliseconds", header::DEADLINE_MS);
        return Err(ErrorResponse::not_run(Reason::BadRequest, detail));
    };
    Ok(Some(Duration::from_millis(left_ms)))
}

/// Entry that forwarded the request, if the header proves it.
pub fn verified_forwarder(
    headers: &HeaderMap,
    key: &ForwardKey,
    instance: &str,
    class: &str,
) -> Option<ByteString> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let (proof, id) = text(header::FORWARD).zip(text(header::REQUEST))?;
    key.verify(proof, instance, class, id)
}

/// Token by which a filing runs at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FilingToken {
    /// An authentic ticket, which may have expired.
    Ticket(Ticket),
    /// The caller's idempotency key.
    Key(ByteString),
}

impl FilingToken {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// Neither or both are given, the ticket isn't authentic, or the key is empty, too long or
    /// contains characters that are not visible.
    pub fn from_headers(headers: &HeaderMap, ticket_key: &Key) -> Result<Self, ErrorResponse> {
        let refuse = |reason, detail: String| ErrorResponse::not_run(reason, detail);
        let ticket = headers.get(header::TICKET);
        let key = headers.get(header::IDEMPOTENCY_KEY);
        match (ticket, key) {
            (Some(ticket), None) => {
                let text = ticket.to_str().unwrap_or_default();
                Ticket::verify(text, ticket_key)
                    .map(Self::Ticket)
                    .map_err(|error| refuse(Reason::TicketRefused, error.to_string()))
            }
            (None, Some(key)) => {
                let text = key.to_str().unwrap_or_default();
                if text.is_empty() || text.len() > IDEMPOTENCY_KEY_MAX_BYTES {
                    let detail = format!(
                        "Idempotency-Key: 1 to {IDEMPOTENCY_KEY_MAX_BYTES} visible characters"
                    );
                    return Err(refuse(Reason::BadRequest, detail));
                }
                Ok(Self::Key(text.into()))
            }
            (None, None) => Err(refuse(
                Reason::BadRequest,
                "this class needs a Jasmine-Ticket or an Idempotency-Key".into(),
            )),
            (Some(_), Some(_)) => Err(refuse(
                Reason::BadRequest,
                "give a Jasmine-Ticket or an Idempotency-Key, not both".into(),
            )),
        }
    }
}

/// Parameters of a lookup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupQuery {
    /// Class, which may not exist.
    pub class: String,
    /// An address in the caller's address block.
    pub block: Option<IpAddr>,
}

impl LookupQuery {
    /// Parses the query string; an error lists everything that is wrong with it.
    ///
    /// # Errors
    ///
    /// Parameters are unknown, given twice or missing, or the block is not an IP address.
    pub fn parse(text: &str) -> Result<Self, ErrorResponse> {
        let refuse = |detail: String| ErrorResponse::not_run(Reason::BadRequest, detail);
        let pairs = web::Query::<Vec<(String, String)>>::from_query(text)
            .map_err(|err| refuse(format!("query: {err}")))?
            .into_inner();
        let mut class = None;
        let mut block = None;
        let mut problems = Vec::new();
        for (name, value) in pairs {
            match name.as_str() {
                "class" if class.is_none() => class = Some(value),
                "block" if block.is_none() => match value.parse::<IpAddr>() {
                    Ok(addr) => block = Some(addr),
                    Err(_) => problems.push(format!("block: {value:?} is no IP address")),
                },
                "class" | "block" => problems.push(format!("{name}: given twice")),
                _ => problems.push(format!("{name}: no such parameter")),
            }
        }
        if class.is_none() {
            problems.push("class: missing".to_string());
        }
        match class {
            Some(class) if problems.is_empty() => Ok(Self { class, block }),
            _ => Err(refuse(problems.join("; "))),
        }
    }
}
