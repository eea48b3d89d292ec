//! Model of the claims on one idempotency key: several requests at two entries, and a table whose
//! answers may be lost.
//!
//! Each commit may be answered, take effect with its answer lost, take effect later, or never; the
//! platform may be down for any request. A process may pause between its lease check and the next
//! step until after its lease has lapsed, and may crash at any time.
//!
//! Invariant: at most one request with the key is sent to the upstream; a request whose caller got
//! `not-run` was never sent; nothing is sent after an entry has reported the filing as settled,
//! which it does once it sees that the holder's lease has lapsed; and no key stays blocked by an
//! unused claim, unless its holder crashed.

use crate::Model;
use base::{
    Now,
    RunOutcome, //
};
use bytestring::ByteString;
use filing::{
    claim_key,
    Claim,
    ClaimEvent,
    ClaimResult,
    ClaimState,
    ClaimStep,
    Claimant,
    Claimer,
    ConditionalWrite,
    Guards,
    Record,
    ReleaseStep,
    Releaser,
    Row, //
};
use std::fmt;

/// End of each holder's lease, on its own clock.
const LEASE_MS: u64 = 1;
/// Time at which the lease has lapsed for observers.
const LAPSE_MS: u64 = 2;

/// Configuration of one search.
#[derive(Clone, Copy, Debug)]
pub struct ClaimModel {
    /// Guards of all claimers.
    pub guards: Guards,
    /// Number of requests with the key.
    pub requests: u8,
    /// Budget for lost answers, late writes and outages together.
    pub faults: u8,
    /// Whether entries may crash.
    pub crash: bool,
}

/// Conditional write in flight to the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Write {
    check: Option<u64>,
    value: ByteString,
}

/// Progress of one request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Request {
    New,
    Writing(Claimer, Write),
    Reading(Claimer),
    Ready(Claimer),
    Sent(Claimer),
    ReleaseReading(Releaser),
    ReleaseWriting(Releaser, Write),
    Finished,
    Crashed,
}

/// State of the row, the requests, and the writes whose senders no longer wait for the answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimModelState {
    now_ms: u64,
    faults_left: u8,
    row: Option<Row>,
    version: u64,
    requests: Vec<Request>,
    /// Writes that are still in flight although their senders no longer wait for the answer.
    late_writes: Vec<Write>,
    /// Whether each request was actually sent to the upstream.
    sent: Vec<bool>,
    answered_not_run: Vec<bool>,
    settled: bool,
    sent_after_settled: bool,
}

/// Transition, with the request that takes it, if any.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimModelStep {
    request: Option<usize>,
    what: &'static str,
}

impl fmt::Display for ClaimModelStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.request {
            Some(request) => write!(f, "request {request}: {}", self.what),
            None => f.write_str(self.what),
        }
    }
}

type Next = Vec<(ClaimModelStep, ClaimModelState)>;

impl ClaimModel {
    fn claimant(request: usize) -> Claimant {
        Claimant {
            key: claim_key("orders", b"k"),
            token: request as u128 + 1,
            instance: if request % 2 == 0 { "a" } else { "b" }.into(),
            incarnation: 1,
            digest: 7,
        }
    }

    fn environment_steps(&self, state: &ClaimModelState, next: &mut Next) {
        if state.now_ms < LAPSE_MS {
            let mut after = state.clone();
            after.now_ms += 1;
            push(next, None, "the clock advances by a millisecond", after);
        }
        for index in 0..state.late_writes.len() {
            let mut after = state.clone();
            let write = after.late_writes.remove(index);
            let committed = after.apply(&write).is_ok();
            let what = if committed {
                "a late write commits"
            } else {
                "a late write fails its condition"
            };
            push(next, None, what, after);
            let mut after = state.clone();
            after.late_writes.remove(index);
            push(next, None, "a late write is dropped", after);
        }
        if state.now_ms >= LAPSE_MS && !state.settled && state.is_held() {
            let mut after = state.clone();
            after.settled = true;
            let what = "another entry sees the lease lapsed and reports the filing as settled";
            push(next, None, what, after);
        }
    }

    fn request_steps(&self, state: &ClaimModelState, index: usize, next: &mut Next) {
        match &state.requests[index] {
            Request::New => {
                let (claimer, step) = Claimer::start(Self::claimant(index), self.guards);
                push_step(next, state, index, "starts", claimer, step);
            }
            Request::Writing(claimer, write) => {
                self.write_steps(state, index, claimer, write, next)
            }
            Request::Reading(claimer) => self.read_steps(state, index, claimer, next),
            Request::Ready(claimer) => ready_steps(state, index, claimer, next),
            Request::Sent(claimer) => sent_steps(state, index, claimer, next),
            Request::ReleaseReading(releaser) => {
                self.release_read_steps(state, index, releaser, next)
            }
            Request::ReleaseWriting(releaser, write) => {
                self.release_write_steps(state, index, releaser, write, next);
            }
            Request::Finished | Request::Crashed => return,
        }
        if self.crash && !matches!(state.requests[index], Request::New) {
            let mut after = state.clone();
            if let Request::Writing(_, write) | Request::ReleaseWriting(_, write) =
                &state.requests[index]
            {
                after.late_writes.push(write.clone());
                after.late_writes.sort();
            }
            after.requests[index] = Request::Crashed;
            push(next, Some(index), "its entry crashes", after);
        }
    }

