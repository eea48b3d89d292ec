//! Application of updates by version, independent of their order and source.

use base::Now;
use picture::{
    Applied,
    Departure,
    Guards,
    ListedUpstream,
    RoutingView, //
};
use route::{
    CallerLimits,
    Routes, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

fn s(s: u64) -> Now {
    Duration::from_secs(s)
}

fn row(id: &'static str) -> ListedUpstream {
    ListedUpstream {
        id: id.into(),
        service: "svc".into(),
        region: "region-a".into(),
        failure_domain: "domain-a".into(),
        addr: "127.0.0.1:9".parse().expect("valid socket address"),
        slots: 8,
        leaving: false,
        cold_left: Duration::ZERO,
        started_ms: 0,
        writes: None,
    }
}

fn routes(version: u64) -> Routes {
    Routes {
        version,
        services: Vec::new(),
        limits: CallerLimits::default(),
        hosts: Vec::new(),
        organisations: None,
    }
}

fn leaving(id: &'static str) -> ListedUpstream {
    ListedUpstream {
        leaving: true,
        ..row(id)
    }
}

/// Whether an upstream is open, closed or unknown.
fn state(view: &RoutingView, id: &str, now: Now) -> &'static str {
    let mut upstreams = view.upstreams(now);
    match upstreams.find(|(listed, ..)| listed.id == id) {
        Some((_, false, _)) => "open",
        Some((_, true, _)) => "closed",
        None => "unknown",
    }
}

#[test]
fn only_higher_routes_are_applied() {
    let mut view = RoutingView::default();
    assert_eq!(view.apply_routes(&Arc::new(routes(5))), Applied::Changed);
    assert_eq!(view.apply_routes(&Arc::new(routes(4))), Applied::Unchanged);
    assert_eq!(view.apply_routes(&Arc::new(routes(5))), Applied::Unchanged);
    assert_eq!(view.apply_routes(&Arc::new(routes(9))), Applied::Changed);
    assert_eq!(view.routes_version(), 9);
}

/// Guards against new work for a leaving upstream: after the row that shows it as leaving, an older
/// update arrives from another source, or a later row of the same incarnation shows it as live.
#[test]
fn leaving_is_permanent() {
    let mut view = RoutingView::default();
    view.apply_upstream(&row("u"), 3, s(1));
    assert_eq!(state(&view, "u", s(1)), "open");
    view.apply_upstream(&leaving("u"), 7, s(2));
    assert_eq!(view.apply_upstream(&row("u"), 3, s(3)), Applied::Unchanged);
    view.apply_upstream(&row("u"), 8, s(3));
    assert_eq!(state(&view, "u", s(3)), "closed");
}

/// A removed row closes its upstream at once; older updates don't reopen it, newer ones do.
#[test]
fn removed_row_closes_upstream() {
    let mut view = RoutingView::default();
    view.apply_upstream(&row("u"), 3, s(1));
    view.apply_removal(&"u".into(), 5, false, s(2));
    assert_eq!(state(&view, "u", s(2)), "closed");
    view.apply_upstream(&row("u"), 4, s(3));
    assert_eq!(state(&view, "u", s(3)), "closed");
    view.sweep(s(20));
    view.apply_upstream(&row("u"), 4, s(21));
    assert_eq!(state(&view, "u", s(21)), "unknown");
    view.apply_upstream(&row("u"), 6, s(22));
    assert_eq!(state(&view, "u", s(22)), "open");
}

/// Guards against treating a missing row as a removal right after an outage of the store: rows expire
/// while their owners can't write them, and for two seconds no upstream was open. A row that stays
/// missing is a removal.
#[test]
fn rows_missing_after_outage_have_a_grace_period() {
    let mut view = RoutingView::default();
    view.apply_upstream(&row("u"), 3, s(1));
    view.apply_upstream(&row("v"), 4, s(1));
    view.apply_upstream(&leaving("w"), 4, s(1));
    view.apply_upstream_table(&[], 9, true, s(10));
    assert_eq!(state(&view, "u", s(10)), "open");
    assert_eq!(state(&view, "w", s(10)), "closed");
    assert_eq!(
        view.next_closing(s(10)),
        Some(s(10) + Duration::from_millis(1500))
    );
    view.apply_upstream(&row("u"), 11, s(11));
    assert_eq!(state(&view, "u", s(12)), "open");
    assert_eq!(state(&view, "v", s(12)), "closed");
}

