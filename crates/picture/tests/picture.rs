//! How updates are applied: by version, whatever their order and way.

use base::Now;
use picture::{
    Applied,
    Guards,
    ListedUpstream,
    Picture, //
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
        addr: "127.0.0.1:9".parse().expect("an address"),
        slots: 8,
        leaving: false,
        cold_left: Duration::ZERO,
        started_ms: 0,
    }
}

fn routes(version: u64) -> Routes {
    Routes {
        version,
        services: Vec::new(),
        limits: CallerLimits::default(),
        hosts: Vec::new(),
    }
}

fn leaving(id: &'static str) -> ListedUpstream {
    ListedUpstream {
        leaving: true,
        ..row(id)
    }
}

/// Whether an upstream is open, closed or not known.
fn state(picture: &Picture, id: &str, now: Now) -> &'static str {
    let mut upstreams = picture.upstreams(now);
    match upstreams.find(|(listed, ..)| listed.id == id) {
        Some((_, false, _)) => "open",
        Some((_, true, _)) => "closed",
        None => "unknown",
    }
}

#[test]
fn only_higher_routes_are_taken() {
    let mut picture = Picture::default();
    assert_eq!(picture.apply_routes(&Arc::new(routes(5))), Applied::Changed);
    assert_eq!(
        picture.apply_routes(&Arc::new(routes(4))),
        Applied::Unchanged
    );
    assert_eq!(
        picture.apply_routes(&Arc::new(routes(5))),
        Applied::Unchanged
    );
    assert_eq!(picture.apply_routes(&Arc::new(routes(9))), Applied::Changed);
    assert_eq!(picture.routes_version(), 9);
}

/// Symptom: an upstream that leaves got new work. Sequence: its row says that it leaves, and an older
/// word of it comes by another way, or a later one calls it sound again. Cause guarded against: the
/// last word counting.
#[test]
fn leaving_is_for_good() {
    let mut picture = Picture::default();
    picture.apply_upstream(&row("u"), 3, s(1));
    assert_eq!(state(&picture, "u", s(1)), "open");
    picture.apply_upstream(&leaving("u"), 7, s(2));
    assert_eq!(
        picture.apply_upstream(&row("u"), 3, s(3)),
        Applied::Unchanged
    );
    picture.apply_upstream(&row("u"), 8, s(3));
    assert_eq!(state(&picture, "u", s(3)), "closed");
}

/// A row that is gone closes its upstream at once; older updates don't bring it back, newer ones do.
#[test]
fn removed_row_closes() {
    let mut picture = Picture::default();
    picture.apply_upstream(&row("u"), 3, s(1));
    picture.apply_removal(&"u".into(), 5, false, s(2));
    assert_eq!(state(&picture, "u", s(2)), "closed");
    picture.apply_upstream(&row("u"), 4, s(3));
    assert_eq!(state(&picture, "u", s(3)), "closed");
    picture.sweep(s(20));
    picture.apply_upstream(&row("u"), 4, s(21));
    assert_eq!(state(&picture, "u", s(21)), "unknown");
    picture.apply_upstream(&row("u"), 6, s(22));
    assert_eq!(state(&picture, "u", s(22)), "open");
}

/// Symptom: for two seconds after an outage of the store there was no upstream at all. Sequence: rows
/// expire while their owners can't write them. Cause guarded against: taking a missing row for a
/// leaving right after an outage. A row that stays missing is a leaving.
#[test]
fn rows_missing_after_an_outage_have_a_moment() {
    let mut picture = Picture::default();
    picture.apply_upstream(&row("u"), 3, s(1));
    picture.apply_upstream(&row("v"), 4, s(1));
    picture.apply_upstream(&leaving("w"), 4, s(1));
    picture.apply_upstream_table(&[], 9, true, s(10));
    assert_eq!(state(&picture, "u", s(10)), "open");
    assert_eq!(state(&picture, "w", s(10)), "closed");
    assert_eq!(
        picture.next_closing(s(10)),
        Some(s(10) + Duration::from_millis(1500))
    );
    picture.apply_upstream(&row("u"), 11, s(11));
    assert_eq!(state(&picture, "u", s(12)), "open");
    assert_eq!(state(&picture, "v", s(12)), "closed");
}

