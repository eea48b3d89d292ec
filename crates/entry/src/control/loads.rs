//! Exchange of requests in flight at each upstream, and of the affinity keys that upstreams are warm for.
//!
//! By itself, an entry knows the load of an upstream only from the responses that it receives, and nothing about
//! upstreams that it has not used recently, such as those of another region that it would spill over to. So the entries
//! exchange their loads at short intervals, through their hubs. Only the choice among upstreams depends on them: a lost
//! or late message makes the choice less efficient but never incorrect.

use crate::{
    control::{
        Control,
        ControlState, //
    },
    message::{
        Message,
        PackedLoads,
        WarmKey, //
    },
    rows::RowReader,
};
use base::{
    InstanceId,
    Now, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};
use std::{
    sync::atomic::Ordering,
    time::Duration, //
};

/// Interval between load messages, for each session to another entry of the region.
const INTERVAL_PER_SESSION: Duration = Duration::from_millis(20);
/// Minimum interval between load messages: about the duration of one request.
const INTERVAL_MIN: Duration = Duration::from_millis(150);
/// Maximum interval between load messages. A leaf's sums over the other entries are up to three intervals old.
const INTERVAL_MAX: Duration = Duration::from_millis(250);
/// Loads are sent to other regions only once in this many intervals: their entries send a small part of their requests
/// here, and the messages are already old when they arrive.
const OTHER_REGIONS_INTERVALS: u32 = 4;
/// Minimum age at which received loads are stale.
const STALE_AGE_MIN: Duration = Duration::from_millis(1200);
/// Number of messages that may be due before received loads are stale: two of three may be lost.
const STALE_MESSAGES: u32 = 3;
/// Maximum number of keys that a hub queues for its next message; further keys are dropped.
const QUEUE_LEN_MAX: usize = 8192;

/// Warm keys that a hub forwards with its next load messages.
#[derive(Debug, Default)]
pub(super) struct WarmKeyQueues {
    /// Keys from this hub and its leaves, for the other hubs of the region.
    for_hubs: Vec<WarmKey>,
    /// Keys from this hub, its leaves and the other hubs, for its leaves.
    for_leaves: Vec<WarmKey>,
}

impl WarmKeyQueues {
    fn put(queue: &mut Vec<WarmKey>, keys: &[WarmKey]) {
        let capacity_left = QUEUE_LEN_MAX.saturating_sub(queue.len());
        queue.extend(keys.iter().take(capacity_left));
    }
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Sends loads periodically and publishes the sums of the received ones to traffic.
    pub(super) async fn exchange_loads(&self) {
        for round in 0_u32.. {
            tokio::time::sleep(self.loads_interval()).await;
            let now = self.now();
            if self.state.borrow().overlay.is_hub(now) {
                self.send_as_hub(round % OTHER_REGIONS_INTERVALS == 0, now);
            } else {
                self.send_as_leaf(now);
            }
            self.send_requested_warm_keys();
            self.exchange_demands(now);
        }
    }

    fn loads_interval(&self) -> Duration {
        let state = self.state.borrow();
        let overlay = &state.overlay;
        let same_region = overlay.other_hubs().chain(overlay.leaves());
        let same_region = same_region
            .filter(|instance| overlay.region_of(instance) == Some(&self.settings.region));
        let same_region = u32::try_from(same_region.count()).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_SESSION.saturating_mul(same_region);
        interval.clamp(INTERVAL_MIN, INTERVAL_MAX)
    }

    fn send_as_hub(&self, include_other_regions: bool, now: Now) {
        let own = self.channels.loads.own.load();
        let warmed = self.channels.loads.own_warm_keys.take();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        WarmKeyQueues::put(&mut state.warm_key_queues.for_hubs, &warmed);
        WarmKeyQueues::put(&mut state.warm_key_queues.for_leaves, &warmed);
        let domain_loads = state.load_sums.domain_sums(&own, now);
        let domain_loads = Message::DomainLoads(PackedLoads::pack(&domain_loads));
        let hubs = state.overlay.other_hubs();
        let hubs = hubs.filter(|hub| include_other_regions || self.is_same_region(state, hub));
        self.send_to(hubs, &domain_loads);
        if state.load_sums.reporting_leaves(now).next().is_some() {
            let fleet_loads = state.load_sums.fleet_sums(&own, now);
            let fleet_loads = Message::FleetLoads(PackedLoads::pack(&fleet_loads));
            self.send_to(state.load_sums.reporting_leaves(now), &fleet_loads);
        }
        self.channels
            .loads
            .set_others(Some(state.load_sums.others_for_hub(now)));
        self.forward_warmed(state, now);
    }

