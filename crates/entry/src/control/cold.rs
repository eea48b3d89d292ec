//! Leases of upstreams that are cold or state a limit: only the entry that holds the lease sends to them.
//!
//! Such an upstream accepts few requests per second from all entries combined. One entry of its region holds the
//! whole of that, by a row of the store (crate `lease`). Entries that differ on who else there is then claim the
//! same row, and one of them gets it. The upstream ranks the entries: each next one claims a little later, and the
//! one that holds the lease tells the others, so that they need not ask the store.

use crate::{
    control::{
        Control,
        Known, //
    },
    message::Message,
    metric,
    rows::RowReader,
};
use balance::{
    affinity_hash,
    rendezvous_score, //
};
use base::{
    InstanceId,
    Now,
    RegionId,
    UpstreamId, //
};
use bytestring::ByteString;
use event::{
    emit,
    Event, //
};
use lease::{
    Claim,
    Leases,
    RowState,
    Terms,
    Wanted, //
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
use serde::Serialize;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Prefix of the rows of leases; the rest of the key is the upstream's name.
const LEASES: &str = "cold/";
/// Terms of the leases.
const TERMS: Terms = Terms {
    // Longer than most upstreams are cold, so that few leases are renewed.
    length: Duration::from_secs(4),
    // The second for which the bound is stated, and the way of what was sent last.
    gap: Duration::from_millis(1500),
    // A call to the store from the farthest region, and the others' hearing of it.
    claim_stagger: Duration::from_millis(400),
    // How long a call to the store is waited for.
    retry_delay: Duration::from_millis(1000),
};
/// Claims of one transaction, which holds a hundred conditions and writes.
const CLAIMS_MAX: usize = 40;
/// Longest name of an upstream of which a lease is claimed: a key that the store refuses would take the other claims
/// of its transaction along.
const NAME_BYTES_MAX: usize = 120;
/// Longest time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(250);
/// Time between two looks for rows that nobody needs any more; a lease that is in use is renewed many times in it.
const SWEEP: Duration = Duration::from_secs(60);

/// Value of a lease's row, for whoever reads the table.
#[derive(Debug, Serialize)]
struct LeaseRow<'a> {
    entry: &'a str,
    incarnation: u64,
}

