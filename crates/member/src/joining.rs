//! Taking the lease, with the next incarnation.

use crate::{
    Guards,
    Holder,
    Identity,
    LeaseEvent,
    LeaseRow,
    LeaseState,
    LeaseStep,
    LeaseTerms,
    VersionedLease, //
};
use base::Now;
use bytestring::ByteString;

/// A process that has no lease yet.
///
/// The incarnation is the last one's successor, taken on the condition that the row is as it was
/// read: of two processes that start with one name each gets its own. After a lost answer it
/// reads again and takes one more; an incarnation may go unused, never be used twice.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Joining {
    identity: Identity,
    terms: LeaseTerms,
    guards: Guards,
    /// The row that was sent, and when, while its answer is awaited.
    sent: Option<(LeaseRow, Now)>,
}

/// What became of a join.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Joined {
    /// Not yet: do this; after `Idle` go on at the next tick with [`Joining::read`].
    Not(Joining, LeaseStep),
    /// The lease is held.
    Holder(Holder),
}

impl Joining {
    /// Starts; the first step is [`LeaseStep::Read`].
    pub fn new(identity: Identity, terms: LeaseTerms, guards: Guards) -> Self {
        Self {
            identity,
            terms,
            guards,
            sent: None,
        }
    }

    /// The step that begins, and begins again.
    pub fn read(&self) -> LeaseStep {
        LeaseStep::Read
    }

    /// Takes what happened to the last step.
    pub fn on(mut self, event: LeaseEvent, now: Now) -> Joined {
        match event {
            LeaseEvent::Conflict(_) if !self.guards.compare_and_set => self.committed(0, now),
            LeaseEvent::Read(row) | LeaseEvent::Conflict(row) => self.take(row, now),
            LeaseEvent::Committed { version } => self.committed(version, now),
            LeaseEvent::Lost => {
                self.sent = None;
                Joined::Not(self, LeaseStep::Read)
            }
            LeaseEvent::Down => {
                self.sent = None;
                Joined::Not(self, LeaseStep::Idle)
            }
        }
    }

    fn take(mut self, current: Option<VersionedLease>, now: Now) -> Joined {
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
        Joined::Not(self, LeaseStep::Commit { check, value })
    }

    fn committed(self, version: u64, now: Now) -> Joined {
        match self.sent.clone() {
            Some((row, sent_at)) => {
                let holder = Holder::new(row, version, sent_at, now, self.terms, self.guards);
                Joined::Holder(holder)
            }
            None => Joined::Not(self, LeaseStep::Read),
        }
    }
}
