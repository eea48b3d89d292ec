//! Session reader: receives frames and pongs.

use super::{
    SessionContext, //
    SessionEnd,
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

impl SessionContext<'_> {
    /// Reads until the session ends.
    pub(super) async fn read(&self, stream: &mut SplitStream<Socket>) -> SessionEnd {
        loop {
            let end = match stream.next().await {
                Some(Ok(Message::Binary(message))) => self.handle_message(&message).await,
                Some(Ok(Message::Pong(payload))) => {
                    self.handle_pong(&payload);
                    None
                }
                // The library responds to pings.
                Some(Ok(Message::Ping(_) | Message::Frame(_))) => None,
                Some(Ok(Message::Text(_))) => Some(SessionEnd::Violation(Refusal::Malformed)),
                Some(Ok(Message::Close(_))) | None => Some(SessionEnd::Lost),
                Some(Err(error)) => Some(end_for_refusal(message_refusal(&error))),
            };
            if let Some(end) = end {
                return self.classify_end(end);
            }
        }
    }

    /// Handles one message; returns the end of the session if the message causes one.
    async fn handle_message(&self, message: &Bytes) -> Option<SessionEnd> {
        let frame = match decode(message) {
            Ok(Decoded::Frame(frame)) => frame,
            Ok(Decoded::UnknownKind) => {
                self.shared.counters.unknown_frames.increment();
                return None;
            }
            Err(_) => return Some(SessionEnd::Violation(Refusal::Malformed)),
        };
        match frame {
            Frame::Hello(_) | Frame::Proof(_) => Some(SessionEnd::Violation(Refusal::Unexpected)),
            Frame::Goodbye(goodbye) => Some(SessionEnd::Goodbye(goodbye.reason)),
            frame => {
                self.reading.set(false);
                let permit = self.shared.reserve_event_bytes(message.len()).await;
                self.reading.set(true);
                self.shared
                    .deliver(&self.instance, self.incarnation, frame, permit);
                None
            }
        }
    }

    /// Records a pong and the round trip that it completes.
    fn handle_pong(&self, payload: &[u8]) {
        let Ok(seq) = payload.try_into().map(u64::from_le_bytes) else {
            return;
        };
        if seq != self.last_pong.get() + 1 {
            return;
        }
        let Some(ping_sent_at) = self.ping_sent_at.take() else {
            return;
        };
        self.last_pong.set(seq);
        self.pong_received.notify_one();
        let mut registry = self.shared.registry.borrow_mut();
        if registry.is_up(&self.instance, self.incarnation) {
            registry.set_rtt(&self.instance, ping_sent_at.elapsed());
        }
    }
}

/// Session end for a WebSocket error.
fn end_for_refusal(refusal: Refusal) -> SessionEnd {
    match refusal {
        Refusal::Closed => SessionEnd::Lost,
        other => SessionEnd::Violation(other),
    }
}