/// In a whole table, what is missing is gone; what is newer than the table is not.
#[test]
fn whole_table_counts_up_to_its_position() {
    let mut picture = Picture::default();
    picture.apply_upstream(&row("old"), 3, s(1));
    picture.apply_upstream(&row("new"), 12, s(1));
    picture.apply_upstream_table(&[(4, row("listed"))], 10, false, s(2));
    assert_eq!(state(&picture, "old", s(2)), "closed");
    assert_eq!(state(&picture, "new", s(2)), "open");
    assert_eq!(state(&picture, "listed", s(2)), "open");
}

/// An evacuation closes a failure domain; taken back, its upstreams count as cold until their rows
/// say something else.
#[test]
fn evacuation_closes_and_leaves_cold() {
    let mut picture = Picture::default();
    picture.apply_upstream(&row("u"), 3, s(1));
    picture.apply_evacuation(&"domain-a".into(), true, 5, s(2));
    assert_eq!(state(&picture, "u", s(2)), "closed");
    assert_eq!(
        picture.apply_evacuation(&"domain-a".into(), false, 4, s(3)),
        Applied::Unchanged
    );
    assert_eq!(state(&picture, "u", s(3)), "closed");
    picture.apply_evacuation(&"domain-a".into(), false, 6, s(4));
    let cold_until = |picture: &Picture| picture.upstreams(s(4)).next().expect("one").2;
    assert!(cold_until(&picture) > s(4));
    picture.apply_upstream(&row("u"), 7, s(4));
    assert_eq!(cold_until(&picture), Now::ZERO);
}

/// Symptom: upstreams whose evacuation has just ended get their full load at once, from some entries. Sequence: an entry
/// hears of the end first, and then reads a row that an upstream wrote before it. Cause: that row says nothing of the
/// time after the end, and was taken for news.
#[test]
fn a_row_from_before_the_end_of_an_evacuation_warms_nothing() {
    let mut picture = Picture::default();
    picture.apply_upstream(&row("u"), 3, s(1));
    picture.apply_evacuation(&"domain-a".into(), true, 4, s(2));
    picture.apply_evacuation(&"domain-a".into(), false, 6, s(4));
    picture.apply_upstream(&row("u"), 5, s(4));
    let cold_until = |picture: &Picture| picture.upstreams(s(4)).next().expect("one").2;
    assert!(cold_until(&picture) > s(4));
    picture.apply_upstream(&row("u"), 7, s(4));
    assert_eq!(cold_until(&picture), Now::ZERO);
}

/// Symptom: an evacuation that was taken back stayed in force. Sequence: the history of the store is
/// gone, and with it the row's removal. Cause guarded against: reading a table anew for what it holds
/// only.
#[test]
fn evacuation_without_a_row_is_over() {
    let mut picture = Picture::default();
    let standing = ["domain-a".into()];
    picture.apply_evacuation(&standing[0], true, 5, s(1));
    picture.end_evacuations_without_row(&standing, 5, s(1));
    assert!(picture.is_evacuated("domain-a"));
    picture.end_evacuations_without_row(&[], 9, s(2));
    assert!(!picture.is_evacuated("domain-a"));
}

