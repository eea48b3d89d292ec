//! A store that is restored from an older copy: what stays in force, and what is written again.

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

/// Time after which the row of an upstream that has ended expires.
const ROW_EXPIRY: Duration = Duration::from_millis(4500);
/// Longer than an entry waits for rows to be written again.
const AFTER_REWRITE: Duration = Duration::from_millis(8500);

fn status(entry: &Entry, id: &str) -> u16 {
    let mut caller = Caller::connect(entry);
    caller.send(request_head("GET", "/r/x", id, ""));
    caller.read_response().expect("the entry responds").status
}

/// Waits until the entry has read the restored store.
fn wait_for_read(store: &MemoryStore, reads_before: usize) {
    eventually("the whole tables to be read", || {
        (store.table_reads() >= reads_before + 2).then_some(())
    });
}

/// An entry with one upstream that responds.
fn start() -> (MemoryStore, Entry, Upstream) {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let upstream = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let entry = Entry::start("entry-1", &store);
    eventually("a response", || (status(&entry, "a") == 200).then_some(()));
    (store, entry, upstream)
}

/// Guards against a version of the routes that goes back with the store, and against one that is written afterwards and
/// not read because its row has a lower version than the lost one.
#[test]
fn routes_stay_in_force_and_newer_ones_are_read() {
    let (store, entry, _upstream) = start();
    let backup = store.back_up();
    let mut next = routes(4);
    next.hosts[0].routes.remove(0);
    store.put_routes(&next);
    for filler in 0..20 {
        store.put(&format!("operator/other-{filler}"), "");
    }
    eventually("the new routes", || {
        (status(&entry, "b") == 404).then_some(())
    });
    let reads = store.table_reads();
    store.restore(&backup);
    wait_for_read(&store, reads);
    assert_eq!(status(&entry, "c"), 404);
    store.put_routes(&routes(6));
    eventually("the routes written after the restore", || {
        (status(&entry, "d") == 200).then_some(())
    });
}

/// Guards against requests to an evacuated failure domain because the copy is older than the evacuation.
#[test]
fn evacuation_stays_until_its_row_can_have_been_written_again() {
    let (store, entry, _upstream) = start();
    let backup = store.back_up();
    store.put("operator/evacuated/domain-a", "yes");
    eventually("the evacuation", || {
        (status(&entry, "b") == 503).then_some(())
    });
    let reads = store.table_reads();
    store.restore(&backup);
    wait_for_read(&store, reads);
    assert_eq!(status(&entry, "c"), 503);
    store.put("operator/evacuated/domain-a", "yes");
    thread::sleep(AFTER_REWRITE);
    assert_eq!(status(&entry, "d"), 503);
    store.remove("operator/evacuated/domain-a");
    eventually("the end of the evacuation", || {
        (status(&entry, "e") == 200).then_some(())
    });
}

/// Guards against requests to an upstream that has ended because the copy still lists it.
#[test]
fn upstream_that_was_removed_stays_closed_until_it_is_written_again() {
    let (store, entry, upstream) = start();
    let backup = store.back_up();
    store.remove("upstreams/u-1");
    eventually("the removal", || (status(&entry, "b") == 503).then_some(()));
    let reads = store.table_reads();
    store.restore(&backup);
    wait_for_read(&store, reads);
    let before = upstream.requests().len();
    assert_eq!(status(&entry, "c"), 503);
    thread::sleep(ROW_EXPIRY);
    store.remove("upstreams/u-1");
    thread::sleep(AFTER_REWRITE - ROW_EXPIRY);
    assert_eq!(status(&entry, "d"), 503);
    assert_eq!(upstream.requests().len(), before);
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    eventually("the upstream that is listed again", || {
        (status(&entry, "e") == 200).then_some(())
    });
}

/// Guards against an upstream that stays closed for good because its row was written again before it was read.
#[test]
fn upstream_whose_row_does_not_expire_is_used_again() {
    let (store, entry, upstream) = start();
    store.remove("upstreams/u-1");
    eventually("the removal", || (status(&entry, "b") == 503).then_some(()));
    let backup = store.back_up();
    let reads = store.table_reads();
    store.restore(&backup);
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    wait_for_read(&store, reads);
    eventually("the upstream whose row is still there", || {
        (status(&entry, "c") == 200).then_some(())
    });
}

/// Guards against refusals because the copy is older than an upstream, and against requests to an upstream that ended
/// while the store was away.
#[test]
fn upstream_that_the_copy_lacks_is_used_until_it_can_have_been_written_again() {
    let (store, entry, upstream) = start();
    let without = {
        let other = MemoryStore::default();
        other.put_routes(&routes(1));
        other.back_up()
    };
    let reads = store.table_reads();
    store.restore(&without);
    wait_for_read(&store, reads);
    assert_eq!(status(&entry, "b"), 200);
    eventually("the end of the wait", || {
        (status(&entry, "c") == 503).then_some(())
    });
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    eventually("the upstream that is listed again", || {
        (status(&entry, "d") == 200).then_some(())
    });
}

/// Guards against entries that can't find each other because the copy is older than their rows, and against a second
/// secret key.
#[test]
fn rows_of_entries_are_written_again() {
    let (store, _entry, _upstream) = start();
    let empty = MemoryStore::default().back_up();
    assert!(store.has("entries/entry-1") && store.has("entries/.key"));
    store.restore(&empty);
    eventually("the rows", || {
        (store.has("entries/entry-1") && store.has("entries/.key")).then_some(())
    });
}
