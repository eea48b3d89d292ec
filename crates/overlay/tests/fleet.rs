//! Sessions and views of many entries under failures.

use base::{
    InstanceId,
    Now, //
};
use overlay::{
    CallerService,
    Member,
    Overlay,
    Roster,
    SessionEnd,
    HUBS_PER_DOMAIN, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

const STEP: Duration = Duration::from_millis(250);
/// Time after which a silent session is lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time after the last change within which every entry has to know which entries are up.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// Longest time for which an entry that is gone may be counted as up.
const MAX_STALE: Duration = Duration::from_secs(6);

struct Entry {
    member: Member,
    overlay: Overlay,
    alive: bool,
    frozen: bool,
    died_at: Now,
}

/// Entries, the sessions between them, and the links that are cut.
struct Fleet {
    now: Now,
    entries: Vec<Entry>,
    /// Pairs with a session, and which of them dialled.
    sessions: BTreeMap<(usize, usize), BTreeSet<usize>>,
    /// Hubs whose rosters one entry last sent to another.
    sent: BTreeMap<(usize, usize), BTreeSet<InstanceId>>,
    /// Pairs that can't reach each other, and since when.
    cut: BTreeMap<(usize, usize), Now>,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

fn member(index: usize, domains: usize) -> Member {
    let domain = index % domains;
    Member {
        instance: format!("entry-{index:03}").into(),
        region: format!("region-{}", domain % 3).into(),
        failure_domain: format!("domain-{domain}").into(),
        peers_addr: addr(index),
        cpu_milli: if index < 3 * domains { 500 } else { 100 },
    }
}

fn service(index: usize) -> CallerService {
    CallerService {
        callers_addr: addr(index),
        ready: true,
        relay_addr: None,
        is_partitioned: false,
        capacity: None,
    }
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Fleet {
    fn new(entries: usize, domains: usize) -> Self {
        let members: Vec<Member> = (0..entries).map(|index| member(index, domains)).collect();
        let entries = members.iter().map(|own| Entry {
            member: own.clone(),
            overlay: new_overlay(own, &members),
            alive: true,
            frozen: false,
            died_at: Now::ZERO,
        });
        Self {
            now: Duration::from_secs(1),
            entries: entries.collect(),
            sessions: BTreeMap::new(),
            sent: BTreeMap::new(),
            cut: BTreeMap::new(),
        }
    }

    fn index_of(&self, instance: &InstanceId) -> usize {
        let number = instance
            .strip_prefix("entry-")
            .expect("the name is `entry-NNN`");
        number.parse().expect("the name is `entry-NNN`")
    }

    fn is_running(&self, index: usize) -> bool {
        self.entries[index].alive && !self.entries[index].frozen
    }

    fn kill(&mut self, indices: impl IntoIterator<Item = usize>) {
        for index in indices {
            self.entries[index].alive = false;
            self.entries[index].died_at = self.now;
        }
    }

    /// Starts processes anew; they know nothing but what the store lists.
    fn restart(&mut self, indices: impl IntoIterator<Item = usize>) {
        let members: Vec<Member> = self
            .entries
            .iter()
            .map(|entry| entry.member.clone())
            .collect();
        for index in indices {
            let own = self.entries[index].member.clone();
            self.entries[index].overlay = new_overlay(&own, &members);
            self.entries[index].alive = true;
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.lose_sessions();
            self.dial();
            self.exchange();
            self.check_no_stale_entries();
        }
    }

    /// Sessions to processes that ended break at once; those over a cut link are lost after a silence.
    fn lose_sessions(&mut self) {
        let now = self.now;
        let pairs: Vec<(usize, usize)> = self.sessions.keys().copied().collect();
        for (a, b) in pairs {
            let dead = !self.entries[a].alive || !self.entries[b].alive;
            let cut = self
                .cut
                .get(&(a, b))
                .is_some_and(|at| now >= *at + SILENCE_TIMEOUT);
            if dead || cut {
                self.sessions.remove(&(a, b));
                self.end((a, b), SessionEnd::Lost);
            }
        }
    }

    fn end(&mut self, (a, b): (usize, usize), down: SessionEnd) {
        for (entry, other) in [(a, b), (b, a)] {
            self.sent.remove(&(entry, other));
            let other = self.entries[other].member.instance.clone();
            if self.entries[entry].alive {
                let now = self.now;
                self.entries[entry]
                    .overlay
                    .on_session_down(&other, down, now);
            }
        }
    }

    fn dial(&mut self) {
        let mut wanted: BTreeMap<(usize, usize), BTreeSet<usize>> = BTreeMap::new();
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|index| self.is_running(*index))
            .collect();
        for index in running {
            let now = self.now;
            let overlay = &mut self.entries[index].overlay;
            overlay.sweep(now);
            for partner in overlay.session_targets(now) {
                let other = partner.instance.strip_prefix("entry-").map(str::parse);
                let other: usize = other
                    .expect("the name is `entry-NNN`")
                    .expect("the index is a number");
                wanted.entry(pair(index, other)).or_default().insert(index);
            }
        }
        let pairs: Vec<(usize, usize)> = self.sessions.keys().copied().collect();
        for pair in pairs {
            let dialled = self.sessions[&pair].clone();
            let still_wanted = wanted.get(&pair).cloned().unwrap_or_default();
            if dialled
                .iter()
                .all(|by| !still_wanted.contains(by) && self.is_running(*by))
            {
                self.sessions.remove(&pair);
                self.end(pair, SessionEnd::Unneeded);
            }
        }
        for ((a, b), by) in wanted {
            let reachable =
                self.is_running(a) && self.is_running(b) && !self.cut.contains_key(&(a, b));
            if let Some(dialled) = self.sessions.get_mut(&(a, b)) {
                dialled.extend(by);
            } else if reachable {
                self.sessions.insert((a, b), by);
                for (entry, other) in [(a, b), (b, a)] {
                    let other = self.entries[other].member.clone();
                    let round_trip = Duration::from_millis(1);
                    self.entries[entry].overlay.on_session_up(
                        &other.instance,
                        &other.region,
                        &other.failure_domain,
                        round_trip,
                    );
                }
            }
        }
    }

    /// Sends states and rosters over each session that isn't cut.
    fn exchange(&mut self) {
        let now = self.now;
        let pairs: Vec<(usize, usize)> = self.sessions.keys().copied().collect();
        for (a, b) in pairs {
            if !self.is_running(a) || !self.is_running(b) || self.cut.contains_key(&(a, b)) {
                continue;
            }
            for (from, to) in [(a, b), (b, a)] {
                let is_hub = self.entries[from].overlay.is_hub(now);
                let member = self.entries[from].member.clone();
                self.entries[from].overlay.set_own_service(service(from));
                let overlay = &self.entries[from].overlay;
                let to_name = &self.entries[to].member.instance;
                let to_leaf = overlay.leaves().any(|leaf| leaf == to_name);
                let mut rosters = Vec::new();
                if to_leaf || overlay.roster_receivers(now).any(|entry| entry == to_name) {
                    rosters.push(overlay.own_roster());
                }
                if !rosters.is_empty() {
                    let forwarded = overlay.forwarded_rosters(to_name, now);
                    rosters.extend(forwarded.map(|(_, roster)| roster.clone()));
                }
                self.deliver(from, to, member, is_hub, rosters);
            }
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        member: Member,
        is_hub: bool,
        rosters: Vec<Roster>,
    ) {
        let via = member.instance.clone();
        let overlay = &mut self.entries[to].overlay;
        overlay.update_state(member, service(from), is_hub);
        let hubs: BTreeSet<InstanceId> = rosters.iter().map(|roster| roster.hub.clone()).collect();
        for roster in rosters {
            overlay.update_roster(&via, roster, self.now);
        }
        let before = self.sent.insert((from, to), hubs.clone());
        for gone in before.unwrap_or_default().difference(&hubs) {
            overlay.mark_roster_lost(&via, gone, self.now);
        }
    }

    /// Checks that no entry counts another as up that has been gone for too long.
    fn check_no_stale_entries(&self) {
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.alive && !entry.frozen)
        {
            for instance in entry.overlay.live().keys() {
                let other = &self.entries[self.index_of(instance)];
                assert!(
                    other.alive || self.now < other.died_at + MAX_STALE,
                    "{} counts {instance} as up {:?} after it ended",
                    entry.member.instance,
                    self.now - other.died_at
                );
            }
        }
    }

    /// Checks that every entry knows exactly the running entries.
    fn check_views(&self) {
        let up: BTreeSet<&InstanceId> = (0..self.entries.len())
            .filter(|index| self.is_running(*index))
            .map(|index| &self.entries[index].member.instance)
            .collect();
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.alive && !entry.frozen)
        {
            let own = &entry.member.instance;
            let mut known: BTreeSet<&InstanceId> = entry.overlay.live().keys().collect();
            known.insert(own);
            assert_eq!(known, up, "as {own} sees it");
        }
    }

    /// Returns the most sessions of any leaf, and of any hub.
    fn most_sessions(&self) -> (usize, usize) {
        let mut most = (0, 0);
        for entry in self.entries.iter().filter(|entry| entry.alive) {
            let sessions = entry.overlay.connected().count();
            if entry.overlay.is_hub(self.now) {
                most.1 = most.1.max(sessions);
            } else {
                most.0 = most.0.max(sessions);
            }
        }
        most
    }

    fn hubs(&self) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|index| {
                self.is_running(*index) && self.entries[*index].overlay.is_hub(self.now)
            })
            .collect()
    }
}

