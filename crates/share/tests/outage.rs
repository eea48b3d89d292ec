//! What four entries of one pool can use in outages, second by second, for each way weighed in
//! docs/design/share.md. `cargo test -p share --test outage -- --nocapture` prints the figures.

use base::Now;
use share::{
    Action,
    Amounts,
    Member,
    MemberId,
    Row,
    Terms, //
};
use std::{
    collections::BTreeMap,
    ops::RangeInclusive,
    sync::Arc,
    time::Duration, //
};

/// Entries of the pool.
const ENTRIES: usize = 4;
/// Upstreams of the pool, of nine slots each.
const UPSTREAMS: usize = 4;
/// Tokens of the pool.
const TOKENS: u32 = 36;
/// When the fault begins.
const FAULT_S: u64 = 60;
/// Seconds between two renewals of a lease.
const RENEW_S: u64 = 3;

/// What goes wrong from `FAULT_S` on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// Nobody reaches the platform.
    PlatformDown,
    /// The first entry takes no step.
    Paused,
    /// The first entry does not reach the platform; its peers do.
    CutOffAlone,
    /// The first entry is gone and uses nothing.
    Killed,
    /// Nobody reaches the platform, and the first entry is gone.
    PlatformDownAndKilled,
}

/// Entries with the table between them.
struct Pool {
    members: Vec<Member>,
    row: Option<Arc<Row>>,
    leases: Vec<u64>,
    fault: Fault,
    until_s: u64,
}

/// Tokens over time.
struct Usage {
    /// Tokens that entries which run may use, by second.
    usable: Vec<u32>,
    /// The same with those that are paused.
    claimed: Vec<u32>,
}

impl Pool {
    fn new(terms: Terms, fault: Fault, until_s: u64) -> Self {
        let member = |i| Member::new(id(i), "slots/r/s".into(), terms);
        Self {
            members: (0..ENTRIES).map(member).collect(),
            row: None,
            leases: vec![0; ENTRIES],
            fault,
            until_s,
        }
    }

    fn faulty(&self, second: u64) -> bool {
        (FAULT_S..self.until_s).contains(&second)
    }

    fn runs(&self, i: usize, second: u64) -> bool {
        let stops = [Fault::Paused, Fault::Killed, Fault::PlatformDownAndKilled];
        !(i == 0 && self.faulty(second) && stops.contains(&self.fault))
    }

    fn reaches_platform(&self, i: usize, second: u64) -> bool {
        let down = match self.fault {
            Fault::PlatformDown | Fault::PlatformDownAndKilled => true,
            Fault::CutOffAlone => i == 0,
            Fault::Paused | Fault::Killed => false,
        };
        self.runs(i, second) && !(down && self.faulty(second))
    }

    /// One second of entry `i`.
    fn step(&mut self, i: usize, second: u64) {
        let now = Now::from_secs(second);
        let platform = self.reaches_platform(i, second);
        if platform {
            self.use_platform(i, second, now);
        }
        let member = &mut self.members[i];
        member.set_capacity(capacity());
        member.set_demand(TOKENS);
        // Every entry is as busy as it may be.
        let limits = member.limits();
        let busy = capacity().into_keys().map(|resource| {
            let n = limits.at(&resource, now);
            (resource, n)
        });
        member.set_in_flight(busy.filter(|(_, n)| *n > 0).collect());
        for action in member.tick(now) {
            self.run(action, platform, now);
        }
        let beat = self.members[i].beat(now);
        for j in (0..ENTRIES).filter(|j| *j != i) {
            if self.runs(j, second) {
                self.members[j].on_beat(&beat, now);
            }
        }
    }

    fn use_platform(&mut self, i: usize, second: u64, now: Now) {
        if second % RENEW_S == 0 || self.leases[i] == 0 {
            self.leases[i] += 1;
            self.members[i].set_lease(self.leases[i], now, now);
        }
        let member = &mut self.members[i];
        match &self.row {
            Some(row) => member.on_row(row, now),
            None => member.on_row_absent(),
        }
        for (j, seq) in self.leases.iter().enumerate() {
            member.observe_lease(&id(j), *seq, now, now);
        }
    }

    fn run(&mut self, action: Action, platform: bool, now: Now) {
        match action {
            Action::Propose { expect_epoch, row } => {
                let current = self.row.as_ref().map(|row| row.epoch);
                if platform && expect_epoch == current {
                    self.row = Some(Arc::new(row));
                }
            }
            Action::Give(give) => {
                let to = self
                    .members
                    .iter_mut()
                    .find(|member| *member.id() == give.to);
                to.expect("a member").on_give(&give, now);
            }
            Action::SendRow { to, row } => {
                let to = self.members.iter_mut().find(|member| *member.id() == to);
                to.expect("a member").on_row(&row, now);
            }
        }
    }

    /// Runs until `end_s`; tokens by second.
    fn run_until(mut self, end_s: u64) -> Usage {
        let mut usage = Usage {
            usable: Vec::new(),
            claimed: Vec::new(),
        };
        for second in 0..=end_s {
            for i in 0..ENTRIES {
                if self.runs(i, second) {
                    self.step(i, second);
                }
            }
            let now = Now::from_secs(second);
            let tokens = |i: &usize| -> u32 {
                let limits = self.members[*i].limits();
                capacity()
                    .keys()
                    .map(|resource| limits.at(resource, now))
                    .sum()
            };
            let running = (0..ENTRIES).filter(|i| self.runs(*i, second));
            usage.usable.push(running.clone().map(|i| tokens(&i)).sum());
            let gone = |i: &usize| self.fault != Fault::Paused && !self.runs(*i, second);
            let claimed = (0..ENTRIES).filter(|i| !gone(i));
            usage.claimed.push(claimed.map(|i| tokens(&i)).sum());
        }
        usage
    }
}

