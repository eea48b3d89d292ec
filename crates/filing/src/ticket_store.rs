//! Tickets known to a ledger with their state, bounded in number and bytes.

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

/// Bytes charged for a ticket besides its record.
const TICKET_OVERHEAD_BYTES: usize = 256;
/// HTTP status of a repeat whose outcome is unknown.
const UNKNOWN_STATUS: u16 = 504;

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum TicketState {
    Running,
    Ended(Record),
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct StoredTicket {
    expires_at_ms: u64,
    state: TicketState,
}

/// Stored tickets, indexed by nonce and by expiry.
///
/// Invariants: each ticket is in `by_expiry` exactly once; `used_bytes` is the sum over `tickets`
/// of the bytes that each uses or reserves, and stays within the limit.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct TicketStore {
    tickets_max: usize,
    record_bytes_max: usize,
    total_bytes_max: usize,
    tickets: BTreeMap<Nonce, StoredTicket>,
    by_expiry: BTreeSet<(u64, Nonce)>,
    /// Ended filings whose outcome is not yet in the platform's table.
    unwritten: BTreeSet<Nonce>,
    used_bytes: usize,
}

impl TicketStore {
    pub(crate) fn new(bounds: &Bounds) -> Self {
        Self {
            tickets_max: bounds.tickets_max,
            record_bytes_max: bounds.record_bytes_max,
            total_bytes_max: bounds.total_bytes_max,
            tickets: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            used_bytes: 0,
        }
    }

    /// Adds a running filing and reserves bytes for its record; `false` if there is no room.
    pub(crate) fn insert_running(&mut self, nonce: Nonce, expires_at_ms: u64) -> bool {
        let has_room = self.has_room(TICKET_OVERHEAD_BYTES + self.record_bytes_max);
        if has_room {
            self.insert(nonce, expires_at_ms, TicketState::Running);
        }
        has_room
    }

    /// Adds an ended filing whose record has no headers and no body; `false` if there is no room.
    pub(crate) fn insert_record(
        &mut self,
        nonce: Nonce,
        expires_at_ms: u64,
        record: Record,
    ) -> bool {
        let has_room = self.has_room(TICKET_OVERHEAD_BYTES);
        if has_room {
            self.insert(nonce, expires_at_ms, TicketState::Ended(record));
        }
        has_room
    }

    /// Stores the record of a running filing.
    pub(crate) fn complete(&mut self, nonce: Nonce, record: Record) {
        let needs_writing = record.outcome != RunOutcome::NotRun;
        let stored = self.unknown_if_oversized(record);
        let Some(ticket) = self.tickets.get_mut(&nonce) else {
            return;
        };
        debug_assert_eq!(ticket.state, TicketState::Running, "a filing ends once");
        self.used_bytes -= self.record_bytes_max - stored.bytes();
        ticket.state = TicketState::Ended(stored);
        if needs_writing {
            self.unwritten.insert(nonce);
        }
        self.debug_assert_invariants();
    }

    /// Stores a record received from another ledger, unless the ticket is known already.
    pub(crate) fn import_record(&mut self, nonce: Nonce, expires_at_ms: u64, record: Record) {
        if self.tickets.contains_key(&nonce) {
            return;
        }
        if record.outcome != RunOutcome::NotRun {
            self.unwritten.insert(nonce);
        }
        self.insert(nonce, expires_at_ms, TicketState::Ended(record));
    }

