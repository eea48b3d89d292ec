//! How many requests each entry has in flight at each upstream.
//!
//! An entry alone sees of an upstream only what its own answers report, and knows nothing of those it
//! has not used lately, such as the ones of another region that it would spill to. So the entries
//! tell each other at short intervals. Nothing depends on it but the choice among upstreams: what is
//! lost or late makes a choice worse, never wrong.

use crate::{
    control::Control,
    message::{
        Message,
        UpstreamLoad, //
    },
    rows::RowReader,
};
use base::{
    FastMap,
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

/// Time between two tellings for each other entry of the region: with eleven others every 220 ms, so that control
/// handles some fifty of these messages a second whatever the number of entries.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);
/// Entries of other regions are told with each so many tellings: they send a small part of their requests here,
/// and what they are told is old by the way already.
const FAR_EVERY: u64 = 4;
/// Shortest time between two tellings: about the time of one request.
const INTERVAL_MIN: Duration = Duration::from_millis(150);
/// Shortest age at which what an entry said of its requests says nothing any more, and ...
const STALE_MIN: Duration = Duration::from_millis(1200);
/// ... the tellings that may be due meanwhile: two of three may be lost.
const STALE_TELLINGS: u32 = 3;

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Tells the other entries and sums up what they told.
    pub(super) async fn exchange_loads(&self) {
        for number in 0_u64.. {
            let interval = self.loads_interval();
            tokio::time::sleep(interval).await;
            self.send_loads(number % FAR_EVERY == 0);
            self.send_warmed();
            self.answer_warmth();
            self.sum_loads(interval);
        }
    }

    fn loads_interval(&self) -> Duration {
        let known = self.known.borrow();
        let near = known
            .members
            .values()
            .filter(|member| member.region == self.settings.region);
        let near = u32::try_from(near.count()).unwrap_or(u32::MAX);
        INTERVAL_PER_MEMBER.saturating_mul(near).max(INTERVAL_MIN)
    }

    fn send_loads(&self, far: bool) {
        let own = self.loads.own.load();
        self.tell(&Message::Loads(own.to_vec()), |peer| {
            far || peer.region == self.settings.region
        });
    }

    /// Asks an entry of this region, once, which keys upstreams are warm for: a process that is started anew would
    /// warm others beside them.
    pub(super) fn ask_for_warmth(&self, instance: &InstanceId) {
        let mut known = self.known.borrow_mut();
        let member = known.members.get(instance);
        let is_near = member.is_some_and(|member| member.region == self.settings.region);
        if !is_near || std::mem::replace(&mut known.asked_for_warmth, true) {
            return;
        }
        drop(known);
        self.send(instance, &Message::WantWarmed);
    }

    /// An entry that has just started asks for all keys.
    pub(super) fn want_warmth(&self, from: &InstanceId) {
        self.loads.all_wanted.store(true, Ordering::Relaxed);
        self.known.borrow_mut().want_warmth.push(from.clone());
    }

    /// Answers those that asked, once traffic has put the keys.
    fn answer_warmth(&self) {
        let keys = self.loads.all_warm.take();
        if keys.is_empty() {
            return;
        }
        let wanting = std::mem::take(&mut self.known.borrow_mut().want_warmth);
        for instance in wanting {
            self.send(&instance, &Message::Warmed(keys.clone()));
        }
    }

    /// Tells the entries of this region what its requests have warmed: what an entry doesn't know to be warm, it
    /// warms once more at another upstream, and each time a caller waits for cold work.
    fn send_warmed(&self) {
        let keys = self.loads.warmed.take();
        if !keys.is_empty() {
            self.tell(&Message::Warmed(keys), |peer| {
                peer.region == self.settings.region
            });
        }
    }

    fn sum_loads(&self, interval: Duration) {
        let now = self.now();
        let stale = |every: u32| (interval * every * STALE_TELLINGS).max(STALE_MIN);
        let (near, far) = (stale(1), stale(FAR_EVERY as u32));
        let known = self.known.borrow();
        let mut sums = FastMap::default();
        for member in known.members.values() {
            let (at, loads) = &member.loads;
            let is_near = member.region == self.settings.region;
            if now.saturating_sub(*at) > if is_near { near } else { far } {
                continue;
            }
            for UpstreamLoad(upstream, requests) in loads {
                *sums.entry(*upstream).or_insert(0) += requests;
            }
        }
        self.loads.put_others(sums);
    }

    pub(super) fn on_loads(&self, from: &InstanceId, loads: Vec<UpstreamLoad>, now: Now) {
        let mut known = self.known.borrow_mut();
        if let Some(member) = known.members.get_mut(from) {
            member.loads = (now, loads);
        }
    }
}
