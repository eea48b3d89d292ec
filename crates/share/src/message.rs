//! Messages between members, and actions for the daemon.

use crate::row::{
    Amounts,
    AmountsDisplay,
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
/// Heartbeats may be lost, duplicated or delayed. Each field is a fact about the moment at which
/// the heartbeat was made, so a late one is still correct.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PoolHeartbeat {
    /// The pool.
    pub pool: PoolId,
    /// The sender.
    pub from: MemberId,
    /// Epoch that it has adopted; zero before the first.
    pub epoch: Epoch,
    /// Whether its use, work in flight included, is within its allotment of this epoch.
    pub acked: bool,
    /// Whether it has stopped for good and uses nothing.
    pub released: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether its valid lease protects nothing until a row lists it.
    pub unlisted: bool,
    /// Sequence number of its last renewal that the platform confirmed.
    pub lease_seq: u64,
    /// Tokens that it could use now.
    pub demand: u32,
    /// Tokens that it holds.
    pub held: u32,
    /// Time of sending by the sender's own clock; only the sender reads it, from the promise that
    /// echoes it.
    pub asked: Now,
    /// `asked` of the latest heartbeat of each other member that it answered with a promise.
    pub granted: BTreeMap<MemberId, Now>,
    /// Members to which it has a promise that still runs.
    pub promised: BTreeSet<MemberId>,
    /// Highest known lease of each other member.
    pub seen: BTreeMap<MemberId, u64>,
}

/// Transfer of tokens from one member to another within an epoch.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Transfer {
    /// The pool.
    pub pool: PoolId,
    /// The only epoch at which it is valid.
    pub epoch: Epoch,
    /// Resource of the tokens.
    pub resource: ResourceId,
    /// Number of tokens.
    pub n: u32,
    /// Member that no longer uses them.
    pub from: MemberId,
    /// Member that may use them from now on.
    pub to: MemberId,
    /// Sequence number of the transfer among those of its sender in this epoch.
    pub seq: u64,
}

impl fmt::Display for Transfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "transfer {} of {} from {} to {} at epoch {} (seq {})",
            self.n, self.resource, self.from, self.to, self.epoch, self.seq
        )
    }
}

/// Action that [`crate::Member::tick`] asks of the daemon.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// Replace the row by compare-and-set; then pass the row that a read finds to `on_row`.
    Propose {
        /// Epoch that the table must still hold; `None` if it must hold no row.
        expect_epoch: Option<Epoch>,
        /// The row to write.
        row: Row,
    },
    /// Send the transfer to its receiver.
    Transfer(Transfer),
    /// Send the row to a member at an earlier epoch, which may be cut off from the platform.
    SendRow {
        /// The receiver.
        to: MemberId,
        /// The row adopted here.
        row: Arc<Row>,
    },
}

/// What traffic threads may use without asking again, published as one snapshot.
///
/// A thread takes a token only after it has compared its own reading of the clock with both times.
/// A thread that is paused between this check and its send exceeds the limits. `Terms::grace`
/// covers such pauses as long as pause and work together stay within it; nothing covers longer
/// ones.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Limits {
    /// Tokens before `full_until`.
    pub full: Amounts,
    /// End of `full`, exclusive.
    pub full_until: Now,
    /// Tokens from `full_until` on.
    pub floor: Amounts,
    /// End of `floor`, exclusive.
    pub floor_until: Now,
}

impl Limits {
    /// Returns the tokens of `resource` at `now`.
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
        let full = AmountsDisplay(&self.full);
        let floor = AmountsDisplay(&self.floor);
        write!(f, "{full} until {:?}, ", self.full_until)?;
        write!(f, "{floor} until {:?}", self.floor_until)
    }
}
