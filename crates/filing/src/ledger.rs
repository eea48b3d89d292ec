//! The ledger: state of each ticket of this incarnation, and whether a copy of it may run.

use crate::{
    bounds::Bounds,
    handover::TicketWatermarks,
    refuse::RefuseReason,
    ticket_store::{
        TicketState,
        TicketStore, //
    },
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

/// HTTP status of a repeat whose ticket was refused.
const REFUSED_STATUS: u16 = 503;

/// What to do with a request that carries a ticket.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum TicketDecision {
    /// Run it. Only one call of `begin` for a nonce returns this, unless [`Ledger::remove_unsent`] frees
    /// the nonce again.
    Run,
    /// A copy is running: wait until it ends, then call `begin` again.
    Wait,
    /// The filing has ended: respond with this record.
    Replay(Record),
    /// The ticket is refused.
    Refuse(RefuseReason),
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    Open,
    Draining,
    Closed { successor: Option<InstanceId> },
}

/// State of each ticket that this process may run.
///
/// Invariant: a nonce is removed from `tickets` only by [`Ledger::remove_unsent`], when nothing was sent,
/// or once its ticket has expired by `clock` and the retention time [`Bounds::retention`] has passed.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ledger {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: WallClock,
    pub(crate) bounds: Bounds,
    pub(crate) guards: Guards,
    pub(crate) phase: Phase,
    /// Incarnations whose tickets run here: this one, and those taken over from predecessors.
    pub(crate) accepted_incarnations: BTreeMap<(InstanceId, Incarnation), TicketWatermarks>,
    pub(crate) tickets: TicketStore,
}

