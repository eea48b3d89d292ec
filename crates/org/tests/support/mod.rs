//! A fleet of entries that exchange demand with delays, and callers of one organisation.

#![allow(dead_code, reason = "each test target uses a part of this module")]

use base::{
    FastMap,
    InstanceId,
    Now, //
};
use org::{
    DemandMessage,
    DemandSender,
    DemandSum,
    Division,
    Exchange,
    Guards,
    Limiter,
    Quota,
    QuotaBounds, //
};
use std::time::Duration;

/// Duration of one step.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Steps between two exchange rounds of an entry.
const ROUND_STEPS: u64 = 4;
/// Time after which an entry notices that another one can't be reached.
const DETECTION_TIME: Duration = Duration::from_millis(3400);
/// Delay of a message within a region.
const DELAY_STEPS: u64 = 1;
/// Delay of a message between regions.
const REGION_DELAY_STEPS: u64 = 2;
/// Chance of an arrival per trial, low enough for arrivals to be nearly independent.
const ARRIVAL_CHANCE: f64 = 0.1;
/// Name of the organisation.
pub(crate) const ORGANISATION: &str = "acme";

/// Number from a random sequence.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number of at least 0 and below 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.fraction() * bound as f64) as usize
    }
}

/// Kind of a message, by its sender and receiver.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Leaf,
    Domain,
    Fleet,
}

#[derive(Clone, Debug)]
struct Message {
    at_step: u64,
    from: usize,
    /// Number of starts of the receiver when it was sent; a later process doesn't get it.
    starts: u32,
    to: usize,
    kind: Kind,
    demands: DemandMessage,
}

struct Node {
    exchange: Exchange,
    limiter: Limiter,
    senders: FastMap<usize, DemandSender>,
    hub: Option<usize>,
    up: bool,
    cut: bool,
    starts: u32,
    /// Time at which each other entry was last reachable.
    reached_at: Vec<Option<Now>>,
}

/// Parameters of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) entries: usize,
    pub(crate) domains: usize,
    pub(crate) quota: Quota,
    pub(crate) guards: Guards,
    pub(crate) division: Division,
    pub(crate) seed: u64,
}

impl Options {
    /// Returns a fleet of 88 entries in six failure domains.
    pub(crate) fn new(rate_per_s: f64) -> Self {
        Self {
            entries: 88,
            domains: 6,
            quota: Quota {
                rate_per_s,
                burst: rate_per_s,
            },
            guards: Guards::default(),
            division: Division::ByDemand,
            seed: 1,
        }
    }
}

/// Entries and callers.
pub(crate) struct Fleet {
    options: Options,
    bounds: QuotaBounds,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    step: u64,
    random: Random,
    /// Requests per second of the callers at each entry.
    pub(crate) load: Vec<f64>,
    /// Admitted requests by step.
    admitted: Vec<u64>,
    asked: u64,
    refused: u64,
}

fn name(index: usize) -> InstanceId {
    format!("entry-{index:03}").into()
}

fn index_of(instance: &InstanceId) -> usize {
    instance[6..].parse().expect("the name ends with the index")
}

