//! An operator's accept: objects first, then the head by compare-and-set.
//!
//! The machine takes what the platform answered and says what to ask next. All rows of an accept
//! are written in one transaction: the head, the history's row, and a row under the accept id. The
//! last one makes a repeat harmless and lets a lost answer be read back for certain:
//!
//! - It is there: the accept took effect, whatever came after it.
//! - It is absent and the head has moved: the commit was made on a head that is gone, so it can
//!   never take effect. Another operator won.
//! - It is absent and the head has not moved: the commit may still be on its way. So the very same
//!   commit is sent again; both check the same head, so at most one takes effect.
//!
//! The commit checks the head's row alone: whoever writes the row of this accept id writes the
//! head as well, so a head that has not moved since both were read vouches for both.

use crate::{
    AcceptId,
    Digest,
    Guards,
    Head,
    Proposal, //
};
use base::Version;
use bytes::Bytes;
use bytestring::ByteString;
use std::{
    fmt,
    time::Duration, //
};

/// Failed requests after which an accept gives up.
const MAX_FAILURES: u8 = 6;
/// Pause before the first repeat of a failed request; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Row of the platform's table that versions use.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RowKey {
    /// The head of the version in force.
    Head,
    /// The head of any version.
    Version(Version),
    /// The head that an accept made.
    Accept(AcceptId),
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head => f.write_str("head"),
            Self::Version(version) => write!(f, "version/{version}"),
            Self::Accept(id) => write!(f, "accept/{id}"),
        }
    }
}

/// Row as the table gave it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowValue {
    /// The table's version of the row.
    pub row_version: u64,
    /// Text.
    pub value: ByteString,
}

/// Condition of a commit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Check {
    /// Row.
    pub key: RowKey,
    /// The table's version that the row must have; `None` if it must be absent.
    pub row_version: Option<u64>,
}

/// Write of a commit.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Write {
    /// Row.
    pub key: RowKey,
    /// Text.
    pub value: ByteString,
}

/// What became of a request that changes something.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Answer<T> {
    /// It was carried out.
    Done(T),
    /// It was not and will not be.
    NotDone,
    /// It may have been, or may yet be.
    Unknown,
}

/// What the table said of a commit.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CommitAnswer {
    /// All writes were made.
    Committed,
    /// A check failed; nothing was written. What the checked rows hold is read next.
    Conflict,
}

/// What the driver of an accept does next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AcceptAction {
    /// Store an object under its digest, then tell [`AcceptEvent::Stored`].
    Store {
        /// Name.
        digest: Digest,
        /// Content.
        bytes: Bytes,
    },
    /// Read these rows at one time, then tell [`AcceptEvent::Rows`].
    Read {
        /// Rows.
        keys: Vec<RowKey>,
    },
    /// Make all writes if all checks hold, then tell [`AcceptEvent::Commit`].
    Commit {
        /// Conditions.
        checks: Vec<Check>,
        /// Writes.
        writes: Vec<Write>,
    },
    /// Answer the operator; there is nothing more to do.
    Finish(AcceptOutcome),
}

/// What the platform answered.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AcceptEvent {
    /// Answer to [`AcceptAction::Store`].
    Stored(Answer<()>),
    /// Answer to [`AcceptAction::Read`], in the order of the keys; `None` if the read failed.
    Rows(Option<Vec<Option<RowValue>>>),
    /// Answer to [`AcceptAction::Commit`].
    Commit(Answer<CommitAnswer>),
}

/// What became of an accept.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AcceptOutcome {
    /// It is accepted as this version.
    Accepted(Head),
    /// An earlier request with this accept id was accepted already, as this version.
    AlreadyAccepted(Head),
    /// Another accept came first: this one is not accepted, and never will be on this base.
    Raced {
        /// Head in force; `None` if there is none although the base was a version.
        head: Option<Head>,
    },
    /// This request changed nothing and never will. An earlier request with the same accept id
    /// may have: only a conclusive answer to a repeat tells.
    NotAccepted,
    /// It may or may not be accepted; repeat it with the same accept id and base to learn which.
    Unknown,
}

