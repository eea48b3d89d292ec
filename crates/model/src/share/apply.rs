//! Successor state of each step.

use super::{
    state::{
        resource,
        tokens,
        HashedMember,
        Renewal,
        ShareState, //
    },
    step::Step,
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

/// Transfers in flight; further ones are dropped.
const MAX_PENDING_TRANSFERS: usize = 2;

impl ShareModel {
    /// State after `step`, or `None` if the step is not possible.
    pub(super) fn apply(&self, state: &ShareState, step: &Step) -> Option<ShareState> {
        let mut next = state.clone();
        match *step {
            Step::AdvanceClock => self.advance_clock(&mut next)?,
            Step::Restart => self.restart(&mut next)?,
            Step::Read(i) => {
                self.read(&mut next, i);
                if !self.late_writes {
                    self.tick(&mut next, i);
                }
            }
            Step::Renew(i) => {
                let seq = self.commit_renewal(&mut next, i)?;
                let now = self.clock(i, &next);
                next.change(i, |member| member.set_lease(seq, now, now));
            }
            Step::SendRenewal(i) => {
                let seq = next.nodes[i].lease + 1;
                next.nodes[i].renewal = (seq <= self.lease_limit(i)).then(|| Renewal {
                    seq,
                    sent_at: self.clock(i, state),
                    committed: false,
                });
            }
            Step::CommitRenewal(i) => {
                self.commit_renewal(&mut next, i)?;
                next.nodes[i].renewal.as_mut()?.committed = true;
            }
            Step::AnswerRenewal(i) => {
                let renewal = next.nodes[i].renewal.take()?;
                let now = self.clock(i, &next);
                next.change(i, |member| {
                    member.set_lease(renewal.seq, renewal.sent_at, now)
                });
            }
            Step::LoseAnswer(i) => next.nodes[i].renewal = None,
            Step::Heartbeat(i, j) => {
                let heartbeat = self.heartbeat(&mut next, i);
                let now = self.clock(j, &next);
                next.change(j, |member| member.on_heartbeat(&heartbeat, now));
            }
            Step::HeartbeatAll(i) => {
                let heartbeat = self.heartbeat(&mut next, i);
                for j in (0..self.member_count()).filter(|j| self.reaches(i, *j)) {
                    let now = self.clock(j, &next);
                    next.change(j, |member| member.on_heartbeat(&heartbeat, now));
                }
            }
            Step::DelayHeartbeat(i, j) => {
                let heartbeat = self.heartbeat(&mut next, i);
                next.delayed_heartbeat = Some((j, Arc::new(heartbeat)));
            }
            Step::DeliverDelayedHeartbeat => {
                let (j, heartbeat) = next.delayed_heartbeat.clone()?;
                let now = self.clock(j, &next);
                next.change(j, |member| member.on_heartbeat(&heartbeat, now));
            }
            Step::SendRow(i, j) => {
                let row = Arc::clone(next.member(i).row()?);
                let now = self.clock(j, &next);
                next.change(j, |member| member.on_row(&row, now));
            }
            Step::Tick(i) => self.tick(&mut next, i),
            Step::TickAnswered(i) => self.tick_answered(&mut next, i)?,
            Step::ReportInFlight(i) => next.report_in_flight(i),
            Step::DeliverTransfer(k) => self.deliver_transfer(&mut next, k),
            Step::StartWork(i) => self.start_work(&mut next, i)?,
            Step::FinishWork(i) => {
                next.nodes[i].work.pop()?;
            }
            Step::Demand(i, n) => next.change(i, |member| member.set_demand(n)),
            Step::Capacity(i, n) => next.change(i, |member| member.set_capacity(tokens(n))),
            Step::Leave(i) => next.change(i, Member::leave),
        }
        Some(next)
    }

    fn advance_clock(&self, state: &mut ShareState) -> Option<()> {
        if state.now >= self.horizon {
            return None;
        }
        state.now += 1;
        let now = state.now;
        for node in &mut state.nodes {
            node.work.retain(|end| now < *end);
        }
        Some(())
    }

    fn restart(&self, state: &mut ShareState) -> Option<()> {
        let i = self.member_count() - 1;
        let now = self.clock(i, state);
        state.nodes[i].lease = 1;
        state.change(i, |member| member.set_lease(1, now, now));
        self.restarted.map(|_| ())
    }

    pub(super) fn read(&self, state: &mut ShareState, i: usize) {
        let now = self.clock(i, state);
        let row = Arc::clone(&state.row);
        let has_lease = |j: &usize| state.nodes[*j].lease > 0 && !self.is_superseded(*j, state);
        let lease = |j| (self.member_id(j), state.nodes[j].lease);
        let leases: Vec<_> = (0..self.member_count())
            .filter(has_lease)
            .map(lease)
            .collect();
        state.change(i, |member| {
            member.on_row(&row, now);
            if !self.work {
                member.set_in_flight(Amounts::new());
            }
            for (id, seq) in &leases {
                member.observe_lease(id, *seq, now, now);
            }
        });
    }

    fn commit_renewal(&self, state: &mut ShareState, i: usize) -> Option<u64> {
        let seq = state.nodes[i].lease + 1;
        let accepted = seq <= self.lease_limit(i) && !self.is_superseded(i, state);
        state.nodes[i].lease = seq;
        accepted.then_some(seq)
    }

    pub(super) fn heartbeat(&self, state: &mut ShareState, i: usize) -> PoolHeartbeat {
        if !self.work {
            state.report_in_flight(i);
        }
        let now = self.clock(i, state);
        let mut member = Member::clone(state.member(i));
        let heartbeat = member.heartbeat(now);
        state.nodes[i].hashed = HashedMember::new(member);
        heartbeat
    }

    fn tick(&self, state: &mut ShareState, i: usize) {
        if !self.work {
            state.report_in_flight(i);
        }
        let now = self.clock(i, state);
        let mut actions = Vec::new();
        state.change(i, |member| actions = member.tick(now));
        for action in actions {
            match action {
                Action::Propose { expect_epoch, row } => {
                    let commits =
                        expect_epoch == Some(state.row.epoch) && row.epoch <= self.max_epoch;
                    if commits && !self.cut_off.contains(&i) {
                        self.write(state, row);
                    }
                }
                Action::Transfer(transfer) => {
                    if state.transfers.len() < MAX_PENDING_TRANSFERS {
                        state.transfers.push(transfer);
                    }
                }
                Action::SendRow { .. } => {}
            }
        }
    }

    fn tick_answered(&self, state: &mut ShareState, i: usize) -> Option<()> {
        let before = state.row.epoch;
        self.tick(state, i);
        let row = Arc::clone(&state.row);
        let now = self.clock(i, state);
        state.change(i, |member| {
            member.on_row(&row, now);
            if !self.work {
                member.set_in_flight(Amounts::new());
            }
        });
        (row.epoch > before).then_some(())
    }

    fn write(&self, state: &mut ShareState, row: Row) {
        let errors = verify_step(&state.row, &row, self.terms.floor_pct);
        state.row_error = errors.first().map(ToString::to_string);
        state.row = Arc::new(row);
    }

    fn deliver_transfer(&self, state: &mut ShareState, k: usize) {
        let transfer = state.transfers[k].clone();
        let to = (0..self.member_count()).find(|i| *state.member(*i).id() == transfer.to);
        if let Some(i) = to {
            let now = self.clock(i, state);
            state.change(i, |member| member.on_transfer(&transfer, now));
        }
    }

    fn start_work(&self, state: &mut ShareState, i: usize) -> Option<()> {
        let usable = state.member(i).usable(&resource(), self.clock(i, state));
        let in_flight = u32::try_from(state.nodes[i].work.len()).ok()?;
        let max_duration_s = self.terms.grace.as_secs() + self.overrun;
        if in_flight >= usable || max_duration_s == 0 {
            return None;
        }
        state.nodes[i].work.push(state.now + max_duration_s);
        Some(())
    }
}
