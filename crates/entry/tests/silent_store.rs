//! Changes that are written as soon as a store that has left calls unanswered is back.

mod support;

use std::{
    ops::RangeInclusive,
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use support::{
    eventually,
    request_head,
    routes,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Upstream,
    ENTRY_NAMES, //
};

/// Time after the end of an outage within which changes have to be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

fn status(entry: &Entry, id: &str) -> u16 {
    let mut caller = Caller::connect(entry);
    caller.send(request_head("GET", "/r/x", id, ""));
    caller.read_response().expect("the entry responds").status
}

/// Returns how long after the end of an outage all entries have the routes that were written at that time. The outage
/// ends as the first entry begins to wait for an answer that doesn't come, and only for this many of the entries.
fn time_to_new_routes(entry_count: usize, returning: usize, outage: Duration) -> Duration {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let upstream = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let handles: Vec<MemoryStore> = (0..entry_count).map(|_| store.handle()).collect();
    let start = |(index, handle)| Entry::start(ENTRY_NAMES[index], handle);
    let entries: Vec<Entry> = handles.iter().enumerate().map(start).collect();
    for handle in &handles {
        handle.set_silent(true);
    }
    thread::sleep(outage);
    handles[0].wait_for_call("operator");
    for handle in &handles[..returning] {
        handle.set_silent(false);
    }
    let returned = Instant::now();
    let mut next = routes(2);
    next.hosts[0].routes.remove(0);
    store.put_routes(&next);
    for entry in &entries {
        eventually("the new routes", || {
            (status(entry, "a") == 404).then_some(())
        });
    }
    returned.elapsed()
}

/// Guards against entries that use old routes for seconds because they wait for an answer that was lost in an outage.
macro_rules! routes_in_force_after_silence {
    ($($name:ident: $entries:expr, $returning:expr, $outage_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let took = time_to_new_routes($entries, $returning, Duration::from_secs($outage_s));
            assert!(took <= IN_FORCE_WITHIN, "in force after {took:?}");
        }
    )*};
}

routes_in_force_after_silence! {
    routes_in_force_after_a_short_silence: 1, 1, 4;
    routes_in_force_after_a_long_silence: 1, 1, 11;
    routes_in_force_at_all_entries_after_a_long_silence: 4, 4, 11;
    routes_in_force_at_entries_for_which_the_silence_lasts: 4, 1, 11;
}

/// Time after its acknowledgement within which a change has to be in force at every entry.
const CHANGE_IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Returns how long after the store has a change it is in force at all of the `observed` entries, if for `silence` only
/// the one at `reading` has got answers of the store.
fn time_to_new_routes_through(
    reading: usize,
    observed: RangeInclusive<usize>,
    silence: Duration,
) -> Duration {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let upstream = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let handles: Vec<MemoryStore> = (0..4).map(|_| store.handle()).collect();
    let start = |(index, handle)| Entry::start(ENTRY_NAMES[index], handle);
    let entries: Vec<Entry> = handles.iter().enumerate().map(start).collect();
    handles[0].wait_for_call("operator");
    for (index, handle) in handles.iter().enumerate() {
        handle.set_silent(index != reading);
    }
    thread::sleep(silence);
    let mut next = routes(2);
    next.hosts[0].routes.remove(0);
    store.put_routes(&next);
    let written = Instant::now();
    for entry in &entries[observed] {
        eventually("the new routes", || {
            (status(entry, "a") == 404).then_some(())
        });
    }
    written.elapsed()
}

/// Guards against entries that answer by old routes for seconds because the store answers only one other entry.
macro_rules! routes_in_force_through_one_entry {
    ($($name:ident: $reading:expr, $observed:expr, $silence_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let took = time_to_new_routes_through($reading, $observed, Duration::from_secs($silence_s));
            assert!(took <= CHANGE_IN_FORCE_WITHIN, "in force after {took:?}");
        }
    )*};
}

routes_in_force_through_one_entry! {
    routes_in_force_through_the_first_entry: 0, 0..=3, 9;
    routes_in_force_through_another_hub: 1, 0..=3, 9;
    routes_in_force_through_a_leaf: 3, 0..=3, 9;
    routes_in_force_where_the_reader_has_just_lost_the_store: 1, 1..=3, 0;
}

/// Guards against a final 404 for a route that was added while no entry could learn of it.
macro_rules! unknown_route_is_not_denied_by_outdated_routes {
    ($($name:ident: $entries:expr;)*) => {$(
        #[test]
        fn $name() {
            deny_no_unknown_route_by_outdated_routes($entries);
        }
    )*};
}

unknown_route_is_not_denied_by_outdated_routes! {
    unknown_route_is_not_denied_in_an_outage: 1;
    unknown_route_is_not_denied_by_entries_that_hear_each_other: 3;
}

fn deny_no_unknown_route_by_outdated_routes(entry_count: usize) {
    let store = MemoryStore::default();
    let mut first = routes(1);
    first.hosts[0].routes.remove(0);
    store.put_routes(&first);
    let upstream = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let names = &ENTRY_NAMES[..entry_count];
    let entries: Vec<Entry> = names
        .iter()
        .map(|name| Entry::start(name, &store))
        .collect();
    let entry = &entries[0];
    assert_eq!(status(entry, "a"), 404);
    store.set_silent(true);
    thread::sleep(Duration::from_secs(8));
    let mut caller = Caller::connect(entry);
    caller.send(request_head("GET", "/r/x", "b", ""));
    let response = caller.read_response().expect("the entry responds");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    store.set_silent(false);
    eventually("certainty that there is no such route", || {
        (status(entry, "c") == 404).then_some(())
    });
    store.put_routes(&routes(2));
    eventually("the new route", || {
        (status(entry, "d") == 200).then_some(())
    });
}
