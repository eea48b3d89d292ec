//! The life of one proven connection.
//!
//! Three futures in one task: one reads, one writes, one watches for silence. The first that ends
//! ends the session; what it ended by decides whether the peer is reopened or down.

use crate::{
    codec::{
        decode,
        encode,
        Decoded, //
    },
    event::DownReason,
    frame::{
        Frame,
        Goodbye,
        GoodbyeReason, //
    },
    opening::{
        message_refusal,
        refuse,
        Opened,
        Socket, //
    },
    outbox::Outbox,
    refusal::Refusal,
    registry::{
        Order,
        Session, //
    },
    shared::Shared, //
};
use base::{
    Incarnation,
    InstanceId, //
};
use bytes::Bytes;
use futures_util::{
    stream::{
        SplitSink,
        SplitStream, //
    },
    SinkExt,
    StreamExt, //
};
use std::{
    cell::Cell,
    future::{
        pending,
        poll_fn, //
    },
    rc::Rc,
    time::Duration, //
};
use tokio::{
    sync::{
        watch,
        Notify, //
    },
    time::{
        sleep,
        sleep_until,
        Instant, //
    }, //
};
use tokio_tungstenite::tungstenite::{
    protocol::{
        frame::coding::CloseCode,
        CloseFrame, //
    },
    Message, //
};

/// A timer that wakes later than this says that our own thread was held up.
const OWN_STALL: Duration = Duration::from_millis(100);
/// Reason in the close frame of a session that gives way to another one.
const DUPLICATE: &str = "duplicate session";
/// Reason in the close frame after a goodbye.
const GOODBYE: &str = "goodbye";

/// What a session ended by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The connection broke or the other end closed it.
    Lost,
    /// A pong did not come.
    Silent,
    /// The other end said goodbye.
    Goodbye(GoodbyeReason),
    /// We said goodbye.
    Left,
    /// Another session took its place.
    Replaced,
    /// The other end sent what it must not.
    Bad(Refusal),
}

/// What the three futures of a session share.
struct Line<'a> {
    /// The mesh.
    shared: &'a Rc<Shared>,
    /// Other end.
    instance: InstanceId,
    /// Its life.
    incarnation: Incarnation,
    /// The registry's end.
    session: Rc<Session>,
    /// What waits for the peer.
    outbox: Rc<Outbox>,
    /// Whether the reader waits for the connection, not for the owner.
    reading: Cell<bool>,
    /// Ping to be written.
    ping_due: Cell<Option<u64>>,
    /// Wakes the writer for a ping.
    ping: Notify,
    /// When the last ping was written.
    pinged_at: Cell<Option<Instant>>,
    /// Last ping that was answered.
    answered: Cell<u64>,
    /// Wakes the watcher for a pong.
    pong: Notify,
}

/// Carries frames both ways until the session ends, and draws what follows from its end.
pub(crate) async fn carry(shared: &Rc<Shared>, opened: Opened) {
    let line = Line {
        shared,
        instance: opened.proven.hello.instance,
        incarnation: opened.proven.hello.incarnation,
        session: opened.admitted.session,
        outbox: opened.admitted.outbox,
        reading: Cell::new(true),
        ping_due: Cell::new(None),
        ping: Notify::new(),
        pinged_at: Cell::new(None),
        answered: Cell::new(0),
        pong: Notify::new(),
    };
    let (mut sink, mut stream) = opened.socket.split();
    let end = tokio::select! {
        biased;
        end = line.read(&mut stream) => end,
        end = line.write(&mut sink) => end,
        end = line.watch() => end,
        end = line.overstay() => end,
    };
    line.conclude(end);
    if let End::Bad(why) = end {
        let socket = stream.reunite(sink).expect("both are of one socket");
        refuse(socket, why).await;
    }
}

