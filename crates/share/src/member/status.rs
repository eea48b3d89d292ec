//! What a member says of itself: what may be used, and how far it is.

use crate::{
    lease::OwnLease,
    member::Member,
    message::Limits,
    row::{
        least,
        total,
        within,
        Amounts,
        Listed,
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
    /// What traffic threads may use until told otherwise.
    pub fn limits(&self) -> Limits {
        let Some(lease) = self.lease.filter(|_| !self.dead && !self.leaving) else {
            return Limits::default();
        };
        Limits {
            full: self.held.clone(),
            full_until: self.protected_until(),
            floor: least(&self.held, &self.floor()),
            floor_until: lease.long_end(&self.terms),
        }
    }

    /// Tokens of `resource` that may be used at `now`.
    pub fn usable(&self, resource: &ResourceId, now: Now) -> u32 {
        self.limits().at(resource, now)
    }

    /// Epoch adopted; zero before the first.
    pub fn epoch(&self) -> Epoch {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }

    /// Row adopted.
    pub fn row(&self) -> Option<&Arc<Row>> {
        self.row.as_ref()
    }

    /// Tokens held; not all may be usable.
    pub fn held(&self) -> &Amounts {
        &self.held
    }

    /// Who this is.
    pub fn id(&self) -> &MemberId {
        &self.me
    }

    /// Whether the whole allotment of the epoch is held.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether it lapsed for good: start a new member under a higher incarnation.
    pub fn is_dead(&self, now: Now) -> bool {
        let lapsed = |lease: OwnLease| now >= lease.long_end(&self.terms);
        self.dead || self.lease.is_some_and(lapsed)
    }

    /// Whether a planned stop is complete: nothing is in flight and nothing is held any more.
    pub fn is_released(&self) -> bool {
        self.leaving && self.in_flight_fresh && total(&self.in_flight) == 0
    }

    /// Whether the own use is within the allotment of the adopted epoch.
    pub fn acked(&self) -> bool {
        let counted = !self.guards.ack_in_flight
            || (self.in_flight_fresh && within(&self.in_flight, &self.held));
        self.row.as_ref().is_some_and(|row| self.is_listed(row)) && counted
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} epoch {}", self.me, self.epoch())?;
        write!(f, " holds {}", Listed(&self.held))?;
        write!(f, " in flight {}", Listed(&self.in_flight))?;
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
