//! Model of daemons that adopt versions from their sources.
//!
//! [`AdoptModel`] has a starting and a running daemon, the table, and a peer that was cut off and
//! still offers its old version. Heads arrive in any order, delayed and repeatedly; answers to
//! fetches may be late or fail. Invariant: no daemon reverts to a lower version, all daemons run the
//! same body under one version, and a starting daemon is not ready below the highest version that its
//! reachable sources had at the start.

use super::VersionStep;
use crate::Model;
use bytestring::ByteString;
use spec::{
    AcceptId,
    Adopt,
    AdoptAction,
    AdoptEvent,
    BlockChange,
    Config,
    Digest,
    FetchFailure,
    Guards,
    Head,
    Object,
    Offer,
    Proposal,
    Source, //
};
use std::collections::BTreeSet;

/// Configuration of one search: a starting daemon, a running one, and their sources.
#[derive(Clone, Debug)]
pub struct AdoptModel {
    /// Guards of both daemons.
    guards: Guards,
    /// Whether the starting daemon can reach the table.
    table_up: bool,
    /// Whether the starting daemon can reach the running one.
    peer_up: bool,
    /// Number of fetches that may fail.
    faults: u8,
    /// Heads of all versions with their objects.
    versions: Vec<(Head, Object)>,
}

/// Version that is in force at the start, and that the running daemon has adopted.
const INITIAL_VERSION: usize = 2;
/// Version that the cut-off peer offers.
const STALE_PEER_VERSION: usize = 1;
/// Last version that is accepted.
const LAST_VERSION: usize = 3;
/// Index of the starting daemon.
const STARTING: usize = 0;
/// Index of the running daemon.
const RUNNING: usize = 1;

/// State of the two daemons.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AdoptState {
    faults_left: u8,
    /// Highest version accepted so far.
    in_force: usize,
    daemons: [Adopt; 2],
    /// Fetches in flight per daemon, including those that it has given up.
    fetches: [BTreeSet<Digest>; 2],
    /// Daemon that reverted to a lower version, if one did.
    reverted: Option<usize>,
}

type AdoptNext = Vec<(VersionStep, AdoptState)>;

impl AdoptModel {
    /// Creates a model with three small versions, with the configurations that `config` returns.
    pub fn new(guards: Guards, table_up: bool, peer_up: bool, config: fn(usize) -> Config) -> Self {
        Self {
            guards,
            table_up,
            peer_up,
            faults: 3,
            versions: (1..=LAST_VERSION).map(|n| version(n, config(n))).collect(),
        }
    }

    fn head(&self, version: usize) -> Head {
        self.versions[version - 1].0.clone()
    }

    fn object(&self, digest: &Digest) -> Option<(usize, Object)> {
        let has_digest = |(head, _): &(Head, Object)| head.digest == *digest;
        let index = self.versions.iter().position(has_digest)?;
        Some((index + 1, self.versions[index].1.clone()))
    }

    /// Lowest and highest version that `source` may offer to the starting daemon.
    fn offered_versions(&self, state: &AdoptState, source: &Source) -> (usize, usize) {
        match source {
            Source::Table => (INITIAL_VERSION, state.in_force),
            Source::Peer(peer) if *peer == "running" => {
                let adopted = state.daemons[RUNNING].adopted();
                (
                    INITIAL_VERSION,
                    adopted.map_or(0, |adopted| adopted.version() as usize),
                )
            }
            Source::Peer(_) => (STALE_PEER_VERSION, STALE_PEER_VERSION),
        }
    }

    fn is_up(&self, source: &Source) -> bool {
        match source {
            Source::Table => self.table_up,
            Source::Peer(peer) if *peer == "running" => self.peer_up,
            Source::Peer(_) => true,
        }
    }

    fn offer_steps(&self, state: &AdoptState, next: &mut AdoptNext) {
        for source in sources() {
            if !self.is_up(&source) {
                let what = format!("the starting daemon gives up {source:?}");
                let after = self.offer(state, STARTING, source, Offer::Unreachable);
                next.push((VersionStep(what), after));
                continue;
            }
            let (low, high) = self.offered_versions(state, &source);
            for version in low..=high {
                let what = format!("{source:?} offers version {version} to the starting daemon");
                let offer = Offer::Head(self.head(version));
                let after = self.offer(state, STARTING, source.clone(), offer);
                next.push((VersionStep(what), after));
            }
        }
        for version in 1..=state.in_force {
            let what = format!("version {version} is offered to the running daemon");
            let offer = Offer::Head(self.head(version));
            let after = self.offer(state, RUNNING, Source::Table, offer);
            next.push((VersionStep(what), after));
        }
    }

    fn offer(&self, state: &AdoptState, daemon: usize, source: Source, offer: Offer) -> AdoptState {
        self.handle(state, daemon, AdoptEvent::Offered { source, offer })
    }

