//! Details of a run, on demand or when a promise was broken.

use crate::run::Outcome;
use load::CallerRecord;
use rig::Rig;
use std::collections::BTreeMap;

/// Requests that are printed on demand.
const SLOWEST: usize = 10;
/// Violations that are printed.
const VIOLATIONS: usize = 3;

/// Prints the first violations.
pub(crate) fn print_violations(outcome: &Outcome) {
    let violations = outcome.trial.report.violations.iter();
    let named = violations.filter(|it| !matches!(it.breach, load::Breach::Queued { .. }));
    for violation in named.take(VIOLATIONS) {
        println!("{violation}");
    }
}

/// Prints what entries hold of their pools: those of one region, or all.
pub(crate) fn print_shares(rig: &Rig, region: Option<&str>) {
    let daemons = rig.daemons.values();
    for daemon in daemons.filter(|it| region.is_none_or(|region| it.region == region)) {
        let reply = rig.operator(&daemon.id, "/op/v1/shares", None);
        for pool in reply.body["pools"].as_array().into_iter().flatten() {
            let sum = |field: &str| -> u64 {
                let resources = pool["resources"].as_array().into_iter().flatten();
                resources.map(|it| it[field].as_u64().unwrap_or(0)).sum()
            };
            println!(
                "  {} {}: epoch {} held {} usable {} used {}",
                daemon.id,
                pool["pool"],
                pool["epoch"],
                sum("held"),
                sum("usable"),
                sum("used")
            );
        }
    }
}

/// Prints the slowest requests of one class and region, as `class/region`, with their tries.
pub(crate) fn print_slowest(callers: &[CallerRecord], wanted: &str) {
    let is_wanted =
        |caller: &&CallerRecord| format!("{}/{}", caller.class, caller.region) == wanted;
    let mut slow: Vec<&CallerRecord> = callers.iter().filter(is_wanted).collect();
    let first_us = slow
        .iter()
        .map(|caller| caller.scheduled_us)
        .min()
        .unwrap_or(0);
    slow.sort_by_key(|caller| std::cmp::Reverse(caller.finished_us - caller.scheduled_us));
    let mut by_entry: BTreeMap<(String, u64, String), (u64, u64, u64)> = BTreeMap::new();
    for caller in &slow {
        let Some(last) = caller.tries.last() else {
            continue;
        };
        let second = (caller.scheduled_us - first_us) / 1_000_000;
        let by = last
            .instance
            .as_ref()
            .map_or(String::new(), ToString::to_string);
        let entry = by_entry
            .entry((last.entry.to_string(), second, by))
            .or_default();
        let took_ms = (caller.finished_us - caller.scheduled_us) / 1_000;
        *entry = (entry.0 + 1, entry.1 + took_ms, entry.2.max(took_ms));
    }
    for ((entry, second, by), (count, sum_ms, most_ms)) in by_entry {
        let mean_ms = sum_ms / count;
        println!(
            "  by {entry} ({by}) in second {second}: {count}, mean {mean_ms} ms, most {most_ms} ms"
        );
    }
    for caller in slow.iter().take(SLOWEST) {
        let at_ms = (caller.scheduled_us - first_us) / 1_000;
        let took_ms = (caller.finished_us - caller.scheduled_us) / 1_000;
        println!("  at {at_ms} ms took {took_ms} ms: {:?}", caller.told);
        for tried in &caller.tries {
            let took_ms = (tried.ended_us - tried.sent_us) / 1_000;
            println!("    {took_ms} ms {:?} by {:?}", tried.end, tried.instance);
        }
    }
}
