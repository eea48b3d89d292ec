//! What is known after a call to the platform.

use std::{
    error,
    fmt, //
};

/// Why a call gave no answer that can be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No connection could be made; nothing was sent.
    NotConnected(String),
    /// The platform refused with status 503, before any effect.
    Refused,
    /// The object store holds another body under this name.
    OtherBody,
    /// The name can't be an object's; nothing was sent.
    BadName,
    /// The deadline passed; the connection was closed.
    Timeout,
    /// The connection broke after the request, or a part of it, was sent.
    Broken(String),
    /// A status that this call doesn't have.
    Status(u16),
    /// A whole answer whose content can't be read.
    Malformed(String),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(error) => write!(f, "no connection to the platform: {error}"),
            Self::Refused => f.write_str("the platform refused"),
            Self::OtherBody => f.write_str("the object exists with another body"),
            Self::BadName => f.write_str("no name of an object"),
            Self::Timeout => f.write_str("the platform did not answer in time"),
            Self::Broken(error) => write!(f, "the connection to the platform broke: {error}"),
            Self::Status(status) => write!(f, "unexpected status {status} of the platform"),
            Self::Malformed(error) => write!(f, "malformed answer of the platform: {error}"),
        }
    }
}

/// What is known of a call that changes something.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<T> {
    /// It was decided, and this is the decision.
    Done(T),
    /// It had and will have no effect: it can be sent again.
    NotDone(Reason),
    /// It may have taken effect, or may still: read back before sending again.
    Unknown(Reason),
}

/// A read that gave nothing; reads change nothing and can be sent again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadError(
    /// What went wrong.
    pub Reason,
);

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl error::Error for ReadError {}
