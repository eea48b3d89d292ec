//! What can happen next, and its words.

use super::{
    world::World,
    ShareModel, //
};
use std::fmt;

/// What happens next.
#[derive(Clone, Debug)]
pub enum Step {
    /// A second passes.
    Second,
    /// The next life of a member begins.
    Restart,
    /// A member reads the row and all leases.
    Read(usize),
    /// A member renews its lease and learns of it at once.
    Renew(usize),
    /// A member sends a renewal.
    SendRenewal(usize),
    /// The table takes a renewal that is on its way.
    TakeRenewal(usize),
    /// The answer to a renewal arrives.
    AnswerRenewal(usize),
    /// The answer to a renewal is lost.
    LoseAnswer(usize),
    /// A beat arrives as it is sent.
    Beat(usize, usize),
    /// A beat reaches everybody that it can.
    BeatAll(usize),
    /// A beat is kept back.
    KeepBeat(usize, usize),
    /// The beat that was kept back arrives.
    LateBeat,
    /// A member sends the row that it adopted.
    SendRow(usize, usize),
    /// A member does what its timer asks for; the answer to what it writes is lost.
    Act(usize),
    /// The same, and it learns that its row was taken.
    ActAnswered(usize),
    /// A member counts its work in flight.
    Report(usize),
    /// A hand-over arrives; it may again.
    Give(usize),
    /// A member takes a token and starts work on it.
    Start(usize),
    /// Work of a member ends.
    Finish(usize),
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
            Self::Second => f.write_str("a second passes"),
            Self::Restart => f.write_str("the next life begins"),
            Self::Read(i) => write!(f, "{} reads the row and the leases", name(*i)),
            Self::Renew(i) => write!(f, "{} renews its lease", name(*i)),
            Self::SendRenewal(i) => write!(f, "{} sends a renewal of its lease", name(*i)),
            Self::TakeRenewal(i) => write!(f, "the table takes the renewal of {}", name(*i)),
            Self::AnswerRenewal(i) => write!(f, "{} gets the answer to its renewal", name(*i)),
            Self::LoseAnswer(i) => write!(f, "the answer to the renewal of {} is lost", name(*i)),
            Self::Beat(i, j) => write!(f, "beat of {} reaches {}", name(*i), name(*j)),
            Self::BeatAll(i) => write!(f, "beat of {} reaches all others", name(*i)),
            Self::KeepBeat(i, j) => write!(f, "beat of {} to {} is kept back", name(*i), name(*j)),
            Self::LateBeat => f.write_str("the beat that was kept back arrives"),
            Self::SendRow(i, j) => write!(f, "{} sends its row to {}", name(*i), name(*j)),
            Self::Act(i) => write!(f, "{} does what is due", name(*i)),
            Self::ActAnswered(i) => write!(f, "{} does what is due, and learns of it", name(*i)),
            Self::Report(i) => write!(f, "{} counts its work in flight", name(*i)),
            Self::Give(k) => write!(f, "hand-over {k} arrives"),
            Self::Start(i) => write!(f, "{} starts work", name(*i)),
            Self::Finish(i) => write!(f, "work of {} ends", name(*i)),
            Self::Demand(i, n) => write!(f, "demand on {} becomes {n}", name(*i)),
            Self::Capacity(i, n) => write!(f, "{} learns that the capacity is {n}", name(*i)),
            Self::Leave(i) => write!(f, "{} begins its planned stop", name(*i)),
        }
    }
}

impl ShareModel {
    /// Every step that could come next.
    pub(super) fn steps(&self, world: &World) -> Vec<Step> {
        let mut steps = vec![Step::Second];
        for i in (0..self.count()).filter(|i| world.nodes[*i].lease > 0) {
            self.steps_of(i, world, &mut steps);
            if self.broadcast {
                steps.push(Step::BeatAll(i));
            }
            for j in (0..self.count()).filter(|j| self.reaches(i, *j)) {
                if !self.broadcast {
                    steps.push(Step::Beat(i, j));
                }
                if self.late_beats {
                    steps.push(Step::KeepBeat(i, j));
                }
                if self.rows_by_peers || self.cut_off.contains(&j) {
                    steps.push(Step::SendRow(i, j));
                }
            }
        }
        if world.nodes.iter().any(|node| node.lease == 0) {
            steps.push(Step::Restart);
        }
        if world.late_beat.is_some() {
            steps.push(Step::LateBeat);
        }
        steps.extend((0..world.gives.len()).map(Step::Give));
        steps
    }

    fn steps_of(&self, i: usize, world: &World, steps: &mut Vec<Step>) {
        if self.late_writes || !self.demands.is_empty() || self.leaving {
            steps.push(Step::Act(i));
        }
        if self.late_writes && !self.cut_off.contains(&i) {
            steps.push(Step::ActAnswered(i));
        }
        if !self.cut_off.contains(&i) {
            steps.push(Step::Read(i));
            self.renewals_of(i, world, steps);
        }
        if self.work {
            steps.push(Step::Report(i));
            steps.push(Step::Start(i));
            steps.push(Step::Finish(i));
        }
        let demands = self.demands.iter().filter(|(member, _)| *member == i);
        steps.extend(demands.map(|(_, n)| Step::Demand(i, *n)));
        steps.extend(self.capacities.iter().map(|n| Step::Capacity(i, *n)));
        if self.leaving {
            steps.push(Step::Leave(i));
        }
    }

    fn renewals_of(&self, i: usize, world: &World, steps: &mut Vec<Step>) {
        match &world.nodes[i].renewal {
            None => {
                steps.push(Step::Renew(i));
                if self.slow_renewals {
                    steps.push(Step::SendRenewal(i));
                }
            }
            Some(renewal) if renewal.taken => {
                steps.push(Step::AnswerRenewal(i));
                steps.push(Step::LoseAnswer(i));
            }
            Some(_) => steps.push(Step::TakeRenewal(i)),
        }
    }
}
