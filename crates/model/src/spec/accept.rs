//! Model of accepts that race and are repeated.
//!
//! [`AcceptModel`] runs several accepts against a platform that may refuse, lose or delay requests.
//! Invariant: versions are consecutive without a fork, a head is committed after its objects, an
//! accept takes effect at most once, and the outcomes "accepted" and "not accepted" stay true.

use super::{
    AcceptPlatform,
    AcceptRunner,
    VersionStep, //
};
use crate::Model;
use bytes::Bytes;
use bytestring::ByteString;
use spec::{
    AcceptAction,
    AcceptEvent,
    AcceptId,
    AcceptOutcome,
    Check,
    CommitOutcome,
    Digest,
    Guards,
    Proposal,
    Write, //
    WriteOutcome,
};
use std::collections::BTreeSet;

/// An operator's request: the id of the accept and the version that it changes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AcceptRequest {
    /// Id of the accept; a repeated request has the same id.
    pub id: u128,
    /// Version that the accept changes.
    pub base: u64,
}

/// Configuration of one search: accepts that run concurrently.
#[derive(Clone, Debug)]
pub struct AcceptModel {
    /// Guards of all accepts.
    pub guards: Guards,
    /// Requests, each handled by some daemon.
    pub requests: Vec<AcceptRequest>,
    /// Budget for refused, lost and delayed requests to the platform together.
    pub faults: u8,
}

/// Commit in flight, with the index of its accept.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PendingCommit {
    runner: usize,
    checks: Vec<Check>,
    writes: Vec<Write>,
}

/// State of the platform and the accepts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AcceptState {
    faults_left: u8,
    platform: AcceptPlatform,
    late_commits: Vec<PendingCommit>,
    runners: Vec<AcceptRunner>,
    /// Index of the accept that committed each head, in the order of the heads.
    committers: Vec<usize>,
}

impl AcceptState {
    fn with_fault(&self) -> Option<Self> {
        let mut after = self.clone();
        after.faults_left = self.faults_left.checked_sub(1)?;
        Some(after)
    }

    fn commit(&mut self, commit: &PendingCommit) -> CommitOutcome {
        let answer = self.platform.commit(&commit.checks, &commit.writes);
        self.committers
            .resize(self.platform.heads().len(), commit.runner);
        answer
    }

    fn deliver(mut self, runner: usize, event: AcceptEvent) -> Self {
        self.runners[runner].deliver(event);
        self
    }

    /// Whether the outcome that was reported for the request at `index` is true.
    fn is_outcome_true(&self, index: usize, outcome: &AcceptOutcome) -> bool {
        let proposal = self.runners[index].accept.proposal();
        match outcome {
            AcceptOutcome::Accepted(head) | AcceptOutcome::AlreadyAccepted(head) => {
                self.platform.heads().contains(head)
            }
            AcceptOutcome::NotAccepted => !self.committers.contains(&index),
            AcceptOutcome::Raced { .. } => self.platform.heads().iter().all(|head| {
                (head.accept_id, head.version) != (proposal.accept_id, proposal.base + 1)
            }),
            AcceptOutcome::Unknown => true,
        }
    }
}

fn small_proposal(request: AcceptRequest) -> Proposal {
    let bytes = Bytes::from(format!("body {}", request.id));
    let body = Digest::of(&bytes);
    Proposal {
        accept_id: AcceptId(request.id),
        author: ByteString::from_static("asha"),
        accepted_at_ms: 0,
        base: request.base,
        body,
        objects: vec![(body, bytes)],
    }
}

type AcceptNext = Vec<(VersionStep, AcceptState)>;

fn request_steps(state: &AcceptState, index: usize, next: &mut AcceptNext) {
    let mut push = |what: &str, after: AcceptState| {
        let id = after.runners[index].accept.proposal().accept_id.0;
        let step = VersionStep(format!("request {index} (accept {id}) {what}"));
        next.push((step, after));
    };
    match state.runners[index].action.clone() {
        AcceptAction::Finish(_) => {}
        AcceptAction::Store { digest, bytes } => {
            let mut after = state.clone();
            after.platform.store(digest, bytes);
            let stored = AcceptEvent::Stored(WriteOutcome::Done(()));
            push("stores its object", after.deliver(index, stored));
            if let Some(down) = state.with_fault() {
                let event = AcceptEvent::Stored(WriteOutcome::NotDone);
                push("can't store its object", down.deliver(index, event));
            }
        }
        AcceptAction::Read { keys } => {
            let event = AcceptEvent::Rows(Some(state.platform.read(&keys)));
            push("reads", state.clone().deliver(index, event));
            if let Some(down) = state.with_fault() {
                push("can't read", down.deliver(index, AcceptEvent::Rows(None)));
            }
        }
        AcceptAction::Commit { checks, writes } => {
            let commit = PendingCommit {
                runner: index,
                checks,
                writes,
            };
            commit_steps(state, &commit, &mut push);
        }
    }
}

fn commit_steps(
    state: &AcceptState,
    commit: &PendingCommit,
    push: &mut impl FnMut(&str, AcceptState),
) {
    let index = commit.runner;
    let event = |answer| AcceptEvent::Commit(answer);
    let mut after = state.clone();
    let answer = after.commit(commit);
    let what = match answer {
        CommitOutcome::Committed => "commits",
        CommitOutcome::Conflict => "conflicts with another head",
    };
    let lossy = after.with_fault();
    push(
        what,
        after.deliver(index, event(WriteOutcome::Done(answer))),
    );
    if let Some(lossy) = lossy {
        let what = "commits, the answer is lost";
        push(what, lossy.deliver(index, event(WriteOutcome::Unknown)));
    }
    if let Some(down) = state.with_fault() {
        let mut late = down.clone();
        let what = "has its commit refused";
        push(what, down.deliver(index, event(WriteOutcome::NotDone)));
        late.late_commits.push(commit.clone());
        late.late_commits.sort();
        let what = "has its commit in flight, the answer is lost";
        push(what, late.deliver(index, event(WriteOutcome::Unknown)));
    }
}

impl Model for AcceptModel {
    type State = AcceptState;
    type Step = VersionStep;

    fn start(&self) -> AcceptState {
        let runner =
            |request: &AcceptRequest| AcceptRunner::start(small_proposal(*request), self.guards);
        AcceptState {
            faults_left: self.faults,
            platform: AcceptPlatform::default(),
            late_commits: Vec::new(),
            runners: self.requests.iter().map(runner).collect(),
            committers: Vec::new(),
        }
    }

    fn transitions(&self, state: &AcceptState) -> AcceptNext {
        let mut next = Vec::new();
        for index in 0..state.late_commits.len() {
            let mut after = state.clone();
            let commit = after.late_commits.remove(index);
            after.commit(&commit);
            let step = format!("a late commit of request {} arrives", commit.runner);
            next.push((VersionStep(step), after));
        }
        for index in 0..state.runners.len() {
            request_steps(state, index, &mut next);
        }
        next
    }

    fn check(&self, state: &AcceptState) -> Result<(), String> {
        state.platform.check()?;
        let heads = state.platform.heads();
        let ids: BTreeSet<AcceptId> = heads.iter().map(|head| head.accept_id).collect();
        if ids.len() < heads.len() {
            return Err("an accept took effect twice".into());
        }
        for (index, runner) in state.runners.iter().enumerate() {
            let outcome = runner.accept.outcome();
            if outcome.is_some_and(|outcome| !state.is_outcome_true(index, outcome)) {
                return Err(format!(
                    "request {index} got the outcome {outcome:?}, which is not true"
                ));
            }
        }
        Ok(())
    }
}