    fn write_steps(
        &self,
        state: &ClaimModelState,
        index: usize,
        claimer: &Claimer,
        write: &Write,
        next: &mut Next,
    ) {
        let deliver = |next: &mut Next, what, after: ClaimModelState, event| {
            let mut claimer = claimer.clone();
            let step = claimer.on_event(event);
            push_step(next, &after, index, what, claimer, step);
        };
        let mut after = state.clone();
        match after.apply(write) {
            Ok(version) => {
                let event = ClaimEvent::Committed { version };
                deliver(next, "its insert commits", after.clone(), event);
                if let Some(lossy) = after.with_fault() {
                    let what = "its insert commits, the answer is lost";
                    deliver(next, what, lossy, ClaimEvent::Lost);
                }
            }
            Err(row) => {
                deliver(
                    next,
                    "its insert conflicts",
                    after,
                    ClaimEvent::Conflict(row),
                );
            }
        }
        if let Some(down) = state.with_fault() {
            let what = "the platform is down for its insert";
            deliver(next, what, down.clone(), ClaimEvent::Down);
            let mut late = down;
            late.late_writes.push(write.clone());
            late.late_writes.sort();
            let what = "its insert is in flight, the answer is lost";
            deliver(next, what, late.clone(), ClaimEvent::Lost);
            let what = "its insert is in flight, the caller's deadline has passed";
            deliver(next, what, late, ClaimEvent::TimedOut);
        }
    }

    fn read_steps(
        &self,
        state: &ClaimModelState,
        index: usize,
        claimer: &Claimer,
        next: &mut Next,
    ) {
        let deliver = |next: &mut Next, what, after: &ClaimModelState, event| {
            let mut claimer = claimer.clone();
            let step = claimer.on_event(event);
            push_step(next, after, index, what, claimer, step);
        };
        let event = ClaimEvent::Read(state.row.clone());
        deliver(next, "reads the row back", state, event);
        if let Some(after) = state.with_fault() {
            let what = "the platform is down for its read";
            deliver(next, what, &after, ClaimEvent::Down);
        }
    }

    fn release_read_steps(
        &self,
        state: &ClaimModelState,
        index: usize,
        releaser: &Releaser,
        next: &mut Next,
    ) {
        let step = releaser.on_event(ClaimEvent::Read(state.row.clone()));
        push_release(
            next,
            state,
            index,
            "reads the row to release it",
            releaser,
            step,
        );
    }

    fn release_write_steps(
        &self,
        state: &ClaimModelState,
        index: usize,
        releaser: &Releaser,
        write: &Write,
        next: &mut Next,
    ) {
        let mut after = state.clone();
        match after.apply(write) {
            Ok(version) => {
                let step = releaser.on_event(ClaimEvent::Committed { version });
                push_release(next, &after, index, "releases", releaser, step);
                if let Some(lossy) = after.with_fault() {
                    let step = releaser.on_event(ClaimEvent::Lost);
                    let what = "releases, the answer is lost";
                    push_release(next, &lossy, index, what, releaser, step);
                }
            }
            Err(row) => {
                let step = releaser.on_event(ClaimEvent::Conflict(row));
                push_release(next, &after, index, "its release conflicts", releaser, step);
            }
        }
    }
}

impl ClaimModelState {
    /// Applies a conditional write. Returns the new version, or the row that fails the condition.
    fn apply(&mut self, write: &Write) -> Result<u64, Option<Row>> {
        let current = self.row.as_ref().map(|row| row.version);
        if current != write.check {
            return Err(self.row.clone());
        }
        self.version += 1;
        self.row = Some(Row {
            version: self.version,
            value: write.value.clone(),
        });
        Ok(self.version)
    }

    fn with_fault(&self) -> Option<Self> {
        let mut after = self.clone();
        after.faults_left = self.faults_left.checked_sub(1)?;
        Some(after)
    }

    fn claim(&self) -> Option<Claim> {
        let row = self.row.as_ref()?;
        Some(row.value.parse().expect("the row contains a valid claim"))
    }

    fn is_held(&self) -> bool {
        self.claim()
            .is_some_and(|claim| claim.state == ClaimState::Held)
    }

