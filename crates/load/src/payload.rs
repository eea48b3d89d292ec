//! Requests whose responses can be checked byte by byte.

use crate::{
    record::Flaw,
    scene::Work, //
};
use bytes::Bytes;
use bytestring::ByteString;
use serde::Deserialize;
use standin::pattern::Pattern;

/// Characters of another request's response that a record keeps.
const MAX_CROSSED_CHARS: usize = 160;
/// Bytes of an echo that are kept for the check; the rest is ignored.
const MAX_ECHO_BYTES: usize = 64 << 10;

/// The request of one try, and the expected response.
#[derive(Clone, Debug)]
pub struct Payload {
    /// Path and query to send to the upstream.
    pub path: String,
    /// Body to send.
    pub body: Bytes,
    expected_body: ExpectedBody,
}

/// Expected body of a response.
#[derive(Clone, Debug)]
enum ExpectedBody {
    /// The pattern of `/bytes` and `/chunked`, which the path decides.
    Pattern { pattern: Pattern, length: u64 },
    /// The request's path, and its body's length and digest.
    Echo,
}

/// Checks a response as it is received.
#[derive(Debug)]
pub struct Checker<'a> {
    payload: &'a Payload,
    received: u64,
    echo_body: Vec<u8>,
    mismatch_at: Option<u64>,
}

/// Response of an upstream to `/echo`.
#[derive(Deserialize)]
struct Echo {
    path: String,
    body_bytes: u64,
    body_digest: String,
}

impl Payload {
    /// Creates a try of `work` with a response or a body of `bytes` bytes.
    ///
    /// The query contains the id and the number of the try. A retry may receive the stored response
    /// of an earlier try, so the check of an echo ignores the number.
    pub fn new(work: Work, bytes: u64, id: &ByteString, try_number: u32) -> Self {
        let query = format!("caller={id}&try={try_number}");
        match work {
            Work::Bytes => Self::pattern(format!("/bytes/{bytes}?{query}"), bytes),
            Work::Chunked => Self::pattern(format!("/chunked/{bytes}?{query}"), bytes),
            Work::Echo => Self {
                path: format!("/echo?{query}"),
                body: filing_body(bytes, id),
                expected_body: ExpectedBody::Echo,
            },
        }
    }

    fn pattern(path: String, length: u64) -> Self {
        let pattern = Pattern::new(&path, length);
        Self {
            path,
            body: Bytes::new(),
            expected_body: ExpectedBody::Pattern { pattern, length },
        }
    }

    /// Starts the check of a response.
    pub fn checker(&self) -> Checker<'_> {
        Checker {
            payload: self,
            received: 0,
            echo_body: Vec::new(),
            mismatch_at: None,
        }
    }
}

impl Checker<'_> {
    /// Checks the next part of the body.
    pub fn feed(&mut self, part: &[u8]) {
        match &self.payload.expected_body {
            ExpectedBody::Pattern { pattern, length } => {
                // `finish` reports bytes beyond the expected length.
                let remaining = usize::try_from(length.saturating_sub(self.received));
                let within = &part[..part.len().min(remaining.unwrap_or(usize::MAX))];
                if self.mismatch_at.is_none() && !pattern.matches(self.received, within) {
                    self.mismatch_at = Some(self.received);
                }
            }
            ExpectedBody::Echo => {
                let remaining = MAX_ECHO_BYTES.saturating_sub(self.echo_body.len());
                self.echo_body
                    .extend_from_slice(&part[..part.len().min(remaining)]);
            }
        }
        self.received += part.len() as u64;
    }

    /// Returns the flaw of the whole body.
    pub fn finish(self) -> Option<Flaw> {
        match self.payload.expected_body {
            ExpectedBody::Pattern { length, .. } if length != self.received => Some(Flaw::Length {
                expected: length,
                received: self.received,
            }),
            ExpectedBody::Pattern { .. } => self.mismatch_at.map(|at| Flaw::Content { at }),
            ExpectedBody::Echo => self.finish_echo(),
        }
    }

    fn finish_echo(&self) -> Option<Flaw> {
        let body = &self.payload.body;
        let is_same = serde_json::from_slice(&self.echo_body).is_ok_and(|echo: Echo| {
            without_try_number(&echo.path) == without_try_number(&self.payload.path)
                && echo.body_bytes == body.len() as u64
                && echo.body_digest == blake3::hash(body).to_hex().as_str()
        });
        if is_same {
            return None;
        }
        let text = String::from_utf8_lossy(&self.echo_body);
        let prefix: String = text.chars().take(MAX_CROSSED_CHARS).collect();
        Some(Flaw::Crossed {
            received: prefix.into(),
        })
    }
}

/// Path and query without the number of the try.
fn without_try_number(path: &str) -> &str {
    path.split_once("&try=").map_or(path, |(rest, _)| rest)
}

/// Body that contains the request's id, padded to `length` bytes.
fn filing_body(length: u64, id: &ByteString) -> Bytes {
    let head = format!("{{\"caller\":\"{id}\",\"pad\":\"");
    let pad = usize::try_from(length)
        .unwrap_or(0)
        .saturating_sub(head.len() + 2);
    let mut body = String::with_capacity(head.len() + pad + 2);
    body.push_str(&head);
    body.extend(std::iter::repeat_n('x', pad));
    body.push_str("\"}");
    body.into()
}
