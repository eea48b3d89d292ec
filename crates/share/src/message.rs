//! What members tell each other, and what the daemon is asked to do.

use crate::row::{
    Amounts,
    Listed,
    MemberId,
    PoolId,
    ResourceId,
    Row, //
};
use base::{
    Epoch,
    Now, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
    sync::Arc, //
};

/// State of one member in one pool, sent to every other member with each heartbeat.
///
/// Beats may be lost, doubled and late. Each field is a fact that stays true of the moment at which
/// the beat was made, so that a late one misleads nobody.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PoolBeat {
    /// The pool.
    pub pool: PoolId,
    /// Who made it.
    pub from: MemberId,
    /// Epoch it has adopted; zero before the first.
    pub epoch: Epoch,
    /// Whether its use, work in flight included, is within its allotment of this epoch.
    pub acked: bool,
    /// Whether it has stopped for good and uses nothing.
    pub released: bool,
    /// Whether it is on the way to that.
    pub leaving: bool,
    /// Whether its live lease protects nothing until a row lists it.
    pub unlisted: bool,
    /// Sequence number of its last renewal that the platform confirmed.
    pub lease_seq: u64,
    /// Tokens it could use now.
    pub demand: u32,
    /// Tokens it holds.
    pub held: u32,
    /// When it was made, by the sender's own clock; a promise echoes it and nobody else reads it.
    pub asked: Now,
    /// `asked` of the latest beat of each other member that it answered with a promise.
    pub granted: BTreeMap<MemberId, Now>,
    /// Members that it still owes a promise.
    pub promised: BTreeSet<MemberId>,
    /// Highest lease of each other member that it knows.
    pub seen: BTreeMap<MemberId, u64>,
}

/// Tokens handed from one member to another within an epoch.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Give {
    /// The pool.
    pub pool: PoolId,
    /// Epoch outside of which it means nothing.
    pub epoch: Epoch,
    /// Whose tokens they are.
    pub resource: ResourceId,
    /// Number of tokens.
    pub n: u32,
    /// Who no longer uses them.
    pub from: MemberId,
    /// Who may use them from now on.
    pub to: MemberId,
    /// Number of the hand-over in this epoch of its giver.
    pub seq: u64,
}

impl fmt::Display for Give {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "give {} of {} from {} to {} at epoch {} (seq {})",
            self.n, self.resource, self.from, self.to, self.epoch, self.seq
        )
    }
}

/// What [`crate::Member::tick`] asks the daemon to do.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Replace the row by compare-and-set; tell the outcome by `on_row` with the row then read.
    Propose {
        /// Epoch that the table must still hold; `None` for an absent row.
        expect_epoch: Option<Epoch>,
        /// The row to write.
        row: Row,
    },
    /// Send to the receiver that it names.
    Give(Give),
    /// Send the row to a member that is behind; it may be cut off from the platform.
    SendRow {
        /// Who is behind.
        to: MemberId,
        /// The row adopted here.
        row: Arc<Row>,
    },
}

/// What traffic threads may use without asking again: published as one snapshot.
///
/// A thread takes a token only after it compared its own reading of the clock with both times. A
/// thread that is paused between this check and its send goes over; `Terms::grace` covers pauses as
/// long as the work itself may take, and nothing covers longer ones.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Limits {
    /// Tokens before `full_until`.
    pub full: Amounts,
    /// End of `full`, exclusive.
    pub full_until: Now,
    /// Tokens from then on.
    pub floor: Amounts,
    /// End of `floor`, exclusive.
    pub floor_until: Now,
}

impl Limits {
    /// Tokens of `resource` at `now`.
    pub fn at(&self, resource: &ResourceId, now: Now) -> u32 {
        let amounts = if now < self.full_until {
            &self.full
        } else if now < self.floor_until {
            &self.floor
        } else {
            return 0;
        };
        crate::row::amount(amounts, resource)
    }
}

impl fmt::Display for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let full = Listed(&self.full);
        let floor = Listed(&self.floor);
        write!(f, "{full} until {:?}, ", self.full_until)?;
        write!(f, "{floor} until {:?}", self.floor_until)
    }
}
