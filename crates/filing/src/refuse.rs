//! Reasons for refusing a ticket, and the outcome reported to its caller.

use base::{
    InstanceId,
    RunOutcome, //
};

/// Why a ticket is refused.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefuseReason {
    /// The ticket expired without being used, recently enough that an outcome would still be
    /// stored.
    ExpiredUnused,
    /// The ticket expired so long ago that its outcome may have been forgotten.
    Expired,
    /// The ticket expires later than any valid ticket can: the clock of its issuer is wrong.
    TooFar,
    /// The ticket belongs to another entry.
    OtherInstance,
    /// The ticket belongs to another incarnation of this entry.
    OtherIncarnation,
    /// This entry is stopping and starts nothing new; the ticket has been invalidated.
    Stopping,
    /// The right to run the ticket was offered to a successor, which is named once it has
    /// acknowledged.
    HandedOver(Option<InstanceId>),
    /// The ledger is full; the ticket has been invalidated.
    TooMany,
}

impl RefuseReason {
    /// Outcome to report to the caller.
    ///
    /// `not-run` is reported only if no copy of the ticket has run or can run anywhere, since the
    /// caller then files again with a new ticket.
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
