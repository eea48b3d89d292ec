//! Conditional writes of many callers in one transaction of the table.
//!
//! The table takes several hundred writes a second; a storm brings more filings than that. A
//! transaction fails as a whole, so one caller's conflict would fail its neighbours: the batch
//! takes out those whose rows differ and commits the others again.

use crate::ClaimEvent;
use bytestring::ByteString;
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Caller of writes that nobody waits for: outcomes of filings that were answered.
pub const NO_CALLER: u64 = u64::MAX;

/// Writes that wait for a better time; beyond it the oldest are dropped, and repeats of their
/// filings are told `unknown`.
const PARKED_MAX: usize = 10_000;

/// Row of the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Row {
    /// Version of the last commit that wrote it.
    pub version: u64,
    /// Text.
    pub value: ByteString,
}

/// One caller's conditional write.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Insert {
    /// Whom to tell what happened.
    pub caller: u64,
    /// The row.
    pub key: ByteString,
    /// Version that it must have; `None`: absent.
    pub check: Option<u64>,
    /// Its new text.
    pub value: ByteString,
}

/// One transaction: each row is checked and written.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Commit {
    /// The writes, sorted by key, one a row.
    pub inserts: Vec<Insert>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CommitAnswer {
    /// All took effect, as this version.
    Committed {
        /// Version of all rows written.
        version: u64,
    },
    /// None took effect: the current rows, in the order of the inserts.
    Conflict {
        /// One for each insert.
        rows: Vec<Option<Row>>,
    },
    /// The answer was lost.
    Lost,
    /// The platform provably did nothing.
    Down,
}

/// Writes that wait, and those of the one transaction under way.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Batch {
    waiting: VecDeque<Insert>,
    under_way: Vec<Insert>,
    /// Writes of [`NO_CALLER`] that failed, until [`Batch::unpark`].
    parked: VecDeque<Insert>,
    size_max: usize,
}

impl Batch {
    /// Empty batch of up to `size_max` writes a transaction.
    pub fn new(size_max: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            under_way: Vec::new(),
            parked: VecDeque::new(),
            size_max: size_max.max(1),
        }
    }

    /// Adds a caller's write.
    pub fn push(&mut self, insert: Insert) {
        self.waiting.push_back(insert);
    }

    /// Drops the write of a caller who has given up, if it still waits; true if it did.
    pub fn cancel(&mut self, caller: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|insert| insert.caller != caller);
        self.waiting.len() < before
    }

    /// How many writes wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Puts the writes that failed and that nobody waits for back in line.
    ///
    /// Not done at once: while the table is down each failure would follow on the last without a
    /// pause. To be called now and then, once the table answers.
    pub fn unpark(&mut self) {
        self.waiting.append(&mut self.parked);
    }

    /// How many writes wait for [`Batch::unpark`].
    pub fn parked(&self) -> usize {
        self.parked.len()
    }

    /// Next transaction; `None` while one is under way or nothing waits.
    ///
    /// Two writes of one row never share a transaction: the second would overwrite the first.
    pub fn commit(&mut self) -> Option<Commit> {
        if !self.under_way.is_empty() || self.waiting.is_empty() {
            return None;
        }
        let mut chosen: BTreeMap<ByteString, Insert> = BTreeMap::new();
        let mut later = VecDeque::new();
        while let Some(insert) = self.waiting.pop_front() {
            if chosen.len() < self.size_max && !chosen.contains_key(&insert.key) {
                chosen.insert(insert.key.clone(), insert);
            } else {
                later.push_back(insert);
            }
        }
        self.waiting = later;
        self.under_way = chosen.into_values().collect();
        Some(Commit {
            inserts: self.under_way.clone(),
        })
    }

    /// Takes the answer of the transaction under way; returns whom to tell what.
    ///
    /// [`NO_CALLER`] is never told. Its writes are kept if the table is down or the answer was
    /// lost; one that had taken effect fails its condition the second time.
    pub fn answer(&mut self, answer: CommitAnswer) -> Vec<(u64, ClaimEvent)> {
        let inserts = std::mem::take(&mut self.under_way);
        let tell_all = |event: ClaimEvent| {
            let tell = |insert: &Insert| (insert.caller, event.clone());
            let awaited = |insert: &&Insert| insert.caller != NO_CALLER;
            inserts.iter().filter(awaited).map(tell).collect()
        };
        match answer {
            CommitAnswer::Committed { version } => tell_all(ClaimEvent::Committed { version }),
            CommitAnswer::Lost => {
                self.park(&inserts);
                tell_all(ClaimEvent::Lost)
            }
            CommitAnswer::Down => {
                self.park(&inserts);
                tell_all(ClaimEvent::Down)
            }
            CommitAnswer::Conflict { rows } => self.split(inserts, rows),
        }
    }

    fn park(&mut self, inserts: &[Insert]) {
        let unawaited = inserts.iter().filter(|insert| insert.caller == NO_CALLER);
        self.parked.extend(unawaited.cloned());
        while self.parked.len() > PARKED_MAX {
            self.parked.pop_front();
        }
    }

    /// Tells those whose rows differ; the others go first into the next transaction.
    fn split(&mut self, inserts: Vec<Insert>, rows: Vec<Option<Row>>) -> Vec<(u64, ClaimEvent)> {
        let mut told = Vec::new();
        let mut again = Vec::new();
        let rows = rows.into_iter().chain(std::iter::repeat(None));
        for (insert, row) in inserts.into_iter().zip(rows) {
            let version = row.as_ref().map(|row| row.version);
            if version == insert.check {
                again.push(insert);
            } else if insert.caller != NO_CALLER {
                told.push((insert.caller, ClaimEvent::Conflict(row)));
            }
        }
        for insert in again.into_iter().rev() {
            self.waiting.push_front(insert);
        }
        told
    }
}
