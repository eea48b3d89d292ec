//! What a step makes of the state.

use super::{
    step::Step,
    world::{
        resource,
        tokens,
        Cell,
        Renewal,
        World, //
    },
    ShareModel, //
};
use share::{
    verify_step,
    Action,
    Amounts,
    Member,
    PoolHeartbeat,
    Row, //
};
use std::sync::Arc;

/// Hand-overs under way at a time.
const GIVES_KEPT: usize = 2;

impl ShareModel {
    /// State after `step`; `None` where it can't be taken.
    pub(super) fn apply(&self, world: &World, step: &Step) -> Option<World> {
        let mut next = world.clone();
        match *step {
            Step::Second => self.second(&mut next)?,
            Step::Restart => self.restart(&mut next)?,
            Step::Read(i) => {
                self.read(&mut next, i);
                if !self.late_writes {
                    self.act(&mut next, i);
                }
            }
            Step::Renew(i) => {
                let seq = self.take_renewal(&mut next, i)?;
                let now = self.clock(i, &next);
                next.change(i, |member| member.set_lease(seq, now, now));
            }
            Step::SendRenewal(i) => {
                let seq = next.nodes[i].lease + 1;
                next.nodes[i].renewal = (seq <= self.lease_limit(i)).then(|| Renewal {
                    seq,
                    sent_at: self.clock(i, world),
                    taken: false,
                });
            }
            Step::TakeRenewal(i) => {
                self.take_renewal(&mut next, i)?;
                next.nodes[i].renewal.as_mut()?.taken = true;
            }
            Step::AnswerRenewal(i) => {
                let renewal = next.nodes[i].renewal.take()?;
                let now = self.clock(i, &next);
                next.change(i, |member| {
                    member.set_lease(renewal.seq, renewal.sent_at, now)
                });
            }
            Step::LoseAnswer(i) => next.nodes[i].renewal = None,
            Step::Beat(i, j) => {
                let beat = self.beat(&mut next, i);
                let now = self.clock(j, &next);
                next.change(j, |member| member.on_heartbeat(&beat, now));
            }
            Step::BeatAll(i) => {
                let beat = self.beat(&mut next, i);
                for j in (0..self.count()).filter(|j| self.reaches(i, *j)) {
                    let now = self.clock(j, &next);
                    next.change(j, |member| member.on_heartbeat(&beat, now));
                }
            }
            Step::KeepBeat(i, j) => {
                let beat = self.beat(&mut next, i);
                next.late_beat = Some((j, Arc::new(beat)));
            }
            Step::LateBeat => {
                let (j, beat) = next.late_beat.clone()?;
                let now = self.clock(j, &next);
                next.change(j, |member| member.on_heartbeat(&beat, now));
            }
            Step::SendRow(i, j) => {
                let row = Arc::clone(next.member(i).row()?);
                let now = self.clock(j, &next);
                next.change(j, |member| member.on_row(&row, now));
            }
            Step::Act(i) => self.act(&mut next, i),
            Step::ActAnswered(i) => self.act_answered(&mut next, i)?,
            Step::Report(i) => next.report_work(i),
            Step::Give(k) => self.give(&mut next, k),
            Step::Start(i) => self.start_work(&mut next, i)?,
            Step::Finish(i) => {
                next.nodes[i].work.pop()?;
            }
            Step::Demand(i, n) => next.change(i, |member| member.set_demand(n)),
            Step::Capacity(i, n) => next.change(i, |member| member.set_capacity(tokens(n))),
            Step::Leave(i) => next.change(i, Member::leave),
        }
        Some(next)
    }

    fn second(&self, world: &mut World) -> Option<()> {
        if world.now >= self.horizon {
            return None;
        }
        world.now += 1;
        let now = world.now;
        for node in &mut world.nodes {
            node.work.retain(|end| now < *end);
        }
        Some(())
    }

    fn restart(&self, world: &mut World) -> Option<()> {
        let i = self.count() - 1;
        let now = self.clock(i, world);
        world.nodes[i].lease = 1;
        world.change(i, |member| member.set_lease(1, now, now));
        self.restarted.map(|_| ())
    }

    pub(super) fn read(&self, world: &mut World, i: usize) {
        let now = self.clock(i, world);
        let row = Arc::clone(&world.row);
        let current = |j: &usize| world.nodes[*j].lease > 0 && !self.is_replaced(*j, world);
        let lease = |j| (self.member_id(j), world.nodes[j].lease);
        let leases: Vec<_> = (0..self.count()).filter(current).map(lease).collect();
        world.change(i, |member| {
            member.on_row(&row, now);
            if !self.work {
                member.set_in_flight(Amounts::new());
            }
            for (id, seq) in &leases {
                member.observe_lease(id, *seq, now, now);
            }
        });
    }

    fn take_renewal(&self, world: &mut World, i: usize) -> Option<u64> {
        let seq = world.nodes[i].lease + 1;
        let taken = seq <= self.lease_limit(i) && !self.is_replaced(i, world);
        world.nodes[i].lease = seq;
        taken.then_some(seq)
    }

    pub(super) fn beat(&self, world: &mut World, i: usize) -> PoolHeartbeat {
        if !self.work {
            world.report_work(i);
        }
        let now = self.clock(i, world);
        let mut member = Member::clone(world.member(i));
        let beat = member.heartbeat(now);
        world.nodes[i].cell = Cell::new(member);
        beat
    }

    fn act(&self, world: &mut World, i: usize) {
        if !self.work {
            world.report_work(i);
        }
        let now = self.clock(i, world);
        let mut actions = Vec::new();
        world.change(i, |member| actions = member.tick(now));
        for action in actions {
            match action {
                Action::Propose { expect_epoch, row } => {
                    let wins = expect_epoch == Some(world.row.epoch) && row.epoch <= self.max_epoch;
                    if wins && !self.cut_off.contains(&i) {
                        self.write(world, row);
                    }
                }
                Action::Transfer(give) => {
                    if world.gives.len() < GIVES_KEPT {
                        world.gives.push(give);
                    }
                }
                Action::SendRow { .. } => {}
            }
        }
    }

    fn act_answered(&self, world: &mut World, i: usize) -> Option<()> {
        let before = world.row.epoch;
        self.act(world, i);
        let row = Arc::clone(&world.row);
        let now = self.clock(i, world);
        world.change(i, |member| {
            member.on_row(&row, now);
            if !self.work {
                member.set_in_flight(Amounts::new());
            }
        });
        (row.epoch > before).then_some(())
    }

    fn write(&self, world: &mut World, row: Row) {
        let findings = verify_step(&world.row, &row, self.terms.floor_pct);
        world.finding = findings.first().map(ToString::to_string);
        world.row = Arc::new(row);
    }

    fn give(&self, world: &mut World, k: usize) {
        let give = world.gives[k].clone();
        let to = (0..self.count()).find(|i| *world.member(*i).id() == give.to);
        if let Some(i) = to {
            let now = self.clock(i, world);
            world.change(i, |member| member.on_transfer(&give, now));
        }
    }

    fn start_work(&self, world: &mut World, i: usize) -> Option<()> {
        let usable = world.member(i).usable(&resource(), self.clock(i, world));
        let in_flight = u32::try_from(world.nodes[i].work.len()).ok()?;
        let term = self.terms.grace.as_secs() + self.overstay;
        if in_flight >= usable || term == 0 {
            return None;
        }
        world.nodes[i].work.push(world.now + term);
        Some(())
    }
}
