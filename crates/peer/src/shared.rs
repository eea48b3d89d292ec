//! State shared by all tasks of one mesh, on the control thread.

use crate::{
    counters::Counters,
    event::{
        DownReason,
        Event,
        QueuedEvent, //
    },
    frame::Frame,
    handshake::{
        AuthenticatedPeer,
        SessionId, //
    },
    key::Key,
    mesh::{
        Identity,
        Options, //
    },
    refusal::Refusal,
    registry::{
        Admission,
        AdmissionOutcome,
        Registry,
        Session, //
    }, //
};
use base::{
    Incarnation,
    InstanceId, //
};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::{
        mpsc::UnboundedSender,
        watch,
        Notify,
        OwnedSemaphorePermit,
        Semaphore, //
    },
    task::spawn_local, //
};

/// Overhead charged to the event budget for each queued frame, besides the frame's size.
const EVENT_OVERHEAD_BYTES: usize = 128;

/// Lifecycle of a mesh.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// Sessions are opened, accepted and maintained.
    Running,
    /// No new sessions are opened; existing ones say goodbye.
    Closing,
    /// All tasks are cancelled.
    Ended,
}

/// A partner that is being dialled.
pub(crate) struct DialledPartner {
    /// Its address.
    pub(crate) addr: SocketAddr,
    /// Ends its dialling task when set to false.
    pub(crate) wanted: watch::Sender<bool>,
}

/// State of one mesh; no borrow of a cell is held across an `await`.
pub(crate) struct Shared {
    /// Identity of the local instance.
    pub(crate) identity: Identity,
    /// Shared key.
    pub(crate) key: Key,
    /// Limits and timeouts.
    pub(crate) options: Options,
    /// Address at which the mesh listens.
    pub(crate) local_addr: SocketAddr,
    /// Counters.
    pub(crate) counters: Arc<Counters>,
    /// Peers that are up.
    pub(crate) registry: RefCell<Registry>,
    /// Partners that are dialled.
    pub(crate) partners: RefCell<BTreeMap<InstanceId, DialledPartner>>,
    /// Wakes tasks that wait for a change of the registry.
    pub(crate) registry_changed: Notify,
    /// Lifecycle phase.
    pub(crate) phase: watch::Sender<Phase>,
    /// Events for the owner.
    events: UnboundedSender<QueuedEvent>,
    /// Remaining budget for frames queued for the owner, in bytes.
    event_budget: Arc<Semaphore>,
}

