//! Small pools under every order of events: the crate `share` in a world of its own.
//!
//! The members are the daemon's own state machines. Around them stand the platform's table (the
//! allotment row and a lease a member), the network and the work in flight. Much needs no step of its
//! own: a message that is never delivered is lost, a member that takes no step is paused, cut off
//! or dead, and a table that nobody reads is down. What does need one is a renewal on its way, a
//! message kept back (which is also a doubled and an overtaken one), and work that outlives its limit.
//!
//! The invariant counts what each member *may* use, be it awake or not: its published limits at this
//! time, or its work in flight where that is more. Summed over all members it stays within the
//! capacity.
//!
//! `world` is the state, `step` what can happen next, `apply` what comes of it.

mod apply;
mod step;
mod world;

pub use step::Step;
pub use world::World;

use self::{
    step::name,
    world::{
        resource,
        tokens,
        Cell,
        Node, //
    },
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

/// A small pool and what may happen to it.
#[derive(Clone, Debug)]
pub struct ShareModel {
    /// Members that start settled in the first row.
    pub members: usize,
    /// Further members, with a lease and in no row yet.
    pub joiners: usize,
    /// Member whose next life the last joiner is; it starts at any time, even beside the earlier.
    pub restarted: Option<usize>,
    /// Tokens of the one resource at the start.
    pub tokens: u32,
    /// Other capacities that may be reported.
    pub capacities: Vec<u32>,
    /// Demands that a member, named by its index, may come to have.
    pub demands: Vec<(usize, u32)>,
    /// Members that never reach the platform again.
    pub cut_off: Vec<usize>,
    /// Pairs of members between which no message arrives.
    pub apart: Vec<(usize, usize)>,
    /// Agreed terms; one step of time is a second.
    pub terms: Terms,
    /// Guards of the members.
    pub guards: Guards,
    /// Steps of time in a run.
    pub horizon: u64,
    /// Last epoch that is written.
    pub max_epoch: u64,
    /// Last renewal of each member's lease; one, the first, for those not named.
    pub max_lease: Vec<u64>,
    /// Whether members send each other rows without the leases that the table holds beside them.
    pub rows_by_peers: bool,
    /// Whether a member may write a row some time after it read the table.
    pub late_writes: bool,
    /// Whether renewals may be slow or lose their answer.
    pub slow_renewals: bool,
    /// Whether a beat may be kept back and delivered later, also twice.
    pub late_beats: bool,
    /// Whether work is started and ends.
    pub work: bool,
    /// Seconds that work may outlive its deadline: a pause between check and send.
    pub overstay: u64,
    /// Whether members may stop as planned.
    pub leaving: bool,
    /// Whether a beat reaches everybody that it can or nobody.
    pub broadcast: bool,
    /// Steps taken before the search begins, to reach a state that lies deep.
    pub prefix: Vec<Step>,
    /// Members whose clock runs at four fifths of the others'.
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
            apart: Vec::new(),
            terms: small_terms(),
            guards: Guards::default(),
            horizon: 6,
            max_epoch: 3,
            max_lease: Vec::new(),
            rows_by_peers: false,
            late_writes: false,
            slow_renewals: false,
            late_beats: false,
            work: false,
            overstay: 0,
            leaving: false,
            broadcast: false,
            prefix: Vec::new(),
            slow_clocks: Vec::new(),
        }
    }
}

