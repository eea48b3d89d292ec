//! Claims of leases after the store was restored.

use lease::EraWait;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(5);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a second holder: the lease of the first was granted after the copy was made.
#[test]
fn claims_wait_after_a_restore() {
    let mut wait = EraWait::default();
    wait.observe(Some(1), secs(0));
    wait.settle(1);
    assert!(wait.is_over(WAIT, secs(1)));
    wait.observe(Some(2), secs(10));
    assert!(!wait.is_over(WAIT, secs(14)));
    assert!(wait.is_over(WAIT, secs(15)));
}

/// Guards against a wait that ends too early if the store is restored twice in a row.
#[test]
fn second_restore_begins_the_wait_anew() {
    let mut wait = EraWait::default();
    wait.observe(Some(1), secs(0));
    wait.observe(Some(2), secs(4));
    assert!(!wait.is_over(WAIT, secs(6)));
    wait.settle(1);
    assert!(!wait.is_over(WAIT, secs(6)), "a record of the era before");
    wait.observe(Some(1), secs(7));
    assert!(!wait.is_over(WAIT, secs(8)), "an answer of the era before");
    assert!(wait.is_over(WAIT, secs(9)));
}

/// Guards against a process that starts just after a restore and doesn't know of it.
#[test]
fn new_process_waits_unless_the_era_is_recorded() {
    let mut wait = EraWait::default();
    assert!(wait.is_over(WAIT, secs(0)), "the store states no era");
    wait.observe(Some(3), secs(1));
    assert!(!wait.is_over(WAIT, secs(2)));
    assert_eq!(wait.unrecorded(WAIT, secs(2)), None);
    assert_eq!(wait.unrecorded(WAIT, secs(6)), Some(3));
    wait.settle(3);
    assert!(wait.is_over(WAIT, secs(2)));
    assert_eq!(wait.unrecorded(WAIT, secs(6)), None);
}
