//! Accessors of a member's state: its limits, and its progress within the epoch.

use crate::{
    lease::OwnLease,
    member::Member,
    message::Limits,
    row::{
        min_amounts,
        total,
        within,
        Amounts,
        AmountsDisplay,
        MemberId,
        ResourceId,
        Row, //
    },
};
use base::{
    Epoch,
    Now, //
};
use std::{
    fmt,
    sync::Arc, //
};

impl Member {
    /// Returns what traffic threads may use until the next update.
    pub fn limits(&self) -> Limits {
        let Some(lease) = self.lease.filter(|_| !self.dead && !self.leaving) else {
            return Limits::default();
        };
        Limits {
            full: self.held.clone(),
            full_until: self.protected_until(),
            floor: min_amounts(&self.held, &self.floor()),
            floor_until: lease.long_end(&self.terms),
        }
    }

    /// Returns the tokens of `resource` that may be used at `now`.
    pub fn usable(&self, resource: &ResourceId, now: Now) -> u32 {
        self.limits().at(resource, now)
    }

    /// Returns the adopted epoch; zero before the first.
    pub fn epoch(&self) -> Epoch {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }

    /// Returns the adopted row.
    pub fn row(&self) -> Option<&Arc<Row>> {
        self.row.as_ref()
    }

    /// Returns the tokens held; not all of them may be usable.
    pub fn held(&self) -> &Amounts {
        &self.held
    }

    /// Returns this member's id.
    pub fn id(&self) -> &MemberId {
        &self.own_id
    }

    /// Returns whether the whole allotment of the epoch is held.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Returns whether its lease has expired; the daemon then starts a new member with a higher
    /// incarnation.
    pub fn is_dead(&self, now: Now) -> bool {
        let lapsed = |lease: OwnLease| now >= lease.long_end(&self.terms);
        self.dead || self.lease.is_some_and(lapsed)
    }

    /// Returns whether a planned stop is complete: nothing is in flight and nothing is held any
    /// more.
    pub fn is_released(&self) -> bool {
        self.leaving && self.in_flight_fresh && total(&self.in_flight) == 0
    }

    /// Returns whether this member's use is within its allotment of the adopted epoch.
    pub fn acked(&self) -> bool {
        let counted = !self.guards.ack_in_flight
            || (self.in_flight_fresh && within(&self.in_flight, &self.held));
        self.row.as_ref().is_some_and(|row| self.is_listed(row)) && counted
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} epoch {}", self.own_id, self.epoch())?;
        write!(f, " holds {}", AmountsDisplay(&self.held))?;
        write!(f, " in flight {}", AmountsDisplay(&self.in_flight))?;
        let flags = [
            ("settled", self.settled),
            ("acked", self.acked()),
            ("leaving", self.leaving),
            ("dead", self.dead),
        ];
        for (name, _) in flags.iter().filter(|(_, on)| *on) {
            write!(f, " {name}")?;
        }
        Ok(())
    }
}
