//! Headroom of each service in each region in each second, from the upstreams' records.
//!
//! Headroom is the share of the slots that are free. A run occupies its slot from its start to its
//! end, by the upstream's own record; a run that has not ended occupies it to the end of the
//! window.

use crate::{
    judge::Evidence,
    record::{
        UnixUs,
        UpstreamFacts, //
    },
    window::Window, //
};
use base::{
    RegionId,
    ServiceId, //
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt, //
};

/// Headroom of one service in one region.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Headroom {
    /// Slots of all upstreams.
    pub slots: u32,
    /// Target that the configuration sets, in percent of the slots.
    pub target_pct: Option<u8>,
    /// Minimum headroom, in percent.
    pub least_pct: f64,
    /// Mean headroom over the window, in percent.
    pub mean_pct: f64,
    /// Seconds whose mean is below the target.
    pub seconds_below: usize,
    /// Headroom in each second.
    pub seconds: Vec<SecondHeadroom>,
}

/// Headroom in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondHeadroom {
    /// Minimum, in percent.
    pub least_pct: f64,
    /// Mean, in percent.
    pub mean_pct: f64,
}

/// Slots in use in one second.
#[derive(Clone, Copy, Default)]
struct SlotsInUse {
    slot_us: u64,
    peak: u64,
}

/// A time and the change of the number of runs in flight at it.
type Edge = (UnixUs, i64);

/// Headroom of each pool, as `service/region`.
pub(crate) fn headroom(evidence: &Evidence, window: Window) -> BTreeMap<String, Headroom> {
    let mut slots: BTreeMap<(&ServiceId, &RegionId), u32> = BTreeMap::new();
    for facts in evidence.upstreams.values() {
        *slots.entry(pool(facts)).or_default() += facts.slots;
    }
    let mut edges = edges(evidence);
    slots
        .into_iter()
        .map(|(pool, slots)| {
            let edges = edges.remove(&pool).unwrap_or_default();
            let target_pct = evidence.limits.headroom_pct.get(pool.0).copied();
            let headroom = Headroom::new(slots, target_pct, &slots_in_use(edges, window), window);
            (format!("{}/{}", pool.0, pool.1), headroom)
        })
        .collect()
}

fn pool(facts: &UpstreamFacts) -> (&ServiceId, &RegionId) {
    (&facts.service, &facts.region)
}

/// Starts and ends of all runs, by pool.
fn edges(evidence: &Evidence) -> BTreeMap<(&ServiceId, &RegionId), Vec<Edge>> {
    let mut edges: BTreeMap<_, Vec<Edge>> = BTreeMap::new();
    for run in &evidence.runs {
        let facts = evidence.upstreams.get(&run.upstream);
        let (Some(facts), Some(started_us)) = (facts, run.started_us) else {
            continue;
        };
        let edges = edges.entry(pool(facts)).or_default();
        edges.push((started_us, 1));
        edges.push((run.ended_us.unwrap_or(UnixUs::MAX), -1));
    }
    edges
}

/// Slots in use in each second of the window.
fn slots_in_use(mut edges: Vec<Edge>, window: Window) -> Vec<SlotsInUse> {
    let mut seconds = vec![SlotsInUse::default(); window.seconds()];
    // Ends sort before starts of the same time.
    edges.sort_unstable();
    let mut in_flight: i64 = 0;
    let mut since_us = 0;
    for (at_us, step) in edges {
        let slots_in_use = u64::try_from(in_flight).unwrap_or(0);
        for (second, length_us) in window.split_by_second(since_us, at_us) {
            seconds[second].slot_us += slots_in_use * length_us;
            seconds[second].peak = seconds[second].peak.max(slots_in_use);
        }
        in_flight += step;
        since_us = at_us;
    }
    seconds
}

impl Headroom {
    fn new(
        slots: u32,
        target_pct: Option<u8>,
        slots_in_use: &[SlotsInUse],
        window: Window,
    ) -> Self {
        let mut headroom = Self {
            slots,
            target_pct,
            least_pct: 100.0,
            mean_pct: 100.0,
            ..Self::default()
        };
        let mut slot_us = 0;
        let mut length_us = 0;
        for (second, slots_in_use) in slots_in_use.iter().enumerate() {
            let second_headroom = SecondHeadroom {
                least_pct: free_pct(slots_in_use.peak as f64, slots),
                mean_pct: free_pct(
                    slots_in_use.slot_us as f64 / window.length_us(second) as f64,
                    slots,
                ),
            };
            headroom.seconds.push(second_headroom);
            headroom.least_pct = headroom.least_pct.min(second_headroom.least_pct);
            let is_below =
                target_pct.is_some_and(|target| second_headroom.mean_pct < f64::from(target));
            headroom.seconds_below += usize::from(is_below);
            slot_us += slots_in_use.slot_us;
            length_us += window.length_us(second);
        }
        if length_us > 0 {
            headroom.mean_pct = free_pct(slot_us as f64 / length_us as f64, slots);
        }
        headroom
    }
}

fn free_pct(slots_in_use: f64, slots: u32) -> f64 {
    if slots == 0 {
        return 0.0;
    }
    100.0 * (1.0 - slots_in_use / f64::from(slots)).max(0.0)
}

pub(crate) fn write(f: &mut fmt::Formatter<'_>, pools: &BTreeMap<String, Headroom>) -> fmt::Result {
    writeln!(
        f,
        "{:<24}{:>8}{:>8}{:>8}{:>8}{:>8}  mean of each second",
        "headroom %", "slots", "target", "least", "mean", "below"
    )?;
    for (pool, headroom) in pools {
        let target = headroom
            .target_pct
            .map_or("-".into(), |pct| pct.to_string());
        write!(
            f,
            "{pool:<24}{:>8}{target:>8}{:>8.0}{:>8.0}{:>8} ",
            headroom.slots, headroom.least_pct, headroom.mean_pct, headroom.seconds_below
        )?;
        for second in &headroom.seconds {
            write!(f, " {:.0}", second.mean_pct)?;
        }
        writeln!(f)?;
    }
    Ok(())
}