fn new_overlay(own: &Member, members: &[Member]) -> Overlay {
    let mut overlay = Overlay::new(own.clone());
    overlay.set_registered(members.to_vec());
    overlay
}

/// The sessions of one entry must not grow with the number of all entries: a leaf has a fixed number, a hub's grow only
/// with its domain.
#[test]
fn session_count_does_not_grow_quadratically() {
    for (entries, domains) in [(30, 9), (100, 9), (300, 9), (530, 17)] {
        let mut fleet = Fleet::new(entries, domains);
        fleet.run(SETTLE_TIME);
        fleet.check_views();
        let (leaf, hub) = fleet.most_sessions();
        assert_eq!(leaf, HUBS_PER_DOMAIN, "{entries} entries");
        let of_domain = entries.div_ceil(domains) - 1;
        assert_eq!(
            hub,
            of_domain + HUBS_PER_DOMAIN * (domains - 1),
            "{entries} entries"
        );
        assert_eq!(
            fleet.hubs().len(),
            HUBS_PER_DOMAIN * domains,
            "{entries} entries"
        );
    }
}

/// In domains with no more entries than hubs, every entry has a session to every other one.
#[test]
fn small_domains_are_a_full_mesh() {
    let mut fleet = Fleet::new(12, 6);
    fleet.run(SETTLE_TIME);
    fleet.check_views();
    assert_eq!(fleet.most_sessions(), (0, 11));
}

