//! Details of a run, printed on demand or when a guarantee was violated.

use crate::run::Outcome;
use load::CallerRecord;
use rig::Rig;
use std::collections::BTreeMap;

/// Number of slow requests that are printed.
const SLOWEST_PRINTED: usize = 10;
/// Number of violations that are printed.
const VIOLATIONS_PRINTED: usize = 3;

/// Prints the first violations other than queueing, which has a column in the table.
pub(crate) fn print_violations(outcome: &Outcome) {
    let violations = outcome.trial.report.violations.iter();
    let others =
        violations.filter(|violation| !matches!(violation.breach, load::Breach::Queued { .. }));
    for violation in others.take(VIOLATIONS_PRINTED) {
        println!("{violation}");
    }
}

/// Prints the slots of each pool that the entries of one region, or of all regions, hold.
pub(crate) fn print_shares(rig: &Rig, region: Option<&str>) {
    let daemons = rig.daemons.values();
    for daemon in daemons.filter(|daemon| region.is_none_or(|region| daemon.region == region)) {
        let response = rig.operator_request(&daemon.id, "/op/v1/shares", None);
        for pool in response.body["pools"].as_array().into_iter().flatten() {
            let sum = |field: &str| -> u64 {
                let resources = pool["resources"].as_array().into_iter().flatten();
                resources
                    .map(|resource| resource[field].as_u64().unwrap_or(0))
                    .sum()
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
pub(crate) fn print_slowest(callers: &[CallerRecord], class_region: &str) {
    let is_selected =
        |caller: &&CallerRecord| format!("{}/{}", caller.class, caller.region) == class_region;
    let mut slow: Vec<&CallerRecord> = callers.iter().filter(is_selected).collect();
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
        let instance = last
            .instance
            .as_ref()
            .map_or(String::new(), ToString::to_string);
        let entry = by_entry
            .entry((last.entry.to_string(), second, instance))
            .or_default();
        let duration_ms = (caller.finished_us - caller.scheduled_us) / 1_000;
        *entry = (entry.0 + 1, entry.1 + duration_ms, entry.2.max(duration_ms));
    }
    for ((entry, second, instance), (count, sum_ms, max_ms)) in by_entry {
        let mean_ms = sum_ms / count;
        println!(
            "  by {entry} ({instance}) in second {second}: {count}, mean {mean_ms} ms, most {max_ms} ms"
        );
    }
    for caller in slow.iter().take(SLOWEST_PRINTED) {
        let at_ms = (caller.scheduled_us - first_us) / 1_000;
        let duration_ms = (caller.finished_us - caller.scheduled_us) / 1_000;
        println!("  at {at_ms} ms took {duration_ms} ms: {:?}", caller.result);
        for attempt in &caller.tries {
            let duration_ms = (attempt.ended_us - attempt.sent_us) / 1_000;
            println!(
                "    {duration_ms} ms {:?} by {:?}",
                attempt.end, attempt.instance
            );
        }
    }
}
