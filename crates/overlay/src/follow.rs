//! How far a table of the store was read.

use base::{
    InstanceId,
    Now, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// What keeps the reading whole; all are on but in tests that have to find what each prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Rows that begin after the position are not taken.
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

/// What to do with rows that a hub forwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Take them: they follow on what was read.
    Next,
    /// Nothing new.
    Known,
    /// Rows before them are missing: read those from the store.
    Gap,
}

/// Position in one table, and the hubs that forward what they read of it.
#[derive(Clone, Debug, Default)]
pub struct Follow {
    guards: Guards,
    /// All rows up to this version were read; `None` before the first whole table.
    position: Option<u64>,
    /// Rows are known to be missing.
    gap: bool,
    /// Hubs that forward, and when each did last.
    hubs: BTreeMap<InstanceId, Now>,
}

impl Follow {
    /// Nothing was read yet.
    pub fn new() -> Self {
        Self::with_guards(Guards::default())
    }

    /// The same with these guards.
    pub fn with_guards(guards: Guards) -> Self {
        Self {
            guards,
            position: None,
            gap: false,
            hubs: BTreeMap::new(),
        }
    }

    /// All rows up to this version were read; `None` before the first whole table.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Takes that the whole table was read at `position`.
    pub fn take_whole(&mut self, position: u64) {
        self.position = self.position.max(Some(position));
        self.gap = false;
    }

    /// Takes that the store gave all changes from the position to `position`.
    pub fn take_read(&mut self, position: u64) {
        self.position = self.position.max(Some(position));
        self.gap = false;
    }

    /// A hub says how far it has read; from then on it forwards what comes. A hub that is ahead of this entry doesn't
    /// count as forwarding, since it won't send what is missing here.
    pub fn take_position(&mut self, hub: &InstanceId, position: u64, now: Now) {
        if self.position.is_some_and(|known| position <= known) {
            self.hubs.insert(hub.clone(), now);
        }
    }

    /// A hub forwards the changes after `after` up to `position`.
    pub fn step(&mut self, hub: &InstanceId, after: u64, position: u64, now: Now) -> Step {
        self.hubs.insert(hub.clone(), now);
        let Some(known) = self.position else {
            return Step::Gap;
        };
        if position <= known {
            return Step::Known;
        }
        if after > known && self.guards.gap {
            self.gap = true;
            return Step::Gap;
        }
        self.position = Some(position);
        Step::Next
    }

    /// A hub can't read the store, or is lost.
    pub fn stop(&mut self, hub: &InstanceId) {
        self.hubs.remove(hub);
    }

    /// Whether some hub forwards what is read, and nothing is missing: no call of the store is due. Each reading is
    /// forwarded, also one without rows, so that a hub counts as lost after a `silence`.
    pub fn is_forwarded(&self, silence: Duration, now: Now) -> bool {
        let fresh = |at: &Now| now.saturating_sub(*at) < silence || !self.guards.silence;
        self.position.is_some() && !self.gap && self.hubs.values().any(fresh)
    }

    /// Whether rows are known to be missing.
    pub fn has_gap(&self) -> bool {
        self.gap
    }
}
