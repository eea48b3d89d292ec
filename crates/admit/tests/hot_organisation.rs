//! An organisation whose callers send several times their usual.

mod support;

use std::time::Duration;
use support::{
    ms,
    rank,
    Service, //
};

/// Organisations, the last of which is larger than the others.
const USUAL: [&str; 4] = ["a", "b", "c", "large"];
/// Duration of the usual load, and of the surge after it.
const PHASE_MS: u64 = 20_000;

/// Sends the usual requests of all organisations, 20 per second of the small ones and 60 of the large one, and
/// `hot_per_10_ms` further ones of `hot`.
fn run(service: &mut Service, time_ms: u64, hot: &'static str, hot_per_10_ms: usize) {
    for at_ms in 0..time_ms {
        for (index, organisation) in USUAL.into_iter().enumerate() {
            let interval_ms = if organisation == "large" { 16 } else { 50 };
            if (at_ms + index as u64) % interval_ms == 0 {
                service.arrive(rank(0), Some(organisation));
            }
        }
        if at_ms % 10 == 0 {
            for _ in 0..hot_per_10_ms {
                service.arrive(rank(0), Some(hot));
            }
        }
        service.wait(ms(1));
    }
}

/// Returns the fraction of the requests of an organisation that were granted since `since`.
fn granted(service: &Service, organisation: &str, since: Duration) -> f64 {
    let (granted, all) = service.granted_of(|one| {
        one.arrived >= since && one.organisation.as_deref() == Some(organisation)
    });
    granted as f64 / all as f64
}

/// Guards against others that pay for a surge: the organisation takes only what they leave.
#[test]
fn surge_takes_what_the_others_leave() {
    // 160 slots per second for 122 requests per second.
    let mut service = Service::new(16, ms(100), ms(200));
    run(&mut service, PHASE_MS, "a", 0);
    let surge = service.now;
    run(&mut service, PHASE_MS, "a", 2);
    for organisation in ["b", "c", "large"] {
        let granted = granted(&service, organisation, surge);
        assert!(granted > 0.97, "{organisation}: {granted}");
    }
    let hot = granted(&service, "a", surge);
    assert!((0.15..0.5).contains(&hot), "{hot}");
}

/// Guards against a large organisation that gets no more than a small one.
#[test]
fn shares_follow_the_usual_requests() {
    // 80 slots per second for 122 requests per second.
    let mut service = Service::new(8, ms(100), ms(200));
    run(&mut service, PHASE_MS, "a", 0);
    let shares = USUAL.map(|organisation| granted(&service, organisation, ms(2000)));
    for share in shares {
        assert!((0.5..0.85).contains(&share), "{shares:?}");
    }
}

/// An organisation without earlier requests isn't starved by those that have many.
#[test]
fn new_organisation_is_served() {
    let mut service = Service::new(8, ms(100), ms(200));
    run(&mut service, PHASE_MS, "a", 0);
    let start = service.now;
    for _ in 0..20 {
        service.arrive(rank(0), Some("new"));
        run(&mut service, 100, "a", 0);
    }
    let share = granted(&service, "new", start);
    assert!(share > 0.5, "{share}");
}
