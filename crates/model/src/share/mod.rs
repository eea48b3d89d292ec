//! Model of a small pool: the state machines of the crate `share` under every order of events.
//!
//! The members are the state machines that the daemon runs. The model adds the platform's table (the
//! allotment row and one lease per member), the network and the work in flight. Many faults need no
//! step of their own: a message that is never delivered is lost, a member that takes no step is paused,
//! cut off or crashed, and a table that no member reads is down. Faults with a step are a renewal in
//! flight, a delayed message (which may also be duplicated or reordered), and work that outlives its
//! deadline.
//!
//! The invariant counts what each member *may* use, whether it is running or paused: its published
//! limit at this time, or its work in flight if that is more. The sum over all members stays within
//! the capacity.
//!
//! `state` holds the model's state, `step` enumerates the possible steps, `apply` computes the
//! successor states.

mod apply;
mod state;
mod step;

pub use state::ShareState;
pub use step::Step;

use self::{
    state::{
        resource,
        tokens,
        HashedMember,
        Node, //
    },
    step::name,
};
use crate::{
    Model,
    Trace, //
};
use base::Now;
use share::{
    plan,
    Guards,
    Member,
    MemberId,
    PlanMember,
    PlanState,
    Row,
    Terms, //
};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

/// Configuration of a small pool and the events that may happen to it.
#[derive(Clone, Debug)]
pub struct ShareModel {
    /// Members that are listed in the first row and have settled it.
    pub members: usize,
    /// Further members, which have a lease but are not yet listed in a row.
    pub joiners: usize,
    /// Member of which the last joiner is the next incarnation. It starts at any time, possibly while
    /// the earlier incarnation still runs.
    pub restarted: Option<usize>,
    /// Tokens of the one resource at the start.
    pub tokens: u32,
    /// Further capacities that members may report.
    pub capacities: Vec<u32>,
    /// Possible demands, as pairs of member index and demand.
    pub demands: Vec<(usize, u32)>,
    /// Members that never reach the platform again.
    pub cut_off: Vec<usize>,
    /// Pairs of members that can't exchange messages.
    pub partitioned: Vec<(usize, usize)>,
    /// Terms of the pool; the clock advances in steps of one second.
    pub terms: Terms,
    /// Guards of the members.
    pub guards: Guards,
    /// Maximum time of a run, in seconds.
    pub horizon: u64,
    /// Highest epoch that is written.
    pub max_epoch: u64,
    /// Highest renewal of each member's lease; 1, the first, for members beyond the end of the list.
    pub max_lease: Vec<u64>,
    /// Whether members send each other rows, without the leases that the table holds.
    pub rows_by_peers: bool,
    /// Whether a member may write a row later than it read the table.
    pub late_writes: bool,
    /// Whether renewals may be delayed or lose their answer.
    pub slow_renewals: bool,
    /// Whether a heartbeat may be delayed and delivered more than once.
    pub delayed_heartbeats: bool,
    /// Whether work starts and finishes as steps of its own.
    pub work: bool,
    /// Seconds by which work may outlive its deadline because of a pause between check and send.
    pub overrun: u64,
    /// Whether members may begin a planned stop.
    pub leaving: bool,
    /// Whether a heartbeat reaches either all reachable members or none.
    pub broadcast: bool,
    /// Steps taken before the search begins, to start it from a deep state.
    pub prefix: Vec<Step>,
    /// Members whose clock runs at 4/5 of the rate of the others.
    pub slow_clocks: Vec<usize>,
}

impl Default for ShareModel {
    fn default() -> Self {
        Self {
            members: 2,
            joiners: 0,
            restarted: None,
            tokens: 4,
            capacities: Vec::new(),
            demands: Vec::new(),
            cut_off: Vec::new(),
            partitioned: Vec::new(),
            terms: small_terms(),
            guards: Guards::default(),
            horizon: 6,
            max_epoch: 3,
            max_lease: Vec::new(),
            rows_by_peers: false,
            late_writes: false,
            slow_renewals: false,
            delayed_heartbeats: false,
            work: false,
            overrun: 0,
            leaving: false,
            broadcast: false,
            prefix: Vec::new(),
            slow_clocks: Vec::new(),
        }
    }
}

/// Terms of a few seconds, so that each expires within a small search.
pub fn small_terms() -> Terms {
    Terms {
        short_ttl: Duration::from_secs(2),
        long_ttl: Duration::from_secs(4),
        floor_pct: 50,
        drift_pct: 0,
        grace: Duration::ZERO,
        promise_term: Duration::from_secs(1),
        propose_step: Duration::ZERO,
        rebalance_every: Duration::ZERO,
        seed: 0,
    }
}

impl ShareModel {
    /// Tokens that each member may be using in `state`.
    pub fn usage(&self, state: &ShareState) -> Vec<u32> {
        let usage = (0..self.member_count()).map(|i| state.usage_of(i, self.clock(i, state)));
        usage.collect()
    }

    /// Capacity that the total usage must not exceed.
    ///
    /// A decrease takes effect once a member has settled the row that announces it, because the others
    /// have released their tokens by then, and has itself no excess work in flight. Until then, work
    /// that started under the old capacity continues.
    fn capacity_in_force(&self, state: &ShareState) -> u32 {
        let members = || (0..self.member_count()).map(|i| state.member(i));
        let last = members().map(Member::epoch).max();
        let in_force = |member: &&Member| {
            Some(member.epoch()) == last && member.is_settled() && member.acked()
        };
        let settled = members().find(in_force);
        let row = settled.and_then(Member::row);
        let announced = row.and_then(|row| row.resources.get(&resource()).copied());
        let max = self.capacities.iter().copied().chain([self.tokens]).max();
        announced.unwrap_or(max.unwrap_or(0))
    }

