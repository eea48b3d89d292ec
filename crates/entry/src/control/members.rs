//! This entry's place among the others: its row in the store, and sessions to them.
//!
//! An entry writes one row at its start and reads the rows of the others; it then opens a session to
//! each. Whether an entry lives is seen by its session, not in the store, so that an outage of the
//! store takes no entry away and no entry has to write to it at intervals.

use crate::{
    control::{
        Control,
        Member, //
    },
    metric,
    rows::RowReader,
};
use base::{
    InstanceId,
    Now,
    RegionId, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event as LogEvent, //
};
use peer::{
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
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    time::Duration, //
};

/// Prefix of the rows of entries.
const ENTRIES: &str = "entries/";
/// Row of the key that entries prove themselves by to each other. Whoever reads the store is one of
/// them.
const KEY_ROW: &str = "mesh/key";
/// Bytes of that key.
const KEY_BYTES: usize = 32;
/// Time between two looks at the rows of the others. A newcomer opens the sessions itself, so this
/// only finds what its first look missed.
const LOOK_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(600);
/// After this time without a session, the row of another entry is removed: an instance that was
/// replaced never removes its own.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Value of an entry's row.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EntryRow {
    incarnation: u64,
    region: RegionId,
    peers_addr: SocketAddr,
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Joins the other entries, and keeps looking for new ones.
    pub(super) async fn join(self: Rc<Self>) {
        let key = self.shared_key().await;
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
        while !self.register().await {
            pause(PAUSE).await;
        }
        loop {
            let looked = self.look().await;
            pause(if looked { LOOK_INTERVAL } else { PAUSE }).await;
        }
    }

    /// The key that all entries share; the first one makes it.
    async fn shared_key(&self) -> ByteString {
        let row = ByteString::from_static(KEY_ROW);
        loop {
            let check = Check::Absent { key: row.clone() };
            let read = self.store.read(std::slice::from_ref(&row)).await;
            if let Ok(rows) = read {
                if let Some(Some(row)) = rows.into_iter().next() {
                    return row.value;
                }
                let random: [u8; KEY_BYTES] = rand::rng().random();
                let value: String = random.iter().map(|byte| format!("{byte:02x}")).collect();
                let value = ByteString::from(value);
                let write = Write::Put {
                    key: row.clone(),
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
                    // Whatever came of it, the next read finds the key that was made.
                    Outcome::NotDone(_) | Outcome::Unknown(_) => {}
                }
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
        let row = EntryRow {
            incarnation: self.incarnation,
            region: self.settings.region.clone(),
            peers_addr: self.settings.peers_addr,
        };
        let value = serde_json::to_string(&row).expect("plain fields have a text form");
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

    /// Reads the rows of all entries and opens sessions; whether that worked.
    async fn look(&self) -> bool {
        let Ok(rows) = self.store.scan(ENTRIES).await else {
            metrics::counter!(metric::STORE_CALLS, "call" => "entries", "outcome" => "failed")
                .increment(1);
            return false;
        };
        metrics::counter!(metric::STORE_CALLS, "call" => "entries", "outcome" => "done")
            .increment(1);
        let now = self.now();
        let mut partners = Vec::new();
        let mut registered = BTreeMap::new();
        for row in &rows {
            let instance = row.key.strip_prefix(ENTRIES).unwrap_or(&row.key);
            match serde_json::from_str::<EntryRow>(&row.value) {
                Ok(entry) => {
                    registered.insert(InstanceId::from(instance), entry.region);
                    partners.push(Partner {
                        instance: instance.into(),
                        addr: entry.peers_addr,
                    });
                }
                Err(error) => {
                    emit(&LogEvent::RowUnreadable {
                        row: row.key.to_string(),
                        findings: vec![error.to_string()],
                    });
                }
            }
        }
        self.known.borrow_mut().registered = Some(registered);
        if let Some(mesh) = &*self.mesh.borrow() {
            mesh.set_partners(partners);
        }
        self.publish();
        self.forget_lost(&rows, now).await;
        if !rows.iter().any(|row| row.key == self.own_row()) && !self.known.borrow().stopping {
            self.register().await;
        }
        true
    }

    /// Removes the rows of entries that have been gone for long.
    async fn forget_lost(&self, rows: &[Row], now: Now) {
        let lost: Vec<&Row> = rows
            .iter()
            .filter(|row| {
                let instance = row.key.strip_prefix(ENTRIES).unwrap_or(&row.key);
                let known = self.known.borrow();
                let member = known.members.get(instance);
                member.is_some_and(|member| {
                    !member.up && now.saturating_sub(member.lost_at) > FORGET_AFTER
                })
            })
            .collect();
        for row in lost {
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
                    let state = known.members.remove(&info.instance);
                    let member = Member {
                        region: info.region,
                        up: true,
                        lost_at: Now::ZERO,
                        round_trip: info.rtt,
                        state: state.and_then(|member| member.state),
                        loads: Default::default(),
                    };
                    known.members.insert(info.instance.clone(), member);
                    drop(known);
                    self.send_state(&info.instance);
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

    fn lose(&self, instance: &InstanceId, why: peer::DownReason) {
        emit(&LogEvent::EntryLost {
            entry: instance.clone(),
            why: format!("{why:?}"),
        });
        let now = self.now();
        let mut known = self.known.borrow_mut();
        if let Some(member) = known.members.get_mut(instance) {
            member.up = false;
            member.lost_at = now;
            member.state = None;
            member.loads.1.clear();
        }
        drop(known);
        self.publish();
    }
}

/// Waits about so long, not in step with other entries.
async fn pause(about: Duration) {
    let jitter = rand::rng().random_range(0.8..1.2);
    tokio::time::sleep(about.mul_f64(jitter)).await;
}