impl Usage {
    fn least(&self, seconds: RangeInclusive<usize>) -> u32 {
        self.usable[seconds]
            .iter()
            .copied()
            .min()
            .expect("not empty")
    }

    fn mean_pct(&self, seconds: RangeInclusive<usize>) -> f64 {
        let slice = &self.usable[seconds];
        let sum: u32 = slice.iter().sum();
        f64::from(sum) * 100.0 / (slice.len() as f64 * f64::from(TOKENS))
    }

    /// First second from `from` on at which at least `tokens` are usable for good.
    fn back_at(&self, tokens: u32, from: usize) -> Option<usize> {
        let below = self.usable.iter().rposition(|n| *n < tokens);
        let back = below.map_or(from, |last| last + 1).max(from);
        (back < self.usable.len()).then_some(back)
    }
}

fn id(i: usize) -> MemberId {
    MemberId {
        instance: format!("e{i}").into(),
        incarnation: 1,
    }
}

fn capacity() -> Amounts {
    (0..UPSTREAMS)
        .map(|i| (format!("u{i}").into(), 9))
        .collect()
}

/// The ways weighed: nothing after the lapse, a floor, a floor and promises.
fn ways() -> BTreeMap<&'static str, Terms> {
    let whole = Terms::default();
    let floor = Terms {
        promise_term: Duration::ZERO,
        ..whole
    };
    let lapse = Terms {
        floor_pct: 0,
        ..floor
    };
    BTreeMap::from([
        ("1 lapse", lapse),
        ("3 floor", floor),
        ("3+2 promises", whole),
    ])
}

/// Runs `fault` in each way, prints the figures and checks that no token is ever used twice.
fn measure(fault: Fault, until_s: u64, end_s: u64) -> BTreeMap<&'static str, Usage> {
    let mut all = BTreeMap::new();
    for (way, terms) in ways() {
        let usage = Pool::new(terms, fault, until_s).run_until(end_s);
        let last = usize::try_from(until_s.min(end_s)).expect("small") - 1;
        let most = usage.claimed.iter().max().expect("not empty");
        println!(
            "{fault:?}, {way}: in the fault {:.1} % usable on average, least {} of {TOKENS}; \
             whole again at {:?} s (fault from {FAULT_S} s to {until_s} s); most claimed {most}",
            usage.mean_pct(60..=last),
            usage.least(60..=last),
            usage.back_at(TOKENS, 60),
        );
        assert_eq!(usage.usable[59], TOKENS, "{way}: whole before the fault");
        assert!(*most <= TOKENS, "{way}: {most} tokens claimed");
        all.insert(way, usage);
    }
    all
}

/// Symptom: callers are refused while all upstreams are well.
///
/// Sequence: the platform is down for ten minutes, no lease can be renewed, and each entry has to fear
/// that it alone is cut off. Cause: time alone can't tell the two apart; the others' promises can.
#[test]
fn platform_down_ten_minutes() {
    let all = measure(Fault::PlatformDown, 660, 720);
    assert_eq!(all["1 lapse"].least(75..=659), 0);
    assert!(all["3 floor"].least(60..=659) >= TOKENS / 2);
    assert_eq!(all["3+2 promises"].least(60..=720), TOKENS);
}

/// Symptom: two entries send to one slot after one of them wakes up.
///
/// Sequence: an entry stands still for a minute, its lease lapses, the others take its surplus, and it
/// wakes. Cause: nobody told it; its own clock has to.
#[test]
fn one_paused_past_its_lease() {
    let all = measure(Fault::Paused, 120, 180);
    for usage in all.values() {
        assert!(usage.least(60..=180) >= TOKENS * 3 / 4);
        assert!(usage.back_at(TOKENS, 120).is_some());
    }
}

/// Symptom: an entry that callers can reach refuses them for want of the platform.
///
/// Sequence: one entry of four loses its way to the platform for ten minutes and still hears its
/// peers. Cause: its lease lapses, so its surplus goes to the others unless they promise not to.
#[test]
fn one_cut_off_from_the_platform_alone() {
    let all = measure(Fault::CutOffAlone, 660, 720);
    assert_eq!(all["3+2 promises"].least(60..=720), TOKENS);
}

/// Symptom: a quarter of the slots stays unused after an entry died.
///
/// Sequence: an entry is killed and never comes back. Cause: its floor waits for the long term.
#[test]
fn one_killed() {
    let all = measure(Fault::Killed, 2000, 1200);
    assert!(all
        .values()
        .all(|usage| usage.back_at(TOKENS, 60).is_some()));
    assert!(all["3+2 promises"].least(85..=1200) >= TOKENS * 7 / 8 - 1);
}

/// Symptom: half of the slots are unused through an outage.
///
/// Sequence: the platform goes down and an entry dies in the outage. Cause: a dead entry promises
/// nothing, and unanimity was the condition.
#[test]
fn platform_down_and_one_killed() {
    let all = measure(Fault::PlatformDownAndKilled, 660, 720);
    assert!(all["3+2 promises"].least(60..=659) >= TOKENS * 3 / 8);
}
