//! A platform in memory that loses, delays and refuses, with the accepts that run on it.

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
    Answer,
    BlockChange,
    Body,
    Check,
    CommitAnswer,
    Config,
    Digest,
    Guards,
    Head,
    Object,
    Offer,
    Proposal,
    Source,
    Write, //
};
/// What becomes of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// It is carried out and answered.
    None,
    /// It never arrives.
    Lost,
    /// It is provably not carried out.
    Refused,
    /// It is carried out, and its answer is lost.
    EffectThenLost,
    /// It arrives after its sender has given up on it.
    Late,
}

/// Commit on its way.
type Txn = (Vec<Check>, Vec<Write>);

/// The platform and the accepts that run on it.
#[derive(Default)]
pub(crate) struct World {
    platform: AcceptPlatform,
    /// Commits that arrive later.
    late: Vec<Txn>,
    runners: Vec<AcceptRunner>,
}

impl World {
    /// Starts an accept.
    pub(crate) fn start(&mut self, proposal: Proposal, guards: Guards) -> usize {
        self.runners.push(AcceptRunner::start(proposal, guards));
        self.runners.len() - 1
    }

    /// Carries out the next request of an accept, unless it has ended.
    pub(crate) fn step(&mut self, runner: usize, fault: Fault) {
        let action = self.runners[runner].action.clone();
        let event = match action {
            AcceptAction::Finish(_) => return,
            AcceptAction::Store { digest, bytes } => {
                if matches!(fault, Fault::None | Fault::EffectThenLost) {
                    self.platform.store(digest, bytes);
                }
                AcceptEvent::Stored(answer(fault, ()))
            }
            AcceptAction::Read { keys } => {
                let rows = self.platform.read(&keys);
                AcceptEvent::Rows(matches!(fault, Fault::None).then_some(rows))
            }
            AcceptAction::Commit { checks, writes } => {
                let txn = (checks, writes);
                AcceptEvent::Commit(match fault {
                    Fault::None => Answer::Done(self.commit(txn)),
                    Fault::Lost => Answer::Unknown,
                    Fault::Refused => Answer::NotDone,
                    Fault::EffectThenLost => {
                        self.commit(txn);
                        Answer::Unknown
                    }
                    Fault::Late => {
                        self.late.push(txn);
                        Answer::Unknown
                    }
                })
            }
        };
        self.runners[runner].deliver(event);
    }

    /// Carries out an accept to its end without faults.
    pub(crate) fn run(&mut self, runner: usize) -> AcceptOutcome {
        for _ in 0..100 {
            if let Some(outcome) = self.runners[runner].accept.outcome() {
                return outcome.clone();
            }
            self.step(runner, Fault::None);
        }
        panic!("the accept does not end");
    }

    /// Lets all late commits arrive.
    pub(crate) fn deliver_late(&mut self) {
        for txn in std::mem::take(&mut self.late) {
            self.commit(txn);
        }
    }

    /// Versions that an accept has made.
    pub(crate) fn accepted_versions(&self, id: u128) -> Vec<u64> {
        let heads = self.platform.heads().iter();
        let made = heads.filter(|head| head.accept_id == AcceptId(id));
        made.map(|head| head.version).collect()
    }

    /// What must hold of the log, and of what operators were told.
    pub(crate) fn check(&self) -> Result<(), String> {
        self.platform.check()?;
        let heads = self.platform.heads();
        for runner in &self.runners {
            let id = runner.accept.proposal().accept_id;
            let made: Vec<&Head> = heads.iter().filter(|h| h.accept_id == id).collect();
            let alone = self
                .runners
                .iter()
                .filter(|other| other.accept.proposal().accept_id == id)
                .count()
                == 1;
            let told = runner.accept.outcome().ok_or("an accept has not ended")?;
            let is_true = match told {
                AcceptOutcome::Accepted(head) | AcceptOutcome::AlreadyAccepted(head) => {
                    made == [head]
                }
                AcceptOutcome::Raced { .. } => made.is_empty(),
                AcceptOutcome::NotAccepted => made.is_empty() || !alone,
                AcceptOutcome::Unknown => made.len() <= 1,
            };
            if !is_true {
                return Err(format!("told {told:?}, made {made:?}"));
            }
        }
        Ok(())
    }

    fn commit(&mut self, (checks, writes): Txn) -> CommitAnswer {
        self.platform.commit(&checks, &writes)
    }
}

fn answer<T>(fault: Fault, value: T) -> Answer<T> {
    match fault {
        Fault::None => Answer::Done(value),
        Fault::Refused => Answer::NotDone,
        Fault::Lost | Fault::EffectThenLost | Fault::Late => Answer::Unknown,
    }
}

/// Offers the head in force to a daemon and fetches all that it asks for; gives the number of
/// fetches.
pub(crate) fn adopt_all(world: &World, adopt: &mut Adopt) -> usize {
    let mut actions = adopt.handle(AdoptEvent::Offered {
        source: Source::Table,
        offer: Offer::Head(world.platform.heads().last().unwrap().clone()),
    });
    let mut fetches = 0;
    while let Some(AdoptAction::Fetch { digest, .. }) = actions.pop() {
        fetches += 1;
        let object = Object::read(&digest, world.platform.object(&digest).unwrap()).unwrap();
        actions = adopt.handle(AdoptEvent::Fetched {
            digest,
            object: Ok(object),
        });
    }
    fetches
}

/// A small configuration that differs by its headroom.
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

/// A proposal of such a configuration; any base is given as a version alone.
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
