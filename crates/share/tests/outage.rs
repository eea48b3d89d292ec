//! Usable tokens of four entries of one pool during outages, second by second, for each strategy compared
//! in docs/design/share.md. `cargo test -p share --test outage -- --nocapture` prints the figures.

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

/// Fault that begins at `FAULT_S`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// No entry reaches the platform.
    PlatformDown,
    /// The first entry takes no step.
    Paused,
    /// The first entry does not reach the platform; its peers do.
    OneCutOff,
    /// The first entry is gone and uses nothing.
    Killed,
    /// No entry reaches the platform, and the first entry is gone.
    PlatformDownAndKilled,
}

/// Entries and the table that they share.
struct Pool {
    members: Vec<Member>,
    row: Option<Arc<Row>>,
    leases: Vec<u64>,
    fault: Fault,
    until_s: u64,
}

/// Tokens over time, summed over the entries.
struct Usage {
    /// Tokens that running entries may use, by second.
    usable: Vec<u32>,
    /// The same, paused entries included.
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

    fn in_fault(&self, second: u64) -> bool {
        (FAULT_S..self.until_s).contains(&second)
    }

    fn is_running(&self, i: usize, second: u64) -> bool {
        let stops = [Fault::Paused, Fault::Killed, Fault::PlatformDownAndKilled];
        !(i == 0 && self.in_fault(second) && stops.contains(&self.fault))
    }

    fn reaches_platform(&self, i: usize, second: u64) -> bool {
        let down = match self.fault {
            Fault::PlatformDown | Fault::PlatformDownAndKilled => true,
            Fault::OneCutOff => i == 0,
            Fault::Paused | Fault::Killed => false,
        };
        self.is_running(i, second) && !(down && self.in_fault(second))
    }

    /// Runs entry `i` for one second.
    fn step(&mut self, i: usize, second: u64) {
        let now = Now::from_secs(second);
        let platform = self.reaches_platform(i, second);
        if platform {
            self.exchange_with_platform(i, second, now);
        }
        let member = &mut self.members[i];
        member.set_capacity(capacity());
        member.set_demand(TOKENS);
        // Every entry uses all that its limits allow.
        let limits = member.limits();
        let busy = capacity().into_keys().map(|resource| {
            let n = limits.at(&resource, now);
            (resource, n)
        });
        member.set_in_flight(busy.filter(|(_, n)| *n > 0).collect());
        for action in member.tick(now) {
            self.execute(action, platform, now);
        }
        let beat = self.members[i].heartbeat(now);
        for j in (0..ENTRIES).filter(|j| *j != i) {
            if self.is_running(j, second) {
                self.members[j].on_heartbeat(&beat, now);
            }
        }
    }

