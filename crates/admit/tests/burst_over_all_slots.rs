//! Bursts of more requests than a service has slots.

mod support;

use std::{
    collections::BTreeSet,
    time::Duration, //
};
use support::{
    ms,
    rank,
    Service, //
};

/// Slots of the service.
const SLOTS: usize = 8;
/// Time that a slot takes for a request.
const WORK: Duration = Duration::from_millis(100);
/// Maximum wait of a request.
const PATIENCE: Duration = Duration::from_millis(250);

fn service() -> Service {
    Service::new(SLOTS, WORK, PATIENCE)
}

/// Runs the service at several times its capacity: each millisecond, `arrivals` names the ranks of the new requests.
fn run(service: &mut Service, time_ms: u64, arrivals: impl Fn(u64) -> Vec<u32>) {
    for at_ms in 0..time_ms {
        for route in arrivals(at_ms) {
            service.arrive(rank(route), None);
        }
        service.wait(ms(1));
    }
}

/// Guards against a burst of a lower rank that takes the slots that a higher one needs.
#[test]
fn higher_rank_is_served_first() {
    let mut service = service();
    // 50 requests of the higher rank and 250 of the lower one per second, for 80 slots per second.
    run(&mut service, 4000, |at_ms| {
        let mut ranks = Vec::new();
        if at_ms % 4 == 0 {
            ranks.push(1);
        }
        if at_ms % 20 == 0 {
            ranks.push(0);
        }
        ranks
    });
    run(&mut service, 300, |_| Vec::new());
    let (granted, all) = service.granted_of(|one| one.rank == rank(0));
    assert!(granted == all, "{granted} of {all}");
    let (lower, _) = service.granted_of(|one| one.rank == rank(1));
    assert!(lower >= 110, "the rest is the lower rank's: {lower}");
}

/// Guards against a lower rank that gets nothing while higher ones take all slots.
#[test]
fn lower_rank_is_not_starved() {
    let mut service = service();
    run(&mut service, 4000, |at_ms| {
        let mut ranks = vec![0; usize::from(at_ms % 4 == 0)];
        ranks.extend(vec![1; usize::from(at_ms % 25 == 0)]);
        ranks
    });
    let (all, _) = service.granted_of(|_| true);
    let (lower, _) = service.granted_of(|one| one.rank == rank(1));
    assert!(lower * 20 >= all, "{lower} of {all}");
    assert!(lower * 8 <= all, "{lower} of {all}");
}

/// Guards against requests that wait and miss their target because older ones, which miss theirs as well, go first.
#[test]
fn waits_stay_short_under_permanent_overload() {
    let mut service = service();
    run(&mut service, 4000, |at_ms| {
        vec![0; usize::from(at_ms % 2 == 0)]
    });
    let waits = service.requests.iter().filter_map(|one| {
        let granted = one.granted?;
        Some(granted - one.arrived)
    });
    let mut waits: Vec<Duration> = waits.collect();
    waits.sort_unstable();
    assert!(waits.len() >= 310, "the slots are in use: {}", waits.len());
    let median = waits[waits.len() / 2];
    assert!(median < PATIENCE / 4, "{median:?}");
    assert!(waits.iter().all(|wait| *wait < PATIENCE));
}

/// Guards against requests that are kept although they can't be served, and against callers that return together.
#[test]
fn what_has_no_place_is_rejected_at_once() {
    let mut service = service();
    run(&mut service, 500, |_| vec![0]);
    let start = service.requests.len();
    for _ in 0..200 {
        service.arrive(rank(1), None);
    }
    let new = service.requests[start..].iter();
    let rejected = new.filter(|one| one.rejected.is_some());
    let rejected: Vec<_> = rejected.collect();
    assert!(rejected.len() >= 190, "{}", rejected.len());
    assert!(rejected.iter().all(|one| one.rejected == Some(one.arrived)));
    let delays: BTreeSet<Duration> = rejected.iter().map(|one| one.retry_after).collect();
    let (first, last) = (delays.first().copied(), delays.last().copied());
    assert!(
        first >= Some(ms(50)) && last <= Some(ms(2000)),
        "{delays:?}"
    );
    assert!(delays.len() >= 100, "{delays:?}");
    assert!(last > first.map(|first| first.mul_f64(1.3)), "{delays:?}");
}

/// If the queue is full, a request of a higher rank takes the place of the last one of the lowest rank.
#[test]
fn higher_rank_displaces_a_lower_one() {
    let mut service = service();
    for _ in 0..SLOTS + support::LEN_MAX {
        service.arrive(rank(2), None);
    }
    assert_eq!(service.queue.len(), support::LEN_MAX);
    service.arrive(rank(1), None);
    assert_eq!(service.queue.len(), support::LEN_MAX);
    let last = SLOTS + support::LEN_MAX - 1;
    assert!(service.requests[last].rejected.is_some());
    assert!(service.requests[last + 1].rejected.is_none());
    service.arrive(rank(2), None);
    assert!(service.requests[last + 2].rejected.is_some());
}