/// Rows that are missing from a whole table are gone, except those newer than the table.
#[test]
fn whole_table_applies_up_to_its_position() {
    let mut view = RoutingView::default();
    view.apply_upstream(&row("old"), 3, s(1));
    view.apply_upstream(&row("new"), 12, s(1));
    view.apply_upstream_table(&[(4, row("listed"))], 10, false, s(2));
    assert_eq!(state(&view, "old", s(2)), "closed");
    assert_eq!(state(&view, "new", s(2)), "open");
    assert_eq!(state(&view, "listed", s(2)), "open");
}

/// An evacuation closes a failure domain; after its end the upstreams count as cold until newer rows
/// say otherwise.
#[test]
fn evacuation_closes_domain_and_leaves_upstreams_cold() {
    let mut view = RoutingView::default();
    view.apply_upstream(&row("u"), 3, s(1));
    view.apply_evacuation(&"domain-a".into(), true, 5, s(2));
    assert_eq!(state(&view, "u", s(2)), "closed");
    assert_eq!(
        view.apply_evacuation(&"domain-a".into(), false, 4, s(3)),
        Applied::Unchanged
    );
    assert_eq!(state(&view, "u", s(3)), "closed");
    view.apply_evacuation(&"domain-a".into(), false, 6, s(4));
    let cold_until = |view: &RoutingView| view.upstreams(s(4)).next().expect("one").2;
    assert!(cold_until(&view) > s(4));
    view.apply_upstream(&row("u"), 7, s(4));
    assert_eq!(cold_until(&view), Now::ZERO);
}

/// Guards against full load at once on upstreams whose evacuation has just ended: an entry learns of the
/// end first and then reads a row that was written before it. Such a row doesn't describe how cold the
/// upstream is after the end.
#[test]
fn row_older_than_evacuation_end_keeps_upstream_cold() {
    let mut view = RoutingView::default();
    view.apply_upstream(&row("u"), 3, s(1));
    view.apply_evacuation(&"domain-a".into(), true, 4, s(2));
    view.apply_evacuation(&"domain-a".into(), false, 6, s(4));
    view.apply_upstream(&row("u"), 5, s(4));
    let cold_until = |view: &RoutingView| view.upstreams(s(4)).next().expect("one").2;
    assert!(cold_until(&view) > s(4));
    view.apply_upstream(&row("u"), 7, s(4));
    assert_eq!(cold_until(&view), Now::ZERO);
}

/// Guards against an evacuation that stays in force after its end: the store's history is gone, and with
/// it the removal of the row, so a new read of the whole table must also end what has no row.
#[test]
fn evacuation_without_row_has_ended() {
    let mut view = RoutingView::default();
    let with_row = ["domain-a".into()];
    view.apply_evacuation(&with_row[0], true, 5, s(1));
    view.end_evacuations_without_row(&with_row, 5, s(1));
    assert!(view.is_evacuated("domain-a"));
    view.end_evacuations_without_row(&[], 9, s(2));
    assert!(!view.is_evacuated("domain-a"));
}

/// Guards against two more seconds of requests to an upstream that has left: an entry whose store has just
/// come back keeps it open for the grace period and sent the others a listing at the version of the
/// removal, which they took for a new row of the owner.
#[test]
fn unconfirmed_removal_is_not_reported() {
    let mut certain = RoutingView::default();
    let mut unconfirmed = RoutingView::default();
    for view in [&mut certain, &mut unconfirmed] {
        view.apply_upstream(&row("u"), 3, s(1));
    }
    certain.apply_removal(&"u".into(), 5, false, s(2));
    unconfirmed.apply_removal(&"u".into(), 5, true, s(3));
    assert_eq!(state(&unconfirmed, "u", s(3)), "open");
    certain.apply_upstream_updates(&unconfirmed.upstream_updates(0, s(3)), s(3));
    assert_eq!(state(&certain, "u", s(3)), "closed");
    // A removal takes precedence over a listing of the same version, whatever its source.
    assert_eq!(
        certain.apply_upstream(&row("u"), 5, s(4)),
        Applied::Unchanged
    );
    assert_eq!(state(&certain, "u", s(4)), "closed");
    // After the grace period the removal is reported.
    let mut third = RoutingView::default();
    third.apply_upstream(&row("u"), 3, s(1));
    third.apply_upstream_updates(&unconfirmed.upstream_updates(0, s(5)), s(5));
    assert_eq!(state(&third, "u", s(5)), "closed");
}

