//! Detection of lapsed leases of other instances by the local clock.

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

/// Latest renewal seen of another instance's lease.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct SeenRenewal {
    incarnation: Incarnation,
    seq: u64,
    state: LeaseState,
    version: u64,
    /// When this process first saw it; the renewal was sent earlier.
    first_seen_at: Now,
    /// When the latest read that still showed it was sent.
    last_read_sent_at: Now,
}

/// Lease that has lapsed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lapse {
    /// Incarnation that held the lease.
    pub incarnation: Incarnation,
    /// Version of the row.
    ///
    /// A transaction that takes over what the holder had must check this version, so that it fails
    /// if a renewal took effect in the meantime.
    pub version: u64,
}

/// Leases of other instances as one process has seen them.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseObserver {
    terms: LeaseTerms,
    guards: Guards,
    seen: BTreeMap<InstanceId, SeenRenewal>,
}

impl LeaseObserver {
    /// Creates an observer that has seen no leases.
    pub fn new(terms: LeaseTerms, guards: Guards) -> Self {
        Self {
            terms,
            guards,
            seen: BTreeMap::new(),
        }
    }

    /// Records a row that was read by a request sent at `read_sent_at` and answered at `now`.
    pub fn record_read(&mut self, lease: &VersionedLease, read_sent_at: Now, now: Now) {
        let instance = &lease.row.identity.instance;
        let same = self.seen.get_mut(instance).filter(|renewal| {
            (renewal.incarnation, renewal.seq) == (lease.row.incarnation, lease.row.seq)
        });
        if let Some(renewal) = same {
            renewal.last_read_sent_at = renewal.last_read_sent_at.max(read_sent_at);
            return;
        }
        let older = self.seen.get(instance).is_some_and(|renewal| {
            (renewal.incarnation, renewal.seq) > (lease.row.incarnation, lease.row.seq)
        });
        if older {
            return;
        }
        let renewal = SeenRenewal {
            incarnation: lease.row.incarnation,
            seq: lease.row.seq,
            state: lease.row.state,
            version: lease.version,
            first_seen_at: now,
            last_read_sent_at: read_sent_at,
        };
        self.seen.insert(instance.clone(), renewal);
    }

    /// Returns the lapse of `instance`'s lease if it has lapsed at `now`.
    ///
    /// A released lease has lapsed at once. While the platform does not answer, nothing is known:
    /// the holder may have renewed without this process seeing it, so a lapse requires a read that
    /// was sent after the lease's time had passed.
    pub fn lapse(&self, instance: &str, now: Now) -> Option<Lapse> {
        let renewal = self.seen.get(instance)?;
        let lapsed_after = if self.guards.drift {
            self.terms.lapsed_after()
        } else {
            self.terms.ttl
        };
        let lapses_at = renewal.first_seen_at + lapsed_after;
        let checked_at = if self.guards.fresh_read {
            renewal.last_read_sent_at
        } else {
            now
        };
        let lapsed = renewal.state == LeaseState::Left || checked_at >= lapses_at;
        lapsed.then_some(Lapse {
            incarnation: renewal.incarnation,
            version: renewal.version,
        })
    }

    /// Instances whose leases have been seen.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.seen.keys()
    }
}
