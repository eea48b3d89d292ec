//! Model of tickets at two entries: duplicates at any time, pauses, crashes, stepped clocks, a planned
//! stop.
//!
//! Entry X owns the tickets and may hand over to Y. Messages are unordered: a copy of a ticket, an
//! offer or an acknowledgement may arrive at any time, repeatedly or never, so loss, duplication,
//! reordering and delay need no steps of their own. A process may pause between any two of its
//! steps, which covers the pause between check and send. The platform is not involved, so its outage
//! changes nothing.
//!
//! Invariant: each ticket is sent to the upstream at most once, and a ticket whose caller got
//! `not-run` is never sent, because that caller files again with a new ticket.

use crate::Model;
use base::{
    Incarnation,
    InstanceId,
    Now,
    RunOutcome, //
};
use filing::{
    Accepted,
    Bounds,
    Draining,
    Guards,
    HandedOver,
    Ledger,
    Nonce,
    Offer,
    Offered,
    Record,
    Stopping,
    Ticket,
    TicketDecision,
    WallClock, //
};
use std::{
    collections::BTreeSet,
    fmt,
    time::Duration, //
};

/// Wall time at the start, large enough to be stepped back.
const START_WALL_MS: u64 = 100;
/// Time from the start to the expiry of the tickets.
const LIFETIME_MS: u64 = 2;
/// Time after expiry for which an outcome is retained.
const RETENTION_MS: u64 = 1;
const X: usize = 0;
const Y: usize = 1;

/// Configuration of one search.
#[derive(Clone, Copy, Debug)]
pub struct TicketModel {
    /// Guards of both ledgers.
    pub guards: Guards,
    /// Number of distinct tickets, all issued by X.
    pub tickets: u8,
    /// Copies of each ticket that callers send to either entry.
    pub copies: u8,
    /// Maximum number of tickets that a ledger stores.
    pub tickets_max: usize,
    /// Time at which the clock stops, in milliseconds.
    pub end_ms: u64,
    /// Number of crashes, each with a restart, of either entry.
    pub crashes: u8,
    /// Step of the wall clock back, once and at any time, in milliseconds; 0 for none.
    pub step_back_ms: u64,
    /// Whether entries may shed filings.
    pub shedding: bool,
    /// Whether X stops and hands over to Y.
    pub hand_over: bool,
    /// Whether the records fit into the offer.
    pub offer_fits: bool,
    /// Lag of Y's wall clock behind X's, in milliseconds.
    pub clock_lag_ms: u64,
}

/// One process with its ledger, by phase of its planned stop.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Process {
    Open(Ledger),
    Draining(Stopping<Draining>),
    Offered(Stopping<Offered>),
    HandedOver(Stopping<HandedOver>),
}

impl Process {
    fn begin(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        match self {
            Self::Open(ledger) => ledger.begin(ticket, now),
            Self::Draining(stopping) => stopping.begin(ticket, now),
            Self::Offered(stopping) => stopping.begin(ticket, now),
            Self::HandedOver(stopping) => stopping.begin(ticket, now),
        }
    }

    fn refuse(&mut self, ticket: &Ticket, now: Now) -> TicketDecision {
        match self {
            Self::Open(ledger) => ledger.refuse(ticket, now),
            Self::Draining(stopping) => stopping.refuse(ticket, now),
            Self::Offered(stopping) => stopping.refuse(ticket, now),
            Self::HandedOver(stopping) => stopping.refuse(ticket, now),
        }
    }

    fn finish(&mut self, nonce: Nonce, record: Record) {
        match self {
            Self::Open(ledger) => ledger.finish(nonce, record),
            Self::Draining(stopping) => stopping.finish(nonce, record),
            Self::Offered(stopping) => stopping.finish(nonce, record),
            Self::HandedOver(stopping) => stopping.finish(nonce, record),
        }
    }

    fn remove_unsent(&mut self, nonce: Nonce) {
        match self {
            Self::Open(ledger) => ledger.remove_unsent(nonce),
            Self::Draining(stopping) => stopping.remove_unsent(nonce),
            Self::Offered(stopping) => stopping.remove_unsent(nonce),
            Self::HandedOver(stopping) => stopping.remove_unsent(nonce),
        }
    }

    fn expire(&mut self, now: Now) -> usize {
        match self {
            Self::Open(ledger) => ledger.expire(now),
            Self::Draining(stopping) => stopping.expire(now),
            Self::Offered(stopping) => stopping.expire(now),
            Self::HandedOver(stopping) => stopping.expire(now),
        }
    }
}