    fn is_quiescent(&self) -> bool {
        let is_over = |request: &Request| matches!(request, Request::Finished | Request::New);
        self.late_writes.is_empty() && self.requests.iter().all(is_over)
    }
}

fn ready_steps(state: &ClaimModelState, index: usize, claimer: &Claimer, next: &mut Next) {
    let now = Now::from_millis(state.now_ms);
    let mut claimer = claimer.clone();
    let step = claimer.send(now, Now::from_millis(LEASE_MS));
    let what = if step == ClaimStep::Send {
        "passes its last check and sends"
    } else {
        "fails its last check"
    };
    let mut after = state.clone();
    if step == ClaimStep::Send {
        after.sent[index] = true;
        after.sent_after_settled |= state.settled;
    }
    push_step(next, &after, index, what, claimer, step);
}

fn sent_steps(state: &ClaimModelState, index: usize, claimer: &Claimer, next: &mut Next) {
    let record = Record::status_only(RunOutcome::Done, 200);
    let insert = claimer
        .outcome_write(0, record)
        .expect("the request was sent");
    let mut after = state.clone();
    after.requests[index] = Request::Finished;
    let recorded = after.apply(&to_write(&insert)).is_ok();
    if recorded {
        push(next, Some(index), "its outcome is recorded", after);
    }
}

fn to_write(insert: &ConditionalWrite) -> Write {
    Write {
        check: insert.check,
        value: insert.value.clone(),
    }
}

fn push(next: &mut Next, request: Option<usize>, what: &'static str, after: ClaimModelState) {
    next.push((ClaimModelStep { request, what }, after));
}

/// Adds a transition to the state that follows from the claimer's `step`.
fn push_step(
    next: &mut Next,
    state: &ClaimModelState,
    index: usize,
    what: &'static str,
    claimer: Claimer,
    step: ClaimStep,
) {
    let mut after = state.clone();
    after.requests[index] = match step {
        ClaimStep::Insert { check, value } => Request::Writing(claimer, Write { check, value }),
        ClaimStep::ReadBack => Request::Reading(claimer),
        ClaimStep::Ready => Request::Ready(claimer),
        ClaimStep::Send => Request::Sent(claimer),
        ClaimStep::Respond(ClaimResult::NotRun(releaser)) => {
            after.answered_not_run[index] = true;
            releaser.map_or(Request::Finished, Request::ReleaseReading)
        }
        ClaimStep::Respond(_) => Request::Finished,
        ClaimStep::Nothing => return,
    };
    push(next, Some(index), what, after);
}

/// Adds a transition to the state that follows from the releaser's `step`.
fn push_release(
    next: &mut Next,
    state: &ClaimModelState,
    index: usize,
    what: &'static str,
    releaser: &Releaser,
    step: ReleaseStep,
) {
    let mut after = state.clone();
    after.requests[index] = match step {
        ReleaseStep::Read | ReleaseStep::Later => Request::ReleaseReading(releaser.clone()),
        ReleaseStep::Write { check, value } => {
            Request::ReleaseWriting(releaser.clone(), Write { check, value })
        }
        ReleaseStep::Done => Request::Finished,
    };
    push(next, Some(index), what, after);
}

impl Model for ClaimModel {
    type State = ClaimModelState;
    type Step = ClaimModelStep;

    fn start(&self) -> ClaimModelState {
        let requests = usize::from(self.requests);
        ClaimModelState {
            now_ms: 0,
            faults_left: self.faults,
            row: None,
            version: 0,
            requests: vec![Request::New; requests],
            late_writes: Vec::new(),
            sent: vec![false; requests],
            answered_not_run: vec![false; requests],
            settled: false,
            sent_after_settled: false,
        }
    }

    fn transitions(&self, state: &ClaimModelState) -> Next {
        let mut next = Vec::new();
        self.environment_steps(state, &mut next);
        for index in 0..state.requests.len() {
            self.request_steps(state, index, &mut next);
        }
        next
    }

    fn check(&self, state: &ClaimModelState) -> Result<(), String> {
        let sends = state.sent.iter().filter(|sent| **sent).count();
        if sends > 1 {
            return Err(format!("the request with the key was sent {sends} times"));
        }
        let mut pairs = state.sent.iter().zip(&state.answered_not_run);
        if pairs.any(|(sent, answered_not_run)| *sent && *answered_not_run) {
            return Err("a request was sent, and its caller got not-run".into());
        }
        if state.sent_after_settled {
            return Err("a request was sent after the filing had been reported as settled".into());
        }
        if state.is_quiescent() && sends == 0 && state.is_held() {
            return Err("the key is blocked by an unused claim".into());
        }
        Ok(())
    }
}
