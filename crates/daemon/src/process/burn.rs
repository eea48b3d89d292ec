//! Counters for the error-budget burn report: good and bad requests of each class over time.
//!
//! A request is good when its complete response was passed on within the latency target of its
//! class. The counts are kept in a ring buffer of ten-second buckets that spans one hour, so that
//! `jasmine-report` can merge windows across all daemons. They are not persisted: a restart loses
//! them, and the report shows since when each instance has been counting.
//!
//! Traffic threads write the counters and control reads them, through atomics only.

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

/// Duration of one bucket.
pub(crate) const BUCKET_DURATION: Duration = Duration::from_secs(10);
/// Buckets in the ring buffer: one hour.
const BUCKETS: usize = 360;

/// Counters of one class.
pub(crate) struct ClassBurn {
    started: Instant,
    target_us: AtomicU64,
    ring: Vec<AtomicBucket>,
    latencies: LatencyHistogram,
}

impl ClassBurn {
    fn new(started: Instant) -> Self {
        Self {
            started,
            target_us: AtomicU64::new(u64::MAX),
            ring: (0..BUCKETS).map(|_| AtomicBucket::default()).collect(),
            latencies: LatencyHistogram::default(),
        }
    }

    /// Sets the latency target of the class.
    pub(crate) fn set_target(&self, target: Duration) {
        self.target_us.store(micros(target), Ordering::Relaxed);
    }

    /// Counts one request; `whole` is true if the complete response of an upstream was passed on.
    pub(crate) fn record(&self, whole: bool, latency: Duration) {
        let latency_us = micros(latency);
        let is_good = whole && latency_us <= self.target_us.load(Ordering::Relaxed);
        let index = self.started.elapsed().as_secs() / BUCKET_DURATION.as_secs();
        let slot = usize::try_from(index).unwrap_or(0) % BUCKETS;
        self.ring[slot].count(index, is_good);
        if whole {
            self.latencies.count(latency_us);
        }
    }

    /// Non-empty buckets of the last hour, oldest first.
    pub(crate) fn buckets(&self) -> Vec<op::Bucket> {
        let now = self.started.elapsed().as_secs() / BUCKET_DURATION.as_secs();
        let is_recent = |bucket: &op::Bucket| {
            let oldest = (now + 1).saturating_sub(BUCKETS as u64);
            bucket.good + bucket.bad > 0 && bucket.index >= oldest
        };
        let mut buckets: Vec<op::Bucket> = self
            .ring
            .iter()
            .map(AtomicBucket::get)
            .filter(is_recent)
            .collect();
        buckets.sort_by_key(|bucket| bucket.index);
        buckets
    }

    /// LatencyHistogram of complete responses since the start: pairs of microseconds and count.
    pub(crate) fn latencies_us(&self) -> Vec<(u64, u64)> {
        self.latencies.counts_us()
    }
}

/// One bucket packed into a word: 24 bits of index, 20 bits each of good and bad requests.
///
/// If the index were stored separately, a thread that starts a new bucket would erase what another
/// thread has counted into it in between. The counts saturate at about a million, which is 100,000
/// requests per second.
#[derive(Default)]
struct AtomicBucket(AtomicU64);

/// Width of a count in bits.
const COUNT_BITS: u32 = 20;
/// Value at which a count saturates.
const COUNT_MAX: u64 = (1 << COUNT_BITS) - 1;

impl AtomicBucket {
    fn count(&self, index: u64, is_good: bool) {
        let increment = |word: u64| {
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
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment)
            .expect("`increment` always returns a value");
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

/// Binary logarithm of the number of equal bins per octave of latency.
const BIN_BITS: u32 = 6;
/// Octaves above the first bins; the range ends at 1,073 seconds.
const OCTAVES: u32 = 24;
/// Number of bins.
const BINS: usize = ((OCTAVES + 1) << BIN_BITS) as usize;

/// Log-linear latency histogram with a relative error of about one percent.
///
/// It has the layout of an HDR histogram, into which the report reads the counts.
struct LatencyHistogram(Box<[AtomicU64]>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self((0..BINS).map(|_| AtomicU64::new(0)).collect())
    }
}

impl LatencyHistogram {
    fn count(&self, latency_us: u64) {
        self.0[bin_of(latency_us)].fetch_add(1, Ordering::Relaxed);
    }

    fn counts_us(&self) -> Vec<(u64, u64)> {
        let counts = self.0.iter().map(|count| count.load(Ordering::Relaxed));
        counts
            .enumerate()
            .filter(|(_, count)| *count > 0)
            .map(|(bin, count)| (bin_midpoint_us(bin), count))
            .collect()
    }
}

/// Index of the bin that covers a latency.
fn bin_of(latency_us: u64) -> usize {
    let bits = u64::BITS - latency_us.leading_zeros();
    let shift = bits.saturating_sub(BIN_BITS + 1);
    let bin = (u64::from(shift) << BIN_BITS) + (latency_us >> shift);
    usize::try_from(bin).unwrap_or(usize::MAX).min(BINS - 1)
}

/// Midpoint of a bin's range.
fn bin_midpoint_us(bin: usize) -> u64 {
    let bin = bin as u64;
    let shift = (bin >> BIN_BITS).saturating_sub(1);
    let first = (bin - (shift << BIN_BITS)) << shift;
    first + (1 << shift) / 2
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Counters of all classes.
pub(crate) struct Burn {
    started: Instant,
    classes: Mutex<FastMap<ClassId, Arc<ClassBurn>>>,
}

impl Burn {
    /// Creates empty counters that count since `started`.
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            classes: Mutex::default(),
        }
    }

    /// Counters of one class. Traffic threads call this once per class and keep the handle.
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
