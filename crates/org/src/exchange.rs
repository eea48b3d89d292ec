//! Exchange of demand between entries, and the parts of the limits that follow from it.
//!
//! A leaf reports its demand to one hub. Hubs send each other the sums over themselves and their leaves, and send their
//! leaves the sum over all entries.

use crate::demand::{
    Demand,
    DemandKey,
    DemandMessage,
    DemandSum,
    Demands, //
};
use base::{
    FastMap,
    InstanceId,
    Now, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Time for which the part of an entry that can't be reached is reserved, and for which such an entry uses it.
const HOLD: Duration = Duration::from_secs(20);
/// Time without a message of a hub after which a leaf no longer follows the fleet's demand.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(800);
/// Fraction of all entries that has to be covered for the demand to count as the fleet's.
const COVERAGE_MIN: f64 = 0.5;

/// Mechanisms that keep all entries together within the limit. All are enabled except in tests that show what each of
/// them prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// The parts of entries that can't be reached are reserved.
    pub reserve: bool,
    /// Entries whose demand is unknown have one entry's share each.
    pub coverage: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            reserve: true,
            coverage: true,
        }
    }
}

/// Part of a limit that one entry may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Fraction of the limit.
    pub fraction: f64,
    /// Demand of all entries.
    pub fleet: Demand,
}

/// Parts of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parts {
    /// Parts of the organisations that have any demand.
    pub by_key: FastMap<DemandKey, Part>,
    /// Whether they follow the fleet's current demand.
    pub current: bool,
    /// Fraction of a limit that is one entry's share if all entries have the same.
    pub equal: f64,
}

/// An entry or hub that can't be reached.
#[derive(Clone, Debug)]
struct Lost {
    at: Now,
    was_leaf: bool,
    /// Its parts of the limits, as reserved demands.
    sum: DemandSum,
}

/// What one entry knows of the demand of all.
#[derive(Clone, Debug)]
pub struct Exchange {
    guards: Guards,
    /// Number of entries that may be sending; `None` until it is known.
    entries: Option<usize>,
    /// Demand of this entry's callers.
    own: Demands,
    leaves: BTreeMap<InstanceId, DemandSum>,
    hubs: BTreeMap<InstanceId, DemandSum>,
    lost: BTreeMap<InstanceId, Lost>,
    /// Demand of all entries, as this leaf's hub sent it.
    fleet: Option<DemandSum>,
    /// Time of the last message of that hub.
    contact_at: Option<Now>,
    /// Parts when the fleet's demand was last known.
    last: Option<(Now, Parts)>,
}

impl Default for Exchange {
    fn default() -> Self {
        Self::with_guards(Guards::default())
    }
}

impl Exchange {
    /// Creates the state of an entry that knows no demand.
    pub fn with_guards(guards: Guards) -> Self {
        Self {
            guards,
            entries: None,
            own: Demands::default(),
            leaves: BTreeMap::new(),
            hubs: BTreeMap::new(),
            lost: BTreeMap::new(),
            fleet: None,
            contact_at: None,
            last: None,
        }
    }

    /// Sets the number of entries that may be sending, this one included.
    pub fn set_entries(&mut self, entries: Option<usize>) {
        self.entries = entries;
    }

    /// Sets the demand of this entry's callers.
    pub fn set_own(&mut self, own: Demands) {
        self.own = own;
    }

    /// Handles a leaf's message to this hub.
    pub fn on_leaf(&mut self, leaf: &InstanceId, message: &DemandMessage) {
        self.lost.remove(leaf);
        let sum = self.leaves.entry(leaf.clone()).or_default();
        sum.apply(message);
    }

    /// Handles another hub's message about itself and its leaves.
    pub fn on_hub(&mut self, hub: &InstanceId, message: &DemandMessage) {
        self.lost.remove(hub);
        let sum = self.hubs.entry(hub.clone()).or_default();
        sum.apply(message);
    }

    /// Handles a message of this leaf's hub about all entries.
    pub fn on_fleet(&mut self, message: &DemandMessage, now: Now) {
        let sum = self.fleet.get_or_insert_default();
        sum.apply(message);
        self.contact_at = Some(now);
    }

    /// Records any message of this leaf's hub.
    pub fn note_contact(&mut self, now: Now) {
        self.contact_at = Some(now);
    }

    /// Forgets what another hub sent when this entry was its leaf.
    pub fn forget_fleet(&mut self) {
        self.fleet = None;
    }

