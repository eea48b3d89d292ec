//! Upstreams that share their machines: at any time, work takes 2.5 times as long at some of them.
//!
//! Several entries send requests and learn the speed of an upstream from its responses to them alone.

use balance::{
    affinity_hash,
    choose,
    Choice,
    LoadReport,
    Location,
    Query,
    ServiceTimes,
    StatedSpeed,
    Upstream,
    UsualSpeed, //
};
use base::Now;
use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    time::Duration, //
};

const ENTRIES: usize = 6;
const UPSTREAMS: usize = 24;
const SLOTS: u32 = 9;
const KEYS: u64 = 2500;
/// Keys that an upstream remembers.
const REMEMBERED: usize = 40;
/// Time after which an upstream's speed may be another one.
const SPEED_CHANGE: Duration = Duration::from_millis(600);
/// Fraction of the upstreams that are slow at any time, and the ratio of their work time to the usual one.
const NOISY_FRACTION: f64 = 0.15;
const NOISY_PCT: u32 = 250;
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
const REQUESTS: u64 = 12_000;
/// Requests at the start that aren't counted, since all keys are cold then.
const UNCOUNTED: u64 = 4000;

/// Requests of one route.
#[derive(Clone, Copy)]
struct Work {
    cold: Duration,
    warm: Duration,
    target: Duration,
    timeout: Duration,
    runs_once: bool,
}

const ORDERS: Work = Work {
    cold: Duration::from_millis(1800),
    warm: Duration::from_millis(540),
    target: Duration::from_millis(1500),
    timeout: Duration::from_millis(3000),
    runs_once: true,
};

const READS: Work = Work {
    cold: Duration::from_millis(1400),
    warm: Duration::from_millis(420),
    target: Duration::from_millis(1200),
    timeout: Duration::from_millis(8000),
    runs_once: false,
};

/// What became of the requests.
#[derive(Debug, Default)]
struct Results {
    in_target: u32,
    late: u32,
    /// Still running at the timeout.
    lost: u32,
    refused: u32,
}

impl Results {
    fn in_target(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.all())
    }

    /// Returns the fraction of the requests sent that ended before the timeout.
    fn ended_in_time(&self) -> f64 {
        1.0 - f64::from(self.lost) / f64::from(self.all() - self.refused)
    }

    fn all(&self) -> u32 {
        self.in_target + self.late + self.lost + self.refused
    }
}

/// Returns a pseudo-random number in `0.0..1.0` for these numbers.
fn random(numbers: [u64; 2]) -> f64 {
    let hash = affinity_hash(&numbers.map(u64::to_le_bytes).concat());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the work time that an upstream states at `now`.
fn speed_pct(index: usize, now: Now) -> u32 {
    let phase = SPEED_CHANGE.mul_f64(random([index as u64, u64::MAX]));
    let period = (now + phase).as_millis() / SPEED_CHANGE.as_millis();
    if random([index as u64, period as u64]) < NOISY_FRACTION {
        NOISY_PCT
    } else {
        100
    }
}

/// Keys that an upstream remembers, the least recently used first.
#[derive(Default)]
struct Cache(VecDeque<u64>);

impl Cache {
    /// Runs a request; returns whether the key was remembered.
    fn run(&mut self, key: u64) -> bool {
        let known = self.0.iter().position(|known| *known == key);
        if let Some(index) = known {
            self.0.remove(index);
        } else if self.0.len() == REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(key);
        known.is_some()
    }
}

/// State of one entry.
struct Entry {
    upstreams: Vec<Upstream>,
    service_times: ServiceTimes,
    usual_speed: UsualSpeed,
}

impl Entry {
    fn new() -> Self {
        let upstreams = (0..UPSTREAMS).map(|number| {
            let id = format!("u-{number}").into();
            Upstream::new(id, "region-a".into(), "domain-a".into(), SLOTS)
        });
        Self {
            upstreams: upstreams.collect(),
            service_times: ServiceTimes::default(),
            usual_speed: UsualSpeed::default(),
        }
    }
}

/// A response on its way, ordered by the time of its arrival.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Response {
    at: Now,
    entry: usize,
    index: usize,
    known_warm: bool,
    started_at: Now,
    before: Option<(u32, Now)>,
}

/// Upstreams as they are, and the entries that send to them.
struct Simulation {
    work: Work,
    states_speed: bool,
    entries: Vec<Entry>,
    caches: Vec<Cache>,
    responses: BinaryHeap<Reverse<Response>>,
    results: Results,
}

impl Simulation {
    fn run(work: Work, states_speed: bool) -> Results {
        let mut simulation = Self::new(work, states_speed);
        simulation.run_all();
        simulation.results
    }

    fn new(work: Work, states_speed: bool) -> Self {
        Self {
            work,
            states_speed,
            entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
            caches: (0..UPSTREAMS).map(|_| Cache::default()).collect(),
            responses: BinaryHeap::new(),
            results: Results::default(),
        }
    }

    fn run_all(&mut self) {
        for number in 0..REQUESTS {
            let now = Duration::from_secs(1) + REQUEST_INTERVAL * number as u32;
            self.receive_until(now);
            self.request(number, now);
        }
    }

