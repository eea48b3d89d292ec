//! Response bodies that stream through this entry.
//!
//! A stream holds the upstream's slot until it ends and buffers at most one chunk. It ends in an
//! error when the deadline passes or the upstream breaks off: the caller's connection then closes
//! before the declared length or the last chunk, so that a truncated response is never taken for a
//! complete one.

use crate::{
    process::active::ActiveGuard,
    request::{
        counters::ClassCounters,
        deadline::Deadline,
        dispatch::ResponseGuard, //
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
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::Sleep;

/// Longest time that pacing to the link's cap delays one chunk.
const MAX_PACING_DELAY: Duration = Duration::from_secs(3600);

/// Why a stream ended early.
#[derive(Debug)]
pub(crate) enum StreamError {
    /// The deadline passed.
    Deadline,
    /// The upstream ended it early or broke the protocol.
    Upstream(PayloadError),
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deadline => f.write_str("the deadline passed in the middle of the answer"),
            Self::Upstream(err) => write!(f, "the upstream broke off: {err}"),
        }
    }
}

impl std::error::Error for StreamError {}

/// State that a stream keeps until its end.
pub(crate) struct StreamState {
    /// Slot of an upstream, or capacity of a link.
    pub(crate) guard: ResponseGuard,
    /// Delays a planned stop until the stream has ended.
    #[expect(dead_code, reason = "held for its drop")]
    pub(crate) active: ActiveGuard,
    pub(crate) counters: Rc<ClassCounters>,
    pub(crate) started: Instant,
}

/// Body of a response that streams.
pub(crate) struct ResponseStream {
    prefix: Option<Bytes>,
    /// Dropped before the slot, whose release waits until this connection has closed.
    rest: Option<Box<ClientResponse>>,
    deadline: Pin<Box<Sleep>>,
    /// A chunk of a shifted response that is delayed by the link's cap, and the delay.
    paced: Option<(Bytes, Pin<Box<Sleep>>)>,
    state: Option<StreamState>,
}

impl ResponseStream {
    /// Streams `prefix`, then `rest`, up to `deadline`.
    pub(crate) fn new(
        prefix: Bytes,
        rest: Box<ClientResponse>,
        deadline: Deadline,
        state: StreamState,
    ) -> Self {
        Self {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest: Some(rest),
            deadline: Box::pin(tokio::time::sleep_until(deadline.at())),
            paced: None,
            state: Some(state),
        }
    }

    /// Yields a chunk once the link's cap allows it.
    fn pace(
        &mut self,
        chunk: Bytes,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamError>>> {
        let wait = match self.state.as_ref().map(|state| &state.guard) {
            Some(ResponseGuard::Shift(guard)) => guard.record_bytes(chunk.len()),
            _ => Duration::ZERO,
        };
        if wait.is_zero() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        // The deadline, which is polled first, bounds an endless wait.
        let until = Box::pin(tokio::time::sleep(wait.min(MAX_PACING_DELAY)));
        self.delay(chunk, until, cx)
    }

    /// Yields a chunk once `until` has elapsed.
    fn delay(
        &mut self,
        chunk: Bytes,
        mut until: Pin<Box<Sleep>>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamError>>> {
        if until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        self.paced = Some((chunk, until));
        Poll::Pending
    }

    fn end(&mut self, whole: bool) {
        if let Some(state) = self.state.take() {
            self.rest = None;
            match (&state.guard, whole) {
                (ResponseGuard::Slot(permit), true) => permit.mark_completed(),
                (ResponseGuard::Slot(permit), false) => {
                    permit.upstream.observations.record_broken()
                }
                (ResponseGuard::Shift(_) | ResponseGuard::Sibling(_), _) => {}
            }
            state
                .counters
                .record_stream_end(whole, state.started.elapsed());
        }
    }
}

impl Stream for ResponseStream {
    type Item = Result<Bytes, StreamError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        if self.state.is_none() {
            return Poll::Ready(None);
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.end(false);
            return Poll::Ready(Some(Err(StreamError::Deadline)));
        }
        if let Some((chunk, until)) = self.paced.take() {
            return self.delay(chunk, until, cx);
        }
        let polled = match &mut self.rest {
            Some(rest) => Pin::new(&mut **rest).poll_next(cx),
            None => Poll::Ready(None),
        };
        match polled {
            Poll::Ready(None) => {
                self.end(true);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(err))) => {
                self.end(false);
                Poll::Ready(Some(Err(StreamError::Upstream(err))))
            }
            Poll::Ready(Some(Ok(chunk))) => self.pace(chunk, cx),
            Poll::Pending => Poll::Pending,
        }
    }
}
