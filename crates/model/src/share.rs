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

use crate::{
    Model,
    Trace, //
};
use base::Now;
use foldhash::fast::FixedState;
use share::{
    plan,
    verify_step,
    Action,
    Amounts,
    Give,
    Guards,
    Member,
    MemberId,
    PlanMember,
    PlanState,
    PoolBeat,
    ResourceId,
    Row,
    Terms, //
};
use std::{
    collections::BTreeMap,
    fmt,
    hash::{
        BuildHasher,
        Hash,
        Hasher, //
    },
    sync::Arc,
    time::Duration, //
};

/// Hand-overs under way at a time.
const GIVES_KEPT: usize = 2;

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

/// State machine with its hash, which is taken once and not at each look-up of a state.
#[derive(Clone, Eq)]
struct Cell {
    hash: u64,
    member: Arc<Member>,
}

impl Cell {
    fn new(member: Member) -> Self {
        Self {
            hash: FixedState::default().hash_one(&member),
            member: Arc::new(member),
        }
    }
}

impl PartialEq for Cell {
    fn eq(&self, other: &Self) -> bool {
        let same = Arc::ptr_eq(&self.member, &other.member);
        same || (self.hash == other.hash && self.member == other.member)
    }
}

impl Hash for Cell {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.hash.hash(hasher);
    }
}

/// Renewal on its way.
#[derive(Clone, Eq, Hash, PartialEq)]
struct Renewal {
    seq: u64,
    sent_at: Now,
    taken: bool,
}

/// A member and what surrounds it.
#[derive(Clone, Eq, Hash, PartialEq)]
struct Node {
    cell: Cell,
    /// Its lease in the table; zero before the first.
    lease: u64,
    renewal: Option<Renewal>,
    /// Seconds at which each piece of work in flight ends at the latest.
    work: Vec<u64>,
}

/// State of the whole pool.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct World {
    now: u64,
    row: Arc<Row>,
    nodes: Vec<Node>,
    late_beat: Option<(usize, Arc<PoolBeat>)>,
    gives: Vec<Give>,
    /// What the verifier found in a row that was written.
    finding: Option<String>,
}

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
fn name(index: usize) -> char {
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

fn resource() -> ResourceId {
    ResourceId::from_static("u")
}

fn tokens(n: u32) -> Amounts {
    Amounts::from([(resource(), n)])
}

impl World {
    /// Seconds since the start.
    pub fn seconds(&self) -> u64 {
        self.now
    }

    fn member(&self, index: usize) -> &Member {
        &self.nodes[index].cell.member
    }

    /// Replaces the member at `index` by what `change` makes of it.
    fn change(&mut self, index: usize, change: impl FnOnce(&mut Member)) {
        let mut member = Member::clone(self.member(index));
        change(&mut member);
        self.nodes[index].cell = Cell::new(member);
    }

    /// Tokens that the member at `index` may be using.
    fn use_of(&self, index: usize, now: Now) -> u32 {
        let in_flight = u32::try_from(self.nodes[index].work.len()).unwrap_or(u32::MAX);
        self.member(index).usable(&resource(), now).max(in_flight)
    }

    fn report_work(&mut self, index: usize) {
        let n = u32::try_from(self.nodes[index].work.len()).unwrap_or(u32::MAX);
        let mut in_flight = tokens(n);
        in_flight.retain(|_, n| *n > 0);
        self.change(index, |member| member.set_in_flight(in_flight));
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

    /// Every step that could come next.
    fn steps(&self, world: &World) -> Vec<Step> {
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

    /// State after `step`; `None` where it can't be taken.
    fn apply(&self, world: &World, step: &Step) -> Option<World> {
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
                next.change(j, |member| member.on_beat(&beat, now));
            }
            Step::BeatAll(i) => {
                let beat = self.beat(&mut next, i);
                for j in (0..self.count()).filter(|j| self.reaches(i, *j)) {
                    let now = self.clock(j, &next);
                    next.change(j, |member| member.on_beat(&beat, now));
                }
            }
            Step::KeepBeat(i, j) => {
                let beat = self.beat(&mut next, i);
                next.late_beat = Some((j, Arc::new(beat)));
            }
            Step::LateBeat => {
                let (j, beat) = next.late_beat.clone()?;
                let now = self.clock(j, &next);
                next.change(j, |member| member.on_beat(&beat, now));
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

    fn read(&self, world: &mut World, i: usize) {
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

    fn beat(&self, world: &mut World, i: usize) -> PoolBeat {
        if !self.work {
            world.report_work(i);
        }
        let now = self.clock(i, world);
        let mut member = Member::clone(world.member(i));
        let beat = member.beat(now);
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
                Action::Give(give) => {
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
            world.change(i, |member| member.on_give(&give, now));
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
                    world.change(j, |member| member.on_beat(&beat, now));
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
