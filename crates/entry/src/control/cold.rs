//! Leases of upstreams that are cold or state a limit: only the entry that holds the lease sends to them.
//!
//! Such an upstream accepts few requests per second from all entries combined. One entry of its region holds the whole
//! allowance by a lease, which is a row of the store (crate `lease`). Entries that disagree about which entries exist
//! claim the same row, and only one of them gets it. Rendezvous hashing by upstream ranks the entries: each further one
//! claims a little later, and the holder announces its leases to the others, so that they need not call the store.

use crate::{
    clock::millis,
    control::{
        Control,
        ControlState, //
    },
    message::Message,
    metric,
    rows::RowReader,
};
use balance::{
    affinity_hash,
    weighted_rendezvous_score, //
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
use overlay::{
    relative_capacities,
    LiveEntry, //
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

/// Prefix of the keys of lease rows. It is followed by the upstream's name.
const LEASE_ROWS: &str = "cold/";
/// Terms of the leases.
const TERMS: Terms = Terms {
    // Most upstreams are cold for a shorter time, so few leases are renewed.
    length: Duration::from_secs(4),
    // The second for which the bound is stated, and the transit time of the last requests.
    gap: Duration::from_millis(1500),
    // A call to the store from the farthest region and the announcement to the other entries.
    claim_stagger: Duration::from_millis(400),
    // Timeout of a call to the store.
    retry_delay: Duration::from_millis(1000),
};
/// Maximum time after the grant of a lease in which its holder's requests count.
pub(super) const LEASE_USE_MAX: Duration = TERMS.length.saturating_add(TERMS.gap);
/// Maximum number of claims in one transaction, which is limited to a hundred checks and writes.
const CLAIMS_MAX: usize = 40;
/// Maximum length of the name of an upstream whose lease is claimed. A key that the store rejects would fail the other
/// claims of its transaction as well.
const NAME_LEN_MAX: usize = 120;
/// Interval between checks whether the store's era has to be recorded.
const ERA_RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum interval between checks for due claims.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between sweeps of unused rows. A lease in use is renewed many times within it.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Value of a lease row. It is informational and never read back.
#[derive(Debug, Serialize)]
struct LeaseRow<'a> {
    entry: &'a str,
    incarnation: u64,
}

/// Returns the leases of a new process, which holds none. Leases of its former process count as held by another entry.
pub(super) fn new_leases() -> Leases {
    Leases::new(TERMS)
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Claims leases of upstreams that are cold or state a limit, for the lifetime of the process.
    pub(super) async fn hold_cold_leases(&self) {
        loop {
            // Wakes up on changes or when claims may have become due.
            let changed = self.cold_due.notified();
            let _ = tokio::time::timeout(POLL_INTERVAL, changed).await;
            loop {
                let started_at = self.now();
                let claims = self.due_claims(started_at);
                if claims.is_empty() {
                    break;
                }
                self.claim(&claims, started_at).await;
            }
        }
    }

    fn due_claims(&self, now: Now) -> Vec<Claim> {
        let mut state = self.state.borrow_mut();
        state.era_wait.observe(self.store.era(), now);
        if !state.era_wait.is_over(LEASE_USE_MAX, now) {
            return Vec::new();
        }
        let wanted = self.wanted_leases(&state, now);
        state.cold_leases.set_wanted(wanted, now);
        let held = state.cold_leases.held(now).count();
        metrics::gauge!(metric::COLD_LEASES).set(held as f64);
        state.cold_leases.take_due(CLAIMS_MAX, now)
    }

    /// Returns the upstreams whose leases this entry claims, and how many entries each ranks before this one.
    ///
    /// These are the open upstreams of this region that are cold or state a limit, and those that state a limit in
    /// regions without entries. There are none once this entry is about to stop, since its callers go elsewhere, or while
    /// it is partitioned from the upstreams.
    fn wanted_leases(&self, state: &ControlState, now: Now) -> Vec<Wanted> {
        let limited = self.channels.limits.limited();
        if state.stopping
            || self.channels.partition.is_partitioned()
            || (now >= state.cold_until && limited.is_empty())
        {
            return Vec::new();
        }
        let own_region = &self.settings.region;
        let live = state.overlay.live();
        let claimants = live.iter().filter(|(_, entry)| {
            let service = entry.service;
            service.is_none_or(|service| !service.is_partitioned)
        });
        let claimants: Vec<(&InstanceId, &LiveEntry)> = claimants.collect();
        // A small entry has too few requests to use an upstream's allowance.
        let capacities = claimants
            .iter()
            .map(|(_, entry)| entry.service.and_then(|service| service.capacity));
        let capacities: Vec<_> = std::iter::once(self.settings.capacity())
            .chain(capacities)
            .collect();
        let weights = relative_capacities(&capacities);
        let others: Vec<(u64, &RegionId, f64)> = std::iter::zip(&claimants, &weights[1..])
            .map(|((instance, entry), weight)| (hash(instance), &entry.region, *weight))
            .collect();
        let has_entries = |region: &RegionId| {
            region == own_region || others.iter().any(|(_, other, _)| *other == region)
        };
        let upstreams = state.view.upstreams(now);
        let eligible = upstreams.filter(|(listed, closed, cold_until)| {
            let is_name_allowed = listed.id.len() <= NAME_LEN_MAX;
            let is_limited = limited.contains(&listed.id);
            let is_eligible =
                listed.region == *own_region || (is_limited && !has_entries(&listed.region));
            !closed && is_name_allowed && (now < *cold_until || is_limited) && is_eligible
        });
        let mut eligible = eligible.map(|(listed, ..)| listed).peekable();
        if eligible.peek().is_none() {
            return Vec::new();
        }
        let own = hash(&self.settings.instance);
        eligible
            .map(|listed| {
                let subject_hash = hash(&listed.id);
                // An upstream of this region is claimed by entries of this region only; one of a region without
                // entries is claimed by all entries.
                let is_claimant =
                    |region: &RegionId| region == own_region || listed.region != *own_region;
                let own_score = weighted_rendezvous_score(subject_hash, own, weights[0]);
                let before = |(other, region, weight): &&(u64, &RegionId, f64)| {
                    is_claimant(region)
                        && weighted_rendezvous_score(subject_hash, *other, *weight) > own_score
                };
                Wanted {
                    subject: listed.id.clone(),
                    order: others.iter().filter(before).count() as u32,
                }
            })
            .collect()
    }

    async fn claim(&self, claims: &[Claim], started_at: Now) {
        let outcome = self.store.commit(self.claim_txn(claims)).await;
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.era_wait.observe(self.store.era(), now);
        // A store that was restored meanwhile lacks the lease of another entry that is still in use.
        let is_valid = state.era_wait.is_over(LEASE_USE_MAX, now);
        let leases = &mut state.cold_leases;
        let (outcome, row_version) = match outcome {
            Outcome::Done(Commit::Committed { version }) if is_valid => {
                leases.granted(claims, version, started_at, now);
                ("granted", version)
            }
            Outcome::Done(Commit::Conflict { rows }) => {
                leases.refused(&row_states(claims, rows), now);
                ("refused", 0)
            }
            // The claim is retried later; until then it is unknown whether it was committed.
            Outcome::Done(Commit::Committed { .. }) | Outcome::NotDone(_) | Outcome::Unknown(_) => {
                ("unknown", 0)
            }
        };
        drop(state);
        metrics::counter!(metric::STORE_CALLS, "call" => "lease", "outcome" => outcome)
            .increment(1);
        emit(&Event::ColdLeases {
            outcome: outcome.to_owned(),
            upstreams: claims.iter().map(|claim| claim.subject.clone()).collect(),
            row_version,
            took_ms: millis(now - started_at),
        });
        if outcome == "granted" {
            self.publish();
            self.announce_held(now);
        }
    }

    /// Records in the store that leases may be claimed in its present era, for processes that start later.
    pub(super) async fn record_eras(&self) {
        loop {
            tokio::time::sleep(ERA_RECORD_INTERVAL).await;
            let era = self
                .state
                .borrow()
                .era_wait
                .unrecorded(LEASE_USE_MAX, self.now());
            let Some(era) = era.filter(|_| self.is_sweeper()) else {
                continue;
            };
            if self.write_era_row(era).await {
                self.state.borrow_mut().era_wait.settle(era);
            }
        }
    }

    /// Announces the leases that this entry holds to the entries of this region.
    fn announce_held(&self, now: Now) {
        let held = self.state.borrow().cold_leases.held(now).cloned().collect();
        self.send_to_region(&Message::ColdHeld(held), None);
    }

    /// Sends or forwards a message to all entries of this region: a leaf sends it to its hubs; a hub sends it to its
    /// leaves and, unless it came from a hub, to the other hubs.
    fn send_to_region(&self, message: &Message, from: Option<&InstanceId>) {
        let state = self.state.borrow();
        let overlay = &state.overlay;
        let from_hub = from.is_some_and(|from| overlay.other_hubs().any(|hub| hub == from));
        let hubs = overlay
            .other_hubs()
            .filter(|hub| !from_hub && overlay.region_of(hub) == Some(&self.settings.region));
        let to = hubs.chain(overlay.leaves());
        self.send_to(to.filter(|to| Some(*to) != from), message);
    }

    fn claim_txn(&self, claims: &[Claim]) -> Txn {
        let row = LeaseRow {
            entry: &self.settings.instance,
            incarnation: self.incarnation,
        };
        let value = serde_json::to_string(&row).expect("a lease row is serializable");
        let value = ByteString::from(value);
        let checks = claims.iter().map(|claim| {
            let key = lease_row_key(&claim.subject);
            match claim.expected_version {
                Some(version) => Check::Version { key, version },
                None => Check::Absent { key },
            }
        });
        let writes = claims.iter().map(|claim| Write::Put {
            key: lease_row_key(&claim.subject),
            value: value.clone(),
        });
        Txn {
            checks: checks.collect(),
            writes: writes.collect(),
        }
    }

    /// Handles the announcement that another entry holds the leases of these upstreams.
    pub(super) fn on_cold_held(&self, from: &InstanceId, upstreams: Vec<UpstreamId>, now: Now) {
        let mut state = self.state.borrow_mut();
        state.cold_leases.note_held_elsewhere(&upstreams, now);
        let is_hub = state.overlay.is_hub(now);
        drop(state);
        if is_hub {
            self.send_to_region(&Message::ColdHeld(upstreams), Some(from));
        }
    }

    /// Removes lease rows that have not been renewed between two sweeps. Only one entry sweeps: the one whose name
    /// comes first among those that it knows to be up.
    pub(super) async fn sweep_cold_leases(&self) {
        let mut before = BTreeMap::new();
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            if self.is_sweeper() {
                before = self.sweep_rows(&before).await;
            }
        }
    }

    fn is_sweeper(&self) -> bool {
        let state = self.state.borrow();
        let mut up = state.overlay.live().keys();
        up.all(|instance| *instance > self.settings.instance)
    }

    /// Removes the rows whose versions are still those in `before`. Returns the versions of all rows that were read.
    async fn sweep_rows(&self, before: &BTreeMap<ByteString, u64>) -> BTreeMap<ByteString, u64> {
        let Ok(rows) = self.store.scan(LEASE_ROWS).await else {
            metrics::counter!(metric::STORE_CALLS, "call" => "leases", "outcome" => "failed")
                .increment(1);
            return BTreeMap::new();
        };
        metrics::counter!(metric::STORE_CALLS, "call" => "leases", "outcome" => "done")
            .increment(1);
        let old = |row: &&Row| before.get(&row.key) == Some(&row.version);
        let old: Vec<&Row> = rows.iter().filter(old).collect();
        for chunk in old.chunks(CLAIMS_MAX) {
            let checks = chunk.iter().map(|row| Check::Version {
                key: row.key.clone(),
                version: row.version,
            });
            let writes = chunk.iter().map(|row| Write::Delete {
                key: row.key.clone(),
            });
            let txn = Txn {
                checks: checks.collect(),
                writes: writes.collect(),
            };
            // Rows that are not removed are found by the next sweep.
            let outcome = self.store.commit(txn).await;
            emit(&Event::ColdLeasesRemoved {
                rows: chunk.len(),
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

fn lease_row_key(upstream: &UpstreamId) -> ByteString {
    format!("{LEASE_ROWS}{upstream}").into()
}

/// Returns the current versions of the rows of refused claims.
fn row_states(claims: &[Claim], rows: Vec<Option<Row>>) -> Vec<RowState> {
    let rows = claims.iter().zip(rows);
    rows.map(|(claim, row)| RowState {
        subject: claim.subject.clone(),
        version: row.map(|row| row.version),
    })
    .collect()
}
