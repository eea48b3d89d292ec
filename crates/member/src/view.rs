//! One daemon's view of the other instances and of the upstreams.

use crate::{
    upstreams::Upstreams,
    Freshness,
    Heartbeat,
    Identity,
    InstanceRecord,
    LeaseState,
    LeavingMark, //
    ListedInstance,
    PlatformList,
    Summary,
    UpstreamRecord,
    ViewTimeouts,
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

/// Instance that a look-up may return.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EntryCandidate {
    /// Freshness of its record; the freshest candidates come first.
    pub freshness: Freshness,
    /// Name and location.
    pub identity: Identity,
    /// Incarnation.
    pub incarnation: Incarnation,
}

/// Instances and upstreams as one daemon knows them.
///
/// Invariants: the incarnation of an instance never decreases. Within an incarnation its state, its
/// version and the time at which they were true never decrease. An upstream that is marked as
/// leaving stays marked until there is evidence of its next lifetime.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MembershipView {
    me: InstanceId,
    terms: ViewTimeouts,
    instances: BTreeMap<InstanceId, InstanceRecord>,
    upstreams: Upstreams,
}

impl MembershipView {
    /// Creates an empty view; `me` is never among the instances.
    pub fn new(me: InstanceId, terms: ViewTimeouts) -> Self {
        Self {
            me,
            terms,
            instances: BTreeMap::new(),
            upstreams: Upstreams::default(),
        }
    }

    /// Applies a heartbeat that the instance itself sent.
    pub fn apply_heartbeat(&mut self, instance: &InstanceId, heartbeat: &Heartbeat, now: Now) {
        let summary = Summary {
            incarnation: heartbeat.incarnation,
            version: heartbeat.version,
            state: heartbeat.state,
            age_ms: 0,
            identity: Some(heartbeat.identity.clone()),
        };
        self.apply(instance, &summary, now.saturating_sub(heartbeat.age), now);
    }

    /// Applies a summary relayed by another daemon; `transit` is an upper bound of the message delay.
    ///
    /// A daemon ignores summaries of itself.
    pub fn apply_summary(
        &mut self,
        instance: &InstanceId,
        summary: &Summary,
        transit: Duration,
        now: Now,
    ) {
        let age = Duration::from_millis(summary.age_ms) + transit;
        if age < self.terms.forget_after {
            self.apply(instance, summary, now.saturating_sub(age), now);
        }
    }

    /// Applies the platform's list, which is only a hint.
    ///
    /// The list adds what it names and marks what it shows as leaving. It is delayed, so it neither
    /// removes an instance that still sends heartbeats nor revives one that announced its leaving.
    pub fn apply_list(&mut self, list: &PlatformList, now: Now) {
        let as_of = now.saturating_sub(list.age);
        for record in self.instances.values_mut() {
            record.is_listed = false;
        }
        for listed in &list.instances {
            self.apply_listed_instance(listed, as_of, now);
        }
        self.upstreams
            .apply_list(&list.upstreams, as_of, self.terms.revive_after);
        self.forget(now);
    }

    /// Summaries to send to `to`: all instances with a reported state, except `to` itself.
    pub fn summaries(&self, to: &str, now: Now) -> Vec<(InstanceId, Summary)> {
        self.instances
            .iter()
            .filter(|(id, _)| id.as_bytes() != to.as_bytes())
            .filter_map(|(id, record)| Some((id.clone(), summarize(record, now)?)))
            .collect()
    }

    /// Marks an upstream as leaving, on a response's header, a health report or a refusal.
    ///
    /// `age` is an upper bound of the report's age. Returns whether the mark is new and has to be
    /// relayed.
    pub fn mark_upstream_leaving(&mut self, upstream: &str, age: Duration, now: Now) -> bool {
        let as_of = now.saturating_sub(age);
        self.upstreams.mark_leaving(upstream, as_of)
    }

    /// Applies a mark relayed by another daemon; returns whether it is new.
    pub fn apply_upstream_mark(&mut self, mark: &LeavingMark, transit: Duration, now: Now) -> bool {
        let age = Duration::from_millis(mark.age_ms) + transit;
        self.mark_upstream_leaving(&mark.upstream, age, now)
    }

    /// Records that an upstream answered at most `age` ago.
    pub fn record_upstream_response(&mut self, upstream: &str, age: Duration, now: Now) {
        self.upstreams
            .record_response(upstream, now.saturating_sub(age));
    }

    /// Leaving marks to relay to other daemons.
    pub fn upstream_marks(&self, now: Now) -> Vec<LeavingMark> {
        self.upstreams.marks(now)
    }

    /// Record of an upstream.
    pub fn upstream(&self, upstream: &str) -> Option<&UpstreamRecord> {
        self.upstreams.get(upstream)
    }

