//! What entries tell each other of upstreams.

use crate::{
    loads::Loads,
    message::{
        load_key,
        WarmKey, //
    },
    traffic::fleet::Fleet,
};
use base::{
    FastMap,
    Now, //
};
use overlay::Load;

impl Fleet {
    /// Requests in flight at each upstream that has any.
    pub(in crate::traffic) fn loads(&self) -> Vec<Load> {
        let upstreams = self.groups.values().flat_map(|group| &group.upstreams);
        upstreams
            .filter(|upstream| upstream.in_flight > 0)
            .map(|upstream| (load_key(upstream.hash), upstream.in_flight))
            .collect()
    }

    /// Keys that upstreams were warmed for since the last call.
    pub(in crate::traffic) fn take_warmed(&mut self) -> Vec<WarmKey> {
        std::mem::take(&mut self.warmed)
    }

    /// All keys that upstreams are known to be warm for.
    pub(in crate::traffic) fn all_warm(&self) -> Vec<WarmKey> {
        let upstreams = self.groups.values().flat_map(|group| &group.upstreams);
        let keys = upstreams.flat_map(|upstream| {
            let keys = upstream.warm_keys.keys();
            keys.map(|key| WarmKey(upstream.hash, key))
        });
        keys.collect()
    }

    fn take_over_warmed(&mut self, heard: Vec<WarmKey>, now: Now) {
        if heard.is_empty() {
            return;
        }
        let mut by_upstream: FastMap<u64, Vec<u64>> = FastMap::default();
        for WarmKey(upstream, key) in heard {
            by_upstream.entry(upstream).or_default().push(key);
        }
        let groups = self.groups.values_mut();
        for upstream in groups.flat_map(|group| &mut group.upstreams) {
            for key in by_upstream.get(&upstream.hash).into_iter().flatten() {
                upstream.warm_keys.note(*key, now);
            }
        }
    }

    /// Takes over what the other entries told: keys that upstreams are warm for, and requests in flight.
    pub(in crate::traffic) fn follow_loads(&mut self, loads: &Loads, now: Now) {
        self.take_over_warmed(loads.heard.take(), now);
        let Some(sums) = loads.others_since(&mut self.loads_seen) else {
            return;
        };
        let groups = self.groups.values_mut();
        for upstream in groups.flat_map(|group| &mut group.upstreams) {
            let told = |sums: &FastMap<_, _>| sums.get(&load_key(upstream.hash)).copied();
            upstream.peers_in_flight = sums.as_ref().as_ref().map(|sums| told(sums).unwrap_or(0));
        }
    }
}
