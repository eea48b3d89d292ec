//! The ledger's bounds and its hand-over, case by case; orders of events are searched in `model`.

use base::{
    Now,
    RunOutcome, //
};
use bytes::Bytes;
use filing::{
    AdoptError,
    Begin,
    Bounds,
    Guards,
    Ledger,
    Record,
    RefuseReason,
    Ticket,
    WallClock, //
};
use std::time::Duration;

const START_WALL_MS: u64 = 1_000_000;

fn bounds() -> Bounds {
    Bounds {
        tickets_max: 4,
        record_bytes_max: 100,
        total_bytes_max: 2_000,
        offer_bytes_max: 800,
        life_max: Duration::from_secs(60),
        margin: Duration::from_secs(10),
    }
}

fn ledger(name: &'static str, incarnation: u64) -> Ledger {
    let clock = WallClock {
        start_wall_ms: START_WALL_MS,
        start: Now::ZERO,
    };
    Ledger::new(name.into(), incarnation, clock, bounds(), Guards::default())
}

/// Ticket of x#1 that ends 30 s after the start.
fn ticket(nonce: u128) -> Ticket {
    Ticket {
        class: "orders".into(),
        instance: "x".into(),
        incarnation: 1,
        nonce,
        expires_at_ms: START_WALL_MS + 30_000,
    }
}

fn done(body: &'static [u8]) -> Record {
    Record {
        body: Bytes::from_static(body),
        ..Record::bare(RunOutcome::Done, 201)
    }
}

fn at(seconds: u64) -> Now {
    Now::from_secs(seconds)
}

macro_rules! refused {
    ($($name:ident: $change:expr, $seconds:literal, $reason:expr, $outcome:ident;)*) => {
        $(#[test]
        fn $name() {
            let mut ticket = ticket(1);
            let change: fn(&mut Ticket) = $change;
            change(&mut ticket);
            let said = ledger("x", 1).begin(&ticket, at($seconds));
            assert_eq!(said, Begin::Refuse($reason));
            assert_eq!($reason.outcome(), RunOutcome::$outcome);
        })*
    };
}

refused! {
    another_entrys: |t| t.instance = "y".into(), 0, RefuseReason::OtherInstance, Unknown;
    an_earlier_lifes: |t| t.incarnation = 0, 0, RefuseReason::OtherIncarnation, Unknown;
    one_that_ends_now: |_| (), 30, RefuseReason::ExpiredUnused, NotRun;
    one_within_the_margin: |_| (), 39, RefuseReason::ExpiredUnused, NotRun;
    one_past_the_margin: |_| (), 40, RefuseReason::Expired, Unknown;
    one_of_a_fast_clock: |t| t.expires_at_ms += 31_000, 0, RefuseReason::TooFar, Unknown;
}

/// Symptom: a caller whose answer was lost files again and is told something else.
#[test]
fn every_repeat_gets_the_first_answer() {
    let mut ledger = ledger("x", 1);
    assert_eq!(ledger.begin(&ticket(1), at(0)), Begin::Run);
    assert_eq!(ledger.begin(&ticket(1), at(1)), Begin::Wait);
    ledger.finish(1, done(b"order 7"));
    ledger.finish(1, Record::bare(RunOutcome::Unknown, 504));
    for seconds in [1, 29, 31, 39] {
        ledger.expire(at(seconds));
        let said = ledger.begin(&ticket(1), at(seconds));
        assert_eq!(said, Begin::Replay(done(b"order 7")), "at {seconds} s");
    }
    assert_eq!(ledger.expire(at(40)), 1);
    assert_eq!(ledger.used_bytes(), 0);
}

/// Symptom: a binder cut short is passed as whole. The answer was too long to be kept.
#[test]
fn an_answer_too_long_to_keep_is_unknown() {
    let mut ledger = ledger("x", 1);
    ledger.begin(&ticket(1), at(0));
    ledger.finish(1, done(&[7; 101]));
    let Begin::Replay(record) = ledger.begin(&ticket(1), at(1)) else {
        panic!("it is remembered");
    };
    assert_eq!(
        (record.outcome, record.body.len()),
        (RunOutcome::Unknown, 0)
    );
}

/// Symptom: under a flood an order is forgotten before its ticket ends, and a copy runs. Instead
/// new tickets are refused, for good, until old ones end.
#[test]
fn a_full_memory_refuses_and_forgets_nothing() {
    let mut ledger = ledger("x", 1);
    for nonce in 1..=4 {
        assert_eq!(ledger.begin(&ticket(nonce), at(0)), Begin::Run);
        ledger.finish(nonce, done(b"kept"));
    }
    let refused = Begin::Refuse(RefuseReason::TooMany);
    assert_eq!(ledger.begin(&ticket(5), at(1)), refused);
    assert_eq!(
        ledger.begin(&ticket(1), at(1)),
        Begin::Replay(done(b"kept"))
    );
    let mut later = ticket(6);
    later.expires_at_ms += 20_000;
    ledger.expire(at(41));
    assert_eq!(ledger.begin(&later, at(41)), Begin::Run);
}

