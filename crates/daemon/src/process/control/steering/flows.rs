//! Demand of one service that arrives here, is served here, and goes to other regions.

use crate::{
    process::pool::{
        Pool, //
        PoolTotals,
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

/// Time without a completed response after which one request is kept in this region to sample its
/// latency.
const SAMPLE_GAP: Duration = Duration::from_secs(1);
/// Number of ticks for which the shift to another region is recorded.
const HISTORY_TICKS: usize = 50;

/// Requests counted during the last tick.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TickCounts {
    /// Requests that needed a slot or were sent to another region.
    pub(super) offered: u32,
    /// Requests that waited for a slot or were refused one.
    pub(super) unserved: u32,
}

/// Demand of one service at this entry.
#[derive(Debug)]
pub(super) struct Flows {
    totals: PoolTotals,
    ticked_at: Now,
    service_time: Duration,
    /// Expected latency of the next request at an upstream of this region.
    expected: Duration,
    last_completed_at: Now,
    completion_gap: Duration,
    /// Demand of this region's callers.
    pub(super) arriving: Demand,
    /// Slots that the local queue would occupy for one second, in thousandths.
    ///
    /// Spilling counts this as demand. Otherwise an entry with a queue, by chance or for lack of
    /// slots, would only keep up with arrivals and never shorten its queue.
    pub(super) backlog_milli_slots: u64,
    /// Demand on this region's upstreams.
    pub(super) carrying: Demand,
    /// Slots available to this entry, and those in use.
    pub(super) capacity: Capacity,
    /// Demand sent to each other region.
    pub(super) outflows: BTreeMap<RegionId, Outflow>,
}

/// Demand sent to one other region.
#[derive(Debug)]
pub(super) struct Outflow {
    pub(super) flow: Arc<Flow>,
    total: u64,
    shifting: Demand,
    pub(super) allowance: Allowance,
    /// Recently shifted demand in thousandths of a slot, oldest first.
    history: VecDeque<(Now, u64)>,
}

impl Outflow {
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

impl Outflow {
    fn record_history(&mut self, now: Now) {
        if self.history.len() == HISTORY_TICKS {
            self.history.pop_front();
        }
        self.history.push_back((now, self.shifting.milli_slots()));
    }

    /// Shifted demand as of `at`, a moment within the history, in thousandths of a slot.
    pub(super) fn shifting_at(&self, at: Now) -> u64 {
        let before = self.history.partition_point(|&(then, _)| then <= at);
        let known = self.history.get(before.saturating_sub(1));
        known.map_or(0, |&(_, milli_slots)| milli_slots)
    }
}

impl Flows {
    pub(super) fn new(now: Now) -> Self {
        Self {
            totals: PoolTotals::default(),
            ticked_at: now,
            service_time: Duration::ZERO,
            expected: Duration::ZERO,
            last_completed_at: now,
            completion_gap: Duration::ZERO,
            arriving: Demand::new(now),
            backlog_milli_slots: 0,
            carrying: Demand::new(now),
            capacity: Capacity::default(),
            outflows: BTreeMap::new(),
        }
    }

    /// Processes the counts of traffic threads since the last tick, and publishes the pace to them.
    pub(super) fn tick(&mut self, pool: &Pool, now: Now) -> TickCounts {
        let totals = pool.counts.totals();
        let counts = totals.since(&self.totals);
        self.totals = totals;
        let elapsed = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        let completed = saturating_u32(counts.completed);
        if let Some(mean) = Duration::from_micros(counts.held_us).checked_div(completed) {
            self.service_time = smooth_latency(self.service_time, mean);
        }
        self.request_sample(pool, completed > 0, now);
        self.completion_gap = if pool.waiting() == 0 {
            Duration::ZERO
        } else {
            let completion_gap = elapsed.checked_div(completed).unwrap_or(elapsed);
            smooth_latency(self.completion_gap, completion_gap)
        };
        pool.set_service_times(self.service_time, self.completion_gap);
        self.arriving
            .tick(now, saturating_u32(counts.arrived), self.service_time);
        self.carrying
            .tick(now, saturating_u32(counts.carried), self.service_time);
        let service_ms = u64::try_from(self.service_time.as_millis()).unwrap_or(u64::MAX);
        self.backlog_milli_slots = u64::from(pool.waiting()).saturating_mul(service_ms);
        pool.set_smoothed_demand(self.carrying.milli_slots());
        for outflow in self.outflows.values_mut() {
            let total = outflow.flow.total();
            let sent = saturating_u32(total - outflow.total);
            outflow.total = total;
            outflow.shifting.tick(now, sent, self.service_time);
            outflow.record_history(now);
        }
        TickCounts {
            offered: saturating_u32(counts.arrived.max(counts.carried)),
            unserved: saturating_u32(counts.unserved),
        }
    }

    /// Keeps one request in this region from time to time, whatever the expected latency.
    ///
    /// Work is sent to another region while this one is expected to be slower, and the expectation
    /// comes from responses in this region. Without any responses a transient slowdown would
    /// persist: a region would stay unused long after its upstreams recovered.
    fn request_sample(&mut self, pool: &Pool, any_completed: bool, now: Now) {
        if any_completed {
            self.last_completed_at = now;
        } else if now.saturating_sub(self.last_completed_at) >= SAMPLE_GAP {
            self.last_completed_at = now;
            pool.set_sample_due();
        }
    }

    /// Sets the expected latency to the median of upstreams that accept work.
    ///
    /// The mean over all responses would let one slow upstream, which upstream selection avoids,
    /// count against the whole region.
    pub(super) fn set_expected(&mut self, pool: &Pool, typical: Option<Duration>) {
        self.expected = typical.unwrap_or(self.service_time);
        pool.set_expected_latency(self.expected);
    }

    /// Expected latency of the next request at an upstream of this region.
    pub(super) fn expected(&self) -> Duration {
        self.expected
    }

    /// Counts the open slots, after the limits are set.
    pub(super) fn count_open(&mut self, pool: &Pool, now: Now) {
        let right = pool.lease.entitlement(now);
        let upstreams = pool.upstreams();
        let views = upstreams.iter().map(|upstream| upstream.view(right, now));
        let views: Vec<steer::UpstreamView> = views.collect();
        self.capacity = Capacity::of(&views);
    }

    /// Demand sent to `region`.
    pub(super) fn outflow(&mut self, region: &RegionId, now: Now) -> &mut Outflow {
        self.outflows
            .entry(region.clone())
            .or_insert_with(|| Outflow::new(now))
    }
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
