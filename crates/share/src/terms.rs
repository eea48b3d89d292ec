//! Durations and fractions on which all members of a pool have to agree, and switches for tests.

use std::time::Duration;

/// Parameters of a pool; all members must run with the same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Terms {
    /// How long a renewed lease protects the whole allotment.
    pub short_ttl: Duration,
    /// How long a renewed lease protects the floor.
    pub long_ttl: Duration,
    /// Part of an allotment that is freed only after the long TTL, in percent.
    pub floor_pct: u32,
    /// How much faster one clock may run than another, in percent.
    pub drift_pct: u32,
    /// How long work may continue after the check that admitted it: its deadline at the upstream.
    pub grace: Duration,
    /// Length of a promise, counted by its holder from before it asked; zero disables promises.
    pub promise_term: Duration,
    /// How long a member waits for each member before it in the order of proposers.
    pub propose_step: Duration,
    /// Minimum time between two epochs that only follow demand.
    pub rebalance_every: Duration,
    /// Seed of the order of proposers.
    pub seed: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            short_ttl: Duration::from_secs(10),
            long_ttl: Duration::from_secs(900),
            floor_pct: 50,
            drift_pct: 1,
            grace: Duration::from_secs(5),
            promise_term: Duration::from_secs(5),
            propose_step: Duration::from_millis(500),
            rebalance_every: Duration::from_secs(10),
            seed: 0,
        }
    }
}

impl Terms {
    /// Extends `span` by the drift, for a member that counts on behalf of another clock.
    pub(crate) fn with_drift(&self, span: Duration, guards: &Guards) -> Duration {
        if guards.drift {
            span + span * self.drift_pct / 100
        } else {
            span
        }
    }

    /// Returns how long work may outlive the right under which it started, which observers add to a
    /// TTL.
    pub(crate) fn grace_allowance(&self, guards: &Guards) -> Duration {
        if guards.grace {
            self.grace
        } else {
            Duration::ZERO
        }
    }
}

/// Switches that turn single guards off; only for the search in `model`.
///
/// Each is a rule without which a token gets two users; the tests of `model` show a run for each.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// The whole allotment is used only after the others have acknowledged.
    pub wait_for_acks: bool,
    /// An acknowledgement counts for exactly one epoch, not for earlier ones.
    pub exact_ack: bool,
    /// Work in flight delays the acknowledgement.
    pub ack_in_flight: bool,
    /// Adopting an epoch increases nothing at once.
    pub keep_minimum: bool,
    /// The holder counts its lease from before the renewal was sent.
    pub lease_from_send: bool,
    /// A lease renewed after a lapse does not protect what was held before.
    pub broken_chain: bool,
    /// A lapse is conclusive only with a read of the table that started after it.
    pub confirm_read: bool,
    /// The last lease of an earlier incarnation counts from when the newer incarnation was first
    /// seen.
    pub superseded_from_first_seen: bool,
    /// The lapse of a lease older than the one in the row is not conclusive.
    pub listed_lease: bool,
    /// A lapsed member keeps every floor that it may still be using.
    pub floor_bound: bool,
    /// A witness has been a member since the epoch of the lapsed member.
    pub witness_since: bool,
    /// A witness has no promise to the lapsed member that still runs.
    pub promise_kept: bool,
    /// A promise counts from before it was asked for.
    pub promise_from_request: bool,
    /// A promise is made only within one epoch.
    pub promise_same_epoch: bool,
    /// A member whose lease lapsed enters a new epoch with its floor at most.
    pub clip_on_adopt: bool,
    /// A transfer is applied once.
    pub transfer_once: bool,
    /// A transfer is applied only within its epoch.
    pub transfer_same_epoch: bool,
    /// The sender of a transfer stops using the tokens before it sends them.
    pub transfer_stops_first: bool,
    /// Observers allow for work that outlives its lease.
    pub grace: bool,
    /// Observers allow for clocks that run slow.
    pub drift: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            wait_for_acks: true,
            exact_ack: true,
            ack_in_flight: true,
            keep_minimum: true,
            lease_from_send: true,
            broken_chain: true,
            confirm_read: true,
            superseded_from_first_seen: true,
            listed_lease: true,
            floor_bound: true,
            witness_since: true,
            promise_kept: true,
            promise_from_request: true,
            promise_same_epoch: true,
            clip_on_adopt: true,
            transfer_once: true,
            transfer_same_epoch: true,
            transfer_stops_first: true,
            grace: true,
            drift: true,
        }
    }
}
