//! Tracks the state sent to each peer, so that a heartbeat carries only what the peer doesn't know.

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

/// Maximum number of summaries of the sender's region in a heartbeat to another region.
const SENDER_REGION_SUMMARIES: usize = 8;
/// Maximum number of unchanged summaries of third regions in one heartbeat.
const THIRD_REGION_SUMMARIES: usize = 1;
/// Maximum number of changed summaries in one heartbeat.
const CHANGED_SUMMARIES: usize = 16;
/// Period, in full heartbeats, at which one carries instances of third regions.
const THIRD_REGION_PERIOD: usize = 4;
/// Maximum interval between reports of an unchanged load; receivers consider a report fully valid
/// for three seconds.
const UNCHANGED_LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Divisor of a service's slots; a load change beyond that fraction is sent without waiting for the
/// next heartbeat.
const URGENT_CHANGE_DIVISOR: u64 = 8;
/// Divisor of a service's slots; a load change beyond that fraction is sent with the next
/// heartbeat.
const CHANGE_DIVISOR: u64 = 32;
/// Minimum load change that counts, since one or two requests come and go all the time.
const MIN_CHANGE_MILLI_SLOTS: u64 = 2500;

/// Indexes of summaries, classified by their relevance to the receiver.
#[derive(Debug, Default)]
pub(super) struct ClassifiedSummaries {
    /// Changed since they were last sent to the receiver.
    pub(super) changed: Vec<usize>,
    /// Unchanged ones of the sender's region.
    pub(super) sender_region: Vec<usize>,
    /// Unchanged ones of third regions.
    pub(super) third_regions: Vec<usize>,
}

/// State last sent to one peer, and the last round trip of its session.
#[derive(Debug, Default)]
pub(crate) struct SentState {
    /// Time of the last full heartbeat.
    full_sent_at: Option<Now>,
    /// Time of the last heartbeat of any kind.
    sent_at: Option<Now>,
    /// Round trip as of the last pong.
    rtt: Duration,
    /// Last sent state of each instance.
    instances: BTreeMap<InstanceId, (Incarnation, LeaseState, Version)>,
    /// Last sent load of each service, with its send time.
    loads: BTreeMap<ServiceId, (Now, RegionSummary)>,
    /// Rotation counter for unchanged summaries.
    cursor: usize,
}

impl SentState {
    /// Whether a full heartbeat is due.
    pub(super) fn is_due(&self, interval: Duration, now: Now) -> bool {
        self.full_sent_at.is_none_or(|at| now >= at + interval)
    }

    /// Whether a load changed significantly, and the last heartbeat was sent at least
    /// `min_interval` ago.
    pub(super) fn has_urgent_load(
        &self,
        loads: &[RegionSummary],
        min_interval: Duration,
        now: Now,
    ) -> bool {
        let is_allowed = self.sent_at.is_none_or(|at| now >= at + min_interval);
        is_allowed
            && loads
                .iter()
                .any(|load| self.differs(load, URGENT_CHANGE_DIVISOR))
    }

    /// Whether a load differs from the last sent one by more than the `divisor`th part of its
    /// slots.
    ///
    /// The number of slots in use is ignored: it jumps with each request, and receivers rely on the
    /// two smoothed demand values instead.
    fn differs(&self, load: &RegionSummary, divisor: u64) -> bool {
        let Some((_, last)) = self.loads.get(&load.service) else {
            return true;
        };
        let limit = (load.slots * 1000 / divisor).max(MIN_CHANGE_MILLI_SLOTS);
        [
            (load.slots * 1000, last.slots * 1000),
            (load.arriving_milli_slots, last.arriving_milli_slots),
            (load.carrying_milli_slots, last.carrying_milli_slots),
        ]
        .into_iter()
        .any(|(now, last)| now.abs_diff(last) > limit)
    }

    /// Returns loads that changed or whose last report is old, and records them as sent.
    pub(super) fn take_due_loads(
        &mut self,
        loads: &[RegionSummary],
        now: Now,
    ) -> Vec<RegionSummary> {
        let is_old = |load: &RegionSummary| {
            let last = self.loads.get(&load.service);
            last.is_none_or(|(at, _)| now >= *at + UNCHANGED_LOAD_INTERVAL)
        };
        let is_due = |load: &&RegionSummary| is_old(load) || self.differs(load, CHANGE_DIVISOR);
        let due: Vec<RegionSummary> = loads.iter().filter(is_due).cloned().collect();
        for load in &due {
            self.loads.insert(load.service.clone(), (now, load.clone()));
        }
        due
    }

    /// Whether the instance's incarnation or state, or its version if `with_versions` is set,
    /// differs from what the peer was sent.
    pub(super) fn has_changed(
        &self,
        instance: &InstanceId,
        summary: &Summary,
        with_versions: bool,
    ) -> bool {
        let Some((incarnation, state, version)) = self.instances.get(instance) else {
            return true;
        };
        let is_same_state = (*incarnation, *state) == (summary.incarnation, summary.state);
        !is_same_state || with_versions && *version != summary.version
    }

    /// Records that a heartbeat is being sent.
    pub(super) fn record_sent(&mut self, full: bool, now: Now) {
        self.sent_at = Some(now);
        if full {
            self.full_sent_at = Some(now);
        }
    }

    /// Records the session's round trip and returns whether a new pong arrived since the last call.
    ///
    /// Each pong brings a new round trip. An identical value down to the nanosecond is rare, and
    /// only causes that pong to be ignored.
    pub(super) fn has_new_pong(&mut self, rtt: Duration) -> bool {
        let is_new = self.rtt != rtt;
        self.rtt = rtt;
        is_new
    }

    /// Selects summaries for the next heartbeat: changed ones, and in a `full` one the next few of
    /// the rest.
    pub(super) fn select(&mut self, classified: ClassifiedSummaries, full: bool) -> Vec<usize> {
        let mut chosen = classified.changed;
        chosen.truncate(CHANGED_SUMMARIES);
        if !full {
            return chosen;
        }
        self.cursor = self.cursor.wrapping_add(1);
        chosen.extend(rotating_window(
            &classified.sender_region,
            self.cursor,
            SENDER_REGION_SUMMARIES,
        ));
        if self.cursor % THIRD_REGION_PERIOD == 0 {
            let turn = self.cursor / THIRD_REGION_PERIOD;
            chosen.extend(rotating_window(
                &classified.third_regions,
                turn,
                THIRD_REGION_SUMMARIES,
            ));
        }
        chosen
    }

    /// Records the state of an instance as sent to the peer.
    pub(super) fn record_instance(&mut self, instance: &InstanceId, summary: &Summary) {
        let sent = (summary.incarnation, summary.state, summary.version);
        self.instances.insert(instance.clone(), sent);
    }
}

/// Returns at most `count` elements of `all`, from an offset that advances by `count` with each
/// `turn`.
fn rotating_window(all: &[usize], turn: usize, count: usize) -> impl Iterator<Item = usize> + '_ {
    let len = all.len().max(1);
    let first = turn.wrapping_mul(count) % len;
    all.iter()
        .cycle()
        .skip(first)
        .take(count.min(all.len()))
        .copied()
}
