//! How many requests each entry has in flight at each upstream.
//!
//! An entry alone sees of an upstream only what its own answers report, and knows nothing of those it
//! has not used lately, such as the ones of another region that it would spill to. So the entries
//! tell each other at short intervals. Nothing depends on it but the choice among upstreams: what is
//! lost or late makes a choice worse, never wrong.

use crate::{
    control::{
        relay::frame,
        Control, //
    },
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
use std::time::Duration;

/// Time between two tellings for each other entry: with eleven others every 220 ms, so that control
/// handles some fifty of these messages a second whatever the number of entries.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);
/// Shortest time between two tellings: about the time of one request.
const INTERVAL_MIN: Duration = Duration::from_millis(150);
/// Age at which what an entry said of its requests says nothing any more.
const STALE: Duration = Duration::from_millis(1200);

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Tells the other entries and sums up what they told.
    pub(super) async fn exchange_loads(&self) {
        loop {
            let members = u32::try_from(self.known.borrow().members.len()).unwrap_or(u32::MAX);
            let interval = INTERVAL_PER_MEMBER
                .saturating_mul(members)
                .max(INTERVAL_MIN);
            tokio::time::sleep(interval).await;
            self.send_loads();
            self.send_warmed();
            self.sum_loads();
        }
    }

    fn send_loads(&self) {
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        let own = self.loads.own.load();
        let Some(frame) = frame(&Message::Loads(own.to_vec())) else {
            return;
        };
        for peer in mesh.peers() {
            // What is not taken is replaced by the next telling.
            mesh.send(&peer.instance, frame.clone());
        }
    }

    /// Tells the entries of this region what its requests have warmed: what an entry doesn't know to be warm, it
    /// warms once more at another upstream, and each time a caller waits for cold work.
    fn send_warmed(&self) {
        let keys = self.loads.warmed.take();
        let Some(mesh) = self.mesh.borrow().clone() else {
            return;
        };
        if keys.is_empty() {
            return;
        }
        let Some(frame) = frame(&Message::Warmed(keys)) else {
            return;
        };
        for peer in mesh.peers() {
            if peer.region == self.settings.region {
                // An entry that has no room for it finds out by itself.
                mesh.send(&peer.instance, frame.clone());
            }
        }
    }

    fn sum_loads(&self) {
        let now = self.now();
        let known = self.known.borrow();
        let mut sums = FastMap::default();
        for member in known.members.values() {
            let (at, loads) = &member.loads;
            if now.saturating_sub(*at) > STALE {
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
