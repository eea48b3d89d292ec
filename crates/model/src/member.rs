//! A lease whose holder is paused at any time, and the join of two processes with one name.
//!
//! Holder and observer have clocks of their own, as far apart as the terms allow: the holder's
//! slow, the observer's fast. A renewal may be answered, take effect with its answer lost, take
//! effect later, or never; a read shows the row as it was at any time while the read was under
//! way. Nothing makes the holder act, so a pause needs no step of its own.
//!
//! What must hold: once the observer calls a lease lapsed, the holder doesn't count on what it
//! held under it; and no two processes with one name get the same incarnation.

use crate::Model;
use base::Now;
use member::{
    Guards,
    Identity,
    JoinProgress,
    Joining,
    LeaseEvent,
    LeaseHolder,
    LeaseObserver,
    LeaseRow,
    LeaseStep,
    LeaseTerms,
    VersionedLease, //
};
use std::{
    fmt,
    time::Duration, //
};

/// By exact clocks a step of time is 10 ms.
const HOLDER_STEP_MS: u64 = 8;
const OBSERVER_STEP_MS: u64 = 12;
const NAME: &str = "a";

fn terms() -> LeaseTerms {
    LeaseTerms {
        ttl: Duration::from_millis(30),
        renew_every: Duration::from_millis(8),
        drift_pct: 20,
    }
}

fn identity() -> Identity {
    Identity {
        instance: NAME.into(),
        region: "r".into(),
        failure_domain: "f".into(),
        callers_addr: "1".into(),
        peers_addr: "2".into(),
        operator_addr: "3".into(),
    }
}

/// Conditional write on its way to the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Write {
    check: Option<u64>,
    row: LeaseRow,
}

/// The platform's table: one row.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Table {
    version: u64,
    row: Option<VersionedLease>,
}

impl Table {
    fn apply(&mut self, write: &Write) -> LeaseEvent {
        let current = self.row.as_ref().map(|row| row.version);
        if current != write.check {
            return LeaseEvent::Conflict(self.row.clone());
        }
        self.version += 1;
        self.row = Some(VersionedLease {
            version: self.version,
            row: write.row.clone(),
        });
        LeaseEvent::Committed {
            version: self.version,
        }
    }
}

fn write_of(step: &LeaseStep) -> Option<Write> {
    let LeaseStep::Commit { check, value } = step else {
        return None;
    };
    let row = value.parse().expect("only leases are written");
    Some(Write { check: *check, row })
}

/// One thing that happens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseModelStep(String);

impl fmt::Display for LeaseModelStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One holder and one observer.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// Guards of both.
    pub guards: Guards,
    /// Steps of time.
    pub ticks: u64,
    /// Answers lost, effects late and outages, together.
    pub faults: u8,
}

/// What the holder waits for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Wait {
    Nothing,
    Write(Box<Write>),
    Read,
}

/// A read under way: when it was sent, and the row once it was looked up.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ReadUnderWay {
    sent_at: Now,
    row: Option<VersionedLease>,
}

/// State of holder, table and observer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseModelState {
    ticks: u64,
    faults_left: u8,
    table: Table,
    late: Vec<Write>,
    holder: LeaseHolder,
    wait: Wait,
    observer: LeaseObserver,
    read: Option<ReadUnderWay>,
    /// Whether the observer has called the first, unbroken lease lapsed.
    lapsed: bool,
}

impl LeaseModelState {
    fn holder_now(&self) -> Now {
        Now::from_millis(self.ticks * HOLDER_STEP_MS)
    }

    fn observer_now(&self) -> Now {
        Now::from_millis(self.ticks * OBSERVER_STEP_MS)
    }

    fn with_fault(&self) -> Option<Self> {
        let mut after = self.clone();
        after.faults_left = self.faults_left.checked_sub(1)?;
        Some(after)
    }

    fn deliver(mut self, event: LeaseEvent) -> Self {
        let step = self.holder.on_event(event, self.holder_now());
        self.follow(&step);
        self
    }

    fn follow(&mut self, step: &LeaseStep) {
        self.wait = match step {
            LeaseStep::Read => Wait::Read,
            LeaseStep::Commit { .. } => Wait::Write(Box::new(write_of(step).expect("a commit"))),
            LeaseStep::Idle | LeaseStep::Superseded => Wait::Nothing,
        };
    }
}

type LeaseNext = Vec<(LeaseModelStep, LeaseModelState)>;

