//! Sessions, roles, and who is up.

use crate::{
    member::Member,
    roster::{
        Held,
        Listed,
        Live,
        Roster, //
    }, //
};
use base::{
    DomainId,
    InstanceId,
    Now,
    RegionId, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

/// Hubs of a failure domain: one that fails leaves the other, and both rarely fail at once.
pub const HUBS: usize = 2;
/// How long a first session may take before the next entry in order is tried besides.
const JOIN_WAIT: Duration = Duration::from_millis(1000);
/// How long entries count as up whose only word came through a hub that is lost: a leaf finds another hub within
/// it. Together with the time in which a silent session is noticed it stays under the six seconds after which a
/// look-up may no longer name an entry that is gone.
const HOLD: Duration = Duration::from_millis(2000);
/// How long an entry that is no longer up may still be sending.
const LOST_MEMORY: Duration = Duration::from_secs(20);

/// How a session ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Down {
    /// One end no longer needs it; the other entry is well.
    Unneeded,
    /// The other entry stopped, failed or can't be reached.
    Lost,
}

/// An entry that this one has or had a session to.
#[derive(Clone, Debug)]
struct Session {
    region: RegionId,
    failure_domain: DomainId,
    up: bool,
    lost_at: Now,
    round_trip: Duration,
    /// Where callers reach it and whether it takes new ones, once it has said so.
    callers: Option<(SocketAddr, bool)>,
    /// It says that it is a hub.
    is_hub: bool,
}

/// One entry's part in the overlay.
#[derive(Clone, Debug)]
pub struct Overlay {
    own: Member,
    /// Own place among the callers' entries.
    callers: Option<(SocketAddr, bool)>,
    /// Entries that the store lists or that said so themselves, this one included.
    members: BTreeMap<InstanceId, Member>,
    /// How many the store lists; `None` until it was read.
    registered: Option<usize>,
    sessions: BTreeMap<InstanceId, Session>,
    /// Rosters by the session that they came by and the hub that they are of.
    rosters: BTreeMap<(InstanceId, InstanceId), Held>,
    /// Since when entries without a session are dialled.
    dialled: BTreeMap<InstanceId, Now>,
    /// When entries that are no longer up were lost.
    lost: BTreeMap<InstanceId, Now>,
    /// Grows with each change of who is up or takes callers.
    number: u64,
    /// Other entries that are up, and the number that this was found for.
    live: (u64, BTreeMap<InstanceId, Live>),
}

impl Overlay {
    /// An entry that knows of no other.
    pub fn new(own: Member) -> Self {
        let members = BTreeMap::from([(own.instance.clone(), own.clone())]);
        Self {
            own,
            callers: None,
            members,
            registered: None,
            sessions: BTreeMap::new(),
            rosters: BTreeMap::new(),
            dialled: BTreeMap::new(),
            lost: BTreeMap::new(),
            number: 0,
            live: (0, BTreeMap::new()),
        }
    }

    /// Grows with each change of who is up or takes callers.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Takes the entries that the store lists.
    pub fn take_registered(&mut self, listed: impl IntoIterator<Item = Member>) {
        let listed = listed.into_iter();
        let mut members: BTreeMap<InstanceId, Member> = listed
            .map(|member| (member.instance.clone(), member))
            .collect();
        self.registered = Some(members.len());
        // Who is in session is there, whatever the store's reading lacks.
        for (instance, member) in &self.members {
            let up = *instance == self.own.instance || self.is_up(instance);
            if up && !members.contains_key(instance) {
                members.insert(instance.clone(), member.clone());
            }
        }
        self.members = members;
    }

    /// A session stands.
    pub fn take_up(
        &mut self,
        instance: &InstanceId,
        region: &RegionId,
        failure_domain: &DomainId,
        round_trip: Duration,
    ) {
        let before = self.sessions.remove(instance);
        let session = Session {
            region: region.clone(),
            failure_domain: failure_domain.clone(),
            up: true,
            lost_at: Now::ZERO,
            round_trip,
            callers: before.as_ref().and_then(|before| before.callers),
            is_hub: before.is_some_and(|before| before.is_hub),
        };
        self.sessions.insert(instance.clone(), session);
        self.dialled.remove(instance);
        self.number += 1;
    }

