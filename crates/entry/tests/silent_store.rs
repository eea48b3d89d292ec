//! Changes that are written as soon as a store that has left calls unanswered is back.

mod support;

use std::{
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