/// Terms of a few seconds, so that all of them run out within a small search.
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
    /// Tokens that each member may be using in `world`.
    pub fn uses(&self, world: &World) -> Vec<u32> {
        let uses = (0..self.count()).map(|i| world.use_of(i, self.clock(i, world)));
        uses.collect()
    }

    /// Capacity that the uses have to stay within.
    ///
    /// A fall counts from when somebody has settled the row that tells it, as the others gave way then,
    /// and has no more in flight itself. Before, work that started under the old capacity goes on.
    fn capacity_in_force(&self, world: &World) -> u32 {
        let members = || (0..self.count()).map(|i| world.member(i));
        let last = members().map(Member::epoch).max();
        let in_force = |member: &&Member| {
            Some(member.epoch()) == last && member.is_settled() && member.acked()
        };
        let settled = members().find(in_force);
        let row = settled.and_then(Member::row);
        let told = row.and_then(|row| row.resources.get(&resource()).copied());
        let most = self.capacities.iter().copied().chain([self.tokens]).max();
        told.unwrap_or(most.unwrap_or(0))
    }

    fn member_id(&self, index: usize) -> MemberId {
        let earlier = self.restarted.filter(|_| index + 1 == self.count());
        MemberId {
            instance: name(earlier.unwrap_or(index)).to_string().into(),
            incarnation: if earlier.is_some() { 2 } else { 1 },
        }
    }

    /// Whether the lease of member `index` has given way to one of its next life.
    fn is_replaced(&self, index: usize, world: &World) -> bool {
        let next = world.nodes.last().is_some_and(|node| node.lease > 0);
        next && self.restarted == Some(index)
    }

    fn count(&self) -> usize {
        self.members + self.joiners
    }

    /// Reading of the clock of member `index`.
    fn clock(&self, index: usize, world: &World) -> Now {
        let seconds = if self.slow_clocks.contains(&index) {
            Duration::from_secs(world.now) * 4 / 5
        } else {
            Duration::from_secs(world.now)
        };
        Duration::from_secs(1) + seconds
    }

    fn lease_limit(&self, index: usize) -> u64 {
        self.max_lease.get(index).copied().unwrap_or(1)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from != to && !self.apart.contains(&(from, to)) && !self.apart.contains(&(to, from))
    }

    /// The first row, as the builder makes it.
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

    /// One run of `length` steps, each picked by the next number of `choices`.
    ///
    /// A second passes after about every `pace` steps: how often decides whether leases are renewed
    /// in time or lapse.
    ///
    /// # Errors
    ///
    /// The run, if it breaks the invariant.
    pub fn walk(
        &self,
        length: usize,
        pace: usize,
        mut choices: impl FnMut() -> usize,
    ) -> Result<(), Trace> {
        let mut world = self.start();
        let mut taken = Vec::new();
        for _ in 0..length {
            let steps = self.steps(&world);
            let step = if choices() % pace == 0 {
                &Step::Second
            } else {
                &steps[choices() % steps.len()]
            };
            let Some(next) = self.apply(&world, step) else {
                continue;
            };
            world = next;
            taken.push(step.to_string());
            if let Err(violation) = self.check(&world) {
                let steps = taken;
                return Err(Trace { steps, violation });
            }
        }
        Ok(())
    }
}

impl Model for ShareModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        let pool = share::slots_pool(&"s".into(), &"r".into());
        let node = |i| {
            let mut member =
                Member::with_guards(self.member_id(i), pool.clone(), self.terms, self.guards);
            member.set_capacity(tokens(self.tokens));
            let starts = self.restarted.is_none() || i + 1 < self.count();
            if starts {
                member.set_lease(1, Duration::from_secs(1), Duration::from_secs(1));
            }
            Node {
                cell: Cell::new(member),
                lease: u64::from(starts),
                renewal: None,
                work: Vec::new(),
            }
        };
        let mut world = World {
            now: 0,
            row: Arc::new(self.first_row()),
            nodes: (0..self.count()).map(node).collect(),
            late_beat: None,
            gives: Vec::new(),
            finding: None,
        };
        for i in 0..self.members {
            self.read(&mut world, i);
        }
        for _ in 0..2 {
            for i in 0..self.members {
                world.report_work(i);
                let beat = self.beat(&mut world, i);
                for j in (0..self.members).filter(|j| *j != i) {
                    let now = self.clock(j, &world);
                    world.change(j, |member| member.on_heartbeat(&beat, now));
                }
            }
        }
        for step in &self.prefix {
            let next = self.apply(&world, step);
            world = next.unwrap_or_else(|| panic!("`{step}` is not possible"));
        }
        world
    }

    fn transitions(&self, world: &World) -> Vec<(Step, World)> {
        let steps = self.steps(world).into_iter();
        let next = steps.filter_map(|step| self.apply(world, &step).map(|next| (step, next)));
        next.filter(|(_, next)| next != world).collect()
    }

    fn check(&self, world: &World) -> Result<(), String> {
        if let Some(finding) = &world.finding {
            return Err(format!("the row written: {finding}"));
        }
        let uses = self.uses(world);
        let capacity = self.capacity_in_force(world);
        if uses.iter().sum::<u32>() <= capacity {
            return Ok(());
        }
        let each = uses.iter().enumerate();
        let each: Vec<String> = each
            .map(|(i, n)| format!("{} may use {n}", name(i)))
            .collect();
        Err(format!("{} of {capacity} tokens", each.join(", ")))
    }
}
