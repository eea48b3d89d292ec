//! What a caller's request says, before anything is done about it.
//!
//! All that callers send and HTTP doesn't parse is parsed here: the headers of work, and the
//! parameters of a look-up. Any bytes give a value or one [`Answer`], which says `not-run`.

use crate::request::{
    answer::{
        Answer,
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
pub const KEY_MAX_BYTES: usize = 200;

/// Refuses a request that asks to change the protocol.
///
/// What goes wrong otherwise: the HTTP library takes all that may still come for the body, and the
/// caller is answered at the deadline only.
///
/// # Errors
///
/// It asks for a web socket; other offers to upgrade may be passed over, and are.
pub fn protocol(headers: &HeaderMap) -> Result<(), Answer> {
    let asked = headers.get(UPGRADE).map(|value| value.as_bytes());
    if asked.is_some_and(|asked| asked.eq_ignore_ascii_case(b"websocket")) {
        let detail = "upgrade: no web sockets are served here";
        return Err(Answer::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}

/// The time that the caller still waits, if he says so.
///
/// # Errors
///
/// The header is no whole number of milliseconds above zero.
pub fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Answer> {
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
        return Err(Answer::not_run(Reason::BadRequest, detail));
    };
    Ok(Some(Duration::from_millis(left_ms)))
}

/// Entry of another region that provably sent the request.
pub fn forwarder(
    headers: &HeaderMap,
    key: &ForwardKey,
    instance: &str,
    class: &str,
) -> Option<ByteString> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let (proof, id) = text(header::FORWARD).zip(text(header::REQUEST))?;
    key.verify(proof, instance, class, id)
}

/// How a filing is made to run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Way {
    /// By a genuine ticket, which may have expired.
    Ticket(Ticket),
    /// By a key of the caller's.
    Key(ByteString),
}

impl Way {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// Neither or both are given, the ticket isn't genuine, or the key is empty, too long or not
    /// of visible characters.
    pub fn of(headers: &HeaderMap, tickets: &Key) -> Result<Self, Answer> {
        let refuse = |reason, detail: String| Answer::not_run(reason, detail);
        let ticket = headers.get(header::TICKET);
        let key = headers.get(header::IDEMPOTENCY_KEY);
        match (ticket, key) {
            (Some(ticket), None) => {
                let text = ticket.to_str().unwrap_or_default();
                Ticket::verify(text, tickets)
                    .map(Self::Ticket)
                    .map_err(|error| refuse(Reason::TicketRefused, error.to_string()))
            }
            (None, Some(key)) => {
                let text = key.to_str().unwrap_or_default();
                if text.is_empty() || text.len() > KEY_MAX_BYTES {
                    let detail =
                        format!("Idempotency-Key: 1 to {KEY_MAX_BYTES} visible characters");
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

/// Parameters of a look-up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Class, which may not exist.
    pub class: String,
    /// Address in the caller's block.
    pub block: Option<IpAddr>,
}

impl Query {
    /// Parses the query; all that is wrong with it is told at once.
    ///
    /// # Errors
    ///
    /// Parameters are unknown, given twice or missing, or the block is no address.
    pub fn parse(text: &str) -> Result<Self, Answer> {
        let refuse = |detail: String| Answer::not_run(Reason::BadRequest, detail);
        let pairs = web::Query::<Vec<(String, String)>>::from_query(text)
            .map_err(|err| refuse(format!("query: {err}")))?
            .into_inner();
        let mut class = None;
        let mut block = None;
        let mut wrong = Vec::new();
        for (name, value) in pairs {
            match name.as_str() {
                "class" if class.is_none() => class = Some(value),
                "block" if block.is_none() => match value.parse::<IpAddr>() {
                    Ok(addr) => block = Some(addr),
                    Err(_) => wrong.push(format!("block: {value:?} is no IP address")),
                },
                "class" | "block" => wrong.push(format!("{name}: given twice")),
                _ => wrong.push(format!("{name}: no such parameter")),
            }
        }
        if class.is_none() {
            wrong.push("class: missing".to_string());
        }
        match class {
            Some(class) if wrong.is_empty() => Ok(Self { class, block }),
            _ => Err(refuse(wrong.join("; "))),
        }
    }
}
