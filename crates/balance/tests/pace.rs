//! When an entry refuses because it is behind with its own work.

use balance::Pace;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn after(latenesses: &[u64]) -> Pace {
    let mut pace = Pace::default();
    for late in latenesses {
        pace.note(ms(*late));
    }
    pace
}

/// Symptom: an entry alone in its region, at half again what its processor can do, failed nearly every
/// request for five seconds: none was refused, all were late. Sequence: its sibling is replaced under a
/// burst. Cause guarded against: taking on what there is no processor time for.
#[test]
fn an_entry_that_stays_behind_refuses_most() {
    let pace = after(&[120; 12]);
    assert!(pace.served() < 0.6, "{pace:?}");
    let pace = after(&[400; 12]);
    assert!(pace.served() <= 0.21, "{pace:?}");
    let served = (0..1000).filter(|nonce| pace.serves(*nonce)).count();
    assert!((150..=250).contains(&served), "{served}");
}

/// A pause of the whole machine is over when it is noticed; what waited meanwhile is still worth serving.
#[test]
fn one_pause_refuses_nothing() {
    let pace = after(&[0, 0, 3_000]);
    assert!((0..1000).all(|nonce| pace.serves(nonce)), "{pace:?}");
}

/// A processor with a quota stands still for most of a tenth of a second whenever it is used up.
#[test]
fn what_a_quota_does_is_usual() {
    let pace = after(&[60; 40]);
    assert!((0..1000).all(|nonce| pace.serves(nonce)), "{pace:?}");
}

#[test]
fn it_recovers_within_a_second() {
    let mut pace = after(&[400; 12]);
    for _ in 0..6 {
        pace.note(ms(0));
    }
    assert!((0..1000).all(|nonce| pace.serves(nonce)), "{pace:?}");
}
