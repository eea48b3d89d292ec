//! Renewal of a held lease and the time until which it is valid.

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

/// Renewal that is waiting for its answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Pending {
    seq: u64,
    state: LeaseState,
    sent_at: Now,
}

/// Holder of a lease.
///
/// Invariant: `valid_until` is the send time of a renewal that is known to have taken effect, plus
/// the time for which a holder relies on it. Only the clock ends a lease, so a process that was
/// paused gets a correct answer when it calls [`LeaseHolder::is_valid`] again after it resumes.
///
/// One step is in progress at a time. Each step gets exactly one event; a step that timed out counts
/// as one whose answer was lost.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseHolder {
    row: LeaseRow,
    /// Last known version of the row.
    version: u64,
    terms: LeaseTerms,
    guards: Guards,
    valid_until: Now,
    /// When the last renewal was sent, whether or not it was answered.
    last_sent_at: Now,
    /// Lease state that the row is known to have.
    written_state: LeaseState,
    /// Renewal that has no answer yet.
    pending: Option<Pending>,
    gaps: u64,
    superseded: bool,
}

impl LeaseHolder {
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
        holder.valid_until = holder.lease_end(sent_at, now);
        holder
    }

    /// Whether the lease is held at `now`. Call it again after every wait.
    pub fn is_valid(&self, now: Now) -> bool {
        now < self.valid_until()
    }

    /// Known end of the lease by this process's clock; zero once it is released or superseded.
    pub fn valid_until(&self) -> Now {
        if self.superseded || self.row.state == LeaseState::Left {
            Now::ZERO
        } else {
            self.valid_until
        }
    }

    /// Number of times that the lease lapsed and was renewed later.
    ///
    /// Others may have taken over in between what was held under the lease. When this number grows,
    /// the caller must drop what it held and read its current assignment.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Whether another incarnation has taken the row.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Name and location of the holder.
    pub fn identity(&self) -> &Identity {
        &self.row.identity
    }

    /// Incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.row.incarnation
    }

    /// Lease state of this incarnation.
    pub fn state(&self) -> LeaseState {
        self.row.state
    }

    /// Last known version of the row, for transactions that depend on the lease.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Writes the row if a renewal is due or the lease state has changed.
    pub fn tick(&mut self, now: Now) -> LeaseStep {
        if self.superseded || self.pending.is_some() {
            return LeaseStep::Idle;
        }
        let state_changed = self.row.state != self.written_state;
        let due = now >= self.last_sent_at + self.terms.renew_every;
        let renews = due && self.row.state != LeaseState::Left;
        if state_changed || renews {
            self.write(now)
        } else {
            LeaseStep::Idle
        }
    }

    /// Stops taking new work. The next tick writes that to the row, and the lease continues.
    pub fn leave(&mut self) {
        self.row.state = self.row.state.max(LeaseState::Leaving);
    }

    /// Releases the lease. It is not held from this call on; the next tick writes that to the row.
    pub fn release(&mut self) {
        self.row.state = LeaseState::Left;
    }

    /// Whether the row is known to show the lease as released.
    pub fn is_released(&self) -> bool {
        self.written_state == LeaseState::Left
    }

    /// Handles the outcome of the last step and returns the next one.
    pub fn on_event(&mut self, event: LeaseEvent, now: Now) -> LeaseStep {
        match event {
            LeaseEvent::Committed { version } => {
                self.confirm(version, now);
                LeaseStep::Idle
            }
            LeaseEvent::Read(row) | LeaseEvent::Conflict(row) => self.reconcile(row, now),
            LeaseEvent::OutcomeUnknown => LeaseStep::Read,
            LeaseEvent::NotExecuted => {
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
        // The write may have taken effect only now, and since the lease lapsed others may have
        // taken over what this holder had.
        if now >= self.valid_until && self.guards.count_gaps {
            self.gaps += 1;
        }
        self.valid_until = self.valid_until.max(self.lease_end(pending.sent_at, now));
    }

    /// Determines from the row whether a pending renewal took effect or another process has the row.
    fn reconcile(&mut self, current: Option<VersionedLease>, now: Now) -> LeaseStep {
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

    /// End of a lease whose renewal was sent at `sent_at` and confirmed at `now`.
    ///
    /// A lease counted from the answer would outlast the time that observers allow: they may have
    /// read the row long before a slow answer arrived, and would take over the holder's share while
    /// it is still in use.
    fn lease_end(&self, sent_at: Now, now: Now) -> Now {
        let start = if self.guards.count_from_send {
            sent_at
        } else {
            now
        };
        let held_for = if self.guards.drift {
            self.terms.held_for()
        } else {
            self.terms.ttl
        };
        start + held_for
    }
}

impl fmt::Display for LeaseHolder {
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
