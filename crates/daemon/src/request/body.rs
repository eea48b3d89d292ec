//! The body of an answer that streams through this entry.
//!
//! It holds the upstream's slot until it ends, never holds more than one chunk, and ends in an
//! error when the deadline passes or the upstream breaks off: the caller's connection then closes
//! before the declared length or the last chunk, so a short answer is never taken for a whole one.

use crate::{
    process::active::ActiveGuard,
    request::{
        carry::Hold,
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
    time::{
        Duration,
        Instant, //
    },
};
use tokio::time::Sleep;

/// Longest time that one chunk is held back for the link's cap.
const LONGEST_PACE: Duration = Duration::from_secs(3600);

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
    /// Slot in use at an upstream, or room on a link.
    pub(crate) hold: Hold,
    /// Keeps a planned stop waiting.
    #[expect(dead_code, reason = "held for its drop")]
    pub(crate) active: ActiveGuard,
    pub(crate) counters: Rc<ClassCounters>,
    pub(crate) started: Instant,
}

/// Body that streams.
pub(crate) struct Streamed {
    prefix: Option<Bytes>,
    /// Gone with the slot, whose release waits for the end of this connection.
    rest: Option<Box<ClientResponse>>,
    deadline: Pin<Box<Sleep>>,
    /// A chunk of a shifted answer that the link's cap holds back, and until when.
    paced: Option<(Bytes, Pin<Box<Sleep>>)>,
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
            rest: Some(rest),
            deadline: Box::pin(tokio::time::sleep_until(deadline.at())),
            paced: None,
            held: Some(held),
        }
    }

    /// Passes a chunk on once the link's cap allows it.
    fn pace(&mut self, chunk: Bytes, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        let wait = match self.held.as_ref().map(|held| &held.hold) {
            Some(Hold::Shift(guard)) => guard.pass(chunk.len()),
            _ => Duration::ZERO,
        };
        if wait.is_zero() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        // A wait without end is cut by the deadline, which is polled first.
        let until = Box::pin(tokio::time::sleep(wait.min(LONGEST_PACE)));
        self.hold_back(chunk, until, cx)
    }

    fn hold_back(
        &mut self,
        chunk: Bytes,
        mut until: Pin<Box<Sleep>>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        if until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        self.paced = Some((chunk, until));
        Poll::Pending
    }

    fn end(&mut self, whole: bool) {
        if let Some(held) = self.held.take() {
            self.rest = None;
            match (&held.hold, whole) {
                (Hold::Slot(permit), true) => permit.completed(),
                (Hold::Slot(permit), false) => permit.upstream.seen.note_broken(),
                (Hold::Shift(_) | Hold::Sibling(_), _) => {}
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
        if let Some((chunk, until)) = self.paced.take() {
            return self.hold_back(chunk, until, cx);
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
                Poll::Ready(Some(Err(Broken::Upstream(err))))
            }
            Poll::Ready(Some(Ok(chunk))) => self.pace(chunk, cx),
            Poll::Pending => Poll::Pending,
        }
    }
}
