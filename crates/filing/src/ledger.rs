//! The ledger: what became of each ticket of this incarnation, and whether a copy may run.

use crate::{
    bounds::Bounds,
    handover::Origin,
    memory::{
        Fate,
        Memory, //
    },
    refuse::RefuseReason,
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
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

/// Status of a repeat whose ticket was refused.
const REFUSED_STATUS: u16 = 503;

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
pub(crate) enum Phase {
    Open,
    Draining,
    Closed { successor: Option<InstanceId> },
}

/// What became of each ticket that this process may run.
///
/// Invariant: a nonce leaves `memory` only when [`Ledger::unsent`] is told that nothing was sent, or
/// once its ticket is expired by `clock` and the margin is over.
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
    pub(crate) memory: Memory,
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
            memory: Memory::new(&bounds),
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
        if !self.memory.is_running(nonce) {
            return;
        }
        let burned = record.outcome == RunOutcome::NotRun;
        let kept_by_guards = if burned {
            self.guards.burn_refused
        } else {
            self.guards.remember
        };
        if kept_by_guards {
            self.memory.end(nonce, record);
        } else {
            self.memory.remove(nonce);
        }
    }

    /// Frees a running filing of which provably nothing was sent: a copy may run.
    ///
    /// For an entry that will try again itself. Before a caller is told `not-run` the ticket has
    /// to be burned, by [`Ledger::finish`] with such a record.
    pub fn unsent(&mut self, nonce: Nonce) {
        if self.memory.is_running(nonce) {
            self.memory.remove(nonce);
        }
    }

    /// Forgets outcomes whose tickets ended longer ago than the margin; returns how many.
    ///
    /// What still runs is kept.
    pub fn expire(&mut self, now: Now) -> usize {
        let forgotten_until_ms = self.forgotten_until_ms(now);
        self.memory.forget_until(forgotten_until_ms)
    }

    /// Up to `count` outcomes that the table doesn't have yet.
    pub fn unwritten(&self, count: usize) -> Vec<(Nonce, Record)> {
        self.memory.unwritten(count)
    }

    /// Notes that the table has the outcomes of these.
    pub fn written(&mut self, nonces: &[Nonce]) {
        self.memory.written(nonces);
    }

    /// Outcome of a filing that has ended here.
    pub fn record(&self, nonce: Nonce) -> Option<&Record> {
        self.memory.record(nonce)
    }

    /// How many filings are running.
    pub fn running(&self) -> usize {
        self.memory.running()
    }

    /// How many tickets are remembered.
    pub fn remembered(&self) -> usize {
        self.memory.len()
    }

    /// What the remembered ones keep and reserve, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.memory.used_bytes()
    }

    /// Follows a step of the system's wall clock, which a search does with the guard off.
    pub fn step_clock(&mut self, clock: WallClock) {
        if !self.guards.one_clock {
            self.clock = clock;
        }
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
        if let Some(fate) = self.memory.fate(ticket.nonce) {
            return Some(match fate {
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
        if self.memory.start(ticket.nonce, ticket.expires_at_ms) {
            return Begin::Run;
        }
        self.close(ticket);
        Begin::Refuse(RefuseReason::TooMany)
    }

    /// Makes sure that no copy of `ticket` runs from now on.
    fn burn(&mut self, ticket: &Ticket) {
        if !self.guards.burn_refused {
            return;
        }
        let record = Record::bare(RunOutcome::NotRun, REFUSED_STATUS);
        if !self.memory.keep(ticket.nonce, ticket.expires_at_ms, record) {
            self.close(ticket);
        }
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

    /// End of the tickets whose outcomes may be forgotten at `now`, wall time.
    pub(crate) fn forgotten_until_ms(&self, now: Now) -> u64 {
        let margin_ms = millis(self.bounds.margin);
        self.clock.wall_ms(now).saturating_sub(margin_ms)
    }
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
        self.memory.fmt(f)
    }
}
