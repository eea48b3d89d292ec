//! What all tasks of one mesh share, on the control thread.

use crate::{
    counters::Counters,
    event::{
        DownReason,
        Event,
        Queued, //
    },
    frame::Frame,
    handshake::{
        Proven,
        SessionId, //
    },
    key::Key,
    mesh::{
        Identity,
        Options, //
    },
    refusal::Refusal,
    registry::{
        Admitted,
        News,
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

/// What a frame costs besides its bytes, among those that wait for the owner.
const EVENT_OVERHEAD_BYTES: usize = 128;

/// Life of a mesh.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// Dials, listens and carries.
    Running,
    /// Opens no new session; present ones say goodbye.
    Closing,
    /// All tasks end where they stand.
    Ended,
}

/// A partner that is being dialled.
pub(crate) struct Kept {
    /// Where.
    pub(crate) addr: SocketAddr,
    /// Ends its dialling when it turns false.
    pub(crate) wanted: watch::Sender<bool>,
}

/// State of one mesh; no borrow of a cell is held over an `await`.
pub(crate) struct Shared {
    /// Who we are.
    pub(crate) identity: Identity,
    /// Shared key.
    pub(crate) key: Key,
    /// Limits and times.
    pub(crate) options: Options,
    /// Where we listen.
    pub(crate) local_addr: SocketAddr,
    /// What happened so far.
    pub(crate) counters: Arc<Counters>,
    /// Who is up.
    pub(crate) registry: RefCell<Registry>,
    /// Whom we dial.
    pub(crate) partners: RefCell<BTreeMap<InstanceId, Kept>>,
    /// Wakes whoever waits for a change of the registry.
    pub(crate) changed: Notify,
    /// Life of the mesh.
    pub(crate) phase: watch::Sender<Phase>,
    /// Towards the owner.
    events: UnboundedSender<Queued>,
    /// Bytes of frames that may still wait for the owner.
    event_bytes: Arc<Semaphore>,
}

impl Shared {
    /// State of a mesh that has not begun.
    pub(crate) fn new(
        identity: Identity,
        key: Key,
        options: Options,
        local_addr: SocketAddr,
        events: UnboundedSender<Queued>,
    ) -> Self {
        // A budget below one whole frame would make that frame wait for ever.
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
            changed: Notify::new(),
            phase: watch::Sender::new(Phase::Running),
            events,
            event_bytes: Arc::new(Semaphore::new(budget.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Runs `task` until it ends or the mesh does.
    pub(crate) fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let shared = self.clone();
        spawn_local(async move {
            tokio::select! {
                () = shared.reached(Phase::Ended) => {}
                () = task => {}
            }
        });
    }

    /// Waits until the mesh's life has come to `phase`.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut watched = self.phase.subscribe();
        // The sender lives in `self`, so that the wait cannot fail.
        let _ = watched.wait_for(|now| *now >= phase).await;
    }

    /// Waits until `done` holds of the registry.
    pub(crate) async fn until(&self, done: impl Fn(&Registry) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Listening before looking: a change between the two would be missed otherwise.
            changed.as_mut().enable();
            if done(&self.registry.borrow()) {
                return;
            }
            changed.await;
        }
    }

    /// Takes a proven session and tells the owner.
    pub(crate) fn admit(&self, proven: &Proven, rtt: Duration) -> Result<Admitted, Refusal> {
        if *self.phase.borrow() != Phase::Running {
            return Err(Refusal::Closed);
        }
        let mut registry = self.registry.borrow_mut();
        let admitted = registry.admit(proven, rtt, &self.options)?;
        self.counters.sessions.increment();
        let instance = &proven.hello.instance;
        registry.set_rtt(instance, rtt);
        let info = registry
            .info(instance)
            .cloned()
            .expect("an admitted peer is registered");
        match admitted.news {
            News::Up => self.tell(Event::Up(info)),
            News::Restarted(incarnation) => {
                self.tell_down(instance, incarnation, DownReason::Restarted);
                self.tell(Event::Up(info));
            }
            News::Reopened => {
                self.counters.reopened.increment();
                self.tell(Event::Reopened(info));
            }
            News::Duplicate => self.counters.duplicate_sessions.increment(),
        }
        self.changed.notify_waiters();
        Ok(admitted)
    }

    /// A session is lost; the peer is down unless another one comes in time.
    pub(crate) fn lose(self: &Rc<Self>, instance: &InstanceId, session: &Session, why: DownReason) {
        if !self.registry.borrow_mut().lose(instance, session, why) {
            return;
        }
        self.changed.notify_waiters();
        let shared = self.clone();
        let instance = instance.clone();
        let lost = session.id.clone();
        self.spawn(async move {
            tokio::time::sleep(shared.options.reopen_timeout).await;
            shared.give_up(&instance, &lost);
        });
    }

    /// No session came in place of `lost`.
    pub(crate) fn give_up(&self, instance: &InstanceId, lost: &SessionId) {
        let given_up = self.registry.borrow_mut().give_up(instance, lost);
        if let Some((incarnation, why)) = given_up {
            self.tell_down(instance, incarnation, why);
            self.changed.notify_waiters();
        }
    }

    /// A session ended for good, and its peer with it.
    pub(crate) fn end(&self, instance: &InstanceId, session: &Session, why: DownReason) {
        let ended = self.registry.borrow_mut().end(instance, session);
        if let Some(incarnation) = ended {
            self.tell_down(instance, incarnation, why);
            self.changed.notify_waiters();
        }
    }

    /// An incarnation said that it stops.
    pub(crate) fn stop(&self, instance: &InstanceId, incarnation: Incarnation) {
        let was_up = self.registry.borrow_mut().stop(instance, incarnation);
        if was_up {
            self.tell_down(instance, incarnation, DownReason::Stopping);
            self.changed.notify_waiters();
        }
    }

    /// Room for a frame of `size` bytes among those that wait for the owner.
    pub(crate) async fn room(&self, size: usize) -> OwnedSemaphorePermit {
        let cost = u32::try_from(size + EVENT_OVERHEAD_BYTES).unwrap_or(u32::MAX);
        self.event_bytes
            .clone()
            .acquire_many_owned(cost)
            .await
            .expect("the budget is never closed")
    }

    /// Passes a frame to the owner, if its sender still is the one that is up.
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
        self.queue(event, Some(permit));
    }

    /// Counts a connection that was refused and tells the owner, unless many wait already: a flood
    /// of strangers must not fill the memory.
    pub(crate) fn refuse(&self, addr: SocketAddr, why: Refusal) {
        self.counters.strangers.increment();
        let room = u32::try_from(EVENT_OVERHEAD_BYTES).unwrap_or(u32::MAX);
        if let Ok(permit) = self.event_bytes.clone().try_acquire_many_owned(room) {
            self.queue(Event::Stranger { addr, why }, Some(permit));
        }
    }

    /// Tells the owner that a peer is down.
    fn tell_down(&self, instance: &InstanceId, incarnation: Incarnation, why: DownReason) {
        self.tell(Event::Down {
            instance: instance.clone(),
            incarnation,
            why,
        });
    }

    /// Tells the owner; changes of peers never wait behind the budget of frames.
    fn tell(&self, event: Event) {
        self.queue(event, None);
    }

    /// Puts an event into the queue.
    fn queue(&self, event: Event, permit: Option<OwnedSemaphorePermit>) {
        // An owner that dropped its `Events` wants none.
        let _ = self.events.send(Queued { event, permit });
    }
}
