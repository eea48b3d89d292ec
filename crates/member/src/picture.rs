//! What one daemon knows of the others.

use crate::{
    upstreams::Upstreams,
    BeatFacts,
    Freshness,
    Identity,
    InstanceFacts,
    LeaseState,
    ListFacts,
    ListedInstance,
    PictureTerms,
    Summary,
    UpstreamFacts,
    UpstreamMark, //
};
use base::{
    Incarnation,
    InstanceId,
    Now,
    UpstreamId,
    Version, //
};
use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

/// An instance that a look-up may answer with.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EntryCandidate {
    /// How fresh the news of it is; the freshest come first.
    pub freshness: Freshness,
    /// Its name and where it is.
    pub identity: Identity,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Instances and upstreams as one daemon knows them.
///
/// Invariants: an instance's incarnation never falls; within one incarnation its state and its
/// version only grow, and so does the time at which they were true; an upstream marked as leaving
/// stays so until a sign of its next life.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Picture {
    me: InstanceId,
    terms: PictureTerms,
    instances: BTreeMap<InstanceId, InstanceFacts>,
    upstreams: Upstreams,
}

impl Picture {
    /// Picture of a daemon that has heard nothing; `me` is never among the others.
    pub fn new(me: InstanceId, terms: PictureTerms) -> Self {
        Self {
            me,
            terms,
            instances: BTreeMap::new(),
            upstreams: Upstreams::default(),
        }
    }

    /// Takes a heartbeat, from the instance itself.
    pub fn heard(&mut self, instance: &InstanceId, facts: &BeatFacts, now: Now) {
        let summary = Summary {
            incarnation: facts.incarnation,
            version: facts.version,
            state: facts.state,
            age_ms: 0,
            identity: Some(facts.identity.clone()),
        };
        self.take(instance, &summary, now.saturating_sub(facts.age), now);
    }

    /// Takes what another passed on; `transit` is the longest that the message may have taken.
    ///
    /// About itself a daemon believes no other.
    pub fn passed_on(
        &mut self,
        instance: &InstanceId,
        summary: &Summary,
        transit: Duration,
        now: Now,
    ) {
        let age = Duration::from_millis(summary.age_ms) + transit;
        if age < self.terms.forget_after {
            self.take(instance, summary, now.saturating_sub(age), now);
        }
    }

    /// Takes the platform's list: a hint.
    ///
    /// It adds what it names and marks what it calls leaving. It lags, so it neither removes an
    /// instance that is still heard, nor brings back one that said itself that it leaves.
    pub fn listed(&mut self, list: &ListFacts, now: Now) {
        let true_at = now.saturating_sub(list.age);
        for facts in self.instances.values_mut() {
            facts.is_listed = false;
        }
        for listed in &list.instances {
            self.list_instance(listed, true_at, now);
        }
        self.upstreams
            .listed(&list.upstreams, true_at, self.terms.revive_after);
        self.forget(now);
    }

    /// Summaries for a partner of all that is heard of, except of `to` itself.
    pub fn summaries(&self, to: &str, now: Now) -> Vec<(InstanceId, Summary)> {
        self.instances
            .iter()
            .filter(|(id, _)| id.as_bytes() != to.as_bytes())
            .filter_map(|(id, facts)| Some((id.clone(), summary(facts, now)?)))
            .collect()
    }

    /// Takes a sign that an upstream leaves: an answer's header, a health report, a refusal.
    ///
    /// `age` is how long ago it was true, at worst. Returns whether it was news, to be passed on.
    pub fn upstream_leaving(&mut self, upstream: &str, age: Duration, now: Now) -> bool {
        let true_at = now.saturating_sub(age);
        self.upstreams.leaving(upstream, true_at)
    }

    /// Takes a mark that another daemon passed on; returns whether it was news.
    pub fn upstream_marked(&mut self, mark: &UpstreamMark, transit: Duration, now: Now) -> bool {
        let age = Duration::from_millis(mark.age_ms) + transit;
        self.upstream_leaving(&mark.upstream, age, now)
    }

    /// Takes a sign that an upstream answered, true `age` ago at worst.
    pub fn upstream_answered(&mut self, upstream: &str, age: Duration, now: Now) {
        self.upstreams.answered(upstream, now.saturating_sub(age));
    }

    /// Marks to be passed on.
    pub fn upstream_marks(&self, now: Now) -> Vec<UpstreamMark> {
        self.upstreams.marks(now)
    }

    /// What is known of an upstream.
    pub fn upstream(&self, upstream: &str) -> Option<&UpstreamFacts> {
        self.upstreams.get(upstream)
    }

