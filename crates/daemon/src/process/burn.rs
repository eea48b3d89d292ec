//! Counts for the service-level burn report: good and bad requests of each class over time.
//!
//! A request is good when it was answered whole within its class's latency target. Counts are
//! kept in a ring of buckets of ten seconds, an hour long, so that `jasmine-report` can merge
//! windows over all daemons. Nothing survives the process: a replaced instance's past is gone,
//! and the report says from when each instance counts.
//!
//! Traffic threads count, control reads; both touch atomics only.

use base::{
    ClassId,
    FastMap,
    Now, //
};
use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Length of one bucket.
pub(crate) const BUCKET: Duration = Duration::from_secs(10);
/// Buckets of the ring: one hour.
const BUCKETS: usize = 360;

/// Counts of one class.
pub(crate) struct ClassBurn {
    started: Instant,
    target_us: AtomicU64,
    ring: Vec<Cell>,
    latencies: Latencies,
}

impl ClassBurn {
    fn new(started: Instant) -> Self {
        Self {
            started,
            target_us: AtomicU64::new(u64::MAX),
            ring: (0..BUCKETS).map(|_| Cell::default()).collect(),
            latencies: Latencies::default(),
        }
    }

    /// Sets the class's latency target.
    pub(crate) fn set_target(&self, target: Duration) {
        self.target_us.store(micros(target), Ordering::Relaxed);
    }

    /// Counts one request; `whole` says that an upstream's whole answer was passed on.
    pub(crate) fn note(&self, whole: bool, latency: Duration) {
        let latency_us = micros(latency);
        let is_good = whole && latency_us <= self.target_us.load(Ordering::Relaxed);
        let index = self.started.elapsed().as_secs() / BUCKET.as_secs();
        let slot = usize::try_from(index).unwrap_or(0) % BUCKETS;
        self.ring[slot].count(index, is_good);
        if whole {
            self.latencies.count(latency_us);
        }
    }

    /// Buckets of the last hour that are not empty, oldest first.
    pub(crate) fn buckets(&self) -> Vec<op::Bucket> {
        let now = self.started.elapsed().as_secs() / BUCKET.as_secs();
        let is_recent = |bucket: &op::Bucket| {
            let oldest = (now + 1).saturating_sub(BUCKETS as u64);
            bucket.good + bucket.bad > 0 && bucket.index >= oldest
        };
        let mut buckets: Vec<op::Bucket> =
            self.ring.iter().map(Cell::get).filter(is_recent).collect();
        buckets.sort_by_key(|bucket| bucket.index);
        buckets
    }

    /// Latencies of whole answers since the start, in microseconds, each with its number.
    pub(crate) fn latencies_us(&self) -> Vec<(u64, u64)> {
        self.latencies.counts_us()
    }
}

/// One bucket in one word: 24 bits of index, 20 bits each of good and bad requests.
///
/// With the index apart from the counts, a thread that begins a new bucket would wipe what another
/// has counted into it in between. The counts stop at a million, 100,000 requests a second.
#[derive(Default)]
struct Cell(AtomicU64);

/// Bits of a count.
const COUNT_BITS: u32 = 20;
/// Largest count.
const COUNT_MAX: u64 = (1 << COUNT_BITS) - 1;

impl Cell {
    fn count(&self, index: u64, is_good: bool) {
        let counted = |word: u64| {
            let mut bucket = unpack(word);
            if bucket.index != index {
                bucket = op::Bucket {
                    index,
                    ..op::Bucket::default()
                };
            }
            if is_good {
                bucket.good += 1;
            } else {
                bucket.bad += 1;
            }
            Some(pack(bucket))
        };
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, counted)
            .expect("a count is always taken");
    }

    fn get(&self) -> op::Bucket {
        unpack(self.0.load(Ordering::Relaxed))
    }
}

fn pack(bucket: op::Bucket) -> u64 {
    let good = bucket.good.min(COUNT_MAX);
    let bad = bucket.bad.min(COUNT_MAX);
    bucket.index << (2 * COUNT_BITS) | good << COUNT_BITS | bad
}

fn unpack(word: u64) -> op::Bucket {
    op::Bucket {
        index: word >> (2 * COUNT_BITS),
        good: word >> COUNT_BITS & COUNT_MAX,
        bad: word & COUNT_MAX,
    }
}

/// Equal steps that each doubling of latency is divided into, as a power of two.
const STEP_BITS: u32 = 6;
/// Doublings above the first steps: up to 1,073 seconds.
const DOUBLINGS: u32 = 24;
/// Number of counters.
const STEPS: usize = ((DOUBLINGS + 1) << STEP_BITS) as usize;

/// Histogram of latencies, to about one percent: equal steps within each doubling.
///
/// The layout is the one that HDR histograms have; the report reads the counts into one.
struct Latencies(Box<[AtomicU64]>);

impl Default for Latencies {
    fn default() -> Self {
        Self((0..STEPS).map(|_| AtomicU64::new(0)).collect())
    }
}

impl Latencies {
    fn count(&self, latency_us: u64) {
        self.0[step_of(latency_us)].fetch_add(1, Ordering::Relaxed);
    }

    fn counts_us(&self) -> Vec<(u64, u64)> {
        let counts = self.0.iter().map(|count| count.load(Ordering::Relaxed));
        counts
            .enumerate()
            .filter(|(_, count)| *count > 0)
            .map(|(step, count)| (middle_us(step), count))
            .collect()
    }
}

/// Counter of a latency.
fn step_of(latency_us: u64) -> usize {
    let bits = u64::BITS - latency_us.leading_zeros();
    let shift = bits.saturating_sub(STEP_BITS + 1);
    let step = (u64::from(shift) << STEP_BITS) + (latency_us >> shift);
    usize::try_from(step).unwrap_or(usize::MAX).min(STEPS - 1)
}

/// Latency in the middle of a counter's range.
fn middle_us(step: usize) -> u64 {
    let step = step as u64;
    let shift = (step >> STEP_BITS).saturating_sub(1);
    let first = (step - (shift << STEP_BITS)) << shift;
    first + (1 << shift) / 2
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Counts of all classes.
pub(crate) struct Burn {
    started: Instant,
    classes: Mutex<FastMap<ClassId, Arc<ClassBurn>>>,
}

impl Burn {
    /// Starts counting.
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            classes: Mutex::default(),
        }
    }

    /// Counts of one class; traffic threads ask once for each class and keep the handle.
    pub(crate) fn class(&self, class: &ClassId) -> Arc<ClassBurn> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = classes
            .entry(class.clone())
            .or_insert_with(|| Arc::new(ClassBurn::new(self.started)));
        Arc::clone(counts)
    }

    /// Time since counting started.
    pub(crate) fn age(&self) -> Now {
        self.started.elapsed()
    }
}
