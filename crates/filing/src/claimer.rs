//! State machine of one request that brings a key of the caller's.
//!
//! It inserts its claim on the condition that the key is free; only when the claim is known to be
//! in the table may the request be sent. An insert whose answer was lost is read back and known
//! by its token. Whoever ends `not-run` without that knowledge leaves a [`Releaser`] behind,
//! which seals the row: an insert still under way must not block the key for good.
//!
//! [`Releaser`]: crate::Releaser

use crate::{
    Claim,
    ClaimState,
    Guards,
    Insert,
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

/// Attempts to learn what became of an insert before the request ends `not-run`.
const TRIES_MAX: u8 = 3;

/// Whether the holder of a lease that is valid until `lease_until` may send at `now`.
///
/// To be asked immediately before the first byte: a holder that was paused wakes with an old
/// picture and would send after others have told callers how the filing ended.
pub fn may_send(now: Now, lease_until: Now) -> bool {
    now < lease_until
}

/// Who claims, and for which request.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Claimant {
    /// The row, as [`claim_key`](crate::claim_key) names it.
    pub key: ByteString,
    /// What makes the claim its own: random, new with each request.
    pub token: Token,
    /// Claiming entry.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Digest of the request.
    pub digest: u128,
}

impl Claimant {
    pub(crate) fn value(&self, state: ClaimState) -> ByteString {
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

/// What happened to the last step.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimEvent {
    /// The insert took effect, as this version of the row.
    Committed {
        /// The row's version.
        version: u64,
    },
    /// The insert didn't take effect: the row is this one.
    Conflict(Option<Row>),
    /// The answer was lost: the insert may have taken effect, or may yet.
    Lost,
    /// The platform provably did nothing.
    Down,
    /// The row, read back.
    Read(Option<Row>),
    /// The caller's time is over.
    TimedOut,
}

/// What to do next.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimStep {
    /// Commit this, alone or in a [`Batch`](crate::Batch).
    Insert {
        /// Version that the row must have; `None`: absent.
        check: Option<u64>,
        /// Text of the row.
        value: ByteString,
    },
    /// Read the row.
    ReadBack,
    /// The claim is held: call [`Claimer::send`] immediately before sending.
    Ready,
    /// Send the request now.
    Send,
    /// Answer the caller.
    Answer(ClaimAnswer),
    /// Nothing: the event came late.
    Nothing,
}

/// How a request ends that isn't sent.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ClaimAnswer {
    /// Nothing was sent: `not-run`. The releaser has to be driven to its end.
    NotRun(Option<Releaser>),
    /// It ended before: the recorded answer.
    Replay(Record),
    /// Another holds the claim, and no outcome is recorded: `unknown` if it can't be asked.
    InProgress {
        /// Holder.
        owner: InstanceId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// The key was used for another request.
    KeyReused,
    /// The row can't be read: `unknown`.
    Unreadable,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum State {
    Inserting,
    ReadingBack,
    Claimed { version: u64 },
    Sent { version: u64 },
    Over,
}

/// One request's way from its key to the right to send.
///
/// Invariant: in `Claimed` and `Sent` the table's row holds this claimant's token.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Claimer {
    claimant: Claimant,
    guards: Guards,
    state: State,
    /// Version that the insert replaces.
    check: Option<u64>,
    /// An insert may have taken effect, or may yet.
    doubtful: bool,
    tries: u8,
}

impl Claimer {
    /// Starts, with the first step.
    pub fn start(claimant: Claimant, guards: Guards) -> (Self, ClaimStep) {
        let mut claimer = Self {
            claimant,
            guards,
            state: State::Inserting,
            check: None,
            doubtful: false,
            tries: 0,
        };
        let step = claimer.insert(None);
        (claimer, step)
    }

    /// Takes what happened to the last step.
    pub fn on(&mut self, event: ClaimEvent) -> ClaimStep {
        match self.state {
            State::Inserting => self.on_inserting(event),
            State::ReadingBack => self.on_reading_back(event),
            State::Claimed { .. } if event == ClaimEvent::TimedOut => self.not_run(),
            State::Claimed { .. } | State::Sent { .. } | State::Over => ClaimStep::Nothing,
        }
    }