/// Guards against an entry that has just got the store back and sends to an upstream that all others know
/// to be gone: an update of an entry without an outage must confirm the removal.
#[test]
fn certain_removal_confirms_unconfirmed_one() {
    let mut certain = RoutingView::default();
    let mut unconfirmed = RoutingView::default();
    for view in [&mut certain, &mut unconfirmed] {
        view.apply_upstream(&row("u"), 3, s(1));
    }
    certain.apply_removal(&"u".into(), 5, false, s(2));
    unconfirmed.apply_removal(&"u".into(), 5, true, s(3));
    let updates = certain.upstream_updates(0, s(3));
    assert_eq!(
        unconfirmed.apply_upstream_updates(&updates, s(3)),
        Applied::Changed
    );
    assert_eq!(state(&unconfirmed, "u", s(3)), "closed");
}

/// Guards against a newly started process that sends to an upstream which is long gone, or applies an
/// evacuation that has ended: it reads the whole tables and then gets updates that it requested from an
/// entry without access to the store. A row that is missing from a whole table left no version to
/// compare the old update with. The search in `model` found this.
#[test]
fn rows_missing_from_whole_table_are_gone_whatever_the_source() {
    let mut behind = RoutingView::default();
    behind.apply_upstream(&row("u"), 3, s(1));
    behind.apply_evacuation(&"domain-a".into(), true, 4, s(1));
    let mut started = RoutingView::default();
    started.apply_upstream_table(&[(6, row("v"))], 9, false, s(2));
    started.end_evacuations_without_row(&[], 9, s(2));
    let updates = behind.upstream_updates(0, s(2));
    assert_eq!(
        started.apply_upstream_updates(&updates, s(2)),
        Applied::Unchanged
    );
    assert_eq!(state(&started, "u", s(2)), "unknown");
    assert_eq!(
        started.apply_evacuation_updates(&behind.evacuation_updates(), s(2)),
        Applied::Unchanged
    );
    assert!(!started.is_evacuated("domain-a"));
    // Updates that are newer than the table are applied.
    behind.apply_upstream(&row("w"), 12, s(3));
    behind.apply_evacuation(&"domain-b".into(), true, 11, s(3));
    let updates = behind.upstream_updates(0, s(3));
    assert_eq!(
        started.apply_upstream_updates(&updates, s(3)),
        Applied::Changed
    );
    assert_eq!(state(&started, "w", s(3)), "open");
    started.apply_evacuation_updates(&behind.evacuation_updates(), s(3));
    assert!(started.is_evacuated("domain-b"));
}

/// Guards against reopening an upstream whose row was removed, written again and removed again: the entry
/// reads the first removal and then a whole table without the row, and a delayed message lists the row in
/// between. The second removal must replace the version of the first. The search in `model` found this.
#[test]
fn listing_between_two_removals_is_outdated() {
    let mut view = RoutingView::default();
    view.apply_upstream(&row("u"), 1, s(1));
    view.apply_removal(&"u".into(), 2, false, s(2));
    view.apply_upstream_table(&[], 4, true, s(3));
    let mut behind = RoutingView::default();
    behind.apply_upstream(&row("u"), 3, s(3));
    view.apply_upstream_updates(&behind.upstream_updates(0, s(3)), s(3));
    assert_eq!(state(&view, "u", s(3)), "closed");
}

fn incarnation(started_ms: u64, leaving: bool) -> ListedUpstream {
    ListedUpstream {
        started_ms,
        leaving,
        ..row("u")
    }
}

/// Updates about two incarnations of one name, as (row version, listing or removal), and the state after
/// them in any rotation, forwards and backwards.
macro_rules! incarnations {
    ($($name:ident: $updates:expr => $state:literal;)*) => {$(
        #[test]
        fn $name() {
            let updates: &[(u64, Option<ListedUpstream>)] = &$updates;
            for first in 0..updates.len() {
                for backwards in [false, true] {
                    let mut view = RoutingView::default();
                    let count = updates.len();
                    for step in 0..count {
                        let index = if backwards { first + count - step } else { first + step };
                        let (version, listed) = &updates[index % count];
                        match listed {
                            Some(listed) => view.apply_upstream(listed, *version, s(1)),
                            None => view.apply_removal(&"u".into(), *version, false, s(1)),
                        };
                    }
                    assert_eq!(state(&view, "u", s(1)), $state, "from {first}, {backwards}");
                }
            }
        }
    )*};
}

