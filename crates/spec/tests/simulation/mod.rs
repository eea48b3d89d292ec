//! In-memory platform that loses, delays and refuses requests, with the accepts that run on it.

use bytestring::ByteString;
use model::{
    AcceptPlatform,
    AcceptRunner, //
};
use spec::{
    AcceptAction,
    AcceptEvent,
    AcceptId,
    AcceptOutcome,
    Adopt,
    AdoptAction,
    AdoptEvent,
    BlockChange,
    Body,
    Check,
    CommitOutcome,
    Config,
    Digest,
    Guards,
    Head,
    Object,
    Offer,
    Proposal,
    Source,
    Write, //
    WriteOutcome,
};
/// Fault of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The request is carried out and answered.
    None,
    /// The request never arrives.
    Lost,
    /// The request is refused and certain not to take effect.
    Refused,
    /// The request is carried out, and its answer is lost.
    EffectThenLost,
    /// The request arrives after its sender has given up.
    Late,
}

/// Commit in flight: its checks and writes.
type PendingCommit = (Vec<Check>, Vec<Write>);

/// Simulated platform and the accepts that run on it.
#[derive(Default)]
pub(crate) struct Simulation {
    platform: AcceptPlatform,
    /// Commits that arrive late.
    late: Vec<PendingCommit>,
    runners: Vec<AcceptRunner>,
}

impl Simulation {
    /// Starts an accept and returns the index of its runner.
    pub(crate) fn start(&mut self, proposal: Proposal, guards: Guards) -> usize {
        self.runners.push(AcceptRunner::start(proposal, guards));
        self.runners.len() - 1
    }

    /// Runs the next request of an accept with this fault, unless the accept has ended.
    pub(crate) fn step(&mut self, runner: usize, fault: Fault) {
        let action = self.runners[runner].action.clone();
        let event = match action {
            AcceptAction::Finish(_) => return,
            AcceptAction::Store { digest, bytes } => {
                if matches!(fault, Fault::None | Fault::EffectThenLost) {
                    self.platform.store(digest, bytes);
                }
                AcceptEvent::Stored(write_outcome(fault, ()))
            }
            AcceptAction::Read { keys } => {
                let rows = self.platform.read(&keys);
                AcceptEvent::Rows(matches!(fault, Fault::None).then_some(rows))
            }
            AcceptAction::Commit { checks, writes } => {
                let commit = (checks, writes);
                AcceptEvent::Commit(match fault {
                    Fault::None => WriteOutcome::Done(self.commit(commit)),
                    Fault::Lost => WriteOutcome::Unknown,
                    Fault::Refused => WriteOutcome::NotDone,
                    Fault::EffectThenLost => {
                        self.commit(commit);
                        WriteOutcome::Unknown
                    }
                    Fault::Late => {
                        self.late.push(commit);
                        WriteOutcome::Unknown
                    }
                })
            }
        };
        self.runners[runner].deliver(event);
    }

    /// Runs an accept to its end without faults.
    pub(crate) fn run(&mut self, runner: usize) -> AcceptOutcome {
        for _ in 0..100 {
            if let Some(outcome) = self.runners[runner].accept.outcome() {
                return outcome.clone();
            }
            self.step(runner, Fault::None);
        }
        panic!("the accept does not end");
    }

    /// Delivers all late commits.
    pub(crate) fn deliver_late(&mut self) {
        for commit in std::mem::take(&mut self.late) {
            self.commit(commit);
        }
    }

    /// Versions made by the accept with this id.
    pub(crate) fn accepted_versions(&self, id: u128) -> Vec<u64> {
        let heads = self.platform.heads().iter();
        let matching = heads.filter(|head| head.accept_id == AcceptId(id));
        matching.map(|head| head.version).collect()
    }

    /// Checks the invariants of the history and that each outcome agrees with it.
    pub(crate) fn check(&self) -> Result<(), String> {
        self.platform.check()?;
        let all_heads = self.platform.heads();
        for runner in &self.runners {
            let id = runner.accept.proposal().accept_id;
            let heads: Vec<&Head> = all_heads.iter().filter(|h| h.accept_id == id).collect();
            let is_only_request = self
                .runners
                .iter()
                .filter(|other| other.accept.proposal().accept_id == id)
                .count()
                == 1;
            let outcome = runner.accept.outcome().ok_or("an accept has not ended")?;
            let is_consistent = match outcome {
                AcceptOutcome::Accepted(head) | AcceptOutcome::AlreadyAccepted(head) => {
                    heads == [head]
                }
                AcceptOutcome::Raced { .. } => heads.is_empty(),
                AcceptOutcome::NotAccepted => heads.is_empty() || !is_only_request,
                AcceptOutcome::Unknown => heads.len() <= 1,
            };
            if !is_consistent {
                return Err(format!("outcome {outcome:?}, heads {heads:?}"));
            }
        }
        Ok(())
    }

    fn commit(&mut self, (checks, writes): PendingCommit) -> CommitOutcome {
        self.platform.commit(&checks, &writes)
    }
}

fn write_outcome<T>(fault: Fault, value: T) -> WriteOutcome<T> {
    match fault {
        Fault::None => WriteOutcome::Done(value),
        Fault::Refused => WriteOutcome::NotDone,
        Fault::Lost | Fault::EffectThenLost | Fault::Late => WriteOutcome::Unknown,
    }
}

/// Reports the head in force to a daemon, fetches all objects that it requests, and returns the
/// number of fetches.
pub(crate) fn adopt_all(sim: &Simulation, adopt: &mut Adopt) -> usize {
    let mut actions = adopt.handle(AdoptEvent::Offered {
        source: Source::Table,
        offer: Offer::Head(sim.platform.heads().last().unwrap().clone()),
    });
    let mut fetches = 0;
    while let Some(AdoptAction::Fetch { digest, .. }) = actions.pop() {
        fetches += 1;
        let object = Object::read(&digest, sim.platform.object(&digest).unwrap()).unwrap();
        actions = adopt.handle(AdoptEvent::Fetched {
            digest,
            object: Ok(object),
        });
    }
    fetches
}

/// Returns a small configuration with this headroom.
pub(crate) fn config(headroom_pct: u8) -> Config {
    let text = format!(
        "name: small\n\
         regions: [{{id: arusha, failure_domains: [a]}}, {{id: moshi, failure_domains: [a]}}]\n\
         services: [menu]\n\
         classes: [{{id: menu, service: menu, idempotent: true, priority: 0, latency_ms: 100, \
         headroom_pct: {headroom_pct}, deadline_ms: 3000, success_pct: 99.9}}]\n\
         caps: [{{from: arusha, to: moshi, bytes_per_s: 1000, in_flight: 3, growth_per_s: 1}}, \
         {{from: moshi, to: arusha, bytes_per_s: 1000, in_flight: 3, growth_per_s: 1}}]\n"
    );
    spec::parse("small.yaml", &text).unwrap_or_else(|findings| panic!("{findings}"))
}

/// Returns a proposal of this configuration; the base is only a version number.
pub(crate) fn proposal(id: u128, base: u64, headroom_pct: u8) -> Proposal {
    let author = ByteString::from("asha");
    let proposal = Proposal::new(
        AcceptId(id),
        author,
        0,
        None,
        config(headroom_pct),
        BlockChange::Keep,
    );
    let mut proposal = proposal.unwrap();
    proposal.base = base;
    debug_assert_eq!(proposal.objects.len(), 1);
    let body = Body {
        config: config(headroom_pct).into(),
        blocks: None,
    };
    assert_eq!(proposal.body, Digest::of(&body.to_bytes()));
    proposal
}
