//! Acquisition of a lease with the next incarnation.

use crate::{
    Guards,
    Identity,
    LeaseEvent,
    LeaseHolder,
    LeaseRow,
    LeaseState,
    LeaseStep,
    LeaseTerms,
    VersionedLease, //
};
use base::Now;
use bytestring::ByteString;

/// Process that does not hold a lease yet.
///
/// It writes the successor of the last incarnation on the condition that the row is unchanged since
/// it was read, so two processes that start under one name get different incarnations. After a lost
/// answer it reads the row again and takes the next incarnation: an incarnation may stay unused but
/// is never used twice.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Joining {
    identity: Identity,
    terms: LeaseTerms,
    guards: Guards,
    /// Row that was written and when it was sent, until the answer arrives.
    sent: Option<(LeaseRow, Now)>,
}

/// Progress of a join.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum JoinProgress {
    /// No lease yet: run this step; after `Idle`, continue at the next tick with [`Joining::read`].
    Pending(Joining, LeaseStep),
    /// The lease is held.
    Joined(LeaseHolder),
}

impl Joining {
    /// Creates a joining process; its first step is [`Joining::read`].
    pub fn new(identity: Identity, terms: LeaseTerms, guards: Guards) -> Self {
        Self {
            identity,
            terms,
            guards,
            sent: None,
        }
    }

    /// Step that starts or restarts the join.
    pub fn read(&self) -> LeaseStep {
        LeaseStep::Read
    }

    /// Handles the outcome of the last step.
    pub fn on_event(mut self, event: LeaseEvent, now: Now) -> JoinProgress {
        match event {
            LeaseEvent::Conflict(_) if !self.guards.compare_and_set => self.committed(0, now),
            LeaseEvent::Read(row) | LeaseEvent::Conflict(row) => self.write_next(row, now),
            LeaseEvent::Committed { version } => self.committed(version, now),
            LeaseEvent::OutcomeUnknown => {
                self.sent = None;
                JoinProgress::Pending(self, LeaseStep::Read)
            }
            LeaseEvent::NotExecuted => {
                self.sent = None;
                JoinProgress::Pending(self, LeaseStep::Idle)
            }
        }
    }

    fn write_next(mut self, current: Option<VersionedLease>, now: Now) -> JoinProgress {
        let check = current.as_ref().map(|current| current.version);
        let last = current.map_or(0, |current| current.row.incarnation);
        let row = LeaseRow {
            identity: self.identity.clone(),
            incarnation: last + 1,
            seq: 1,
            state: LeaseState::Live,
        };
        let value = ByteString::from(row.to_string());
        self.sent = Some((row, now));
        JoinProgress::Pending(self, LeaseStep::Commit { check, value })
    }

    fn committed(self, version: u64, now: Now) -> JoinProgress {
        match self.sent.clone() {
            Some((row, sent_at)) => {
                let holder = LeaseHolder::new(row, version, sent_at, now, self.terms, self.guards);
                JoinProgress::Joined(holder)
            }
            None => JoinProgress::Pending(self, LeaseStep::Read),
        }
    }
}
