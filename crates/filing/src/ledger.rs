//! The ledger: what became of each ticket of this incarnation, and whether a copy may run.

use crate::{
    handover::Origin,
    Guards,
    Nonce,
    Record,
    Ticket,
    WallClock, //
};
use base::{
    Incarnation,
    InstanceId,
    Now,
    RunOutcome, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
    time::Duration, //
};

/// What an entry in the ledger costs besides the record's own bytes.
const ENTRY_BYTES: usize = 256;
/// Status of a repeat whose ticket was refused.
const REFUSED_STATUS: u16 = 503;
/// Status of a repeat whose outcome can't be told.
const UNKNOWN_STATUS: u16 = 504;

/// How much a ledger remembers, and for how long.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bounds {
    /// Tickets remembered at a time.
    pub tickets_max: usize,
    /// Largest record that is kept whole, headers and body.
    pub record_bytes_max: usize,
    /// All records and what is reserved for running ones.
    pub total_bytes_max: usize,
    /// All records of an offer to a successor, which goes in one message.
    pub offer_bytes_max: usize,
    /// Longest life of a ticket; one that claims more was made by a wrong clock.
    pub life_max: Duration,
    /// How long an outcome is remembered past its ticket's end.
    pub margin: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            tickets_max: 100_000,
            record_bytes_max: 16 * 1024,
            total_bytes_max: 64 * 1024 * 1024,
            offer_bytes_max: 768 * 1024,
            life_max: Duration::from_secs(120),
            margin: Duration::from_secs(60),
        }
    }
}

/// Why a ticket doesn't run here.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefuseReason {
    /// It expired before it was ever used, and recently enough to know that.
    ExpiredUnused,
    /// It expired so long ago that an outcome would be forgotten.
    Expired,
    /// It ends later than any honest ticket does: its maker's clock is wrong.
    TooFar,
    /// It is another entry's.
    OtherInstance,
    /// It is of another life of this entry.
    OtherIncarnation,
    /// This entry is stopping and starts nothing; the ticket is burned.
    Stopping,
    /// The right to it was offered to a successor, named once that has acknowledged.
    HandedOver(Option<InstanceId>),
    /// Too much is remembered to take one more; the ticket is burned.
    TooMany,
}

impl RefuseReason {
    /// What a caller may be told about the filing.
    ///
    /// Only those reasons say `not-run` after which no copy of the ticket can run anywhere, and
    /// before which none did: a caller takes a new ticket on that word.
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::ExpiredUnused | Self::Stopping | Self::TooMany => RunOutcome::NotRun,
            Self::Expired
            | Self::TooFar
            | Self::OtherInstance
            | Self::OtherIncarnation
            | Self::HandedOver(_) => RunOutcome::Unknown,
        }
    }
}

/// What to do with a request that brings a ticket.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Begin {
    /// Run it; exactly one caller of `begin` is told so until the nonce is unsent.
    Run,
    /// A copy is running: wait for its end, then ask again.
    Wait,
    /// It has ended: answer with this.
    Replay(Record),
    /// It doesn't run here.
    Refuse(RefuseReason),
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fate {
    Running,
    Ended(Record),
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Entry {
    pub(crate) expires_at_ms: u64,
    pub(crate) fate: Fate,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    Open,
    Draining,
    Closed { successor: Option<InstanceId> },
}

/// What became of each ticket that this process may run.
///
/// Invariants: a nonce leaves `entries` only when [`Ledger::unsent`] is told that nothing was sent,
/// or once its ticket is expired by `clock` and the margin is over; `used_bytes` is the sum over
/// `entries` of what each keeps or reserves, and stays within the bounds.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ledger {
    pub(crate) me: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: WallClock,
    pub(crate) bounds: Bounds,
    pub(crate) guards: Guards,
    pub(crate) phase: Phase,
    /// Incarnations whose tickets run here: this one, and those taken over.
    pub(crate) origins: BTreeMap<(InstanceId, Incarnation), Origin>,
    pub(crate) entries: BTreeMap<Nonce, Entry>,
    by_expiry: BTreeSet<(u64, Nonce)>,
    /// Ended, and not yet in the platform's table.
    unwritten: BTreeSet<Nonce>,
    used_bytes: usize,
}

