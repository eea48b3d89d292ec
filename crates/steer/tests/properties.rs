//! Property tests of the decisions over arbitrary input.

use std::time::Duration;
use steer::*;

const ITERATIONS: usize = 2000;

type Bits = (u8, u8, u8, u16, Option<(u8, u8)>, u8);

fn view(&(usable, slow_start, in_flight, latency_ms, report, flags): &Bits) -> UpstreamView {
    UpstreamView {
        usable: u32::from(usable % 10),
        slow_start_limit: if slow_start > 200 {
            NO_LIMIT
        } else {
            u32::from(slow_start % 10)
        },
        in_flight: u32::from(in_flight % 12),
        latency: Duration::from_millis(latency_ms.into()),
        reported: report.map(|(in_flight, queued)| LoadReport {
            in_flight: in_flight.into(),
            queued: queued.into(),
            ..LoadReport::default()
        }),
        suspect: flags & 1 != 0,
        cold: flags & 2 != 0,
        leaving: flags & 4 != 0,
        fresh: flags & 8 != 0,
        probe_due: flags & 16 != 0,
        ..UpstreamView::default()
    }
}

#[test]
fn policies_respect_limits() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(Vec<Bits>, u64)>()
        .for_each(|(bits, seed)| {
            let views: Vec<UpstreamView> = bits.iter().map(view).collect();
            let chosen = LeastLoaded::default().choose(&views, Duration::ZERO, *seed);
            let open = |view: &UpstreamView| {
                let probe = view.probe_due && view.in_flight == 0;
                !view.leaving
                    && view.in_flight < view.usable.min(view.slow_start_limit)
                    && view.in_flight < view.limit()
                    && (probe || !(view.suspect || view.cold))
            };
            // An upstream is chosen exactly if one has an open slot, and it is such an upstream.
            assert_eq!(chosen.is_some(), views.iter().any(open));
            assert!(chosen.is_none_or(|index| open(&views[index])));
            for policy in Policy::ALL {
                let mut chooser = policy.chooser(BaselineLimits::Owned);
                let chosen = chooser.choose(&views, Duration::ZERO, *seed);
                assert!(chosen
                    .is_none_or(|i| !views[i].leaving && views[i].in_flight < views[i].limit()));
                let mut chooser = policy.chooser(BaselineLimits::None);
                let chosen = chooser.choose(&views, Duration::ZERO, *seed);
                assert!(chosen.is_none_or(|i| !views[i].leaving));
            }
        });
}

/// A report never raises the limit of an upstream and never reduces it to zero.
#[test]
fn reports_only_lower() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Bits>()
        .for_each(|bits| {
            let with = view(bits);
            let without = UpstreamView {
                reported: None,
                ..with
            };
            assert!(with.limit() <= without.limit());
            assert_eq!(with.limit() == 0, without.limit() == 0);
        });
}

#[test]
fn slow_start_is_monotone_under_low_latency() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(Vec<(u8, u8, bool)>, u8)>()
        .for_each(|(windows, usable)| {
            let warm = Duration::from_millis(100);
            let mut slow_start = SlowStart::warm(SlowStartSettings::default());
            slow_start.restart(Duration::ZERO, SlowStartCause::Silence, Some(warm), true);
            let mut now = Duration::ZERO;
            for &(answers, latency_ms, fresh) in windows {
                now += Duration::from_millis(10);
                let latency = Duration::from_millis(u64::from(latency_ms % 126));
                let answers = u32::from(answers);
                let latency_sum = latency * answers;
                let stats = WindowStats {
                    responses: answers,
                    latency_sum,
                    ..WindowStats::default()
                };
                let freshness = if fresh {
                    Freshness::Fresh
                } else {
                    Freshness::Old
                };
                let before = slow_start.limit();
                let was_warm = slow_start.phase() == SlowStartPhase::Warm;
                slow_start.observe(now, &stats, u32::from(*usable), freshness);
                assert!(slow_start.limit() >= before);
                let grown = slow_start.limit().saturating_sub(before);
                assert!(grown <= 1 || slow_start.phase() == SlowStartPhase::Warm);
                assert!(fresh || grown == 0 || was_warm);
            }
        });
}

