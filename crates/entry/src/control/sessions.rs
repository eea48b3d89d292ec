//! Sessions to the entries that the overlay selects.
//!
//! An entry writes one row at its start and reads the rows of the others; the overlay then determines to which of them
//! it keeps sessions. Sessions, not rows, determine whether an entry is up, so that an outage of the store removes no
//! entry and no entry has to write to the store periodically.

use crate::{
    control::{
        registry::{
            sleep_jittered,
            RETRY_DELAY, //
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

/// Interval between scans of the entries' rows by a hub. A new entry opens its sessions itself, so these scans only
/// find rows that the first scan missed and rows of entries that are long gone.
const HUB_SCAN_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between scans by a leaf, which receives the other entries through its hubs.
const LEAF_SCAN_INTERVAL: Duration = Duration::from_secs(60);
/// Delay of the second scan after this entry has registered, before it opens sessions. Of entries that start together,
/// the first one to scan finds few of the others.
const SECOND_SCAN_DELAY: Duration = Duration::from_millis(700);
/// Interval between checks whether a leaf still has a hub.
const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(1500);
/// Number of consecutive checks without a hub after which a leaf scans the rows again.
const HUB_CHECKS_MAX: u32 = 2;
impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Registers this entry, opens its sessions, and scans for other entries periodically.
    pub(super) async fn join(self: Rc<Self>) {
        let rows = loop {
            match self.scan().await {
                Some(rows) => break rows,
                None => sleep_jittered(RETRY_DELAY).await,
            }
        };
        self.apply_entry_rows(&rows);
        let key = self.shared_key(&rows).await;
        self.channels.relay_key.set(&Key::from_text(&key));
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
                    sleep_jittered(RETRY_DELAY).await;
                }
            }
        };
        let control = self.clone();
        actix_rt::spawn(async move { control.handle_events(events).await });
        let mut rows = rows;
        loop {
            self.restore_key(&rows, &key).await;
            self.remove_lost_entries(&rows, self.now()).await;
            self.remove_expired_crash_rows(&rows).await;
            if self.state.borrow().stopping || self.is_registered(&rows) {
                self.state.borrow_mut().joined = true;
                self.update_partners(self.now());
                self.wait_until_next_scan().await;
            } else if self.register().await {
                sleep_jittered(SECOND_SCAN_DELAY).await;
            } else {
                sleep_jittered(RETRY_DELAY).await;
            }
            rows = loop {
                match self.scan().await {
                    Some(rows) => break rows,
                    None => sleep_jittered(RETRY_DELAY).await,
                }
            };
            self.apply_entry_rows(&rows);
        }
    }

    /// Waits until the rows of the entries have to be scanned again.
    async fn wait_until_next_scan(&self) {
        let started = self.now();
        let era = self.store.era();
        let mut failed_checks = 0;
        while failed_checks < HUB_CHECKS_MAX {
            sleep_jittered(HUB_CHECK_INTERVAL).await;
            if self.store.era() != era {
                // The copy from which the store was restored may lack this entry's row.
                self.channels.crashes.store_again(self.now());
                return;
            }
            let now = self.now();
            let state = self.state.borrow();
            let is_hub = state.overlay.is_hub(now);
            let interval = if is_hub {
                HUB_SCAN_INTERVAL
            } else {
                LEAF_SCAN_INTERVAL
            };
            if now.saturating_sub(started) >= interval {
                return;
            }
            let has_hub = is_hub || state.overlay.primary_hub(now).is_some();
            failed_checks = if has_hub { 0 } else { failed_checks + 1 };
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
            // With these values, a lost entry is left out of look-up responses within some three seconds, well before
            // timeouts of its callers would detect the loss.
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

    /// Sets the entries that sessions are kept to, as selected by the overlay.
    pub(super) fn update_partners(&self, now: Now) {
        let mut state = self.state.borrow_mut();
        if !state.joined {
            return;
        }
        let partners = state.overlay.session_targets(now).into_iter();
        let partners: Vec<Partner> = partners
            .map(|member| Partner {
                instance: member.instance,
                addr: member.peers_addr,
            })
            .collect();
        if partners == state.partners {
            return;
        }
        state.partners.clone_from(&partners);
        drop(state);
        if let Some(mesh) = &*self.mesh.borrow() {
            mesh.set_partners(partners);
        }
    }

    /// Handles the events of the sessions.
    async fn handle_events(&self, mut events: Events) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Up(info) | Event::Reopened(info) => {
                    emit(&LogEvent::EntryConnected {
                        entry: info.instance.clone(),
                        incarnation: info.incarnation,
                    });
                    let mut state = self.state.borrow_mut();
                    state.overlay.on_session_up(
                        &info.instance,
                        &info.region,
                        &info.failure_domain,
                        info.rtt,
                    );
                    state.rosters.forget_session(&info.instance);
                    state.quotas.forget_session(&info.instance);
                    drop(state);
                    self.send_state(&info.instance);
                    self.send_positions(&info.instance);
                    self.send_all_crashes(&info.instance);
                    self.send_all_departures(&info.instance);
                    self.send_all_limits(&info.instance);
                    self.request_warm_keys(&info.instance);
                }
                Event::Frame { from, frame, .. } => {
                    if let Frame::Note(note) = frame {
                        self.on_payload(&from, &note.payload);
                    }
                }
                Event::Down {
                    instance,
                    reason: why,
                    ..
                } => self.on_session_down(&instance, why),
                Event::Refused { addr, reason: why } => {
                    emit(&LogEvent::StrangerRefused {
                        addr: addr.to_string(),
                        why: format!("{why:?}"),
                    });
                }
            }
        }
    }

    fn on_session_down(&self, instance: &InstanceId, why: DownReason) {
        emit(&LogEvent::EntryLost {
            entry: instance.clone(),
            why: format!("{why:?}"),
        });
        let now = self.now();
        let session_end = match why {
            DownReason::Unwanted | DownReason::Dropped => SessionEnd::Unneeded,
            DownReason::Stopping
            | DownReason::Silent
            | DownReason::Lost
            | DownReason::Restarted => SessionEnd::Lost,
        };
        let mut state = self.state.borrow_mut();
        state.overlay.on_session_down(instance, session_end, now);
        state.entry_states.remove(instance);
        state.load_sums.forget_session(instance);
        state.rosters.forget_session(instance);
        state.quotas.forget_session(instance);
        state.operator.follower.remove_hub(instance);
        state.upstreams.follower.remove_hub(instance);
        drop(state);
        self.feed_due.notify_waiters();
        self.update_partners(now);
        self.publish_entries();
    }
}
