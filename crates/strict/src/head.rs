//! Checks of response heads that the decoder of actix-http leaves out.
//!
//! It accepts blanks between the name of a field and its colon, which recipients interpret differently, and any status of
//! three digits. Such a head is no response.

use httparse::{
    Error,
    Header,
    ParserConfig,
    Response, //
};
use std::{
    fmt,
    mem::MaybeUninit, //
};

/// Most fields in a head; the limit of actix-http.
const FIELDS_MAX: usize = 96;
/// Longest head of a response on a [`StrictStream`](crate::StrictStream).
const HEAD_BYTES_MAX: usize = 128 << 10;

/// Status of the response to a request that waits before it sends its body.
const CONTINUE: u16 = 100;

/// Why bytes are not the head of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidHead {
    /// They don't follow the grammar.
    Malformed(Error),
    /// The status is not between 100 and 599.
    Status(u16),
    /// It has no end.
    TooLong,
    /// It doesn't state where the body ends.
    NoLength,
    /// It is an interim response that the request didn't ask for.
    Interim(u16),
}

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "{error} in the head of the response"),
            Self::Status(status) => write!(f, "the response has the invalid status {status:03}"),
            Self::TooLong => f.write_str("the head of the response has no end"),
            Self::Interim(status) => write!(f, "an interim response with status {status}"),
            Self::NoLength => f.write_str("the response doesn't state where it ends"),
        }
    }
}

impl std::error::Error for InvalidHead {}

/// Checks the head of a response, as far as it has been received. Returns whether it is complete.
///
/// # Errors
///
/// The bytes are not the head of a response.
pub fn check_head(bytes: &[u8]) -> Result<bool, InvalidHead> {
    Ok(parse_head(bytes)?.is_some())
}

/// What a head states about the response and its body.
struct Head {
    status: u16,
    /// Whether there is none because of the status.
    is_bodyless: bool,
    /// Whether its end is stated, by a length or by chunks.
    is_delimited: bool,
}

/// Parses the head of a response; `None` if it is not complete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, InvalidHead> {
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_MAX];
    let mut response = Response::new(&mut []);
    let parsed = ParserConfig::default()
        .parse_response_with_uninit_headers(&mut response, bytes, &mut fields)
        .map_err(InvalidHead::Malformed)?;
    let Some(status) = response.code.filter(|_| parsed.is_complete()) else {
        return Ok(None);
    };
    if !(100..=599).contains(&status) {
        return Err(InvalidHead::Status(status));
    }
    let has_chunks = |field: &Header<'_>| {
        let is_coding = field.name.eq_ignore_ascii_case("transfer-encoding");
        is_coding && field.value.eq_ignore_ascii_case(b"chunked")
    };
    let has_length = |field: &Header<'_>| field.name.eq_ignore_ascii_case("content-length");
    let mut fields = response.headers.iter();
    Ok(Some(Head {
        status,
        is_bodyless: matches!(status, 204 | 304),
        is_delimited: fields.any(|field| has_length(field) || has_chunks(field)),
    }))
}

/// Returns whether the head of a request, with which `bytes` begin, has the field `Expect`.
fn states_expectation(bytes: &[u8]) -> bool {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut fields = lines.take_while(|line| !line.trim_ascii().is_empty());
    fields.any(|line| {
        let name = line.split(|byte| *byte == b':').next();
        name.is_some_and(|name| name.eq_ignore_ascii_case(b"expect"))
    })
}

/// Checks the heads of the responses on a connection while they are read.
#[derive(Debug, Default)]
pub(crate) struct HeadChecker {
    /// What has been received of the head that is awaited; `None` if none is.
    received: Option<Vec<u8>>,
    /// Whether that is the response to a HEAD request.
    is_of_head_request: bool,
    /// Whether the request asks for an interim response before its body is sent.
    expects_continue: bool,
}

impl HeadChecker {
    /// Records that bytes of a request are written.
    pub(crate) fn note_written(&mut self, bytes: &[u8]) {
        if self.received.is_none() {
            self.received = Some(Vec::new());
            self.is_of_head_request = bytes.starts_with(b"HEAD ");
            self.expects_continue = states_expectation(bytes);
        }
    }

    /// Checks what has been read.
    ///
    /// # Errors
    ///
    /// It is not the head of a response whose end can be recognised.
    pub(crate) fn check(&mut self, read: &[u8]) -> Result<(), InvalidHead> {
        let Some(received) = &mut self.received else {
            return Ok(());
        };
        received.extend_from_slice(read);
        let Some(head) = parse_head(received)? else {
            let is_too_long = received.len() > HEAD_BYTES_MAX;
            return if is_too_long {
                Err(InvalidHead::TooLong)
            } else {
                Ok(())
            };
        };
        self.received = None;
        match head.status {
            CONTINUE if self.expects_continue => Ok(()),
            // awc would take it for the response, and the response for that to the next request.
            100..=199 => Err(InvalidHead::Interim(head.status)),
            _ if head.is_delimited || head.is_bodyless || self.is_of_head_request => Ok(()),
            _ => Err(InvalidHead::NoLength),
        }
    }
}