impl Shared {
    /// State of a mesh that has not started yet.
    pub(crate) fn new(
        identity: Identity,
        key: Key,
        options: Options,
        local_addr: SocketAddr,
        events: UnboundedSender<QueuedEvent>,
    ) -> Self {
        // With a budget below the largest frame, that frame would wait forever.
        let budget = usize::try_from(options.event_bytes).unwrap_or(usize::MAX);
        let budget = budget.max(options.max_frame_bytes + EVENT_OVERHEAD_BYTES);
        Self {
            registry: RefCell::new(Registry::new(identity.instance.clone())),
            identity,
            key,
            options,
            local_addr,
            counters: Arc::default(),
            partners: RefCell::default(),
            registry_changed: Notify::new(),
            phase: watch::Sender::new(Phase::Running),
            events,
            event_budget: Arc::new(Semaphore::new(budget.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Runs `task` until it or the mesh ends.
    pub(crate) fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let shared = self.clone();
        spawn_local(async move {
            tokio::select! {
                () = shared.wait_for_phase(Phase::Ended) => {}
                () = task => {}
            }
        });
    }

    /// Waits until the mesh has reached `phase`.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        let mut watched = self.phase.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = watched.wait_for(|now| *now >= phase).await;
    }

    /// Waits until the registry satisfies `condition`.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&Registry) -> bool) {
        loop {
            let changed = self.registry_changed.notified();
            tokio::pin!(changed);
            // Subscribe before checking: a change in between would be missed otherwise.
            changed.as_mut().enable();
            if condition(&self.registry.borrow()) {
                return;
            }
            changed.await;
        }
    }

    /// Registers an authenticated session and notifies the owner.
    pub(crate) fn admit(
        &self,
        remote: &AuthenticatedPeer,
        rtt: Duration,
    ) -> Result<Admission, Refusal> {
        if *self.phase.borrow() != Phase::Running {
            return Err(Refusal::Closed);
        }
        let mut registry = self.registry.borrow_mut();
        let admission = registry.admit(remote, rtt, &self.options)?;
        self.counters.sessions.increment();
        let instance = &remote.hello.instance;
        registry.set_rtt(instance, rtt);
        let info = registry
            .peer_info(instance)
            .cloned()
            .expect("an admitted peer is registered");
        match admission.outcome {
            AdmissionOutcome::Up => self.emit(Event::Up(info)),
            AdmissionOutcome::Restarted(incarnation) => {
                self.emit_down(instance, incarnation, DownReason::Restarted);
                self.emit(Event::Up(info));
            }
            AdmissionOutcome::Reopened => {
                self.counters.reopened.increment();
                self.emit(Event::Reopened(info));
            }
            AdmissionOutcome::Duplicate => self.counters.duplicate_sessions.increment(),
        }
        self.registry_changed.notify_waiters();
        Ok(admission)
    }

    /// Handles a lost session; the peer is down unless another session replaces it in time.
    pub(crate) fn session_lost(
        self: &Rc<Self>,
        instance: &InstanceId,
        session: &Session,
        reason: DownReason,
    ) {
        if !self
            .registry
            .borrow_mut()
            .mark_lost(instance, session, reason)
        {
            return;
        }
        self.registry_changed.notify_waiters();
        let shared = self.clone();
        let instance = instance.clone();
        let lost = session.id.clone();
        self.spawn(async move {
            tokio::time::sleep(shared.options.reopen_timeout).await;
            shared.abandon_reopening(&instance, &lost);
        });
    }

    /// Reports the peer as down if `lost` was not replaced.
    pub(crate) fn abandon_reopening(&self, instance: &InstanceId, lost: &SessionId) {
        let abandoned = self.registry.borrow_mut().abandon_reopening(instance, lost);
        if let Some((incarnation, reason)) = abandoned {
            self.emit_down(instance, incarnation, reason);
            self.registry_changed.notify_waiters();
        }
    }

    /// Handles a session that ended for good; its peer is down.
    pub(crate) fn session_ended(
        &self,
        instance: &InstanceId,
        session: &Session,
        reason: DownReason,
    ) {
        let ended = self.registry.borrow_mut().end_session(instance, session);
        if let Some(incarnation) = ended {
            self.emit_down(instance, incarnation, reason);
            self.registry_changed.notify_waiters();
        }
    }

    /// Handles an incarnation's announcement that it is stopping.
    pub(crate) fn peer_stopped(&self, instance: &InstanceId, incarnation: Incarnation) {
        let was_up = self
            .registry
            .borrow_mut()
            .remove_stopped(instance, incarnation);
        if was_up {
            self.emit_down(instance, incarnation, DownReason::Stopping);
            self.registry_changed.notify_waiters();
        }
    }

    /// Reserves event budget for a frame of `size` bytes, waiting until it is available.
    pub(crate) async fn reserve_event_bytes(&self, size: usize) -> OwnedSemaphorePermit {
        let cost = u32::try_from(size + EVENT_OVERHEAD_BYTES).unwrap_or(u32::MAX);
        self.event_budget
            .clone()
            .acquire_many_owned(cost)
            .await
            .expect("the budget is never closed")
    }

    /// Delivers a frame to the owner if the sender's incarnation is still up.
    pub(crate) fn deliver(
        &self,
        from: &InstanceId,
        incarnation: Incarnation,
        frame: Frame,
        permit: OwnedSemaphorePermit,
    ) {
        if !self.registry.borrow().is_up(from, incarnation) {
            return;
        }
        self.counters.received_frames.increment();
        let event = Event::Frame {
            from: from.clone(),
            incarnation,
            frame,
        };
        self.enqueue(event, Some(permit));
    }

    /// Counts a refused connection and notifies the owner, unless the event budget is used up: a
    /// flood of unauthenticated connections must not exhaust memory.
    pub(crate) fn report_refused(&self, addr: SocketAddr, refusal: Refusal) {
        self.counters.refused_connections.increment();
        let cost = u32::try_from(EVENT_OVERHEAD_BYTES).unwrap_or(u32::MAX);
        if let Ok(permit) = self.event_budget.clone().try_acquire_many_owned(cost) {
            self.enqueue(
                Event::Refused {
                    addr,
                    reason: refusal,
                },
                Some(permit),
            );
        }
    }

    /// Notifies the owner that a peer is down.
    fn emit_down(&self, instance: &InstanceId, incarnation: Incarnation, reason: DownReason) {
        self.emit(Event::Down {
            instance: instance.clone(),
            incarnation,
            reason,
        });
    }

    /// Notifies the owner; changes of peers are not subject to the event budget.
    fn emit(&self, event: Event) {
        self.enqueue(event, None);
    }

    /// Queues an event.
    fn enqueue(&self, event: Event, permit: Option<OwnedSemaphorePermit>) {
        // This fails only if the owner has dropped its `Events`.
        let _ = self.events.send(QueuedEvent { event, permit });
    }
}