#[test]
fn retry_budget_bound_holds() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(u8, Vec<bool>)>()
        .for_each(|(ratio, events)| {
            let mut budget = RetryBudget::new(u32::from(*ratio) * 4);
            let (mut offered, mut retries) = (0, 0);
            for &is_offer in events {
                if is_offer {
                    budget.record_request();
                    offered += 1;
                } else if budget.take() {
                    retries += 1;
                }
                assert!(retries * 1000 <= offered * u32::from(*ratio) * 4);
                assert!(retries * 1000 <= offered * 99);
            }
        });
}

#[test]
fn no_shift_exceeds_headroom_or_targets_a_drained_region() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(Vec<(u16, u8, u8)>, Option<u8>, u8, bool, bool)>()
        .for_each(|(regions, previous, headroom_pct, idempotent, excess)| {
            let estimates: Vec<RegionEstimate> = regions
                .iter()
                .map(|&(wait_ms, left, flags)| RegionEstimate {
                    wait: Duration::from_millis(wait_ms.into()),
                    service_time: Duration::from_millis(10),
                    round_trip: Duration::from_millis(50),
                    headroom_left_pct: u32::from(left % 101),
                    admitting: flags & 1 != 0,
                    shift_allowed: flags & 2 != 0,
                    freshness: if flags & 4 != 0 {
                        Freshness::Fresh
                    } else {
                        Freshness::Old
                    },
                    drained: flags & 8 != 0,
                })
                .collect();
            let target = ClassTarget {
                latency_target: Duration::from_millis(200),
                headroom_pct: u32::from(headroom_pct % 100),
                idempotent: *idempotent,
                priority: None,
            };
            let preference: Vec<usize> = (0..estimates.len()).collect();
            let question = PlacementQuery {
                local_region: 0,
                preference: &preference,
                estimates: &estimates,
                target: &target,
                exceeds_headroom: *excess,
                previous: previous.map(usize::from),
                deadline_left: Duration::from_secs(1),
            };
            match place(&question, &PlacementSettings::default()) {
                Placement::Local => assert!(estimates[0].admitting && !estimates[0].drained),
                Placement::Shift(region) => {
                    let there = &estimates[region];
                    assert!(
                        region != 0 && there.admitting && there.shift_allowed && !there.drained
                    );
                    assert!(there.headroom_left_pct > target.headroom_pct);
                }
                Placement::Refuse { retry_after } => {
                    let here = estimates.first();
                    assert!(here.is_none_or(|here| !here.admitting || here.drained));
                    assert!(!retry_after.is_zero());
                }
            }
        });
}

/// A request that is sent leaves the slots free that are reserved for higher-ranked classes.
#[test]
fn admission_keeps_the_reserve() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<(u8, u8, u8, u8, u16)>()
        .for_each(
            |&(headroom_pct, slots, in_flight, queued, deadline_left_ms)| {
                let strict = ClassTarget {
                    latency_target: Duration::from_millis(100),
                    headroom_pct: u32::from(headroom_pct % 100),
                    idempotent: true,
                    priority: None,
                };
                let lenient = ClassTarget {
                    latency_target: Duration::from_secs(9),
                    ..strict
                };
                let admit = AdmissionControl::new(vec![strict, lenient], 8);
                let load = Load {
                    slots: slots.into(),
                    in_flight: in_flight.into(),
                    queued_ahead: queued.into(),
                    queued: queued.into(),
                    service_time: Duration::from_millis(10),
                    completion_interval: Duration::from_millis(3),
                };
                let deadline_left = Duration::from_millis(deadline_left_ms.into());
                match admit.admit(1, &load, Duration::ZERO, deadline_left, 1) {
                    Admission::Send => {
                        let left = load.slots - load.in_flight - 1;
                        let kept = left * 100 >= load.slots * strict.headroom_pct;
                        assert!(kept || load.slots == left + 1);
                    }
                    Admission::Queue { expected_wait } => {
                        assert!(queued < 8 && expected_wait + load.service_time <= deadline_left);
                    }
                    Admission::Refuse { retry_after } => assert!(!retry_after.is_zero()),
                }
            },
        );
}

