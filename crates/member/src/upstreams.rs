//! What one daemon knows of the upstreams.
//!
//! Upstreams have no incarnation of their own, so a life of one is told by times: it begins when
//! the list first shows it, or shows it again after it was gone, and signs of leaving that are
//! older belong to the life before.

use crate::{
    ListedUpstream,
    UpstreamFacts,
    UpstreamMark, //
};
use base::{
    Now,
    UpstreamId, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Upstreams by name.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Upstreams {
    by_id: BTreeMap<UpstreamId, UpstreamFacts>,
    /// Marks of upstreams that no list has named yet.
    early_marks: BTreeMap<UpstreamId, Now>,
}

impl Upstreams {
    pub(crate) fn get(&self, upstream: &str) -> Option<&UpstreamFacts> {
        self.by_id.get(upstream)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamFacts)> {
        self.by_id.iter()
    }

    /// Takes a sign of leaving that was true at `true_at`; returns whether it was news.
    pub(crate) fn leaving(&mut self, upstream: &str, true_at: Now) -> bool {
        let Some(facts) = self.by_id.get_mut(upstream) else {
            let id = UpstreamId::from(upstream);
            return self.early_marks.insert(id, true_at).is_none();
        };
        if facts.is_leaving() || true_at < facts.alive_since {
            return false;
        }
        facts.left_at = Some(true_at);
        facts.seen_gone = false;
        true
    }

    pub(crate) fn answered(&mut self, upstream: &str, true_at: Now) {
        if let Some(facts) = self.by_id.get_mut(upstream) {
            facts.true_at = facts.true_at.max(Some(true_at));
        }
    }

    pub(crate) fn marks(&self, now: Now) -> Vec<UpstreamMark> {
        self.by_id
            .iter()
            .filter_map(|(id, facts)| {
                let age = now.saturating_sub(facts.left_at?);
                Some(UpstreamMark {
                    upstream: id.clone(),
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                })
            })
            .collect()
    }

    /// Takes the list, true at `true_at`.
    pub(crate) fn listed(&mut self, list: &[ListedUpstream], true_at: Now, revive_after: Duration) {
        for facts in self.by_id.values_mut() {
            facts.is_listed = false;
        }
        for listed in list {
            self.list_one(listed, true_at, revive_after);
        }
        for facts in self.by_id.values_mut().filter(|facts| !facts.is_listed) {
            facts.seen_gone = true;
        }
    }

    fn list_one(&mut self, listed: &ListedUpstream, true_at: Now, revive_after: Duration) {
        let early_mark = self.early_marks.remove(&listed.id);
        let facts = self
            .by_id
            .entry(listed.id.clone())
            .or_insert_with(|| UpstreamFacts {
                listed: listed.clone(),
                left_at: early_mark,
                alive_since: Now::ZERO,
                true_at: None,
                is_listed: true,
                seen_gone: false,
            });
        facts.is_listed = true;
        if listed.is_leaving {
            facts.left_at.get_or_insert(true_at);
            facts.seen_gone = true;
        } else if has_come_back(facts, true_at, revive_after) {
            facts.left_at = None;
            facts.seen_gone = false;
            facts.alive_since = true_at;
        }
        facts.listed = listed.clone();
    }
}

/// Whether a list that shows it as live, true at `true_at`, speaks of a life after the mark.
///
/// A list that lags shows a leaving upstream as live for a while. So it has to have shown it as
/// gone first; or, for a restart too quick for that, to go on long after the mark.
fn has_come_back(facts: &UpstreamFacts, true_at: Now, revive_after: Duration) -> bool {
    facts.left_at.is_some_and(|left_at| {
        let later = true_at > left_at;
        later && (facts.seen_gone || true_at >= left_at + revive_after)
    })
}
