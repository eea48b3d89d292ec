//! What a ledger remembers of each ticket, within its bounds of count and bytes.

use crate::{
    bounds::Bounds,
    Nonce,
    Record, //
};
use base::RunOutcome;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt, //
};

/// What an entry costs besides the record's own bytes.
const ENTRY_BYTES: usize = 256;
/// Status of a repeat whose outcome can't be told.
const UNKNOWN_STATUS: u16 = 504;

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fate {
    Running,
    Ended(Record),
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Entry {
    expires_at_ms: u64,
    fate: Fate,
}

/// The entries, their order of expiry, and their bytes.
///
/// Invariants: each entry stands in `by_expiry` once; `used_bytes` is the sum over `entries` of what
/// each keeps or reserves, and stays within the bounds.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Memory {
    tickets_max: usize,
    record_bytes_max: usize,
    total_bytes_max: usize,
    entries: BTreeMap<Nonce, Entry>,
    by_expiry: BTreeSet<(u64, Nonce)>,
    /// Ended, and not yet in the platform's table.
    unwritten: BTreeSet<Nonce>,
    used_bytes: usize,
}

impl Memory {
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self {
            tickets_max: bounds.tickets_max,
            record_bytes_max: bounds.record_bytes_max,
            total_bytes_max: bounds.total_bytes_max,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            used_bytes: 0,
        }
    }

    /// Enters a filing that runs, with bytes reserved for its record; whether there was room.
    pub(crate) fn start(&mut self, nonce: Nonce, expires_at_ms: u64) -> bool {
        let has_room = self.has_room(ENTRY_BYTES + self.record_bytes_max);
        if has_room {
            self.insert(nonce, expires_at_ms, Fate::Running);
        }
        has_room
    }

    /// Enters a record without a body; whether there was room.
    pub(crate) fn keep(&mut self, nonce: Nonce, expires_at_ms: u64, record: Record) -> bool {
        let has_room = self.has_room(ENTRY_BYTES);
        if has_room {
            self.insert(nonce, expires_at_ms, Fate::Ended(record));
        }
        has_room
    }

    /// Keeps the record of a filing that runs.
    pub(crate) fn end(&mut self, nonce: Nonce, record: Record) {
        let to_write = record.outcome != RunOutcome::NotRun;
        let kept = self.bounded(record);
        let Some(entry) = self.entries.get_mut(&nonce) else {
            return;
        };
        debug_assert_eq!(entry.fate, Fate::Running, "a filing ends once");
        self.used_bytes -= self.record_bytes_max - kept.bytes();
        entry.fate = Fate::Ended(kept);
        if to_write {
            self.unwritten.insert(nonce);
        }
        self.debug_check();
    }

    /// Keeps a record that another ledger gave, unless it is here already.
    pub(crate) fn take_record(&mut self, nonce: Nonce, expires_at_ms: u64, record: Record) {
        if self.entries.contains_key(&nonce) {
            return;
        }
        if record.outcome != RunOutcome::NotRun {
            self.unwritten.insert(nonce);
        }
        self.insert(nonce, expires_at_ms, Fate::Ended(record));
    }

    /// Whether all these records fit.
    pub(crate) fn has_room_for<'a>(&self, records: impl Iterator<Item = &'a Record>) -> bool {
        let (mut count, mut bytes) = (0, 0);
        for record in records {
            count += 1;
            bytes += ENTRY_BYTES + record.bytes();
        }
        let within_count = self.entries.len() + count <= self.tickets_max;
        within_count && bytes <= self.total_bytes_max - self.used_bytes
    }

    /// Forgets what ended and expired no later than that; returns how many. What runs is kept.
    pub(crate) fn forget_until(&mut self, expires_at_ms: u64) -> usize {
        let forgotten: Vec<Nonce> = self
            .by_expiry
            .iter()
            .take_while(|(at_ms, _)| *at_ms <= expires_at_ms)
            .map(|(_, nonce)| *nonce)
            .filter(|nonce| !self.is_running(*nonce))
            .collect();
        for nonce in &forgotten {
            self.remove(*nonce);
        }
        forgotten.len()
    }

    /// Loses all records, as a repeated offer would do with its guard off.
    pub(crate) fn forget_all(&mut self) {
        let nonces: Vec<Nonce> = self.entries.keys().copied().collect();
        for nonce in nonces {
            self.remove(nonce);
        }
    }

    pub(crate) fn remove(&mut self, nonce: Nonce) {
        let Some(entry) = self.entries.remove(&nonce) else {
            return;
        };
        self.used_bytes -= self.cost_bytes(&entry.fate);
        self.by_expiry.remove(&(entry.expires_at_ms, nonce));
        self.unwritten.remove(&nonce);
        self.debug_check();
    }

    /// Up to `count` outcomes that the table doesn't have yet.
    pub(crate) fn unwritten(&self, count: usize) -> Vec<(Nonce, Record)> {
        self.unwritten
            .iter()
            .take(count)
            .filter_map(|nonce| self.record(*nonce).map(|record| (*nonce, record.clone())))
            .collect()
    }

    pub(crate) fn written(&mut self, nonces: &[Nonce]) {
        for nonce in nonces {
            self.unwritten.remove(nonce);
        }
    }

    pub(crate) fn fate(&self, nonce: Nonce) -> Option<&Fate> {
        self.entries.get(&nonce).map(|entry| &entry.fate)
    }

    pub(crate) fn record(&self, nonce: Nonce) -> Option<&Record> {
        match self.fate(nonce)? {
            Fate::Running => None,
            Fate::Ended(record) => Some(record),
        }
    }

    pub(crate) fn is_running(&self, nonce: Nonce) -> bool {
        self.fate(nonce) == Some(&Fate::Running)
    }

    pub(crate) fn running(&self) -> usize {
        let is_running = |entry: &&Entry| entry.fate == Fate::Running;
        self.entries.values().filter(is_running).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Tickets and what became of them, those that end last first.
    pub(crate) fn latest_first(&self) -> impl Iterator<Item = (Nonce, u64, &Fate)> + '_ {
        self.by_expiry
            .iter()
            .rev()
            .map(|(expires_at_ms, nonce)| (*nonce, *expires_at_ms, &self.entries[nonce].fate))
    }

    fn has_room(&self, bytes: usize) -> bool {
        let within_count = self.entries.len() < self.tickets_max;
        within_count && self.used_bytes + bytes <= self.total_bytes_max
    }

    fn insert(&mut self, nonce: Nonce, expires_at_ms: u64, fate: Fate) {
        self.used_bytes += self.cost_bytes(&fate);
        self.by_expiry.insert((expires_at_ms, nonce));
        let entry = Entry {
            expires_at_ms,
            fate,
        };
        let before = self.entries.insert(nonce, entry);
        debug_assert!(before.is_none(), "a nonce is inserted once");
        self.debug_check();
    }

    fn cost_bytes(&self, fate: &Fate) -> usize {
        let record_bytes = match fate {
            Fate::Running => self.record_bytes_max,
            Fate::Ended(record) => record.bytes(),
        };
        ENTRY_BYTES + record_bytes
    }

    /// `record`, or one without a body where it is over the bound.
    fn bounded(&self, record: Record) -> Record {
        if record.bytes() <= self.record_bytes_max {
            record
        } else {
            unknown_record()
        }
    }

    fn debug_check(&self) {
        debug_assert_eq!(self.entries.len(), self.by_expiry.len());
        debug_assert!(self.used_bytes <= self.total_bytes_max);
    }
}

/// One line for each ticket.
impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (nonce, entry) in &self.entries {
            let fate = match &entry.fate {
                Fate::Running => "running",
                Fate::Ended(record) => record.outcome.as_str(),
            };
            write!(f, "\n  {nonce:032x} until {} {fate}", entry.expires_at_ms)?;
        }
        Ok(())
    }
}

/// Record of a filing whose outcome can't be told.
pub(crate) fn unknown_record() -> Record {
    Record::bare(RunOutcome::Unknown, UNKNOWN_STATUS)
}
