//! How far an entry has read a table of the store.

use base::{
    InstanceId,
    Now, //
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
    /// A hub that has been silent for too long no longer counts as forwarding.
    pub silence: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            gap: true,
            silence: true,
        }
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
    /// Hubs that forward, and when each last did.
    hubs: BTreeMap<InstanceId, Now>,
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
            hubs: BTreeMap::new(),
        }
    }

    /// Returns the version up to which all rows were read; `None` until the whole table was read once.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Records that the whole table was read at `position`.
    pub fn on_table_read(&mut self, position: u64) {
        self.position = self.position.max(Some(position));
        self.gap = false;
    }

    /// Records that all changes from the position up to `position` were read from the store.
    pub fn on_changes_read(&mut self, position: u64) {
        self.position = self.position.max(Some(position));
        self.gap = false;
    }

    /// Records how far a hub has read; from then on it forwards what it reads. A hub that is ahead of this entry does
    /// not count as forwarding, since it won't send what is missing here. Returns whether it counts.
    pub fn on_hub_position(&mut self, hub: &InstanceId, position: u64, now: Now) -> bool {
        let forwards = self.position.is_some_and(|known| position <= known);
        if forwards {
            self.hubs.insert(hub.clone(), now);
        }
        forwards
    }

    /// Handles the changes after `after` up to `position`, forwarded by a hub.
    pub fn on_forwarded(
        &mut self,
        hub: &InstanceId,
        after: u64,
        position: u64,
        now: Now,
    ) -> Continuity {
        self.hubs.insert(hub.clone(), now);
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
    /// Hubs forward each read, even one without rows, so a hub counts as lost after `silence`.
    pub fn is_forwarded(&self, silence: Duration, now: Now) -> bool {
        let forwards = self.forwarders(silence, now).next().is_some();
        self.position.is_some() && !self.gap && forwards
    }

    /// Returns the hubs that forward what they read, as of messages within `silence`.
    pub fn forwarders(&self, silence: Duration, now: Now) -> impl Iterator<Item = &InstanceId> {
        let hubs = self
            .hubs
            .iter()
            .filter(move |(_, at)| now.saturating_sub(**at) < silence || !self.guards.silence);
        hubs.map(|(hub, _)| hub)
    }

    /// Returns whether rows are known to be missing.
    pub fn has_gap(&self) -> bool {
        self.gap
    }
}