    /// All upstreams known, in the order of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamFacts)> {
        self.upstreams.iter()
    }

    /// Freshness of the news of an upstream.
    pub fn upstream_freshness(&self, upstream: &str, now: Now) -> Freshness {
        let true_at = self.upstreams.get(upstream).and_then(|facts| facts.true_at);
        self.terms.freshness(true_at, now)
    }

    /// What is known of an instance.
    pub fn instance(&self, instance: &str) -> Option<&InstanceFacts> {
        self.instances.get(instance)
    }

    /// All other instances known, in the order of their names.
    pub fn instances(&self) -> impl Iterator<Item = (&InstanceId, &InstanceFacts)> {
        self.instances.iter()
    }

    /// Freshness of the news of an instance.
    pub fn freshness(&self, instance: &str, now: Now) -> Freshness {
        let true_at = self.instances.get(instance).and_then(|facts| facts.true_at);
        self.terms.freshness(true_at, now)
    }

    /// Highest configuration version that any instance was heard to have in force.
    pub fn highest_version(&self) -> Option<Version> {
        let heard = self
            .instances
            .values()
            .filter(|facts| facts.true_at.is_some());
        heard.map(|facts| facts.version).max()
    }

    /// Other instances that look-ups may name, the freshest first.
    ///
    /// Those that leave are out, and so are silent ones while another is heard: a killed instance
    /// is gone as soon as its heartbeats miss. When all are silent it is this daemon that is cut
    /// off, more likely than not, and all stay in.
    pub fn candidates(&self, now: Now) -> Vec<EntryCandidate> {
        let live = |facts: &&InstanceFacts| facts.state == LeaseState::Live;
        let mut candidates: Vec<EntryCandidate> = self
            .instances
            .values()
            .filter(live)
            .map(|facts| EntryCandidate {
                freshness: self.terms.freshness(facts.true_at, now),
                identity: facts.identity.clone(),
                incarnation: facts.incarnation,
            })
            .collect();
        candidates.sort();
        let heard = |candidate: &EntryCandidate| candidate.freshness != Freshness::Silent;
        if candidates.iter().any(heard) {
            candidates.retain(heard);
        }
        candidates
    }

    fn take(&mut self, instance: &InstanceId, said: &Summary, true_at: Now, now: Now) {
        if *instance == self.me {
            return;
        }
        let Some(facts) = self.instances.get_mut(instance) else {
            self.add(instance, said, true_at, now);
            return;
        };
        if said.incarnation > facts.incarnation {
            begin_life(facts, said, now);
        }
        if said.incarnation == facts.incarnation {
            facts.state = facts.state.max(said.state);
            facts.version = facts.version.max(said.version);
            facts.true_at = facts.true_at.max(Some(true_at));
        }
    }

    fn add(&mut self, instance: &InstanceId, said: &Summary, true_at: Now, now: Now) {
        // Without an address the instance is of no use; the list will name it.
        let Some(identity) = &said.identity else {
            return;
        };
        let facts = InstanceFacts {
            identity: identity.clone(),
            incarnation: said.incarnation,
            version: said.version,
            state: said.state,
            true_at: Some(true_at),
            incarnation_since: now,
            is_listed: false,
        };
        self.instances.insert(instance.clone(), facts);
    }

    fn list_instance(&mut self, listed: &ListedInstance, true_at: Now, now: Now) {
        let instance = &listed.identity.instance;
        if *instance == self.me {
            return;
        }
        let facts = self
            .instances
            .entry(instance.clone())
            .or_insert_with(|| InstanceFacts {
                identity: listed.identity.clone(),
                incarnation: 0,
                version: 0,
                state: LeaseState::Live,
                true_at: None,
                incarnation_since: now,
                is_listed: true,
            });
        facts.is_listed = true;
        if facts.incarnation == 0 {
            facts.identity = listed.identity.clone();
        }
        // A list older than this life speaks of the one before: it would keep a restarted
        // instance out of all answers for good.
        let of_this_life = facts.incarnation == 0 || true_at >= facts.incarnation_since;
        if listed.is_leaving && of_this_life {
            facts.state = facts.state.max(LeaseState::Leaving);
        }
    }

    fn forget(&mut self, now: Now) {
        let forget_after = self.terms.forget_after;
        self.instances.retain(|_, facts| {
            let heard = facts
                .true_at
                .is_some_and(|true_at| now.saturating_sub(true_at) < forget_after);
            facts.is_listed || heard
        });
    }
}

fn begin_life(facts: &mut InstanceFacts, said: &Summary, now: Now) {
    facts.incarnation = said.incarnation;
    facts.incarnation_since = now;
    facts.state = said.state;
    facts.version = said.version;
    if let Some(identity) = &said.identity {
        facts.identity = identity.clone();
    }
}

fn summary(facts: &InstanceFacts, now: Now) -> Option<Summary> {
    let age = now.saturating_sub(facts.true_at?);
    Some(Summary {
        incarnation: facts.incarnation,
        version: facts.version,
        state: facts.state,
        age_ms: u64::try_from(age.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1),
        identity: (!facts.is_listed).then(|| facts.identity.clone()),
    })
}

/// One line for each instance, then one for each upstream that leaves.
impl fmt::Display for Picture {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "picture of {}", self.me)?;
        for (id, facts) in &self.instances {
            write!(f, "\n  {id}#{} {}", facts.incarnation, facts.state)?;
            match facts.true_at {
                Some(true_at) => write!(f, " at {} ms", true_at.as_millis())?,
                None => f.write_str(" listed only")?,
            }
        }
        for (id, facts) in self.upstreams.iter() {
            if let Some(left_at) = facts.left_at {
                write!(f, "\n  {id} leaving since {} ms", left_at.as_millis())?;
            }
        }
        Ok(())
    }
}
