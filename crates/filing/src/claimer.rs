//! State machine of one request that carries an idempotency key of its caller.
//!
//! It inserts its claim on the condition that the key is free. The request may be sent only once
//! the claim is known to be in the table. If the result of the insert is lost, the row is read
//! back, and the claim is recognised by its token. If the request ends `not-run` while its insert
//! may have taken effect or may still do so, a [`Releaser`] takes over and writes the row, so that
//! the insert can't block the key for good.
//!
//! [`Releaser`]: crate::Releaser

use crate::{
    Claim,
    ClaimState,
    ConditionalWrite,
    Guards,
    Record,
    Releaser,
    Row,
    Token, //
};
use base::{
    Incarnation,
    InstanceId,
    Now, //
};
use bytestring::ByteString;

/// Repeated inserts and reads of the row before the request ends `not-run`.
const ATTEMPTS_MAX: u8 = 3;

/// Whether the holder of a lease that is valid until `lease_until` may send at `now`.
///
/// Call it immediately before the first byte is sent. A holder that was paused resumes with
/// outdated state, and would otherwise send after others have reported the filing's outcome to
/// callers.
pub fn may_send(now: Now, lease_until: Now) -> bool {
    now < lease_until
}

/// Identity of a claim: its row, holder and request.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Claimant {
    /// Key of the row, made by [`claim_key`](crate::claim_key).
    pub key: ByteString,
    /// Random number, new for each request, that identifies the claim.
    pub token: Token,
    /// Claiming entry.
    pub instance: InstanceId,
    /// Incarnation of that entry.
    pub incarnation: Incarnation,
    /// Digest of the request.
    pub digest: u128,
}

impl Claimant {
    pub(crate) fn row_value(&self, state: ClaimState) -> ByteString {
        let claim = Claim {
            token: self.token,
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            digest: self.digest,
            state,
        };
        ByteString::from(claim.to_string())
    }
}

/// Result of the last step, or a timeout.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimEvent {
    /// The write took effect.
    Committed {
        /// New version of the row.
        version: u64,
    },
    /// The write's condition failed: the row has this content.
    Conflict(Option<Row>),
    /// The result was lost: the write may have taken effect, or may still do so.
    Lost,
    /// The platform is unavailable and provably did nothing.
    Down,
    /// The row was read.
    Read(Option<Row>),
    /// The caller's deadline has passed.
    TimedOut,
}

/// What to do next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimStep {
    /// Write the claim, alone or in a [`Batch`](crate::Batch).
    Insert {
        /// Version that the row must have; `None` if it must be absent.
        check: Option<u64>,
        /// New value of the row.
        value: ByteString,
    },
    /// Read the row.
    ReadBack,
    /// The claim is held. Call [`Claimer::send`] immediately before sending.
    Ready,
    /// Send the request now.
    Send,
    /// Respond to the caller.
    Respond(ClaimResult),
    /// Do nothing: the event came too late.
    Nothing,
}

/// How a request ends without being sent.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimResult {
    /// Nothing was sent: `not-run`. The releaser, if any, must be run until it is done.
    NotRun(Option<Releaser>),
    /// The filing has ended before: replay the recorded response.
    Replay(Record),
    /// Another request holds the claim, and no outcome is recorded: `unknown` unless the holder can
    /// tell the outcome.
    InProgress {
        /// Holder of the claim.
        holder: InstanceId,
        /// Incarnation of the holder.
        incarnation: Incarnation,
    },
    /// The key was used for a different request.
    KeyReused,
    /// The row can't be parsed: `unknown`.
    Unreadable,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum State {
    Inserting,
    ReadingBack,
    Claimed { version: u64 },
    Sent { version: u64 },
    Finished,
}

/// Claims the key of one request and decides whether it may be sent.
///
/// Invariant: in `Claimed` and `Sent`, the row in the table holds this claimant's token.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Claimer {
    claimant: Claimant,
    guards: Guards,
    state: State,
    /// Version of the row that the insert expects; `None` if it must be absent.
    check: Option<u64>,
    /// An insert may have taken effect, or may still do so.
    may_be_stored: bool,
    attempts: u8,
}

impl Claimer {
    /// Creates the state machine and returns the first step.
    pub fn start(claimant: Claimant, guards: Guards) -> (Self, ClaimStep) {
        let mut claimer = Self {
            claimant,
            guards,
            state: State::Inserting,
            check: None,
            may_be_stored: false,
            attempts: 0,
        };
        let step = claimer.insert(None);
        (claimer, step)
    }

    /// Handles the result of the last step and returns the next one.
    pub fn on_event(&mut self, event: ClaimEvent) -> ClaimStep {
        match self.state {
            State::Inserting => self.on_inserting(event),
            State::ReadingBack => self.on_reading_back(event),
            State::Claimed { .. } if event == ClaimEvent::TimedOut => self.finish_not_run(),
            State::Claimed { .. } | State::Sent { .. } | State::Finished => ClaimStep::Nothing,
        }
    }

