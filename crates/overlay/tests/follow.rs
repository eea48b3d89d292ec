//! Reading a table through hubs: nothing is missed, whatever is lost on the way.

use base::{
    InstanceId,
    Now, //
};
use overlay::{
    Follow,
    Guards,
    Step, //
};
use std::{
    collections::BTreeSet,
    time::Duration, //
};

const SILENCE: Duration = Duration::from_secs(6);

fn s(s: u64) -> Now {
    Duration::from_secs(s)
}

fn hub(number: usize) -> InstanceId {
    format!("hub-{number}").into()
}

/// A leaf, and which changes of the store it has taken.
struct Leaf {
    follow: Follow,
    taken: BTreeSet<u64>,
}

impl Leaf {
    fn new(guards: Guards) -> Self {
        let mut follow = Follow::with_guards(guards);
        follow.take_whole(0);
        Self {
            follow,
            taken: BTreeSet::new(),
        }
    }

    /// Whether all changes up to its position were taken.
    fn is_whole(&self) -> bool {
        let position = self.follow.position().unwrap_or(0);
        (1..=position).all(|version| self.taken.contains(&version))
    }
}

/// Plays what two hubs read and forward, of which some is lost; whether the leaf missed nothing.
fn play(steps: &[(bool, u8, bool)], guards: Guards) -> bool {
    let mut leaf = Leaf::new(guards);
    let mut store = 0;
    let mut read = [0_u64, 0];
    for (number, (second, writes, lost)) in steps.iter().enumerate() {
        store += u64::from(writes % 4);
        let by = usize::from(*second);
        let after = std::mem::replace(&mut read[by], store);
        if *lost {
            continue;
        }
        let now = s(1) + Duration::from_millis(number as u64 * 10);
        match leaf.follow.step(&hub(by), after, store, now) {
            Step::Next => leaf.taken.extend(after + 1..=store),
            Step::Known => {}
            Step::Gap => {
                assert!(
                    !leaf.follow.is_forwarded(SILENCE, now),
                    "the store is to be called"
                );
                leaf.taken.extend(1..=store);
                leaf.follow.take_read(store);
            }
        }
        if !leaf.is_whole() {
            return false;
        }
    }
    true
}

/// Rows of a message that was lost would never be taken.
#[test]
fn nothing_is_missed_through_hubs() {
    bolero::check!()
        .with_type::<Vec<(bool, u8, bool)>>()
        .for_each(|steps| assert!(play(steps, Guards::default())));
}

/// The search above finds what the guard against gaps prevents.
#[test]
fn a_gap_needs_its_guard() {
    let lost_once = [(false, 1, true), (false, 1, false)];
    assert!(play(&lost_once, Guards::default()));
    let guards = Guards {
        gap: false,
        ..Guards::default()
    };
    assert!(!play(&lost_once, guards));
}

/// A leaf whose hub went silent would wait for it for ever.
#[test]
fn a_silent_hub_forwards_no_more() {
    let mut follow = Follow::new();
    assert!(!follow.is_forwarded(SILENCE, s(0)), "no table was read");
    follow.take_whole(5);
    assert!(!follow.is_forwarded(SILENCE, s(0)), "no hub forwards");
    assert_eq!(follow.step(&hub(0), 5, 5, s(1)), Step::Known);
    assert!(follow.is_forwarded(SILENCE, s(6)));
    assert!(!follow.is_forwarded(SILENCE, s(7)));
    let guards = Guards {
        silence: false,
        ..Guards::default()
    };
    let mut without = Follow::with_guards(guards);
    without.take_whole(5);
    without.step(&hub(0), 5, 5, s(1));
    assert!(
        without.is_forwarded(SILENCE, s(600)),
        "the guard is what ends it"
    );
}

/// A hub that can't read the store, or is lost, is none to wait for.
#[test]
fn a_hub_that_stops_forwards_no_more() {
    let mut follow = Follow::new();
    follow.take_whole(5);
    follow.step(&hub(0), 5, 5, s(1));
    follow.step(&hub(1), 5, 5, s(1));
    follow.stop(&hub(0));
    assert!(
        follow.is_forwarded(SILENCE, s(1)),
        "the other one still does"
    );
    follow.stop(&hub(1));
    assert!(!follow.is_forwarded(SILENCE, s(1)));
}

/// A hub that has read farther than this leaf would be waited for, though it will not forward what is missing.
#[test]
fn a_hub_that_is_ahead_is_none_to_wait_for() {
    let mut follow = Follow::new();
    follow.take_whole(5);
    follow.take_position(&hub(0), 8, s(1));
    assert!(!follow.is_forwarded(SILENCE, s(1)));
    follow.take_position(&hub(1), 5, s(1));
    assert!(follow.is_forwarded(SILENCE, s(1)));
    assert_eq!(follow.step(&hub(0), 8, 9, s(1)), Step::Gap);
    assert!(
        !follow.is_forwarded(SILENCE, s(1)),
        "the store is to be called"
    );
}

/// Rows that come before the first whole table was read are a part of nothing.
#[test]
fn rows_before_the_first_table_are_a_gap() {
    let mut follow = Follow::new();
    assert_eq!(follow.step(&hub(0), 3, 4, s(1)), Step::Gap);
    assert!(!follow.is_forwarded(SILENCE, s(1)));
    follow.take_whole(9);
    assert_eq!(follow.step(&hub(0), 4, 8, s(1)), Step::Known);
    assert_eq!(follow.step(&hub(0), 8, 12, s(1)), Step::Next);
    assert_eq!(follow.position(), Some(12));
}