impl Line<'_> {
    /// Tells the mesh what the session ended by.
    fn conclude(&self, end: End) {
        let shared = self.shared;
        let counters = &shared.counters;
        match end {
            End::Replaced => {}
            End::Lost => self.lose(DownReason::Lost),
            End::Silent => {
                counters.silent_sessions.increment();
                self.lose(DownReason::Silent);
            }
            End::Bad(_) => {
                counters.bad_frames.increment();
                self.lose(DownReason::Lost);
            }
            // A partner that does not want the session it was dialled for may still want another.
            End::Goodbye(GoodbyeReason::Unwanted) if self.is_partner() => {
                self.lose(DownReason::Unwanted);
            }
            End::Goodbye(GoodbyeReason::Unwanted) => self.end(DownReason::Unwanted),
            End::Goodbye(GoodbyeReason::Stopping) => shared.stop(&self.instance, self.incarnation),
            End::Left => self.end(DownReason::Dropped),
        }
    }

    /// The session is lost; another may come.
    fn lose(&self, why: DownReason) {
        self.shared.lose(&self.instance, &self.session, why);
    }

    /// The session is over, and the peer with it.
    fn end(&self, why: DownReason) {
        self.shared.end(&self.instance, &self.session, why);
    }

    /// Whether we dial the other end.
    fn is_partner(&self) -> bool {
        self.shared.partners.borrow().contains_key(&self.instance)
    }

    /// Reads until the session ends.
    async fn read(&self, stream: &mut SplitStream<Socket>) -> End {
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

    /// What `end` means when we closed the session ourselves: the other end's close is its answer.
    fn unless_left(&self, end: End) -> End {
        let order = *self.session.order.borrow();
        match (end, order) {
            (End::Lost, Order::Fade | Order::Cut) => End::Replaced,
            (End::Lost, Order::Goodbye(_)) => End::Left,
            _ => end,
        }
    }

    /// Writes until the session ends.
    async fn write(&self, sink: &mut SplitSink<Socket, Message>) -> End {
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

    /// Pings, and ends when a pong does not come.
    ///
    /// A connection can go silent for good while new ones work, when something between the ends
    /// has lost track of it. Nothing fails then: writes fill the kernel's buffer and reads wait.
    /// The missing pong is what shows it, and a new connection decides whether the peer is gone.
    async fn watch(&self) -> End {
        let options = &self.shared.options;
        let mut seq = 0;
        loop {
            sleep(options.ping_interval).await;
            seq += 1;
            self.ping_due.set(Some(seq));
            self.ping.notify_one();
            if !self.is_answered(seq).await {
                return self.unless_left(End::Silent);
            }
        }
    }

    /// Whether ping `seq` is answered in time.
    async fn is_answered(&self, seq: u64) -> bool {
        let patience = self.shared.options.pong_timeout;
        let mut deadline = Instant::now() + patience;
        while self.answered.get() < seq {
            tokio::select! {
                () = self.pong.notified() => {}
                () = sleep_until(deadline) => {
                    // Our own delay is not the peer's silence: after a held-up thread the pong
                    // may lie unread, and a slow owner keeps the reader from reading it.
                    let held_up = deadline.elapsed() > OWN_STALL || !self.reading.get();
                    if !held_up {
                        return false;
                    }
                    deadline = Instant::now() + patience;
                }
            }
        }
        true
    }

    /// Ends a session that was told to end and does not come to it.
    async fn overstay(&self) -> End {
        let mut orders = self.session.order.subscribe();
        // The sender lives in `self.session`, so that the wait cannot fail.
        let _ = orders.wait_for(|order| *order != Order::Run).await;
        let order = *orders.borrow();
        match order {
            Order::Cut => return End::Replaced,
            // The mesh that stops has a limit of its own.
            Order::Goodbye(GoodbyeReason::Stopping) => pending().await,
            _ => sleep(self.shared.options.handshake_timeout).await,
        }
        self.unless_left(End::Lost)
    }
}

/// End by an error of the websocket.
fn ended_by(refusal: Refusal) -> End {
    match refusal {
        Refusal::Closed => End::Lost,
        other => End::Bad(other),
    }
}