    /// Last check, immediately before the first byte is sent. Returns [`ClaimStep::Send`], or, if
    /// the lease has expired, the response to give instead.
    pub fn send(&mut self, now: Now, lease_until: Now) -> ClaimStep {
        let State::Claimed { version } = self.state else {
            return ClaimStep::Nothing;
        };
        if self.guards.check_lease_before_send && !may_send(now, lease_until) {
            return self.finish_not_run();
        }
        self.state = State::Sent { version };
        ClaimStep::Send
    }

    /// Write that records the outcome of the sent request; `None` if it was not sent.
    ///
    /// It may go into a later batch; until then, repeats get `unknown`.
    pub fn outcome_write(&self, caller: u64, record: Record) -> Option<ConditionalWrite> {
        let State::Sent { version } = self.state else {
            return None;
        };
        Some(ConditionalWrite {
            caller,
            key: self.claimant.key.clone(),
            check: Some(version),
            value: self.claimant.row_value(ClaimState::Ended(record)),
        })
    }

    /// Ends a request that the upstream provably didn't run as `not-run`, which frees the key.
    pub fn release(&mut self) -> ClaimStep {
        match self.state {
            State::Claimed { .. } | State::Sent { .. } => self.finish_not_run(),
            State::Inserting | State::ReadingBack | State::Finished => ClaimStep::Nothing,
        }
    }

    /// Key of the claim's row.
    pub fn key(&self) -> &ByteString {
        &self.claimant.key
    }

    /// Token of the claim.
    pub fn token(&self) -> Token {
        self.claimant.token
    }

    fn on_inserting(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Committed { version } => self.set_claimed(version),
            ClaimEvent::Conflict(row) => self.resolve_row(row),
            // Without reading back, an insert that never took effect would pass for a claim, and
            // another entry could hold the row while this one sends.
            ClaimEvent::Lost if !self.guards.read_back => self.set_claimed(0),
            ClaimEvent::Lost => self.read_back(),
            ClaimEvent::Down => self.finish_not_run(),
            ClaimEvent::TimedOut => {
                self.may_be_stored = true;
                self.finish_not_run()
            }
            ClaimEvent::Read(_) => ClaimStep::Nothing,
        }
    }

    fn on_reading_back(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Read(row) => self.resolve_row(row),
            ClaimEvent::Lost | ClaimEvent::Down => self.read_back(),
            ClaimEvent::TimedOut => self.finish_not_run(),
            ClaimEvent::Committed { .. } | ClaimEvent::Conflict(_) => ClaimStep::Nothing,
        }
    }

    fn resolve_row(&mut self, row: Option<Row>) -> ClaimStep {
        let Some(row) = row else {
            return self.retry_insert(None);
        };
        let Ok(claim) = row.value.parse::<Claim>() else {
            return self.finish(ClaimResult::Unreadable);
        };
        let is_own = claim.token == self.claimant.token
            || (!self.guards.match_token && self.state == State::ReadingBack);
        match claim.state {
            ClaimState::Held if is_own => self.set_claimed(row.version),
            ClaimState::Released => self.retry_insert(Some(row.version)),
            _ if claim.digest != self.claimant.digest => self.finish(ClaimResult::KeyReused),
            ClaimState::Ended(record) => self.finish(ClaimResult::Replay(record)),
            ClaimState::Held => self.finish(ClaimResult::InProgress {
                holder: claim.instance,
                incarnation: claim.incarnation,
            }),
        }
    }

    fn set_claimed(&mut self, version: u64) -> ClaimStep {
        self.may_be_stored = true;
        self.state = State::Claimed { version };
        ClaimStep::Ready
    }

    fn insert(&mut self, check: Option<u64>) -> ClaimStep {
        self.state = State::Inserting;
        self.check = check;
        ClaimStep::Insert {
            check,
            value: self.claimant.row_value(ClaimState::Held),
        }
    }

    fn retry_insert(&mut self, check: Option<u64>) -> ClaimStep {
        self.attempts += 1;
        if self.attempts > ATTEMPTS_MAX {
            return self.finish_not_run();
        }
        self.insert(check)
    }

    fn read_back(&mut self) -> ClaimStep {
        self.may_be_stored = true;
        self.attempts += 1;
        if self.attempts > ATTEMPTS_MAX {
            return self.finish_not_run();
        }
        self.state = State::ReadingBack;
        ClaimStep::ReadBack
    }

    fn finish_not_run(&mut self) -> ClaimStep {
        let releaser = self
            .may_be_stored
            .then(|| Releaser::new(self.claimant.clone(), self.guards));
        self.finish(ClaimResult::NotRun(releaser))
    }

    fn finish(&mut self, result: ClaimResult) -> ClaimStep {
        self.state = State::Finished;
        ClaimStep::Respond(result)
    }
}
