//! Cost of quotas: time of one decision, and bytes that entries send each other.
//!
//! `cargo run --release -p org --example cost`

use base::{
    InstanceId,
    Now,
    OrganisationId, //
};
use org::{
    DemandSender,
    Exchange,
    Limiter,
    Quota,
    QuotaBounds, //
};
use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

/// Organisations; the request rate of each falls with its rank.
const ORGANISATIONS: usize = 86;
/// Requests per second and entry of all organisations combined.
const PER_ENTRY_S: f64 = 23.0;
/// Interval between two messages on a session.
const ROUND: Duration = Duration::from_millis(250);
/// Rounds that are counted, after as many that are not.
const ROUNDS: u32 = 80;
const DECISIONS: u32 = 1_000_000;

struct Entry {
    limiter: Limiter,
    exchange: Exchange,
    /// Senders to the hubs of all domains, or to the leaves.
    senders: Vec<DemandSender>,
    sent_bytes: u64,
}

fn name(index: usize) -> InstanceId {
    format!("entry-{index}").into()
}

fn organisations(entries: usize) -> Vec<(OrganisationId, Quota, f64)> {
    let weights: f64 = (1..=ORGANISATIONS).map(|rank| 1.0 / rank as f64).sum();
    let all = (1..=ORGANISATIONS).map(|rank| {
        let per_s = PER_ENTRY_S * entries as f64 / rank as f64 / weights;
        let quota = Quota {
            rate_per_s: per_s * 1.6,
            burst: per_s * 1.6,
        };
        (format!("org-{rank}").into(), quota, per_s)
    });
    all.collect()
}

/// Returns the next number of a pseudo-random sequence, from 0 to 1.
fn next(state: &mut u64) -> f64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 11) as f64 / (1_u64 << 53) as f64
}

/// Runs a fleet in which entry `d` is the hub of domain `d`, and prints what its entries send.
fn print_bytes(entries: usize, domains: usize) {
    let organisations = organisations(entries);
    let mut random = 88_172_645_463_325_252;
    let new_entry = |index: usize| {
        let mut limiter = Limiter::new(QuotaBounds::default(), index as u64);
        let quotas = organisations.iter().map(|(id, quota, _)| (id, *quota));
        limiter.set_quotas(quotas, Now::ZERO);
        let mut exchange = Exchange::default();
        exchange.set_entries(Some(entries));
        Entry {
            limiter,
            exchange,
            senders: vec![DemandSender::default(); entries],
            sent_bytes: 0,
        }
    };
    let mut all: Vec<Entry> = (0..entries).map(new_entry).collect();
    for round in 0..2 * ROUNDS {
        let now = ROUND * (round + 1);
        for entry in &mut all {
            for (id, _, per_s) in &organisations {
                let expected = per_s / entries as f64 * ROUND.as_secs_f64();
                if next(&mut random) < expected {
                    // The outcome doesn't matter here.
                    let _ = entry.limiter.try_take(id, now);
                }
            }
            let demands = entry.limiter.demands(now);
            entry.exchange.set_own(demands);
        }
        for from in 0..entries {
            let is_hub = from < domains;
            let to: Vec<usize> = if is_hub {
                let leaves = (from + domains..entries).step_by(domains);
                (0..domains)
                    .filter(|hub| *hub != from)
                    .chain(leaves)
                    .collect()
            } else {
                vec![from % domains]
            };
            for to in to {
                let Entry {
                    exchange, senders, ..
                } = &mut all[from];
                let sum = match (is_hub, to < domains) {
                    (false, _) => exchange.own_sum(),
                    (true, true) => exchange.domain_sum(),
                    (true, false) => exchange.fleet_sum(),
                };
                let Some(message) = senders[to].next(&sum) else {
                    continue;
                };
                if round >= ROUNDS {
                    all[from].sent_bytes += message.len_bytes() as u64;
                }
                let receiver = &mut all[to].exchange;
                match (is_hub, to < domains) {
                    (false, _) => receiver.on_leaf(&name(from), &message),
                    (true, true) => receiver.on_hub(&name(from), &message),
                    (true, false) => receiver.on_fleet(&message, now),
                }
            }
        }
        for (index, entry) in all.iter_mut().enumerate() {
            let parts = entry.exchange.parts(index < domains, now);
            entry.limiter.set_parts(parts, now);
        }
    }
    let seconds = ROUND.as_secs_f64() * f64::from(ROUNDS);
    let per_s = |entries: &[Entry]| {
        let sum: u64 = entries.iter().map(|entry| entry.sent_bytes).sum();
        sum as f64 / entries.len().max(1) as f64 / seconds
    };
    let (hubs, leaves) = all.split_at(domains);
    println!(
        "{entries} entries, {domains} domains: {:.0} B/s an entry, {:.0} a leaf, {:.0} a hub",
        per_s(&all),
        per_s(leaves),
        per_s(hubs)
    );
    let mut entry = all.pop().expect("there are entries");
    let started = Instant::now();
    let now = ROUND * (2 * ROUNDS + 1);
    for number in 0..DECISIONS {
        let (id, ..) = &organisations[number as usize % ORGANISATIONS];
        let _ = black_box(entry.limiter.try_take(black_box(id), now));
    }
    println!(
        "    {:.0} ns a decision",
        started.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS)
    );
}

fn main() {
    for (entries, domains) in [(12, 6), (88, 6), (295, 9), (530, 17)] {
        print_bytes(entries, domains);
    }
}
