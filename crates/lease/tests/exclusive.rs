//! Tests that at most one entry holds a lease, even if calls to the store are lost or delayed.

use base::{
    Now,
    UpstreamId, //
};
use lease::{
    Claim,
    Guards,
    Leases,
    RowState,
    Terms,
    Wanted, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

const TERMS: Terms = Terms {
    length: Duration::from_millis(4000),
    gap: Duration::from_millis(1500),
    claim_stagger: Duration::from_millis(400),
    retry_delay: Duration::from_millis(1000),
};
const ENTRIES: usize = 4;
const SUBJECT: UpstreamId = UpstreamId::from_static("u-1");

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn wanted(order: u32) -> [Wanted; 1] {
    [Wanted {
        subject: SUBJECT,
        order,
    }]
}

/// Rows of the simulated store.
#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<UpstreamId, u64>,
}

impl Rows {
    /// Writes all claims or none. Returns the new version, or the current state of the rows.
    fn write(&mut self, claims: &[Claim], guards: &Guards) -> Result<u64, Vec<RowState>> {
        let current = |claim: &Claim| self.rows.get(&claim.subject).copied();
        let unchanged = claims
            .iter()
            .all(|claim| current(claim) == claim.expected_version);
        if !unchanged && guards.conditional_write {
            let rows = claims.iter().map(|claim| RowState {
                subject: claim.subject.clone(),
                version: current(claim),
            });
            return Err(rows.collect());
        }
        self.version += 1;
        for claim in claims {
            self.rows.insert(claim.subject.clone(), self.version);
        }
        Ok(self.version)
    }
}

/// Pending call to the store, with the times at which it takes effect and at which its answer arrives, if any.
struct Call {
    entry: usize,
    claims: Vec<Claim>,
    requested_at: Now,
    effect_at: Now,
    answer_at: Option<Now>,
    result: Option<Result<u64, Vec<RowState>>>,
}

/// Simulates entries that all claim the same lease, each as if no other preceded it. `steps` determine the delay of
/// calls, which answers are lost and which processes restart. Returns the periods in which each entry considers the
/// lease its own, as entry, start and end.
fn simulate(steps: &[(u8, u8, bool)], guards: Guards) -> Vec<(usize, Now, Now)> {
    let mut entries: Vec<Leases> = (0..ENTRIES)
        .map(|_| Leases::with_guards(TERMS, guards))
        .collect();
    let mut rows = Rows::default();
    let mut calls: Vec<Call> = Vec::new();
    let mut held: Vec<(usize, Now, Now)> = Vec::new();
    let mut now = ms(1);
    for &(selector, delay, lost) in steps {
        now += ms(150);
        let entry = usize::from(selector) % ENTRIES;
        if selector > 250 {
            // A new process does not know what the previous one held, whose calls may still take effect.
            entries[entry] = Leases::with_guards(TERMS, guards);
            for call in calls.iter_mut().filter(|call| call.entry == entry) {
                call.answer_at = None;
            }
        }
        entries[entry].set_wanted(wanted(0), now);
        let claims = entries[entry].take_due(9, now);
        if !claims.is_empty() {
            // Some answers take seconds, and some calls take effect seconds after the entry stopped waiting for their
            // answer.
            let effect_at = now + ms(u64::from(delay) * 8);
            let answer_at = (!lost).then_some(effect_at + ms(u64::from(delay % 64) * 12));
            calls.push(Call {
                entry,
                claims,
                requested_at: now,
                effect_at,
                answer_at,
                result: None,
            });
        }
        calls.sort_by_key(|call| call.effect_at);
        for call in calls.iter_mut().filter(|call| call.effect_at <= now) {
            let write = || rows.write(&call.claims, &guards);
            call.result.get_or_insert_with(write);
        }
        for call in &calls {
            let (Some(at), Some(result)) = (call.answer_at, &call.result) else {
                continue;
            };
            // An entry waits for an answer for a second.
            if at > now || at > call.requested_at + TERMS.retry_delay {
                continue;
            }
            let leases = &mut entries[call.entry];
            match result {
                Ok(version) => leases.granted(&call.claims, *version, call.requested_at, now),
                Err(rows) => leases.refused(rows, now),
            }
        }
        calls.retain(|call| {
            let answered = call.answer_at.is_none_or(|at| at <= now);
            call.result.is_none() || !answered
        });
        for (entry, leases) in entries.iter().enumerate() {
            if let Some(until) = leases.held_until(&SUBJECT, now) {
                match held.last_mut() {
                    Some(last) if last.0 == entry => last.2 = last.2.max(until),
                    _ => held.push((entry, now, until)),
                }
            }
        }
    }
    held
}

