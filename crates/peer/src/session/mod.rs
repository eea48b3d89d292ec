//! Lifecycle of one authenticated connection.
//!
//! Four futures run in one task: a reader, a writer, a keepalive, and a timer that enforces a
//! command to end. The first to complete ends the session; its result decides whether the peer is
//! reopened or down.

mod keepalive;
mod read;
mod write;

use crate::{
    event::DownReason,
    frame::GoodbyeReason,
    opening::{
        close_with_refusal,
        OpenedSession, //
    },
    outbox::Outbox,
    refusal::Refusal,
    registry::{
        Session, //
        SessionCommand,
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

/// Why a session ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SessionEnd {
    /// The connection broke or the remote end closed it.
    Lost,
    /// A pong did not arrive in time.
    Silent,
    /// The remote end said goodbye.
    Goodbye(GoodbyeReason),
    /// The local end said goodbye.
    LocalGoodbye,
    /// Another session replaced it.
    Replaced,
    /// The remote end violated the protocol.
    Violation(Refusal),
}

/// State shared by the futures of a session.
struct SessionContext<'a> {
    /// The mesh.
    shared: &'a Rc<Shared>,
    /// Remote instance.
    instance: InstanceId,
    /// Its incarnation.
    incarnation: Incarnation,
    /// The registry's handle to the session.
    session: Rc<Session>,
    /// Frames queued for the peer.
    outbox: Rc<Outbox>,
    /// Whether the reader is waiting for the connection rather than for the event budget.
    reading: Cell<bool>,
    /// Number of the ping to be written.
    ping_due: Cell<Option<u64>>,
    /// Wakes the writer to send a ping.
    ping_requested: Notify,
    /// When the last ping was written, until its pong arrives.
    ping_sent_at: Cell<Option<Instant>>,
    /// Number of the last ping that was answered.
    last_pong: Cell<u64>,
    /// Wakes the keepalive when a pong arrives.
    pong_received: Notify,
}

/// Transfers frames both ways until the session ends, then reports how it ended.
pub(crate) async fn run_session(shared: &Rc<Shared>, opened: OpenedSession) {
    let context = SessionContext {
        shared,
        instance: opened.remote.hello.instance,
        incarnation: opened.remote.hello.incarnation,
        session: opened.admission.session,
        outbox: opened.admission.outbox,
        reading: Cell::new(true),
        ping_due: Cell::new(None),
        ping_requested: Notify::new(),
        ping_sent_at: Cell::new(None),
        last_pong: Cell::new(0),
        pong_received: Notify::new(),
    };
    let (mut sink, mut stream) = opened.socket.split();
    let end = tokio::select! {
        biased;
        end = context.read(&mut stream) => end,
        end = context.write(&mut sink) => end,
        end = context.keepalive() => end,
        end = context.enforce_end() => end,
    };
    context.report_end(end);
    if let SessionEnd::Violation(refusal) = end {
        let socket = stream
            .reunite(sink)
            .expect("both halves belong to one socket");
        close_with_refusal(socket, refusal).await;
    }
}

impl SessionContext<'_> {
    /// Reports to the mesh how the session ended.
    fn report_end(&self, end: SessionEnd) {
        let shared = self.shared;
        let counters = &shared.counters;
        match end {
            SessionEnd::Replaced => {}
            SessionEnd::Lost => self.report_lost(DownReason::Lost),
            SessionEnd::Silent => {
                counters.silent_sessions.increment();
                self.report_lost(DownReason::Silent);
            }
            SessionEnd::Violation(_) => {
                counters.invalid_frames.increment();
                self.report_lost(DownReason::Lost);
            }
            // A partner may close a session that it dialled itself and still accept one dialled
            // from here.
            SessionEnd::Goodbye(GoodbyeReason::Unwanted) if self.is_partner() => {
                self.report_lost(DownReason::Unwanted);
            }
            SessionEnd::Goodbye(GoodbyeReason::Unwanted) => self.report_ended(DownReason::Unwanted),
            SessionEnd::Goodbye(GoodbyeReason::Stopping) => {
                shared.peer_stopped(&self.instance, self.incarnation)
            }
            SessionEnd::LocalGoodbye => self.report_ended(DownReason::Dropped),
        }
    }

    /// Reports the session as lost; another one may replace it.
    fn report_lost(&self, reason: DownReason) {
        self.shared
            .session_lost(&self.instance, &self.session, reason);
    }

    /// Reports the session as ended and its peer as down.
    fn report_ended(&self, reason: DownReason) {
        self.shared
            .session_ended(&self.instance, &self.session, reason);
    }

    /// Whether the remote instance is among the dialled partners.
    fn is_partner(&self) -> bool {
        self.shared.partners.borrow().contains_key(&self.instance)
    }

    /// Adjusts `end` for a session that the local end is closing: there, the remote end's close is
    /// the expected response and no loss.
    fn classify_end(&self, end: SessionEnd) -> SessionEnd {
        let command = *self.session.command.borrow();
        match (end, command) {
            (SessionEnd::Lost, SessionCommand::StopWriting | SessionCommand::Abort) => {
                SessionEnd::Replaced
            }
            (SessionEnd::Lost, SessionCommand::Goodbye(_)) => SessionEnd::LocalGoodbye,
            _ => end,
        }
    }

    /// Ends a session that does not follow a command to end in time.
    async fn enforce_end(&self) -> SessionEnd {
        let mut commands = self.session.command.subscribe();
        // The sender lives in `self.session`, so the wait cannot fail.
        let _ = commands
            .wait_for(|command| *command != SessionCommand::Run)
            .await;
        let command = *commands.borrow();
        match command {
            SessionCommand::Abort => return SessionEnd::Replaced,
            // `Mesh::close` has its own timeout.
            SessionCommand::Goodbye(GoodbyeReason::Stopping) => pending().await,
            _ => sleep(self.shared.options.handshake_timeout).await,
        }
        self.classify_end(SessionEnd::Lost)
    }
}
