//! Checks of response heads that the decoder of actix-http leaves out.
//!
//! It accepts blanks between the name of a field and its colon, which recipients interpret differently, and any status of
//! three digits. Such a head is no response.

use httparse::{
    Error,
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
}

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "{error} in the head of the response"),
            Self::Status(status) => write!(f, "the response has the invalid status {status:03}"),
            Self::TooLong => f.write_str("the head of the response has no end"),
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
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_MAX];
    let mut response = Response::new(&mut []);
    let parsed = ParserConfig::default()
        .parse_response_with_uninit_headers(&mut response, bytes, &mut fields)
        .map_err(InvalidHead::Malformed)?;
    match response.code {
        Some(status) if parsed.is_complete() && !(100..=599).contains(&status) => {
            Err(InvalidHead::Status(status))
        }
        _ => Ok(parsed.is_complete()),
    }
}

/// Checks the heads of the responses on a connection while they are read.
#[derive(Debug, Default)]
pub(crate) struct HeadChecker {
    /// What has been received of the head that is awaited; `None` if none is.
    received: Option<Vec<u8>>,
}

impl HeadChecker {
    /// Records that bytes of a request have been written.
    pub(crate) fn note_written(&mut self) {
        self.received.get_or_insert_default();
    }

    /// Checks what has been read.
    ///
    /// # Errors
    ///
    /// It is not the head of a response.
    pub(crate) fn check(&mut self, read: &[u8]) -> Result<(), InvalidHead> {
        let Some(received) = &mut self.received else {
            return Ok(());
        };
        received.extend_from_slice(read);
        if check_head(received)? {
            self.received = None;
        } else if received.len() > HEAD_BYTES_MAX {
            return Err(InvalidHead::TooLong);
        }
        Ok(())
    }
}