    /// A session has ended.
    pub fn take_down(&mut self, instance: &InstanceId, down: Down, now: Now) {
        if let Some(session) = self.sessions.get_mut(instance) {
            session.up = false;
            session.callers = None;
            session.lost_at = now;
        }
        if down == Down::Unneeded {
            self.sessions.remove(instance);
        }
        for ((via, _), held) in &mut self.rosters {
            if via == instance {
                held.lost_at.get_or_insert(now);
            }
        }
        self.number += 1;
    }

    /// An entry in session says what it is; whether that changes who takes callers.
    pub fn take_state(
        &mut self,
        member: Member,
        callers_addr: SocketAddr,
        ready: bool,
        is_hub: bool,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(&member.instance) else {
            return false;
        };
        let callers = Some((callers_addr, ready));
        let changed = session.callers != callers;
        session.callers = callers;
        session.is_hub = is_hub;
        self.members.insert(member.instance.clone(), member);
        self.number += u64::from(changed);
        changed
    }

    /// Notes a measured round trip.
    pub fn set_round_trip(&mut self, instance: &InstanceId, round_trip: Duration) {
        if let Some(session) = self.sessions.get_mut(instance) {
            session.round_trip = round_trip;
        }
    }

    /// This entry's own place among the callers' entries.
    pub fn set_own(&mut self, callers_addr: SocketAddr, ready: bool) {
        self.callers = Some((callers_addr, ready));
    }

    /// Takes a roster that came by a session; whether it is news.
    pub fn take_roster(&mut self, via: &InstanceId, roster: Roster, now: Now) -> bool {
        if roster.hub == self.own.instance || !self.is_up(via) {
            return false;
        }
        let key = (via.clone(), roster.hub.clone());
        let before = self.rosters.get(&key);
        let changed = before.is_none_or(|held| held.roster != roster || held.lost_at.is_some());
        self.number += u64::from(changed);
        let number = match before {
            Some(held) if held.roster == roster => held.number,
            _ => self.number,
        };
        let held = Held {
            roster,
            number,
            received_at: now,
            lost_at: None,
        };
        self.rosters.insert(key, held);
        changed
    }

    /// Whoever a session leads to has lost this hub.
    pub fn drop_roster(&mut self, via: &InstanceId, hub: &InstanceId, now: Now) {
        if let Some(held) = self.rosters.get_mut(&(via.clone(), hub.clone())) {
            held.lost_at.get_or_insert(now);
        }
    }

    /// Forgets what has run out, and finds who is up.
    pub fn sweep(&mut self, now: Now) {
        let before = self.rosters.len();
        self.rosters
            .retain(|_, held| held.lost_at.is_none_or(|at| now < at + HOLD));
        self.number += u64::from(self.rosters.len() != before);
        if self.live.0 != self.number {
            let next = self.find_live();
            let gone = std::mem::replace(&mut self.live, (self.number, next)).1;
            for instance in gone.into_keys() {
                if !self.live.1.contains_key(&instance) {
                    self.lost.insert(instance, now);
                }
            }
        }
        self.lost
            .retain(|_, at| now.saturating_sub(*at) < LOST_MEMORY);
        self.sessions
            .retain(|_, session| session.up || now.saturating_sub(session.lost_at) < LOST_MEMORY);
    }

    /// Entries to keep sessions to; to be asked for again after each change and at short intervals.
    pub fn partners(&mut self, now: Now) -> Vec<Member> {
        let (mut partners, own_is_first) = self.first_of(&self.own.failure_domain, now);
        if own_is_first || self.has_leaf() {
            let domains: BTreeSet<&DomainId> = self
                .members
                .values()
                .map(|member| &member.failure_domain)
                .filter(|domain| **domain != self.own.failure_domain)
                .collect();
            for domain in domains {
                partners.extend(self.first_of(domain, now).0);
            }
        }
        let wanted: BTreeSet<&InstanceId> =
            partners.iter().map(|member| &member.instance).collect();
        self.dialled.retain(|instance, _| wanted.contains(instance));
        for member in &partners {
            let up = self.sessions.get(&member.instance);
            if up.is_none_or(|session| !session.up) {
                self.dialled.entry(member.instance.clone()).or_insert(now);
            }
        }
        partners
    }

