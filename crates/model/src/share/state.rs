//! State of a small pool: members, the platform's table, messages and work in flight.

use base::Now;
use foldhash::fast::FixedState;
use share::{
    Amounts,
    Member,
    PoolHeartbeat,
    ResourceId,
    Row,
    Transfer, //
};
use std::{
    hash::{
        BuildHasher,
        Hash,
        Hasher, //
    },
    sync::Arc, //
};

/// Member with its hash, which is computed once instead of at each lookup of a state.
#[derive(Clone, Eq)]
pub(super) struct HashedMember {
    hash: u64,
    pub(super) member: Arc<Member>,
}

impl HashedMember {
    pub(super) fn new(member: Member) -> Self {
        Self {
            hash: FixedState::default().hash_one(&member),
            member: Arc::new(member),
        }
    }
}

impl PartialEq for HashedMember {
    fn eq(&self, other: &Self) -> bool {
        let same = Arc::ptr_eq(&self.member, &other.member);
        same || (self.hash == other.hash && self.member == other.member)
    }
}

impl Hash for HashedMember {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.hash.hash(hasher);
    }
}

/// Renewal in flight.
#[derive(Clone, Eq, Hash, PartialEq)]
pub(super) struct Renewal {
    pub(super) seq: u64,
    pub(super) sent_at: Now,
    /// Whether the table has committed it.
    pub(super) committed: bool,
}

/// A member with its lease, renewal and work.
#[derive(Clone, Eq, Hash, PartialEq)]
pub(super) struct Node {
    pub(super) hashed: HashedMember,
    /// Sequence number of its lease in the table; 0 before the first.
    pub(super) lease: u64,
    pub(super) renewal: Option<Renewal>,
    /// Deadline of each piece of work in flight, in seconds since the start.
    pub(super) work: Vec<u64>,
}

/// State of the whole pool.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ShareState {
    pub(super) now: u64,
    pub(super) row: Arc<Row>,
    pub(super) nodes: Vec<Node>,
    pub(super) delayed_heartbeat: Option<(usize, Arc<PoolHeartbeat>)>,
    pub(super) transfers: Vec<Transfer>,
    /// First error that [`share::verify_step`] found in a row that was written.
    pub(super) row_error: Option<String>,
}

pub(super) fn resource() -> ResourceId {
    ResourceId::from_static("u")
}

pub(super) fn tokens(n: u32) -> Amounts {
    Amounts::from([(resource(), n)])
}

impl ShareState {
    /// Seconds since the start.
    pub fn seconds(&self) -> u64 {
        self.now
    }

    pub(super) fn member(&self, index: usize) -> &Member {
        &self.nodes[index].hashed.member
    }

    /// Applies `change` to a copy of the member at `index` and replaces the member by it.
    pub(super) fn change(&mut self, index: usize, change: impl FnOnce(&mut Member)) {
        let mut member = Member::clone(self.member(index));
        change(&mut member);
        self.nodes[index].hashed = HashedMember::new(member);
    }

    /// Tokens that the member at `index` may be using.
    pub(super) fn usage_of(&self, index: usize, now: Now) -> u32 {
        let in_flight = u32::try_from(self.nodes[index].work.len()).unwrap_or(u32::MAX);
        self.member(index).usable(&resource(), now).max(in_flight)
    }

    pub(super) fn report_in_flight(&mut self, index: usize) {
        let n = u32::try_from(self.nodes[index].work.len()).unwrap_or(u32::MAX);
        let mut in_flight = tokens(n);
        in_flight.retain(|_, n| *n > 0);
        self.change(index, |member| member.set_in_flight(in_flight));
    }
}
