//! Discrete-event simulation of two regions with a few entries and upstreams and their queues.
//!
//! It calls the same functions as the daemon. Shares are fixed, no message is lost, and there is
//! one class: its results are those of a model and not of real processes.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    time::Duration, //
};
use steer::*;

const ENTRIES: usize = 4;
const UPSTREAMS: usize = 5;
const SLOTS: u32 = 9;
const SERVICE_MS: f64 = 10.0;
/// Time within which callers' cached lookup results expire.
const LOOKUP_TTL_S: f64 = 2.0;
const HOP: Duration = Duration::from_micros(500);
const REPORT_EVERY: Duration = Duration::from_millis(100);
pub(crate) const DEADLINE: Duration = Duration::from_secs(1);
const TARGET: ClassTarget = ClassTarget {
    latency_target: Duration::from_millis(400),
    headroom_pct: 20,
    idempotent: true,
    priority: None,
};

/// Events in region 0. Region 1 is alike, with a steady load of 20% of its capacity.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub name: &'static str,
    /// Offered load as a fraction of the region's capacity.
    pub load: f64,
    /// Load factor from 2 s to 5 s.
    pub burst: f64,
    /// Factor of the service time of upstream 0 from 2 s to 5 s.
    pub slowdown: f64,
    /// Whether upstream 0 always reports that it is idle.
    pub false_reports: bool,
    pub report_lag: Duration,
    /// Number of upstreams that start with a cold cache; callers return as their lookups expire.
    pub cold_upstreams: usize,
    /// Requests that warm an upstream; the first takes four times as long as on a warm one.
    pub cold_requests: f64,
    /// Round-trip time between the regions.
    pub round_trip: Duration,
    /// Time during which requests are offered.
    pub seconds: u64,
}

pub(crate) const STEADY: Scenario = Scenario {
    name: "steady",
    load: 0.5,
    burst: 1.0,
    slowdown: 1.0,
    false_reports: false,
    report_lag: REPORT_EVERY,
    cold_upstreams: 0,
    cold_requests: 100.0,
    round_trip: Duration::from_millis(110),
    seconds: 6,
};

/// Results for the callers and upstreams of region 0.
pub(crate) struct Results {
    latencies: Vec<Duration>,
    local_latencies: Vec<Duration>,
    pub offered: u32,
    /// Requests with a complete response within the deadline.
    pub completed: u32,
    pub refused: u32,
    pub shifted: u32,
    /// Copies sent as probes in both regions.
    pub copies: u32,
    /// Ticks in which the free slots, averaged over five ticks, were below the headroom target.
    pub(crate) ticks_below_headroom: u32,
    busy_slots: VecDeque<u32>,
    /// Requests that waited for a slot at an upstream.
    pub queued: u32,
}

impl Results {
    pub(crate) fn quantile(&self, permille: usize) -> Duration {
        quantile(&self.latencies, permille)
    }

    /// Latency quantile of the responses given by the local region.
    pub(crate) fn local_quantile(&self, permille: usize) -> Duration {
        quantile(&self.local_latencies, permille)
    }
}

fn quantile(sorted: &[Duration], permille: usize) -> Duration {
    let rank = sorted.len() * permille / 1000;
    let last = sorted.len().saturating_sub(1);
    sorted.get(rank.min(last)).copied().unwrap_or_default()
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrived(usize),
    Shifted(usize),
    ReachedUpstream(usize),
    Served(usize),
    Responded(usize),
    Report,
}

#[derive(Clone, Copy)]
struct Request {
    arrived_at: Duration,
    received_at: Duration,
    sent_at: Duration,
    home: usize,
    entry: usize,
    upstream: usize,
    copy: bool,
}

struct Upstream {
    busy_slots: u32,
    queue: VecDeque<usize>,
    served: u32,
    reports: VecDeque<LoadReport>,
}

