//! The policy that ships: the least loaded of the owned slots, weighted by latency seen.

use super::Choose;
use crate::{
    seed,
    view::View, //
};
use base::Now;
use std::time::Duration;

/// Latencies below this count as equal: their differences are noise of the machine.
const LATENCY_FLOOR: Duration = Duration::from_micros(200);

/// How upstreams with a free slot are ranked; the variants that were measured.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// By the share of the owned slots in use alone.
    Load,
    /// By that share after this request, times the latency seen.
    #[default]
    LoadTimesLatency,
    /// By the latency seen alone.
    Latency,
}

/// Least loaded of the slots owned, weighted by latency seen.
///
/// Upstreams that are leaving or have no free slot within [`View::limit`] are never returned.
/// A suspect or cold one is returned only for a probe that is due, with nothing of this entry in
/// flight there; such a probe goes before the rest, or no free slot elsewhere would ever let a
/// recovered upstream prove itself. One of which nothing fresh is known is used when no other
/// will do.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ours {
    rank: Rank,
}

impl Ours {
    /// Policy that ranks by `rank`.
    pub fn new(rank: Rank) -> Self {
        Self { rank }
    }

    /// Cost of sending one more request there; lower is better.
    fn cost(self, view: &View, limit: u32) -> f64 {
        let load = f64::from(view.in_flight + 1) / f64::from(limit);
        let latency = view.latency.max(LATENCY_FLOOR).as_secs_f64();
        match self.rank {
            Rank::Load => load,
            Rank::LoadTimesLatency => load * latency,
            Rank::Latency => latency,
        }
    }
}

impl Choose for Ours {
    fn choose(&mut self, views: &[View], _now: Now, seed: u64) -> Option<usize> {
        let start = seed::below(seed, views.len());
        let mut best: Option<(bool, f64, usize)> = None;
        // Starts at a random place: among equals, entries would else all prefer the first.
        for index in (start..views.len()).chain(0..start) {
            let view = &views[index];
            let limit = view.limit();
            if view.leaving || view.in_flight >= limit {
                continue;
            }
            if view.probes_only() {
                if view.takes_probe() {
                    return Some(index);
                }
                continue;
            }
            let cost = self.cost(view, limit);
            let better = match best {
                None => true,
                Some((stale, least, _)) => (!view.fresh, cost) < (stale, least),
            };
            if better {
                best = Some((!view.fresh, cost, index));
            }
        }
        let chosen = best.map(|(_, _, index)| index);
        debug_assert!(chosen.is_none_or(|i| views[i].in_flight < views[i].limit()));
        chosen
    }
}
