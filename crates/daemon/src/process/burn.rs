//! Counts for the service-level burn report: good and bad requests of each class over time.
//!
//! A request is good when it was answered whole within its class's latency target. Counts are
//! kept in a ring of buckets of ten seconds, an hour long, so that `jasmine-report` can merge
//! windows over all daemons. Nothing survives the process: a replaced instance's past is gone,
//! and the report says from when each instance counts.

use base::{
    ClassId,
    FastMap,
    Now, //
};
use hdrhistogram::Histogram;
use serde::Serialize;
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
/// Upper bounds of the latency histogram that is reported, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Good and bad requests of one bucket.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct Bucket {
    /// Index of the bucket since the process started.
    pub(crate) index: u64,
    pub(crate) good: u64,
    pub(crate) bad: u64,
}

/// Counts of one class.
pub(crate) struct ClassBurn {
    started: Instant,
    target_us: AtomicU64,
    recent: Mutex<Recent>,
}

struct Recent {
    ring: Vec<Bucket>,
    latency_us: Histogram<u64>,
}

impl ClassBurn {
    fn new(started: Instant) -> Self {
        let latency_us =
            Histogram::new_with_bounds(1, LATENCY_MAX_US, 2).expect("the bounds are valid");
        Self {
            started,
            target_us: AtomicU64::new(u64::MAX),
            recent: Mutex::new(Recent {
                ring: vec![Bucket::default(); BUCKETS],
                latency_us,
            }),
        }
    }

    /// Sets the class's latency target.
    pub(crate) fn set_target(&self, target: Duration) {
        let target_us = u64::try_from(target.as_micros()).unwrap_or(u64::MAX);
        self.target_us.store(target_us, Ordering::Relaxed);
    }

    /// Counts one request; `whole` says that an upstream's whole answer was passed on.
    ///
    /// The lock is shared by traffic threads and held for a few instructions; control takes it
    /// only to copy the ring for a report.
    pub(crate) fn note(&self, whole: bool, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let good = whole && latency_us <= self.target_us.load(Ordering::Relaxed);
        let index = self.started.elapsed().as_secs() / BUCKET.as_secs();
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = usize::try_from(index).unwrap_or(0) % BUCKETS;
        let bucket = &mut recent.ring[slot];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        if good {
            bucket.good += 1;
        } else {
            bucket.bad += 1;
        }
        if whole {
            recent.latency_us.saturating_record(latency_us);
        }
    }

    /// Buckets in use, oldest first, and the latency histogram.
    pub(crate) fn copy(&self) -> (Vec<Bucket>, Histogram<u64>) {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let used = |bucket: &&Bucket| bucket.good + bucket.bad > 0;
        let mut buckets: Vec<Bucket> = recent.ring.iter().filter(used).copied().collect();
        buckets.sort_by_key(|bucket| bucket.index);
        (buckets, recent.latency_us.clone())
    }
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

    /// Names of the classes that were asked for, sorted.
    pub(crate) fn classes(&self) -> Vec<ClassId> {
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut names: Vec<ClassId> = classes.keys().cloned().collect();
        names.sort();
        names
    }

    /// Time since counting started.
    pub(crate) fn age(&self) -> Now {
        self.started.elapsed()
    }
}