/// A filing that the ledger of its entry allowed to run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Run {
    entry: usize,
    nonce: Nonce,
    sent: bool,
}

/// State of both entries, the messages in flight, and what callers and the upstream have received.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TicketState {
    now_ms: u64,
    stepped_back_ms: u64,
    processes: [Process; 2],
    incarnations: [Incarnation; 2],
    crashes_left: u8,
    copies_left: Vec<u8>,
    runs: BTreeSet<Run>,
    offer: Option<Offer>,
    accepted: Option<Accepted>,
    /// How often each ticket was actually sent to the upstream.
    sends: Vec<u8>,
    /// Tickets whose caller got `not-run`.
    answered_not_run: BTreeSet<Nonce>,
}

/// Transition of the model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketStep {
    /// The clock advances by a millisecond.
    Tick,
    /// The system's wall clock is stepped back.
    StepBack,
    /// A copy of a ticket arrives, with the ledger's decision.
    Receive(usize, Nonce, String),
    /// A copy of a ticket arrives at an entry that shedding it, with the ledger's decision.
    Shed(usize, Nonce, String),
    /// The entry sends to the upstream.
    Send(usize, Nonce),
    /// The entry records the upstream's answer.
    Finish(usize, Nonce),
    /// The entry sends nothing and answers `not-run`.
    Refuse(usize, Nonce),
    /// The entry sends nothing and may run the ticket again later.
    Unsent(usize, Nonce),
    /// The entry removes expired outcomes.
    Expire(usize),
    /// The entry crashes and restarts.
    Crash(usize),
    /// X begins its planned stop.
    Stop,
    /// X closes and makes its offer.
    Offer,
    /// The offer arrives at Y, with whether Y accepts it.
    Adopt(bool),
    /// The acknowledgement arrives at X.
    Acknowledge,
}

impl fmt::Display for TicketStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |entry: &usize| if *entry == X { "X" } else { "Y" };
        match self {
            Self::Tick => write!(f, "the clock advances by a millisecond"),
            Self::StepBack => write!(f, "the wall clock is stepped back"),
            Self::Receive(e, n, decision) => {
                write!(f, "ticket {n} arrives at {}: {decision}", name(e))
            }
            Self::Shed(e, n, decision) => write!(f, "{} sheds ticket {n}: {decision}", name(e)),
            Self::Send(e, n) => write!(f, "{} sends ticket {n} to the upstream", name(e)),
            Self::Finish(e, n) => write!(f, "{} records the answer to ticket {n}", name(e)),
            Self::Refuse(e, n) => {
                write!(f, "{} doesn't send ticket {n} and answers not-run", name(e))
            }
            Self::Unsent(e, n) => write!(f, "{} doesn't send ticket {n} and may retry it", name(e)),
            Self::Expire(e) => write!(f, "{} removes expired outcomes", name(e)),
            Self::Crash(e) => write!(f, "{} crashes and restarts", name(e)),
            Self::Stop => write!(f, "X begins its planned stop"),
            Self::Offer => write!(f, "X closes and offers its records to Y"),
            Self::Adopt(accepted) => write!(f, "the offer arrives at Y, accepted: {accepted}"),
            Self::Acknowledge => write!(f, "the acknowledgement arrives at X"),
        }
    }
}

impl TicketModel {
    fn name(entry: usize) -> InstanceId {
        InstanceId::from_static(if entry == X { "x" } else { "y" })
    }

    fn ticket(nonce: Nonce) -> Ticket {
        Ticket {
            class: "orders".into(),
            instance: Self::name(X),
            incarnation: 1,
            nonce,
            expires_at_ms: START_WALL_MS + LIFETIME_MS,
        }
    }

    fn process(&self, entry: usize, incarnation: Incarnation, wall_ms: u64, now: Now) -> Process {
        let bounds = Bounds {
            tickets_max: self.tickets_max,
            lifetime_max: Duration::from_millis(10),
            retention: Duration::from_millis(RETENTION_MS),
            offer_bytes_max: if self.offer_fits { usize::MAX } else { 0 },
            ..Bounds::default()
        };
        let clock = WallClock {
            start_wall_ms: wall_ms,
            start: now,
        };
        let ledger = Ledger::new(Self::name(entry), incarnation, clock, bounds, self.guards);
        Process::Open(ledger)
    }

