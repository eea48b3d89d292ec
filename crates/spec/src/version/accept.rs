//! An operator's accept: stores the objects first, then moves the head by compare-and-set.
//!
//! The state machine takes the platform's answers and returns the next request. All rows of an
//! accept are written in one transaction: the head, the row of the history, and a row under the
//! accept id. The row under the accept id makes a repeated request harmless, and shows whether a
//! commit whose answer was lost took effect:
//!
//! - The row exists: the accept took effect, even if later versions followed.
//! - The row is absent and the head has moved: the commit's check of the head fails, so it can
//!   never take effect. Another operator's accept came first.
//! - The row is absent and the head has not moved: the commit may still be in flight, so the same
//!   commit is sent again. Both check the same head, so at most one takes effect.
//!
//! The commit checks only the head's row. Every transaction that writes the row of an accept id
//! also writes the head, so if the head has not moved since both rows were read, neither has
//! changed.

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

/// Number of failed requests after which an accept gives up.
const MAX_FAILURES: u8 = 6;
/// Backoff before the first retry of a failed request; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Key of a row in the platform's table that versions use.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RowKey {
    /// The head of the version in force.
    Head,
    /// The head of one version, in the history.
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

/// Row as read from the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowValue {
    /// Version of the row in the table.
    pub row_version: u64,
    /// Text of the row.
    pub value: ByteString,
}

/// Condition of a commit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Check {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have in the table; `None` if the row must be absent.
    pub row_version: Option<u64>,
}

/// Write to a row in a commit.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Write {
    /// Key of the row.
    pub key: RowKey,
    /// Text of the row.
    pub value: ByteString,
}

/// Outcome of a request that changes state in the platform.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WriteOutcome<T> {
    /// The request took effect.
    Done(T),
    /// The request did not take effect and never will.
    NotDone,
    /// The request may have taken effect or may still do so.
    Unknown,
}

/// The table's answer to a commit.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CommitOutcome {
    /// All writes were made.
    Committed,
    /// A check failed and nothing was written; the machine reads the rows next.
    Conflict,
}

/// Next action for the driver of an accept.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AcceptAction {
    /// Store an object under its digest, then pass [`AcceptEvent::Stored`].
    Store {
        /// Digest of the object.
        digest: Digest,
        /// Content of the object.
        bytes: Bytes,
    },
    /// Read these rows in one consistent read, then pass [`AcceptEvent::Rows`].
    Read {
        /// Keys of the rows.
        keys: Vec<RowKey>,
    },
    /// Make all writes if all checks succeed, then pass [`AcceptEvent::Commit`].
    Commit {
        /// Conditions of the commit.
        checks: Vec<Check>,
        /// Writes of the commit.
        writes: Vec<Write>,
    },
    /// Answer the operator; the accept has ended.
    Finish(AcceptOutcome),
}

/// Answer of the platform to an action.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AcceptEvent {
    /// Answer to [`AcceptAction::Store`].
    Stored(WriteOutcome<()>),
    /// Answer to [`AcceptAction::Read`], with the rows in the order of the keys; `None` if the read
    /// failed.
    Rows(Option<Vec<Option<RowValue>>>),
    /// Answer to [`AcceptAction::Commit`].
    Commit(WriteOutcome<CommitOutcome>),
}

/// Outcome of an accept.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AcceptOutcome {
    /// The proposal was accepted as this version.
    Accepted(Head),
    /// An earlier request with the same accept id was accepted as this version.
    AlreadyAccepted(Head),
    /// Another accept came first; this one was not accepted and can't be on this base.
    Raced {
        /// Head in force; `None` if there is no version although the proposal has a base.
        head: Option<Head>,
    },
    /// This request changed nothing and never will. An earlier request with the same accept id may
    /// have taken effect; only a conclusive outcome of a repeated request shows that.
    NotAccepted,
    /// The outcome is unknown; a repeated request with the same accept id and base can resolve it.
    Unknown,
}

/// Stage of an accept.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Stage {
    /// The object at this index is being stored.
    Storing(usize),
    /// The head and the row of the accept id are being read.
    Reading,
    /// The head is being committed.
    Committing {
        /// Version of the head's row as it was read; `None` if the row was absent.
        row_version: Option<u64>,
    },
    /// The accept has ended with this outcome.
    Finished(AcceptOutcome),
}

/// State machine of an operator's accept.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Accept {
    /// Proposal to accept.
    proposal: Proposal,
    /// Guards of the protocol.
    guards: Guards,
    /// Current stage.
    stage: Stage,
    /// Number of failed requests so far.
    failures: u8,
    /// Whether a commit was sent whose outcome is unknown.
    in_doubt: bool,
}

impl Accept {
    /// Starts an accept and returns its first action.
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

    /// Handles an answer and returns the next action; `None` if the answer doesn't fit the last
    /// action.
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