/// Symptom: an upstream that had left got requests for two seconds more. Sequence: its row is removed; one
/// entry, which the store served again just then, still holds it open for a moment, and tells the others
/// what it knows. Cause: it told a listing at the version of the removal, and the others took that for
/// the owner's new row.
#[test]
fn a_removal_in_doubt_is_told_as_nothing() {
    let mut sure = Picture::default();
    let mut in_doubt = Picture::default();
    for picture in [&mut sure, &mut in_doubt] {
        picture.apply_upstream(&row("u"), 3, s(1));
    }
    sure.apply_removal(&"u".into(), 5, false, s(2));
    in_doubt.apply_removal(&"u".into(), 5, true, s(3));
    assert_eq!(state(&in_doubt, "u", s(3)), "open");
    sure.apply_upstream_updates(&in_doubt.upstream_updates(0, s(3)), s(3));
    assert_eq!(state(&sure, "u", s(3)), "closed");
    // Of one version, a removal counts more than a listing, whoever says it.
    assert_eq!(sure.apply_upstream(&row("u"), 5, s(4)), Applied::Unchanged);
    assert_eq!(state(&sure, "u", s(4)), "closed");
    // Once it is over, the removal is told.
    let mut third = Picture::default();
    third.apply_upstream(&row("u"), 3, s(1));
    third.apply_upstream_updates(&in_doubt.upstream_updates(0, s(5)), s(5));
    assert_eq!(state(&third, "u", s(5)), "closed");
}

/// Symptom: an entry that had just got the store back sent to an upstream that every other one knew to be
/// gone. Cause guarded against: a doubt that outlives what another entry, which had no outage, says.
#[test]
fn a_sure_removal_ends_the_doubt() {
    let mut sure = Picture::default();
    let mut in_doubt = Picture::default();
    for picture in [&mut sure, &mut in_doubt] {
        picture.apply_upstream(&row("u"), 3, s(1));
    }
    sure.apply_removal(&"u".into(), 5, false, s(2));
    in_doubt.apply_removal(&"u".into(), 5, true, s(3));
    let told = sure.upstream_updates(0, s(3));
    assert_eq!(
        in_doubt.apply_upstream_updates(&told, s(3)),
        Applied::Changed
    );
    assert_eq!(state(&in_doubt, "u", s(3)), "closed");
}

/// Symptom: a process that had just started sent to an upstream that was long gone, and held a failure
/// domain for evacuated whose evacuation was over. Sequence: it reads the whole tables, then an answer
/// arrives that it had asked of another entry, which the store had not served for a while. Cause: a row
/// that isn't in a whole table left no version to hold the old statement against. The search in `model`
/// found it.
#[test]
fn what_a_whole_table_lacks_is_gone_whoever_tells_of_it() {
    let mut behind = Picture::default();
    behind.apply_upstream(&row("u"), 3, s(1));
    behind.apply_evacuation(&"domain-a".into(), true, 4, s(1));
    let mut started = Picture::default();
    started.apply_upstream_table(&[(6, row("v"))], 9, false, s(2));
    started.end_evacuations_without_row(&[], 9, s(2));
    let told = behind.upstream_updates(0, s(2));
    assert_eq!(
        started.apply_upstream_updates(&told, s(2)),
        Applied::Unchanged
    );
    assert_eq!(state(&started, "u", s(2)), "unknown");
    assert_eq!(
        started.apply_evacuation_updates(&behind.evacuation_updates(), s(2)),
        Applied::Unchanged
    );
    assert!(!started.is_evacuated("domain-a"));
    // What is newer than the table is news.
    behind.apply_upstream(&row("w"), 12, s(3));
    behind.apply_evacuation(&"domain-b".into(), true, 11, s(3));
    let told = behind.upstream_updates(0, s(3));
    assert_eq!(
        started.apply_upstream_updates(&told, s(3)),
        Applied::Changed
    );
    assert_eq!(state(&started, "w", s(3)), "open");
    started.apply_evacuation_updates(&behind.evacuation_updates(), s(3));
    assert!(started.is_evacuated("domain-b"));
}