    fn wall_ms(&self, state: &TicketState, entry: usize) -> u64 {
        let clock_lag_ms = if entry == Y { self.clock_lag_ms } else { 0 };
        START_WALL_MS + state.now_ms - state.stepped_back_ms - clock_lag_ms
    }

    fn environment_steps(&self, state: &TicketState, next: &mut Vec<(TicketStep, TicketState)>) {
        if state.now_ms < self.end_ms {
            let mut after = state.clone();
            after.now_ms += 1;
            next.push((TicketStep::Tick, after));
        }
        if self.step_back_ms > 0 && state.stepped_back_ms == 0 {
            next.push((TicketStep::StepBack, self.step_back(state)));
        }
        if state.crashes_left > 0 {
            for entry in self.entries() {
                next.push((TicketStep::Crash(entry), self.crash(state, entry)));
            }
        }
    }

    fn entries(&self) -> std::ops::Range<usize> {
        if self.hand_over {
            X..Y + 1
        } else {
            X..Y
        }
    }

    fn step_back(&self, state: &TicketState) -> TicketState {
        let mut after = state.clone();
        after.stepped_back_ms = self.step_back_ms;
        let clock = WallClock {
            start_wall_ms: self.wall_ms(&after, X),
            start: now(&after),
        };
        if let Process::Open(ledger) = &mut after.processes[X] {
            ledger.step_clock(clock);
        }
        after
    }

    fn crash(&self, state: &TicketState, entry: usize) -> TicketState {
        let mut after = state.clone();
        after.crashes_left -= 1;
        after.incarnations[entry] += 1;
        let incarnation = after.incarnations[entry];
        let wall_ms = self.wall_ms(&after, entry);
        after.processes[entry] = self.process(entry, incarnation, wall_ms, now(&after));
        after.runs.retain(|run| run.entry != entry);
        after
    }

    fn request_steps(&self, state: &TicketState, next: &mut Vec<(TicketStep, TicketState)>) {
        for (index, copies) in state.copies_left.iter().enumerate() {
            if *copies == 0 {
                continue;
            }
            let ticket = Self::ticket(index as Nonce);
            for entry in self.entries() {
                let mut after = state.clone();
                after.copies_left[index] -= 1;
                if self.shedding {
                    let mut shed = after.clone();
                    let decision = shed.processes[entry].refuse(&ticket, now(state));
                    apply_decision(&mut shed, entry, ticket.nonce, &decision);
                    let step = TicketStep::Shed(entry, ticket.nonce, describe(&decision));
                    next.push((step, shed));
                }
                let decision = after.processes[entry].begin(&ticket, now(state));
                apply_decision(&mut after, entry, ticket.nonce, &decision);
                let step = TicketStep::Receive(entry, ticket.nonce, describe(&decision));
                next.push((step, after));
            }
        }
    }

    fn progress_steps(&self, state: &TicketState, next: &mut Vec<(TicketStep, TicketState)>) {
        for run in &state.runs {
            if run.sent {
                next.push(finish(state, *run));
            } else {
                next.push(send(state, *run));
                next.push(refuse(state, *run));
                next.push(unsent(state, *run));
            }
        }
        for entry in self.entries() {
            let mut after = state.clone();
            if after.processes[entry].expire(now(state)) > 0 {
                next.push((TicketStep::Expire(entry), after));
            }
        }
    }

    fn hand_over_steps(&self, state: &TicketState, next: &mut Vec<(TicketStep, TicketState)>) {
        let mut after = state.clone();
        match state.processes[X].clone() {
            Process::Open(ledger) if state.incarnations[X] == 1 => {
                after.processes[X] = Process::Draining(ledger.stop());
                next.push((TicketStep::Stop, after));
            }
            Process::Draining(stopping) => {
                let offered = stopping.offer(Self::name(Y), state.incarnations[Y], now(state));
                after.offer = Some(offered.offer().clone());
                after.processes[X] = Process::Offered(offered);
                next.push((TicketStep::Offer, after));
            }
            Process::Offered(offered) => {
                if let Some(accepted) = &state.accepted {
                    if let Ok(handed_over) = offered.acknowledged(accepted) {
                        after.processes[X] = Process::HandedOver(handed_over);
                        next.push((TicketStep::Acknowledge, after));
                    }
                }
            }
            Process::Open(_) | Process::HandedOver(_) => {}
        }
        self.adopt_steps(state, next);
    }