impl Ledger {
    /// Empty ledger of one incarnation.
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        clock: WallClock,
        bounds: Bounds,
        guards: Guards,
    ) -> Self {
        let own = ((me.clone(), incarnation), Origin::default());
        Self {
            me,
            incarnation,
            clock,
            bounds,
            guards,
            phase: Phase::Open,
            origins: BTreeMap::from([own]),
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            used_bytes: 0,
        }
    }

    /// Decides what to do with a request that brings `ticket`.
    pub fn begin(&mut self, ticket: &Ticket, now: Now) -> Begin {
        if let Some(decided) = self.decided(ticket, now) {
            return decided;
        }
        if self.phase == Phase::Draining {
            self.burn(ticket);
            return Begin::Refuse(RefuseReason::Stopping);
        }
        self.start(ticket)
    }

    /// Decides what to tell a request that the entry won't run, for reasons of its own.
    ///
    /// Whoever refuses a filing without asking the ledger leaves its ticket valid: the caller,
    /// told `not-run`, files again with a new one, and a late copy of the first runs as well.
    /// Never [`Begin::Run`]; a `Replay` of a `not-run` record when the ticket was burned.
    pub fn refuse(&mut self, ticket: &Ticket, now: Now) -> Begin {
        if let Some(decided) = self.decided(ticket, now) {
            return decided;
        }
        self.burn(ticket);
        Begin::Replay(Record::bare(RunOutcome::NotRun, REFUSED_STATUS))
    }

    /// Keeps what came of a running filing; every repeat gets it.
    ///
    /// With `not-run` the ticket is burned: a caller who was told so takes a new one. A record
    /// over the bound is kept as `unknown` without its body, for a short answer must never pass
    /// as whole.
    pub fn finish(&mut self, nonce: Nonce, record: Record) {
        if !self.is_running(nonce) {
            return;
        }
        let burned = record.outcome == RunOutcome::NotRun;
        let kept_by_guards = if burned {
            self.guards.burn_refused
        } else {
            self.guards.remember
        };
        if !kept_by_guards {
            self.remove(nonce);
            return;
        }
        let kept = self.bounded(record);
        let entry = self.entries.get_mut(&nonce).expect("looked up above");
        self.used_bytes -= self.bounds.record_bytes_max - kept.bytes();
        entry.fate = Fate::Ended(kept);
        if !burned {
            self.unwritten.insert(nonce);
        }
        self.debug_check();
    }

    /// Frees a running filing of which provably nothing was sent: a copy may run.
    ///
    /// For an entry that will try again itself. Before a caller is told `not-run` the ticket has
    /// to be burned, by [`Ledger::finish`] with such a record.
    pub fn unsent(&mut self, nonce: Nonce) {
        if self.is_running(nonce) {
            self.remove(nonce);
        }
    }

    /// Forgets outcomes whose tickets ended longer ago than the margin; returns how many.
    ///
    /// What still runs is kept.
    pub fn expire(&mut self, now: Now) -> usize {
        let forgotten_until_ms = self.forgotten_until_ms(now);
        let forgotten: Vec<Nonce> = self
            .by_expiry
            .iter()
            .take_while(|(expires_at_ms, _)| *expires_at_ms <= forgotten_until_ms)
            .map(|(_, nonce)| *nonce)
            .filter(|nonce| self.entries[nonce].fate != Fate::Running)
            .collect();
        for nonce in &forgotten {
            self.remove(*nonce);
        }
        forgotten.len()
    }

    /// Up to `count` outcomes that the table doesn't have yet.
    pub fn unwritten(&self, count: usize) -> Vec<(Nonce, Record)> {
        self.unwritten
            .iter()
            .take(count)
            .filter_map(|nonce| self.record(*nonce).map(|record| (*nonce, record.clone())))
            .collect()
    }

    /// Notes that the table has the outcomes of these.
    pub fn written(&mut self, nonces: &[Nonce]) {
        for nonce in nonces {
            self.unwritten.remove(nonce);
        }
    }

    /// Outcome of a filing that has ended here.
    pub fn record(&self, nonce: Nonce) -> Option<&Record> {
        match &self.entries.get(&nonce)?.fate {
            Fate::Running => None,
            Fate::Ended(record) => Some(record),
        }
    }

    /// How many filings are running.
    pub fn running(&self) -> usize {
        let is_running = |entry: &&Entry| entry.fate == Fate::Running;
        self.entries.values().filter(is_running).count()
    }

    /// How many tickets are remembered.
    pub fn remembered(&self) -> usize {
        self.entries.len()
    }

    /// What the remembered ones keep and reserve, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Follows a step of the system's wall clock, which a search does with the guard off.
    pub fn step_clock(&mut self, clock: WallClock) {
        if !self.guards.one_clock {
            self.clock = clock;
        }
    }

    fn is_running(&self, nonce: Nonce) -> bool {
        let entry = self.entries.get(&nonce);
        entry.is_some_and(|entry| entry.fate == Fate::Running)
    }

    /// What is settled before the entry's own wish matters; `None` for a ticket free to run.
    fn decided(&self, ticket: &Ticket, now: Now) -> Option<Begin> {
        let Some(origin) = self.origin(ticket) else {
            let reason = if ticket.instance == self.me {
                RefuseReason::OtherIncarnation
            } else {
                RefuseReason::OtherInstance
            };
            return Some(Begin::Refuse(reason));
        };
        if let Some(entry) = self.entries.get(&ticket.nonce) {
            return Some(match &entry.fate {
                Fate::Running => Begin::Wait,
                Fate::Ended(record) => Begin::Replay(record.clone()),
            });
        }
        let over = match &self.phase {
            // The successor may have run it since the offer, so its expiry proves nothing here.
            Phase::Closed { successor } if self.guards.stop_before_offer => {
                let over = self.over(ticket, origin, now);
                let over = over.filter(|_| !self.guards.unknown_once_offered);
                Some(over.unwrap_or(RefuseReason::HandedOver(successor.clone())))
            }
            _ => self.over(ticket, origin, now),
        };
        over.map(Begin::Refuse)
    }

    fn origin(&self, ticket: &Ticket) -> Option<Origin> {
        let incarnation = if self.guards.bind_incarnation || ticket.instance != self.me {
            ticket.incarnation
        } else {
            self.incarnation
        };
        let key = (ticket.instance.clone(), incarnation);
        self.origins.get(&key).copied()
    }

    /// Why a ticket that isn't remembered can no longer run, or not yet.
    fn over(&self, ticket: &Ticket, origin: Origin, now: Now) -> Option<RefuseReason> {
        let wall_ms = self.clock.wall_ms(now);
        let expires_at_ms = ticket.expires_at_ms;
        let forgotten_until_ms = origin.forgotten_until_ms.max(self.forgotten_until_ms(now));
        let latest_ms = wall_ms.saturating_add(millis(self.bounds.life_max));
        if expires_at_ms <= forgotten_until_ms {
            Some(RefuseReason::Expired)
        } else if expires_at_ms <= wall_ms {
            Some(RefuseReason::ExpiredUnused)
        } else if expires_at_ms <= origin.closed_until_ms {
            Some(RefuseReason::TooMany)
        } else if expires_at_ms > latest_ms {
            Some(RefuseReason::TooFar)
        } else {
            None
        }
    }

    fn start(&mut self, ticket: &Ticket) -> Begin {
        let reserved_bytes = ENTRY_BYTES + self.bounds.record_bytes_max;
        if !self.has_room(reserved_bytes) {
            self.close(ticket);
            return Begin::Refuse(RefuseReason::TooMany);
        }
        self.insert(ticket.nonce, ticket.expires_at_ms, Fate::Running);
        Begin::Run
    }

    /// Makes sure that no copy of `ticket` runs from now on.
    fn burn(&mut self, ticket: &Ticket) {
        if !self.guards.burn_refused {
            return;
        }
        if !self.has_room(ENTRY_BYTES) {
            self.close(ticket);
            return;
        }
        let record = Record::bare(RunOutcome::NotRun, REFUSED_STATUS);
        self.insert(ticket.nonce, ticket.expires_at_ms, Fate::Ended(record));
    }

    /// Burns, without a byte of memory, all unused tickets that end no later than this one.
    fn close(&mut self, ticket: &Ticket) {
        if !self.guards.burn_refused {
            return;
        }
        let key = (ticket.instance.clone(), ticket.incarnation);
        if let Some(origin) = self.origins.get_mut(&key) {
            origin.closed_until_ms = origin.closed_until_ms.max(ticket.expires_at_ms);
        }
    }

    fn has_room(&self, bytes: usize) -> bool {
        let within_count = self.entries.len() < self.bounds.tickets_max;
        within_count && self.used_bytes + bytes <= self.bounds.total_bytes_max
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

    /// Loses all records, as a repeated offer would do with its guard off.
    pub(crate) fn forget_all(&mut self) {
        let nonces: Vec<Nonce> = self.entries.keys().copied().collect();
        for nonce in nonces {
            self.remove(nonce);
        }
    }

    /// Nonces that are remembered, those whose tickets end last first.
    pub(crate) fn latest_first(&self) -> impl Iterator<Item = Nonce> + '_ {
        self.by_expiry.iter().rev().map(|(_, nonce)| *nonce)
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

    fn remove(&mut self, nonce: Nonce) {
        let Some(entry) = self.entries.remove(&nonce) else {
            return;
        };
        self.used_bytes -= self.cost_bytes(&entry.fate);
        self.by_expiry.remove(&(entry.expires_at_ms, nonce));
        self.unwritten.remove(&nonce);
        self.debug_check();
    }

    pub(crate) fn cost_bytes(&self, fate: &Fate) -> usize {
        ENTRY_BYTES
            + match fate {
                Fate::Running => self.bounds.record_bytes_max,
                Fate::Ended(record) => record.bytes(),
            }
    }

    pub(crate) fn free_bytes(&self) -> usize {
        self.bounds.total_bytes_max - self.used_bytes
    }

    fn bounded(&self, record: Record) -> Record {
        if record.bytes() <= self.bounds.record_bytes_max {
            record
        } else {
            unknown_record()
        }
    }

    /// End of the tickets whose outcomes may be forgotten at `now`, wall time.
    pub(crate) fn forgotten_until_ms(&self, now: Now) -> u64 {
        let margin_ms = millis(self.bounds.margin);
        self.clock.wall_ms(now).saturating_sub(margin_ms)
    }

    fn debug_check(&self) {
        debug_assert_eq!(self.entries.len(), self.by_expiry.len());
        debug_assert!(self.used_bytes <= self.bounds.total_bytes_max);
    }
}

/// Record of a filing whose outcome can't be told.
pub(crate) fn unknown_record() -> Record {
    Record::bare(RunOutcome::Unknown, UNKNOWN_STATUS)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// One line for the ledger, one for each ticket that it remembers.
impl fmt::Display for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ledger {}#{} {:?}",
            self.me, self.incarnation, self.phase
        )?;
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
