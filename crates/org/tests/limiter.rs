//! One entry's limiter.

use base::{
    FastMap,
    OrganisationId, //
};
use org::{
    demand_key,
    Demand,
    Limiter,
    Part,
    Parts,
    Quota,
    QuotaBounds, //
};
use std::time::Duration;

const QUOTA: Quota = Quota {
    rate_per_s: 10.0,
    burst: 10.0,
};

fn acme() -> OrganisationId {
    "acme".into()
}

fn limiter() -> Limiter {
    Limiter::new(QuotaBounds::default(), 7)
}

/// Parts of one of 88 entries, while the callers of all ask for `per_s`.
fn parts(per_s: f64) -> Parts {
    let fleet = Demand {
        per_s,
        used: per_s.min(QUOTA.rate_per_s) * 5.0,
        reserved: 0.0,
    };
    let part = Part {
        fraction: 1.0 / 88.0,
        fleet,
    };
    Parts {
        by_key: FastMap::from_iter([(demand_key("acme"), part)]),
        current: true,
        equal: 1.0 / 88.0,
    }
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against refusals of an organisation's first requests, whose bucket was empty until it had filled up.
#[test]
fn bucket_of_a_new_organisation_is_full() {
    let mut limiter = limiter();
    limiter.set_parts(parts(5.0), secs(1.0));
    limiter.set_quotas([(&acme(), QUOTA)].into_iter(), secs(1.0));
    for _ in 0..3 {
        assert_eq!(limiter.try_take("acme", secs(1.0)), Ok(()));
    }
    assert!(limiter.try_take("acme", secs(1.0)).is_err());
}

/// Guards against a full bucket after each change of the routes.
#[test]
fn state_is_kept_when_the_routes_change() {
    let mut limiter = limiter();
    limiter.set_parts(parts(5.0), secs(1.0));
    for _ in 0..3 {
        limiter.set_quotas([(&acme(), QUOTA)].into_iter(), secs(1.0));
        assert_eq!(limiter.try_take("acme", secs(1.0)), Ok(()));
    }
    limiter.set_quotas([(&acme(), QUOTA)].into_iter(), secs(1.0));
    assert!(limiter.try_take("acme", secs(1.0)).is_err());
}

#[test]
fn organisation_without_a_limit_is_admitted() {
    let mut limiter = limiter();
    limiter.set_quotas([(&acme(), Quota::default())].into_iter(), secs(1.0));
    assert!((0..1000).all(|_| limiter.try_take("acme", secs(1.0)).is_ok()));
    assert!(limiter.demands(secs(1.0)).is_empty());
}

/// Guards against a quota that is used up by requests that did not run.
#[test]
fn refund_admits_another_request() {
    let mut limiter = limiter();
    limiter.set_parts(parts(5.0), secs(1.0));
    limiter.set_quotas([(&acme(), QUOTA)].into_iter(), secs(1.0));
    for _ in 0..50 {
        assert_eq!(limiter.try_take("acme", secs(1.0)), Ok(()));
        limiter.refund("acme", secs(1.0));
    }
}

/// While the demand exceeds the limit, the fraction that fits is admitted, and refused callers return at different times.
#[test]
fn fraction_of_the_demand_is_admitted_above_the_limit() {
    let mut limiter = limiter();
    limiter.set_quotas([(&acme(), QUOTA)].into_iter(), secs(1.0));
    limiter.set_parts(parts(40.0), secs(1.0));
    let taken: Vec<_> = (0..400)
        .map(|_| limiter.try_take("acme", secs(1.0)))
        .collect();
    let admitted = taken.iter().filter(|taken| taken.is_ok()).count();
    assert!((99..=101).contains(&admitted), "{admitted} of 400");
    let mut delays: Vec<Duration> = taken.into_iter().filter_map(Result::err).collect();
    delays.sort_unstable();
    let (first, last) = (delays[0], delays[delays.len() - 1]);
    assert!(
        first >= Duration::from_millis(50) && last <= secs(2.0),
        "{first:?} to {last:?}"
    );
    assert!(
        last - first > Duration::from_millis(500),
        "{first:?} to {last:?}"
    );
}

/// What the others have used up of a window's margin is not admitted here.
#[test]
fn nothing_is_admitted_once_the_margin_is_used_up() {
    let mut limiter = limiter();
    limiter.set_quotas([(&acme(), QUOTA)].into_iter(), secs(1.0));
    let mut parts = parts(40.0);
    let part = parts.by_key.get_mut(&demand_key("acme")).expect("the part");
    part.fleet.used = QuotaBounds::default().allowed(&QUOTA);
    limiter.set_parts(parts, secs(1.0));
    assert!((0..100).all(|_| limiter.try_take("acme", secs(1.0)).is_err()));
}

/// Guards against a rate that is not a number if a deployment allows no margin at all.
#[test]
fn quota_without_a_margin_is_enforced() {
    let bounds = QuotaBounds {
        overrun: 0.0,
        slack: 0.0,
        ..QuotaBounds::default()
    };
    let quota = Quota {
        rate_per_s: 10.0,
        burst: 0.0,
    };
    let mut limiter = Limiter::new(bounds, 7);
    limiter.set_quotas([(&acme(), quota)].into_iter(), secs(1.0));
    for per_s in [5.0, 40.0] {
        limiter.set_parts(parts(per_s), secs(1.0));
        let admitted = (0..100).filter(|_| limiter.try_take("acme", secs(1.0)).is_ok());
        assert!((1..=26).contains(&admitted.count()), "{per_s} per second");
    }
}
