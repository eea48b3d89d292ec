//! Gives up a claim of which nothing was sent.
//!
//! Works on after the caller has its `not-run`, through outages. It writes the row even where it
//! finds none: an insert whose answer was lost may still be under way, and would hold the key for
//! a request that is over. The row changed, that insert's condition fails.

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
    /// Commit this.
    Write {
        /// Version that the row must have; `None`: absent.
        check: Option<u64>,
        /// Text of the row.
        value: ByteString,
    },
    /// The platform is down: go on later, with [`Releaser::start`].
    Later,
    /// The key is free, or another's.
    Done,
}

/// One claim on its way out of the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Releaser {
    claimant: Claimant,
    guards: Guards,
}

impl Releaser {
    pub(crate) fn new(claimant: Claimant, guards: Guards) -> Self {
        Self { claimant, guards }
    }

    /// The row.
    pub fn key(&self) -> &ByteString {
        &self.claimant.key
    }

    /// First step, also after [`ReleaseStep::Later`].
    pub fn start(&self) -> ReleaseStep {
        ReleaseStep::Read
    }

    /// Takes what happened to the last step.
    pub fn on(&self, event: ClaimEvent) -> ReleaseStep {
        match event {
            ClaimEvent::Read(row) | ClaimEvent::Conflict(row) => self.judge(row),
            ClaimEvent::Committed { .. } => ReleaseStep::Done,
            ClaimEvent::Lost | ClaimEvent::Down | ClaimEvent::TimedOut => ReleaseStep::Later,
        }
    }

    fn judge(&self, row: Option<Row>) -> ReleaseStep {
        let Some(row) = row else {
            return if self.guards.seal {
                self.write(None)
            } else {
                ReleaseStep::Done
            };
        };
        let mine = |claim: &Claim| claim.token == self.claimant.token;
        match row.value.parse::<Claim>() {
            Ok(claim) if claim.state == ClaimState::Held && mine(&claim) => {
                self.write(Some(row.version))
            }
            Ok(claim) if claim.state == ClaimState::Released && !mine(&claim) => {
                self.write(Some(row.version))
            }
            Ok(_) | Err(_) => ReleaseStep::Done,
        }
    }

    fn write(&self, check: Option<u64>) -> ReleaseStep {
        ReleaseStep::Write {
            check,
            value: self.claimant.value(ClaimState::Released),
        }
    }
}
