//! Results of calls to the platform.

use std::{
    error,
    fmt, //
};

/// Why a call returned no usable response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailureReason {
    /// The connection could not be established; nothing was sent.
    NotConnected(String),
    /// The platform refused the request before it had any effect, for example with status 503.
    Refused,
    /// The object store holds another body under this name.
    OtherBody,
    /// The object name is invalid; nothing was sent.
    BadName,
    /// The deadline passed; the connection was closed.
    Timeout,
    /// The connection was lost after at least a part of the request may have been sent.
    Broken(String),
    /// The response had a status that is not defined for this call.
    Status(u16),
    /// The response was complete, but its content is invalid.
    Malformed(String),
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(error) => write!(f, "no connection to the platform: {error}"),
            Self::Refused => f.write_str("the platform refused"),
            Self::OtherBody => f.write_str("the object exists with another body"),
            Self::BadName => f.write_str("no name of an object"),
            Self::Timeout => f.write_str("the platform did not answer in time"),
            Self::Broken(error) => write!(f, "lost the connection to the platform: {error}"),
            Self::Status(status) => write!(f, "unexpected status {status} from the platform"),
            Self::Malformed(error) => write!(f, "malformed answer of the platform: {error}"),
        }
    }
}

/// The outcome of a call that changes state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<T> {
    /// The platform executed the call, with this result.
    Done(T),
    /// The call has had no effect and never will: it can be retried.
    NotDone(FailureReason),
    /// The call may have taken effect or may still do so: read the state before retrying.
    Unknown(FailureReason),
}

/// The error of a failed read; reads have no side effects and can be retried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadError(
    /// Why the read failed.
    pub FailureReason,
);

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl error::Error for ReadError {}
