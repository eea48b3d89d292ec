//! Daemons that adopt what they hear of.
//!
//! [`AdoptModel`] has a daemon that starts and one that runs, beside the table and a peer that was
//! cut off alone and still tells of its old version. Heads arrive in any order, late and again;
//! answers to fetches come late or not at all. What must hold: no daemon goes back, all run the
//! same under one version, and a daemon that starts is not ready below the highest version that
//! its sources had.

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

/// A daemon that starts, one that runs, and their sources.
#[derive(Clone, Debug)]
pub struct AdoptModel {
    /// Guards of both.
    guards: Guards,
    /// Whether the table answers the daemon that starts.
    table_up: bool,
    /// Whether the daemon that starts reaches the one that runs.
    peer_up: bool,
    /// Fetches that fail.
    faults: u8,
    /// Objects of all versions, and their heads.
    versions: Vec<(Head, Object)>,
}

/// Version at which the running daemon starts, and which is in force then.
const IN_FORCE: usize = 2;
/// Version of the peer that was cut off.
const CUT_OFF: usize = 1;
/// Versions that are ever accepted.
const LAST: usize = 3;
const STARTING: usize = 0;
const RUNNING: usize = 1;

/// State of the two daemons.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AdoptState {
    faults_left: u8,
    /// Versions accepted so far.
    in_force: usize,
    daemons: [Adopt; 2],
    /// Fetches under way, given up or not.
    fetches: [BTreeSet<Digest>; 2],
    /// A daemon that went back, if one did.
    reverted: Option<usize>,
}

type AdoptNext = Vec<(VersionStep, AdoptState)>;

impl AdoptModel {
    /// Model with three small versions; `config` makes each one's configuration.
    pub fn new(guards: Guards, table_up: bool, peer_up: bool, config: fn(usize) -> Config) -> Self {
        Self {
            guards,
            table_up,
            peer_up,
            faults: 3,
            versions: (1..=LAST).map(|n| version(n, config(n))).collect(),
        }
    }

    fn head(&self, version: usize) -> Head {
        self.versions[version - 1].0.clone()
    }

    fn object(&self, digest: &Digest) -> Option<(usize, Object)> {
        let of_version = |(head, _): &(Head, Object)| head.digest == *digest;
        let index = self.versions.iter().position(of_version)?;
        Some((index + 1, self.versions[index].1.clone()))
    }

    /// Lowest and highest version that `source` may tell the starting daemon of.
    fn told(&self, state: &AdoptState, source: &Source) -> (usize, usize) {
        match source {
            Source::Table => (IN_FORCE, state.in_force),
            Source::Peer(peer) if *peer == "running" => {
                let adopted = state.daemons[RUNNING].adopted();
                (IN_FORCE, adopted.map_or(0, |it| it.version() as usize))
            }
            Source::Peer(_) => (CUT_OFF, CUT_OFF),
        }
    }

    fn is_up(&self, source: &Source) -> bool {
        match source {
            Source::Table => self.table_up,
            Source::Peer(peer) if *peer == "running" => self.peer_up,
            Source::Peer(_) => true,
        }
    }

    fn offers(&self, state: &AdoptState, next: &mut AdoptNext) {
        for source in sources() {
            if !self.is_up(&source) {
                let what = format!("the starting daemon gives up {source:?}");
                let after = self.offer(state, STARTING, source, Offer::Unreachable);
                next.push((VersionStep(what), after));
                continue;
            }
            let (low, high) = self.told(state, &source);
            for version in low..=high {
                let what = format!("{source:?} tells the starting daemon of {version}");
                let offer = Offer::Head(self.head(version));
                let after = self.offer(state, STARTING, source.clone(), offer);
                next.push((VersionStep(what), after));
            }
        }
        for version in 1..=state.in_force {
            let what = format!("the running daemon hears of {version}");
            let offer = Offer::Head(self.head(version));
            let after = self.offer(state, RUNNING, Source::Table, offer);
            next.push((VersionStep(what), after));
        }
    }

    fn offer(&self, state: &AdoptState, daemon: usize, source: Source, offer: Offer) -> AdoptState {
        self.handle(state, daemon, AdoptEvent::Offered { source, offer })
    }

    fn fetched(&self, state: &AdoptState, next: &mut AdoptNext) {
        for daemon in [STARTING, RUNNING] {
            for digest in &state.fetches[daemon] {
                let Some((version, object)) = self.object(digest) else {
                    continue;
                };
                let mut answered = state.clone();
                answered.fetches[daemon].remove(digest);
                let digest = *digest;
                let what = format!("daemon {daemon} gets the body of {version}");
                let object = Ok(object);
                let after = self.handle(&answered, daemon, AdoptEvent::Fetched { digest, object });
                next.push((VersionStep(what), after));
                if answered.faults_left > 0 {
                    answered.faults_left -= 1;
                    let what = format!("daemon {daemon} can't get the body of {version}");
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

    /// Lowest version with which the starting daemon may be ready.
    fn floor(&self) -> usize {
        if self.table_up || self.peer_up {
            IN_FORCE
        } else {
            CUT_OFF
        }
    }
}

fn version_of(daemon: &Adopt) -> usize {
    daemon.adopted().map_or(0, |it| it.version() as usize)
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
        .expect("a configuration without blocks fits");
    let (digest, bytes) = proposal.objects[0].clone();
    let object = Object::read(&digest, &bytes).expect("it was written by this release");
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
            offer: Offer::Head(self.head(IN_FORCE)),
        });
        let (head, object) = self.versions[IN_FORCE - 1].clone();
        running.handle(AdoptEvent::Fetched {
            digest: head.digest,
            object: Ok(object),
        });
        AdoptState {
            faults_left: self.faults,
            in_force: IN_FORCE,
            daemons: [Adopt::new(sources(), self.guards), running],
            fetches: [BTreeSet::new(), BTreeSet::new()],
            reverted: None,
        }
    }

    fn transitions(&self, state: &AdoptState) -> AdoptNext {
        let mut next = Vec::new();
        if state.in_force < LAST {
            let mut after = state.clone();
            after.in_force += 1;
            let what = format!("version {} is accepted", after.in_force);
            next.push((VersionStep(what), after));
        }
        self.offers(state, &mut next);
        self.fetched(state, &mut next);
        next
    }

    fn check(&self, state: &AdoptState) -> Result<(), String> {
        if let Some(daemon) = state.reverted {
            return Err(format!("daemon {daemon} went back to an earlier version"));
        }
        for daemon in &state.daemons {
            let Some(adopted) = daemon.adopted() else {
                continue;
            };
            if *adopted.head() != self.head(version_of(daemon)) {
                return Err("a daemon runs a head that never was in force".into());
            }
            if *adopted.body() != adopted.head().digest {
                return Err("a daemon runs another body than its version's".into());
            }
        }
        let starting = &state.daemons[STARTING];
        let is_below = version_of(starting) < self.floor();
        if starting.is_ready() && is_below {
            return Err("a daemon is ready below the version that was in force".into());
        }
        // The instance may have had that version in force before it was started anew.
        if starting.adopted().is_some() && is_below {
            return Err("a daemon starts below the version that was in force".into());
        }
        Ok(())
    }
}