// Guard against an upstream that gets no work after it left and restarted under the same name, because both
// incarnations were treated as one and leaving is permanent. Conversely, a write of the earlier incarnation
// that takes effect late must neither close nor reopen the later one.
incarnations! {
    later_incarnation_reopens_after_leaving: [
        (1, Some(incarnation(10, true))),
        (2, Some(incarnation(20, false)))
    ] => "open";
    later_incarnation_reopens_after_removal: [
        (1, Some(incarnation(10, false))),
        (2, None),
        (3, Some(incarnation(20, false)))
    ] => "open";
    same_incarnation_stays_leaving: [
        (1, Some(incarnation(10, false))),
        (2, Some(incarnation(10, true)))
    ] => "closed";
    later_incarnation_can_leave: [
        (1, Some(incarnation(10, true))),
        (2, Some(incarnation(20, false))),
        (3, Some(incarnation(20, true)))
    ] => "closed";
}

/// A late write of an earlier incarnation doesn't affect the later one, and the next removal still closes it.
#[test]
fn late_write_of_earlier_incarnation_is_ignored() {
    let mut view = RoutingView::default();
    view.apply_upstream(&incarnation(20, false), 2, s(1));
    assert_eq!(
        view.apply_upstream(&incarnation(10, true), 3, s(1)),
        Applied::Unchanged
    );
    assert_eq!(state(&view, "u", s(1)), "open");
    view.apply_removal(&"u".into(), 4, false, s(1));
    assert_eq!(state(&view, "u", s(1)), "closed");
}

/// An incarnation in its first row.
fn just_started(started_ms: u64) -> ListedUpstream {
    ListedUpstream {
        writes: Some(1),
        ..incarnation(started_ms, false)
    }
}

/// Guards against an upstream whose rows are ignored for as long as it runs, because the clock of its machine was set back
/// before it restarted under the same name.
#[test]
fn restart_after_the_clock_was_set_back_counts() {
    let mut view = RoutingView::default();
    view.apply_upstream(&incarnation(20, true), 2, s(1));
    let restarted = ListedUpstream {
        addr: "127.0.0.1:10".parse().expect("valid socket address"),
        slots: 3,
        cold_left: s(4),
        ..just_started(10)
    };
    assert_eq!(view.apply_upstream(&restarted, 3, s(1)), Applied::Changed);
    let known = |view: &RoutingView| {
        let upstream = view.upstreams(s(2)).next();
        let (listed, is_closed, cold_until) = upstream.expect("an upstream");
        (listed.addr.port(), listed.slots, is_closed, cold_until)
    };
    assert_eq!(known(&view), (10, 3, false, s(5)));
    let later = ListedUpstream {
        writes: Some(7),
        leaving: true,
        cold_left: s(0),
        ..restarted
    };
    view.apply_upstream(&later, 4, s(2));
    assert_eq!(known(&view), (10, 3, true, s(0)));
    let late = ListedUpstream {
        writes: Some(9),
        ..incarnation(5, false)
    };
    assert_eq!(view.apply_upstream(&late, 5, s(2)), Applied::Unchanged);
}

/// Guards against requests for an incarnation that has ended: a write of its own that takes effect late is in a whole
/// table, or comes from another entry.
#[test]
fn late_write_of_earlier_incarnation_replaces_nothing() {
    let late = ListedUpstream {
        addr: "127.0.0.1:10".parse().expect("valid socket address"),
        ..incarnation(10, false)
    };
    let listed = |view: &RoutingView| {
        let upstream = view.upstreams(s(2)).next();
        let (listed, is_closed, _) = upstream.expect("an upstream");
        (listed.started_ms, listed.addr.port(), is_closed)
    };
    let mut view = RoutingView::default();
    view.apply_upstream(&incarnation(20, false), 2, s(1));
    view.apply_upstream_table(&[(3, late.clone())], 3, false, s(2));
    assert_eq!(listed(&view), (20, 9, false));
    let mut sender = RoutingView::default();
    sender.apply_upstream(&late, 4, s(2));
    view.apply_upstream_updates(&sender.upstream_updates(0, s(2)), s(2));
    assert_eq!(listed(&view), (20, 9, false));
}

/// Without the check, the later incarnation stays closed.
#[test]
fn later_incarnation_stays_closed_without_its_guard() {
    let mut view = RoutingView::with_guards(Guards {
        incarnations: false,
        ..Guards::default()
    });
    view.apply_upstream(&incarnation(10, true), 1, s(1));
    view.apply_upstream(&incarnation(20, false), 2, s(1));
    assert_eq!(state(&view, "u", s(1)), "closed");
}

