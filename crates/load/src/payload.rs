//! Requests whose answers can be checked to the last byte.

use crate::{
    record::Flaw,
    scene::Work, //
};
use bytes::Bytes;
use bytestring::ByteString;
use serde::Deserialize;
use standin::pattern::Pattern;

/// Bytes of a crossed answer that a record keeps.
const KEPT_BYTES: usize = 160;
/// Bytes of an echo that are kept for the check.
const ECHO_LIMIT_BYTES: usize = 64 << 10;

/// One try's request, and what must come back.
#[derive(Clone, Debug)]
pub struct Payload {
    /// Path and query at the upstream.
    pub path: String,
    /// Body to send.
    pub body: Bytes,
    expect: Expect,
}

/// What an answer must be.
#[derive(Clone, Debug)]
enum Expect {
    /// The pattern of `/bytes` and `/chunked`, which the path decides.
    Pattern { pattern: Pattern, length: u64 },
    /// Facts about the request: its path, its body's length and digest.
    Echo,
}

/// Checks an answer as it streams in.
#[derive(Debug)]
pub struct Checker<'a> {
    payload: &'a Payload,
    received: u64,
    kept: Vec<u8>,
    wrong_at: Option<u64>,
}

/// Answer of an upstream to `/echo`.
#[derive(Deserialize)]
struct Echo {
    path: String,
    body_bytes: u64,
    body_digest: String,
}

impl Payload {
    /// A try of `work`, with an answer or a body of `bytes`.
    ///
    /// The id and the number of the try go in the query. A try of an answer from memory may be
    /// answered with an earlier try's echo, so the number is no part of what the check compares.
    pub fn new(work: Work, bytes: u64, id: &ByteString, try_number: u32) -> Self {
        let query = format!("caller={id}&try={try_number}");
        match work {
            Work::Bytes => Self::pattern(format!("/bytes/{bytes}?{query}"), bytes),
            Work::Chunked => Self::pattern(format!("/chunked/{bytes}?{query}"), bytes),
            Work::Echo => Self {
                path: format!("/echo?{query}"),
                body: filed(bytes, id),
                expect: Expect::Echo,
            },
        }
    }

    fn pattern(path: String, length: u64) -> Self {
        let pattern = Pattern::new(&path, length);
        Self {
            path,
            body: Bytes::new(),
            expect: Expect::Pattern { pattern, length },
        }
    }

    /// Starts the check of an answer.
    pub fn checker(&self) -> Checker<'_> {
        Checker {
            payload: self,
            received: 0,
            kept: Vec::new(),
            wrong_at: None,
        }
    }
}

impl Checker<'_> {
    /// Takes the next part of the body.
    pub fn feed(&mut self, part: &[u8]) {
        match &self.payload.expect {
            Expect::Pattern { pattern, length } => {
                // What comes beyond the length is found by the length.
                let room = usize::try_from(length.saturating_sub(self.received));
                let within = &part[..part.len().min(room.unwrap_or(usize::MAX))];
                if self.wrong_at.is_none() && !pattern.matches(self.received, within) {
                    self.wrong_at = Some(self.received);
                }
            }
            Expect::Echo => {
                let room = ECHO_LIMIT_BYTES.saturating_sub(self.kept.len());
                self.kept.extend_from_slice(&part[..part.len().min(room)]);
            }
        }
        self.received += part.len() as u64;
    }

    /// Says what is wrong with the whole body.
    pub fn finish(self) -> Option<Flaw> {
        match self.payload.expect {
            Expect::Pattern { length, .. } if length != self.received => Some(Flaw::Length {
                expected: length,
                received: self.received,
            }),
            Expect::Pattern { .. } => self.wrong_at.map(|at| Flaw::Content { at }),
            Expect::Echo => self.finish_echo(),
        }
    }

    fn finish_echo(&self) -> Option<Flaw> {
        let body = &self.payload.body;
        let same = serde_json::from_slice(&self.kept).is_ok_and(|echo: Echo| {
            without_try(&echo.path) == without_try(&self.payload.path)
                && echo.body_bytes == body.len() as u64
                && echo.body_digest == blake3::hash(body).to_hex().as_str()
        });
        if same {
            return None;
        }
        let text = String::from_utf8_lossy(&self.kept);
        let start: String = text.chars().take(KEPT_BYTES).collect();
        Some(Flaw::Crossed {
            received: start.into(),
        })
    }
}

/// Path and query without the number of the try.
fn without_try(path: &str) -> &str {
    path.split_once("&try=").map_or(path, |(rest, _)| rest)
}

/// Body of `length` bytes or a few more that names the request.
fn filed(length: u64, id: &ByteString) -> Bytes {
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