    fn adopt_steps(&self, state: &TicketState, next: &mut Vec<(TicketStep, TicketState)>) {
        let mut after = state.clone();
        if let (Some(offer), Process::Open(ledger)) = (&state.offer, &mut after.processes[Y]) {
            let adopted = ledger.accept_offer(offer);
            let is_accepted = adopted.is_ok();
            after.accepted = adopted.ok().or(after.accepted);
            next.push((TicketStep::Adopt(is_accepted), after));
        }
    }
}

fn now(state: &TicketState) -> Now {
    Now::from_millis(state.now_ms)
}

fn describe(decision: &TicketDecision) -> String {
    match decision {
        TicketDecision::Run => "run".into(),
        TicketDecision::Wait => "wait".into(),
        TicketDecision::Replay(record) => format!("replay {}", record.outcome),
        TicketDecision::Refuse(reason) => format!("refuse {reason:?}, {}", reason.outcome()),
    }
}

/// Applies the ledger's decision to the entry's runs and to what the caller has received.
fn apply_decision(state: &mut TicketState, entry: usize, nonce: Nonce, decision: &TicketDecision) {
    let outcome = match decision {
        TicketDecision::Run => {
            let run = Run {
                entry,
                nonce,
                sent: false,
            };
            state.runs.insert(run);
            return;
        }
        TicketDecision::Wait => return,
        TicketDecision::Replay(record) => record.outcome,
        TicketDecision::Refuse(reason) => reason.outcome(),
    };
    if outcome == RunOutcome::NotRun {
        state.answered_not_run.insert(nonce);
    }
}

fn send(state: &TicketState, run: Run) -> (TicketStep, TicketState) {
    let mut after = state.clone();
    after.runs.remove(&run);
    after.runs.insert(Run { sent: true, ..run });
    after.sends[run.nonce as usize] += 1;
    (TicketStep::Send(run.entry, run.nonce), after)
}

fn finish(state: &TicketState, run: Run) -> (TicketStep, TicketState) {
    let mut after = state.clone();
    after.runs.remove(&run);
    after.processes[run.entry].finish(run.nonce, Record::status_only(RunOutcome::Done, 200));
    (TicketStep::Finish(run.entry, run.nonce), after)
}

fn refuse(state: &TicketState, run: Run) -> (TicketStep, TicketState) {
    let mut after = state.clone();
    after.runs.remove(&run);
    after.processes[run.entry].finish(run.nonce, Record::status_only(RunOutcome::NotRun, 503));
    after.answered_not_run.insert(run.nonce);
    (TicketStep::Refuse(run.entry, run.nonce), after)
}

fn unsent(state: &TicketState, run: Run) -> (TicketStep, TicketState) {
    let mut after = state.clone();
    after.runs.remove(&run);
    after.processes[run.entry].remove_unsent(run.nonce);
    (TicketStep::Unsent(run.entry, run.nonce), after)
}

impl Model for TicketModel {
    type State = TicketState;
    type Step = TicketStep;

    fn start(&self) -> TicketState {
        let tickets = usize::from(self.tickets);
        TicketState {
            now_ms: 0,
            stepped_back_ms: 0,
            processes: [
                self.process(X, 1, START_WALL_MS, Now::ZERO),
                self.process(Y, 1, START_WALL_MS - self.clock_lag_ms, Now::ZERO),
            ],
            incarnations: [1, 1],
            crashes_left: self.crashes,
            copies_left: vec![self.copies; tickets],
            runs: BTreeSet::new(),
            offer: None,
            accepted: None,
            sends: vec![0; tickets],
            answered_not_run: BTreeSet::new(),
        }
    }

    fn transitions(&self, state: &TicketState) -> Vec<(TicketStep, TicketState)> {
        let mut next = Vec::new();
        self.environment_steps(state, &mut next);
        self.request_steps(state, &mut next);
        self.progress_steps(state, &mut next);
        if self.hand_over {
            self.hand_over_steps(state, &mut next);
        }
        next
    }

    fn check(&self, state: &TicketState) -> Result<(), String> {
        for (nonce, sends) in state.sends.iter().enumerate() {
            if *sends > 1 {
                return Err(format!("ticket {nonce} was sent {sends} times"));
            }
            if *sends > 0 && state.answered_not_run.contains(&(nonce as Nonce)) {
                return Err(format!("ticket {nonce} was sent, and a caller got not-run"));
            }
        }
        Ok(())
    }
}
