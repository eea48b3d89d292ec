//! This entry's place among the others: its row in the store, and sessions to them.
//!
//! An entry writes one row at its start and reads the rows of the others; the overlay then says to which of them it
//! keeps sessions. Whether an entry is up is seen by sessions, not in the store, so that an outage of the
//! store takes no entry away and no entry has to write to it at intervals.

use crate::{
    control::Control,
    metric,
    rows::RowReader,
    settings::Settings, //
};
use base::{
    InstanceId,
    Now, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event as LogEvent, //
};
use overlay::{
    Down,
    Member, //
};
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
    Check,
    Commit,
    Feed,
    Outcome,
    Row,
    Table as StoreTable,
    Txn,
    Write, //
};
use rand::RngExt;
use std::{
    net::TcpListener,
    rc::Rc,
    time::Duration, //
};

/// Prefix of the rows of entries.
const ENTRIES: &str = "entries/";
/// Row of the key that entries prove themselves by to each other. Whoever reads the store is one of
/// them. It stands among their rows, so that one call reads all; no instance has such a name.
const KEY_ROW: &str = "entries/.key";
/// Bytes of that key.
const KEY_BYTES: usize = 32;
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
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(600);
/// After this time without a session, the row of another entry is removed: an instance that was
/// replaced never removes its own.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// This entry as the others know it.
pub(super) fn own_member(settings: &Settings) -> Member {
    Member {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        peers_addr: settings.peers_addr,
        cpu_milli: settings.cpu_milli,
    }
}

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
            let has_hub = is_hub || known.overlay.primary(now).is_some();
            alone = if has_hub { 0 } else { alone + 1 };
        }
    }

    /// The key that all entries share; the first one makes it.
    async fn shared_key(&self, rows: &[Row]) -> ByteString {
        if let Some(row) = rows.iter().find(|row| row.key == KEY_ROW) {
            return row.value.clone();
        }
        let key = ByteString::from_static(KEY_ROW);
        let random: [u8; KEY_BYTES] = rand::rng().random();
        let value: String = random.iter().map(|byte| format!("{byte:02x}")).collect();
        let value = ByteString::from(value);
        loop {
            let check = Check::Absent { key: key.clone() };
            let write = Write::Put {
                key: key.clone(),
                value: value.clone(),
            };
            let txn = Txn {
                checks: vec![check],
                writes: vec![write],
            };
            match self.store.commit(txn).await {
                Outcome::Done(Commit::Committed { .. }) => return value,
                Outcome::Done(Commit::Conflict { rows }) => {
                    if let Some(Some(row)) = rows.into_iter().next() {
                        return row.value;
                    }
                }
                // Whatever came of it, the next try finds the key that was made.
                Outcome::NotDone(_) | Outcome::Unknown(_) => {}
            }
            pause(PAUSE).await;
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

    fn own_row(&self) -> ByteString {
        format!("{ENTRIES}{}", self.settings.instance).into()
    }

    /// Writes this entry's row; whether it is known to stand.
    async fn register(&self) -> bool {
        let value = serde_json::to_string(&own_member(&self.settings))
            .expect("plain fields have a text form");
        let write = Write::Put {
            key: self.own_row(),
            value: value.into(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        let done = matches!(self.store.commit(txn).await, Outcome::Done(_));
        let outcome = if done { "done" } else { "failed" };
        metrics::counter!(metric::STORE_CALLS, "call" => "register", "outcome" => outcome)
            .increment(1);
        done
    }

    /// Removes this entry's row, and tells the others that it takes no more callers.
    pub(super) async fn leave(&self) {
        let write = Write::Delete {
            key: self.own_row(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        // Others forget a row that has no session behind it.
        if !matches!(self.store.commit(txn).await, Outcome::Done(_)) {
            emit(&LogEvent::OwnRowNotRemoved);
        }
    }

    /// Reads the rows of all entries.
    async fn scan(&self) -> Option<Vec<Row>> {
        let scanned = self.store.scan(ENTRIES).await;
        let outcome = if scanned.is_ok() { "done" } else { "failed" };
        metrics::counter!(metric::STORE_CALLS, "call" => "entries", "outcome" => outcome)
            .increment(1);
        match scanned {
            Ok(rows) => Some(rows),
            Err(error) => {
                emit(&LogEvent::EntriesNotRead {
                    error: error.to_string(),
                });
                None
            }
        }
    }

    /// Takes the rows of all entries.
    fn take_entries(&self, rows: &[Row]) {
        let mut registered = Vec::with_capacity(rows.len());
        for row in rows.iter().filter(|row| row.key != KEY_ROW) {
            match serde_json::from_str::<Member>(&row.value) {
                Ok(member) => registered.push(member),
                Err(error) => {
                    emit(&LogEvent::RowUnreadable {
                        row: row.key.to_string(),
                        findings: vec![error.to_string()],
                    });
                }
            }
        }
        let own = own_member(&self.settings);
        let is_new = !registered.contains(&own);
        if is_new {
            registered.retain(|member| member.instance != own.instance);
            registered.push(own);
        }
        let mut known = self.known.borrow_mut();
        known.overlay.take_registered(registered);
        known.is_new.get_or_insert(is_new);
        drop(known);
        self.publish_entries();
    }

    /// Whether this entry's row stands as it is to be.
    fn is_listed(&self, rows: &[Row]) -> bool {
        let own = rows.iter().find(|row| row.key == self.own_row());
        let listed = own.and_then(|row| serde_json::from_str::<Member>(&row.value).ok());
        listed == Some(own_member(&self.settings))
    }

    /// Keeps sessions to those that the overlay names now.
    pub(super) fn update_partners(&self, now: Now) {
        let mut known = self.known.borrow_mut();
        if !known.settled {
            return;
        }
        let partners = known.overlay.partners(now).into_iter();
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

    /// Removes the rows of entries of a hub's domain that have been gone for long.
    async fn forget_lost(&self, rows: &[Row], now: Now) {
        for row in self.long_missing(rows, now) {
            let txn = Txn {
                checks: vec![Check::Version {
                    key: row.key.clone(),
                    version: row.version,
                }],
                writes: vec![Write::Delete {
                    key: row.key.clone(),
                }],
            };
            // Another entry may have done it, or its owner may be back.
            let outcome = self.store.commit(txn).await;
            emit(&LogEvent::LostEntryRow {
                row: row.key.to_string(),
                outcome: format!("{outcome:?}"),
            });
        }
    }

    fn long_missing<'a>(&self, rows: &'a [Row], now: Now) -> Vec<&'a Row> {
        let mut known = self.known.borrow_mut();
        let known = &mut *known;
        if !known.overlay.is_hub(now) {
            known.missing.clear();
            return Vec::new();
        }
        let instance_of = |row: &Row| -> InstanceId {
            let instance = row.key.strip_prefix(ENTRIES).unwrap_or(&row.key);
            instance.into()
        };
        let gone = |row: &&Row| known.overlay.is_gone(&instance_of(row));
        let gone: Vec<&Row> = rows.iter().filter(gone).collect();
        let since = gone.iter().map(|row| {
            let instance = instance_of(row);
            let since = known.missing.get(&instance).copied().unwrap_or(now);
            (instance, since)
        });
        known.missing = since.collect();
        let long = |row: &&Row| now.saturating_sub(known.missing[&instance_of(row)]) > FORGET_AFTER;
        gone.into_iter().filter(long).collect()
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
                    known.overlay.take_up(
                        &info.instance,
                        &info.region,
                        &info.failure_domain,
                        info.rtt,
                    );
                    known.rosters.forget(&info.instance);
                    drop(known);
                    self.send_state(&info.instance);
                    self.send_positions(&info.instance);
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
            DownReason::Unwanted | DownReason::Dropped => Down::Unneeded,
            DownReason::Stopping
            | DownReason::Silent
            | DownReason::Lost
            | DownReason::Restarted => Down::Lost,
        };
        let mut known = self.known.borrow_mut();
        known.overlay.take_down(instance, down, now);
        known.states.remove(instance);
        known.sums.forget(instance);
        known.rosters.forget(instance);
        known.operator.follow.stop(instance);
        known.upstreams.follow.stop(instance);
        drop(known);
        self.feed_due.notify_waiters();
        self.update_partners(now);
        self.publish_entries();
    }
}

/// Waits about so long, not in step with other entries.
async fn pause(about: Duration) {
    let jitter = rand::rng().random_range(0.8..1.2);
    tokio::time::sleep(about.mul_f64(jitter)).await;
}
