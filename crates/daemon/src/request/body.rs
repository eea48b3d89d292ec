//! The body of an answer that streams through this entry.
//!
//! It holds the upstream's slot until it ends, never holds more than one chunk, and ends in an
//! error when the deadline passes or the upstream breaks off: the caller's connection then closes
//! before the declared length or the last chunk, so a short answer is never taken for a whole one.

use crate::{
    process::{
        active::ActiveGuard,
        pool::Permit, //
    },
    request::{
        counters::ClassCounters,
        deadline::Deadline, //
    },
};
use awc::{
    error::PayloadError,
    ClientResponse, //
};
use bytes::Bytes;
use futures_util::Stream;
use std::{
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Instant, //
};
use tokio::time::Sleep;

/// Why a stream was broken off.
#[derive(Debug)]
pub(crate) enum Broken {
    /// The deadline passed.
    Deadline,
    /// The upstream ended it early or broke the protocol.
    Upstream(PayloadError),
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deadline => f.write_str("the deadline passed in the middle of the answer"),
            Self::Upstream(err) => write!(f, "the upstream broke off: {err}"),
        }
    }
}

impl std::error::Error for Broken {}

/// What a stream keeps until its end.
pub(crate) struct Held {
    /// Slot in use at an upstream; none for work that another region's entry carries.
    pub(crate) permit: Option<Permit>,
    /// Keeps a planned stop waiting.
    pub(crate) active: ActiveGuard,
    pub(crate) counters: Rc<ClassCounters>,
    pub(crate) started: Instant,
}

/// Body that streams.
pub(crate) struct Streamed {
    prefix: Option<Bytes>,
    rest: Box<ClientResponse>,
    deadline: Pin<Box<Sleep>>,
    held: Option<Held>,
}

impl Streamed {
    /// Streams `prefix`, then `rest`, up to `deadline`.
    pub(crate) fn new(
        prefix: Bytes,
        rest: Box<ClientResponse>,
        deadline: Deadline,
        held: Held,
    ) -> Self {
        Self {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest,
            deadline: Box::pin(tokio::time::sleep_until(deadline.at())),
            held: Some(held),
        }
    }

    fn end(&mut self, whole: bool) {
        if let Some(held) = self.held.take() {
            if let Some(permit) = held.permit.as_ref().filter(|_| !whole) {
                permit.upstream.seen.note_failure();
            }
            held.counters.stream_ended(whole, held.started.elapsed());
        }
    }
}

impl Stream for Streamed {
    type Item = Result<Bytes, Broken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        if self.held.is_none() {
            return Poll::Ready(None);
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.end(false);
            return Poll::Ready(Some(Err(Broken::Deadline)));
        }
        match Pin::new(&mut *self.rest).poll_next(cx) {
            Poll::Ready(None) => {
                self.end(true);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(err))) => {
                self.end(false);
                Poll::Ready(Some(Err(Broken::Upstream(err))))
            }
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Pending => Poll::Pending,
        }
    }
}
