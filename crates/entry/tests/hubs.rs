//! What entries of a failure domain learn through the two of them that are its hubs.

mod support;

use std::{
    thread,
    time::Duration, //
};
use support::{
    eventually,
    request_head,
    routes,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Upstream, //
};

/// Sorted by name, so the first two are the hubs.
const ENTRY_NAMES: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];
/// Entries of another domain; none of them is the region's reader.
const OTHER_DOMAIN_ENTRIES: [&str; 3] = ["entry-5", "entry-6", "entry-7"];
/// Time after which calls that wait for changes at the store have ended.
const CALL_TIME: Duration = Duration::from_millis(2600);

/// Time without changes; longer than an entry waits for a message from its hubs.
const QUIET_TIME: Duration = Duration::from_millis(7500);

/// The entries of a failure domain, each with its own handle to the store.
struct Domain {
    store: MemoryStore,
    handles: Vec<MemoryStore>,
    entries: Vec<Entry>,
    upstream: Upstream,
}

impl Domain {
    /// Starts two hubs and two leaves, in this order, and waits until they know each other.
    fn start() -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        let upstream = Upstream::responding("ok");
        store.put_upstream(&upstream_row("u-1", upstream.addr));
        let handles: Vec<MemoryStore> = ENTRY_NAMES.iter().map(|_| store.handle()).collect();
        let named_handles = ENTRY_NAMES.iter().zip(&handles);
        let entries = named_handles.map(|(name, handle)| Entry::start_uncounted(name, handle));
        let domain = Self {
            entries: entries.collect(),
            store,
            handles,
            upstream,
        };
        thread::sleep(CALL_TIME);
        domain
    }

    /// Waits until an entry uses routes that [`Self::put_routes`] has stored, by a path that only this version has.
    fn wait_for_routes(&self, index: usize, version: u64) {
        let path = format!("/r{version}/x");
        eventually("the next routes", || {
            let mut caller = Caller::connect(&self.entries[index]);
            caller.send(request_head("GET", &path, "a1", ""));
            (caller.read_response()?.status == 200).then_some(())
        });
    }

    fn put_routes(&self, version: u64) {
        let mut next = routes(version);
        next.hosts[0].routes[0].prefix = format!("/r{version}/").into();
        self.store.put_routes(&next);
    }

    fn change_calls(&self, index: usize) -> usize {
        self.handles[index].change_calls()
    }
}

/// Guards against each entry following the store by itself: hundreds of entries would overload the store.
#[test]
fn leaves_do_not_call_the_store() {
    let domain = Domain::start();
    let before = [domain.change_calls(2), domain.change_calls(3)];
    for version in 2..5 {
        domain.put_routes(version);
        domain.wait_for_routes(2, version);
        domain.wait_for_routes(3, version);
    }
    // While nothing changes, hubs send no rows; the leaves must not consider them lost.
    thread::sleep(QUIET_TIME);
    assert_eq!([domain.change_calls(2), domain.change_calls(3)], before);
    assert!(!domain.upstream.requests().is_empty());
}

/// Guards against a leaf that considers the hubs of its domain lost while nothing changes, because these hubs forward
/// what a reader in another domain has read.
#[test]
fn leaves_of_a_domain_without_a_reader_do_not_call_the_store() {
    let domain = Domain::start();
    let handles: Vec<MemoryStore> = OTHER_DOMAIN_ENTRIES
        .iter()
        .map(|_| domain.store.handle())
        .collect();
    let grace = Duration::from_secs(6);
    let other_domain_entries = OTHER_DOMAIN_ENTRIES
        .iter()
        .zip(&handles)
        .map(|(name, handle)| {
            let entry = Entry::start_in_domain(name, "region-a", "domain-c", handle, grace);
            entry.wait_ready(true);
            entry
        });
    let _other_domain_entries: Vec<Entry> = other_domain_entries.collect();
    thread::sleep(CALL_TIME);
    let change_calls = || -> Vec<usize> { handles.iter().map(MemoryStore::change_calls).collect() };
    let before = change_calls();
    thread::sleep(QUIET_TIME);
    assert_eq!(change_calls(), before);
}

/// Guards against each process reading whole tables when a deployment starts, which would be most calls of a day
/// without incidents.
#[test]
fn new_leaf_gets_its_routing_view_from_its_hubs() {
    let domain = Domain::start();
    assert!(domain.handles[0].table_reads() > 0);
    assert_eq!(domain.handles[2].table_reads(), 0);
    assert_eq!(domain.handles[3].table_reads(), 0);
}

/// Guards against a leaf that keeps old routes as it waits for hubs that have ended.
#[test]
fn leaf_gets_new_routes_after_its_hubs_stopped() {
    let mut domain = Domain::start();
    for mut hub in domain.entries.drain(..2) {
        hub.stop();
    }
    domain.put_routes(2);
    domain.wait_for_routes(0, 2);
    domain.wait_for_routes(1, 2);
}

/// Guards against a leaf that keeps old routes as it waits for hubs whose calls the store refuses.
#[test]
fn leaf_gets_new_routes_while_the_store_refuses_its_hubs() {
    let domain = Domain::start();
    domain.handles[0].set_down(true);
    domain.handles[1].set_down(true);
    domain.put_routes(2);
    domain.wait_for_routes(2, 2);
    domain.wait_for_routes(3, 2);
    // The hubs learn of them from their leaves.
    domain.wait_for_routes(0, 2);
    domain.wait_for_routes(1, 2);
}

/// Guards against a hub that keeps old routes as it waits for a reader whose calls the store refuses.
#[test]
fn hub_gets_new_routes_while_the_store_refuses_the_reader() {
    let domain = Domain::start();
    domain.handles[0].set_down(true);
    domain.put_routes(2);
    for index in [1, 2, 3, 0] {
        domain.wait_for_routes(index, 2);
    }
}

/// Guards against readers of several regions that each ask the store as often as the first of them, which multiplies the
/// calls on tables that don't change.
#[test]
fn readers_after_the_first_call_half_as_often() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let regions = ["region-a", "region-b"];
    let handles: Vec<MemoryStore> = regions.iter().map(|_| store.handle()).collect();
    let start = |index: usize| {
        let grace = Duration::from_secs(6);
        Entry::start_unready(ENTRY_NAMES[index], regions[index], &handles[index], grace)
    };
    let entries: Vec<Entry> = (0..regions.len()).map(start).collect();
    for entry in &entries {
        entry.wait_ready(true);
    }
    thread::sleep(CALL_TIME * 2);
    let change_calls = || handles.iter().map(MemoryStore::change_calls);
    let before: Vec<usize> = change_calls().collect();
    thread::sleep(QUIET_TIME);
    let calls: Vec<usize> = change_calls()
        .zip(before)
        .map(|(now, before)| now - before)
        .collect();
    assert!(calls[1] * 3 <= calls[0] * 2, "{calls:?}");
}
