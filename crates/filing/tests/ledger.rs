//! Tests of the ledger's limits and handover in single cases; crate `model` checks orders of
//! events.

use base::{
    Now,
    RunOutcome, //
};
use bytes::Bytes;
use filing::{
    AcceptError,
    Bounds,
    Guards,
    Ledger,
    Record,
    RefuseReason,
    Ticket,
    TicketDecision,
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
        lifetime_max: Duration::from_secs(60),
        retention: Duration::from_secs(10),
    }
}

fn ledger(name: &'static str, incarnation: u64) -> Ledger {
    let clock = WallClock {
        start_wall_ms: START_WALL_MS,
        start: Now::ZERO,
    };
    Ledger::new(name.into(), incarnation, clock, bounds(), Guards::default())
}

/// Ticket of incarnation 1 of `x` that expires 30 s after the start.
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
        ..Record::status_only(RunOutcome::Done, 201)
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
            let decision = ledger("x", 1).begin(&ticket, at($seconds));
            assert_eq!(decision, TicketDecision::Refuse($reason));
            assert_eq!($reason.outcome(), RunOutcome::$outcome);
        })*
    };
}

refused! {
    another_entry: |t| t.instance = "y".into(), 0, RefuseReason::OtherInstance, Unknown;
    an_earlier_incarnation: |t| t.incarnation = 0, 0, RefuseReason::OtherIncarnation, Unknown;
    expiring_now: |_| (), 30, RefuseReason::ExpiredUnused, NotRun;
    expired_within_the_margin: |_| (), 39, RefuseReason::ExpiredUnused, NotRun;
    expired_past_the_margin: |_| (), 40, RefuseReason::Expired, Unknown;
    a_fast_issuer_clock: |t| t.expires_at_ms += 31_000, 0, RefuseReason::TooFar, Unknown;
}

/// Guards against a caller that repeats its request after a lost response getting a different one.
#[test]
fn every_repeat_gets_the_first_response() {
    let mut ledger = ledger("x", 1);
    assert_eq!(ledger.begin(&ticket(1), at(0)), TicketDecision::Run);
    assert_eq!(ledger.begin(&ticket(1), at(1)), TicketDecision::Wait);
    ledger.finish(1, done(b"order 7"));
    ledger.finish(1, Record::status_only(RunOutcome::Unknown, 504));
    for seconds in [1, 29, 31, 39] {
        ledger.expire(at(seconds));
        let decision = ledger.begin(&ticket(1), at(seconds));
        assert_eq!(
            decision,
            TicketDecision::Replay(done(b"order 7")),
            "at {seconds} s"
        );
    }
    assert_eq!(ledger.expire(at(40)), 1);
    assert_eq!(ledger.used_bytes(), 0);
}

/// Guards against a truncated response being replayed as complete, when the response is too large
/// to be stored.
#[test]
fn a_response_too_large_to_store_is_unknown() {
    let mut ledger = ledger("x", 1);
    ledger.begin(&ticket(1), at(0));
    ledger.finish(1, done(&[7; 101]));
    let TicketDecision::Replay(record) = ledger.begin(&ticket(1), at(1)) else {
        panic!("the outcome is stored");
    };
    assert_eq!(
        (record.outcome, record.body.len()),
        (RunOutcome::Unknown, 0)
    );
}

/// Guards against a filing being forgotten under overload before its ticket expires, after which a
/// copy would run. Instead, new tickets are refused and stay invalid, until old ones expire.
#[test]
fn a_full_ledger_refuses_new_tickets_and_keeps_old_ones() {
    let mut ledger = ledger("x", 1);
    for nonce in 1..=4 {
        assert_eq!(ledger.begin(&ticket(nonce), at(0)), TicketDecision::Run);
        ledger.finish(nonce, done(b"kept"));
    }
    let refused = TicketDecision::Refuse(RefuseReason::TooMany);
    assert_eq!(ledger.begin(&ticket(5), at(1)), refused);
    assert_eq!(
        ledger.begin(&ticket(1), at(1)),
        TicketDecision::Replay(done(b"kept"))
    );
    let mut later = ticket(6);
    later.expires_at_ms += 20_000;
    ledger.expire(at(41));
    assert_eq!(ledger.begin(&later, at(41)), TicketDecision::Run);
}

