//! Session writer: sends queued frames and pings, and closes the connection.

use super::{
    SessionContext, //
    SessionEnd,
};
use crate::{
    codec::encode,
    frame::{
        Frame,
        Goodbye, //
    },
    opening::Socket,
    registry::SessionCommand, //
};
use bytes::Bytes;
use futures_util::{
    stream::SplitSink,
    SinkExt, //
};
use std::future::{
    pending,
    poll_fn, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};
use tokio_tungstenite::tungstenite::{
    protocol::{
        frame::coding::CloseCode,
        CloseFrame, //
    },
    Message, //
};

/// Reason in the close frame of a session that was replaced by another one.
const DUPLICATE_REASON: &str = "duplicate session";
/// Reason in the close frame after a goodbye.
const GOODBYE_REASON: &str = "goodbye";

impl SessionContext<'_> {
    /// Writes until the session ends.
    pub(super) async fn write(&self, sink: &mut SplitSink<Socket, Message>) -> SessionEnd {
        let mut commands = self.session.command.subscribe();
        loop {
            if poll_fn(|cx| sink.poll_ready_unpin(cx)).await.is_err() {
                return self.classify_end(SessionEnd::Lost);
            }
            let Some(message) = self.next_message(&mut commands).await else {
                break;
            };
            if sink.send(message).await.is_err() {
                return self.classify_end(SessionEnd::Lost);
            }
        }
        self.close(sink).await
    }

    /// Next message to write; none when the session has to end.
    ///
    /// Called only when the connection can accept a message, so that frames stay in the queue while
    /// the connection is stalled and outlive it.
    async fn next_message(
        &self,
        commands: &mut watch::Receiver<SessionCommand>,
    ) -> Option<Message> {
        loop {
            let command = *commands.borrow_and_update();
            if matches!(command, SessionCommand::StopWriting | SessionCommand::Abort) {
                return None;
            }
            if let Some(seq) = self.ping_due.take() {
                self.ping_sent_at.set(Some(Instant::now()));
                let payload = Bytes::copy_from_slice(&seq.to_le_bytes());
                return Some(Message::Ping(payload));
            }
            if let Some(message) = self.outbox.pop() {
                self.shared.counters.sent_frames.increment();
                return Some(Message::Binary(message));
            }
            if matches!(command, SessionCommand::Goodbye(_)) {
                return None;
            }
            tokio::select! {
                // The sender lives in `self.session`, so the wait cannot fail.
                _ = commands.changed() => {}
                () = self.outbox.pushed.notified() => {}
                () = self.ping_requested.notified() => {}
            }
        }
    }

    /// Writes the goodbye and close frames and waits for the remote end to close.
    async fn close(&self, sink: &mut SplitSink<Socket, Message>) -> SessionEnd {
        let command = *self.session.command.borrow();
        let reason = match command {
            SessionCommand::Run | SessionCommand::Abort => return SessionEnd::Replaced,
            SessionCommand::StopWriting => DUPLICATE_REASON,
            SessionCommand::Goodbye(reason) => {
                let goodbye = encode(&Frame::Goodbye(Goodbye { reason }))
                    .expect("a goodbye frame can always be encoded");
                let _ = sink.send(Message::Binary(goodbye)).await;
                GOODBYE_REASON
            }
        };
        let close = CloseFrame {
            code: CloseCode::Normal,
            reason: reason.into(),
        };
        let _ = sink.send(Message::Close(Some(close))).await;
        pending().await
    }
}