    /// Time to wait before the next action; it grows with the number of failures.
    pub fn backoff(&self) -> Duration {
        match self.failures {
            0 => Duration::ZERO,
            failures => INITIAL_BACKOFF * (1 << (failures - 1)),
        }
    }

    /// Outcome of the accept, once it has ended.
    pub fn outcome(&self) -> Option<&AcceptOutcome> {
        match &self.stage {
            Stage::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Proposal to accept.
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// Handles the answer to storing an object.
    fn on_stored(&mut self, index: usize, answer: &WriteOutcome<()>) -> AcceptAction {
        match answer {
            WriteOutcome::Done(()) => self.store(index + 1),
            // Objects are immutable, so an object can safely be stored again.
            WriteOutcome::NotDone | WriteOutcome::Unknown => {
                self.after_failure(|accept| accept.store(index))
            }
        }
    }

    /// Handles the rows of the head and of the accept id.
    fn on_rows(&mut self, rows: Option<Vec<Option<RowValue>>>) -> AcceptAction {
        let Some(parsed) = rows.and_then(AcceptRows::parse) else {
            return self.after_failure(Self::read);
        };
        // Without this check, an accept whose commit took effect but whose answer was lost would be
        // reported as raced, and a repeated request on a later base would be accepted again and
        // overwrite the versions in between.
        if let Some(head) = parsed.accepted.filter(|_| self.guards.find_accept_id) {
            return self.finish(if self.in_doubt {
                AcceptOutcome::Accepted(head)
            } else {
                AcceptOutcome::AlreadyAccepted(head)
            });
        }
        let version = parsed.head.as_ref().map_or(0, |head| head.version);
        if version != self.proposal.base {
            return self.finish(AcceptOutcome::Raced { head: parsed.head });
        }
        self.commit(parsed.row_version)
    }

    /// Handles the answer to a commit.
    fn on_commit(
        &mut self,
        row_version: Option<u64>,
        answer: WriteOutcome<CommitOutcome>,
    ) -> AcceptAction {
        match answer {
            WriteOutcome::Done(CommitOutcome::Committed) => {
                let outcome = AcceptOutcome::Accepted(self.next_head());
                self.finish_or_store(outcome)
            }
            // Either an earlier commit of this accept took effect, or another accept came first.
            WriteOutcome::Done(CommitOutcome::Conflict) => self.after_failure(Self::read),
            WriteOutcome::NotDone => self.after_failure(|accept| accept.commit(row_version)),
            // The answer can be lost after the commit took effect. If that were treated as "not
            // done", the operator would see "not accepted" while the daemons adopt the change, and
            // might accept it again over another operator's later change.
            WriteOutcome::Unknown if self.guards.read_back => {
                self.in_doubt = true;
                self.after_failure(Self::read)
            }
            WriteOutcome::Unknown => self.finish(AcceptOutcome::NotAccepted),
        }
    }

    /// Stores the object at `index`, or continues if all objects are stored.
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

    /// Finishes a committed accept. With `objects_first` off, the objects are stored only now.
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

    /// Commits the next head if the head's row still has this version.
    fn commit(&mut self, row_version: Option<u64>) -> AcceptAction {
        self.stage = Stage::Committing { row_version };
        let head = self.next_head();
        let mut checks = Vec::new();
        if self.guards.check_head {
            // Without this check, two operators who read the same head would both write the next
            // version, and the first operator's change would be lost silently.
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

    /// Head of the version that this accept makes.
    fn next_head(&self) -> Head {
        Head {
            version: self.proposal.base + 1,
            digest: self.proposal.body,
            accept_id: self.proposal.accept_id,
            author: self.proposal.author.clone(),
            accepted_at_ms: self.proposal.accepted_at_ms,
        }
    }

    /// Counts a failure, then continues with `next` or gives up after [`MAX_FAILURES`].
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

    /// Ends the accept with this outcome.
    fn finish(&mut self, outcome: AcceptOutcome) -> AcceptAction {
        self.stage = Stage::Finished(outcome.clone());
        AcceptAction::Finish(outcome)
    }
}

/// Rows of the head and of the accept id, parsed.
struct AcceptRows {
    /// Version of the head's row in the table; `None` if the row is absent.
    row_version: Option<u64>,
    /// Head in force.
    head: Option<Head>,
    /// Head in the row of the accept id.
    accepted: Option<Head>,
}

impl AcceptRows {
    /// Parses the rows; `None` if there are not exactly two or one is not a head.
    fn parse(rows: Vec<Option<RowValue>>) -> Option<Self> {
        let [head, accepted] = <[_; 2]>::try_from(rows).ok()?;
        let parse_head = |row: Option<&RowValue>| row.map(|row| row.value.parse()).transpose().ok();
        Some(Self {
            row_version: head.as_ref().map(|row| row.row_version),
            head: parse_head(head.as_ref())?,
            accepted: parse_head(accepted.as_ref())?,
        })
    }
}