    fn member_id(&self, index: usize) -> MemberId {
        let earlier = self.restarted.filter(|_| index + 1 == self.member_count());
        MemberId {
            instance: name(earlier.unwrap_or(index)).to_string().into(),
            incarnation: if earlier.is_some() { 2 } else { 1 },
        }
    }

    /// Whether the lease of member `index` has been superseded by that of its next incarnation.
    fn is_superseded(&self, index: usize, state: &ShareState) -> bool {
        let next = state.nodes.last().is_some_and(|node| node.lease > 0);
        next && self.restarted == Some(index)
    }

    fn member_count(&self) -> usize {
        self.members + self.joiners
    }

    /// Time on the clock of member `index`.
    fn clock(&self, index: usize, state: &ShareState) -> Now {
        let seconds = if self.slow_clocks.contains(&index) {
            Duration::from_secs(state.now) * 4 / 5
        } else {
            Duration::from_secs(state.now)
        };
        Duration::from_secs(1) + seconds
    }

    fn lease_limit(&self, index: usize) -> u64 {
        self.max_lease.get(index).copied().unwrap_or(1)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from != to
            && !self.partitioned.contains(&(from, to))
            && !self.partitioned.contains(&(to, from))
    }

    /// First row, as built by [`plan`].
    fn first_row(&self) -> Row {
        let member = |_| PlanMember {
            lease_seq: 1,
            adopted: 0,
            demand: 1,
            state: PlanState::Live,
        };
        let members = (0..self.members).map(|i| (self.member_id(i), member(i)));
        let members: BTreeMap<_, _> = members.collect();
        plan(None, &tokens(self.tokens), &members, &self.terms)
    }

    /// Takes a random walk of `length` steps, each chosen by the next number from `choices`.
    ///
    /// The clock advances by a second about every `steps_per_second` steps, which decides whether
    /// leases are renewed in time or lapse.
    ///
    /// # Errors
    ///
    /// The trace of the walk, if it violates the invariant.
    pub fn random_walk(
        &self,
        length: usize,
        steps_per_second: usize,
        mut choices: impl FnMut() -> usize,
    ) -> Result<(), Trace> {
        let mut state = self.start();
        let mut taken = Vec::new();
        for _ in 0..length {
            let steps = self.steps(&state);
            let step = if choices() % steps_per_second == 0 {
                &Step::AdvanceClock
            } else {
                &steps[choices() % steps.len()]
            };
            let Some(next) = self.apply(&state, step) else {
                continue;
            };
            state = next;
            taken.push(step.to_string());
            if let Err(violation) = self.check(&state) {
                let steps = taken;
                return Err(Trace { steps, violation });
            }
        }
        Ok(())
    }
}

impl Model for ShareModel {
    type State = ShareState;
    type Step = Step;

    fn start(&self) -> ShareState {
        let pool = share::slots_pool(&"s".into(), &"r".into());
        let node = |i| {
            let mut member =
                Member::with_guards(self.member_id(i), pool.clone(), self.terms, self.guards);
            member.set_capacity(tokens(self.tokens));
            let starts = self.restarted.is_none() || i + 1 < self.member_count();
            if starts {
                member.set_lease(1, Duration::from_secs(1), Duration::from_secs(1));
            }
            Node {
                hashed: HashedMember::new(member),
                lease: u64::from(starts),
                renewal: None,
                work: Vec::new(),
            }
        };
        let mut state = ShareState {
            now: 0,
            row: Arc::new(self.first_row()),
            nodes: (0..self.member_count()).map(node).collect(),
            delayed_heartbeat: None,
            transfers: Vec::new(),
            row_error: None,
        };
        for i in 0..self.members {
            self.read(&mut state, i);
        }
        for _ in 0..2 {
            for i in 0..self.members {
                state.report_in_flight(i);
                let heartbeat = self.heartbeat(&mut state, i);
                for j in (0..self.members).filter(|j| *j != i) {
                    let now = self.clock(j, &state);
                    state.change(j, |member| member.on_heartbeat(&heartbeat, now));
                }
            }
        }
        for step in &self.prefix {
            let next = self.apply(&state, step);
            state = next.unwrap_or_else(|| panic!("step `{step}` of the prefix is not possible"));
        }
        state
    }

    fn transitions(&self, state: &ShareState) -> Vec<(Step, ShareState)> {
        let steps = self.steps(state).into_iter();
        let next = steps.filter_map(|step| self.apply(state, &step).map(|next| (step, next)));
        next.filter(|(_, next)| next != state).collect()
    }

    fn check(&self, state: &ShareState) -> Result<(), String> {
        if let Some(row_error) = &state.row_error {
            return Err(format!("invalid row written: {row_error}"));
        }
        let usage = self.usage(state);
        let capacity = self.capacity_in_force(state);
        if usage.iter().sum::<u32>() <= capacity {
            return Ok(());
        }
        let each = usage.iter().enumerate();
        let each: Vec<String> = each
            .map(|(i, n)| format!("{} may use {n}", name(i)))
            .collect();
        Err(format!(
            "usage exceeds the capacity of {capacity} tokens: {}",
            each.join(", ")
        ))
    }
}
