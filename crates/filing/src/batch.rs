//! Combines conditional writes of many callers into one transaction of the table.
//!
//! The table takes several hundred writes per second, and peak load brings more filings than that.
//! A transaction fails as a whole, so one caller's conflict would fail the writes of the others.
//! The batch therefore drops the writes whose rows differ and commits the others again.

use crate::ClaimEvent;
use bytestring::ByteString;
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Caller id of writes that nobody waits for, such as outcomes of filings whose caller has its
/// response.
pub const NO_CALLER: u64 = u64::MAX;

/// Deferred writes kept. Beyond it the oldest are dropped, and repeats of their filings get
/// `unknown`.
const DEFERRED_MAX: usize = 10_000;

/// Row of the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Row {
    /// Version of the last commit that wrote it.
    pub version: u64,
    /// Value of the row.
    pub value: ByteString,
}

/// One caller's conditional write.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConditionalWrite {
    /// Caller to notify of the result.
    pub caller: u64,
    /// Key of the row.
    pub key: ByteString,
    /// Version that the row must have; `None` if it must be absent.
    pub check: Option<u64>,
    /// New value of the row.
    pub value: ByteString,
}

/// One transaction, which checks and writes each row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Commit {
    /// The writes, sorted by key, at most one for each row.
    pub writes: Vec<ConditionalWrite>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CommitResult {
    /// All writes took effect.
    Committed {
        /// New version of all written rows.
        version: u64,
    },
    /// No write took effect, since the condition of at least one failed.
    Conflict {
        /// Current rows, one for each write, in the same order.
        rows: Vec<Option<Row>>,
    },
    /// The result was lost; the writes may have taken effect.
    Lost,
    /// The platform is unavailable and provably did nothing.
    Down,
}

/// Queue of writes, with at most one transaction in flight.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Batch {
    queued: VecDeque<ConditionalWrite>,
    in_flight: Vec<ConditionalWrite>,
    /// Writes of [`NO_CALLER`] that failed, until [`Batch::retry_deferred`].
    deferred: VecDeque<ConditionalWrite>,
    size_max: usize,
}

impl Batch {
    /// Creates an empty batch with up to `size_max` writes per transaction.
    pub fn new(size_max: usize) -> Self {
        Self {
            queued: VecDeque::new(),
            in_flight: Vec::new(),
            deferred: VecDeque::new(),
            size_max: size_max.max(1),
        }
    }

    /// Queues a caller's write.
    pub fn push(&mut self, insert: ConditionalWrite) {
        self.queued.push_back(insert);
    }

    /// Drops the queued write of a caller that has given up; `false` if none was queued.
    pub fn cancel(&mut self, caller: u64) -> bool {
        let before = self.queued.len();
        self.queued.retain(|insert| insert.caller != caller);
        self.queued.len() < before
    }

    /// Number of queued writes.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Queues the deferred writes again.
    ///
    /// This is a separate call, because immediate retries would run in a tight loop while the table
    /// is down. Call it periodically, once the table responds.
    pub fn retry_deferred(&mut self) {
        self.queued.append(&mut self.deferred);
    }

    /// Number of writes deferred until [`Batch::retry_deferred`].
    pub fn deferred(&self) -> usize {
        self.deferred.len()
    }

    /// Returns the next transaction; `None` while one is in flight or if nothing is queued.
    ///
    /// A transaction has at most one write for each row, since a second one would overwrite the
    /// first.
    pub fn commit(&mut self) -> Option<Commit> {
        if !self.in_flight.is_empty() || self.queued.is_empty() {
            return None;
        }
        let mut chosen: BTreeMap<ByteString, ConditionalWrite> = BTreeMap::new();
        let mut remaining = VecDeque::new();
        while let Some(insert) = self.queued.pop_front() {
            if chosen.len() < self.size_max && !chosen.contains_key(&insert.key) {
                chosen.insert(insert.key.clone(), insert);
            } else {
                remaining.push_back(insert);
            }
        }
        self.queued = remaining;
        self.in_flight = chosen.into_values().collect();
        Some(Commit {
            writes: self.in_flight.clone(),
        })
    }

    /// Handles the result of the transaction in flight; returns the events to pass to callers.
    ///
    /// [`NO_CALLER`] gets no events. Its writes are retried if the table is down or the result was
    /// lost; the condition of one that had taken effect fails on the retry.
    pub fn complete(&mut self, result: CommitResult) -> Vec<(u64, ClaimEvent)> {
        let inserts = std::mem::take(&mut self.in_flight);
        let notify_all = |event: ClaimEvent| {
            let notify = |insert: &ConditionalWrite| (insert.caller, event.clone());
            let has_caller = |insert: &&ConditionalWrite| insert.caller != NO_CALLER;
            inserts.iter().filter(has_caller).map(notify).collect()
        };
        match result {
            CommitResult::Committed { version } => notify_all(ClaimEvent::Committed { version }),
            CommitResult::Lost => {
                self.defer(&inserts);
                notify_all(ClaimEvent::Lost)
            }
            CommitResult::Down => {
                self.defer(&inserts);
                notify_all(ClaimEvent::Down)
            }
            CommitResult::Conflict { rows } => self.retry_unconflicted(inserts, rows),
        }
    }

    fn defer(&mut self, inserts: &[ConditionalWrite]) {
        let without_caller = inserts.iter().filter(|insert| insert.caller == NO_CALLER);
        self.deferred.extend(without_caller.cloned());
        while self.deferred.len() > DEFERRED_MAX {
            self.deferred.pop_front();
        }
    }

    /// Returns conflicts for the writes whose rows differ, and puts the others at the head of the
    /// queue.
    fn retry_unconflicted(
        &mut self,
        inserts: Vec<ConditionalWrite>,
        rows: Vec<Option<Row>>,
    ) -> Vec<(u64, ClaimEvent)> {
        let mut notifications = Vec::new();
        let mut retries = Vec::new();
        let rows = rows.into_iter().chain(std::iter::repeat(None));
        for (insert, row) in inserts.into_iter().zip(rows) {
            let version = row.as_ref().map(|row| row.version);
            if version == insert.check {
                retries.push(insert);
            } else if insert.caller != NO_CALLER {
                notifications.push((insert.caller, ClaimEvent::Conflict(row)));
            }
        }
        for insert in retries.into_iter().rev() {
            self.queued.push_front(insert);
        }
        notifications
    }
}