    /// Last check, immediately before the first byte: [`ClaimStep::Send`], or the answer to give
    /// instead if the lease has lapsed.
    pub fn send(&mut self, now: Now, lease_until: Now) -> ClaimStep {
        let State::Claimed { version } = self.state else {
            return ClaimStep::Nothing;
        };
        if self.guards.lease_before_send && !may_send(now, lease_until) {
            return self.not_run();
        }
        self.state = State::Sent { version };
        ClaimStep::Send
    }

    /// Write that records what came of the sent request; `None` before it was sent.
    ///
    /// May go into a later batch: until then repeats are told `unknown`.
    pub fn ended(&self, caller: u64, record: Record) -> Option<Insert> {
        let State::Sent { version } = self.state else {
            return None;
        };
        Some(Insert {
            caller,
            key: self.claimant.key.clone(),
            check: Some(version),
            value: self.claimant.value(ClaimState::Ended(record)),
        })
    }

    /// Takes back a request that the upstream provably didn't run; the key gets free again.
    pub fn unsent(&mut self) -> ClaimStep {
        match self.state {
            State::Claimed { .. } | State::Sent { .. } => self.not_run(),
            State::Inserting | State::ReadingBack | State::Over => ClaimStep::Nothing,
        }
    }

    /// The row.
    pub fn key(&self) -> &ByteString {
        &self.claimant.key
    }

    /// What makes the claim its own.
    pub fn token(&self) -> Token {
        self.claimant.token
    }

    fn on_inserting(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Committed { version } => self.claimed(version),
            ClaimEvent::Conflict(row) => self.judge(row),
            // Without reading back an insert that never took effect would be taken for a claim,
            // and another entry would hold the row while this one sends.
            ClaimEvent::Lost if !self.guards.read_back => self.claimed(0),
            ClaimEvent::Lost => self.read_back(),
            ClaimEvent::Down => self.not_run(),
            ClaimEvent::TimedOut => {
                self.doubtful = true;
                self.not_run()
            }
            ClaimEvent::Read(_) => ClaimStep::Nothing,
        }
    }

    fn on_reading_back(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Read(row) => self.judge(row),
            ClaimEvent::Lost | ClaimEvent::Down => self.read_back(),
            ClaimEvent::TimedOut => self.not_run(),
            ClaimEvent::Committed { .. } | ClaimEvent::Conflict(_) => ClaimStep::Nothing,
        }
    }

    fn judge(&mut self, row: Option<Row>) -> ClaimStep {
        let Some(row) = row else {
            return self.insert_again(None);
        };
        let Ok(claim) = row.value.parse::<Claim>() else {
            return self.over(ClaimAnswer::Unreadable);
        };
        let mine = claim.token == self.claimant.token
            || (!self.guards.own_token && self.state == State::ReadingBack);
        match claim.state {
            ClaimState::Held if mine => self.claimed(row.version),
            ClaimState::Released => self.insert_again(Some(row.version)),
            _ if claim.digest != self.claimant.digest => self.over(ClaimAnswer::KeyReused),
            ClaimState::Ended(record) => self.over(ClaimAnswer::Replay(record)),
            ClaimState::Held => self.over(ClaimAnswer::InProgress {
                owner: claim.instance,
                incarnation: claim.incarnation,
            }),
        }
    }

    fn claimed(&mut self, version: u64) -> ClaimStep {
        self.doubtful = true;
        self.state = State::Claimed { version };
        ClaimStep::Ready
    }

    fn insert(&mut self, check: Option<u64>) -> ClaimStep {
        self.state = State::Inserting;
        self.check = check;
        ClaimStep::Insert {
            check,
            value: self.claimant.value(ClaimState::Held),
        }
    }

    fn insert_again(&mut self, check: Option<u64>) -> ClaimStep {
        self.tries += 1;
        if self.tries > TRIES_MAX {
            return self.not_run();
        }
        self.insert(check)
    }

    fn read_back(&mut self) -> ClaimStep {
        self.doubtful = true;
        self.tries += 1;
        if self.tries > TRIES_MAX {
            return self.not_run();
        }
        self.state = State::ReadingBack;
        ClaimStep::ReadBack
    }

    fn not_run(&mut self) -> ClaimStep {
        let releaser = self
            .doubtful
            .then(|| Releaser::new(self.claimant.clone(), self.guards));
        self.over(ClaimAnswer::NotRun(releaser))
    }

    fn over(&mut self, answer: ClaimAnswer) -> ClaimStep {
        self.state = State::Over;
        ClaimStep::Answer(answer)
    }
}
