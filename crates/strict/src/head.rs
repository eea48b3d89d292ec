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

/// Why bytes are not the head of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidHead {
    /// They don't follow the grammar.
    Malformed(Error),
    /// The status is not between 100 and 599.
    Status(u16),
}

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "{error} in the head of the response"),
            Self::Status(status) => write!(f, "the response has the invalid status {status:03}"),
        }
    }
}

impl std::error::Error for InvalidHead {}

/// Checks the head of a response, as far as it has been received.
///
/// # Errors
///
/// The bytes are not the head of a response.
pub fn check_head(bytes: &[u8]) -> Result<(), InvalidHead> {
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_MAX];
    let mut response = Response::new(&mut []);
    let parsed = ParserConfig::default()
        .parse_response_with_uninit_headers(&mut response, bytes, &mut fields)
        .map_err(InvalidHead::Malformed)?;
    match response.code {
        Some(status) if parsed.is_complete() && !(100..=599).contains(&status) => {
            Err(InvalidHead::Status(status))
        }
        _ => Ok(()),
    }
}
