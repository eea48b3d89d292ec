//! How much of one service arrives here, is carried here, and goes to other regions.

use crate::{
    process::pool::{
        CountTotals,
        Pool, //
    },
    version::Flow,
};
use base::{
    Now,
    RegionId, //
};
use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};
use steer::{
    smooth_latency,
    Allowance,
    Capacity,
    Demand, //
};

/// Time without a whole answer after which one request is to show what the region is like.
const SAMPLE_GAP: Duration = Duration::from_secs(1);
/// Ticks that the shift to another region is remembered.
const HISTORY: usize = 50;

/// What came in the last tick.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ticked {
    /// Requests that asked for a slot or were sent elsewhere.
    pub(super) offered: u32,
    /// Those that waited for a slot or were refused one.
    pub(super) unserved: u32,
}

/// Flows of one service at this entry.
#[derive(Debug)]
pub(super) struct Flows {
    totals: CountTotals,
    ticked_at: Now,
    service: Duration,
    /// Latency that the next request may expect of an upstream here.
    expected: Duration,
    completed_at: Now,
    gap: Duration,
    /// Work of this region's callers.
    pub(super) arriving: Demand,
    /// Slots that the queue here would keep busy for a second, in thousandths.
    ///
    /// It counts as demand when work is spilled: an entry that has got a queue, by chance or by the
    /// slots that it lacks, would else only keep up with what arrives and never shorten it.
    pub(super) backlog_milli_slots: u64,
    /// Work for this region's upstreams.
    pub(super) carrying: Demand,
    /// Slots open to this entry, and those in use.
    pub(super) capacity: Capacity,
    /// Work that goes to other regions.
    pub(super) away: BTreeMap<RegionId, Away>,
}

/// Work that goes to one other region.
#[derive(Debug)]
pub(super) struct Away {
    pub(super) flow: Arc<Flow>,
    total: u64,
    shifting: Demand,
    pub(super) allowance: Allowance,
    /// Work that went there lately, in thousandths of a slot, oldest first.
    history: VecDeque<(Now, u64)>,
}

impl Away {
    fn new(now: Now) -> Self {
        Self {
            flow: Arc::default(),
            total: 0,
            shifting: Demand::new(now),
            allowance: Allowance::default(),
            history: VecDeque::new(),
        }
    }
}

impl Away {
    fn remember(&mut self, now: Now) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.shifting.milli_slots()));
    }

    /// Work that went there at a moment of the last seconds, in thousandths of a slot.
    pub(super) fn shifting_at(&self, at: Now) -> u64 {
        let before = self.history.partition_point(|&(then, _)| then <= at);
        let known = self.history.get(before.saturating_sub(1));
        known.map_or(0, |&(_, milli_slots)| milli_slots)
    }
}

impl Flows {
    pub(super) fn new(now: Now) -> Self {
        Self {
            totals: CountTotals::default(),
            ticked_at: now,
            service: Duration::ZERO,
            expected: Duration::ZERO,
            completed_at: now,
            gap: Duration::ZERO,
            arriving: Demand::new(now),
            backlog_milli_slots: 0,
            carrying: Demand::new(now),
            capacity: Capacity::default(),
            away: BTreeMap::new(),
        }
    }

    /// Takes in what traffic threads counted since the last tick, and tells them the pace.
    pub(super) fn tick(&mut self, pool: &Pool, now: Now) -> Ticked {
        let totals = pool.counts.totals();
        let counts = totals.since(&self.totals);
        self.totals = totals;
        let elapsed = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        let completed = count(counts.completed);
        if let Some(mean) = Duration::from_micros(counts.held_us).checked_div(completed) {
            self.service = smooth_latency(self.service, mean);
        }
        self.ask_for_sample(pool, completed > 0, now);
        self.gap = if pool.waiting() == 0 {
            Duration::ZERO
        } else {
            let gap = elapsed.checked_div(completed).unwrap_or(elapsed);
            smooth_latency(self.gap, gap)
        };
        pool.set_pace(self.service, self.gap);
        self.arriving.tick(now, count(counts.arrived), self.service);
        self.carrying.tick(now, count(counts.carried), self.service);
        let service_ms = u64::try_from(self.service.as_millis()).unwrap_or(u64::MAX);
        self.backlog_milli_slots = u64::from(pool.waiting()).saturating_mul(service_ms);
        pool.set_usual(self.carrying.milli_slots());
        for away in self.away.values_mut() {
            let total = away.flow.total();
            let sent = count(total - away.total);
            away.total = total;
            away.shifting.tick(now, sent, self.service);
            away.remember(now);
        }
        Ticked {
            offered: count(counts.arrived.max(counts.carried)),
            unserved: count(counts.unserved),
        }
    }

    /// Lets a request stay here now and then, whatever is expected of the region.
    ///
    /// Work goes to another region while this one is expected to be slower, and what is expected
    /// here comes from the answers given here. Without any, a slow moment would hold for ever: one
    /// would notice a region whose upstreams idle long after they have recovered.
    fn ask_for_sample(&mut self, pool: &Pool, any_completed: bool, now: Now) {
        if any_completed {
            self.completed_at = now;
        } else if now.saturating_sub(self.completed_at) >= SAMPLE_GAP {
            self.completed_at = now;
            pool.set_sample_due();
        }
    }

    /// Takes the typical latency of the upstreams that take work.
    ///
    /// The mean of all answers would hold it against the region that one of its upstreams is slow,
    /// which the choice of the upstream avoids.
    pub(super) fn expect(&mut self, pool: &Pool, typical: Option<Duration>) {
        self.expected = typical.unwrap_or(self.service);
        pool.set_expected(self.expected);
    }

    /// Latency that the next request may expect of an upstream here.
    pub(super) fn expected(&self) -> Duration {
        self.expected
    }

    /// Counts the slots that are open, once the limits are set.
    pub(super) fn count_open(&mut self, pool: &Pool, now: Now) {
        let right = pool.lease.right(now);
        let upstreams = pool.upstreams();
        let views = upstreams.iter().map(|upstream| upstream.view(right, now));
        let views: Vec<steer::UpstreamView> = views.collect();
        self.capacity = Capacity::of(&views);
    }

    /// Work that goes to `region`.
    pub(super) fn away(&mut self, region: &RegionId, now: Now) -> &mut Away {
        self.away
            .entry(region.clone())
            .or_insert_with(|| Away::new(now))
    }
}

fn count(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
