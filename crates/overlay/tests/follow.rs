//! Reading a table through hubs: no change is missed, whatever is lost on the way.

use base::{
    InstanceId,
    Now, //
};
use overlay::{
    Continuity,
    Freshness,
    Guards,
    TableFollower, //
};
use std::{
    collections::BTreeSet,
    time::Duration, //
};

const AGE_MAX: Duration = Duration::from_secs(6);

fn secs(seconds: u64) -> Now {
    Duration::from_secs(seconds)
}

fn hub(number: usize) -> InstanceId {
    format!("hub-{number}").into()
}

/// Sends rows that the hub has just read, on the same clock as the receiver's.
fn forward(follow: &mut TableFollower, from: usize, after: u64, to: u64, now: Now) -> Continuity {
    follow.on_forwarded(&hub(from), after, to, fresh(now), now)
}

/// What a hub states that has just read the table, on the same clock as the receiver's.
fn fresh(now: Now) -> Freshness {
    Freshness {
        complete_at: now,
        sent_at: now,
    }
}

/// A leaf, and the changes of the store that it has applied.
struct Leaf {
    follow: TableFollower,
    applied: BTreeSet<u64>,
}

impl Leaf {
    fn new(guards: Guards) -> Self {
        let mut follow = TableFollower::with_guards(guards);
        follow.on_read(0, Now::ZERO);
        Self {
            follow,
            applied: BTreeSet::new(),
        }
    }

    /// Returns whether all changes up to its position were applied.
    fn is_complete(&self) -> bool {
        let position = self.follow.position().unwrap_or(0);
        (1..=position).all(|version| self.applied.contains(&version))
    }
}

/// Runs reads of two hubs, some of whose messages are lost; returns whether the leaf missed nothing.
fn run(steps: &[(bool, u8, bool)], guards: Guards) -> bool {
    let mut leaf = Leaf::new(guards);
    let mut store = 0;
    let mut read = [0_u64, 0];
    for (number, (by_second_hub, writes, lost)) in steps.iter().enumerate() {
        store += u64::from(writes % 4);
        let hub_index = usize::from(*by_second_hub);
        let after = std::mem::replace(&mut read[hub_index], store);
        if *lost {
            continue;
        }
        let now = secs(1) + Duration::from_millis(number as u64 * 10);
        match forward(&mut leaf.follow, hub_index, after, store, now) {
            Continuity::Next => leaf.applied.extend(after + 1..=store),
            Continuity::Known => {}
            Continuity::Gap => {
                assert!(
                    !leaf.follow.is_forwarded(AGE_MAX, now),
                    "a call of the store is due"
                );
                leaf.applied.extend(1..=store);
                leaf.follow.on_read(store, now);
            }
        }
        if !leaf.is_complete() {
            return false;
        }
    }
    true
}

/// Guards against rows of a lost message that are never applied.
#[test]
fn no_change_is_missed_through_hubs() {
    bolero::check!()
        .with_type::<Vec<(bool, u8, bool)>>()
        .for_each(|steps| assert!(run(steps, Guards::default())));
}

/// The check above finds the runs that the guard against gaps prevents.
#[test]
fn changes_are_missed_without_the_gap_guard() {
    let one_lost_message = [(false, 1, true), (false, 1, false)];
    assert!(run(&one_lost_message, Guards::default()));
    let guards = Guards {
        gap: false,
        ..Guards::default()
    };
    assert!(!run(&one_lost_message, guards));
}

/// Guards against a leaf that waits forever for a hub that went silent.
#[test]
fn a_silent_hub_does_not_count_as_forwarding() {
    let mut follow = TableFollower::new();
    assert!(
        !follow.is_forwarded(AGE_MAX, secs(0)),
        "the table was not read yet"
    );
    follow.on_read(5, Now::ZERO);
    assert!(!follow.is_forwarded(AGE_MAX, secs(0)), "no hub forwards");
    assert_eq!(forward(&mut follow, 0, 5, 5, secs(1)), Continuity::Known);
    assert!(follow.is_forwarded(AGE_MAX, secs(6)));
    assert!(!follow.is_forwarded(AGE_MAX, secs(7)));
    let guards = Guards {
        staleness: false,
        ..Guards::default()
    };
    let mut unguarded = TableFollower::with_guards(guards);
    unguarded.on_read(5, Now::ZERO);
    forward(&mut unguarded, 0, 5, 5, secs(1));
    assert!(
        unguarded.is_forwarded(AGE_MAX, secs(600)),
        "without the guard, a silent hub counts as forwarding"
    );
}

