//! How many requests each entry has in flight at each upstream, and which keys upstreams are warm for.
//!
//! An entry alone sees of an upstream only what its own answers report, and knows nothing of those it
//! has not used lately, such as the ones of another region that it would spill to. So the entries
//! tell each other at short intervals, through their hubs. Nothing depends on it but the choice among upstreams: what
//! is lost or late makes a choice worse, never wrong.

use crate::{
    control::{
        Control,
        Known, //
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

/// Time between two tellings for each other entry of the region that a session leads to, ...
const INTERVAL_PER_SESSION: Duration = Duration::from_millis(20);
/// ... the shortest: about the time of one request, ...
const INTERVAL_MIN: Duration = Duration::from_millis(150);
/// ... and the longest: what a leaf knows of the others is up to three of them old.
const INTERVAL_MAX: Duration = Duration::from_millis(250);
/// Entries of other regions are told with each so many tellings: they send a small part of their requests here,
/// and what they are told is old by the way already.
const FAR_EVERY: u32 = 4;
/// Shortest age at which what an entry said of its requests says nothing any more, and ...
const STALE_MIN: Duration = Duration::from_millis(1200);
/// ... the tellings that may be due meanwhile: two of three may be lost.
const STALE_TELLINGS: u32 = 3;
/// Most keys that a hub holds for the next telling; beyond it keys are left out.
const FORWARDED_KEYS_MAX: usize = 8192;

/// Keys that a hub forwards with its next telling.
#[derive(Debug, Default)]
pub(super) struct Forwarding {
    /// Of its leaves, for the other hubs of the region.
    for_hubs: Vec<WarmKey>,
    /// Of its leaves and the other hubs, for its leaves.
    for_leaves: Vec<WarmKey>,
}

impl Forwarding {
    fn put(queue: &mut Vec<WarmKey>, keys: &[WarmKey]) {
        let room = FORWARDED_KEYS_MAX.saturating_sub(queue.len());
        queue.extend(keys.iter().take(room));
    }
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Tells the other entries and sums up what they told.
    pub(super) async fn exchange_loads(&self) {
        for number in 0_u32.. {
            tokio::time::sleep(self.loads_interval()).await;
            let now = self.now();
            if self.known.borrow().overlay.is_hub(now) {
                self.tell_as_hub(number % FAR_EVERY == 0, now);
            } else {
                self.tell_as_leaf(now);
            }
            self.answer_warmth();
        }
    }

    fn loads_interval(&self) -> Duration {
        let known = self.known.borrow();
        let overlay = &known.overlay;
        let near = overlay.other_hubs().chain(overlay.leaves());
        let near = near.filter(|one| overlay.region_of(one) == Some(&self.settings.region));
        let near = u32::try_from(near.count()).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_SESSION.saturating_mul(near);
        interval.clamp(INTERVAL_MIN, INTERVAL_MAX)
    }

    fn tell_as_hub(&self, far: bool, now: Now) {
        let own = self.channels.loads.own.load();
        let warmed = self.channels.loads.warmed.take();
        let mut known = self.known.borrow_mut();
        let known = &mut *known;
        Forwarding::put(&mut known.warmed.for_hubs, &warmed);
        Forwarding::put(&mut known.warmed.for_leaves, &warmed);
        let of_domain = known.sums.domain_sums(&own, now);
        let of_domain = Message::DomainLoads(PackedLoads::pack(&of_domain));
        let hubs = known.overlay.other_hubs();
        let hubs = hubs.filter(|hub| far || self.is_near(known, hub));
        self.send_to(hubs, &of_domain);
        if known.sums.reporting_leaves(now).next().is_some() {
            let of_fleet = known.sums.fleet_sums(&own, now);
            let of_fleet = Message::FleetLoads(PackedLoads::pack(&of_fleet));
            self.send_to(known.sums.reporting_leaves(now), &of_fleet);
        }
        self.channels
            .loads
            .put_others(Some(known.sums.others_for_hub(now)));
        self.forward_warmed(known, now);
    }

    /// Tells the entries of this region what requests have warmed: what an entry doesn't know to be warm, it
    /// warms once more at another upstream, and each time a caller waits for cold work.
    fn forward_warmed(&self, known: &mut Known, now: Now) {
        let for_hubs = std::mem::take(&mut known.warmed.for_hubs);
        let for_leaves = std::mem::take(&mut known.warmed.for_leaves);
        if !for_hubs.is_empty() {
            let hubs = known.overlay.other_hubs();
            let hubs = hubs.filter(|hub| self.is_near(known, hub));
            self.send_to(hubs, &Message::Warmed(for_hubs));
        }
        if !for_leaves.is_empty() {
            self.send_to(
                known.sums.reporting_leaves(now),
                &Message::Warmed(for_leaves),
            );
        }
    }

    fn tell_as_leaf(&self, now: Now) {
        let own = self.channels.loads.own.load();
        let mut known = self.known.borrow_mut();
        let primary = known.overlay.primary_hub(now).cloned();
        if let Some(primary) = primary {
            known.sums.record_reported(&own);
            self.send(&primary, &Message::Loads(PackedLoads::pack(&own)));
            let warmed = self.channels.loads.warmed.take();
            if !warmed.is_empty() {
                self.send(&primary, &Message::Warmed(warmed));
            }
        }
        self.channels
            .loads
            .put_others(known.sums.others_for_leaf(now));
    }

    fn is_near(&self, known: &Known, instance: &InstanceId) -> bool {
        known.overlay.region_of(instance) == Some(&self.settings.region)
    }

    /// Asks an entry of this region, once, which keys upstreams are warm for: a process that is started anew would
    /// warm others beside them.
    pub(super) fn ask_for_warmth(&self, instance: &InstanceId) {
        let mut known = self.known.borrow_mut();
        if !self.is_near(&known, instance) || std::mem::replace(&mut known.asked_for_warmth, true) {
            return;
        }
        drop(known);
        self.send(instance, &Message::WantWarmed);
    }

    /// An entry that has just started asks for all keys.
    pub(super) fn want_warmth(&self, from: &InstanceId) {
        self.channels
            .loads
            .all_wanted
            .store(true, Ordering::Relaxed);
        self.known.borrow_mut().want_warmth.push(from.clone());
    }

    /// Answers those that asked, once traffic has put the keys.
    fn answer_warmth(&self) {
        let keys = self.channels.loads.all_warm.take();
        if keys.is_empty() {
            return;
        }
        let wanting = std::mem::take(&mut self.known.borrow_mut().want_warmth);
        self.send_to(wanting.iter(), &Message::Warmed(keys));
    }

    pub(super) fn on_warmed(&self, from: &InstanceId, keys: Vec<WarmKey>) {
        let mut known = self.known.borrow_mut();
        let known = &mut *known;
        if known.overlay.is_hub(self.now()) {
            Forwarding::put(&mut known.warmed.for_leaves, &keys);
            let from_leaf = known.overlay.leaves().any(|leaf| leaf == from);
            if from_leaf {
                Forwarding::put(&mut known.warmed.for_hubs, &keys);
            }
        }
        self.channels.loads.heard.put(keys);
    }

    pub(super) fn on_loads(&self, from: &InstanceId, loads: &PackedLoads, now: Now) {
        let mut known = self.known.borrow_mut();
        known
            .sums
            .record_leaf(from, loads.unpack(), stale_after(1), now);
    }

    pub(super) fn on_domain_loads(&self, from: &InstanceId, loads: &PackedLoads, now: Now) {
        let mut known = self.known.borrow_mut();
        let every = if self.is_near(&known, from) {
            1
        } else {
            FAR_EVERY
        };
        known
            .sums
            .record_hub(from, loads.unpack(), stale_after(every), now);
    }

    pub(super) fn on_fleet_loads(&self, loads: &PackedLoads, now: Now) {
        let mut known = self.known.borrow_mut();
        known.sums.record_fleet(loads.unpack(), stale_after(1), now);
    }
}

/// Age at which loads that are told with each so many tellings say nothing any more.
fn stale_after(every: u32) -> Duration {
    (INTERVAL_MAX * every * STALE_TELLINGS).max(STALE_MIN)
}
