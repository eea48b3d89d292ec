//! Executes the platform requests of the accept state machine.

use crate::process::control::config::accept::Driver;
use bytes::Bytes;
use bytestring::ByteString;
use op::Refusal;
use plat::{
    FailureReason,
    Objects as _,
    Outcome,
    Table as _,
    Txn, //
};
use spec::{
    AcceptAction,
    AcceptEvent,
    AcceptOutcome,
    CommitOutcome,
    Digest,
    Guards,
    Proposal,
    RowKey,
    RowValue, //
    WriteOutcome,
};

impl Driver {
    /// Runs the accept to completion.
    pub(super) async fn run(&mut self, proposal: &Proposal) -> Result<AcceptOutcome, Refusal> {
        let (mut accept, mut action) = spec::Accept::start(proposal.clone(), Guards::ALL);
        loop {
            let pause = accept.backoff();
            if !pause.is_zero() {
                actix_rt::time::sleep(pause).await;
            }
            let event = match action {
                AcceptAction::Store { digest, bytes } => {
                    AcceptEvent::Stored(self.store(digest, bytes).await)
                }
                AcceptAction::Read { keys } => AcceptEvent::Rows(self.read(&keys).await),
                AcceptAction::Commit { checks, writes } => {
                    AcceptEvent::Commit(self.commit(checks, writes).await)
                }
                AcceptAction::Finish(outcome) => return Ok(outcome),
            };
            action = accept.handle(event).ok_or_else(|| Refusal::Unknown {
                detail: "the accept got an answer to nothing that it asked".to_owned(),
            })?;
        }
    }

    async fn store(&mut self, digest: Digest, bytes: Bytes) -> WriteOutcome<()> {
        let stored = self.platform.put(&digest.object_name(), bytes).await;
        self.answer("storing the configuration", stored)
    }

    async fn read(&mut self, keys: &[RowKey]) -> Option<Vec<Option<RowValue>>> {
        let keys: Vec<ByteString> = keys.iter().map(|key| key.to_string().into()).collect();
        let rows = match self.platform.read(&keys).await {
            Ok(rows) => rows,
            Err(error) => {
                self.last_failure = format!("reading the version in force: {error}");
                return None;
            }
        };
        let to_value = |row: plat::Row| RowValue {
            row_version: row.version,
            value: row.value,
        };
        Some(rows.into_iter().map(|row| row.map(to_value)).collect())
    }

    async fn commit(
        &mut self,
        checks: Vec<spec::Check>,
        writes: Vec<spec::Write>,
    ) -> WriteOutcome<CommitOutcome> {
        let txn = Txn {
            checks: checks.into_iter().map(to_check).collect(),
            writes: writes.into_iter().map(to_write).collect(),
        };
        let committed = self.platform.commit(txn).await;
        match self.answer("committing the version", committed) {
            WriteOutcome::Done(plat::Commit::Committed { .. }) => {
                WriteOutcome::Done(CommitOutcome::Committed)
            }
            WriteOutcome::Done(plat::Commit::Conflict { .. }) => {
                WriteOutcome::Done(CommitOutcome::Conflict)
            }
            WriteOutcome::NotDone => WriteOutcome::NotDone,
            WriteOutcome::Unknown => WriteOutcome::Unknown,
        }
    }

    fn answer<T>(&mut self, what: &str, outcome: Outcome<T>) -> WriteOutcome<T> {
        let mut failed = |why: FailureReason| self.last_failure = format!("{what}: {why}");
        match outcome {
            Outcome::Done(done) => WriteOutcome::Done(done),
            Outcome::NotDone(why) => {
                failed(why);
                WriteOutcome::NotDone
            }
            Outcome::Unknown(why) => {
                failed(why);
                WriteOutcome::Unknown
            }
        }
    }
}

fn to_check(check: spec::Check) -> plat::Check {
    let key = check.key.to_string().into();
    match check.row_version {
        Some(version) => plat::Check::Version { key, version },
        None => plat::Check::Absent { key },
    }
}

fn to_write(write: spec::Write) -> plat::Write {
    plat::Write::Put {
        key: write.key.to_string().into(),
        value: write.value,
    }
}