    fn request(&mut self, number: u64, now: Now) {
        let key = affinity_hash(&((random([number, 1]) * KEYS as f64) as u64).to_le_bytes());
        let number_of_entry = (random([number, 2]) * ENTRIES as f64) as usize;
        let entry = &mut self.entries[number_of_entry];
        let here = Location {
            region: "region-a".into(),
            failure_domain: "domain-a".into(),
            ..Location::default()
        };
        let query = Query {
            key,
            has_affinity_key: true,
            target_left: self.work.target,
            deadline_left: self.work.timeout,
            cold_per_s: f64::MAX,
            service_times: entry.service_times,
            usual_speed: entry.usual_speed,
            runs_once: self.work.runs_once,
            ..Query::default()
        };
        let is_counted = number >= UNCOUNTED;
        let Choice::Send { index, warm, .. } = choose(&mut entry.upstreams, &query, &here, now)
        else {
            self.results.refused += u32::from(is_counted);
            return;
        };
        let upstream = &mut entry.upstreams[index];
        upstream.in_flight += 1;
        let before = upstream
            .speed
            .map(|stated| (stated.work_time_pct, stated.at));
        for entry in &mut self.entries {
            entry.upstreams[index].warm_keys.note(key, now);
        }
        let was_warm = self.caches[index].run(key);
        let usual = if was_warm {
            self.work.warm
        } else {
            self.work.cold
        };
        let took = usual * speed_pct(index, now) / 100;
        self.responses.push(Reverse(Response {
            at: now + took.min(self.work.timeout),
            entry: number_of_entry,
            index,
            known_warm: warm,
            started_at: now,
            before,
        }));
        if is_counted {
            if took >= self.work.timeout {
                self.results.lost += 1;
            } else if took > self.work.target {
                self.results.late += 1;
            } else {
                self.results.in_target += 1;
            }
        }
    }

    /// Delivers the responses that arrive until `now`.
    fn receive_until(&mut self, now: Now) {
        while self
            .responses
            .peek()
            .is_some_and(|Reverse(next)| next.at <= now)
        {
            let Some(Reverse(response)) = self.responses.pop() else {
                return;
            };
            self.receive(&response);
        }
    }

    fn receive(&mut self, response: &Response) {
        let Response { at, index, .. } = *response;
        let entry = &mut self.entries[response.entry];
        let upstream = &mut entry.upstreams[index];
        let took = at - response.started_at;
        let is_complete = took < self.work.timeout;
        if is_complete {
            let work_time_pct = self.states_speed.then(|| speed_pct(index, at));
            let reported = LoadReport {
                running: upstream.in_flight,
                slots: SLOTS,
                work_time_pct,
                ..LoadReport::default()
            };
            upstream.note_report(reported, at);
            if let Some(pct) = work_time_pct {
                entry.usual_speed.note(pct);
            }
            let before = response
                .before
                .map(|(work_time_pct, at)| StatedSpeed { work_time_pct, at });
            let after = work_time_pct.map(|work_time_pct| StatedSpeed { work_time_pct, at });
            let usual = entry.usual_speed.usual_time(took, before, after, at);
            upstream.health.note_response(usual, at);
            entry.service_times.note(response.known_warm, usual, at);
        }
        upstream.in_flight -= 1;
    }
}

/// Guards against single-run requests that are cut off at their timeout because they began at an upstream that had stated
/// that it is slow.
#[test]
fn fewer_single_run_requests_are_lost_if_upstreams_state_their_speed() {
    let without = Simulation::run(ORDERS, false);
    let with = Simulation::run(ORDERS, true);
    assert!(with.lost * 10 < without.lost * 9, "{with:?}, {without:?}");
    assert!(with.ended_in_time() > without.ended_in_time());
    // Only requests that would have been lost are refused.
    assert!(with.lost + with.refused < without.lost, "{with:?}");
    assert!(with.in_target() > without.in_target() - 0.01, "{with:?}");
}

/// Guards against keys that are spread over more upstreams than remember them because of passing slow moments.
#[test]
fn repeatable_requests_are_as_often_in_target() {
    let without = Simulation::run(READS, false);
    let with = Simulation::run(READS, true);
    assert!(with.in_target() > without.in_target() - 0.01, "{with:?}");
    assert_eq!(with.refused, 0);
}

/// Guards against estimates of the service times that noise blurs.
#[test]
fn service_times_stay_those_at_the_usual_speed() {
    let mut simulation = Simulation::new(ORDERS, true);
    simulation.run_all();
    for entry in &simulation.entries {
        let (warm, cold) = (entry.service_times.warm(), entry.service_times.cold());
        assert!(
            warm > ORDERS.warm.mul_f64(0.8) && warm < ORDERS.warm.mul_f64(1.2),
            "{warm:?}"
        );
        assert!(
            cold > ORDERS.cold.mul_f64(0.7) && cold < ORDERS.cold.mul_f64(1.3),
            "{cold:?}"
        );
    }
}