/// Where an accept stands.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Stage {
    /// The object at this index is being stored.
    Storing(usize),
    /// The head and the row of the accept id are being read.
    Reading,
    /// The head is being committed.
    Committing {
        /// The table's version of the head's row that was read.
        row_version: Option<u64>,
    },
    /// The operator was answered.
    Finished(AcceptOutcome),
}

/// An operator's accept on its way.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Accept {
    /// What is to be accepted.
    proposal: Proposal,
    /// Guards of the protocol.
    guards: Guards,
    /// Where it stands.
    stage: Stage,
    /// Requests that failed so far.
    failures: u8,
    /// Whether a commit was sent whose answer is not known.
    in_doubt: bool,
}

impl Accept {
    /// Starts an accept; the action is the first thing to do.
    pub fn start(proposal: Proposal, guards: Guards) -> (Self, AcceptAction) {
        let mut accept = Self {
            proposal,
            guards,
            stage: Stage::Reading,
            failures: 0,
            in_doubt: false,
        };
        let action = if guards.objects_first {
            accept.store(0)
        } else {
            accept.read()
        };
        (accept, action)
    }

    /// Takes an answer and gives the next action; `None` for an answer to nothing that was asked.
    pub fn handle(&mut self, event: AcceptEvent) -> Option<AcceptAction> {
        match (self.stage.clone(), event) {
            (Stage::Storing(index), AcceptEvent::Stored(answer)) => {
                Some(self.on_stored(index, &answer))
            }
            (Stage::Reading, AcceptEvent::Rows(rows)) => Some(self.on_rows(rows)),
            (Stage::Committing { row_version }, AcceptEvent::Commit(answer)) => {
                Some(self.on_commit(row_version, answer))
            }
            _ => None,
        }
    }

    /// Time to wait before the action, which grows with the requests that failed.
    pub fn pause(&self) -> Duration {
        match self.failures {
            0 => Duration::ZERO,
            failures => FIRST_PAUSE * (1 << (failures - 1)),
        }
    }