#[test]
fn bytes_are_bounded_too() {
    let mut ledger = ledger("x", 1);
    let mut running = 0;
    while ledger.begin(&ticket(running), at(0)) == Begin::Run {
        running += 1;
        assert!(ledger.used_bytes() <= 2_000);
    }
    assert_eq!(running, 4);
    assert_eq!(ledger.running(), 4);
}

#[test]
fn outcomes_wait_for_the_table_until_written() {
    let mut ledger = ledger("x", 1);
    ledger.begin(&ticket(1), at(0));
    assert_eq!(ledger.unwritten(9), vec![]);
    ledger.finish(1, done(b"a"));
    assert_eq!(ledger.refuse(&ticket(2), at(0)), Begin::Replay(burned()));
    assert_eq!(ledger.unwritten(9), vec![(1, done(b"a"))]);
    ledger.written(&[1]);
    assert_eq!(ledger.unwritten(9), vec![]);
}

fn burned() -> Record {
    Record::bare(RunOutcome::NotRun, 503)
}

/// Symptom: a planned stop is noticed by a caller whose order was answered just before.
#[test]
fn a_successor_replays_and_runs_what_is_unused() {
    let mut x = ledger("x", 1);
    x.begin(&ticket(1), at(0));
    x.finish(1, done(b"a"));
    x.begin(&ticket(2), at(0));
    let mut draining = x.stop();
    let stopping = Begin::Refuse(RefuseReason::Stopping);
    assert_eq!(draining.begin(&ticket(3), at(1)), stopping);
    let mut offered = draining.offer("y".into(), 5, at(2));
    let closed = Begin::Refuse(RefuseReason::HandedOver(None));
    assert_eq!(offered.begin(&ticket(4), at(2)), closed);

    let mut y = ledger("y", 5);
    let accepted = y.adopt(offered.offer()).expect("y has room");
    assert_eq!(y.begin(&ticket(1), at(3)), Begin::Replay(done(b"a")));
    let unknown = Record::bare(RunOutcome::Unknown, 504);
    assert_eq!(y.begin(&ticket(2), at(3)), Begin::Replay(unknown));
    assert_eq!(y.begin(&ticket(3), at(3)), Begin::Replay(burned()));
    assert_eq!(y.begin(&ticket(4), at(3)), Begin::Run);

    let handed_over = offered.acknowledged(&accepted).expect("it is y's");
    assert_eq!(*handed_over.successor(), "y");
}

macro_rules! not_adopted {
    ($($name:ident: $successor:expr, $error:ident;)*) => {
        $(#[test]
        fn $name() {
            let mut x = ledger("x", 1);
            x.begin(&ticket(1), at(0));
            let offered = x.stop().offer("y".into(), 5, at(0));
            let mut successor: Ledger = $successor;
            let before = successor.clone();
            assert_eq!(successor.adopt(offered.offer()), Err(AdoptError::$error));
            assert_eq!(successor, before);
        })*
    };
}

not_adopted! {
    by_another_instance: ledger("z", 5), NotForMe;
    by_another_life: ledger("y", 6), NotForMe;
    by_one_without_room: full_ledger(), TooMany;
}

fn full_ledger() -> Ledger {
    let mut full = ledger("y", 5);
    for nonce in 11..=14 {
        let mut own = ticket(nonce);
        own.instance = "y".into();
        own.incarnation = 5;
        assert_eq!(full.begin(&own, at(0)), Begin::Run);
    }
    full
}

/// Symptom: at a planned stop of a busy entry an order runs twice. Its record didn't fit the offer.
#[test]
fn a_ticket_whose_record_does_not_fit_the_offer_never_runs() {
    let mut x = ledger("x", 1);
    let ticket = |nonce| Ticket {
        expires_at_ms: START_WALL_MS + 30_000 + nonce as u64,
        ..ticket(nonce)
    };
    for nonce in 1..=4 {
        assert_eq!(x.begin(&ticket(nonce), at(0)), Begin::Run);
        x.finish(nonce, done(&[7; 100]));
    }
    let offered = x.stop().offer("y".into(), 5, at(1));
    let mut y = ledger("y", 5);
    y.adopt(offered.offer()).expect("y has room");
    let said = [1, 2, 4, 5].map(|nonce| y.begin(&ticket(nonce), at(1)));
    let lost = Begin::Refuse(RefuseReason::Expired);
    let kept = Begin::Replay(done(&[7; 100]));
    assert_eq!(said, [lost, kept.clone(), kept, Begin::Run]);
}