fn push(next: &mut LeaseNext, what: &str, after: LeaseModelState) {
    next.push((LeaseModelStep(what.into()), after));
}

fn environment(model: &LeaseModel, state: &LeaseModelState, next: &mut LeaseNext) {
    if state.ticks < model.ticks {
        let mut after = state.clone();
        after.ticks += 1;
        push(next, "10 ms pass", after);
    }
    for index in 0..state.late.len() {
        let mut after = state.clone();
        let write = after.late.remove(index);
        after.table.apply(&write);
        push(next, "a late renewal reaches the table", after);
    }
}

fn holder_steps(state: &LeaseModelState, next: &mut LeaseNext) {
    match &state.wait {
        Wait::Nothing => {
            let mut after = state.clone();
            let step = after.holder.tick(after.holder_now());
            if step != LeaseStep::Idle {
                after.follow(&step);
                push(next, "the holder sends a renewal", after);
            }
        }
        Wait::Write(write) => writing(state, write, next),
        Wait::Read => {
            let event = LeaseEvent::Read(state.table.row.clone());
            let after = state.clone().deliver(event);
            push(next, "the holder reads its row", after);
        }
    }
}

fn writing(state: &LeaseModelState, write: &Write, next: &mut LeaseNext) {
    let mut after = state.clone();
    let event = after.table.apply(write);
    // The table's answer may reach the holder at any later time: that is the late write below.
    push(
        next,
        "the renewal is answered",
        after.clone().deliver(event),
    );
    if let Some(lossy) = after.with_fault() {
        let lossy = lossy.deliver(LeaseEvent::OutcomeUnknown);
        push(next, "the renewal takes effect, the answer is lost", lossy);
    }
    if let Some(slow) = after.with_fault() {
        // Took effect now, and its answer is still on the way: the row is ahead of the holder.
        let committed = slow.table.row.as_ref().map(|row| row.row.seq) == Some(write.row.seq);
        if committed && slow.table != state.table {
            push(next, "the renewal takes effect, the answer is slow", slow);
        }
    }
    if let Some(down) = state.with_fault() {
        let mut late = down.clone();
        push(
            next,
            "the platform is down",
            down.deliver(LeaseEvent::NotExecuted),
        );
        late.late.push(write.clone());
        late.late.sort();
        let late = late.deliver(LeaseEvent::OutcomeUnknown);
        push(next, "the renewal is under way, the answer is lost", late);
    }
}

fn observer_steps(state: &LeaseModelState, next: &mut LeaseNext) {
    match &state.read {
        None => {
            let mut after = state.clone();
            after.read = Some(ReadUnderWay {
                sent_at: state.observer_now(),
                row: None,
            });
            push(next, "the observer sends a read", after);
        }
        Some(read) => {
            let mut after = state.clone();
            match &read.row {
                None => {
                    after.read = Some(ReadUnderWay {
                        sent_at: read.sent_at,
                        row: state.table.row.clone(),
                    });
                    push(next, "the table looks the row up", after);
                }
                Some(row) => {
                    after.read = None;
                    let now = state.observer_now();
                    after.observer.record_read(row, read.sent_at, now);
                    push(next, "the observer gets the row", after);
                }
            }
        }
    }
    let lapse = state.observer.lapse(NAME, state.observer_now());
    if lapse.is_some() && !state.lapsed && state.holder.gaps() == 0 {
        let mut after = state.clone();
        after.lapsed = true;
        push(next, "the observer calls the lease lapsed", after);
    }
}

impl Model for LeaseModel {
    type State = LeaseModelState;
    type Step = LeaseModelStep;

    fn start(&self) -> LeaseModelState {
        let joining = Joining::new(identity(), terms(), self.guards);
        let JoinProgress::Pending(joining, step) =
            joining.on_event(LeaseEvent::Read(None), Now::ZERO)
        else {
            unreachable!("a join writes before it holds");
        };
        let mut table = Table::default();
        let event = table.apply(&write_of(&step).expect("a commit"));
        let JoinProgress::Joined(holder) = joining.on_event(event, Now::ZERO) else {
            unreachable!("a committed join holds");
        };
        LeaseModelState {
            ticks: 0,
            faults_left: self.faults,
            table,
            late: Vec::new(),
            holder,
            wait: Wait::Nothing,
            observer: LeaseObserver::new(terms(), self.guards),
            read: None,
            lapsed: false,
        }
    }

