//! The life of one proven connection.
//!
//! Four futures in one task: one reads, one writes, one watches for silence, one for an order to end
//! that is not followed. The first that ends ends the session; what it ended by decides whether the
//! peer is reopened or down.

mod read;
mod watch;
mod write;

use crate::{
    event::DownReason,
    frame::GoodbyeReason,
    opening::{
        refuse,
        Opened, //
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
use futures_util::StreamExt;
use std::{
    cell::Cell,
    future::pending,
    rc::Rc, //
};
use tokio::{
    sync::Notify,
    time::{
        sleep,
        Instant, //
    }, //
};

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

/// What the futures of a session share.
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

    /// What `end` means when we closed the session ourselves: the other end's close is its answer.
    fn unless_left(&self, end: End) -> End {
        let order = *self.session.order.borrow();
        match (end, order) {
            (End::Lost, Order::Fade | Order::Cut) => End::Replaced,
            (End::Lost, Order::Goodbye(_)) => End::Left,
            _ => end,
        }
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