/// Symptom: as above, at an entry that knew the upstream to be gone. Sequence: its row was removed, written
/// again and removed again; the entry reads the first removal and then a whole table without it, and an old
/// message tells of the listing between both. Cause: the second removal left the first one's version. The
/// search in `model` found it.
#[test]
fn a_listing_between_two_removals_is_old() {
    let mut picture = Picture::default();
    picture.apply_upstream(&row("u"), 1, s(1));
    picture.apply_removal(&"u".into(), 2, false, s(2));
    picture.apply_upstream_table(&[], 4, true, s(3));
    let mut behind = Picture::default();
    behind.apply_upstream(&row("u"), 3, s(3));
    picture.apply_upstream_updates(&behind.upstream_updates(0, s(3)), s(3));
    assert_eq!(state(&picture, "u", s(3)), "closed");
}

fn life(started_ms: u64, leaving: bool) -> ListedUpstream {
    ListedUpstream {
        started_ms,
        leaving,
        ..row("u")
    }
}

/// What is said of two incarnations of one name, as (row version, statement), and what holds after it in any order.
macro_rules! incarnations {
    ($($name:ident: $statements:expr => $state:literal;)*) => {$(
        #[test]
        fn $name() {
            let statements: &[(u64, Option<ListedUpstream>)] = &$statements;
            for first in 0..statements.len() {
                for backwards in [false, true] {
                    let mut picture = Picture::default();
                    let count = statements.len();
                    for step in 0..count {
                        let place = if backwards { first + count - step } else { first + step };
                        let (version, listed) = &statements[place % count];
                        match listed {
                            Some(listed) => picture.apply_upstream(listed, *version, s(1)),
                            None => picture.apply_removal(&"u".into(), *version, false, s(1)),
                        };
                    }
                    assert_eq!(state(&picture, "u", s(1)), $state, "from {first}, {backwards}");
                }
            }
        }
    )*};
}

// Symptom: an upstream that was replaced under its name got no work any more. Sequence: it said that it leaves, ended,
// and started again with the same name. Cause guarded against: taking both for one, since one that was seen
// leaving doesn't come back. The other way, a write of the earlier one that takes effect late must not take the
// later one out of use, nor bring it back.
incarnations! {
    a_later_incarnation_undoes_a_leaving: [(1, Some(life(10, true))), (2, Some(life(20, false)))] => "open";
    a_later_incarnation_undoes_a_removal: [
        (1, Some(life(10, false))),
        (2, None),
        (3, Some(life(20, false)))
    ] => "open";
    the_same_incarnation_stays_leaving: [(1, Some(life(10, false))), (2, Some(life(10, true)))] => "closed";
    a_later_incarnation_leaves_by_itself: [
        (1, Some(life(10, true))),
        (2, Some(life(20, false))),
        (3, Some(life(20, true)))
    ] => "closed";
}

/// A late write of an earlier incarnation says nothing of the later one, and the next removal holds.
#[test]
fn a_late_write_of_an_earlier_incarnation_is_nothing() {
    let mut picture = Picture::default();
    picture.apply_upstream(&life(20, false), 2, s(1));
    assert_eq!(
        picture.apply_upstream(&life(10, true), 3, s(1)),
        Applied::Unchanged
    );
    assert_eq!(state(&picture, "u", s(1)), "open");
    picture.apply_removal(&"u".into(), 4, false, s(1));
    assert_eq!(state(&picture, "u", s(1)), "closed");
}

/// Without the guard the later incarnation stays out of use.
#[test]
fn incarnations_need_their_guard() {
    let mut picture = Picture::with_guards(Guards {
        incarnations: false,
        ..Guards::default()
    });
    picture.apply_upstream(&life(10, true), 1, s(1));
    picture.apply_upstream(&life(20, false), 2, s(1));
    assert_eq!(state(&picture, "u", s(1)), "closed");
}

/// Symptom: a process ended by itself. Sequence: a row says that an upstream stays cold for longer than any clock runs.
/// Cause guarded against: a sum of times that overflows.
#[test]
fn an_absurd_time_in_a_row_is_no_end() {
    let mut picture = Picture::default();
    let absurd = ListedUpstream {
        cold_left: Duration::MAX,
        ..row("u")
    };
    picture.apply_upstream(&absurd, 1, s(1));
    assert_eq!(state(&picture, "u", s(1)), "open");
}