    /// Drops the reports of entries that report to another hub now, and reserves the parts of those that can't be
    /// reached.
    pub fn sweep(
        &mut self,
        is_up: impl Fn(&InstanceId) -> bool,
        reports_here: impl Fn(&InstanceId) -> bool,
        is_hub: impl Fn(&InstanceId) -> bool,
        now: Now,
    ) {
        self.lost
            .retain(|instance, lost| !is_up(instance) && now < lost.at + HOLD);
        let is_lost = |instance: &InstanceId| !is_up(instance);
        let (leaves, hubs) = (self.leaves.keys(), self.hubs.keys());
        if leaves.chain(hubs).any(is_lost) {
            let total = self.fleet_sum();
            let leaves = self.leaves.iter().map(|entry| (entry, true));
            let hubs = self.hubs.iter().map(|entry| (entry, false));
            for ((instance, sum), was_leaf) in leaves.chain(hubs) {
                if is_lost(instance) && self.guards.reserve {
                    let lost = Lost {
                        at: now,
                        was_leaf,
                        sum: reserved(sum, &total, self.equal()),
                    };
                    self.lost.insert(instance.clone(), lost);
                }
            }
        }
        self.leaves
            .retain(|leaf, _| is_up(leaf) && reports_here(leaf));
        self.hubs.retain(|hub, _| is_up(hub) && is_hub(hub));
    }

    /// Returns the demand of this entry's callers, which a leaf sends to its hub.
    pub fn own_sum(&self) -> DemandSum {
        DemandSum {
            covered: 1,
            demands: self.own.clone(),
        }
    }

    /// Returns the parts of the limits that this entry may use.
    pub fn parts(&mut self, is_hub: bool, now: Now) -> Parts {
        let computed = if is_hub {
            Some(self.parts_of(&self.fleet_sum()))
        } else {
            let in_contact = self
                .contact_at
                .is_some_and(|at| now.saturating_sub(at) <= CONTACT_TIMEOUT);
            let fleet = self.fleet.as_ref().filter(|_| in_contact);
            fleet.map(|fleet| self.parts_of(fleet))
        };
        let equal = self.equal();
        match (computed, &self.last) {
            (Some(parts), _) if parts.current => {
                self.last = Some((now, parts.clone()));
                parts
            }
            // Other entries reserve these parts for as long.
            (_, Some((at, last))) if now.saturating_sub(*at) < HOLD => Parts {
                by_key: last.by_key.clone(),
                current: false,
                equal,
            },
            (computed, _) => computed.unwrap_or(Parts {
                equal,
                ..Parts::default()
            }),
        }
    }

    /// Returns the parts that follow from the demand of all entries.
    fn parts_of(&self, fleet: &DemandSum) -> Parts {
        let coverage = self.coverage(fleet);
        let parts = fleet.demands.iter().map(|(key, demand)| {
            let own = self.own.get(key).copied().unwrap_or_default();
            let fleet = Demand {
                per_s: demand.per_s.max(own.per_s),
                used: demand.used.max(own.used),
                // The entries that are not covered count as if they could not be reached.
                reserved: 1.0 - (1.0 - demand.reserved).max(0.0) * coverage,
            };
            let fraction = fraction(&own, &fleet);
            (*key, Part { fraction, fleet })
        });
        Parts {
            by_key: parts.collect(),
            current: coverage >= COVERAGE_MIN,
            equal: self.equal(),
        }
    }

    /// Returns the fraction of all entries whose demand is known or reserved.
    fn coverage(&self, fleet: &DemandSum) -> f64 {
        if !self.guards.coverage {
            return 1.0;
        }
        let entries = self.entries.unwrap_or(usize::MAX);
        (f64::from(fleet.covered) / entries as f64).min(1.0)
    }

    fn equal(&self) -> f64 {
        self.entries
            .map_or(0.0, |entries| 1.0 / entries.max(1) as f64)
    }

    /// Returns the demand of this hub and its leaves, which it sends to the other hubs.
    pub fn domain_sum(&self) -> DemandSum {
        let mut sum = self.own_sum();
        for leaf in self.leaves.values() {
            sum.add(leaf);
        }
        for lost in self.lost.values().filter(|lost| lost.was_leaf) {
            sum.add(&lost.sum);
        }
        sum
    }

    /// Returns the demand of all entries, which this hub sends to its leaves.
    pub fn fleet_sum(&self) -> DemandSum {
        let mut sum = self.domain_sum();
        for hub in self.hubs.values() {
            sum.add(hub);
        }
        for lost in self.lost.values().filter(|lost| !lost.was_leaf) {
            sum.add(&lost.sum);
        }
        sum
    }
}

/// Returns the fraction of a limit that some entries get by what they have admitted.
fn fraction(demand: &Demand, fleet: &Demand) -> f64 {
    if fleet.used <= 0.0 {
        return 0.0;
    }
    (1.0 - fleet.reserved).max(0.0) * (demand.used / fleet.used).min(1.0)
}

/// Returns the parts of the limits that the entries behind a report may use on their own, as reserved demands. Each
/// entry may use an equal share even if it had no demand before.
fn reserved(sum: &DemandSum, fleet: &DemandSum, equal: f64) -> DemandSum {
    let demands = fleet.demands.iter().map(|(key, fleet)| {
        let demand = sum.demands.get(key).copied().unwrap_or_default();
        let reserved = Demand {
            reserved: fraction(&demand, fleet).max(equal) + demand.reserved,
            ..Demand::default()
        };
        (*key, reserved)
    });
    DemandSum {
        covered: sum.covered,
        demands: demands.collect(),
    }
}