    /// The first entries of a domain, up to as many hubs as there are to be, and those before them that don't
    /// answer; whether this one is among them.
    fn first_of(&self, domain: &DomainId, now: Now) -> (Vec<Member>, bool) {
        let mut order: Vec<&Member> = self
            .members
            .values()
            .filter(|member| member.failure_domain == *domain)
            .collect();
        order.sort_unstable_by_key(|member| member.place());
        let mut first = Vec::new();
        let mut own = false;
        let mut hubs = 0;
        for member in order {
            if hubs == HUBS {
                break;
            }
            if member.instance == self.own.instance {
                own = true;
                hubs += 1;
                continue;
            }
            first.push(member.clone());
            hubs += usize::from(!self.is_suspect(&member.instance, now));
        }
        (first, own)
    }

    /// Whether an entry doesn't answer.
    fn is_suspect(&self, instance: &InstanceId, now: Now) -> bool {
        match self.sessions.get(instance) {
            Some(session) => !session.up,
            None => {
                let since = self.dialled.get(instance);
                since.is_some_and(|at| now.saturating_sub(*at) >= JOIN_WAIT)
            }
        }
    }

    /// How many sessions stand.
    pub fn sessions(&self) -> usize {
        self.sessions.values().filter(|session| session.up).count()
    }

    /// Whether a session stands.
    pub fn is_up(&self, instance: &InstanceId) -> bool {
        let session = self.sessions.get(instance);
        session.is_some_and(|session| session.up)
    }

    /// Whether this entry is a hub: by its place, or because another one of its domain has chosen it.
    pub fn is_hub(&self, now: Now) -> bool {
        self.has_leaf() || self.first_of(&self.own.failure_domain, now).1
    }

    /// Whether this hub reads the store for the others: one of each region does, the first in order of those that are up.
    pub fn is_reader(&self, now: Now) -> bool {
        let near = self.sessions.iter().filter(|(_, session)| {
            session.up && session.is_hub && session.region == self.own.region
        });
        let place = |instance| self.members.get(instance).map(Member::place);
        let own = Some(self.own.place());
        self.is_hub(now)
            && near
                .map(|(instance, _)| place(instance))
                .all(|place| place > own)
    }

    fn has_leaf(&self) -> bool {
        self.up_of_domain()
            .any(|(instance, session)| !session.is_hub && self.is_after(instance))
    }

    /// Leaves that have a session to this hub.
    pub fn leaves(&self) -> impl Iterator<Item = &InstanceId> {
        self.up_of_domain()
            .filter(|(instance, session)| !session.is_hub && self.is_after(instance))
            .map(|(instance, _)| instance)
    }