/// Guards against waiting for a hub that can't read the store or is lost.
#[test]
fn a_stopped_hub_does_not_count_as_forwarding() {
    let mut follow = TableFollower::new();
    follow.on_read(5, Now::ZERO);
    forward(&mut follow, 0, 5, 5, secs(1));
    forward(&mut follow, 1, 5, 5, secs(1));
    follow.remove_hub(&hub(0));
    assert!(
        follow.is_forwarded(AGE_MAX, secs(1)),
        "the other hub still forwards"
    );
    follow.remove_hub(&hub(1));
    assert!(!follow.is_forwarded(AGE_MAX, secs(1)));
}

/// Guards against waiting for a hub that has read further than this leaf: it won't forward what is missing.
#[test]
fn a_hub_that_is_ahead_does_not_count_as_forwarding() {
    let mut follow = TableFollower::new();
    follow.on_read(5, Now::ZERO);
    follow.on_hub_position(&hub(0), 8, fresh(secs(1)), secs(1));
    assert!(!follow.is_forwarded(AGE_MAX, secs(1)));
    follow.on_hub_position(&hub(1), 5, fresh(secs(1)), secs(1));
    assert!(follow.is_forwarded(AGE_MAX, secs(1)));
    assert_eq!(forward(&mut follow, 0, 8, 9, secs(1)), Continuity::Gap);
    assert!(
        !follow.is_forwarded(AGE_MAX, secs(1)),
        "a call of the store is due"
    );
}

/// Rows forwarded before the whole table was read once do not make a table.
#[test]
fn rows_before_the_first_table_are_a_gap() {
    let mut follow = TableFollower::new();
    assert_eq!(forward(&mut follow, 0, 3, 4, secs(1)), Continuity::Gap);
    assert!(!follow.is_forwarded(AGE_MAX, secs(1)));
    follow.on_read(9, Now::ZERO);
    assert_eq!(forward(&mut follow, 0, 4, 8, secs(1)), Continuity::Known);
    assert_eq!(forward(&mut follow, 0, 8, 12, secs(1)), Continuity::Next);
    assert_eq!(follow.position(), Some(12));
}

/// Guards against counting the age of a table from the arrival of a message that was delayed, or whose sender's copy is old.
macro_rules! old_messages_do_not_count_as_forwarding {
    ($($name:ident: $age_s:expr, $delay_s:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut follow = TableFollower::new();
            follow.on_read(5, Now::ZERO);
            // The hub's clock is an hour ahead of this entry's.
            let hub_clock = |now: Now| now + secs(3600);
            let send = |sent_at: Now, age: Duration| Freshness {
                complete_at: hub_clock(sent_at) - age,
                sent_at: hub_clock(sent_at),
            };
            follow.on_hub_position(&hub(0), 5, send(secs(1), Duration::ZERO), secs(1));
            assert!(follow.is_forwarded(AGE_MAX, secs(6)));
            let sent_at = secs(6);
            let received_at = sent_at + secs($delay_s);
            follow.on_hub_position(&hub(0), 5, send(sent_at, secs($age_s)), received_at);
            let until = sent_at - secs($age_s) + AGE_MAX;
            assert!(follow.is_forwarded(AGE_MAX, until - Duration::from_millis(1)));
            assert!(!follow.is_forwarded(AGE_MAX, until));
            assert_eq!(follow.forwarded_until(AGE_MAX), until);
        }
    )*};
}

old_messages_do_not_count_as_forwarding! {
    message_of_a_hub_with_a_fresh_table: 0, 0;
    message_of_a_hub_that_has_heard_nothing: 4, 0;
    message_that_was_held_up: 0, 4;
    message_of_such_a_hub_that_was_held_up: 2, 3;
}

/// Guards against hubs that keep each other's table fresh although none of them reads the store any more.
#[test]
fn what_a_hub_states_of_its_own_reads_does_not_repeat_what_others_state() {
    let mut follow = TableFollower::new();
    follow.on_read(5, secs(1));
    forward(&mut follow, 0, 5, 5, secs(3));
    assert_eq!(follow.read_freshness(secs(4)).complete_at, secs(1));
    assert_eq!(follow.freshness(secs(4)).complete_at, secs(3));
    assert_eq!(follow.age(secs(4)), secs(1));
}
