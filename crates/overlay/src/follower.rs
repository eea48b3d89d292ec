//! How far an entry has read a table of the store, and until when this was known to be the whole table.
//!
//! An entry that reads the table through others has to notice when they no longer forward changes. Each message about the
//! table therefore states when the sender's copy was last known to be complete. The time of arrival isn't enough: a
//! message may be delayed, or its sender's copy may be outdated.

use base::{
    InstanceId,
    Now, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Rules that keep the reading complete. All are on, except in tests that check what each prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Rows that begin after the position are not applied.
    pub gap: bool,
    /// A hub whose copy of the table is too old no longer counts as forwarding.
    pub staleness: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            gap: true,
            staleness: true,
        }
    }
}

/// Until when a table was known to be complete, on the clock of the entry that states it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Freshness {
    /// Latest time at which the store is known to have had no further changes.
    pub complete_at: Now,
    /// When this was sent.
    pub sent_at: Now,
}

/// A hub that forwards what it reads.
#[derive(Clone, Copy, Debug)]
struct ForwardingHub {
    /// When the message that took the shortest time was sent, on the hub's clock, and when it was received.
    ///
    /// The difference between the two relates the clocks, so that a message which was held up on the way doesn't make
    /// the table look fresher than it is.
    fastest: (Now, Now),
    /// Latest time at which the table was complete, on this entry's clock.
    complete_at: Now,
}

impl ForwardingHub {
    fn new(freshness: Freshness, now: Now) -> Self {
        let mut hub = Self {
            fastest: (freshness.sent_at, now),
            complete_at: Now::ZERO,
        };
        hub.update(freshness, now);
        hub
    }

    fn update(&mut self, freshness: Freshness, now: Now) {
        let (sent_at, received_at) = self.fastest;
        if now + sent_at < received_at + freshness.sent_at {
            self.fastest = (freshness.sent_at, now);
        }
        let (sent_at, received_at) = self.fastest;
        let complete_at = (freshness.complete_at + received_at).saturating_sub(sent_at);
        self.complete_at = self.complete_at.max(complete_at.min(now));
    }
}

/// How rows that a hub forwards relate to the position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuity {
    /// They continue what was read: apply them.
    Next,
    /// They contain nothing new.
    Known,
    /// Rows before them are missing: read those from the store.
    Gap,
}

/// Position in one table, and the hubs that forward what they read of it.
#[derive(Clone, Debug, Default)]
pub struct TableFollower {
    guards: Guards,
    /// Version up to which all rows were read; `None` until the whole table was read once.
    position: Option<u64>,
    /// Whether rows are known to be missing.
    gap: bool,
    /// Latest time at which a read of this entry showed the table to be complete.
    read_complete_at: Now,
    /// Hubs that forward what they read.
    hubs: BTreeMap<InstanceId, ForwardingHub>,
}

impl TableFollower {
    /// Creates the state before anything was read.
    pub fn new() -> Self {
        Self::with_guards(Guards::default())
    }

    /// Creates the same with these guards.
    pub fn with_guards(guards: Guards) -> Self {
        Self {
            guards,
            position: None,
            gap: false,
            read_complete_at: Now::ZERO,
            hubs: BTreeMap::new(),
        }
    }

    /// Returns the version up to which all rows were read; `None` until the whole table was read once.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Records that the whole table, or all changes since the position, were read up to `position`, and that the store
    /// had no further changes at `complete_at`.
    pub fn on_read(&mut self, position: u64, complete_at: Now) {
        self.position = self.position.max(Some(position));
        self.gap = false;
        self.read_complete_at = self.read_complete_at.max(complete_at);
    }

    /// Records how far a hub has read; from then on it forwards what it reads. A hub that is ahead of this entry does
    /// not count as forwarding, since it won't send what is missing here. Returns whether it counts.
    pub fn on_hub_position(
        &mut self,
        hub: &InstanceId,
        position: u64,
        freshness: Freshness,
        now: Now,
    ) -> bool {
        let forwards = self.position.is_some_and(|known| position <= known);
        if forwards {
            self.update_hub(hub, freshness, now);
        }
        forwards
    }

    fn update_hub(&mut self, hub: &InstanceId, freshness: Freshness, now: Now) {
        match self.hubs.get_mut(hub) {
            Some(known) => known.update(freshness, now),
            None => {
                self.hubs
                    .insert(hub.clone(), ForwardingHub::new(freshness, now));
            }
        }
    }

    /// Handles the changes after `after` up to `position`, forwarded by a hub.
    pub fn on_forwarded(
        &mut self,
        hub: &InstanceId,
        after: u64,
        position: u64,
        freshness: Freshness,
        now: Now,
    ) -> Continuity {
        self.update_hub(hub, freshness, now);
        let Some(known) = self.position else {
            return Continuity::Gap;
        };
        if position <= known {
            return Continuity::Known;
        }
        if after > known && self.guards.gap {
            self.gap = true;
            return Continuity::Gap;
        }
        self.position = Some(position);
        Continuity::Next
    }

    /// Records that a hub can't read the store, or is lost.
    pub fn remove_hub(&mut self, hub: &InstanceId) {
        self.hubs.remove(hub);
    }

    /// Returns whether some hub forwards what it reads and nothing is missing, so that no call of the store is due.
    /// Hubs forward each read, even one without rows, so a hub counts as lost once its copy is older than `age_max`.
    pub fn is_forwarded(&self, age_max: Duration, now: Now) -> bool {
        let forwards = self.forwarders(age_max, now).next().is_some();
        self.position.is_some() && !self.gap && forwards
    }

    /// Returns the hubs that forward what they read and whose copy is at most `age_max` old.
    pub fn forwarders(&self, age_max: Duration, now: Now) -> impl Iterator<Item = &InstanceId> {
        let hubs = self.hubs.iter().filter(move |(_, hub)| {
            now.saturating_sub(hub.complete_at) < age_max || !self.guards.staleness
        });
        hubs.map(|(hub, _)| hub)
    }

    /// Returns when the last hub counts as lost if no further message arrives.
    pub fn forwarded_until(&self, age_max: Duration) -> Now {
        let latest = self.hubs.values().map(|hub| hub.complete_at).max();
        latest.map_or(Now::ZERO, |complete_at| complete_at + age_max)
    }

    /// Returns the time since the table was last known to be complete, by a read of this entry or of a hub.
    pub fn age(&self, now: Now) -> Duration {
        now.saturating_sub(self.complete_at())
    }

    /// Returns what a message about this entry's copy states.
    pub fn freshness(&self, now: Now) -> Freshness {
        Freshness {
            complete_at: self.complete_at(),
            sent_at: now,
        }
    }

    /// Returns what a message with rows that this entry has read itself states. It must not repeat what the receivers
    /// stated: each way on which a message passes makes the table look fresher by the shortest delay of that way.
    pub fn read_freshness(&self, now: Now) -> Freshness {
        Freshness {
            complete_at: self.read_complete_at,
            sent_at: now,
        }
    }

    fn complete_at(&self) -> Now {
        let hubs = self.hubs.values().map(|hub| hub.complete_at);
        hubs.fold(self.read_complete_at, Now::max)
    }

    /// Returns whether rows are known to be missing.
    pub fn has_gap(&self) -> bool {
        self.gap
    }
}