    /// Other hubs that this hub has sessions to.
    pub fn other_hubs(&self) -> impl Iterator<Item = &InstanceId> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(|(_, session)| session.is_hub)
            .map(|(instance, _)| instance)
    }

    /// Entries that are told who is in session with this one: the other hubs if it is one, and whoever of another domain
    /// has turned to it because the hubs don't answer there.
    pub fn advertised_to(&self, now: Now) -> impl Iterator<Item = &InstanceId> {
        let is_hub = self.is_hub(now);
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(move |(_, session)| {
            let elsewhere = session.failure_domain != self.own.failure_domain;
            elsewhere || (is_hub && session.is_hub)
        })
        .map(|(instance, _)| instance)
    }

    /// The hub that this leaf reports to; `None` for a hub, or while none is up.
    pub fn primary(&self, now: Now) -> Option<&InstanceId> {
        if self.is_hub(now) {
            return None;
        }
        let before = self
            .up_of_domain()
            .map(|(instance, _)| instance)
            .filter(|instance| !self.is_after(instance));
        before.min_by_key(|instance| self.members.get(*instance).map(Member::place))
    }

    fn up_of_domain(&self) -> impl Iterator<Item = (&InstanceId, &Session)> {
        let up = self.sessions.iter().filter(|(_, session)| session.up);
        up.filter(|(_, session)| session.failure_domain == self.own.failure_domain)
    }

    /// Whether an entry of this domain comes after this one; one that hasn't said what it is does.
    fn is_after(&self, instance: &InstanceId) -> bool {
        let member = self.members.get(instance);
        member.is_none_or(|member| member.place() > self.own.place())
    }

    /// Entries of this one's domain that it is in session with, itself included.
    pub fn own_roster(&self) -> Roster {
        let listed = |instance: &InstanceId, callers: Option<(SocketAddr, bool)>| {
            let (callers_addr, ready) = callers?;
            Some(Listed {
                instance: instance.clone(),
                callers_addr,
                ready,
            })
        };
        let own = listed(&self.own.instance, self.callers);
        let others = self
            .up_of_domain()
            .filter_map(|(instance, session)| listed(instance, session.callers));
        Roster {
            hub: self.own.instance.clone(),
            region: self.own.region.clone(),
            failure_domain: self.own.failure_domain.clone(),
            entries: own.into_iter().chain(others).collect(),
        }
    }

    /// Rosters of other hubs that an entry is to be forwarded, with a number for each version: a hub's leaves get all.
    /// Whoever of another domain has turned to a leaf gets those of its hubs.
    pub fn forwarded(&self, to: &InstanceId, now: Now) -> impl Iterator<Item = (u64, &Roster)> {
        let is_leaf = self.leaves().any(|leaf| leaf == to);
        let of_own_hubs = !self.is_hub(now);
        let mut by_hub: BTreeMap<&InstanceId, &Held> = BTreeMap::new();
        for ((via, hub), held) in &self.rosters {
            let near = held.roster.failure_domain == self.own.failure_domain;
            if held.lost_at.is_some() || !(is_leaf || (of_own_hubs && near)) {
                continue;
            }
            // A hub's own word goes before what another one has of it.
            if via == hub || !by_hub.contains_key(hub) {
                by_hub.insert(hub, held);
            }
        }
        by_hub.into_values().map(|held| (held.number, &held.roster))
    }

    /// All other entries that were up at the last sweep.
    pub fn live(&self) -> &BTreeMap<InstanceId, Live> {
        &self.live.1
    }

    fn find_live(&self) -> BTreeMap<InstanceId, Live> {
        let mut live = BTreeMap::new();
        for (instance, session) in self.sessions.iter().filter(|(_, session)| session.up) {
            let one = Live {
                region: session.region.clone(),
                callers_addr: session.callers.map(|(addr, _)| addr),
                ready: session.callers.is_some_and(|(_, ready)| ready),
            };
            live.insert(instance.clone(), one);
        }
        for held in self.rosters.values() {
            for listed in &held.roster.entries {
                if listed.instance == self.own.instance || !self.vouches(held, listed) {
                    continue;
                }
                live.entry(listed.instance.clone()).or_insert_with(|| Live {
                    region: held.roster.region.clone(),
                    callers_addr: Some(listed.callers_addr),
                    ready: listed.ready,
                });
            }
        }
        live
    }

    /// Whether a roster says more of an entry than this one's own session to it: it came after that was lost.
    fn vouches(&self, held: &Held, listed: &Listed) -> bool {
        let session = self.sessions.get(&listed.instance);
        session.is_none_or(|session| !session.up && session.lost_at < held.received_at)
    }

    /// How many entries may be sending, this one included, however little is known of them; `None` until the store was
    /// read.
    pub fn count(&self) -> Option<usize> {
        let registered = self.registered?;
        let live = &self.live.1;
        let lost = self.lost.keys().filter(|lost| !live.contains_key(*lost));
        Some((live.len() + lost.count() + 1).max(registered))
    }

    /// Whether an entry of this hub's domain is neither up nor was lately.
    pub fn is_gone(&self, instance: &InstanceId) -> bool {
        let listed = self.members.get(instance);
        let near = listed.is_some_and(|one| one.failure_domain == self.own.failure_domain);
        let own = *instance == self.own.instance;
        near && !own && !self.lost.contains_key(instance) && !self.live.1.contains_key(instance)
    }

    /// Shortest measured round trip to each other region.
    pub fn round_trips(&self) -> BTreeMap<RegionId, Duration> {
        let mut shortest: BTreeMap<RegionId, Duration> = BTreeMap::new();
        for session in self.sessions.values().filter(|session| session.up) {
            if session.region == self.own.region || session.round_trip.is_zero() {
                continue;
            }
            let trip = shortest
                .entry(session.region.clone())
                .or_insert(session.round_trip);
            *trip = (*trip).min(session.round_trip);
        }
        shortest
    }

    /// The region of an entry in session.
    pub fn region_of(&self, instance: &InstanceId) -> Option<&RegionId> {
        self.sessions.get(instance).map(|session| &session.region)
    }
}