    /// The answer to the operator, once there is one.
    pub fn outcome(&self) -> Option<&AcceptOutcome> {
        match &self.stage {
            Stage::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// What is to be accepted.
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// Takes the answer to storing an object.
    fn on_stored(&mut self, index: usize, answer: &Answer<()>) -> AcceptAction {
        match answer {
            Answer::Done(()) => self.store(index + 1),
            // Objects are immutable, so that storing one again does no harm.
            Answer::NotDone | Answer::Unknown => self.after_failure(|accept| accept.store(index)),
        }
    }

    /// Takes the rows of the head and of the accept id.
    fn on_rows(&mut self, rows: Option<Vec<Option<RowValue>>>) -> AcceptAction {
        let Some(picture) = rows.and_then(Picture::of) else {
            return self.after_failure(Self::read);
        };
        // Without this a lost answer would be read back as "another operator won", and a repeat
        // on a later base would be accepted a second time, over whatever came between.
        if let Some(head) = picture.accepted.filter(|_| self.guards.find_accept_id) {
            return self.finish(if self.in_doubt {
                AcceptOutcome::Accepted(head)
            } else {
                AcceptOutcome::AlreadyAccepted(head)
            });
        }
        let version = picture.head.as_ref().map_or(0, |head| head.version);
        if version != self.proposal.base {
            return self.finish(AcceptOutcome::Raced { head: picture.head });
        }
        self.commit(picture.row_version)
    }

    /// Takes the answer to a commit.
    fn on_commit(
        &mut self,
        row_version: Option<u64>,
        answer: Answer<CommitAnswer>,
    ) -> AcceptAction {
        match answer {
            Answer::Done(CommitAnswer::Committed) => {
                let outcome = AcceptOutcome::Accepted(self.next_head());
                self.finish_or_store(outcome)
            }
            // Either an earlier commit of this accept took effect, or another operator won.
            Answer::Done(CommitAnswer::Conflict) => self.after_failure(Self::read),
            Answer::NotDone => self.after_failure(|accept| accept.commit(row_version)),
            // An answer can be lost after the write took effect. Taken for "not done", an operator
            // would be told that nothing changed while the daemons adopt the change, and would
            // perhaps accept it again over a colleague's later one.
            Answer::Unknown if self.guards.read_back => {
                self.in_doubt = true;
                self.after_failure(Self::read)
            }
            Answer::Unknown => self.finish(AcceptOutcome::NotAccepted),
        }
    }

    /// Stores the object at `index`, or goes on once all are stored.
    fn store(&mut self, index: usize) -> AcceptAction {
        match self.proposal.objects.get(index).cloned() {
            Some((digest, bytes)) => {
                self.stage = Stage::Storing(index);
                AcceptAction::Store { digest, bytes }
            }
            None if self.guards.objects_first => self.read(),
            None => self.finish(AcceptOutcome::Accepted(self.next_head())),
        }
    }

    /// Ends a committed accept; only with a guard off are the objects still to be stored.
    fn finish_or_store(&mut self, outcome: AcceptOutcome) -> AcceptAction {
        if self.guards.objects_first {
            self.finish(outcome)
        } else {
            self.store(0)
        }
    }

    /// Reads the head and the row of the accept id.
    fn read(&mut self) -> AcceptAction {
        self.stage = Stage::Reading;
        let keys = vec![RowKey::Head, RowKey::Accept(self.proposal.accept_id)];
        AcceptAction::Read { keys }
    }

    /// Commits the next head on the one whose row was read.
    fn commit(&mut self, row_version: Option<u64>) -> AcceptAction {
        self.stage = Stage::Committing { row_version };
        let head = self.next_head();
        let mut checks = Vec::new();
        if self.guards.check_head {
            // Two operators who read the same head would both write the next version, and the
            // first one's change would vanish without a word.
            checks.push(Check {
                key: RowKey::Head,
                row_version,
            });
        }
        let value = ByteString::from(head.to_string());
        let keys = [
            RowKey::Head,
            RowKey::Version(head.version),
            RowKey::Accept(head.accept_id),
        ];
        let writes = keys.map(|key| Write {
            key,
            value: value.clone(),
        });
        AcceptAction::Commit {
            checks,
            writes: writes.to_vec(),
        }
    }

    /// Head that this accept makes.
    fn next_head(&self) -> Head {
        Head {
            version: self.proposal.base + 1,
            digest: self.proposal.body,
            accept_id: self.proposal.accept_id,
            author: self.proposal.author.clone(),
            accepted_at_ms: self.proposal.accepted_at_ms,
        }
    }

    /// Counts a failure and goes on, unless there were too many.
    fn after_failure(&mut self, next: impl FnOnce(&mut Self) -> AcceptAction) -> AcceptAction {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return next(self);
        }
        self.finish(if self.in_doubt {
            AcceptOutcome::Unknown
        } else {
            AcceptOutcome::NotAccepted
        })
    }

    /// Answers the operator.
    fn finish(&mut self, outcome: AcceptOutcome) -> AcceptAction {
        self.stage = Stage::Finished(outcome.clone());
        AcceptAction::Finish(outcome)
    }
}

/// What the rows say.
struct Picture {
    /// The table's version of the head's row.
    row_version: Option<u64>,
    /// Head in force.
    head: Option<Head>,
    /// Head that this accept made.
    accepted: Option<Head>,
}

impl Picture {
    /// Reads the rows; `None` if they are not two or hold no heads.
    fn of(rows: Vec<Option<RowValue>>) -> Option<Self> {
        let [head, accepted] = <[_; 2]>::try_from(rows).ok()?;
        let read = |row: Option<&RowValue>| row.map(|row| row.value.parse()).transpose().ok();
        Some(Self {
            row_version: head.as_ref().map(|row| row.row_version),
            head: read(head.as_ref())?,
            accepted: read(accepted.as_ref())?,
        })
    }
}