/// Returns whether an entry held the lease less than the gap after another.
fn overlaps(held: &[(usize, Now, Now)]) -> bool {
    held.windows(2)
        .any(|pair| pair[0].0 != pair[1].0 && pair[1].1 < pair[0].2 + TERMS.gap)
}

/// Guards against two entries sending to a cold upstream at its full rate. This happens if answers of the store are
/// lost or delayed, writes take effect after their entry stopped waiting or processes restart, and a lease counts from
/// the answer, the next holder does not wait, or writes are unconditional.
#[test]
fn one_entry_holds_a_lease_at_a_time() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|steps| {
            let held = simulate(steps, Guards::default());
            assert!(!overlaps(&held), "{held:?}");
        });
}

/// Returns pseudorandom steps.
fn steps(seed: u64) -> Vec<(u8, u8, bool)> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()
    };
    let steps = (0..800).map(|_| {
        let bytes = next();
        // Some steps restart a process.
        let selector = if bytes[1] < 5 {
            251 + bytes[0] % 4
        } else {
            bytes[0] % 250
        };
        (selector, bytes[2] % 64, bytes[3] < 30)
    });
    steps.collect()
}

/// Each case disables one guard. The simulation must then find two holders at once.
macro_rules! without_guard {
    ($($name:ident: $guards:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let found = (0..400).any(|seed| overlaps(&simulate(&steps(seed), $guards)));
                assert!(found, "no overlap found");
            }
        )*
    };
}

without_guard! {
    start_at_answer_is_detected: Guards { start_at_request: false, ..Guards::default() };
    missing_gap_is_detected: Guards { gap: false, ..Guards::default() };
    unconditional_write_is_detected: Guards { conditional_write: false, ..Guards::default() };
}

/// Guards against a simulation in which leases are not held or do not pass from one entry to another.
#[test]
fn leases_pass_between_entries() {
    for seed in 0..50 {
        let held = simulate(&steps(seed), Guards::default());
        assert!(!overlaps(&held), "seed {seed}: {held:?}");
        assert!(!held.is_empty(), "seed {seed}");
    }
    let holders = |seed| simulate(&steps(seed), Guards::default()).len();
    let all: usize = (0..50).map(holders).sum();
    assert!(all > 75, "{all}");
}

/// An entry claims later the more entries precede it, and does not claim while another entry states that it holds the
/// lease.
#[test]
fn claims_are_staggered() {
    let mut leases = Leases::new(TERMS);
    leases.set_wanted(wanted(2), ms(1000));
    assert!(leases.take_due(9, ms(1700)).is_empty());
    let mut without_holder = leases.clone();
    assert_eq!(without_holder.take_due(9, ms(1800)).len(), 1);
    leases.note_held_elsewhere(&[SUBJECT], ms(1750));
    assert!(leases.take_due(9, ms(1800)).is_empty());
    assert!(leases.take_due(9, ms(7000)).is_empty());
    assert_eq!(leases.take_due(9, ms(7250)).len(), 1);
}

/// A lease is renewed while it is wanted, and expires once it is not.
#[test]
fn a_lease_is_renewed_while_it_is_wanted() {
    let mut leases = Leases::new(TERMS);
    leases.set_wanted(wanted(0), ms(1000));
    let claims = leases.take_due(9, ms(1000));
    assert_eq!(claims[0].expected_version, None);
    leases.granted(&claims, 7, ms(1000), ms(1100));
    assert_eq!(leases.held_until(&SUBJECT, ms(1100)), Some(ms(5000)));
    assert!(leases.take_due(9, ms(2900)).is_empty());
    let claims = leases.take_due(9, ms(3000));
    assert_eq!(claims[0].expected_version, Some(7));
    leases.granted(&claims, 8, ms(3000), ms(3050));
    leases.set_wanted([], ms(5500));
    assert!(leases.take_due(9, ms(6900)).is_empty());
    assert_eq!(leases.held_until(&SUBJECT, ms(6999)), Some(ms(7000)));
    assert_eq!(leases.held_until(&SUBJECT, ms(7000)), None);
}

/// A refused renewal ends the lease, because another entry may hold it.
#[test]
fn a_refused_renewal_ends_the_lease() {
    let mut leases = Leases::new(TERMS);
    leases.set_wanted(wanted(0), ms(0));
    let claims = leases.take_due(9, ms(0));
    leases.granted(&claims, 7, ms(0), ms(10));
    leases.take_due(9, ms(2000));
    let row = RowState {
        subject: SUBJECT,
        version: Some(9),
    };
    leases.refused(&[row], ms(2010));
    assert_eq!(leases.held_until(&SUBJECT, ms(2010)), None);
    assert!(leases.take_due(9, ms(7000)).is_empty());
    assert_eq!(leases.take_due(9, ms(7510))[0].expected_version, Some(9));
}
