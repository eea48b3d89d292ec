//! Changes that the store acknowledges just after the hubs or readers of an entry have fallen silent.

mod support;

use std::{
    ops::Range,
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
    Pause,
    Upstream,
    CHANGE_WITHIN,
    ENTRY_NAMES, //
};

/// Time for entries to find each other, and for the calls of those that started first to end.
const SETTLE_TIME: Duration = Duration::from_millis(3500);
/// Time between the loss of the hubs and a change. All messages that were on their way have arrived.
const CHANGE_DELAY: Duration = Duration::from_millis(50);

/// Entries of one region, in two failure domains: the first ones of the names in the first domain.
struct Region {
    store: MemoryStore,
    entries: Vec<Entry>,
    upstreams: [Upstream; 2],
}

impl Region {
    /// Starts this many entries in each domain, and waits until they know each other.
    fn start(domain_sizes: [usize; 2]) -> Self {
        let store = MemoryStore::default();
        store.put_routes(&routes(1));
        let upstreams = [Upstream::responding("a"), Upstream::responding("b")];
        store.put_upstream(&upstream_row("u-1", upstreams[0].addr));
        let domains = [("domain-a", domain_sizes[0]), ("domain-c", domain_sizes[1])];
        let domains = domains
            .into_iter()
            .flat_map(|(domain, size)| std::iter::repeat_n(domain, size));
        let entries: Vec<Entry> = ENTRY_NAMES
            .iter()
            .zip(domains)
            .map(|(name, domain)| {
                let grace = Duration::from_secs(6);
                Entry::start_in_domain(name, "region-a", domain, &store.handle(), grace)
            })
            .collect();
        for entry in &entries {
            entry.wait_ready(true);
        }
        thread::sleep(SETTLE_TIME);
        Self {
            store,
            entries,
            upstreams,
        }
    }

    /// Silences these entries, lets an upstream leave and changes the routes, and returns the pauses and how long after
    /// the change the last of the `observed` entries acts on both.
    fn time_to_change(
        &self,
        silent: Range<usize>,
        observed: Range<usize>,
        version: u64,
    ) -> (Vec<Pause>, Duration) {
        let pauses = silent.map(|index| self.entries[index].pause()).collect();
        thread::sleep(CHANGE_DELAY);
        // One upstream joins as the one of the version before leaves.
        let joining = usize::from(version % 2 == 0);
        let row = |version: u64, index: usize| {
            upstream_row(format!("u-{version}"), self.upstreams[index].addr)
        };
        self.store.put_upstream(&row(version, joining));
        let mut leaving = row(version - 1, 1 - joining);
        leaving.leaving = true;
        self.store.put_upstream(&leaving);
        let mut next = routes(version);
        next.hosts[0].routes[0].prefix = format!("/r{version}/").into();
        self.store.put_routes(&next);
        let changed = Instant::now();
        let body = ["a", "b"][joining].as_bytes();
        let times = self.entries[observed].iter().map(|entry| {
            eventually("the change", || {
                let mut caller = Caller::connect(entry);
                caller.send(request_head("GET", &format!("/r{version}/x"), "a1", ""));
                let response = caller.read_response()?;
                (response.status == 200 && response.body == body).then_some(())
            });
            changed.elapsed()
        });
        let times: Vec<Duration> = times.collect();
        println!("version {version} in force after {times:?}");
        (pauses, changed.elapsed())
    }
}

/// Guards against entries that act on an old configuration, and send to upstreams that leave, because they wait for hubs
/// or readers that are gone.
macro_rules! change_in_force_after_hubs_are_lost {
    ($($name:ident: $domains:expr, $silent:expr, $observed:expr;)*) => {$(
        #[test]
        fn $name() {
            let region = Region::start($domains);
            let (_pauses, took) = region.time_to_change($silent, $observed, 2);
            assert!(took <= CHANGE_WITHIN, "in force after {took:?}");
        }
    )*};
}

change_in_force_after_hubs_are_lost! {
    change_in_force_after_both_hubs_are_lost: [5, 2], 0..2, 2..7;
    change_in_force_after_all_entries_but_one_are_lost: [5, 2], 0..4, 4..7;
    change_in_force_after_all_entries_but_a_leaf_are_lost: [6, 0], 0..5, 5..6;
    change_in_force_at_hubs_whose_reader_is_lost: [2, 4], 0..1, 1..6;
    change_in_force_at_hubs_whose_readers_are_lost_in_turn: [2, 4], 0..2, 2..6;
}

/// Number of times that the hubs are lost in a row.
const LOSSES: u64 = 6;

/// Guards against hubs that come back with an old table and make their leaves wait for them once more.
macro_rules! changes_in_force_while_hubs_come_and_go {
    ($($name:ident: $silent:expr, $observed:expr, $away:expr, $back:expr;)*) => {$(
        #[test]
        fn $name() {
            let region = Region::start([5, 2]);
            for version in 2..2 + LOSSES {
                let (pauses, took) = region.time_to_change($silent, $observed, version);
                assert!(took <= CHANGE_WITHIN, "version {version} in force after {took:?}");
                thread::sleep($away.saturating_sub(took));
                drop(pauses);
                thread::sleep($back);
            }
        }
    )*};
}

changes_in_force_while_hubs_come_and_go! {
    changes_in_force_while_hubs_are_lost_for_short: 0..2, 2..7, Duration::from_millis(1000), Duration::from_millis(300);
    changes_in_force_while_hubs_are_lost_for_long: 0..2, 2..7, Duration::from_millis(5000), Duration::from_millis(1500);
    changes_in_force_while_most_entries_come_and_go: 0..4, 4..7, Duration::from_millis(2000), Duration::from_millis(700);
}
