//! Streams long response bodies to the caller.

use crate::{
    clock::millis,
    traffic::{
        request_log::text,
        Traffic, //
    },
};
use actix_http::header::HeaderValue;
use bytes::Bytes;
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use relay::{
    BodyHold,
    BodyPart,
    BodyReader, //
};
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::{
    sync::mpsc::{
        self,
        error::SendError, //
    },
    time::{
        error::Elapsed,
        timeout_at, //
    },
};

/// Capacity of the channel between the upstream's body and the caller's connection, in parts.
const BODY_CHANNEL_PARTS: usize = 8;

/// Length that a part counts with, in bytes.
const BODY_PART_BYTES: u64 = 16 << 10;
/// Longest rest of a body that is read ahead of a slow caller while there is a limit on the memory for bodies and much of
/// it is left, so that the upstream doesn't wait for the caller.
const READ_AHEAD_BYTES_MAX: u64 = 1 << 20;
/// Capacity of the channel then, in parts.
const READ_AHEAD_PARTS: usize = 4096;

/// Time after the deadline that the caller's connection has to take a part before the rest of the body is read.
const LATE_SEND_PERIOD: Duration = Duration::from_millis(250);

/// Length of a part of a body below which it is copied.
const COPIED_PART_BYTES: usize = 4 << 10;

/// Guard that counts a request as in flight until it is dropped.
pub(super) trait StreamGuard {
    /// Returns the state of the traffic thread.
    fn traffic(&self) -> &Traffic;

    /// Returns the upstream, or the entry, that the response comes from.
    fn source(&self) -> &ByteString;

    /// Records whether the source sent its whole response.
    fn note_end(&self, _is_whole: bool) {}
}

/// A response body being streamed to the caller.
pub(super) struct ResponseStream {
    pub(super) id: HeaderValue,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    /// Keeps the request counted as in flight until the body ends.
    pub(super) guard: Box<dyn StreamGuard>,
    /// Memory held for the body.
    pub(super) body_hold: Rc<BodyHold>,
    /// Length of the part of the body that has not been read; `None` if it is not known.
    pub(super) rest_bytes: Option<u64>,
}

impl ResponseStream {
    /// Spawns a task that forwards the data read so far and then the rest. Returns the receiver for the caller's
    /// connection.
    pub(super) fn forward(self, prefix: Bytes, rest: Box<BodyReader>) -> mpsc::Receiver<BodyPart> {
        let (sender, parts) = mpsc::channel(self.take_channel());
        actix_rt::spawn(async move {
            let (sent_bytes, ended) = self.run(prefix, rest, sender).await;
            if let Err(why) = ended {
                self.log_cut(sent_bytes, why);
            }
        });
        parts
    }

    /// Takes memory for the channel to the caller's connection. Returns the capacity of the channel in parts.
    fn take_channel(&self) -> usize {
        let hold = &self.body_hold;
        if !self.guard.traffic().body_memory.is_limited() {
            return BODY_CHANNEL_PARTS;
        }
        let held_bytes = hold.bytes();
        let rest_bytes = self.rest_bytes.filter(|rest| *rest <= READ_AHEAD_BYTES_MAX);
        if rest_bytes.is_some_and(|rest| hold.try_grow_to(held_bytes + rest)) {
            return READ_AHEAD_PARTS;
        }
        if hold.try_grow_to(held_bytes + BODY_CHANNEL_PARTS as u64 * BODY_PART_BYTES) {
            return BODY_CHANNEL_PARTS;
        }
        hold.grow(BODY_PART_BYTES);
        1
    }

    /// Forwards the body. Returns the number of bytes sent and, if it ended early, why.
    async fn run(
        &self,
        prefix: Bytes,
        mut rest: Box<BodyReader>,
        sender: mpsc::Sender<BodyPart>,
    ) -> (u64, Result<(), String>) {
        let mut sent_bytes = 0;
        let length_bytes = self.rest_bytes.map(|rest| prefix.len() as u64 + rest);
        let mut next = Some(prefix);
        loop {
            let part_bytes = next.as_ref().map_or(0, Bytes::len) as u64;
            let part = next.take().map_or(BodyPart::End, BodyPart::Data);
            let ended = part == BodyPart::End;
            let is_read = ended || length_bytes == Some(sent_bytes + part_bytes);
            match self.send(&sender, part, is_read).await {
                Ok(Ok(())) => {}
                // The caller has disconnected. Returning drops the upstream connection, which cancels the request there.
                Ok(Err(_closed)) => return (sent_bytes, Err("the caller has gone".to_owned())),
                Err(_elapsed) => {
                    let why = "the caller has not read it by the deadline";
                    return (sent_bytes, Err(why.to_owned()));
                }
            }
            if ended {
                self.guard.note_end(true);
                return (sent_bytes, Ok(()));
            }
            sent_bytes += part_bytes;
            let read = tokio::select! {
                read = rest.next(self.deadline) => read,
                // Otherwise the task would wait for a stalled upstream after the caller has disconnected.
                () = sender.closed() => return (sent_bytes, Err("the caller has gone".to_owned())),
            };
            match read {
                // A short part would keep its whole read buffer while it is queued.
                Ok(Some(data)) if data.len() < COPIED_PART_BYTES => {
                    next = Some(Bytes::copy_from_slice(&data));
                }
                Ok(data) => next = data,
                Err(cut) => {
                    // Otherwise the caller may be the cause, which reads too slowly.
                    if sender.capacity() > 0 {
                        self.guard.note_end(false);
                    }
                    return (sent_bytes, Err(cut.to_string()));
                }
            }
        }
    }

    /// Sends a part to the caller's connection. Once all of the body `is_read`, the caller may take as long as its
    /// connection allows; until then it holds the upstream, so that the deadline applies.
    async fn send(
        &self,
        sender: &mpsc::Sender<BodyPart>,
        part: BodyPart,
        is_read: bool,
    ) -> Result<Result<(), SendError<BodyPart>>, Elapsed> {
        let sending = sender.send(part);
        if is_read {
            return Ok(sending.await);
        }
        let until = self.deadline.max(Instant::now()) + LATE_SEND_PERIOD;
        timeout_at(until.into(), sending).await
    }

    fn log_cut(&self, sent_bytes: u64, why: String) {
        let traffic = self.guard.traffic();
        if !traffic.log_limiter.try_take(true, traffic.now()) {
            return;
        }
        emit(&Event::AnswerCut {
            id: text(&self.id),
            upstream: self.guard.source().clone(),
            why,
            sent_bytes,
            took_ms: millis(self.received.elapsed()),
        });
    }
}
