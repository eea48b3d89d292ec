//! Durations and fractions that all members of a pool have to agree on, and the test switches.

use std::time::Duration;

/// Agreed terms of a pool; every member must run with the same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Terms {
    /// How long a renewed lease protects the whole allotment.
    pub short_ttl: Duration,
    /// How long a renewed lease protects the floor.
    pub long_ttl: Duration,
    /// Part of an allotment that only the long term frees, in percent.
    pub floor_pct: u32,
    /// How much faster one clock may run than another, in percent.
    pub drift_pct: u32,
    /// How long work may go on after the check that let it start: its deadline at the upstream.
    pub grace: Duration,
    /// How long a promise lasts, counted by the holder from before it asked; zero for no promises.
    pub promise_term: Duration,
    /// How long a member waits for each one before it in the order of proposers.
    pub propose_step: Duration,
    /// Least time between two epochs that only follow demand.
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
    /// Stretches `span` by the drift, for whoever counts on behalf of another clock.
    pub(crate) fn with_drift(&self, span: Duration, guards: &Guards) -> Duration {
        if guards.drift {
            span + span * self.drift_pct / 100
        } else {
            span
        }
    }

    /// Work that outlives the right it was started under, as the observer has to allow for.
    pub(crate) fn outliving(&self, guards: &Guards) -> Duration {
        if guards.grace {
            self.grace
        } else {
            Duration::ZERO
        }
    }
}

/// Switches that turn single guards off, for the search in `model` only.
///
/// Each names a rule without which a token gets two users; the tests of `model` show the run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// Others must have acknowledged before an allotment is used in full.
    pub wait_for_acks: bool,
    /// An acknowledgement counts for exactly one epoch, not for those before.
    pub exact_ack: bool,
    /// Work in flight delays the acknowledgement.
    pub ack_in_flight: bool,
    /// Adopting an epoch raises nothing at once.
    pub keep_minimum: bool,
    /// The holder counts its lease from before the renewal was sent.
    pub lease_from_send: bool,
    /// A lease renewed after it lapsed protects nothing of the past.
    pub broken_chain: bool,
    /// A lapse needs a read of the table that started after it.
    pub confirm_read: bool,
    /// The last lease of an earlier life is counted from the first sight of the next.
    pub replaced_from_sight: bool,
    /// A lapse of a lease older than the row lists counts for nothing.
    pub listed_lease: bool,
    /// What is left to a lapsed member covers every floor that it may still be using.
    pub floor_bound: bool,
    /// Whoever helps to take a surplus has been a member since the lapsed one's epoch.
    pub witness_since: bool,
    /// Whoever helps to take a surplus has no promise left to the lapsed one.
    pub promise_kept: bool,
    /// A promise is counted from before it was asked for.
    pub promise_from_ask: bool,
    /// A promise is made only within one epoch.
    pub promise_same_epoch: bool,
    /// A member whose lease lapsed enters a new epoch with its floor at most.
    pub clip_on_adopt: bool,
    /// A hand-over is applied once.
    pub give_once: bool,
    /// A hand-over is applied only within its epoch.
    pub give_same_epoch: bool,
    /// A giver stops using before it gives.
    pub give_stops_first: bool,
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
            replaced_from_sight: true,
            listed_lease: true,
            floor_bound: true,
            witness_since: true,
            promise_kept: true,
            promise_from_ask: true,
            promise_same_epoch: true,
            clip_on_adopt: true,
            give_once: true,
            give_same_epoch: true,
            give_stops_first: true,
            grace: true,
            drift: true,
        }
    }
}
