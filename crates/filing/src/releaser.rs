//! Releases a claim whose request was not sent.
//!
//! It continues after the caller has got its `not-run`, and through outages of the platform. It
//! writes the row even if it finds none: an insert whose result was lost may still be in flight,
//! and would hold the key for a request that has ended. Once the row exists, the condition of that
//! insert fails.

use crate::{
    Claim,
    ClaimEvent,
    ClaimState,
    Claimant,
    Guards,
    Row, //
};
use bytestring::ByteString;

/// What to do next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReleaseStep {
    /// Read the row.
    Read,
    /// Write the row.
    Write {
        /// Version that the row must have; `None` if it must be absent.
        check: Option<u64>,
        /// New value of the row.
        value: ByteString,
    },
    /// The step failed or its result was lost: continue later with [`Releaser::start`].
    Later,
    /// The claim no longer holds the key.
    Done,
}

/// Releases one claim.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Releaser {
    claimant: Claimant,
    guards: Guards,
}

impl Releaser {
    pub(crate) fn new(claimant: Claimant, guards: Guards) -> Self {
        Self { claimant, guards }
    }

    /// Key of the claim's row.
    pub fn key(&self) -> &ByteString {
        &self.claimant.key
    }

    /// First step, also used to continue after [`ReleaseStep::Later`].
    pub fn start(&self) -> ReleaseStep {
        ReleaseStep::Read
    }

    /// Handles the result of the last step and returns the next one.
    pub fn on_event(&self, event: ClaimEvent) -> ReleaseStep {
        match event {
            ClaimEvent::Read(row) | ClaimEvent::Conflict(row) => self.resolve_row(row),
            ClaimEvent::Committed { .. } => ReleaseStep::Done,
            ClaimEvent::Lost | ClaimEvent::Down | ClaimEvent::TimedOut => ReleaseStep::Later,
        }
    }

    fn resolve_row(&self, row: Option<Row>) -> ReleaseStep {
        let Some(row) = row else {
            return if self.guards.write_released_row {
                self.write(None)
            } else {
                ReleaseStep::Done
            };
        };
        let is_own = |claim: &Claim| claim.token == self.claimant.token;
        match row.value.parse::<Claim>() {
            Ok(claim) if claim.state == ClaimState::Held && is_own(&claim) => {
                self.write(Some(row.version))
            }
            Ok(claim) if claim.state == ClaimState::Released && !is_own(&claim) => {
                self.write(Some(row.version))
            }
            Ok(_) | Err(_) => ReleaseStep::Done,
        }
    }

    fn write(&self, check: Option<u64>) -> ReleaseStep {
        ReleaseStep::Write {
            check,
            value: self.claimant.row_value(ClaimState::Released),
        }
    }
}