impl Ledger {
    /// Creates an empty ledger of one incarnation.
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        clock: WallClock,
        bounds: Bounds,
        guards: Guards,
    ) -> Self {
        let own = ((instance.clone(), incarnation), TicketWatermarks::default());
        Self {
            instance,
            incarnation,
            clock,
            bounds,
            guards,
            phase: Phase::Open,
            accepted_incarnations: BTreeMap::from([own]),
            tickets: TicketStore::new(&bounds),
        }
    }

    /// Decides what to do with a request that carries `ticket`.
    pub fn begin(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        if let Some(decision) = self.fixed_decision(ticket, now) {
            return decision;
        }
        if self.phase == Phase::Draining {
            self.invalidate(ticket);
            return TicketDecision::Refuse(RefuseReason::Stopping);
        }
        self.start(ticket)
    }

    /// Decides how to respond to a request that the entry won't run for reasons of its own.
    ///
    /// Refusing a filing without this call would leave its ticket valid: the caller, told
    /// `not-run`, files again with a new ticket, and a late copy of the first one runs as well.
    /// Never returns [`TicketDecision::Run`]; returns [`TicketDecision::Replay`] with a `not-run` record if the
    /// ticket was invalidated.
    pub fn refuse(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        if let Some(decision) = self.fixed_decision(ticket, now) {
            return decision;
        }
        self.invalidate(ticket);
        TicketDecision::Replay(Record::status_only(RunOutcome::NotRun, REFUSED_STATUS))
    }

    /// Stores the outcome of a running filing; every repeat gets it.
    ///
    /// The outcome `not-run` invalidates the ticket, since the caller files again with a new one. A
    /// record over the size limit is stored as `unknown` without headers and body, since a
    /// truncated response must never pass as complete.
    pub fn finish(&mut self, nonce: Nonce, record: Record) {
        if !self.tickets.is_running(nonce) {
            return;
        }
        let invalidated = record.outcome == RunOutcome::NotRun;
        let retained = if invalidated {
            self.guards.invalidate_refused
        } else {
            self.guards.keep_outcomes
        };
        if retained {
            self.tickets.complete(nonce, record);
        } else {
            self.tickets.remove(nonce);
        }
    }

    /// Removes a running filing of which provably nothing was sent, so that a copy may run.
    ///
    /// For an entry that retries by itself. Before a caller is told `not-run`, the ticket must be
    /// invalidated by [`Ledger::finish`] with a `not-run` record.
    pub fn remove_unsent(&mut self, nonce: Nonce) {
        if self.tickets.is_running(nonce) {
            self.tickets.remove(nonce);
        }
    }

    /// Removes outcomes whose tickets expired longer ago than the retention time
    /// [`Bounds::retention`], and returns their number.
    ///
    /// Running filings are kept.
    pub fn expire(&mut self, now: Now) -> usize {
        let forgotten_until_ms = self.forgotten_until_ms(now);
        self.tickets.remove_expired(forgotten_until_ms)
    }

    /// Up to `count` outcomes that are not in the table yet.
    pub fn unwritten(&self, count: usize) -> Vec<(Nonce, Record)> {
        self.tickets.unwritten(count)
    }

    /// Notes that the outcomes of these nonces are in the table.
    pub fn mark_written(&mut self, nonces: &[Nonce]) {
        self.tickets.mark_written(nonces);
    }

    /// Outcome of a filing, if it has ended.
    pub fn record(&self, nonce: Nonce) -> Option<&Record> {
        self.tickets.record(nonce)
    }

    /// Number of running filings.
    pub fn running(&self) -> usize {
        self.tickets.running()
    }

    /// Number of stored tickets.
    pub fn ticket_count(&self) -> usize {
        self.tickets.len()
    }

    /// Bytes used or reserved by the stored tickets.
    pub fn used_bytes(&self) -> usize {
        self.tickets.used_bytes()
    }

    /// Follows a step of the system's wall clock; only model checks do so, with the guard off.
    pub fn step_clock(&mut self, clock: WallClock) {
        if !self.guards.monotonic_clock {
            self.clock = clock;
        }
    }

    /// Decision that holds whether or not the entry is willing to run the filing; `None` if the
    /// ticket may run.
    fn fixed_decision(&self, ticket: &Ticket, now: Now) -> Option<TicketDecision> {
        let Some(watermarks) = self.watermarks(ticket) else {
            let reason = if ticket.instance == self.instance {
                RefuseReason::OtherIncarnation
            } else {
                RefuseReason::OtherInstance
            };
            return Some(TicketDecision::Refuse(reason));
        };
        if let Some(state) = self.tickets.state(ticket.nonce) {
            return Some(match state {
                TicketState::Running => TicketDecision::Wait,
                TicketState::Ended(record) => TicketDecision::Replay(record.clone()),
            });
        }
        let refusal = match &self.phase {
            // The successor may have run the ticket since the offer, so expiry here doesn't prove
            // that it never ran.
            Phase::Closed { successor } if self.guards.stop_before_offer => {
                let refusal = self.expiry_refusal(ticket, watermarks, now);
                let refusal = refusal.filter(|_| !self.guards.unknown_once_offered);
                Some(refusal.unwrap_or(RefuseReason::HandedOver(successor.clone())))
            }
            _ => self.expiry_refusal(ticket, watermarks, now),
        };
        refusal.map(TicketDecision::Refuse)
    }

    fn watermarks(&self, ticket: &Ticket) -> Option<TicketWatermarks> {
        let incarnation = if self.guards.bind_incarnation || ticket.instance != self.instance {
            ticket.incarnation
        } else {
            self.incarnation
        };
        let key = (ticket.instance.clone(), incarnation);
        self.accepted_incarnations.get(&key).copied()
    }

    /// Why a ticket that isn't stored can't run because of its expiry; `None` if it can.
    fn expiry_refusal(
        &self,
        ticket: &Ticket,
        watermarks: TicketWatermarks,
        now: Now,
    ) -> Option<RefuseReason> {
        let wall_ms = self.clock.wall_ms(now);
        let expires_at_ms = ticket.expires_at_ms;
        let forgotten_until_ms = watermarks
            .forgotten_until_ms
            .max(self.forgotten_until_ms(now));
        let latest_ms = wall_ms.saturating_add(millis(self.bounds.lifetime_max));
        if expires_at_ms <= forgotten_until_ms {
            Some(RefuseReason::Expired)
        } else if expires_at_ms <= wall_ms {
            Some(RefuseReason::ExpiredUnused)
        } else if expires_at_ms <= watermarks.closed_until_ms {
            Some(RefuseReason::TooMany)
        } else if expires_at_ms > latest_ms {
            Some(RefuseReason::TooFar)
        } else {
            None
        }
    }

    fn start(&mut self, ticket: &Ticket) -> TicketDecision {
        if self
            .tickets
            .insert_running(ticket.nonce, ticket.expires_at_ms)
        {
            return TicketDecision::Run;
        }
        self.invalidate_up_to(ticket);
        TicketDecision::Refuse(RefuseReason::TooMany)
    }

    /// Ensures that no copy of `ticket` runs from now on.
    fn invalidate(&mut self, ticket: &Ticket) {
        if !self.guards.invalidate_refused {
            return;
        }
        let record = Record::status_only(RunOutcome::NotRun, REFUSED_STATUS);
        if !self
            .tickets
            .insert_record(ticket.nonce, ticket.expires_at_ms, record)
        {
            self.invalidate_up_to(ticket);
        }
    }

    /// Invalidates, without using memory, all unused tickets of the same incarnation that expire no
    /// later than this one.
    fn invalidate_up_to(&mut self, ticket: &Ticket) {
        if !self.guards.invalidate_refused {
            return;
        }
        let key = (ticket.instance.clone(), ticket.incarnation);
        if let Some(watermarks) = self.accepted_incarnations.get_mut(&key) {
            watermarks.closed_until_ms = watermarks.closed_until_ms.max(ticket.expires_at_ms);
        }
    }

    /// Wall time in milliseconds; outcomes of tickets that expired by then may be forgotten at
    /// `now`.
    pub(crate) fn forgotten_until_ms(&self, now: Now) -> u64 {
        let margin_ms = millis(self.bounds.retention);
        self.clock.wall_ms(now).saturating_sub(margin_ms)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Prints one line for the ledger and one for each stored ticket.
impl fmt::Display for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ledger {}#{} {:?}",
            self.instance, self.incarnation, self.phase
        )?;
        self.tickets.fmt(f)
    }
}
