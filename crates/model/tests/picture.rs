//! Searches of routing views: with all guards on the invariant holds; with any one guard off the
//! search finds a counterexample.

mod common;

use common::{
    breaks,
    holds, //
};
use model::RoutingViewModel;
use picture::Guards;

/// Two entries, four rows of one upstream, two messages.
fn two_entries(guards: Guards) -> RoutingViewModel {
    RoutingViewModel {
        guards,
        rows: 4,
        messages: 2,
        restarts: 0,
        ticks: 1,
        restores: 0,
        departures: 0,
    }
}

/// Two entries, three rows, one message and one response of the leaving upstream.
fn departed(guards: Guards) -> RoutingViewModel {
    RoutingViewModel {
        rows: 3,
        messages: 1,
        departures: 1,
        ..two_entries(guards)
    }
}

/// The same with a store that is restored once.
fn departed_and_restored(guards: Guards) -> RoutingViewModel {
    RoutingViewModel {
        rows: 2,
        restores: 1,
        ..departed(guards)
    }
}

/// Two entries, one message, and a store that is restored once.
fn restored(guards: Guards) -> RoutingViewModel {
    RoutingViewModel {
        rows: 3,
        messages: 1,
        restores: 1,
        ..two_entries(guards)
    }
}

/// Two entries with one message and a restart of one of them.
fn restarted(guards: Guards) -> RoutingViewModel {
    RoutingViewModel {
        messages: 1,
        restarts: 1,
        ticks: 2,
        ..two_entries(guards)
    }
}

holds! {
    closed_upstream_stays_closed_until_listed_again: two_entries;
    closed_upstream_stays_closed_after_a_restart: restarted;
    closed_upstream_stays_closed_after_a_restore: restored;
    departed_upstream_stays_closed: departed;
    departed_upstream_stays_closed_after_a_restore: departed_and_restored;
}

breaks! {
    /// An upstream that has left gets work: an update of an entry that had not read the removal yet
    /// arrives late.
    an_older_update_applied: two_entries, versions, "sends to it";
    /// As above, at all entries at once: one entry, which has just reached the store again, treats the
    /// removal as unconfirmed and sends its view.
    an_unconfirmed_removal_sent_as_a_listing: two_entries, unconfirmed_removals, "sends to it";
    /// As above, at a process that has just started: it reads the table, in which the row is missing,
    /// and then receives the row from an entry whose view is stale.
    an_unknown_upstream_taken_from_a_stale_entry: restarted, read_position, "has it open";
    /// An upstream that said itself that it leaves gets work, because its row doesn't say so.
    a_departure_that_rows_override: departed, departures, "sends to it";
    /// An upstream that has left gets work: the store was restored from a copy that lists it.
    a_copy_that_lists_a_removed_upstream: restored, restored_removals, "sends to it";
    /// As above, at an entry that has not read the copy: another one that has just started sends it what it has read.
    a_copy_sent_by_an_entry_that_has_just_started: restored, copied_listings, "sends to it";
}
