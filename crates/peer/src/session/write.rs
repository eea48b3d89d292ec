//! The writer: takes frames from the queue, pings when one is due, and says the last words.

use super::{
    End,
    Line, //
};
use crate::{
    codec::encode,
    frame::{
        Frame,
        Goodbye, //
    },
    opening::Socket,
    registry::Order, //
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

/// Reason in the close frame of a session that gives way to another one.
const DUPLICATE: &str = "duplicate session";
/// Reason in the close frame after a goodbye.
const GOODBYE: &str = "goodbye";

impl Line<'_> {
    /// Writes until the session ends.
    pub(super) async fn write(&self, sink: &mut SplitSink<Socket, Message>) -> End {
        let mut orders = self.session.order.subscribe();
        loop {
            if poll_fn(|cx| sink.poll_ready_unpin(cx)).await.is_err() {
                return self.unless_left(End::Lost);
            }
            let Some(message) = self.next_message(&mut orders).await else {
                break;
            };
            if sink.send(message).await.is_err() {
                return self.unless_left(End::Lost);
            }
        }
        self.finish(sink).await
    }

    /// Next message to write; none when the session is to end.
    ///
    /// A frame leaves the queue only when the connection has room for it, so that what waits
    /// outlives a connection that does not move.
    async fn next_message(&self, orders: &mut watch::Receiver<Order>) -> Option<Message> {
        loop {
            let order = *orders.borrow_and_update();
            if matches!(order, Order::Fade | Order::Cut) {
                return None;
            }
            if let Some(seq) = self.ping_due.take() {
                self.pinged_at.set(Some(Instant::now()));
                let payload = Bytes::copy_from_slice(&seq.to_le_bytes());
                return Some(Message::Ping(payload));
            }
            if let Some(message) = self.outbox.pop() {
                self.shared.counters.sent_frames.increment();
                return Some(Message::Binary(message));
            }
            if matches!(order, Order::Goodbye(_)) {
                return None;
            }
            tokio::select! {
                // The sender lives in `self.session`, so that the wait cannot fail.
                _ = orders.changed() => {}
                () = self.outbox.filled.notified() => {}
                () = self.ping.notified() => {}
            }
        }
    }

    /// Writes the last words and waits for the other end to close.
    async fn finish(&self, sink: &mut SplitSink<Socket, Message>) -> End {
        let order = *self.session.order.borrow();
        let reason = match order {
            Order::Run | Order::Cut => return End::Replaced,
            Order::Fade => DUPLICATE,
            Order::Goodbye(reason) => {
                let goodbye = encode(&Frame::Goodbye(Goodbye { reason }))
                    .expect("a goodbye holds plain fields only");
                let _ = sink.send(Message::Binary(goodbye)).await;
                GOODBYE
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
