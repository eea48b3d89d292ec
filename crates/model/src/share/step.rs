//! Steps of the model, and the steps that are possible in a state.

use super::{
    state::ShareState,
    ShareModel, //
};
use std::fmt;

/// Transition of the model.
#[derive(Clone, Debug)]
pub enum Step {
    /// The clock advances by a second.
    AdvanceClock,
    /// The next incarnation of a member starts.
    Restart,
    /// A member reads the row and all leases.
    Read(usize),
    /// A member renews its lease and gets the answer at once.
    Renew(usize),
    /// A member sends a renewal.
    SendRenewal(usize),
    /// The table commits a renewal in flight.
    CommitRenewal(usize),
    /// The answer to a renewal arrives.
    AnswerRenewal(usize),
    /// The answer to a renewal is lost.
    LoseAnswer(usize),
    /// A heartbeat arrives without delay.
    Heartbeat(usize, usize),
    /// A heartbeat reaches all reachable members.
    HeartbeatAll(usize),
    /// A heartbeat is delayed.
    DelayHeartbeat(usize, usize),
    /// The delayed heartbeat arrives; it may arrive again.
    DeliverDelayedHeartbeat,
    /// A member sends the row that it adopted.
    SendRow(usize, usize),
    /// A member carries out the actions of its tick; the answer to its write is lost.
    Tick(usize),
    /// As `Tick`, and the member learns that its row was committed.
    TickAnswered(usize),
    /// A member's count of work in flight is updated.
    ReportInFlight(usize),
    /// A transfer arrives; it may arrive again.
    DeliverTransfer(usize),
    /// A member starts work on a free token.
    StartWork(usize),
    /// Work of a member finishes.
    FinishWork(usize),
    /// The demand on a member changes.
    Demand(usize, u32),
    /// A member learns of another capacity.
    Capacity(usize, u32),
    /// A member begins its planned stop.
    Leave(usize),
}

/// Name of the member at `index`.
pub(super) fn name(index: usize) -> char {
    char::from(b'a' + u8::try_from(index).unwrap_or(25))
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AdvanceClock => f.write_str("the clock advances by a second"),
            Self::Restart => f.write_str("the next incarnation starts"),
            Self::Read(i) => write!(f, "{} reads the row and the leases", name(*i)),
            Self::Renew(i) => write!(f, "{} renews its lease", name(*i)),
            Self::SendRenewal(i) => write!(f, "{} sends a renewal of its lease", name(*i)),
            Self::CommitRenewal(i) => write!(f, "the table commits the renewal of {}", name(*i)),
            Self::AnswerRenewal(i) => write!(f, "{} gets the answer to its renewal", name(*i)),
            Self::LoseAnswer(i) => write!(f, "the answer to the renewal of {} is lost", name(*i)),
            Self::Heartbeat(i, j) => write!(f, "heartbeat of {} reaches {}", name(*i), name(*j)),
            Self::HeartbeatAll(i) => write!(f, "heartbeat of {} reaches all others", name(*i)),
            Self::DelayHeartbeat(i, j) => {
                write!(f, "heartbeat of {} to {} is delayed", name(*i), name(*j))
            }
            Self::DeliverDelayedHeartbeat => f.write_str("the delayed heartbeat arrives"),
            Self::SendRow(i, j) => write!(f, "{} sends its row to {}", name(*i), name(*j)),
            Self::Tick(i) => write!(f, "{} carries out its tick", name(*i)),
            Self::TickAnswered(i) => {
                write!(f, "{} carries out its tick and gets the answer", name(*i))
            }
            Self::ReportInFlight(i) => {
                write!(f, "{} updates its count of work in flight", name(*i))
            }
            Self::DeliverTransfer(k) => write!(f, "transfer {k} arrives"),
            Self::StartWork(i) => write!(f, "{} starts work", name(*i)),
            Self::FinishWork(i) => write!(f, "work of {} finishes", name(*i)),
            Self::Demand(i, n) => write!(f, "demand on {} becomes {n}", name(*i)),
            Self::Capacity(i, n) => write!(f, "{} learns that the capacity is {n}", name(*i)),
            Self::Leave(i) => write!(f, "{} begins its planned stop", name(*i)),
        }
    }
}

impl ShareModel {
    /// Candidate steps in `state`; [`ShareModel::apply`] rejects those that aren't possible.
    pub(super) fn steps(&self, state: &ShareState) -> Vec<Step> {
        let mut steps = vec![Step::AdvanceClock];
        for i in (0..self.member_count()).filter(|i| state.nodes[*i].lease > 0) {
            self.member_steps(i, state, &mut steps);
            if self.broadcast {
                steps.push(Step::HeartbeatAll(i));
            }
            for j in (0..self.member_count()).filter(|j| self.reaches(i, *j)) {
                if !self.broadcast {
                    steps.push(Step::Heartbeat(i, j));
                }
                if self.delayed_heartbeats {
                    steps.push(Step::DelayHeartbeat(i, j));
                }
                if self.rows_by_peers || self.cut_off.contains(&j) {
                    steps.push(Step::SendRow(i, j));
                }
            }
        }
        if state.nodes.iter().any(|node| node.lease == 0) {
            steps.push(Step::Restart);
        }
        if state.delayed_heartbeat.is_some() {
            steps.push(Step::DeliverDelayedHeartbeat);
        }
        steps.extend((0..state.transfers.len()).map(Step::DeliverTransfer));
        steps
    }

    fn member_steps(&self, i: usize, state: &ShareState, steps: &mut Vec<Step>) {
        if self.late_writes || !self.demands.is_empty() || self.leaving {
            steps.push(Step::Tick(i));
        }
        if self.late_writes && !self.cut_off.contains(&i) {
            steps.push(Step::TickAnswered(i));
        }
        if !self.cut_off.contains(&i) {
            steps.push(Step::Read(i));
            self.renewal_steps(i, state, steps);
        }
        if self.work {
            steps.push(Step::ReportInFlight(i));
            steps.push(Step::StartWork(i));
            steps.push(Step::FinishWork(i));
        }
        let demands = self.demands.iter().filter(|(member, _)| *member == i);
        steps.extend(demands.map(|(_, n)| Step::Demand(i, *n)));
        steps.extend(self.capacities.iter().map(|n| Step::Capacity(i, *n)));
        if self.leaving {
            steps.push(Step::Leave(i));
        }
    }

    fn renewal_steps(&self, i: usize, state: &ShareState, steps: &mut Vec<Step>) {
        match &state.nodes[i].renewal {
            None => {
                steps.push(Step::Renew(i));
                if self.slow_renewals {
                    steps.push(Step::SendRenewal(i));
                }
            }
            Some(renewal) if renewal.committed => {
                steps.push(Step::AnswerRenewal(i));
                steps.push(Step::LoseAnswer(i));
            }
            Some(_) => steps.push(Step::CommitRenewal(i)),
        }
    }
}