    /// Whether all these records fit within the limits.
    pub(crate) fn has_room_for<'a>(&self, records: impl Iterator<Item = &'a Record>) -> bool {
        let (mut count, mut bytes) = (0, 0);
        for record in records {
            count += 1;
            bytes += TICKET_OVERHEAD_BYTES + record.bytes();
        }
        let within_count = self.tickets.len() + count <= self.tickets_max;
        within_count && bytes <= self.total_bytes_max - self.used_bytes
    }

    /// Removes ended filings whose tickets expired at `expires_at_ms` or earlier and returns their
    /// number. Running filings are kept.
    pub(crate) fn remove_expired(&mut self, expires_at_ms: u64) -> usize {
        let expired: Vec<Nonce> = self
            .by_expiry
            .iter()
            .take_while(|(at_ms, _)| *at_ms <= expires_at_ms)
            .map(|(_, nonce)| *nonce)
            .filter(|nonce| !self.is_running(*nonce))
            .collect();
        for nonce in &expired {
            self.remove(*nonce);
        }
        expired.len()
    }

    /// Removes all tickets, as accepting a repeated offer does with its guard off.
    pub(crate) fn clear(&mut self) {
        let nonces: Vec<Nonce> = self.tickets.keys().copied().collect();
        for nonce in nonces {
            self.remove(nonce);
        }
    }

    pub(crate) fn remove(&mut self, nonce: Nonce) {
        let Some(ticket) = self.tickets.remove(&nonce) else {
            return;
        };
        self.used_bytes -= self.charged_bytes(&ticket.state);
        self.by_expiry.remove(&(ticket.expires_at_ms, nonce));
        self.unwritten.remove(&nonce);
        self.debug_assert_invariants();
    }

    /// Up to `count` outcomes that are not in the table yet.
    pub(crate) fn unwritten(&self, count: usize) -> Vec<(Nonce, Record)> {
        self.unwritten
            .iter()
            .take(count)
            .filter_map(|nonce| self.record(*nonce).map(|record| (*nonce, record.clone())))
            .collect()
    }

    pub(crate) fn mark_written(&mut self, nonces: &[Nonce]) {
        for nonce in nonces {
            self.unwritten.remove(nonce);
        }
    }

    pub(crate) fn state(&self, nonce: Nonce) -> Option<&TicketState> {
        self.tickets.get(&nonce).map(|ticket| &ticket.state)
    }

    pub(crate) fn record(&self, nonce: Nonce) -> Option<&Record> {
        match self.state(nonce)? {
            TicketState::Running => None,
            TicketState::Ended(record) => Some(record),
        }
    }

    pub(crate) fn is_running(&self, nonce: Nonce) -> bool {
        self.state(nonce) == Some(&TicketState::Running)
    }

    pub(crate) fn running(&self) -> usize {
        let is_running = |ticket: &&StoredTicket| ticket.state == TicketState::Running;
        self.tickets.values().filter(is_running).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.tickets.len()
    }

    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Tickets and their state, latest expiry first.
    pub(crate) fn by_latest_expiry(&self) -> impl Iterator<Item = (Nonce, u64, &TicketState)> + '_ {
        self.by_expiry
            .iter()
            .rev()
            .map(|(expires_at_ms, nonce)| (*nonce, *expires_at_ms, &self.tickets[nonce].state))
    }

    fn has_room(&self, bytes: usize) -> bool {
        let within_count = self.tickets.len() < self.tickets_max;
        within_count && self.used_bytes + bytes <= self.total_bytes_max
    }

    fn insert(&mut self, nonce: Nonce, expires_at_ms: u64, state: TicketState) {
        self.used_bytes += self.charged_bytes(&state);
        self.by_expiry.insert((expires_at_ms, nonce));
        let ticket = StoredTicket {
            expires_at_ms,
            state,
        };
        let previous = self.tickets.insert(nonce, ticket);
        debug_assert!(previous.is_none(), "a nonce is inserted once");
        self.debug_assert_invariants();
    }

    fn charged_bytes(&self, state: &TicketState) -> usize {
        let record_bytes = match state {
            TicketState::Running => self.record_bytes_max,
            TicketState::Ended(record) => record.bytes(),
        };
        TICKET_OVERHEAD_BYTES + record_bytes
    }

    /// Returns `record`, or an `unknown` one without headers and body if it is over the limit.
    fn unknown_if_oversized(&self, record: Record) -> Record {
        if record.bytes() <= self.record_bytes_max {
            record
        } else {
            unknown_record()
        }
    }

    fn debug_assert_invariants(&self) {
        debug_assert_eq!(self.tickets.len(), self.by_expiry.len());
        debug_assert!(self.used_bytes <= self.total_bytes_max);
    }
}

/// Prints one line for each ticket.
impl fmt::Display for TicketStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (nonce, ticket) in &self.tickets {
            let state = match &ticket.state {
                TicketState::Running => "running",
                TicketState::Ended(record) => record.outcome.as_str(),
            };
            write!(f, "\n  {nonce:032x} until {} {state}", ticket.expires_at_ms)?;
        }
        Ok(())
    }
}

/// Record of a filing whose outcome is unknown.
pub(crate) fn unknown_record() -> Record {
    Record::status_only(RunOutcome::Unknown, UNKNOWN_STATUS)
}
