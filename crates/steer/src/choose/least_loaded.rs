//! Default policy: the upstream with the least load on the owned slots, weighted by latency.

use super::Choose;
use crate::{
    seed,
    view::UpstreamView, //
};
use base::Now;
use std::time::Duration;

/// Latencies below this are treated as equal, as their differences are noise.
const LATENCY_FLOOR: Duration = Duration::from_micros(200);

/// Ranking of the upstreams with a free slot.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// By the fraction of the owned slots in use.
    Load,
    /// By that fraction after this request, times the observed latency.
    #[default]
    LoadTimesLatency,
    /// By the observed latency.
    Latency,
}

/// Selects the upstream with the least load on the owned slots, weighted by observed latency.
///
/// Upstreams that are leaving or have no free slot within [`UpstreamView::limit`] are never returned. A
/// suspect or cold upstream is returned only for a probe that is due, while no request of this
/// entry is in flight there. Such a probe takes precedence: otherwise, as long as slots are free
/// elsewhere, a recovered upstream would never be probed. An upstream without recent information is
/// used only if there is no other.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeastLoaded {
    rank: Rank,
}

impl LeastLoaded {
    /// Creates a policy that ranks by `rank`.
    pub fn new(rank: Rank) -> Self {
        Self { rank }
    }

    /// Cost of sending one more request to the upstream; lower is better.
    fn cost(self, view: &UpstreamView, limit: u32) -> f64 {
        let load = f64::from(view.in_flight + 1) / f64::from(limit);
        let latency = view.latency.max(LATENCY_FLOOR).as_secs_f64();
        match self.rank {
            Rank::Load => load,
            Rank::LoadTimesLatency => load * latency,
            Rank::Latency => latency,
        }
    }
}

impl Choose for LeastLoaded {
    fn choose(&mut self, views: &[UpstreamView], _now: Now, seed: u64) -> Option<usize> {
        let start = seed::below(seed, views.len());
        let mut best: Option<(bool, f64, usize)> = None;
        // Starts at a random index: among equals, all entries would otherwise prefer the first.
        for index in (start..views.len()).chain(0..start) {
            let view = &views[index];
            let limit = view.limit();
            if view.leaving || view.in_flight >= limit {
                continue;
            }
            if view.probes_only() {
                if view.accepts_probe() {
                    return Some(index);
                }
                continue;
            }
            let cost = self.cost(view, limit);
            let is_better = match best {
                None => true,
                Some((stale, least, _)) => (!view.fresh, cost) < (stale, least),
            };
            if is_better {
                best = Some((!view.fresh, cost, index));
            }
        }
        let chosen = best.map(|(_, _, index)| index);
        debug_assert!(chosen.is_none_or(|i| views[i].in_flight < views[i].limit()));
        chosen
    }
}
