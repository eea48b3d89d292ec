//! This entry's place among the others: sessions to those that the overlay names.
//!
//! An entry writes one row at its start and reads the rows of the others; the overlay then says to which of them it
//! keeps sessions. Whether an entry is up is seen by sessions, not in the store, so that an outage of the
//! store takes no entry away and no entry has to write to it at intervals.

use crate::{
    control::{
        listing::{
            pause,
            PAUSE, //
        },
        Control, //
    },
    rows::RowReader,
};
use base::{
    InstanceId,
    Now, //
};
use event::{
    emit,
    Event as LogEvent, //
};
use overlay::SessionEnd;
use peer::{
    DownReason,
    Event,
    Events,
    Frame,
    Identity,
    Key,
    Mesh,
    Options,
    Partner, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};
use rand::RngExt;
use std::{
    net::TcpListener,
    rc::Rc,
    time::Duration, //
};

/// Time between two looks of a hub at the rows of the others. A newcomer opens the sessions itself, so this only finds
/// what its first look missed, and what is long gone.
const HUB_LOOK: Duration = Duration::from_secs(30);
/// The same of a leaf, which learns of the others through its hubs.
const LEAF_LOOK: Duration = Duration::from_secs(60);
/// Time after which an entry that wasn't listed looks again, before it takes its place: of entries that start
/// together, the first to look sees few.
const SETTLE_LOOK: Duration = Duration::from_millis(700);
/// Time between two looks whether a leaf still has a hub.
const ALONE_LOOK: Duration = Duration::from_millis(1500);
/// So many such looks in a row without one make it look at the rows again.
const ALONE_LOOKS: u32 = 2;
impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Joins the other entries, and keeps looking for new ones.
    pub(super) async fn join(self: Rc<Self>) {
        let rows = loop {
            match self.scan().await {
                Some(rows) => break rows,
                None => pause(PAUSE).await,
            }
        };
        self.take_entries(&rows);
        let key = self.shared_key(&rows).await;
        let events = loop {
            match self.open_mesh(&key) {
                Ok((mesh, events)) => {
                    *self.mesh.borrow_mut() = Some(mesh);
                    break events;
                }
                Err(error) => {
                    emit(&LogEvent::NoPeersPort {
                        error: error.to_string(),
                    });
                    pause(PAUSE).await;
                }
            }
        };
        let control = self.clone();
        actix_rt::spawn(async move { control.hear(events).await });
        let mut rows = rows;
        loop {
            self.forget_lost(&rows, self.now()).await;
            self.remove_expired_crash_rows(&rows).await;
            if self.known.borrow().stopping || self.is_listed(&rows) {
                self.known.borrow_mut().settled = true;
                self.update_partners(self.now());
                self.until_next_look().await;
            } else if self.register().await {
                pause(SETTLE_LOOK).await;
            } else {
                pause(PAUSE).await;
            }
            rows = loop {
                match self.scan().await {
                    Some(rows) => break rows,
                    None => pause(PAUSE).await,
                }
            };
            self.take_entries(&rows);
        }
    }

    /// Waits until the rows of the others are to be looked at again.
    async fn until_next_look(&self) {
        let begun = self.now();
        let mut alone = 0;
        while alone < ALONE_LOOKS {
            pause(ALONE_LOOK).await;
            let now = self.now();
            let known = self.known.borrow();
            let is_hub = known.overlay.is_hub(now);
            let interval = if is_hub { HUB_LOOK } else { LEAF_LOOK };
            if now.saturating_sub(begun) >= interval {
                return;
            }
            let has_hub = is_hub || known.overlay.primary_hub(now).is_some();
            alone = if has_hub { 0 } else { alone + 1 };
        }
    }

    fn open_mesh(&self, key: &str) -> std::io::Result<(Mesh, Events)> {
        let settings = &self.settings;
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation: self.incarnation,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let options = Options {
            // A lost entry is out of the answers to look-ups within some three seconds, well
            // before its callers would have to notice it by time-outs of their own.
            ping_interval: Duration::from_millis(700),
            pong_timeout: Duration::from_millis(1200),
            reopen_timeout: Duration::from_millis(1500),
            backoff_max: Duration::from_millis(1500),
            seed: rand::rng().random(),
            ..Options::default()
        };
        let listener = TcpListener::bind(settings.peers_addr)?;
        Mesh::start(listener, identity, Key::from_text(key), options)
    }

    /// Keeps sessions to those that the overlay names now.
    pub(super) fn update_partners(&self, now: Now) {
        let mut known = self.known.borrow_mut();
        if !known.settled {
            return;
        }
        let partners = known.overlay.session_targets(now).into_iter();
        let partners: Vec<Partner> = partners
            .map(|member| Partner {
                instance: member.instance,
                addr: member.peers_addr,
            })
            .collect();
        if partners == known.partners {
            return;
        }
        known.partners.clone_from(&partners);
        drop(known);
        if let Some(mesh) = &*self.mesh.borrow() {
            mesh.set_partners(partners);
        }
    }

    /// Takes what happens on the sessions.
    async fn hear(&self, mut events: Events) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Up(info) | Event::Reopened(info) => {
                    emit(&LogEvent::EntryConnected {
                        entry: info.instance.clone(),
                        incarnation: info.incarnation,
                    });
                    let mut known = self.known.borrow_mut();
                    known.overlay.on_session_up(
                        &info.instance,
                        &info.region,
                        &info.failure_domain,
                        info.rtt,
                    );
                    known.rosters.forget(&info.instance);
                    drop(known);
                    self.send_state(&info.instance);
                    self.send_positions(&info.instance);
                    self.send_all_crashes(&info.instance);
                    self.send_all_limits(&info.instance);
                    self.ask_for_warmth(&info.instance);
                }
                Event::Frame { from, frame, .. } => {
                    if let Frame::Note(note) = frame {
                        self.on_note(&from, &note.payload);
                    }
                }
                Event::Down { instance, why, .. } => self.lose(&instance, why),
                Event::Stranger { addr, why } => {
                    emit(&LogEvent::StrangerRefused {
                        addr: addr.to_string(),
                        why: format!("{why:?}"),
                    });
                }
            }
        }
    }

    fn lose(&self, instance: &InstanceId, why: DownReason) {
        emit(&LogEvent::EntryLost {
            entry: instance.clone(),
            why: format!("{why:?}"),
        });
        let now = self.now();
        let down = match why {
            DownReason::Unwanted | DownReason::Dropped => SessionEnd::Unneeded,
            DownReason::Stopping
            | DownReason::Silent
            | DownReason::Lost
            | DownReason::Restarted => SessionEnd::Lost,
        };
        let mut known = self.known.borrow_mut();
        known.overlay.on_session_down(instance, down, now);
        known.states.remove(instance);
        known.sums.forget_session(instance);
        known.rosters.forget(instance);
        known.operator.follow.remove_hub(instance);
        known.upstreams.follow.remove_hub(instance);
        drop(known);
        self.feed_due.notify_waiters();
        self.update_partners(now);
        self.publish_entries();
    }
}
