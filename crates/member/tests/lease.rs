//! Text form of lease rows, and single steps of holders and observers. Crate `model` searches all
//! orders of events.

use base::Now;
use member::{
    Guards,
    Identity,
    JoinProgress,
    Joining,
    LeaseEvent,
    LeaseHolder,
    LeaseObserver,
    LeaseRow,
    LeaseState,
    LeaseStep,
    LeaseTerms,
    VersionedLease, //
};
use std::time::Duration;

fn identity() -> Identity {
    Identity {
        instance: "a".into(),
        region: "r".into(),
        failure_domain: "f".into(),
        callers_addr: "127.0.0.1:1".into(),
        peers_addr: "127.0.0.1:2".into(),
        operator_addr: "127.0.0.1:3".into(),
    }
}

fn terms() -> LeaseTerms {
    LeaseTerms {
        ttl: Duration::from_secs(10),
        renew_every: Duration::from_secs(3),
        drift_pct: 10,
    }
}

fn row(incarnation: u64, seq: u64, state: LeaseState) -> LeaseRow {
    LeaseRow {
        identity: identity(),
        incarnation,
        seq,
        state,
    }
}

fn at(seconds: u64) -> Now {
    Now::from_secs(seconds)
}

/// Holder that joined over a row of incarnation 4 at 0 s; its write was answered at 1 s with version
/// 20.
fn holder() -> LeaseHolder {
    let joining = Joining::new(identity(), terms(), Guards::default());
    let previous = VersionedLease {
        version: 9,
        row: row(4, 77, LeaseState::Left),
    };
    let JoinProgress::Pending(joining, step) =
        joining.on_event(LeaseEvent::Read(Some(previous)), at(0))
    else {
        panic!("a join writes the row before it holds the lease");
    };
    let expected = LeaseStep::Commit {
        check: Some(9),
        value: row(5, 1, LeaseState::Live).to_string().into(),
    };
    assert_eq!(step, expected);
    match joining.on_event(LeaseEvent::Committed { version: 20 }, at(1)) {
        JoinProgress::Joined(holder) => holder,
        JoinProgress::Pending(..) => panic!("a committed join holds the lease"),
    }
}

#[test]
fn rows_round_trip_through_text() {
    for state in [LeaseState::Live, LeaseState::Leaving, LeaseState::Left] {
        let row = row(u64::MAX, 3, state);
        assert_eq!(row.to_string().parse(), Ok(row));
    }
    for text in [
        "",
        "a 1 2 live r f c p",
        "a 1 2 up r f c p o",
        "a -1 2 live r f c p o",
    ] {
        assert!(text.parse::<LeaseRow>().is_err(), "{text}");
    }
}

/// Guards against a holder that is paused during its renewal and then uses what others have taken
/// over.
#[test]
fn lease_counts_from_before_its_write_was_sent() {
    let holder = holder();
    assert_eq!((holder.incarnation(), holder.valid_until()), (5, at(9)));
    assert!(holder.is_valid(at(8)) && !holder.is_valid(at(9)));
}

macro_rules! renewal {
    ($($name:ident: $event:expr => $step:pat, $until:literal, $gaps:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut holder = holder();
            assert!(matches!(holder.tick(at(2)), LeaseStep::Idle));
            assert!(matches!(holder.tick(at(3)), LeaseStep::Commit { .. }));
            let event: LeaseEvent = $event;
            let step = holder.on_event(event, at(4));
            assert!(matches!(step, $step), "{step:?}");
            assert_eq!((holder.valid_until(), holder.gaps()), (at($until), $gaps));
        })*
    };
}

fn current(incarnation: u64, seq: u64) -> Option<VersionedLease> {
    Some(VersionedLease {
        version: 30,
        row: row(incarnation, seq, LeaseState::Live),
    })
}

renewal! {
    renewal_that_commits: LeaseEvent::Committed { version: 21 } => LeaseStep::Idle, 12, 0;
    renewal_with_lost_answer: LeaseEvent::OutcomeUnknown => LeaseStep::Read, 9, 0;
    renewal_found_in_row: LeaseEvent::Read(current(5, 2)) => LeaseStep::Idle, 12, 0;
    renewal_not_found_in_row: LeaseEvent::Read(current(5, 1)) => LeaseStep::Commit { .. }, 9, 0;
    renewal_during_outage: LeaseEvent::NotExecuted => LeaseStep::Idle, 9, 0;
    renewal_after_later_incarnation: LeaseEvent::Conflict(current(6, 1)) => LeaseStep::Superseded, 0, 0;
    renewal_with_row_removed: LeaseEvent::Conflict(None) => LeaseStep::Superseded, 0, 0;
}

/// Guards against a resumed holder that still uses slots which others have taken over since its
/// lease lapsed.
#[test]
fn renewal_after_lapse_counts_as_gap() {
    let mut holder = holder();
    assert!(matches!(holder.tick(at(8)), LeaseStep::Commit { .. }));
    holder.on_event(LeaseEvent::Committed { version: 21 }, at(9));
    assert_eq!((holder.valid_until(), holder.gaps()), (at(17), 1));
}

/// The platform is down while the instance stops: the lease is not held from the release on, and
/// the holder retries the write of the released row.
#[test]
fn released_lease_is_not_held_and_its_row_is_written() {
    let mut holder = holder();
    holder.leave();
    assert!(matches!(holder.tick(at(1)), LeaseStep::Commit { .. }));
    assert!(
        matches!(holder.tick(at(1)), LeaseStep::Idle),
        "only one step is in progress at a time"
    );
    holder.on_event(LeaseEvent::Committed { version: 21 }, at(1));
    assert!(holder.is_valid(at(2)));
    holder.release();
    assert!(!holder.is_valid(at(2)));
    assert!(matches!(holder.tick(at(2)), LeaseStep::Commit { .. }));
    holder.on_event(LeaseEvent::NotExecuted, at(2));
    assert!(matches!(holder.tick(at(2)), LeaseStep::Commit { .. }));
    assert!(!holder.is_released());
    holder.on_event(LeaseEvent::Committed { version: 22 }, at(2));
    assert!(holder.is_released());
    assert!(matches!(holder.tick(at(60)), LeaseStep::Idle));
}

/// Reads of incarnation 5 as (sequence number, read sent at, answered at), and whether its lease has
/// lapsed at 50 s.
macro_rules! observed {
    ($($name:ident: [$($read:expr),*], $state:ident => $lapsed:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut observer = LeaseObserver::new(terms(), Guards::default());
            let reads: &[(u64, u64, u64)] = &[$($read),*];
            for (seq, sent, answered) in reads {
                let lease = VersionedLease {
                    version: 100 + seq,
                    row: row(5, *seq, LeaseState::$state),
                };
                observer.record_read(&lease, at(*sent), at(*answered));
            }
            let lapse = observer.lapse("a", at(50));
            assert_eq!(lapse.is_some(), $lapsed);
        })*
    };
}

observed! {
    lease_never_read: [], Live => false;
    lease_read_once_long_ago: [(1, 0, 1)], Live => false;
    lease_read_again_before_its_end: [(1, 0, 1), (1, 11, 12)], Live => false;
    lease_read_again_after_its_end: [(1, 0, 1), (1, 12, 13)], Live => true;
    lease_renewed: [(1, 0, 1), (2, 12, 13)], Live => false;
    lease_renewed_and_older_read_delayed: [(1, 0, 1), (2, 5, 6), (1, 12, 20)], Live => false;
    lease_released: [(1, 0, 1)], Left => true;
}
