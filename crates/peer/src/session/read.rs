//! The reader: takes frames in and notes pongs.

use super::{
    End,
    Line, //
};
use crate::{
    codec::{
        decode,
        Decoded, //
    },
    frame::Frame,
    opening::{
        message_refusal,
        Socket, //
    },
    refusal::Refusal, //
};
use bytes::Bytes;
use futures_util::{
    stream::SplitStream,
    StreamExt, //
};
use tokio_tungstenite::tungstenite::Message;

impl Line<'_> {
    /// Reads until the session ends.
    pub(super) async fn read(&self, stream: &mut SplitStream<Socket>) -> End {
        loop {
            let end = match stream.next().await {
                Some(Ok(Message::Binary(message))) => self.take(&message).await,
                Some(Ok(Message::Pong(payload))) => {
                    self.note_pong(&payload);
                    None
                }
                // The library answers pings.
                Some(Ok(Message::Ping(_) | Message::Frame(_))) => None,
                Some(Ok(Message::Text(_))) => Some(End::Bad(Refusal::Malformed)),
                Some(Ok(Message::Close(_))) | None => Some(End::Lost),
                Some(Err(error)) => Some(ended_by(message_refusal(&error))),
            };
            if let Some(end) = end {
                return self.unless_left(end);
            }
        }
    }

    /// Takes one message; how it ends the session, if it does.
    async fn take(&self, message: &Bytes) -> Option<End> {
        let frame = match decode(message) {
            Ok(Decoded::Frame(frame)) => frame,
            Ok(Decoded::UnknownKind) => {
                self.shared.counters.unknown_frames.increment();
                return None;
            }
            Err(_) => return Some(End::Bad(Refusal::Malformed)),
        };
        match frame {
            Frame::Hello(_) | Frame::Proof(_) => Some(End::Bad(Refusal::Unexpected)),
            Frame::Goodbye(goodbye) => Some(End::Goodbye(goodbye.reason)),
            frame => {
                self.reading.set(false);
                let room = self.shared.room(message.len()).await;
                self.reading.set(true);
                self.shared
                    .deliver(&self.instance, self.incarnation, frame, room);
                None
            }
        }
    }

    /// Notes a pong and the round trip it closes.
    fn note_pong(&self, payload: &[u8]) {
        let Ok(seq) = payload.try_into().map(u64::from_le_bytes) else {
            return;
        };
        if seq != self.answered.get() + 1 {
            return;
        }
        let Some(pinged_at) = self.pinged_at.take() else {
            return;
        };
        self.answered.set(seq);
        self.pong.notify_one();
        let mut registry = self.shared.registry.borrow_mut();
        if registry.is_up(&self.instance, self.incarnation) {
            registry.set_rtt(&self.instance, pinged_at.elapsed());
        }
    }
}

/// End by an error of the websocket.
fn ended_by(refusal: Refusal) -> End {
    match refusal {
        Refusal::Closed => End::Lost,
        other => End::Bad(other),
    }
}