    /// Sends newly warmed keys to the entries of this region. An entry that doesn't know that an upstream is warm for a
    /// key warms another one for it, and each time a caller waits for a cold request.
    fn forward_warmed(&self, state: &mut ControlState, now: Now) {
        let for_hubs = std::mem::take(&mut state.warm_key_queues.for_hubs);
        let for_leaves = std::mem::take(&mut state.warm_key_queues.for_leaves);
        if !for_hubs.is_empty() {
            let hubs = state.overlay.other_hubs();
            let hubs = hubs.filter(|hub| self.is_same_region(state, hub));
            self.send_to(hubs, &Message::Warmed(for_hubs));
        }
        if !for_leaves.is_empty() {
            self.send_to(
                state.load_sums.reporting_leaves(now),
                &Message::Warmed(for_leaves),
            );
        }
    }

    fn send_as_leaf(&self, now: Now) {
        let own = self.channels.loads.own.load();
        let mut state = self.state.borrow_mut();
        let primary = state.overlay.primary_hub(now).cloned();
        if let Some(primary) = primary {
            state.load_sums.record_reported(&own);
            self.send(&primary, &Message::Loads(PackedLoads::pack(&own)));
            let warmed = self.channels.loads.own_warm_keys.take();
            if !warmed.is_empty() {
                self.send(&primary, &Message::Warmed(warmed));
            }
        }
        self.channels
            .loads
            .set_others(state.load_sums.others_for_leaf(now));
    }

    fn is_same_region(&self, state: &ControlState, instance: &InstanceId) -> bool {
        state.overlay.region_of(instance) == Some(&self.settings.region)
    }

    /// Requests the warm keys from one entry of this region, once. Without them, a restarted process would warm further
    /// upstreams for the same keys.
    pub(super) fn request_warm_keys(&self, instance: &InstanceId) {
        let mut state = self.state.borrow_mut();
        if !self.is_same_region(&state, instance)
            || std::mem::replace(&mut state.requested_warm_keys, true)
        {
            return;
        }
        drop(state);
        self.send(instance, &Message::WantWarmed);
    }

    /// Handles the request of an entry that has just started for all warm keys.
    pub(super) fn on_want_warmed(&self, from: &InstanceId) {
        self.channels
            .loads
            .all_warm_keys_requested
            .store(true, Ordering::Relaxed);
        self.state
            .borrow_mut()
            .warm_key_requesters
            .push(from.clone());
    }

    /// Sends the warm keys to the entries that requested them, once traffic has stored the keys.
    fn send_requested_warm_keys(&self) {
        let keys = self.channels.loads.all_warm_keys.take();
        if keys.is_empty() {
            return;
        }
        let requesters = std::mem::take(&mut self.state.borrow_mut().warm_key_requesters);
        self.send_to(requesters.iter(), &Message::Warmed(keys));
    }

    pub(super) fn on_warmed(&self, from: &InstanceId, keys: Vec<WarmKey>) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if state.overlay.is_hub(self.now()) {
            WarmKeyQueues::put(&mut state.warm_key_queues.for_leaves, &keys);
            let from_leaf = state.overlay.leaves().any(|leaf| leaf == from);
            if from_leaf {
                WarmKeyQueues::put(&mut state.warm_key_queues.for_hubs, &keys);
            }
        }
        self.channels.loads.received_warm_keys.put(keys);
    }

    pub(super) fn on_loads(&self, from: &InstanceId, loads: &PackedLoads, now: Now) {
        let mut state = self.state.borrow_mut();
        state
            .load_sums
            .record_leaf(from, loads.unpack(), stale_after(1), now);
    }

    pub(super) fn on_domain_loads(&self, from: &InstanceId, loads: &PackedLoads, now: Now) {
        let mut state = self.state.borrow_mut();
        let intervals = if self.is_same_region(&state, from) {
            1
        } else {
            OTHER_REGIONS_INTERVALS
        };
        state
            .load_sums
            .record_hub(from, loads.unpack(), stale_after(intervals), now);
    }

    pub(super) fn on_fleet_loads(&self, from: &InstanceId, loads: &PackedLoads, now: Now) {
        let mut state = self.state.borrow_mut();
        state.quotas.note_contact(from, now);
        state
            .load_sums
            .record_fleet(loads.unpack(), stale_after(1), now);
    }
}

/// Returns the age at which loads that are sent once in `intervals` intervals are stale.
fn stale_after(intervals: u32) -> Duration {
    (INTERVAL_MAX * intervals * STALE_MESSAGES).max(STALE_AGE_MIN)
}