/// Leases of a new process: whatever a former one held is another's.
pub(super) fn none_held() -> Leases {
    Leases::new(TERMS)
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Claims leases of the cold upstreams of this region, for as long as there are any.
    pub(super) async fn hold_cold_leases(&self) {
        loop {
            // A change of the picture, or what comes due by itself.
            let changed = self.cold_due.notified();
            let _ = tokio::time::timeout(LOOK, changed).await;
            loop {
                let asked_at = self.now();
                let claims = self.due_claims(asked_at);
                if claims.is_empty() {
                    break;
                }
                self.claim(&claims, asked_at).await;
            }
        }
    }

    fn due_claims(&self, now: Now) -> Vec<Claim> {
        let mut known = self.known.borrow_mut();
        let wanted = self.wanted_leases(&known, now);
        known.cold_leases.set_wanted(wanted, now);
        let held = known.cold_leases.held(now).count();
        metrics::gauge!(metric::COLD_LEASES).set(held as f64);
        known.cold_leases.take_due(CLAIMS_MAX, now)
    }

    /// Returns the upstreams whose leases this entry claims, and how many entries each ranks before this one.
    ///
    /// These are the open upstreams of this region that are cold or state a limit, and those that state a limit in
    /// regions without entries. There are none once this entry is about to stop, since its callers go elsewhere.
    fn wanted_leases(&self, known: &Known, now: Now) -> Vec<Wanted> {
        let limited = self.channels.limits.limited();
        if known.stopping || (now >= known.cold_until && limited.is_empty()) {
            return Vec::new();
        }
        let own_region = &self.settings.region;
        let live = known.overlay.live();
        let has_entries = |region: &RegionId| {
            region == own_region || live.values().any(|entry| entry.region == *region)
        };
        let upstreams = known.picture.upstreams(now);
        let cold = upstreams.filter(|(listed, closed, cold_until)| {
            let short = listed.id.len() <= NAME_BYTES_MAX;
            let is_limited = limited.contains(&listed.id);
            let is_eligible =
                listed.region == *own_region || (is_limited && !has_entries(&listed.region));
            !closed && short && (now < *cold_until || is_limited) && is_eligible
        });
        let mut cold = cold.map(|(listed, ..)| listed).peekable();
        if cold.peek().is_none() {
            return Vec::new();
        }
        let others: Vec<(u64, &RegionId)> = live
            .iter()
            .map(|(instance, entry)| (hash(instance), &entry.region))
            .collect();
        let own = hash(&self.settings.instance);
        cold.map(|listed| {
            let of = hash(&listed.id);
            // An upstream of this region is claimed by entries of this region only; one of a region without entries is
            // claimed by all entries.
            let is_claimant =
                |region: &RegionId| region == own_region || listed.region != *own_region;
            let before = |(other, region): &&(u64, &RegionId)| {
                is_claimant(region) && rendezvous_score(of, *other) > rendezvous_score(of, own)
            };
            Wanted {
                subject: listed.id.clone(),
                order: others.iter().filter(before).count() as u32,
            }
        })
        .collect()
    }

    async fn claim(&self, claims: &[Claim], asked_at: Now) {
        let outcome = self.store.commit(self.txn_of(claims)).await;
        let now = self.now();
        let mut known = self.known.borrow_mut();
        let leases = &mut known.cold_leases;
        let (outcome, row_version) = match outcome {
            Outcome::Done(Commit::Committed { version }) => {
                leases.granted(claims, version, asked_at, now);
                ("granted", version)
            }
            Outcome::Done(Commit::Conflict { rows }) => {
                leases.refused(&standings(claims, rows), now);
                ("refused", 0)
            }
            // Made again after a while; until then nobody can know whether it stands.
            Outcome::NotDone(_) | Outcome::Unknown(_) => ("unknown", 0),
        };
        drop(known);
        metrics::counter!(metric::STORE_CALLS, "call" => "lease", "outcome" => outcome)
            .increment(1);
        emit(&Event::ColdLeases {
            outcome: outcome.to_owned(),
            upstreams: claims.iter().map(|claim| claim.subject.clone()).collect(),
            row_version,
            took_ms: (now - asked_at).as_millis() as u64,
        });
        if outcome == "granted" {
            self.publish();
            self.tell_held(now);
        }
    }

    /// Tells the entries of this region which leases this one holds.
    fn tell_held(&self, now: Now) {
        let held = self.known.borrow().cold_leases.held(now).cloned().collect();
        self.tell_near(&Message::ColdHeld(held), None);
    }

    /// Sends a message towards all entries of this region: a leaf to its hubs, a hub to its leaves and, unless the
    /// message came from a hub, to the others.
    fn tell_near(&self, message: &Message, from: Option<&InstanceId>) {
        let known = self.known.borrow();
        let overlay = &known.overlay;
        let from_hub = from.is_some_and(|from| overlay.other_hubs().any(|hub| hub == from));
        let hubs = overlay
            .other_hubs()
            .filter(|hub| !from_hub && overlay.region_of(hub) == Some(&self.settings.region));
        let to = hubs.chain(overlay.leaves());
        self.send_to(to.filter(|to| Some(*to) != from), message);
    }

    fn txn_of(&self, claims: &[Claim]) -> Txn {
        let row = LeaseRow {
            entry: &self.settings.instance,
            incarnation: self.incarnation,
        };
        let value = serde_json::to_string(&row).expect("plain fields have a text form");
        let value = ByteString::from(value);
        let checks = claims.iter().map(|claim| {
            let key = key_of(&claim.subject);
            match claim.expected_version {
                Some(version) => Check::Version { key, version },
                None => Check::Absent { key },
            }
        });
        let writes = claims.iter().map(|claim| Write::Put {
            key: key_of(&claim.subject),
            value: value.clone(),
        });
        Txn {
            checks: checks.collect(),
            writes: writes.collect(),
        }
    }

    /// Another entry holds these.
    pub(super) fn on_cold_held(&self, from: &InstanceId, upstreams: Vec<UpstreamId>, now: Now) {
        let mut known = self.known.borrow_mut();
        known.cold_leases.note_held_elsewhere(&upstreams, now);
        let is_hub = known.overlay.is_hub(now);
        drop(known);
        if is_hub {
            self.tell_near(&Message::ColdHeld(upstreams), Some(from));
        }
    }

    /// Removes the rows of leases that nobody has renewed for long; one entry of all does it, as far as it sees.
    pub(super) async fn sweep_cold_leases(&self) {
        let mut before = BTreeMap::new();
        loop {
            tokio::time::sleep(SWEEP).await;
            if self.sweeps() {
                before = self.sweep_rows(&before).await;
            }
        }
    }

    fn sweeps(&self) -> bool {
        let known = self.known.borrow();
        let mut up = known.overlay.live().keys();
        up.all(|instance| *instance > self.settings.instance)
    }

    /// Removes the rows that are as they were `before`; gives those that there are, with their versions.
    async fn sweep_rows(&self, before: &BTreeMap<ByteString, u64>) -> BTreeMap<ByteString, u64> {
        let Ok(rows) = self.store.scan(LEASES).await else {
            metrics::counter!(metric::STORE_CALLS, "call" => "leases", "outcome" => "failed")
                .increment(1);
            return BTreeMap::new();
        };
        metrics::counter!(metric::STORE_CALLS, "call" => "leases", "outcome" => "done")
            .increment(1);
        let old = |row: &&Row| before.get(&row.key) == Some(&row.version);
        let old: Vec<&Row> = rows.iter().filter(old).collect();
        for some in old.chunks(CLAIMS_MAX) {
            let checks = some.iter().map(|row| Check::Version {
                key: row.key.clone(),
                version: row.version,
            });
            let writes = some.iter().map(|row| Write::Delete {
                key: row.key.clone(),
            });
            let txn = Txn {
                checks: checks.collect(),
                writes: writes.collect(),
            };
            // Whatever came of it, the next look finds what is left.
            let outcome = self.store.commit(txn).await;
            emit(&Event::ColdLeasesRemoved {
                rows: some.len(),
                outcome: format!("{outcome:?}"),
            });
        }
        let rows = rows.into_iter();
        rows.map(|row| (row.key, row.version)).collect()
    }
}

fn hash(name: &InstanceId) -> u64 {
    affinity_hash(name.as_bytes())
}

fn key_of(upstream: &UpstreamId) -> ByteString {
    format!("{LEASES}{upstream}").into()
}

/// How the rows of refused claims stand.
fn standings(claims: &[Claim], rows: Vec<Option<Row>>) -> Vec<RowState> {
    let rows = claims.iter().zip(rows);
    rows.map(|(claim, row)| RowState {
        subject: claim.subject.clone(),
        version: row.map(|row| row.version),
    })
    .collect()
}
