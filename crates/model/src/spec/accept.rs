//! Accepts that race and repeat.
//!
//! [`AcceptModel`] runs several accepts through a platform that refuses, loses and delays. What
//! must hold: versions follow each other without gap or fork, a head comes after its objects, an
//! accept takes effect at most once, and both "accepted" and "not accepted" are true for good.

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
    Answer,
    Check,
    CommitAnswer,
    Digest,
    Guards,
    Proposal,
    Write, //
};
use std::collections::BTreeSet;

/// An operator's request: the accept's name and the version that it changes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AcceptRequest {
    /// Name of the accept; a repeat has the same.
    pub id: u128,
    /// Version that it changes.
    pub base: u64,
}

/// Accepts that run at the same time.
#[derive(Clone, Debug)]
pub struct AcceptModel {
    /// Guards of all.
    pub guards: Guards,
    /// Requests, each at some daemon.
    pub requests: Vec<AcceptRequest>,
    /// Requests to the platform that are refused, lost or late, together.
    pub faults: u8,
}

/// Commit on its way, and whose.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Txn {
    runner: usize,
    checks: Vec<Check>,
    writes: Vec<Write>,
}

/// State of the platform and of the accepts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AcceptState {
    faults_left: u8,
    platform: AcceptPlatform,
    late: Vec<Txn>,
    runners: Vec<AcceptRunner>,
    /// Whose commits made the heads, in their order.
    makers: Vec<usize>,
}

impl AcceptState {
    fn with_fault(&self) -> Option<Self> {
        let mut after = self.clone();
        after.faults_left = self.faults_left.checked_sub(1)?;
        Some(after)
    }

    fn commit(&mut self, txn: &Txn) -> CommitAnswer {
        let answer = self.platform.commit(&txn.checks, &txn.writes);
        self.makers.resize(self.platform.heads().len(), txn.runner);
        answer
    }

    fn deliver(mut self, runner: usize, event: AcceptEvent) -> Self {
        self.runners[runner].deliver(event);
        self
    }

    /// Whether what the operator of this request was told is true.
    fn is_told_true(&self, index: usize, outcome: &AcceptOutcome) -> bool {
        let proposal = self.runners[index].accept.proposal();
        match outcome {
            AcceptOutcome::Accepted(head) | AcceptOutcome::AlreadyAccepted(head) => {
                self.platform.heads().contains(head)
            }
            AcceptOutcome::NotAccepted => !self.makers.contains(&index),
            AcceptOutcome::Raced { .. } => self.platform.heads().iter().all(|made| {
                (made.accept_id, made.version) != (proposal.accept_id, proposal.base + 1)
            }),
            AcceptOutcome::Unknown => true,
        }
    }
}

fn tiny_proposal(request: AcceptRequest) -> Proposal {
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

fn accept_step(state: &AcceptState, index: usize, next: &mut AcceptNext) {
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
            let stored = AcceptEvent::Stored(Answer::Done(()));
            push("stores its object", after.deliver(index, stored));
            if let Some(down) = state.with_fault() {
                let event = AcceptEvent::Stored(Answer::NotDone);
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
            let txn = Txn {
                runner: index,
                checks,
                writes,
            };
            commit_step(state, &txn, &mut push);
        }
    }
}

fn commit_step(state: &AcceptState, txn: &Txn, push: &mut impl FnMut(&str, AcceptState)) {
    let index = txn.runner;
    let event = |answer| AcceptEvent::Commit(answer);
    let mut after = state.clone();
    let answer = after.commit(txn);
    let what = match answer {
        CommitAnswer::Committed => "commits",
        CommitAnswer::Conflict => "finds another head",
    };
    let lossy = after.with_fault();
    push(what, after.deliver(index, event(Answer::Done(answer))));
    if let Some(lossy) = lossy {
        let what = "has its commit carried out, the answer is lost";
        push(what, lossy.deliver(index, event(Answer::Unknown)));
    }
    if let Some(down) = state.with_fault() {
        let mut late = down.clone();
        let what = "has its commit refused";
        push(what, down.deliver(index, event(Answer::NotDone)));
        late.late.push(txn.clone());
        late.late.sort();
        let what = "has its commit under way, the answer is lost";
        push(what, late.deliver(index, event(Answer::Unknown)));
    }
}

impl Model for AcceptModel {
    type State = AcceptState;
    type Step = VersionStep;

    fn start(&self) -> AcceptState {
        let runner =
            |request: &AcceptRequest| AcceptRunner::start(tiny_proposal(*request), self.guards);
        AcceptState {
            faults_left: self.faults,
            platform: AcceptPlatform::default(),
            late: Vec::new(),
            runners: self.requests.iter().map(runner).collect(),
            makers: Vec::new(),
        }
    }

    fn transitions(&self, state: &AcceptState) -> AcceptNext {
        let mut next = Vec::new();
        for index in 0..state.late.len() {
            let mut after = state.clone();
            let txn = after.late.remove(index);
            after.commit(&txn);
            let step = format!("a late commit of request {} arrives", txn.runner);
            next.push((VersionStep(step), after));
        }
        for index in 0..state.runners.len() {
            accept_step(state, index, &mut next);
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
            if outcome.is_some_and(|outcome| !state.is_told_true(index, outcome)) {
                return Err(format!("request {index} was told {outcome:?}"));
            }
        }
        Ok(())
    }
}
