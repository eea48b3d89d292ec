//! Entries of one failure domain, of which two are hubs: what the others learn through them.

mod support;

use std::{
    thread,
    time::Duration, //
};
use support::{
    eventually,
    listed,
    request,
    routes,
    Caller,
    Entry,
    MemoryStore,
    Upstream, //
};

/// In order of their names, so that the first two are hubs.
const NAMES: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];
/// Entries of another domain, of which none is the reader of the region.
const OTHERS: [&str; 3] = ["entry-5", "entry-6", "entry-7"];
/// In which a call that waits at the store has ended.
const CALLS_END: Duration = Duration::from_millis(2600);

/// Longer than an entry waits for a message of its hubs.
const QUIET: Duration = Duration::from_millis(7500);

/// Entries with a handle to the store each.
struct Domain {
    store: MemoryStore,
    handles: Vec<MemoryStore>,
    entries: Vec<Entry>,
    upstream: Upstream,
}

impl Domain {
    /// Two hubs, then two leaves, which know of each other.
    fn start() -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        let upstream = Upstream::good("ok");
        store.put_upstream(&listed("u-1", upstream.addr));
        let handles: Vec<MemoryStore> = NAMES.iter().map(|_| store.handle()).collect();
        let named = NAMES.iter().zip(&handles);
        let entries = named.map(|(name, handle)| Entry::start_uncounted(name, handle));
        let domain = Self {
            entries: entries.collect(),
            store,
            handles,
            upstream,
        };
        thread::sleep(CALLS_END);
        domain
    }

    /// Waits until an entry serves by routes of this version, which only it has.
    fn wait_for_routes(&self, place: usize, version: u64) {
        let path = format!("/r{version}/x");
        eventually("the next routes", || {
            let mut caller = Caller::connect(&self.entries[place]);
            caller.send(request("GET", &path, "a1", ""));
            (caller.answer()?.status == 200).then_some(())
        });
    }

    fn put_routes(&self, version: u64) {
        let mut next = routes(version);
        next.hosts[0].routes[0].prefix = format!("/r{version}/").into();
        self.store.put_routes(&next);
    }

    fn asked(&self, place: usize) -> usize {
        self.handles[place].changes_asked()
    }
}

/// Each entry would follow the store by itself: with hundreds of them, more calls than the store bears.
#[test]
fn leaves_do_not_call_the_store() {
    let domain = Domain::start();
    let before = [domain.asked(2), domain.asked(3)];
    for version in 2..5 {
        domain.put_routes(version);
        domain.wait_for_routes(2, version);
        domain.wait_for_routes(3, version);
    }
    // While nothing changes, no rows come; the hubs are there all the same.
    thread::sleep(QUIET);
    assert_eq!([domain.asked(2), domain.asked(3)], before);
    assert!(!domain.upstream.seen().is_empty());
}

/// A leaf would take the hubs of its domain for lost while nothing changes: they forward what a reader elsewhere reads.
#[test]
fn leaves_of_a_domain_without_a_reader_do_not_call_the_store() {
    let domain = Domain::start();
    let handles: Vec<MemoryStore> = OTHERS.iter().map(|_| domain.store.handle()).collect();
    let grace = Duration::from_secs(6);
    let others = OTHERS.iter().zip(&handles).map(|(name, handle)| {
        let entry = Entry::start_in_domain(name, "region-a", "domain-c", handle, grace);
        entry.wait_ready(true);
        entry
    });
    let _others: Vec<Entry> = others.collect();
    thread::sleep(CALLS_END);
    let asked = || -> Vec<usize> { handles.iter().map(MemoryStore::changes_asked).collect() };
    let before = asked();
    thread::sleep(QUIET);
    assert_eq!(asked(), before);
}

/// A whole table a process at the start of a deployment: most of all calls of a quiet day.
#[test]
fn a_new_leaf_takes_its_hubs_picture() {
    let domain = Domain::start();
    assert!(domain.handles[0].tables_read() > 0);
    assert_eq!(domain.handles[2].tables_read(), 0);
    assert_eq!(domain.handles[3].tables_read(), 0);
}

/// A leaf that waits for hubs which have ended would keep old routes.
#[test]
fn a_leaf_learns_after_its_hubs_were_killed() {
    let mut domain = Domain::start();
    for mut hub in domain.entries.drain(..2) {
        hub.stop();
    }
    domain.put_routes(2);
    domain.wait_for_routes(0, 2);
    domain.wait_for_routes(1, 2);
}

/// A leaf that waits for hubs which the store turns away would keep old routes.
#[test]
fn a_leaf_learns_though_its_hubs_cannot_read() {
    let domain = Domain::start();
    domain.handles[0].set_down(true);
    domain.handles[1].set_down(true);
    domain.put_routes(2);
    domain.wait_for_routes(2, 2);
    domain.wait_for_routes(3, 2);
    // And the hubs learn from their leaves.
    domain.wait_for_routes(0, 2);
    domain.wait_for_routes(1, 2);
}

/// A hub that is no reader would wait for a reader that the store turns away.
#[test]
fn a_hub_learns_though_its_reader_cannot_read() {
    let domain = Domain::start();
    domain.handles[0].set_down(true);
    domain.put_routes(2);
    for place in [1, 2, 3, 0] {
        domain.wait_for_routes(place, 2);
    }
}
