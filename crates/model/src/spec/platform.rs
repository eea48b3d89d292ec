//! The platform as accepts use it, and an accept with its next request; the tests of `spec` drive
//! both by hand.

use bytes::Bytes;
use spec::{
    Accept,
    AcceptAction,
    AcceptEvent,
    Check,
    CommitAnswer,
    Digest,
    Guards,
    Head,
    Proposal,
    RowKey,
    RowValue,
    Write, //
};
use std::collections::BTreeMap;

/// Objects by digest, and rows that change by compare-and-set.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct AcceptPlatform {
    objects: BTreeMap<Digest, Bytes>,
    rows: BTreeMap<RowKey, RowValue>,
    commits: u64,
    /// Heads in the order in which they came into force.
    heads: Vec<Head>,
    /// Whether a head came into force before its object was stored.
    headless: bool,
}

impl AcceptPlatform {
    /// Keeps an object.
    pub fn store(&mut self, digest: Digest, bytes: Bytes) {
        self.objects.insert(digest, bytes);
    }

    /// An object, if it is kept.
    pub fn object(&self, digest: &Digest) -> Option<&Bytes> {
        self.objects.get(digest)
    }

    /// Rows as they are now.
    pub fn read(&self, keys: &[RowKey]) -> Vec<Option<RowValue>> {
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// Carries out a transaction, if its checks hold.
    pub fn commit(&mut self, checks: &[Check], writes: &[Write]) -> CommitAnswer {
        let holds = |check: &Check| {
            let row = self.rows.get(&check.key);
            row.map(|row| row.row_version) == check.row_version
        };
        if !checks.iter().all(holds) {
            return CommitAnswer::Conflict;
        }
        self.commits += 1;
        for write in writes {
            self.write(write);
        }
        CommitAnswer::Committed
    }

    fn write(&mut self, write: &Write) {
        let row = RowValue {
            row_version: self.commits,
            value: write.value.clone(),
        };
        self.rows.insert(write.key, row);
        if write.key == RowKey::Head {
            let head: Head = write.value.parse().expect("only heads are written");
            self.headless |= !self.objects.contains_key(&head.digest);
            self.heads.push(head);
        }
    }

    /// Heads in the order in which they came into force.
    pub fn heads(&self) -> &[Head] {
        &self.heads
    }

    /// Checks that versions follow each other and that each head came after its object.
    ///
    /// # Errors
    ///
    /// What does not hold.
    pub fn check(&self) -> Result<(), String> {
        for (version, head) in (1..).zip(&self.heads) {
            if head.version != version {
                let found = head.version;
                return Err(format!(
                    "the versions don't follow each other: {found} for {version}"
                ));
            }
            if !self.objects.contains_key(&head.digest) || self.headless {
                return Err(format!(
                    "the head of version {version} names an object that isn't stored"
                ));
            }
        }
        Ok(())
    }
}

/// An accept and what it does next.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AcceptRunner {
    /// The accept.
    pub accept: Accept,
    /// Its next request, or its end.
    pub action: AcceptAction,
}

impl AcceptRunner {
    /// Starts an accept.
    pub fn start(proposal: Proposal, guards: Guards) -> Self {
        let (accept, action) = Accept::start(proposal, guards);
        Self { accept, action }
    }

    /// Gives it the answer to its request.
    ///
    /// # Panics
    ///
    /// The accept asked for another answer.
    pub fn deliver(&mut self, event: AcceptEvent) {
        let action = self.accept.handle(event);
        self.action = action.expect("the answer was asked for");
    }
}
