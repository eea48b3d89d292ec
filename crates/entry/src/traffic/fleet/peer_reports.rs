//! Reports about upstreams exchanged with other entries.

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
    /// Returns the number of this entry's requests in flight at each upstream that has any.
    pub(in crate::traffic) fn loads(&self) -> Vec<Load> {
        let upstreams = self.groups.values().flat_map(|group| &group.upstreams);
        upstreams
            .filter(|upstream| upstream.in_flight > 0)
            .map(|upstream| (load_key(upstream.incarnation_hash()), upstream.in_flight))
            .collect()
    }

    /// Takes the keys that upstreams were warmed for since the last call.
    pub(in crate::traffic) fn take_unreported_warm_keys(&mut self) -> Vec<WarmKey> {
        std::mem::take(&mut self.unreported_warm_keys)
    }

    /// Returns all keys that upstreams are known to be warm for.
    pub(in crate::traffic) fn all_warm_keys(&self) -> Vec<WarmKey> {
        let upstreams = self.groups.values().flat_map(|group| &group.upstreams);
        let keys = upstreams.flat_map(|upstream| {
            let keys = upstream.warm_keys.keys();
            keys.map(|key| WarmKey(upstream.incarnation_hash(), key))
        });
        keys.collect()
    }

    fn merge_warm_keys(&mut self, keys: Vec<WarmKey>, now: Now) {
        if keys.is_empty() {
            return;
        }
        let mut by_upstream: FastMap<u64, Vec<u64>> = FastMap::default();
        for WarmKey(upstream, key) in keys {
            by_upstream.entry(upstream).or_default().push(key);
        }
        let groups = self.groups.values_mut();
        for upstream in groups.flat_map(|group| &mut group.upstreams) {
            let keys = by_upstream.get(&upstream.incarnation_hash());
            for key in keys.into_iter().flatten() {
                upstream.warm_keys.note(*key, now);
            }
        }
    }

    /// Applies the warm keys and the requests in flight reported by other entries.
    pub(in crate::traffic) fn update_peer_loads(&mut self, loads: &Loads, now: Now) {
        self.merge_warm_keys(loads.received_warm_keys.take(), now);
        let Some(sums) = loads.others_if_changed(&mut self.loads_seen) else {
            return;
        };
        let groups = self.groups.values_mut();
        for upstream in groups.flat_map(|group| &mut group.upstreams) {
            let key = load_key(upstream.incarnation_hash());
            let of_upstream = |sums: &FastMap<_, _>| sums.get(&key).copied();
            upstream.peers_in_flight = sums
                .as_ref()
                .as_ref()
                .map(|sums| of_upstream(sums).unwrap_or(0));
        }
    }
}
