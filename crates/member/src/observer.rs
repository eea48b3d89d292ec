//! Judging the leases of others, by one's own clock.

use crate::{
    Guards,
    LeaseState,
    LeaseTerms,
    VersionedLease, //
};
use base::{
    Incarnation,
    InstanceId,
    Now, //
};
use std::collections::BTreeMap;

/// One renewal of another's lease.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Sighting {
    incarnation: Incarnation,
    seq: u64,
    state: LeaseState,
    version: u64,
    /// When it was first known here; the renewal was sent earlier.
    first_seen_at: Now,
    /// When the latest read that still shows it was sent.
    last_read_sent_at: Now,
}

/// A lease that has lapsed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lapse {
    /// Life whose lease it was.
    pub incarnation: Incarnation,
    /// Version of the row.
    ///
    /// Whoever takes what the lapsed holder had checks this version in the same transaction: a
    /// renewal that landed meanwhile makes it fail.
    pub version: u64,
}

/// What one process has seen of the others' leases.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Observer {
    terms: LeaseTerms,
    guards: Guards,
    seen: BTreeMap<InstanceId, Sighting>,
}

impl Observer {
    /// Has seen nothing yet.
    pub fn new(terms: LeaseTerms, guards: Guards) -> Self {
        Self {
            terms,
            guards,
            seen: BTreeMap::new(),
        }
    }

    /// Takes a row that was read by a request sent at `read_sent_at`, answered at `now`.
    pub fn saw(&mut self, lease: &VersionedLease, read_sent_at: Now, now: Now) {
        let instance = &lease.row.identity.instance;
        let same = self.seen.get_mut(instance).filter(|sighting| {
            (sighting.incarnation, sighting.seq) == (lease.row.incarnation, lease.row.seq)
        });
        if let Some(sighting) = same {
            sighting.last_read_sent_at = sighting.last_read_sent_at.max(read_sent_at);
            return;
        }
        let older = self.seen.get(instance).is_some_and(|sighting| {
            (sighting.incarnation, sighting.seq) > (lease.row.incarnation, lease.row.seq)
        });
        if older {
            return;
        }
        let sighting = Sighting {
            incarnation: lease.row.incarnation,
            seq: lease.row.seq,
            state: lease.row.state,
            version: lease.version,
            first_seen_at: now,
            last_read_sent_at: read_sent_at,
        };
        self.seen.insert(instance.clone(), sighting);
    }

    /// The lapse of `instance`'s lease, if it has lapsed at `now`.
    ///
    /// One that gave its lease back has lapsed at once. Silence of the platform proves nothing:
    /// the holder may have renewed where this process couldn't see it, so a lapse needs a read
    /// sent after the time was over.
    pub fn lapse(&self, instance: &str, now: Now) -> Option<Lapse> {
        let sighting = self.seen.get(instance)?;
        let lapsed_after = if self.guards.drift {
            self.terms.lapsed_after()
        } else {
            self.terms.ttl
        };
        let over_at = sighting.first_seen_at + lapsed_after;
        let judged_at = if self.guards.fresh_read {
            sighting.last_read_sent_at
        } else {
            now
        };
        let lapsed = sighting.state == LeaseState::Left || judged_at >= over_at;
        lapsed.then_some(Lapse {
            incarnation: sighting.incarnation,
            version: sighting.version,
        })
    }

    /// Instances whose leases were seen.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.seen.keys()
    }
}
