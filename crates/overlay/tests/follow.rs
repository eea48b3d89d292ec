//! Reading a table through hubs: no change is missed, whatever is lost on the way.

use base::{
    InstanceId,
    Now, //
};
use overlay::{
    Continuity, //
    Guards,
    TableFollower,
};
use std::{
    collections::BTreeSet,
    time::Duration, //
};

const SILENCE: Duration = Duration::from_secs(6);

fn secs(seconds: u64) -> Now {
    Duration::from_secs(seconds)
}

fn hub(number: usize) -> InstanceId {
    format!("hub-{number}").into()
}

/// A leaf, and the changes of the store that it has applied.
struct Leaf {
    follow: TableFollower,
    applied: BTreeSet<u64>,
}

impl Leaf {
    fn new(guards: Guards) -> Self {
        let mut follow = TableFollower::with_guards(guards);
        follow.on_table_read(0);
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
        match leaf.follow.on_forwarded(&hub(hub_index), after, store, now) {
            Continuity::Next => leaf.applied.extend(after + 1..=store),
            Continuity::Known => {}
            Continuity::Gap => {
                assert!(
                    !leaf.follow.is_forwarded(SILENCE, now),
                    "a call of the store is due"
                );
                leaf.applied.extend(1..=store);
                leaf.follow.on_changes_read(store);
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
        !follow.is_forwarded(SILENCE, secs(0)),
        "the table was not read yet"
    );
    follow.on_table_read(5);
    assert!(!follow.is_forwarded(SILENCE, secs(0)), "no hub forwards");
    assert_eq!(
        follow.on_forwarded(&hub(0), 5, 5, secs(1)),
        Continuity::Known
    );
    assert!(follow.is_forwarded(SILENCE, secs(6)));
    assert!(!follow.is_forwarded(SILENCE, secs(7)));
    let guards = Guards {
        silence: false,
        ..Guards::default()
    };
    let mut unguarded = TableFollower::with_guards(guards);
    unguarded.on_table_read(5);
    unguarded.on_forwarded(&hub(0), 5, 5, secs(1));
    assert!(
        unguarded.is_forwarded(SILENCE, secs(600)),
        "without the guard, a silent hub counts as forwarding"
    );
}

/// Guards against waiting for a hub that can't read the store or is lost.
#[test]
fn a_stopped_hub_does_not_count_as_forwarding() {
    let mut follow = TableFollower::new();
    follow.on_table_read(5);
    follow.on_forwarded(&hub(0), 5, 5, secs(1));
    follow.on_forwarded(&hub(1), 5, 5, secs(1));
    follow.remove_hub(&hub(0));
    assert!(
        follow.is_forwarded(SILENCE, secs(1)),
        "the other hub still forwards"
    );
    follow.remove_hub(&hub(1));
    assert!(!follow.is_forwarded(SILENCE, secs(1)));
}

/// Guards against waiting for a hub that has read further than this leaf: it won't forward what is missing.
#[test]
fn a_hub_that_is_ahead_does_not_count_as_forwarding() {
    let mut follow = TableFollower::new();
    follow.on_table_read(5);
    follow.on_hub_position(&hub(0), 8, secs(1));
    assert!(!follow.is_forwarded(SILENCE, secs(1)));
    follow.on_hub_position(&hub(1), 5, secs(1));
    assert!(follow.is_forwarded(SILENCE, secs(1)));
    assert_eq!(follow.on_forwarded(&hub(0), 8, 9, secs(1)), Continuity::Gap);
    assert!(
        !follow.is_forwarded(SILENCE, secs(1)),
        "a call of the store is due"
    );
}

/// Rows forwarded before the whole table was read once do not make a table.
#[test]
fn rows_before_the_first_table_are_a_gap() {
    let mut follow = TableFollower::new();
    assert_eq!(follow.on_forwarded(&hub(0), 3, 4, secs(1)), Continuity::Gap);
    assert!(!follow.is_forwarded(SILENCE, secs(1)));
    follow.on_table_read(9);
    assert_eq!(
        follow.on_forwarded(&hub(0), 4, 8, secs(1)),
        Continuity::Known
    );
    assert_eq!(
        follow.on_forwarded(&hub(0), 8, 12, secs(1)),
        Continuity::Next
    );
    assert_eq!(follow.position(), Some(12));
}