struct Entry {
    chooser: Chooser,
    views: Vec<UpstreamView>,
    slow_starts: Vec<SlowStart>,
    detectors: Vec<FailureDetector>,
    queue: VecDeque<usize>,
    service: Duration,
    completion_gap: Duration,
    last_completion_at: Duration,
    counts: Counts,
    starvation: StarvationDetector,
    copies: RetryBudget,
    shift: ShiftLimiter,
    previous: Option<usize>,
}

/// Counts of an entry between two ticks.
#[derive(Clone, Copy, Default)]
struct Counts {
    arrived: u32,
    carried: u32,
    shifted: u32,
    unserved: u32,
    stats: WindowStats,
}

/// State that the entries of a region share with each other and the other region at each tick.
#[derive(Clone, Copy, Default)]
struct Region {
    arriving: Demand,
    carrying: Demand,
    shifting: Demand,
    service: Duration,
    open: u32,
    allowance: Allowance,
}

pub(crate) struct Sim {
    scenario: Scenario,
    policy: Policy,
    admit: AdmissionControl,
    now: Duration,
    seed: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    requests: Vec<Request>,
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
    regions: [Region; 2],
    results: Results,
}

fn mix(seed: u64) -> u64 {
    let bits = seed.wrapping_mul(0x5851_f42d_4c95_7f2d) ^ 0x1405_7b7e_f767_814f;
    let bits = (bits ^ (bits >> 29)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits ^ (bits >> 32)
}

fn region_of(entry: usize) -> usize {
    entry / ENTRIES
}

impl Sim {
    /// Runs `scenario` under `chooser`, the policy named `policy`.
    pub(crate) fn run(scenario: Scenario, policy: Policy, chooser: &Chooser) -> Results {
        let entry = |index: usize| Entry {
            chooser: chooser.clone(),
            views: (0..UPSTREAMS)
                .map(|upstream| owned_slots(index, upstream))
                .collect(),
            slow_starts: vec![SlowStart::warm(SlowStartSettings::default()); UPSTREAMS],
            detectors: vec![
                FailureDetector::trusted(FailureDetectorSettings::default());
                UPSTREAMS
            ],
            queue: VecDeque::new(),
            service: Duration::from_millis(10),
            completion_gap: Duration::ZERO,
            last_completion_at: Duration::ZERO,
            counts: Counts::default(),
            starvation: StarvationDetector::default(),
            copies: RetryBudget::default(),
            shift: ShiftLimiter::new(
                Duration::ZERO,
                ShiftCap {
                    bytes_per_s: 1 << 30,
                    in_flight: 200,
                    growth_per_s: 1000,
                },
            ),
            previous: None,
        };
        let upstream = |_| Upstream {
            busy_slots: 0,
            queue: VecDeque::new(),
            served: 0,
            reports: VecDeque::new(),
        };
        let mut sim = Self {
            scenario,
            policy,
            admit: AdmissionControl::new(vec![TARGET], 64),
            now: Duration::ZERO,
            seed: 1,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            entries: (0..2 * ENTRIES).map(entry).collect(),
            upstreams: (0..2 * UPSTREAMS).map(upstream).collect(),
            regions: [Region::default(); 2],
            results: Results {
                latencies: Vec::new(),
                local_latencies: Vec::new(),
                offered: 0,
                completed: 0,
                refused: 0,
                shifted: 0,
                copies: 0,
                ticks_below_headroom: 0,
                busy_slots: VecDeque::new(),
                queued: 0,
            },
        };
        sim.start();
        while let Some(Reverse((at, _, event))) = sim.events.pop() {
            sim.now = at;
            sim.step(event);
        }
        sim.results.latencies.sort_unstable();
        sim.results.local_latencies.sort_unstable();
        sim.results
    }

    fn start(&mut self) {
        let sibling_latency = Some(Duration::from_millis(11));
        let cold_upstreams = self.scenario.cold_upstreams;
        for entry in &mut self.entries[..ENTRIES] {
            for slow_start in &mut entry.slow_starts[..cold_upstreams] {
                let has_alternative = cold_upstreams < UPSTREAMS;
                let cause = SlowStartCause::RegionReturn;
                slow_start.restart(Duration::ZERO, cause, sibling_latency, has_alternative);
            }
        }
        self.after(Duration::ZERO, Event::Report);
        self.after(Duration::ZERO, Event::Arrived(0));
        self.after(Duration::ZERO, Event::Arrived(1));
    }

    fn after(&mut self, delay: Duration, event: Event) {
        let order = self.random();
        self.events.push(Reverse((self.now + delay, order, event)));
    }

    fn random(&mut self) -> u64 {
        self.seed += 1;
        mix(self.seed)
    }

    /// Exponential deviate that depends only on `seed`, so that all policies get the same load.
    fn exponential(seed: u64, mean_s: f64) -> Duration {
        let unit = ((mix(seed) >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        Duration::from_secs_f64(-unit.ln() * mean_s)
    }

    fn is_disturbed(&self) -> bool {
        (2..5).contains(&self.now.as_secs())
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrived(region) => self.arrive(region),
            Event::Shifted(id) => self.receive(id),
            Event::ReachedUpstream(id) => self.reach_upstream(id),
            Event::Served(id) => self.complete(id),
            Event::Responded(id) => self.respond(id),
            Event::Report => self.report(),
        }
    }

    fn arrive(&mut self, region: usize) {
        let capacity = f64::from(SLOTS) * UPSTREAMS as f64 * 1000.0 / SERVICE_MS;
        let burst = if self.is_disturbed() {
            self.scenario.burst
        } else {
            1.0
        };
        let returned_fraction = if self.scenario.cold_upstreams > 0 {
            (self.now.as_secs_f64() / LOOKUP_TTL_S).clamp(0.05, 1.0)
        } else {
            1.0
        };
        let rate = [self.scenario.load * burst * returned_fraction, 0.2][region] * capacity;
        let arrival_seed = mix(self.now.as_nanos() as u64) ^ region as u64;
        let gap = Self::exponential(arrival_seed, 1.0 / rate);
        if self.now < Duration::from_secs(self.scenario.seconds) {
            self.after(gap, Event::Arrived(region));
        }
        let entry = region * ENTRIES + (arrival_seed >> 16) as usize % ENTRIES;
        let (arrived_at, sent_at) = (self.now, Duration::ZERO);
        self.requests.push(Request {
            arrived_at,
            received_at: arrived_at,
            sent_at,
            home: entry,
            entry,
            upstream: 0,
            copy: false,
        });
        self.results.offered += u32::from(region == 0);
        let id = self.requests.len() - 1;
        if self.policy != Policy::LeastLoaded {
            return self.send(id);
        }
        self.copy_to_due_probe(id);
        let placement = self.place(entry);
        let entry = &mut self.entries[entry];
        match placement {
            Placement::Shift(other) if entry.shift.admit(arrived_at, Freshness::Fresh).is_ok() => {
                entry.previous = Some(other);
                entry.counts.shifted += 1;
                self.results.shifted += u32::from(region == 0);
                self.requests[id].entry = other * ENTRIES + self.random() as usize % ENTRIES;
                self.after(self.round_trip() / 2, Event::Shifted(id));
            }
            _ => {
                entry.previous = None;
                self.receive(id);
            }
        }
    }

    /// Sends a copy of the request to an upstream with a due probe, if the budget allows.
    fn copy_to_due_probe(&mut self, id: usize) {
        let request = self.requests[id];
        self.refresh(request.entry, true);
        let entry = &mut self.entries[request.entry];
        entry.copies.record_request();
        let Some(upstream) = due_probe(&entry.views) else {
            return;
        };
        if !entry.copies.take() {
            return;
        }
        entry.slow_starts[upstream].probe_sent(self.now);
        entry.detectors[upstream].probe_sent();
        self.results.copies += 1;
        self.requests.push(Request {
            copy: true,
            ..request
        });
        self.dispatch(self.requests.len() - 1, upstream);
    }

    fn round_trip(&self) -> Duration {
        self.scenario.round_trip
    }

    fn place(&mut self, entry: usize) -> Placement {
        let here = region_of(entry);
        self.refresh(entry, false);
        let load = self.load(entry, 0);
        let seed = self.random();
        self.entries[entry].counts.arrived += 1;
        let entry = &self.entries[entry];
        let Region {
            arriving,
            open,
            allowance,
            ..
        } = &self.regions[here];
        let spill = arriving.spill_permille(*open, TARGET.headroom_pct, allowance);
        let excess = is_excess(spill, seed);
        let shift_open = entry.shift.check(self.now, Freshness::Fresh).is_ok();
        let estimates = [0, 1].map(|region| RegionEstimate {
            wait: if region == here {
                self.admit.expected_wait(0, &load)
            } else {
                HOP
            },
            service_time: entry.service,
            round_trip: if region == here {
                Duration::ZERO
            } else {
                self.round_trip()
            },
            headroom_left_pct: self.regions[region]
                .carrying
                .headroom_left_pct(self.regions[region].open),
            admitting: true,
            shift_allowed: shift_open,
            freshness: Freshness::Fresh,
            drained: false,
        });
        let question = PlacementQuery {
            local_region: here,
            preference: &[here, 1 - here],
            estimates: &estimates,
            target: &TARGET,
            previous: entry.previous,
            exceeds_headroom: excess,
            deadline_left: DEADLINE,
        };
        place(&question, &PlacementSettings::default())
    }

    fn load(&self, entry: usize, queued_ahead: usize) -> Load {
        let entry = &self.entries[entry];
        let capacity = Capacity::of(&entry.views);
        Load {
            slots: capacity.open,
            in_flight: capacity.in_flight,
            queued_ahead: queued_ahead as u32,
            queued: entry.queue.len() as u32,
            service_time: entry.service,
            completion_interval: entry.completion_gap,
        }
    }

    /// Updates the views from the state of slow start and failure detection.
    fn refresh(&mut self, entry: usize, probes: bool) {
        let now = self.now;
        let Entry {
            views,
            slow_starts,
            detectors,
            ..
        } = &mut self.entries[entry];
        for (upstream, view) in views.iter_mut().enumerate() {
            let server = &self.upstreams[region_of(entry) * UPSTREAMS + upstream];
            view.reported = server.reports.front().copied();
            if self.policy == Policy::LeastLoaded {
                view.slow_start_limit = slow_starts[upstream].limit();
                view.suspect = detectors[upstream].is_suspected();
                view.cold = slow_starts[upstream].phase() == SlowStartPhase::Probing;
                view.probe_due = probes
                    && (slow_starts[upstream].probe_due(now) || detectors[upstream].probe_due(now));
            }
        }
    }

    /// Runs admission control at the entry that carries the request.
    fn receive(&mut self, id: usize) {
        self.requests[id].received_at = self.now;
        let entry = self.requests[id].entry;
        self.entries[entry].counts.carried += 1;
        self.refresh(entry, false);
        let load = self.load(entry, self.entries[entry].queue.len());
        match self.decide(id, &load) {
            Admission::Send => self.send(id),
            Admission::Queue { .. } => {
                self.entries[entry].counts.unserved += 1;
                self.entries[entry].queue.push_back(id);
            }
            Admission::Refuse { .. } => self.refuse(id),
        }
    }

    fn decide(&mut self, id: usize, load: &Load) -> Admission {
        let request = self.requests[id];
        let waited = self.now - request.received_at;
        let deadline_left = (request.arrived_at + DEADLINE).saturating_sub(self.now);
        let seed = self.random();
        self.admit.admit(0, load, waited, deadline_left, seed)
    }

    fn refuse(&mut self, id: usize) {
        let Request { home, entry, .. } = self.requests[id];
        self.entries[entry].counts.unserved += 1;
        if home != entry {
            self.entries[home].shift.release(self.now);
        }
        self.results.refused += u32::from(region_of(home) == 0);
    }

    fn send(&mut self, id: usize) {
        let index = self.requests[id].entry;
        self.refresh(index, false);
        let (now, seed) = (self.now, self.random());
        let entry = &mut self.entries[index];
        let Some(upstream) = entry.chooser.choose(&entry.views, now, seed) else {
            return self.refuse(id);
        };
        self.dispatch(id, upstream);
    }

    fn dispatch(&mut self, id: usize, upstream: usize) {
        let request = &mut self.requests[id];
        request.upstream = region_of(request.entry) * UPSTREAMS + upstream;
        request.sent_at = self.now;
        self.entries[request.entry].views[upstream].in_flight += 1;
        self.after(HOP, Event::ReachedUpstream(id));
    }

    fn reach_upstream(&mut self, id: usize) {
        let upstream = self.requests[id].upstream;
        if self.upstreams[upstream].busy_slots < SLOTS {
            return self.start_service(id);
        }
        self.upstreams[upstream].queue.push_back(id);
        self.results.queued += u32::from(upstream < UPSTREAMS);
    }

    fn start_service(&mut self, id: usize) {
        let index = self.requests[id].upstream;
        let is_slow = index == 0 && self.is_disturbed();
        let server = &mut self.upstreams[index];
        server.busy_slots += 1;
        server.served += 1;
        let is_cold = index < self.scenario.cold_upstreams;
        let coldness = 1.0 - f64::from(server.served) / self.scenario.cold_requests;
        let cache_penalty = if is_cold {
            3.0 * coldness.max(0.0)
        } else {
            0.0
        };
        let factor = (1.0 + cache_penalty) * if is_slow { self.scenario.slowdown } else { 1.0 };
        let seed = self.requests[id].arrived_at.as_nanos() as u64;
        let work = Duration::from_secs_f64(SERVICE_MS * 0.6e-3)
            + Self::exponential(!seed, SERVICE_MS * 0.4e-3);
        self.after(work.mul_f64(factor), Event::Served(id));
    }

    fn complete(&mut self, id: usize) {
        let upstream = self.requests[id].upstream;
        self.upstreams[upstream].busy_slots -= 1;
        if let Some(next) = self.upstreams[upstream].queue.pop_front() {
            self.start_service(next);
        }
        self.after(HOP, Event::Responded(id));
    }

    fn respond(&mut self, id: usize) {
        let request = self.requests[id];
        self.record_response(&request);
        if request.copy {
            return;
        }
        let region = region_of(request.home);
        let shifted = request.home != request.entry;
        let mut latency = self.now - request.arrived_at;
        if shifted {
            latency += self.round_trip() / 2;
            self.entries[request.home].shift.release(self.now);
        }
        if region == 0 {
            self.results.completed += u32::from(latency <= DEADLINE);
            self.results.latencies.push(latency);
            if !shifted {
                self.results.local_latencies.push(latency);
            }
        }
        if self.policy == Policy::LeastLoaded {
            self.drain_queue(request.entry);
        }
    }

    /// Updates the slow start and failure detection of the upstream that responded.
    fn record_response(&mut self, request: &Request) {
        let now = self.now;
        let upstream = request.upstream % UPSTREAMS;
        let latency = now - request.sent_at;
        let entry = &mut self.entries[request.entry];
        entry.views[upstream].in_flight -= 1;
        let view = &mut entry.views[upstream];
        view.latency = smooth_latency(view.latency, latency);
        if !request.copy {
            entry.service = smooth_latency(entry.service, latency);
            entry.counts.stats.add(&WindowStats::response(latency));
            let gap = now - entry.last_completion_at;
            entry.completion_gap = smooth_latency(entry.completion_gap, gap);
            entry.last_completion_at = now;
        }
        let mut others: Vec<_> = entry.views.iter().map(|view| view.latency).collect();
        others.swap_remove(upstream);
        let sibling_latency = FailureDetector::median_latency(&mut others);
        let stats = WindowStats::response(latency);
        let usable = entry.views[upstream].usable;
        let phase = entry.slow_starts[upstream].phase();
        entry.slow_starts[upstream].observe(now, &stats, usable, Freshness::Fresh);
        let change = entry.detectors[upstream].observe(now, &stats, sibling_latency, phase);
        if change == Some(SuspicionChange::Cleared) {
            entry.slow_starts[upstream].restart(
                now,
                SlowStartCause::Silence,
                sibling_latency,
                true,
            );
        }
    }

    fn drain_queue(&mut self, entry: usize) {
        while let Some(&id) = self.entries[entry].queue.front() {
            self.refresh(entry, false);
            let load = self.load(entry, 0);
            match self.decide(id, &load) {
                Admission::Queue { .. } => return,
                Admission::Send => self.send(id),
                Admission::Refuse { .. } => self.refuse(id),
            }
            self.entries[entry].queue.pop_front();
        }
    }

    /// Runs the control tick at each entry of a region and returns the sum of their counts.
    fn tick(&mut self, region: usize) -> Counts {
        let mut sum = Counts::default();
        self.regions[region].open = 0;
        for entry in region * ENTRIES..(region + 1) * ENTRIES {
            self.refresh(entry, false);
            let entry = &mut self.entries[entry];
            let counts = std::mem::take(&mut entry.counts);
            if entry.starvation.tick(counts.arrived, counts.unserved) {
                entry
                    .slow_starts
                    .iter_mut()
                    .for_each(|slow_start| slow_start.force_step(self.now));
            }
            sum.arrived += counts.arrived;
            sum.carried += counts.carried;
            sum.shifted += counts.shifted;
            sum.stats.add(&counts.stats);
            self.regions[region].open += Capacity::of(&entry.views).open;
        }
        sum
    }

    /// Updates the shared state of a region from the sum of its entries' counts.
    fn update_region(&mut self, region: usize) {
        let counts = self.tick(region);
        let now = self.now;
        let other = self.regions[1 - region];
        let own = &mut self.regions[region];
        if let Some(mean) = counts.stats.mean_latency() {
            own.service = smooth_latency(own.service, mean);
        }
        own.arriving.tick(now, counts.arrived, own.service);
        own.carrying.tick(now, counts.carried, own.service);
        own.shifting.tick(now, counts.shifted, own.service);
        own.allowance.tick(
            &other.carrying,
            other.open,
            TARGET.headroom_pct,
            &own.shifting,
            1,
        );
    }

    fn check_headroom(&mut self) {
        let busy_slots = self.upstreams[..UPSTREAMS]
            .iter()
            .map(|server| server.busy_slots);
        self.results.busy_slots.push_back(busy_slots.sum());
        if self.results.busy_slots.len() > 5 {
            self.results.busy_slots.pop_front();
        }
        let fits = 5 * SLOTS * UPSTREAMS as u32 * (100 - TARGET.headroom_pct) / 100;
        let busy_slots: u32 = self.results.busy_slots.iter().sum();
        self.results.ticks_below_headroom += u32::from(busy_slots > fits);
    }

    fn report(&mut self) {
        let kept = (self.scenario.report_lag.as_millis() / REPORT_EVERY.as_millis()) as usize;
        for (index, server) in self.upstreams.iter_mut().enumerate() {
            let is_false = self.scenario.false_reports && index == 0;
            let (in_flight, queued) = if is_false {
                (0, 0)
            } else {
                (server.busy_slots, server.queue.len() as u32)
            };
            let (slots, age) = (SLOTS, self.scenario.report_lag);
            server.reports.push_back(LoadReport {
                in_flight,
                queued,
                slots,
                age,
            });
            if server.reports.len() > kept {
                server.reports.pop_front();
            }
        }
        self.update_region(0);
        self.update_region(1);
        self.check_headroom();
        if self.now < Duration::from_secs(self.scenario.seconds) {
            self.after(REPORT_EVERY, Event::Report);
        }
    }
}

/// Fixed share of an upstream's slots; the remaining slots are distributed round robin.
fn owned_slots(entry: usize, upstream: usize) -> UpstreamView {
    let position = (entry + upstream) % ENTRIES;
    let remainder = SLOTS as usize % ENTRIES;
    let usable = SLOTS / ENTRIES as u32 + u32::from(position < remainder);
    UpstreamView {
        usable,
        ..UpstreamView::default()
    }
}
