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
}

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "{error} in the head of the response"),
            Self::Status(status) => write!(f, "the response has the invalid status {status:03}"),
            Self::TooLong => f.write_str("the head of the response has no end"),
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

/// What a head states about the body.
struct Head {
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
        is_bodyless: matches!(status, 100..=199 | 204 | 304),
        is_delimited: fields.any(|field| has_length(field) || has_chunks(field)),
    }))
}

/// Checks the heads of the responses on a connection while they are read.
#[derive(Debug, Default)]
pub(crate) struct HeadChecker {
    /// What has been received of the head that is awaited; `None` if none is.
    received: Option<Vec<u8>>,
    /// Whether that is the response to a HEAD request.
    is_of_head_request: bool,
}

impl HeadChecker {
    /// Records that bytes of a request are written.
    pub(crate) fn note_written(&mut self, bytes: &[u8]) {
        if self.received.is_none() {
            self.received = Some(Vec::new());
            self.is_of_head_request = bytes.starts_with(b"HEAD ");
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
        match parse_head(received)? {
            Some(head) if head.is_delimited || head.is_bodyless || self.is_of_head_request => {
                self.received = None;
                Ok(())
            }
            Some(_) => Err(InvalidHead::NoLength),
            None if received.len() > HEAD_BYTES_MAX => Err(InvalidHead::TooLong),
            None => Ok(()),
        }
    }
}
