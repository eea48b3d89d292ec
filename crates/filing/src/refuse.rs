//! Why a ticket is refused, and what its caller may be told.

use base::{
    InstanceId,
    RunOutcome, //
};

/// Why a ticket doesn't run here.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefuseReason {
    /// It expired before it was ever used, and recently enough to know that.
    ExpiredUnused,
    /// It expired so long ago that an outcome would be forgotten.
    Expired,
    /// It ends later than any honest ticket does: its maker's clock is wrong.
    TooFar,
    /// It is another entry's.
    OtherInstance,
    /// It is of another life of this entry.
    OtherIncarnation,
    /// This entry is stopping and starts nothing; the ticket is burned.
    Stopping,
    /// The right to it was offered to a successor, named once that has acknowledged.
    HandedOver(Option<InstanceId>),
    /// Too much is remembered to take one more; the ticket is burned.
    TooMany,
}

impl RefuseReason {
    /// What a caller may be told about the filing.
    ///
    /// Only those reasons say `not-run` after which no copy of the ticket can run anywhere, and
    /// before which none did: a caller takes a new ticket on that word.
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::ExpiredUnused | Self::Stopping | Self::TooMany => RunOutcome::NotRun,
            Self::Expired
            | Self::TooFar
            | Self::OtherInstance
            | Self::OtherIncarnation
            | Self::HandedOver(_) => RunOutcome::Unknown,
        }
    }
}
