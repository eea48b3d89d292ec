//! One attempt: sends a request once to one address and classifies the result.
//!
//! Only this module decides whether the peer may have run the request. It was certainly not sent if
//! no connection could be opened, and certainly not run if the upstream says so itself. Any other
//! failure is [`Failure::Broken`] or [`Failure::Timeout`]: the request may have run.

use crate::request::{
    deadline::Deadline,
    header, //
};
use actix_web::{
    http::{
        header::{
            HeaderMap,
            CONTENT_LENGTH, //
        },
        Method,
        StatusCode, //
    },
    web, //
};
use awc::{
    error::{
        ConnectError,
        PayloadError,
        SendRequestError, //
    },
    Client,
    ClientResponse, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use bytestring::ByteString;
use futures_util::StreamExt;
use std::time::Instant;

/// Longest body that is buffered, in bytes; longer ones stream.
///
/// A buffered request body can be sent again, and a buffered response is forwarded only once it is
/// complete.
pub(crate) const WHOLE_BODY_BYTES: usize = 64 * 1024;

/// Body of an outgoing request.
pub(crate) enum Body {
    /// Buffered; can be sent again.
    Whole(Bytes),
    /// Streams from the caller; can be sent only once.
    Stream(web::Payload),
}

/// Parts of a request that are the same for every attempt: all but the id, deadline and body.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path_and_query: ByteString,
    pub(crate) headers: HeaderMap,
}

/// Failure of an attempt, without a response to forward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// No connection could be opened; nothing was sent.
    NotSent(ByteString),
    /// The peer reports that it did not run the request.
    Refused {
        /// Whether it also reported that it is leaving.
        leaving: bool,
    },
    /// Sent, but the response is missing, truncated or belongs to another request.
    Broken(ByteString),
    /// Sent, but no complete response arrived before the deadline.
    Timeout,
}

impl Failure {
    /// Whether the request certainly did not run.
    pub(crate) fn not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused { .. })
    }
}

/// Head of a response.
pub(crate) struct Head {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Whether the upstream reported that it is leaving.
    pub(crate) leaving: bool,
}

/// Body of a response.
pub(crate) enum ResponseBody {
    /// Buffered.
    Whole(Bytes),
    /// Streams.
    Stream {
        /// Bytes read before the body exceeded the buffer limit.
        prefix: Bytes,
        /// The rest of the response.
        rest: Box<ClientResponse>,
        /// Declared length, in bytes.
        length: Option<u64>,
    },
}

/// Sends `out` once to `addr` and waits for the response: complete if it is short, else its head.
///
/// `request` is the id on this hop. A response with another id belongs to another request.
pub(crate) async fn send(
    client: &Client,
    addr: &ByteString,
    out: &Outgoing,
    body: Body,
    request: &str,
    deadline: Deadline,
) -> Result<(Head, ResponseBody), Failure> {
    let exchange = exchange(client, addr, out, body, request, deadline);
    tokio::time::timeout_at(deadline.at(), exchange)
        .await
        .unwrap_or(Err(Failure::Timeout))
}

async fn exchange(
    client: &Client,
    addr: &ByteString,
    out: &Outgoing,
    body: Body,
    request: &str,
    deadline: Deadline,
) -> Result<(Head, ResponseBody), Failure> {
    let uri = format!("http://{addr}{}", out.path_and_query);
    let mut message = client.request(out.method.clone(), uri);
    for (name, value) in &out.headers {
        message = message.append_header((name.clone(), value.clone()));
    }
    let left_ms = deadline.remaining(Instant::now()).as_millis();
    message = message
        .insert_header((header::REQUEST, request))
        .insert_header((header::DEADLINE_MS, left_ms.to_string()));
    let sent = match body {
        Body::Whole(body) if body.is_empty() => message.send().await,
        Body::Whole(body) => message.send_body(body).await,
        Body::Stream(payload) => message.send_stream(payload).await,
    };
    let response = sent.map_err(classify)?;
    read(response, request).await
}

/// Distinguishes failures before the first byte was sent from later ones.
fn classify(err: SendRequestError) -> Failure {
    match err {
        // The client also reports this when the connection closes before the response's head.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::Broken("connection closed before an answer".into())
        }
        SendRequestError::Connect(err) => Failure::NotSent(err.to_string().into()),
        SendRequestError::Url(err) => Failure::NotSent(err.to_string().into()),
        err => Failure::Broken(err.to_string().into()),
    }
}

async fn read(
    mut response: ClientResponse,
    request: &str,
) -> Result<(Head, ResponseBody), Failure> {
    let head = Head {
        status: response.status(),
        headers: response.headers().clone(),
        leaving: has_value(response.headers(), header::UPSTREAM_STATE, "leaving"),
    };
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && has_value(&head.headers, header::UPSTREAM_REFUSED, "not-run")
    {
        return Err(Failure::Refused {
            leaving: head.leaving,
        });
    }
    // The response to an abandoned request may arrive on a connection that the next request uses,
    // whose caller would then get another caller's response. The echoed id detects this; the
    // connection is dropped with the response.
    if let Some(echo) = head.headers.get(header::REQUEST) {
        if echo.as_bytes() != request.as_bytes() {
            return Err(Failure::Broken("answer to another request".into()));
        }
    }
    let length = content_length(&head.headers);
    let is_long = |bytes: u64| bytes > WHOLE_BODY_BYTES as u64;
    let mut prefix = BytesMut::new();
    while !length.is_some_and(is_long) && !is_long(prefix.len() as u64) {
        match response.next().await {
            // A truncated response ends with an error; see the crate `strict`.
            Some(chunk) => prefix.extend_from_slice(&chunk.map_err(broken)?),
            None => return Ok((head, ResponseBody::Whole(prefix.freeze()))),
        }
    }
    let body = ResponseBody::Stream {
        prefix: prefix.freeze(),
        rest: Box::new(response),
        length,
    };
    Ok((head, body))
}

fn broken(err: PayloadError) -> Failure {
    Failure::Broken(err.to_string().into())
}

fn has_value(headers: &HeaderMap, name: &str, value: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|found| found.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