    fn transitions(&self, state: &LeaseModelState) -> LeaseNext {
        // The holder knows of its gap, and no later state can break what must hold.
        if state.holder.gaps() > 0 {
            return Vec::new();
        }
        let mut next = Vec::new();
        environment(self, state, &mut next);
        holder_steps(state, &mut next);
        observer_steps(state, &mut next);
        next
    }

    fn check(&self, state: &LeaseModelState) -> Result<(), String> {
        let counts_on_it = state.holder.gaps() == 0 && state.holder.is_valid(state.holder_now());
        if state.lapsed && counts_on_it {
            return Err("the holder counts on a lease that others have seen lapse".into());
        }
        Ok(())
    }
}

/// Processes that join with one name.
#[derive(Clone, Copy, Debug)]
pub struct JoinModel {
    /// Guards of all.
    pub guards: Guards,
    /// How many processes join.
    pub processes: u8,
    /// Answers lost, effects late and outages, together.
    pub faults: u8,
}

/// How far one process is.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Process {
    Reading(Joining),
    Writing(Joining, Box<Write>),
    Holding(LeaseHolder),
}

/// State of the processes and the table.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct JoinModelState {
    faults_left: u8,
    table: Table,
    late: Vec<Write>,
    processes: Vec<Process>,
}

type JoinNext = Vec<(LeaseModelStep, JoinModelState)>;

impl JoinModelState {
    fn with_fault(&self) -> Option<Self> {
        let mut after = self.clone();
        after.faults_left = self.faults_left.checked_sub(1)?;
        Some(after)
    }

    fn deliver(mut self, index: usize, joining: &Joining, event: LeaseEvent) -> Self {
        self.processes[index] = match joining.clone().on_event(event, Now::ZERO) {
            JoinProgress::Pending(joining, step) => match write_of(&step) {
                Some(write) => Process::Writing(joining, Box::new(write)),
                None => Process::Reading(joining),
            },
            JoinProgress::Joined(holder) => Process::Holding(holder),
        };
        self
    }
}

fn join_steps(state: &JoinModelState, index: usize, next: &mut JoinNext) {
    let mut push = |what: &str, after: JoinModelState| {
        let step = LeaseModelStep(format!("process {index} {what}"));
        next.push((step, after));
    };
    match &state.processes[index] {
        Process::Reading(joining) => {
            let event = LeaseEvent::Read(state.table.row.clone());
            push("reads", state.clone().deliver(index, joining, event));
        }
        Process::Writing(joining, write) => {
            let mut after = state.clone();
            let event = after.table.apply(write);
            let lossy = after.with_fault();
            push("writes", after.deliver(index, joining, event));
            if let Some(lossy) = lossy {
                let lossy = lossy.deliver(index, joining, LeaseEvent::OutcomeUnknown);
                push("writes, the answer is lost", lossy);
            }
            if let Some(mut late) = state.with_fault() {
                late.late.push((**write).clone());
                late.late.sort();
                let late = late.deliver(index, joining, LeaseEvent::OutcomeUnknown);
                push("has its write under way, the answer is lost", late);
            }
        }
        Process::Holding(_) => {}
    }
}

impl Model for JoinModel {
    type State = JoinModelState;
    type Step = LeaseModelStep;

    fn start(&self) -> JoinModelState {
        let joining = Joining::new(identity(), terms(), self.guards);
        JoinModelState {
            faults_left: self.faults,
            table: Table::default(),
            late: Vec::new(),
            processes: vec![Process::Reading(joining); usize::from(self.processes)],
        }
    }

    fn transitions(&self, state: &JoinModelState) -> JoinNext {
        let mut next = Vec::new();
        for index in 0..state.late.len() {
            let mut after = state.clone();
            let write = after.late.remove(index);
            after.table.apply(&write);
            let step = LeaseModelStep("a late write reaches the table".into());
            next.push((step, after));
        }
        for index in 0..state.processes.len() {
            join_steps(state, index, &mut next);
        }
        next
    }

    fn check(&self, state: &JoinModelState) -> Result<(), String> {
        let mut held: Vec<u64> = state
            .processes
            .iter()
            .filter_map(|process| match process {
                Process::Holding(holder) => Some(holder.incarnation()),
                Process::Reading(_) | Process::Writing(..) => None,
            })
            .collect();
        let holders = held.len();
        held.sort_unstable();
        held.dedup();
        if held.len() < holders {
            return Err("two processes have one incarnation".into());
        }
        Ok(())
    }
}
