//! Requests and responses of callers, as this crate passes them to and from a handler.

use crate::body_budget::BodyHold;
use actix_http::{
    header::HeaderMap,
    Method,
    StatusCode,
    Uri, //
};
use bytes::Bytes;
use std::{
    any::Any,
    rc::Rc,
    time::Instant, //
};
use tokio::sync::mpsc::Receiver;

/// A part of a streamed body.
///
/// If a channel closes without [`BodyPart::End`], the body was truncated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// End of a complete body.
    End,
}

/// Body of a caller's request.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body in memory; it can be sent again.
    Whole(Bytes),
    /// A long body, streamed while it arrives; it can be sent only once.
    Stream {
        /// Length that the caller declared; `None` if the body is chunked.
        length_bytes: Option<u64>,
        /// Parts of the body.
        parts: Receiver<BodyPart>,
    },
}

/// A caller's request.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query as sent.
    pub uri: Uri,
    /// Headers as sent.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// When the head was read.
    pub received: Instant,
    /// Memory held for the body.
    pub body_hold: Rc<BodyHold>,
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Whole(Bytes),
    /// No body, but possibly the length that it would have; for responses to HEAD.
    Omitted {
        /// Length to declare.
        length_bytes: Option<u64>,
    },
    /// A long body, streamed while it arrives.
    Stream {
        /// Length to declare; `None` to send the body in chunks.
        length_bytes: Option<u64>,
        /// Parts of the body.
        parts: Receiver<BodyPart>,
    },
}

/// Response to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of the connection and of message framing.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
    /// Whether to close the connection after the response.
    pub close: bool,
    /// Dropped once the response has been written completely, or its connection has ended.
    pub guard: Option<Box<dyn Any>>,
    /// Memory held for the body until it is written.
    pub body_hold: Option<Rc<BodyHold>>,
}

impl CallerResponse {
    /// Creates a response without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: ResponseBody::Whole(Bytes::new()),
            close: false,
            guard: None,
            body_hold: None,
        }
    }

    /// Creates a response of the entry itself, with a text body.
    pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self {
            body: ResponseBody::Whole(text.into()),
            ..Self::empty(status)
        }
    }
}
