//! State of a small pool: its members, and the table, the messages and the work around them.

use base::Now;
use foldhash::fast::FixedState;
use share::{
    Amounts,
    Member,
    PoolHeartbeat,
    ResourceId,
    Row, //
    Transfer,
};
use std::{
    hash::{
        BuildHasher,
        Hash,
        Hasher, //
    },
    sync::Arc, //
};

/// State machine with its hash, which is taken once and not at each look-up of a state.
#[derive(Clone, Eq)]
pub(super) struct Cell {
    hash: u64,
    pub(super) member: Arc<Member>,
}

impl Cell {
    pub(super) fn new(member: Member) -> Self {
        Self {
            hash: FixedState::default().hash_one(&member),
            member: Arc::new(member),
        }
    }
}

impl PartialEq for Cell {
    fn eq(&self, other: &Self) -> bool {
        let same = Arc::ptr_eq(&self.member, &other.member);
        same || (self.hash == other.hash && self.member == other.member)
    }
}

impl Hash for Cell {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.hash.hash(hasher);
    }
}

/// Renewal on its way.
#[derive(Clone, Eq, Hash, PartialEq)]
pub(super) struct Renewal {
    pub(super) seq: u64,
    pub(super) sent_at: Now,
    pub(super) taken: bool,
}

/// A member and what surrounds it.
#[derive(Clone, Eq, Hash, PartialEq)]
pub(super) struct Node {
    pub(super) cell: Cell,
    /// Its lease in the table; zero before the first.
    pub(super) lease: u64,
    pub(super) renewal: Option<Renewal>,
    /// Seconds at which each piece of work in flight ends at the latest.
    pub(super) work: Vec<u64>,
}

/// State of the whole pool.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct World {
    pub(super) now: u64,
    pub(super) row: Arc<Row>,
    pub(super) nodes: Vec<Node>,
    pub(super) late_beat: Option<(usize, Arc<PoolHeartbeat>)>,
    pub(super) gives: Vec<Transfer>,
    /// What the verifier found in a row that was written.
    pub(super) finding: Option<String>,
}

pub(super) fn resource() -> ResourceId {
    ResourceId::from_static("u")
}

pub(super) fn tokens(n: u32) -> Amounts {
    Amounts::from([(resource(), n)])
}

impl World {
    /// Seconds since the start.
    pub fn seconds(&self) -> u64 {
        self.now
    }

    pub(super) fn member(&self, index: usize) -> &Member {
        &self.nodes[index].cell.member
    }

    /// Replaces the member at `index` by what `change` makes of it.
    pub(super) fn change(&mut self, index: usize, change: impl FnOnce(&mut Member)) {
        let mut member = Member::clone(self.member(index));
        change(&mut member);
        self.nodes[index].cell = Cell::new(member);
    }

    /// Tokens that the member at `index` may be using.
    pub(super) fn use_of(&self, index: usize, now: Now) -> u32 {
        let in_flight = u32::try_from(self.nodes[index].work.len()).unwrap_or(u32::MAX);
        self.member(index).usable(&resource(), now).max(in_flight)
    }

    pub(super) fn report_work(&mut self, index: usize) {
        let n = u32::try_from(self.nodes[index].work.len()).unwrap_or(u32::MAX);
        let mut in_flight = tokens(n);
        in_flight.retain(|_, n| *n > 0);
        self.change(index, |member| member.set_in_flight(in_flight));
    }
}