    fn exchange_with_platform(&mut self, i: usize, second: u64, now: Now) {
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

    fn execute(&mut self, action: Action, platform: bool, now: Now) {
        match action {
            Action::Propose { expect_epoch, row } => {
                let current = self.row.as_ref().map(|row| row.epoch);
                if platform && expect_epoch == current {
                    self.row = Some(Arc::new(row));
                }
            }
            Action::Transfer(give) => {
                let to = self
                    .members
                    .iter_mut()
                    .find(|member| *member.id() == give.to);
                to.expect("the receiver is a member")
                    .on_transfer(&give, now);
            }
            Action::SendRow { to, row } => {
                let to = self.members.iter_mut().find(|member| *member.id() == to);
                to.expect("the receiver is a member").on_row(&row, now);
            }
        }
    }

    /// Runs until `end_s` and returns the tokens by second.
    fn run_until(mut self, end_s: u64) -> Usage {
        let mut usage = Usage {
            usable: Vec::new(),
            claimed: Vec::new(),
        };
        for second in 0..=end_s {
            for i in 0..ENTRIES {
                if self.is_running(i, second) {
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
            let running = (0..ENTRIES).filter(|i| self.is_running(*i, second));
            usage.usable.push(running.clone().map(|i| tokens(&i)).sum());
            let gone = |i: &usize| self.fault != Fault::Paused && !self.is_running(*i, second);
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

    /// Returns the second, `from` or later, since which at least `tokens` have been usable to the end.
    fn recovered_at(&self, tokens: u32, from: usize) -> Option<usize> {
        let last_below = self.usable.iter().rposition(|n| *n < tokens);
        let recovered = last_below.map_or(from, |last| last + 1).max(from);
        (recovered < self.usable.len()).then_some(recovered)
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

/// The strategies compared: nothing after the lapse, a floor, a floor and promises.
fn strategies() -> BTreeMap<&'static str, Terms> {
    let with_promises = Terms::default();
    let with_floor = Terms {
        promise_term: Duration::ZERO,
        ..with_promises
    };
    let no_floor = Terms {
        floor_pct: 0,
        ..with_floor
    };
    BTreeMap::from([
        ("1 lapse", no_floor),
        ("3 floor", with_floor),
        ("3+2 promises", with_promises),
    ])
}

/// Runs `fault` with each strategy, prints the figures and checks that no token ever has two users.
fn measure(fault: Fault, until_s: u64, end_s: u64) -> BTreeMap<&'static str, Usage> {
    let mut all = BTreeMap::new();
    for (strategy, terms) in strategies() {
        let usage = Pool::new(terms, fault, until_s).run_until(end_s);
        let last_in_fault = usize::try_from(until_s.min(end_s)).expect("fits usize") - 1;
        let most = usage.claimed.iter().max().expect("not empty");
        println!(
            "{fault:?}, {strategy}: in the fault {:.1} % usable on average, least {} of {TOKENS}; \
             whole again at {:?} s (fault from {FAULT_S} s to {until_s} s); most claimed {most}",
            usage.mean_pct(60..=last_in_fault),
            usage.least(60..=last_in_fault),
            usage.recovered_at(TOKENS, 60),
        );
        assert_eq!(
            usage.usable[59], TOKENS,
            "{strategy}: all tokens are usable before the fault"
        );
        assert!(*most <= TOKENS, "{strategy}: {most} tokens claimed");
        all.insert(strategy, usage);
    }
    all
}

/// Guards against refusing callers while all upstreams work.
///
/// The platform is down for ten minutes and no lease can be renewed. Time alone does not tell an entry
/// whether it is the only one that is cut off; the others' promises do.
#[test]
fn platform_down_for_ten_minutes() {
    let all = measure(Fault::PlatformDown, 660, 720);
    assert_eq!(all["1 lapse"].least(75..=659), 0);
    assert!(all["3 floor"].least(60..=659) >= TOKENS / 2);
    assert_eq!(all["3+2 promises"].least(60..=720), TOKENS);
}

/// Guards against two entries that send to one slot after one of them wakes up.
///
/// An entry is paused for a minute, its lease lapses, and the others take its surplus. Nothing but its
/// own clock tells it so when it resumes.
#[test]
fn one_entry_paused_past_its_lease() {
    let all = measure(Fault::Paused, 120, 180);
    for usage in all.values() {
        assert!(usage.least(60..=180) >= TOKENS * 3 / 4);
        assert!(usage.recovered_at(TOKENS, 120).is_some());
    }
}

/// Guards against an entry that refuses callers because it can't reach the platform.
///
/// One entry of four is cut off from the platform for ten minutes and still hears its peers. Its lease
/// lapses, so the others take its surplus unless they promised not to.
#[test]
fn one_entry_cut_off_from_the_platform() {
    let all = measure(Fault::OneCutOff, 660, 720);
    assert_eq!(all["3+2 promises"].least(60..=720), TOKENS);
}

/// Guards against a quarter of the slots staying unused after an entry died.
///
/// An entry is killed and never comes back. Its floor is freed only after the long TTL.
#[test]
fn one_entry_killed() {
    let all = measure(Fault::Killed, 2000, 1200);
    assert!(all
        .values()
        .all(|usage| usage.recovered_at(TOKENS, 60).is_some()));
    assert!(all["3+2 promises"].least(85..=1200) >= TOKENS * 7 / 8 - 1);
}

/// Bounds the slots left unused when an entry dies during an outage of the platform.
///
/// A dead entry makes no promises, and the surplus is kept only if all others promise.
#[test]
fn platform_down_and_one_entry_killed() {
    let all = measure(Fault::PlatformDownAndKilled, 660, 720);
    assert!(all["3+2 promises"].least(60..=659) >= TOKENS * 3 / 8);
}
