//! Upstreams known to one daemon.
//!
//! Upstreams have no incarnation number, so their lifetimes are distinguished by time: a lifetime
//! starts when the list first shows the upstream, or shows it again after it was gone. Older
//! reports of leaving belong to the previous lifetime.

use crate::{
    LeavingMark, //
    ListedUpstream,
    UpstreamRecord,
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
    by_id: BTreeMap<UpstreamId, UpstreamRecord>,
    /// Leaving marks of upstreams that no list has named yet.
    unlisted_marks: BTreeMap<UpstreamId, Now>,
}

impl Upstreams {
    pub(crate) fn get(&self, upstream: &str) -> Option<&UpstreamRecord> {
        self.by_id.get(upstream)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamRecord)> {
        self.by_id.iter()
    }

    /// Marks an upstream as leaving since `as_of`; returns whether the mark is new.
    pub(crate) fn mark_leaving(&mut self, upstream: &str, as_of: Now) -> bool {
        let Some(record) = self.by_id.get_mut(upstream) else {
            let id = UpstreamId::from(upstream);
            return self.unlisted_marks.insert(id, as_of).is_none();
        };
        if record.is_leaving() || as_of < record.alive_since {
            return false;
        }
        record.leaving_since = Some(as_of);
        record.seen_gone = false;
        true
    }

    pub(crate) fn record_response(&mut self, upstream: &str, as_of: Now) {
        if let Some(record) = self.by_id.get_mut(upstream) {
            record.as_of = record.as_of.max(Some(as_of));
        }
    }

    pub(crate) fn marks(&self, now: Now) -> Vec<LeavingMark> {
        self.by_id
            .iter()
            .filter_map(|(id, record)| {
                let age = now.saturating_sub(record.leaving_since?);
                Some(LeavingMark {
                    upstream: id.clone(),
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                })
            })
            .collect()
    }

    /// Applies the platform's list as of `as_of`.
    pub(crate) fn apply_list(
        &mut self,
        list: &[ListedUpstream],
        as_of: Now,
        revive_after: Duration,
    ) {
        for record in self.by_id.values_mut() {
            record.is_listed = false;
        }
        for listed in list {
            self.apply_listed(listed, as_of, revive_after);
        }
        for record in self.by_id.values_mut().filter(|record| !record.is_listed) {
            record.seen_gone = true;
        }
    }

    fn apply_listed(&mut self, listed: &ListedUpstream, as_of: Now, revive_after: Duration) {
        let unlisted_mark = self.unlisted_marks.remove(&listed.id);
        let record = self
            .by_id
            .entry(listed.id.clone())
            .or_insert_with(|| UpstreamRecord {
                listed: listed.clone(),
                leaving_since: unlisted_mark,
                alive_since: Now::ZERO,
                as_of: None,
                is_listed: true,
                seen_gone: false,
            });
        record.is_listed = true;
        if listed.is_leaving {
            record.leaving_since.get_or_insert(as_of);
            record.seen_gone = true;
        } else if is_next_lifetime(record, as_of, revive_after) {
            record.leaving_since = None;
            record.seen_gone = false;
            record.alive_since = as_of;
        }
        record.listed = listed.clone();
    }
}

/// Whether a list as of `as_of` that shows the upstream as live refers to a lifetime after the mark.
///
/// A delayed list shows a leaving upstream as live for a while. So a list must have shown it as
/// gone first or, if it restarted too quickly for that, still show it as live `revive_after` past
/// the mark.
fn is_next_lifetime(record: &UpstreamRecord, as_of: Now, revive_after: Duration) -> bool {
    record.leaving_since.is_some_and(|leaving_since| {
        let later = as_of > leaving_since;
        later && (record.seen_gone || as_of >= leaving_since + revive_after)
    })
}