    /// All known upstreams, in the order of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamRecord)> {
        self.upstreams.iter()
    }

    /// Freshness of an upstream's record.
    pub fn upstream_freshness(&self, upstream: &str, now: Now) -> Freshness {
        let as_of = self.upstreams.get(upstream).and_then(|record| record.as_of);
        self.terms.freshness(as_of, now)
    }

    /// Record of an instance.
    pub fn instance(&self, instance: &str) -> Option<&InstanceRecord> {
        self.instances.get(instance)
    }

    /// All other known instances, in the order of their names.
    pub fn instances(&self) -> impl Iterator<Item = (&InstanceId, &InstanceRecord)> {
        self.instances.iter()
    }

    /// Freshness of an instance's record.
    pub fn freshness(&self, instance: &str, now: Now) -> Freshness {
        let as_of = self.instances.get(instance).and_then(|record| record.as_of);
        self.terms.freshness(as_of, now)
    }

    /// Highest configuration version that any instance is reported to have in force.
    pub fn highest_version(&self) -> Option<Version> {
        let reported = self
            .instances
            .values()
            .filter(|record| record.as_of.is_some());
        reported.map(|record| record.version).max()
    }

    /// Other instances that look-ups may return, the freshest first.
    ///
    /// Leaving instances are excluded. Silent ones are excluded while any other is not silent, so a
    /// killed instance is dropped once its heartbeats stop. If all are silent, this daemon is
    /// probably partitioned from the others, and all are kept.
    pub fn candidates(&self, now: Now) -> Vec<EntryCandidate> {
        let live = |record: &&InstanceRecord| record.state == LeaseState::Live;
        let mut candidates: Vec<EntryCandidate> = self
            .instances
            .values()
            .filter(live)
            .map(|record| EntryCandidate {
                freshness: self.terms.freshness(record.as_of, now),
                identity: record.identity.clone(),
                incarnation: record.incarnation,
            })
            .collect();
        candidates.sort();
        let not_silent = |candidate: &EntryCandidate| candidate.freshness != Freshness::Silent;
        if candidates.iter().any(not_silent) {
            candidates.retain(not_silent);
        }
        candidates
    }

    fn apply(&mut self, instance: &InstanceId, summary: &Summary, as_of: Now, now: Now) {
        if *instance == self.me {
            return;
        }
        let Some(record) = self.instances.get_mut(instance) else {
            self.add(instance, summary, as_of, now);
            return;
        };
        if summary.incarnation > record.incarnation {
            begin_incarnation(record, summary, now);
        }
        if summary.incarnation == record.incarnation {
            record.state = record.state.max(summary.state);
            record.version = record.version.max(summary.version);
            record.as_of = record.as_of.max(Some(as_of));
        }
    }

    fn add(&mut self, instance: &InstanceId, summary: &Summary, as_of: Now, now: Now) {
        // An instance without an address is unusable until the list names it.
        let Some(identity) = &summary.identity else {
            return;
        };
        let record = InstanceRecord {
            identity: identity.clone(),
            incarnation: summary.incarnation,
            version: summary.version,
            state: summary.state,
            as_of: Some(as_of),
            incarnation_since: now,
            is_listed: false,
        };
        self.instances.insert(instance.clone(), record);
    }

    fn apply_listed_instance(&mut self, listed: &ListedInstance, as_of: Now, now: Now) {
        let instance = &listed.identity.instance;
        if *instance == self.me {
            return;
        }
        let record = self
            .instances
            .entry(instance.clone())
            .or_insert_with(|| InstanceRecord {
                identity: listed.identity.clone(),
                incarnation: 0,
                version: 0,
                state: LeaseState::Live,
                as_of: None,
                incarnation_since: now,
                is_listed: true,
            });
        record.is_listed = true;
        if record.incarnation == 0 {
            record.identity = listed.identity.clone();
        }
        // A list older than this incarnation refers to the previous one. Applying it would keep a
        // restarted instance out of look-up results for good.
        let of_this_incarnation = record.incarnation == 0 || as_of >= record.incarnation_since;
        if listed.is_leaving && of_this_incarnation {
            record.state = record.state.max(LeaseState::Leaving);
        }
    }

    fn forget(&mut self, now: Now) {
        let forget_after = self.terms.forget_after;
        self.instances.retain(|_, record| {
            let reported = record
                .as_of
                .is_some_and(|as_of| now.saturating_sub(as_of) < forget_after);
            record.is_listed || reported
        });
    }
}

fn begin_incarnation(record: &mut InstanceRecord, summary: &Summary, now: Now) {
    record.incarnation = summary.incarnation;
    record.incarnation_since = now;
    record.state = summary.state;
    record.version = summary.version;
    if let Some(identity) = &summary.identity {
        record.identity = identity.clone();
    }
}

fn summarize(record: &InstanceRecord, now: Now) -> Option<Summary> {
    let age = now.saturating_sub(record.as_of?);
    Some(Summary {
        incarnation: record.incarnation,
        version: record.version,
        state: record.state,
        age_ms: u64::try_from(age.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1),
        identity: (!record.is_listed).then(|| record.identity.clone()),
    })
}

/// One line for each instance, then one for each leaving upstream.
impl fmt::Display for MembershipView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "view of {}", self.me)?;
        for (id, record) in &self.instances {
            write!(f, "\n  {id}#{} {}", record.incarnation, record.state)?;
            match record.as_of {
                Some(as_of) => write!(f, " at {} ms", as_of.as_millis())?,
                None => f.write_str(" listed only")?,
            }
        }
        for (id, record) in self.upstreams.iter() {
            if let Some(leaving_since) = record.leaving_since {
                write!(f, "\n  {id} leaving since {} ms", leaving_since.as_millis())?;
            }
        }
        Ok(())
    }
}