    fn fetch_steps(&self, state: &AdoptState, next: &mut AdoptNext) {
        for daemon in [STARTING, RUNNING] {
            for digest in &state.fetches[daemon] {
                let Some((version, object)) = self.object(digest) else {
                    continue;
                };
                let mut answered = state.clone();
                answered.fetches[daemon].remove(digest);
                let digest = *digest;
                let what = format!("daemon {daemon} fetches the body of version {version}");
                let object = Ok(object);
                let after = self.handle(&answered, daemon, AdoptEvent::Fetched { digest, object });
                next.push((VersionStep(what), after));
                if answered.faults_left > 0 {
                    answered.faults_left -= 1;
                    let what =
                        format!("daemon {daemon} fails to fetch the body of version {version}");
                    let object = Err(FetchFailure::Unavailable);
                    let event = AdoptEvent::Fetched { digest, object };
                    let after = self.handle(&answered, daemon, event);
                    next.push((VersionStep(what), after));
                }
            }
        }
    }

    fn handle(&self, state: &AdoptState, daemon: usize, event: AdoptEvent) -> AdoptState {
        let mut after = state.clone();
        let before = version_of(&after.daemons[daemon]);
        for action in after.daemons[daemon].handle(event) {
            if let AdoptAction::Fetch { digest, .. } = action {
                after.fetches[daemon].insert(digest);
            }
        }
        if version_of(&after.daemons[daemon]) < before {
            after.reverted = Some(daemon);
        }
        after
    }

    /// Lowest version at which the starting daemon may be ready.
    fn min_ready_version(&self) -> usize {
        if self.table_up || self.peer_up {
            INITIAL_VERSION
        } else {
            STALE_PEER_VERSION
        }
    }
}

fn version_of(daemon: &Adopt) -> usize {
    daemon
        .adopted()
        .map_or(0, |adopted| adopted.version() as usize)
}

fn sources() -> BTreeSet<Source> {
    BTreeSet::from([
        Source::Table,
        Source::Peer("running".into()),
        Source::Peer("cut-off".into()),
    ])
}

fn version(number: usize, config: Config) -> (Head, Object) {
    let id = AcceptId(number as u128);
    let author = ByteString::from_static("asha");
    let proposal = Proposal::new(id, author.clone(), 0, None, config, BlockChange::Keep)
        .expect("a configuration without blocks is within the size limits");
    let (digest, bytes) = proposal.objects[0].clone();
    let object = Object::read(&digest, &bytes).expect("the object was written by this release");
    let head = Head {
        version: number as u64,
        digest,
        accept_id: id,
        author,
        accepted_at_ms: 0,
    };
    (head, object)
}

impl Model for AdoptModel {
    type State = AdoptState;
    type Step = VersionStep;

    fn start(&self) -> AdoptState {
        let mut running = Adopt::new(BTreeSet::from([Source::Table]), self.guards);
        running.handle(AdoptEvent::Offered {
            source: Source::Table,
            offer: Offer::Head(self.head(INITIAL_VERSION)),
        });
        let (head, object) = self.versions[INITIAL_VERSION - 1].clone();
        running.handle(AdoptEvent::Fetched {
            digest: head.digest,
            object: Ok(object),
        });
        AdoptState {
            faults_left: self.faults,
            in_force: INITIAL_VERSION,
            daemons: [Adopt::new(sources(), self.guards), running],
            fetches: [BTreeSet::new(), BTreeSet::new()],
            reverted: None,
        }
    }

    fn transitions(&self, state: &AdoptState) -> AdoptNext {
        let mut next = Vec::new();
        if state.in_force < LAST_VERSION {
            let mut after = state.clone();
            after.in_force += 1;
            let what = format!("version {} is accepted", after.in_force);
            next.push((VersionStep(what), after));
        }
        self.offer_steps(state, &mut next);
        self.fetch_steps(state, &mut next);
        next
    }

    fn check(&self, state: &AdoptState) -> Result<(), String> {
        if let Some(daemon) = state.reverted {
            return Err(format!("daemon {daemon} reverted to an earlier version"));
        }
        for daemon in &state.daemons {
            let Some(adopted) = daemon.adopted() else {
                continue;
            };
            if *adopted.head() != self.head(version_of(daemon)) {
                return Err("a daemon runs a head that was never in force".into());
            }
            if *adopted.body() != adopted.head().digest {
                return Err("a daemon runs a body other than that of its version".into());
            }
        }
        let starting = &state.daemons[STARTING];
        let is_below = version_of(starting) < self.min_ready_version();
        if starting.is_ready() && is_below {
            return Err("a daemon is ready below the version that was in force".into());
        }
        // The instance may have run that version before it was restarted.
        if starting.adopted().is_some() && is_below {
            return Err("a daemon starts below the version that was in force".into());
        }
        Ok(())
    }
}