/// Tests each failure on a fleet that has settled: afterwards every entry knows which entries are up.
macro_rules! failures {
    ($($(#[$doc:meta])* $name:ident: |$fleet:ident| $scenario:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $fleet = Fleet::new(45, 5);
            $fleet.run(SETTLE_TIME);
            $fleet.check_views();
            $scenario
            $fleet.run(SETTLE_TIME);
            $fleet.check_views();
        }
    )*};
}

failures! {
    /// Leaves that lost both hubs of their domain must find others.
    both_hubs_of_a_domain_are_killed: |fleet| {
        fleet.kill([0, 5]);
    }
    /// Hubs that come back must not remain beside those that replaced them.
    killed_hubs_come_back: |fleet| {
        fleet.kill([0, 5]);
        fleet.run(SETTLE_TIME);
        fleet.check_views();
        fleet.restart([0, 5]);
        fleet.run(SETTLE_TIME);
        assert_eq!(fleet.hubs().len(), HUBS_PER_DOMAIN * 5);
        assert_eq!(fleet.most_sessions().0, HUBS_PER_DOMAIN);
    }
    /// The next entries in order may be gone as well as the hubs.
    first_six_of_a_domain_are_killed: |fleet| {
        fleet.kill([0, 5, 10, 15, 20, 25]);
    }
    /// When a whole domain fails, none of its entries may still count as up.
    a_domain_fails: |fleet| {
        fleet.kill((0..45).filter(|index| index % 5 == 2));
    }
    /// More than half of all processes end at the same moment.
    most_processes_end_and_start_again: |fleet| {
        fleet.kill((0..45).filter(|index| index % 9 < 5));
        fleet.run(Duration::from_secs(2));
        fleet.restart((0..45).filter(|index| index % 9 < 5));
    }
    /// No running entry is left that knows of others.
    all_processes_end_and_start_again: |fleet| {
        fleet.kill(0..45);
        fleet.run(Duration::from_secs(2));
        fleet.restart(0..45);
    }
    /// A hub is suspended and finds all its sessions lost when it resumes.
    a_frozen_hub_resumes: |fleet| {
        fleet.entries[1].frozen = true;
        let cut = fleet.now;
        fleet.cut.extend((0..45).filter(|index| *index != 1).map(|index| (pair(1, index), cut)));
        fleet.run(SETTLE_TIME);
        fleet.check_views();
        fleet.entries[1].frozen = false;
        fleet.cut.clear();
    }
    /// A leaf can't reach its hubs, which all other entries reach.
    a_leaf_is_cut_off_from_both_hubs: |fleet| {
        let cut = fleet.now;
        fleet.cut.extend([((0, 40), cut), ((5, 40), cut)]);
    }
    /// The hubs of two domains can't reach each other; all other entries can.
    hubs_of_two_domains_are_cut_off_from_each_other: |fleet| {
        let cut = fleet.now;
        let pairs = [(0, 1), (0, 6), (1, 5), (5, 6)];
        fleet.cut.extend(pairs.map(|(a, b)| (pair(a, b), cut)));
    }
    /// Two halves that can't reach each other reunite.
    two_halves_are_cut_off_from_each_other: |fleet| {
        let cut = fleet.now;
        let apart = |a: usize, b: usize| (a % 5 < 2) != (b % 5 < 2);
        let pairs = (0..45).flat_map(|a| (a + 1..45).map(move |b| (a, b)));
        fleet.cut.extend(pairs.filter(|(a, b)| apart(*a, *b)).map(|pair| (pair, cut)));
        fleet.run(SETTLE_TIME);
        fleet.cut.clear();
    }
}

/// After random kills, restarts and cut links, entries know which entries are up once the failures end.
#[test]
fn random_failures_are_recovered_from() {
    use rand::{
        rngs::StdRng,
        RngExt,
        SeedableRng, //
    };
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(36, 4);
        fleet.run(SETTLE_TIME);
        for _ in 0..12 {
            let index = rng.random_range(0..36);
            match rng.random_range(0..4) {
                0 => fleet.kill([index]),
                1 if !fleet.entries[index].alive => fleet.restart([index]),
                2 => {
                    let other = rng.random_range(0..36);
                    let now = fleet.now;
                    if other != index {
                        fleet.cut.insert(pair(index, other), now);
                    }
                }
                _ => fleet.cut.clear(),
            }
            fleet.run(Duration::from_millis(rng.random_range(0..3000)));
        }
        fleet.cut.clear();
        let dead: Vec<usize> = (0..36)
            .filter(|index| !fleet.entries[*index].alive)
            .collect();
        fleet.restart(dead);
        fleet.run(SETTLE_TIME);
        fleet.check_views();
    }
}
