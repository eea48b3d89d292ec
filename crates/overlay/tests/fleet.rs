//! Many entries: whom they keep sessions to, and whom they count as up.

use base::{
    InstanceId,
    Now, //
};
use overlay::{
    Down,
    Member,
    Overlay,
    Roster,
    HUBS, //
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
/// In which a session that went silent is lost.
const SILENT: Duration = Duration::from_millis(3500);
/// Within which every entry has to know who is up, after the last change.
const SETTLED: Duration = Duration::from_secs(9);
/// Longest time for which an entry that is gone may be counted as up.
const GONE: Duration = Duration::from_secs(6);

struct Entry {
    member: Member,
    overlay: Overlay,
    alive: bool,
    frozen: bool,
    died_at: Now,
}

/// Entries, the sessions between them, and what is cut.
struct Fleet {
    now: Now,
    entries: Vec<Entry>,
    /// Pairs in session, with who dialled.
    sessions: BTreeMap<(usize, usize), BTreeSet<usize>>,
    /// Hubs whose rosters went from one entry to another last.
    sent: BTreeMap<(usize, usize), BTreeSet<InstanceId>>,
    /// Pairs that can't reach each other, since when.
    cut: BTreeMap<(usize, usize), Now>,
}

fn addr(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7000))
}

fn member(place: usize, domains: usize) -> Member {
    let domain = place % domains;
    Member {
        instance: format!("entry-{place:03}").into(),
        region: format!("region-{}", domain % 3).into(),
        failure_domain: format!("domain-{domain}").into(),
        peers_addr: addr(place),
        cpu_milli: if place < 3 * domains { 500 } else { 100 },
    }
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Fleet {
    fn new(entries: usize, domains: usize) -> Self {
        let members: Vec<Member> = (0..entries).map(|place| member(place, domains)).collect();
        let entries = members.iter().map(|own| Entry {
            member: own.clone(),
            overlay: started(own, &members),
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

    fn place(&self, instance: &InstanceId) -> usize {
        let number = instance
            .strip_prefix("entry-")
            .expect("a name of this test");
        number.parse().expect("a name of this test")
    }

    fn runs(&self, place: usize) -> bool {
        self.entries[place].alive && !self.entries[place].frozen
    }

    fn kill(&mut self, places: impl IntoIterator<Item = usize>) {
        for place in places {
            self.entries[place].alive = false;
            self.entries[place].died_at = self.now;
        }
    }

    /// Processes start anew and know nothing but what the store lists.
    fn restart(&mut self, places: impl IntoIterator<Item = usize>) {
        let members: Vec<Member> = self.entries.iter().map(|one| one.member.clone()).collect();
        for place in places {
            let own = self.entries[place].member.clone();
            self.entries[place].overlay = started(&own, &members);
            self.entries[place].alive = true;
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.lose_sessions();
            self.dial();
            self.exchange();
            self.check_gone();
        }
    }

    /// Sessions to processes that ended break at once; those that are cut or frozen go silent.
    fn lose_sessions(&mut self) {
        let now = self.now;
        let pairs: Vec<(usize, usize)> = self.sessions.keys().copied().collect();
        for (a, b) in pairs {
            let dead = !self.entries[a].alive || !self.entries[b].alive;
            let cut = self.cut.get(&(a, b)).is_some_and(|at| now >= *at + SILENT);
            if dead || cut {
                self.sessions.remove(&(a, b));
                self.end((a, b), Down::Lost);
            }
        }
    }

    fn end(&mut self, (a, b): (usize, usize), down: Down) {
        for (one, other) in [(a, b), (b, a)] {
            self.sent.remove(&(one, other));
            let other = self.entries[other].member.instance.clone();
            if self.entries[one].alive {
                let now = self.now;
                self.entries[one].overlay.take_down(&other, down, now);
            }
        }
    }

    fn dial(&mut self) {
        let mut wanted: BTreeMap<(usize, usize), BTreeSet<usize>> = BTreeMap::new();
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|place| self.runs(*place))
            .collect();
        for place in running {
            let now = self.now;
            let overlay = &mut self.entries[place].overlay;
            overlay.sweep(now);
            for partner in overlay.partners(now) {
                let other = partner.instance.strip_prefix("entry-").map(str::parse);
                let other: usize = other.expect("a name").expect("a number");
                wanted.entry(pair(place, other)).or_default().insert(place);
            }
        }
        let pairs: Vec<(usize, usize)> = self.sessions.keys().copied().collect();
        for pair in pairs {
            let dialled = self.sessions[&pair].clone();
            let kept = wanted.get(&pair).cloned().unwrap_or_default();
            if dialled
                .iter()
                .all(|by| !kept.contains(by) && self.runs(*by))
            {
                self.sessions.remove(&pair);
                self.end(pair, Down::Unneeded);
            }
        }
        for ((a, b), by) in wanted {
            let reach = self.runs(a) && self.runs(b) && !self.cut.contains_key(&(a, b));
            if let Some(dialled) = self.sessions.get_mut(&(a, b)) {
                dialled.extend(by);
            } else if reach {
                self.sessions.insert((a, b), by);
                for (one, other) in [(a, b), (b, a)] {
                    let other = self.entries[other].member.clone();
                    let trip = Duration::from_millis(1);
                    self.entries[one].overlay.take_up(
                        &other.instance,
                        &other.region,
                        &other.failure_domain,
                        trip,
                    );
                }
            }
        }
    }

    /// States and rosters go over each session that isn't cut.
    fn exchange(&mut self) {
        let now = self.now;
        let pairs: Vec<(usize, usize)> = self.sessions.keys().copied().collect();
        for (a, b) in pairs {
            if !self.runs(a) || !self.runs(b) || self.cut.contains_key(&(a, b)) {
                continue;
            }
            for (from, to) in [(a, b), (b, a)] {
                let is_hub = self.entries[from].overlay.is_hub(now);
                let member = self.entries[from].member.clone();
                self.entries[from].overlay.set_own(addr(from), true);
                let overlay = &self.entries[from].overlay;
                let to_name = &self.entries[to].member.instance;
                let to_leaf = overlay.leaves().any(|leaf| leaf == to_name);
                let mut rosters = Vec::new();
                if to_leaf || overlay.advertised_to(now).any(|one| one == to_name) {
                    rosters.push(overlay.own_roster());
                }
                if !rosters.is_empty() {
                    let forwarded = overlay.forwarded(to_name, now);
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
        overlay.take_state(member, addr(from), true, is_hub);
        let hubs: BTreeSet<InstanceId> = rosters.iter().map(|one| one.hub.clone()).collect();
        for roster in rosters {
            overlay.take_roster(&via, roster, self.now);
        }
        let before = self.sent.insert((from, to), hubs.clone());
        for gone in before.unwrap_or_default().difference(&hubs) {
            overlay.drop_roster(&via, gone, self.now);
        }
    }

    /// No entry counts one as up that has been gone for long.
    fn check_gone(&self) {
        for one in self.entries.iter().filter(|one| one.alive && !one.frozen) {
            for instance in one.overlay.live().keys() {
                let other = &self.entries[self.place(instance)];
                assert!(
                    other.alive || self.now < other.died_at + GONE,
                    "{} counts {instance} as up {:?} after its end",
                    one.member.instance,
                    self.now - other.died_at
                );
            }
        }
    }

    /// Every entry knows all that run, and no others.
    fn check_known(&self) {
        let up: BTreeSet<&InstanceId> = (0..self.entries.len())
            .filter(|place| self.runs(*place))
            .map(|place| &self.entries[place].member.instance)
            .collect();
        for one in self.entries.iter().filter(|one| one.alive && !one.frozen) {
            let own = &one.member.instance;
            let mut known: BTreeSet<&InstanceId> = one.overlay.live().keys().collect();
            known.insert(own);
            assert_eq!(known, up, "as {own} sees it");
        }
    }

    /// Most sessions of any leaf, and of any hub.
    fn most_sessions(&self) -> (usize, usize) {
        let mut most = (0, 0);
        for one in self.entries.iter().filter(|one| one.alive) {
            let sessions = one.overlay.up().count();
            if one.overlay.is_hub(self.now) {
                most.1 = most.1.max(sessions);
            } else {
                most.0 = most.0.max(sessions);
            }
        }
        most
    }

    fn hubs(&self) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|place| self.runs(*place) && self.entries[*place].overlay.is_hub(self.now))
            .collect()
    }
}

fn started(own: &Member, members: &[Member]) -> Overlay {
    let mut overlay = Overlay::new(own.clone());
    overlay.take_registered(members.to_vec());
    overlay
}

/// Sessions of an entry don't grow with the number of entries: a leaf's not at all, a hub's with its domain.
#[test]
fn sessions_do_not_grow_with_the_square() {
    for (entries, domains) in [(30, 9), (100, 9), (300, 9), (530, 17)] {
        let mut fleet = Fleet::new(entries, domains);
        fleet.run(SETTLED);
        fleet.check_known();
        let (leaf, hub) = fleet.most_sessions();
        assert_eq!(leaf, HUBS, "{entries} entries");
        let of_domain = entries.div_ceil(domains) - 1;
        assert_eq!(hub, of_domain + HUBS * (domains - 1), "{entries} entries");
        assert_eq!(fleet.hubs().len(), HUBS * domains, "{entries} entries");
    }
}

/// Domains with no more entries than hubs: every entry is in session with every other one.
#[test]
fn small_domains_are_a_full_mesh() {
    let mut fleet = Fleet::new(12, 6);
    fleet.run(SETTLED);
    fleet.check_known();
    assert_eq!(fleet.most_sessions(), (0, 11));
}

/// Names each failure, and plays it over a fleet that has settled: afterwards every entry knows who is up.
macro_rules! failures {
    ($($(#[$doc:meta])* $name:ident: |$fleet:ident| $play:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $fleet = Fleet::new(45, 5);
            $fleet.run(SETTLED);
            $fleet.check_known();
            $play
            $fleet.run(SETTLED);
            $fleet.check_known();
        }
    )*};
}

failures! {
    /// Leaves that lost both hubs of their domain would know of nobody.
    both_hubs_of_a_domain_are_killed: |fleet| {
        fleet.kill([0, 5]);
    }
    /// Hubs that come back must not stay beside those that took their place.
    killed_hubs_come_back: |fleet| {
        fleet.kill([0, 5]);
        fleet.run(SETTLED);
        fleet.check_known();
        fleet.restart([0, 5]);
        fleet.run(SETTLED);
        assert_eq!(fleet.hubs().len(), HUBS * 5);
        assert_eq!(fleet.most_sessions().0, HUBS);
    }
    /// The next entries in order may be gone as well as the hubs.
    the_first_six_of_a_domain_are_killed: |fleet| {
        fleet.kill([0, 5, 10, 15, 20, 25]);
    }
    /// A domain without power leaves no entry behind that counts as up.
    a_domain_is_lost: |fleet| {
        fleet.kill((0..45).filter(|place| place % 5 == 2));
    }
    /// More than half of all processes end at one moment.
    most_processes_end_and_start_again: |fleet| {
        fleet.kill((0..45).filter(|place| place % 9 < 5));
        fleet.run(Duration::from_secs(2));
        fleet.restart((0..45).filter(|place| place % 9 < 5));
    }
    /// Nobody is there to tell who else is.
    all_processes_end_and_start_again: |fleet| {
        fleet.kill(0..45);
        fleet.run(Duration::from_secs(2));
        fleet.restart(0..45);
    }
    /// A hub that is suspended, and finds all its sessions lost when it wakes.
    a_frozen_hub_wakes: |fleet| {
        fleet.entries[1].frozen = true;
        let cut = fleet.now;
        fleet.cut.extend((0..45).filter(|place| *place != 1).map(|place| (pair(1, place), cut)));
        fleet.run(SETTLED);
        fleet.check_known();
        fleet.entries[1].frozen = false;
        fleet.cut.clear();
    }
    /// A leaf that can't reach its hubs, which all others reach.
    a_leaf_is_cut_off_from_both_hubs: |fleet| {
        let cut = fleet.now;
        fleet.cut.extend([((0, 40), cut), ((5, 40), cut)]);
    }
    /// The hubs of two domains can't reach each other; all others can.
    hubs_of_two_domains_are_cut_off_from_each_other: |fleet| {
        let cut = fleet.now;
        let pairs = [(0, 1), (0, 6), (1, 5), (5, 6)];
        fleet.cut.extend(pairs.map(|(a, b)| (pair(a, b), cut)));
    }
    /// Two halves that can't reach each other find together again.
    two_halves_are_cut_off_from_each_other: |fleet| {
        let cut = fleet.now;
        let apart = |a: usize, b: usize| (a % 5 < 2) != (b % 5 < 2);
        let pairs = (0..45).flat_map(|a| (a + 1..45).map(move |b| (a, b)));
        fleet.cut.extend(pairs.filter(|(a, b)| apart(*a, *b)).map(|pair| (pair, cut)));
        fleet.run(SETTLED);
        fleet.cut.clear();
    }
}

/// Whatever ends, starts again, freezes or is cut off at random, entries know who is up once it is over.
#[test]
fn any_failures_are_recovered_from() {
    use rand::{
        rngs::StdRng,
        RngExt,
        SeedableRng, //
    };
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(36, 4);
        fleet.run(SETTLED);
        for _ in 0..12 {
            let place = random.random_range(0..36);
            match random.random_range(0..4) {
                0 => fleet.kill([place]),
                1 if !fleet.entries[place].alive => fleet.restart([place]),
                2 => {
                    let other = random.random_range(0..36);
                    let now = fleet.now;
                    if other != place {
                        fleet.cut.insert(pair(place, other), now);
                    }
                }
                _ => fleet.cut.clear(),
            }
            fleet.run(Duration::from_millis(random.random_range(0..3000)));
        }
        fleet.cut.clear();
        let dead: Vec<usize> = (0..36)
            .filter(|place| !fleet.entries[*place].alive)
            .collect();
        fleet.restart(dead);
        fleet.run(SETTLED);
        fleet.check_known();
    }
}