impl Fleet {
    pub(crate) fn new(options: Options) -> Self {
        let mut fleet = Self {
            options,
            bounds: QuotaBounds::default(),
            nodes: Vec::new(),
            messages: Vec::new(),
            step: 0,
            random: Random::new(options.seed),
            load: vec![0.0; options.entries],
            admitted: Vec::new(),
            asked: 0,
            refused: 0,
        };
        for entry in 0..options.entries {
            let node = fleet.new_node(entry as u64, 0);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&self, credit_seed: u64, starts: u32) -> Node {
        let mut limiter = Limiter::with_division(self.bounds, credit_seed, self.options.division);
        let organisation = ORGANISATION.into();
        limiter.set_quotas(
            std::iter::once((&organisation, self.options.quota)),
            self.now(),
        );
        Node {
            exchange: Exchange::with_guards(self.options.guards),
            limiter,
            senders: FastMap::default(),
            hub: None,
            up: true,
            cut: false,
            starts,
            reached_at: vec![None; self.options.entries],
        }
    }

    pub(crate) fn now(&self) -> Now {
        STEP * u32::try_from(self.step).expect("a test has few steps")
    }

    /// Sends the requests of each caller to one randomly chosen entry, or all requests to all entries alike if there is
    /// no number of callers.
    pub(crate) fn set_callers(&mut self, callers: Option<usize>, per_s: f64) {
        let Some(callers) = callers else {
            return self.load.fill(per_s / self.nodes.len() as f64);
        };
        self.load.fill(0.0);
        for _ in 0..callers {
            let entry = self.random.below(self.nodes.len());
            self.load[entry] += per_s / callers as f64;
        }
    }

    /// Multiplies the requests of all callers.
    pub(crate) fn scale_load(&mut self, factor: f64) {
        self.load.iter_mut().for_each(|load| *load *= factor);
    }

    /// Moves the callers of each entry to the entry `offset` after it.
    pub(crate) fn shift_callers(&mut self, offset: usize) {
        self.load.rotate_right(offset);
    }

    pub(crate) fn set_quota(&mut self, quota: Quota) {
        self.options.quota = quota;
        let now = self.now();
        for node in &mut self.nodes {
            let organisation = ORGANISATION.into();
            node.limiter
                .set_quotas(std::iter::once((&organisation, quota)), now);
        }
    }

    pub(crate) fn kill(&mut self, entry: usize) {
        self.nodes[entry].up = false;
    }

    pub(crate) fn start(&mut self, entry: usize) {
        let starts = self.nodes[entry].starts + 1;
        self.nodes[entry] = self.new_node(entry as u64, starts);
        for node in &mut self.nodes {
            node.senders.remove(&entry);
        }
    }

    pub(crate) fn set_cut(&mut self, entry: usize, cut: bool) {
        self.nodes[entry].cut = cut;
        for other in 0..self.nodes.len() {
            self.nodes[other].senders.remove(&entry);
        }
        self.nodes[entry].senders.clear();
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now() + duration;
        while self.now() < end {
            self.run_step();
        }
    }

    fn domain(&self, entry: usize) -> usize {
        entry % self.options.domains
    }

    fn is_reachable(&self, one: usize, other: usize) -> bool {
        let works = |node: &Node| node.up && !node.cut;
        works(&self.nodes[one]) && works(&self.nodes[other])
    }

    fn is_up(&self, viewer: usize, entry: usize) -> bool {
        let reached_at = self.nodes[viewer].reached_at[entry];
        viewer == entry || reached_at.is_some_and(|at| self.now() - at < DETECTION_TIME)
    }

    /// Returns the hubs of a domain, as an entry sees them.
    fn hubs(&self, viewer: usize, domain: usize) -> Vec<usize> {
        let entries = (domain..self.nodes.len()).step_by(self.options.domains);
        entries
            .filter(|entry| self.is_up(viewer, *entry))
            .take(2)
            .collect()
    }

    fn run_step(&mut self) {
        self.step += 1;
        let now = self.now();
        for viewer in 0..self.nodes.len() {
            for entry in 0..self.nodes.len() {
                if self.is_reachable(viewer, entry) {
                    self.nodes[viewer].reached_at[entry] = Some(now);
                }
            }
        }
        self.deliver();
        for entry in 0..self.nodes.len() {
            let is_due = (self.step + entry as u64) % ROUND_STEPS == 0;
            if self.nodes[entry].up && is_due {
                self.exchange(entry);
            }
        }
        self.admitted.push(0);
        for entry in 0..self.nodes.len() {
            self.run_callers(entry);
        }
    }

    fn run_callers(&mut self, entry: usize) {
        let mut expected = self.load[entry] * STEP.as_secs_f64();
        while expected > 0.0 {
            let arrives = self.random.fraction() < expected.min(ARRIVAL_CHANCE);
            expected -= ARRIVAL_CHANCE;
            if !arrives || !self.nodes[entry].up {
                continue;
            }
            self.asked += 1;
            let now = self.now();
            match self.nodes[entry].limiter.try_take(ORGANISATION, now) {
                Ok(()) => *self.admitted.last_mut().expect("a step has begun") += 1,
                Err(_) => self.refused += 1,
            }
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let now = self.now();
        let (due, later): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.at_step <= step);
        self.messages = later;
        for message in due {
            if !self.is_reachable(message.from, message.to) {
                continue;
            }
            let node = &mut self.nodes[message.to];
            if node.starts != message.starts {
                continue;
            }
            let from = name(message.from);
            match message.kind {
                Kind::Leaf => node.exchange.on_leaf(&from, &message.demands),
                Kind::Domain => node.exchange.on_hub(&from, &message.demands),
                Kind::Fleet if node.hub == Some(message.from) => {
                    node.exchange.on_fleet(&message.demands, now);
                }
                Kind::Fleet => {}
            }
        }
    }

    fn exchange(&mut self, entry: usize) {
        let now = self.now();
        let entries = self.options.entries;
        let up: Vec<bool> = (0..entries).map(|other| self.is_up(entry, other)).collect();
        let domain = self.domain(entry);
        let own_hubs = self.hubs(entry, domain);
        let is_hub = own_hubs.contains(&entry);
        let all_hubs: Vec<usize> = (0..self.options.domains)
            .flat_map(|domain| self.hubs(entry, domain))
            .filter(|hub| *hub != entry)
            .collect();
        let leaves: Vec<usize> = (domain..entries)
            .step_by(self.options.domains)
            .filter(|leaf| up[*leaf] && self.nodes[*leaf].hub == Some(entry))
            .collect();
        let node = &mut self.nodes[entry];
        let demands = node.limiter.demands(now);
        node.exchange.set_own(demands);
        node.exchange.set_entries(Some(entries));
        node.exchange.sweep(
            |instance| up[index_of(instance)],
            |leaf| leaves.contains(&index_of(leaf)),
            |hub| all_hubs.contains(&index_of(hub)),
            now,
        );
        let mut reports = Vec::new();
        if is_hub {
            node.hub = None;
            let domain = node.exchange.domain_sum();
            let hubs = all_hubs.iter();
            reports.extend(hubs.map(|hub| (*hub, Kind::Domain, domain.clone())));
            let fleet = node.exchange.fleet_sum();
            let leaves = leaves.iter();
            reports.extend(leaves.map(|leaf| (*leaf, Kind::Fleet, fleet.clone())));
        } else {
            let hub = own_hubs[0];
            if node.hub != Some(hub) {
                node.hub = Some(hub);
                node.exchange.forget_fleet();
                node.senders.remove(&hub);
            }
            reports.push((hub, Kind::Leaf, node.exchange.own_sum()));
        }
        for (to, kind, sum) in reports {
            self.send(entry, to, kind, &sum);
        }
        let node = &mut self.nodes[entry];
        if let Some(hub) = node.hub {
            // Loads are sent in each round, so that a leaf knows that its hub is up.
            if self.is_reachable(entry, hub) {
                self.nodes[entry].exchange.note_contact(now);
            }
        }
        let node = &mut self.nodes[entry];
        let parts = node.exchange.parts(is_hub, now);
        node.limiter.set_parts(parts, now);
    }

    fn send(&mut self, from: usize, to: usize, kind: Kind, sum: &DemandSum) {
        let same_region = self.domain(from) / 2 == self.domain(to) / 2;
        let delay = if same_region {
            DELAY_STEPS
        } else {
            REGION_DELAY_STEPS
        };
        let starts = self.nodes[to].starts;
        let node = &mut self.nodes[from];
        let Some(demands) = node.senders.entry(to).or_default().next(sum) else {
            return;
        };
        self.messages.push(Message {
            at_step: self.step + delay,
            from,
            starts,
            to,
            kind,
            demands,
        });
    }

    /// Returns the largest number of admitted requests in any window.
    pub(crate) fn max_in_window(&self) -> u64 {
        let steps = (self.bounds.window.as_secs_f64() / STEP.as_secs_f64()).round() as usize;
        let windows = self.admitted.windows(steps.min(self.admitted.len()));
        windows.map(|window| window.iter().sum()).max().unwrap_or(0)
    }

    /// Returns the number of requests that the bound allows in a window.
    pub(crate) fn allowed(&self) -> f64 {
        self.bounds.allowed(&self.options.quota)
    }

    /// Returns the numbers of requests that were asked for and refused.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.asked, self.refused)
    }

    pub(crate) fn forget_counts(&mut self) {
        (self.asked, self.refused) = (0, 0);
    }

    /// Forgets the admitted requests so far.
    pub(crate) fn forget_admitted(&mut self) {
        self.admitted.clear();
    }

    /// Fails if the bound was broken.
    pub(crate) fn assert_bound(&self) {
        let max = self.max_in_window();
        let allowed = self.allowed();
        assert!(
            max as f64 <= allowed,
            "{max} requests in a window, allowed {allowed}"
        );
    }
}
