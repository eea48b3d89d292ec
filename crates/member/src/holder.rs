//! Keeping a lease: renewals, and how long the last one counts.

use crate::{
    Guards,
    Identity,
    LeaseEvent,
    LeaseRow,
    LeaseState,
    LeaseStep,
    LeaseTerms,
    VersionedLease, //
};
use base::{
    Incarnation,
    Now, //
};
use bytestring::ByteString;
use std::fmt;

/// A renewal whose answer is awaited.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Pending {
    seq: u64,
    state: LeaseState,
    sent_at: Now,
}

/// Holder of a lease.
///
/// Invariant: `valid_until` is the send time of a renewal that is known to have taken effect, and
/// the time that a holder counts on it. Nothing but the clock ends it: a holder that was paused
/// wakes with a true answer to [`Holder::is_valid`], if it asks again.
///
/// One step is under way at a time; each gets its event, `Lost` if its time is over.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    row: LeaseRow,
    /// Version of the row as this holder last knew it.
    version: u64,
    terms: LeaseTerms,
    guards: Guards,
    valid_until: Now,
    /// When the last renewal was sent, answered or not.
    last_sent_at: Now,
    /// State that the row is known to have.
    written_state: LeaseState,
    /// The renewal that has no answer yet.
    pending: Option<Pending>,
    gaps: u64,
    superseded: bool,
}

impl Holder {
    pub(crate) fn new(
        row: LeaseRow,
        version: u64,
        sent_at: Now,
        now: Now,
        terms: LeaseTerms,
        guards: Guards,
    ) -> Self {
        let mut holder = Self {
            row,
            version,
            terms,
            guards,
            valid_until: Now::ZERO,
            last_sent_at: sent_at,
            written_state: LeaseState::Live,
            pending: None,
            gaps: 0,
            superseded: false,
        };
        holder.valid_until = holder.end_of(sent_at, now);
        holder
    }

    /// Whether the lease is held at `now`; to be asked again after every wait.
    pub fn is_valid(&self, now: Now) -> bool {
        now < self.valid_until()
    }

    /// End of the lease as far as it is known, by this process's clock.
    pub fn valid_until(&self) -> Now {
        if self.superseded || self.row.state == LeaseState::Left {
            Now::ZERO
        } else {
            self.valid_until
        }
    }

    /// How often the lease lapsed and was renewed later.
    ///
    /// Whatever was held under the lease may have been taken by others in between: who sees this
    /// number grow must drop it, and read what is its own now.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Whether another incarnation has taken the row.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Who and where.
    pub fn identity(&self) -> &Identity {
        &self.row.identity
    }

    /// This process's life.
    pub fn incarnation(&self) -> Incarnation {
        self.row.incarnation
    }

    /// How far this life is.
    pub fn state(&self) -> LeaseState {
        self.row.state
    }

    /// Version of the row as last known, for transactions that depend on the lease.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Writes the row if it is time to renew, or if it has another state.
    pub fn tick(&mut self, now: Now) -> LeaseStep {
        if self.superseded || self.pending.is_some() {
            return LeaseStep::Idle;
        }
        let news = self.row.state != self.written_state;
        let due = now >= self.last_sent_at + self.terms.renew_every;
        let renews = due && self.row.state != LeaseState::Left;
        if news || renews {
            self.write(now)
        } else {
            LeaseStep::Idle
        }
    }

    /// Takes no new work from now on; the next tick says so in the row, and the lease goes on.
    pub fn leave(&mut self) {
        self.row.state = self.row.state.max(LeaseState::Leaving);
    }

    /// Gives the lease back: it isn't held from this call on, and the next tick says so.
    pub fn release(&mut self) {
        self.row.state = LeaseState::Left;
    }

    /// Whether the row is known to say that the lease was given back.
    pub fn is_released(&self) -> bool {
        self.written_state == LeaseState::Left
    }

    /// Takes what happened to the last step.
    pub fn on(&mut self, event: LeaseEvent, now: Now) -> LeaseStep {
        match event {
            LeaseEvent::Committed { version } => {
                self.confirm(version, now);
                LeaseStep::Idle
            }
            LeaseEvent::Read(row) | LeaseEvent::Conflict(row) => self.compare(row, now),
            LeaseEvent::Lost => LeaseStep::Read,
            LeaseEvent::Down => {
                self.pending = None;
                LeaseStep::Idle
            }
        }
    }

    fn write(&mut self, now: Now) -> LeaseStep {
        self.row.seq += 1;
        self.last_sent_at = now;
        self.pending = Some(Pending {
            seq: self.row.seq,
            state: self.row.state,
            sent_at: now,
        });
        LeaseStep::Commit {
            check: Some(self.version),
            value: ByteString::from(self.row.to_string()),
        }
    }

    fn confirm(&mut self, version: u64, now: Now) {
        self.version = version;
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.written_state = pending.state;
        // The write may have taken effect only now, and others may have taken what this holder
        // had in the time since its lease lapsed.
        if now >= self.valid_until && self.guards.count_gaps {
            self.gaps += 1;
        }
        self.valid_until = self.valid_until.max(self.end_of(pending.sent_at, now));
    }

    /// Learns from the row what became of a renewal, or who else has it.
    fn compare(&mut self, current: Option<VersionedLease>, now: Now) -> LeaseStep {
        let Some(current) = current else {
            return self.supersede();
        };
        if current.row.incarnation != self.row.incarnation {
            return self.supersede();
        }
        self.version = current.version;
        match self.pending {
            Some(pending) if pending.seq == current.row.seq => {
                self.confirm(current.version, now);
                LeaseStep::Idle
            }
            Some(_) => self.write(now),
            None => LeaseStep::Idle,
        }
    }

    fn supersede(&mut self) -> LeaseStep {
        self.superseded = true;
        self.pending = None;
        LeaseStep::Superseded
    }

    /// End of a lease whose renewal was sent at `sent_at` and is known of at `now`.
    ///
    /// Counted from the answer it would outlive what observers grant: they may have seen the row
    /// long before a slow answer came, and take the holder's share while it still uses it.
    fn end_of(&self, sent_at: Now, now: Now) -> Now {
        let from = if self.guards.count_from_send {
            sent_at
        } else {
            now
        };
        let held_for = if self.guards.drift {
            self.terms.held_for()
        } else {
            self.terms.ttl
        };
        from + held_for
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}#{} {} until {} ms, {} gaps",
            self.row.identity.instance,
            self.row.incarnation,
            self.row.state,
            self.valid_until().as_millis(),
            self.gaps
        )
    }
}
