//! Properties that hold for any order of events.

mod support;

use admit::{
    Candidate,
    OfferResult, //
    Pushed,
    Queue,
};
use base::Now;
use bolero::{
    check,
    TypeGenerator, //
};
use std::time::Duration;
use support::{
    ms,
    rank,
    Service, //
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Wait(u8),
    Arrive { rank: u8, organisation: u8 },
    Leave,
}

/// No slot is idle while a request waits, and every request ends exactly once. Both are checked by [`Service`].
#[test]
fn no_idle_slot_and_one_end() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut service = Service::new(3, ms(60), ms(150));
        let mut left = 0;
        for step in steps {
            match *step {
                Step::Wait(time_ms) => service.wait(ms(time_ms.into())),
                Step::Arrive {
                    rank: route,
                    organisation,
                } => {
                    let names = ["a", "b", "c"];
                    let name = names.get(usize::from(organisation % 4)).copied();
                    service.arrive(rank(u32::from(route % 3)), name);
                }
                Step::Leave => left += usize::from(service.leave()),
            }
        }
        service.wait(ms(200));
        assert!(service.queue.is_empty());
        let ended = service.requests.iter();
        let ended = ended.filter(|one| one.granted.is_some() || one.rejected.is_some());
        assert_eq!(ended.count() + left, service.requests.len());
    });
}

/// Of every eleven grants while a request of a higher rank waits, at most one goes to each lower rank.
#[test]
fn lower_ranks_get_no_more_than_their_part() {
    check!().with_type::<Vec<u8>>().for_each(|arrivals| {
        let mut service = Service::new(1, ms(5), ms(200));
        let mut lower_run = 0;
        let mut higher_run = 10;
        for arrival in arrivals {
            service.arrive(rank(u32::from(arrival % 2)), None);
            let higher_waits = service.waiting_ranks().contains(&rank(0));
            let granted_before = service.granted_of(|_| true).0;
            let lower_before = service.granted_of(|one| one.rank == rank(1)).0;
            service.wait(ms(5));
            let granted = service.granted_of(|_| true).0 - granted_before;
            let lower = service.granted_of(|one| one.rank == rank(1)).0 - lower_before;
            if !higher_waits || granted == 0 {
                continue;
            }
            if lower == 0 {
                higher_run += 1;
                lower_run = 0;
            } else {
                lower_run += 1;
                assert!(lower_run <= 1, "two grants of the lower rank in turn");
                assert!(higher_run >= 1, "no grant of the higher rank between");
                higher_run = 0;
            }
        }
    });
}

/// Each rank and organisation whose requests keep waiting gets a grant within a bounded number of grants.
#[test]
fn nobody_starves() {
    check!().with_type::<(u8, u8)>().for_each(|(ranks, names)| {
        let ranks = u32::from(ranks % 4) + 1;
        let names = &["a", "b", "c", "d"][..usize::from(names % 4) + 1];
        let mut service = Service::new(1, ms(10), ms(400));
        for round in 0..400 {
            for route in 0..ranks {
                let name = names[round % names.len()];
                service.arrive(rank(route), Some(name));
            }
            service.wait(ms(10));
        }
        let grants = service.granted_of(|_| true).0;
        for route in 0..ranks {
            let of_rank = service.granted_of(|one| one.rank == rank(route)).0;
            assert!(
                of_rank * 20 >= grants,
                "rank {route}: {of_rank} of {grants}"
            );
        }
        for name in names {
            let of_name = service.granted_of(|one| one.organisation.as_deref() == Some(*name));
            assert!(of_name.0 * 20 >= grants, "{name}: {of_name:?} of {grants}");
        }
    });
}

/// A pass offers each request once, also if those before it can't be sent.
#[test]
fn pass_offers_each_request_once() {
    check!().with_type::<Vec<u8>>().for_each(|ranks| {
        let ranks = &ranks[..ranks.len().min(16)];
        let mut queue = Queue::new(16);
        for route in ranks {
            let candidate = Candidate {
                rank: rank((*route).into()),
                organisation: None,
                useful_until: ms(1000),
            };
            let pushed = queue.push(candidate, Now::ZERO);
            assert!(matches!(pushed, Pushed::Waits { .. }));
        }
        let mut offered = Vec::new();
        let rejected = queue.pass(Now::ZERO, |ticket, _| {
            offered.push(ticket);
            OfferResult::Waits {
                useful_until: ms(1000),
            }
        });
        assert!(rejected.is_empty());
        let ranks_offered = offered.iter().map(|ticket| ranks[*ticket as usize]);
        assert!(ranks_offered.is_sorted());
        offered.sort_unstable();
        offered.dedup();
        assert_eq!(offered.len(), ranks.len());
    });
}

/// The delay stated is bounded whatever the rate of grants.
#[test]
fn retry_after_is_bounded() {
    check!()
        .with_type::<(u64, u64, u16)>()
        .for_each(|(hash, at_least_ms, grants)| {
            let mut queue = Queue::new(8);
            for number in 0..*grants % 200 {
                queue.note_grant(rank(0), &None, ms(number.into()));
            }
            let at_least = Duration::from_millis(*at_least_ms);
            let delay = queue.retry_after(rank(0), at_least, *hash, ms(200));
            assert!((ms(50)..=ms(2000)).contains(&delay), "{delay:?}");
        });
}