/// Guards against a process that aborts because a row says that an upstream stays cold for so long that the
/// sum of times overflows.
#[test]
fn huge_cold_time_in_row_does_not_overflow() {
    let mut view = RoutingView::default();
    let upstream = ListedUpstream {
        cold_left: Duration::MAX,
        ..row("u")
    };
    view.apply_upstream(&upstream, 1, s(1));
    assert_eq!(state(&view, "u", s(1)), "open");
}

fn departure(started_ms: u64) -> Departure {
    Departure {
        upstream: "u".into(),
        started_ms,
    }
}

/// Step of a view in [`departures`].
enum Step {
    Departure(u64),
    Row(u64, ListedUpstream),
    Removal(u64),
    RestoredTable(u64, ListedUpstream),
    Sweep(u64),
}

/// Guards against work for an upstream that said itself that it leaves, and against a later incarnation left unused.
macro_rules! departures {
    ($($name:ident: $steps:expr => $state:literal;)*) => {$(
        #[test]
        fn $name() {
            use Step::{Departure, Removal, RestoredTable, Row, Sweep};
            let mut view = RoutingView::default();
            let mut now = s(1);
            for step in $steps {
                match step {
                    Departure(started_ms) => {
                        view.apply_departure(&departure(started_ms), now);
                    }
                    Row(version, row) => {
                        view.apply_upstream(&row, version, now);
                    }
                    Removal(version) => {
                        view.apply_removal(&"u".into(), version, false, now);
                    }
                    RestoredTable(version, row) => view.apply_restored_upstreams(&[(version, row)], now),
                    Sweep(after_s) => {
                        now += s(after_s);
                        view.sweep(now);
                    }
                }
            }
            assert_eq!(state(&view, "u", now), $state);
        }
    )*};
}

departures! {
    departed_upstream_is_closed: [Row(1, incarnation(10, false)), Departure(10)] => "closed";
    departure_known_before_its_row: [Departure(10), Row(1, incarnation(10, false))] => "closed";
    departed_upstream_with_a_later_row: [
        Row(1, incarnation(10, false)), Departure(10), Row(2, incarnation(10, false))
    ] => "closed";
    departed_upstream_in_a_restored_table: [
        Row(3, incarnation(10, false)), Departure(10), RestoredTable(4, incarnation(10, false))
    ] => "closed";
    departed_upstream_that_is_listed_for_long: [
        Row(1, incarnation(10, false)), Departure(10), Sweep(300)
    ] => "closed";
    departed_upstream_whose_row_comes_back: [
        Row(1, incarnation(10, false)), Departure(10), Removal(2), Sweep(11), Row(3, incarnation(10, false))
    ] => "closed";
    incarnation_after_a_departed_one: [
        Row(1, incarnation(10, false)), Departure(10), Row(2, incarnation(20, false))
    ] => "open";
    departure_of_an_earlier_incarnation: [
        Row(1, incarnation(20, false)), Departure(10)
    ] => "open";
    earlier_departure_after_a_later_one: [
        Row(1, incarnation(20, false)), Departure(20), Departure(10)
    ] => "closed";
    departure_after_the_clock_was_set_back: [
        Row(1, incarnation(20, false)), Departure(20), Row(2, just_started(10)), Departure(10)
    ] => "closed";
    restart_after_the_clock_was_set_back: [
        Row(1, incarnation(20, false)), Departure(20), Row(2, just_started(10))
    ] => "open";
    name_without_a_start_used_again: [
        Row(1, incarnation(0, false)), Departure(0), Removal(2), Sweep(11), Row(3, incarnation(0, false))
    ] => "open";
}

/// Guards against departures that are sent to and fro between entries for ever, and kept for ever.
#[test]
fn departure_is_new_once_and_dropped_with_its_upstream() {
    let mut view = RoutingView::default();
    assert_eq!(view.apply_departure(&departure(10), s(1)), Applied::Changed);
    assert_eq!(
        view.apply_departure(&departure(10), s(2)),
        Applied::Unchanged
    );
    assert_eq!(view.departures(s(5), s(2)), [departure(10)]);
    assert_eq!(view.departures(s(5), s(7)), []);
    assert_eq!(view.departures(Duration::MAX, s(7)), [departure(10)]);
    view.sweep(s(62));
    assert_eq!(view.departures(Duration::MAX, s(62)), []);
}

/// Guards against messages about upstreams whose rows already say that they leave.
#[test]
fn departure_of_a_listed_leaving_upstream_is_known() {
    let mut view = RoutingView::default();
    view.apply_upstream(&incarnation(10, true), 1, s(1));
    assert_eq!(
        view.apply_departure(&departure(10), s(1)),
        Applied::Unchanged
    );
}
