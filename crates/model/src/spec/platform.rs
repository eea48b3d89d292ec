//! The platform as used by accepts, and an accept with its pending request. The tests of `spec` also
//! step through both.

use bytes::Bytes;
use spec::{
    Accept,
    AcceptAction,
    AcceptEvent,
    Check,
    CommitOutcome,
    Digest,
    Guards,
    Head,
    Proposal,
    RowKey,
    RowValue,
    Write, //
};
use std::collections::BTreeMap;

/// In-memory platform: objects by digest, and rows that change by compare-and-set.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct AcceptPlatform {
    objects: BTreeMap<Digest, Bytes>,
    rows: BTreeMap<RowKey, RowValue>,
    commits: u64,
    /// Heads in the order in which they were committed.
    heads: Vec<Head>,
    /// Whether a head was committed before its object was stored.
    head_before_object: bool,
}

impl AcceptPlatform {
    /// Stores an object.
    pub fn store(&mut self, digest: Digest, bytes: Bytes) {
        self.objects.insert(digest, bytes);
    }

    /// Returns an object, if it is stored.
    pub fn object(&self, digest: &Digest) -> Option<&Bytes> {
        self.objects.get(digest)
    }

    /// Returns the current rows of `keys`.
    pub fn read(&self, keys: &[RowKey]) -> Vec<Option<RowValue>> {
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// Applies the writes if all checks hold.
    pub fn commit(&mut self, checks: &[Check], writes: &[Write]) -> CommitOutcome {
        let holds = |check: &Check| {
            let row = self.rows.get(&check.key);
            row.map(|row| row.row_version) == check.row_version
        };
        if !checks.iter().all(holds) {
            return CommitOutcome::Conflict;
        }
        self.commits += 1;
        for write in writes {
            self.write(write);
        }
        CommitOutcome::Committed
    }

    fn write(&mut self, write: &Write) {
        let row = RowValue {
            row_version: self.commits,
            value: write.value.clone(),
        };
        self.rows.insert(write.key, row);
        if write.key == RowKey::Head {
            let head: Head = write.value.parse().expect("the row contains a valid head");
            self.head_before_object |= !self.objects.contains_key(&head.digest);
            self.heads.push(head);
        }
    }

    /// Heads in the order in which they were committed.
    pub fn heads(&self) -> &[Head] {
        &self.heads
    }

    /// Checks that versions are consecutive and that each head was committed after its object.
    ///
    /// # Errors
    ///
    /// A description of the violation.
    pub fn check(&self) -> Result<(), String> {
        for (version, head) in (1..).zip(&self.heads) {
            if head.version != version {
                let found = head.version;
                return Err(format!(
                    "the versions are not consecutive: {found} instead of {version}"
                ));
            }
            if !self.objects.contains_key(&head.digest) || self.head_before_object {
                return Err(format!(
                    "the head of version {version} names an object that isn't stored"
                ));
            }
        }
        Ok(())
    }
}

/// An accept and its pending action.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AcceptRunner {
    /// The accept.
    pub accept: Accept,
    /// Its next request, or its outcome.
    pub action: AcceptAction,
}

impl AcceptRunner {
    /// Starts an accept.
    pub fn start(proposal: Proposal, guards: Guards) -> Self {
        let (accept, action) = Accept::start(proposal, guards);
        Self { accept, action }
    }

    /// Delivers the answer to its request and stores the next action.
    ///
    /// # Panics
    ///
    /// Panics if `event` is not an answer to the pending request.
    pub fn deliver(&mut self, event: AcceptEvent) {
        let action = self.accept.handle(event);
        self.action = action.expect("the event answers the pending request");
    }
}
