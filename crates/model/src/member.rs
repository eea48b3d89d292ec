//! Models of a lease whose holder may be paused at any time, and of processes that join with one name.
//!
//! Holder and observer have separate clocks with the maximum drift that the terms allow: the holder's
//! is slow, the observer's fast. A renewal may be answered, take effect with its answer lost, take
//! effect later, or never; a read returns the row as it was at any time while the read was in
//! flight. The holder never has to take a step, so a pause needs no step of its own.
//!
//! Invariants: once the observer considers a lease lapsed, the holder no longer relies on it; no two
//! processes with one name get the same incarnation.

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

/// Holder's time per clock step; on an exact clock a step is 10 ms.
const HOLDER_STEP_MS: u64 = 8;
/// Observer's time per clock step.
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

/// Conditional write in flight to the table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Write {
    check: Option<u64>,
    row: LeaseRow,
}

/// The platform's table, with one row.
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

fn to_write(step: &LeaseStep) -> Option<Write> {
    let LeaseStep::Commit { check, value } = step else {
        return None;
    };
    let row = value.parse().expect("the write contains a valid lease");
    Some(Write { check: *check, row })
}

/// Transition of [`LeaseModel`] or [`JoinModel`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseModelStep(String);

impl fmt::Display for LeaseModelStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One holder and one observer of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// Guards of both.
    pub guards: Guards,
    /// Number of clock steps.
    pub ticks: u64,
    /// Budget for lost answers, late writes and outages together.
    pub faults: u8,
}

/// Answer that the holder waits for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Wait {
    Nothing,
    Write(Box<Write>),
    Read,
}

/// Read in flight: the time it was sent, and the row once the table has looked it up.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PendingRead {
    sent_at: Now,
    row: Option<VersionedLease>,
}

/// State of the holder, the table and the observer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseModelState {
    ticks: u64,
    faults_left: u8,
    table: Table,
    late_writes: Vec<Write>,
    holder: LeaseHolder,
    wait: Wait,
    observer: LeaseObserver,
    read: Option<PendingRead>,
    /// Whether the observer has considered the lease lapsed while the holder had seen no gap in it.
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
        self.apply_step(&step);
        self
    }

    fn apply_step(&mut self, step: &LeaseStep) {
        self.wait = match step {
            LeaseStep::Read => Wait::Read,
            LeaseStep::Commit { .. } => {
                Wait::Write(Box::new(to_write(step).expect("the step is a commit")))
            }
            LeaseStep::Idle | LeaseStep::Superseded => Wait::Nothing,
        };
    }
}

type LeaseNext = Vec<(LeaseModelStep, LeaseModelState)>;

fn push(next: &mut LeaseNext, what: &str, after: LeaseModelState) {
    next.push((LeaseModelStep(what.into()), after));
}

fn environment_steps(model: &LeaseModel, state: &LeaseModelState, next: &mut LeaseNext) {
    if state.ticks < model.ticks {
        let mut after = state.clone();
        after.ticks += 1;
        push(next, "the clock advances by 10 ms", after);
    }
    for index in 0..state.late_writes.len() {
        let mut after = state.clone();
        let write = after.late_writes.remove(index);
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
                after.apply_step(&step);
                push(next, "the holder sends a renewal", after);
            }
        }
        Wait::Write(write) => write_steps(state, write, next),
        Wait::Read => {
            let event = LeaseEvent::Read(state.table.row.clone());
            let after = state.clone().deliver(event);
            push(next, "the holder reads its row", after);
        }
    }
}

fn write_steps(state: &LeaseModelState, write: &Write, next: &mut LeaseNext) {
    let mut after = state.clone();
    let event = after.table.apply(write);
    // The branches below cover answers that arrive later than the write takes effect, or not at all.
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
        // The write takes effect now and its answer is still in flight, so the row is ahead of the holder.
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
        late.late_writes.push(write.clone());
        late.late_writes.sort();
        let late = late.deliver(LeaseEvent::OutcomeUnknown);
        push(next, "the renewal is in flight, the answer is lost", late);
    }
}

fn observer_steps(state: &LeaseModelState, next: &mut LeaseNext) {
    match &state.read {
        None => {
            let mut after = state.clone();
            after.read = Some(PendingRead {
                sent_at: state.observer_now(),
                row: None,
            });
            push(next, "the observer sends a read", after);
        }
        Some(read) => {
            let mut after = state.clone();
            match &read.row {
                None => {
                    after.read = Some(PendingRead {
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
        push(next, "the observer considers the lease lapsed", after);
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
            unreachable!("a join writes a row before it holds the lease");
        };
        let mut table = Table::default();
        let event = table.apply(&to_write(&step).expect("the step is a commit"));
        let JoinProgress::Joined(holder) = joining.on_event(event, Now::ZERO) else {
            unreachable!("a committed join holds the lease");
        };
        LeaseModelState {
            ticks: 0,
            faults_left: self.faults,
            table,
            late_writes: Vec::new(),
            holder,
            wait: Wait::Nothing,
            observer: LeaseObserver::new(terms(), self.guards),
            read: None,
            lapsed: false,
        }
    }

    fn transitions(&self, state: &LeaseModelState) -> LeaseNext {
        // The holder has noticed its gap, so no later state can violate the invariant.
        if state.holder.gaps() > 0 {
            return Vec::new();
        }
        let mut next = Vec::new();
        environment_steps(self, state, &mut next);
        holder_steps(state, &mut next);
        observer_steps(state, &mut next);
        next
    }

    fn check(&self, state: &LeaseModelState) -> Result<(), String> {
        let relies_on_lease = state.holder.gaps() == 0 && state.holder.is_valid(state.holder_now());
        if state.lapsed && relies_on_lease {
            return Err("the holder relies on a lease that the observer has seen lapse".into());
        }
        Ok(())
    }
}

/// Processes that join with the same name.
#[derive(Clone, Copy, Debug)]
pub struct JoinModel {
    /// Guards of all.
    pub guards: Guards,
    /// Number of processes that join.
    pub processes: u8,
    /// Budget for lost answers, late writes and outages together.
    pub faults: u8,
}

/// Progress of one process.
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
    late_writes: Vec<Write>,
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
            JoinProgress::Pending(joining, step) => match to_write(&step) {
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
                late.late_writes.push((**write).clone());
                late.late_writes.sort();
                let late = late.deliver(index, joining, LeaseEvent::OutcomeUnknown);
                push("has its write in flight, the answer is lost", late);
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
            late_writes: Vec::new(),
            processes: vec![Process::Reading(joining); usize::from(self.processes)],
        }
    }

    fn transitions(&self, state: &JoinModelState) -> JoinNext {
        let mut next = Vec::new();
        for index in 0..state.late_writes.len() {
            let mut after = state.clone();
            let write = after.late_writes.remove(index);
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
            return Err("two processes have the same incarnation".into());
        }
        Ok(())
    }
}