/// Requests in flight, growth and bytes of a shift stay within the cap for any request sequence.
#[test]
fn shift_keeps_its_cap() {
    let cap = ShiftCap {
        bytes_per_s: 100_000,
        in_flight: 6,
        growth_per_s: 10,
    };
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_type::<Vec<(u8, u8, u16)>>()
        .for_each(|events| {
            let mut now = Duration::ZERO;
            let mut shift = ShiftLimiter::new(now, cap);
            let mut passed: Vec<(Duration, u64)> = Vec::new();
            for &(wait_ms, kind, bytes) in events {
                now += Duration::from_millis(wait_ms.into());
                match kind % 8 {
                    0 if shift.in_flight() > 0 => shift.release(now),
                    1..=4 => {
                        let bytes = u64::from(bytes).min(cap.bytes_per_s / 16);
                        passed.push((now + shift.book_bytes(now, bytes), bytes));
                    }
                    _ => {
                        let checked = shift.check(now, Freshness::Fresh);
                        assert_eq!(shift.admit(now, Freshness::Fresh), checked);
                    }
                }
                let in_flight = u128::from(shift.in_flight());
                assert!(in_flight <= 6 && in_flight <= 2 + now.as_millis() / 100);
            }
            for (index, &(from, _)) in passed.iter().enumerate() {
                let second = passed[index..].iter();
                let sum: u64 = second
                    .take_while(|&&(at, _)| at < from + Duration::from_secs(1))
                    .map(|&(_, bytes)| bytes)
                    .sum();
                assert!(sum <= cap.bytes_per_s, "{sum} bytes from {from:?}");
            }
        });
}

/// Requests and bytes that arrive at the maximum rate reach the cap and do not exceed it.
#[test]
fn shift_reaches_its_cap() {
    let cap = ShiftCap {
        bytes_per_s: 100_000,
        in_flight: 6,
        growth_per_s: 10,
    };
    let ms = Duration::from_millis;
    let mut shift = ShiftLimiter::new(ms(0), cap);
    let admitted = (0..2000).filter(|&at| shift.admit(ms(at), Freshness::Fresh).is_ok());
    assert_eq!(admitted.count(), 6);
    assert_eq!(
        shift.admit(ms(2000), Freshness::Fresh),
        Err(ShiftRefusal::InFlight)
    );
    let until: Vec<_> = (0..100)
        .map(|_| ms(2000) + shift.book_bytes(ms(2000), 5000))
        .collect();
    for from in &until {
        let within = until
            .iter()
            .filter(|&at| at >= from && *at < *from + ms(1000));
        assert!(within.count() <= 20);
    }
    let last = until.last().unwrap();
    assert!(*last < ms(2000) + ms(5500), "{last:?}");
    shift.release(ms(2000));
    assert_eq!(
        shift.admit(ms(2000), Freshness::Fresh),
        Err(ShiftRefusal::Bytes)
    );
}

/// Guards against shifting all work at once to a region whose caches are cold for it. It occurs if
/// the shift grows on old information while requests keep arriving.
#[test]
fn shift_does_not_grow_on_old_information() {
    let cap = ShiftCap {
        bytes_per_s: 1,
        in_flight: 40,
        growth_per_s: 10,
    };
    let mut shift = ShiftLimiter::new(Duration::ZERO, cap);
    assert_eq!(shift.admit(Duration::ZERO, Freshness::Fresh), Ok(()));
    for second in 1..60 {
        let admitted = shift.admit(Duration::from_secs(second), Freshness::Old);
        assert_eq!(admitted, Err(ShiftRefusal::Growth));
    }
    assert_eq!(
        shift.admit(Duration::from_secs(61), Freshness::Fresh),
        Ok(())
    );
}