#[test]
fn used_bytes_are_bounded() {
    let mut ledger = ledger("x", 1);
    let mut running = 0;
    while ledger.begin(&ticket(running), at(0)) == TicketDecision::Run {
        running += 1;
        assert!(ledger.used_bytes() <= 2_000);
    }
    assert_eq!(running, 4);
    assert_eq!(ledger.running(), 4);
}

#[test]
fn outcomes_are_unwritten_until_marked_written() {
    let mut ledger = ledger("x", 1);
    ledger.begin(&ticket(1), at(0));
    assert_eq!(ledger.unwritten(9), vec![]);
    ledger.finish(1, done(b"a"));
    assert_eq!(
        ledger.refuse(&ticket(2), at(0)),
        TicketDecision::Replay(invalidated())
    );
    assert_eq!(ledger.unwritten(9), vec![(1, done(b"a"))]);
    ledger.mark_written(&[1]);
    assert_eq!(ledger.unwritten(9), vec![]);
}

fn invalidated() -> Record {
    Record::status_only(RunOutcome::NotRun, 503)
}

/// Guards against a planned stop being visible to a caller whose filing ended just before it.
#[test]
fn a_successor_replays_records_and_runs_unused_tickets() {
    let mut x = ledger("x", 1);
    x.begin(&ticket(1), at(0));
    x.finish(1, done(b"a"));
    x.begin(&ticket(2), at(0));
    let mut draining = x.stop();
    let stopping = TicketDecision::Refuse(RefuseReason::Stopping);
    assert_eq!(draining.begin(&ticket(3), at(1)), stopping);
    let mut offered = draining.offer("y".into(), 5, at(2));
    let closed = TicketDecision::Refuse(RefuseReason::HandedOver(None));
    assert_eq!(offered.begin(&ticket(4), at(2)), closed);

    let mut y = ledger("y", 5);
    let accepted = y.accept_offer(offered.offer()).expect("y has room");
    assert_eq!(
        y.begin(&ticket(1), at(3)),
        TicketDecision::Replay(done(b"a"))
    );
    let unknown = Record::status_only(RunOutcome::Unknown, 504);
    assert_eq!(y.begin(&ticket(2), at(3)), TicketDecision::Replay(unknown));
    assert_eq!(
        y.begin(&ticket(3), at(3)),
        TicketDecision::Replay(invalidated())
    );
    assert_eq!(y.begin(&ticket(4), at(3)), TicketDecision::Run);

    let handed_over = offered
        .acknowledged(&accepted)
        .expect("the acknowledgement is from y");
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
            assert_eq!(successor.accept_offer(offered.offer()), Err(AcceptError::$error));
            assert_eq!(successor, before);
        })*
    };
}

not_adopted! {
    by_another_instance: ledger("z", 5), WrongRecipient;
    by_another_incarnation: ledger("y", 6), WrongRecipient;
    by_a_full_ledger: full_ledger(), TooMany;
}

fn full_ledger() -> Ledger {
    let mut full = ledger("y", 5);
    for nonce in 11..=14 {
        let mut own = ticket(nonce);
        own.instance = "y".into();
        own.incarnation = 5;
        assert_eq!(full.begin(&own, at(0)), TicketDecision::Run);
    }
    full
}

/// Guards against a filing running twice at a planned stop of a busy entry, when its record doesn't
/// fit into the offer.
#[test]
fn a_ticket_whose_record_does_not_fit_the_offer_never_runs() {
    let mut x = ledger("x", 1);
    let ticket = |nonce| Ticket {
        expires_at_ms: START_WALL_MS + 30_000 + nonce as u64,
        ..ticket(nonce)
    };
    for nonce in 1..=4 {
        assert_eq!(x.begin(&ticket(nonce), at(0)), TicketDecision::Run);
        x.finish(nonce, done(&[7; 100]));
    }
    let offered = x.stop().offer("y".into(), 5, at(1));
    let mut y = ledger("y", 5);
    y.accept_offer(offered.offer()).expect("y has room");
    let decisions = [1, 2, 4, 5].map(|nonce| y.begin(&ticket(nonce), at(1)));
    let lost = TicketDecision::Refuse(RefuseReason::Expired);
    let kept = TicketDecision::Replay(done(&[7; 100]));
    assert_eq!(decisions, [lost, kept.clone(), kept, TicketDecision::Run]);
}
