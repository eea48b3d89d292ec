//! What one peer was told, so that a beat to it says only what it doesn't know.

use base::{
    Incarnation,
    InstanceId,
    Now,
    ServiceId,
    Version, //
};
use member::{
    LeaseState,
    Summary, //
};
use peer::RegionSummary;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Summaries of the own region's instances in one beat to another region.
const OWN_SUMMARIES: usize = 8;
/// Summaries of other instances in one beat that are not news.
const FAR_SUMMARIES: usize = 1;
/// Summaries in one beat that are news.
const NEWS_SUMMARIES: usize = 16;
/// Beats between two that pass on instances of third regions.
const FAR_EVERY: usize = 4;
/// Longest that a load that didn't change goes unsaid; receivers use it fully for three seconds.
const LOAD_UNCHANGED: Duration = Duration::from_secs(2);
/// Part of a service's slots by which its load changes so much that it can't wait for a beat.
const MARKED_PART: u64 = 8;
/// Part of a service's slots by which its load changes enough to be told with the next beat.
const CHANGED_PART: u64 = 32;
/// Least change of a load that counts: a request or two come and go all the time.
const LEAST_CHANGE_MILLI_SLOTS: u64 = 2500;

/// Places of summaries among those that there are, by what they are to the receiver.
#[derive(Debug, Default)]
pub(super) struct Sorted {
    /// What it doesn't know.
    pub(super) news: Vec<usize>,
    /// Of the sender's region, and no news.
    pub(super) near: Vec<usize>,
    /// Of third regions, and no news.
    pub(super) far: Vec<usize>,
}

/// What one peer was told, and what its session says of it.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    /// When it was last sent a whole beat.
    beat_at: Option<Now>,
    /// When it was last sent any beat.
    said_at: Option<Now>,
    /// Round trip as of its last pong.
    rtt: Duration,
    /// Instances as they were last told.
    instances: BTreeMap<InstanceId, (Incarnation, LeaseState, Version)>,
    /// Load of each service as it was last told.
    loads: BTreeMap<ServiceId, (Now, RegionSummary)>,
    /// Place in the summaries that are no news.
    cursor: usize,
}

impl Telling {
    /// Whether a whole beat is due.
    pub(super) fn is_due(&self, interval: Duration, now: Now) -> bool {
        self.beat_at.is_none_or(|at| now >= at + interval)
    }

    /// Whether a load changed markedly, and the last beat is `least` ago.
    pub(super) fn has_load_news(&self, loads: &[RegionSummary], least: Duration, now: Now) -> bool {
        let may = self.said_at.is_none_or(|at| now >= at + least);
        may && loads.iter().any(|load| self.differs(load, MARKED_PART))
    }

    /// Whether a load differs from what was told by more than one `part`th of its slots.
    ///
    /// What is in use at this moment doesn't count: it jumps with each request, and what is made
    /// of it are the two demands, which are smoothed.
    fn differs(&self, load: &RegionSummary, part: u64) -> bool {
        let Some((_, told)) = self.loads.get(&load.service) else {
            return true;
        };
        let limit = (load.slots * 1000 / part).max(LEAST_CHANGE_MILLI_SLOTS);
        [
            (load.slots * 1000, told.slots * 1000),
            (load.arriving_milli_slots, told.arriving_milli_slots),
            (load.carrying_milli_slots, told.carrying_milli_slots),
        ]
        .into_iter()
        .any(|(now, told)| now.abs_diff(told) > limit)
    }

    /// Loads that changed or were not told for a while; they count as told from now on.
    pub(super) fn loads_to_tell(
        &mut self,
        loads: &[RegionSummary],
        now: Now,
    ) -> Vec<RegionSummary> {
        let is_old = |load: &RegionSummary| {
            let told = self.loads.get(&load.service);
            told.is_none_or(|(at, _)| now >= *at + LOAD_UNCHANGED)
        };
        let is_due = |load: &&RegionSummary| is_old(load) || self.differs(load, CHANGED_PART);
        let due: Vec<RegionSummary> = loads.iter().filter(is_due).cloned().collect();
        for load in &due {
            self.loads.insert(load.service.clone(), (now, load.clone()));
        }
        due
    }

    /// Whether the peer was told of no such life or state, or version where that counts.
    pub(super) fn is_news(
        &self,
        instance: &InstanceId,
        summary: &Summary,
        with_versions: bool,
    ) -> bool {
        let Some((incarnation, state, version)) = self.instances.get(instance) else {
            return true;
        };
        let known_life = (*incarnation, *state) == (summary.incarnation, summary.state);
        !known_life || with_versions && *version != summary.version
    }

    /// Notes that a beat is on its way.
    pub(super) fn sent(&mut self, whole: bool, now: Now) {
        self.said_at = Some(now);
        if whole {
            self.beat_at = Some(now);
        }
    }

    /// Notes the round trip that the session shows; whether a pong came since the last one.
    ///
    /// Each pong brings a new round trip; the same one to the nanosecond is rare and only makes
    /// that pong count for nothing.
    pub(super) fn has_new_pong(&mut self, rtt: Duration) -> bool {
        let is_new = self.rtt != rtt;
        self.rtt = rtt;
        is_new
    }

    /// Chooses what the next beat says: news, and in one that is `whole` the next few of the rest.
    pub(super) fn choose(&mut self, sorted: Sorted, whole: bool) -> Vec<usize> {
        let mut chosen = sorted.news;
        chosen.truncate(NEWS_SUMMARIES);
        if !whole {
            return chosen;
        }
        self.cursor = self.cursor.wrapping_add(1);
        chosen.extend(window(&sorted.near, self.cursor, OWN_SUMMARIES));
        if self.cursor % FAR_EVERY == 0 {
            let turn = self.cursor / FAR_EVERY;
            chosen.extend(window(&sorted.far, turn, FAR_SUMMARIES));
        }
        chosen
    }

    /// Notes that the peer was told this of an instance.
    pub(super) fn told(&mut self, instance: &InstanceId, summary: &Summary) {
        let said = (summary.incarnation, summary.state, summary.version);
        self.instances.insert(instance.clone(), said);
    }
}

/// `count` of `all` at most, beginning at a place that moves by as many with each `turn`.
fn window(all: &[usize], turn: usize, count: usize) -> impl Iterator<Item = usize> + '_ {
    let len = all.len().max(1);
    let first = turn.wrapping_mul(count) % len;
    all.iter()
        .cycle()
        .skip(first)
        .take(count.min(all.len()))
        .copied()
}
