//! Requests in flight at upstreams, added up over entries.
//!
//! A leaf reports its own requests to one hub. Hubs send each other the sums over themselves and their leaves, and send
//! their leaves the sum over all entries. Only the choice among upstreams depends on these sums: a lost or late message
//! makes a choice worse, never wrong.

use base::{
    FastMap,
    InstanceId,
    Now, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Hash of an upstream's name, truncated to keep messages small.
pub type LoadKey = u32;

/// Requests in flight at one upstream.
pub type Load = (LoadKey, u32);

/// Loads reported by one entry or hub, and when.
#[derive(Clone, Debug)]
struct Report {
    at: Now,
    loads: Vec<Load>,
    /// Age at which the report is ignored.
    stale_after: Duration,
}

impl Report {
    fn new(loads: Vec<Load>, stale_after: Duration, at: Now) -> Self {
        Self {
            at,
            loads,
            stale_after,
        }
    }

    fn is_fresh(&self, now: Now) -> bool {
        now.saturating_sub(self.at) <= self.stale_after
    }
}

/// Reports of other entries, and the sums derived from them.
#[derive(Clone, Debug, Default)]
pub struct LoadSums {
    leaves: BTreeMap<InstanceId, Report>,
    hubs: BTreeMap<InstanceId, Report>,
    /// Sum over all entries, as this leaf's hub sent it.
    fleet: Option<Report>,
    /// The last two reports of this leaf, newest first; the hub's sum includes one of them.
    reported: [Vec<Load>; 2],
}

impl LoadSums {
    /// Records a leaf's report to this hub.
    pub fn record_leaf(
        &mut self,
        leaf: &InstanceId,
        loads: Vec<Load>,
        stale_after: Duration,
        now: Now,
    ) {
        let report = Report::new(loads, stale_after, now);
        self.leaves.insert(leaf.clone(), report);
    }

    /// Records another hub's sum over itself and its leaves.
    pub fn record_hub(
        &mut self,
        hub: &InstanceId,
        loads: Vec<Load>,
        stale_after: Duration,
        now: Now,
    ) {
        let report = Report::new(loads, stale_after, now);
        self.hubs.insert(hub.clone(), report);
    }

    /// Records the sum over all entries that this leaf's hub sent.
    pub fn record_fleet(&mut self, loads: Vec<Load>, stale_after: Duration, now: Now) {
        self.fleet = Some(Report::new(loads, stale_after, now));
    }

    /// Records what this leaf reports now.
    pub fn record_reported(&mut self, own: &[Load]) {
        self.reported.swap(0, 1);
        self.reported[0] = own.to_vec();
    }

    /// Drops the reports of an entry whose session has ended.
    pub fn forget_session(&mut self, instance: &InstanceId) {
        self.leaves.remove(instance);
        self.hubs.remove(instance);
    }

    /// Returns the leaves that report to this hub.
    pub fn reporting_leaves(&self, now: Now) -> impl Iterator<Item = &InstanceId> {
        let leaves = self.leaves.iter();
        leaves
            .filter(move |(_, report)| report.is_fresh(now))
            .map(|(leaf, _)| leaf)
    }

    /// Returns what this hub sends to other hubs: its own requests and those of its leaves.
    pub fn domain_sums(&self, own: &[Load], now: Now) -> Vec<Load> {
        let mut sums = FastMap::default();
        add(&mut sums, own);
        add_fresh(&mut sums, &self.leaves, now);
        sorted(sums)
    }

    /// Returns what this hub sends to its leaves: the requests of all entries.
    pub fn fleet_sums(&self, own: &[Load], now: Now) -> Vec<Load> {
        let mut sums = FastMap::default();
        add(&mut sums, own);
        add_fresh(&mut sums, &self.leaves, now);
        add_fresh(&mut sums, &self.hubs, now);
        sorted(sums)
    }

    /// Returns the requests of all other entries, for a hub.
    pub fn others_for_hub(&self, now: Now) -> FastMap<LoadKey, u32> {
        let mut sums = FastMap::default();
        add_fresh(&mut sums, &self.leaves, now);
        add_fresh(&mut sums, &self.hubs, now);
        sums
    }

    /// Returns the requests of all other entries, for a leaf; `None` until a hub has sent them.
    ///
    /// Of its own requests, only those in both of its last reports are subtracted: a request that has just begun must
    /// not hide another entry's.
    pub fn others_for_leaf(&self, now: Now) -> Option<FastMap<LoadKey, u32>> {
        let fleet = self.fleet.as_ref().filter(|fleet| fleet.is_fresh(now))?;
        let mut sums = FastMap::default();
        add(&mut sums, &fleet.loads);
        let [last, before] = &self.reported;
        let before: FastMap<LoadKey, u32> = before.iter().copied().collect();
        for (key, own) in last {
            let both = before.get(key).copied().unwrap_or(0).min(*own);
            if let Some(sum) = sums.get_mut(key) {
                *sum = sum.saturating_sub(both);
            }
        }
        Some(sums)
    }
}

fn add(sums: &mut FastMap<LoadKey, u32>, loads: &[Load]) {
    for (key, requests) in loads {
        let sum = sums.entry(*key).or_insert(0);
        *sum = sum.saturating_add(*requests);
    }
}

fn add_fresh(sums: &mut FastMap<LoadKey, u32>, reports: &BTreeMap<InstanceId, Report>, now: Now) {
    for report in reports.values().filter(|report| report.is_fresh(now)) {
        add(sums, &report.loads);
    }
}

fn sorted(sums: FastMap<LoadKey, u32>) -> Vec<Load> {
    let mut loads: Vec<Load> = sums.into_iter().collect();
    loads.sort_unstable();
    loads
}
