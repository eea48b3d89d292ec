//! Long answers, passed on as they come.

use crate::traffic::{
    attempt::InFlight,
    log::{
        millis,
        text, //
    },
};
use actix_http::header::HeaderValue;
use bytes::Bytes;
use event::{
    emit,
    Event, //
};
use relay::{
    BodyPart,
    BodyReader, //
};
use std::time::Instant;
use tokio::sync::mpsc;

/// Pieces of a long answer between upstream and caller.
const ANSWER_PARTS: usize = 8;

/// A long answer on its way to the caller.
pub(super) struct Stream {
    pub(super) id: HeaderValue,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    /// The upstream stays in use until the answer has ended.
    pub(super) in_flight: Box<InFlight>,
}

impl Stream {
    /// Passes on what has come, then the rest; gives the end that the caller's connection reads.
    pub(super) fn pass_on(self, begun: Bytes, rest: Box<BodyReader>) -> mpsc::Receiver<BodyPart> {
        let (sender, parts) = mpsc::channel(ANSWER_PARTS);
        actix_rt::spawn(async move {
            let (sent_bytes, ended) = self.run(begun, rest, sender).await;
            if let Err(why) = ended {
                self.log_cut(sent_bytes, why);
            }
        });
        parts
    }

    /// How much went to the caller, and why the answer ended early if it did.
    async fn run(
        &self,
        begun: Bytes,
        mut rest: Box<BodyReader>,
        sender: mpsc::Sender<BodyPart>,
    ) -> (u64, Result<(), String>) {
        let mut sent_bytes = 0;
        let mut next = Some(begun);
        loop {
            let length = next.as_ref().map_or(0, Bytes::len) as u64;
            let part = next.take().map_or(BodyPart::End, BodyPart::Data);
            let ended = part == BodyPart::End;
            // A caller who has gone takes no more; leaving drops the connection, which cancels the rest.
            if sender.send(part).await.is_err() {
                return (sent_bytes, Err("the caller has gone".to_owned()));
            }
            if ended {
                return (sent_bytes, Ok(()));
            }
            sent_bytes += length;
            let read = tokio::select! {
                read = rest.next(self.deadline) => read,
                // An upstream that has stopped sending would be waited for, for a caller who has gone.
                () = sender.closed() => return (sent_bytes, Err("the caller has gone".to_owned())),
            };
            match read {
                Ok(data) => next = data,
                Err(cut) => return (sent_bytes, Err(cut.to_string())),
            }
        }
    }

    fn log_cut(&self, sent_bytes: u64, why: String) {
        let traffic = self.in_flight.traffic();
        if !traffic.log.take(true, traffic.now()) {
            return;
        }
        emit(&Event::AnswerCut {
            id: text(&self.id),
            upstream: self.in_flight.upstream().clone(),
            why,
            sent_bytes,
            took_ms: millis(self.received.elapsed()),
        });
    }
}
