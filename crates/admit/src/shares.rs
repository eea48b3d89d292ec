//! Shares of organisations in the grants of a service.

use crate::decaying::DecayingRate;
use base::{
    FastMap,
    Now,
    OrganisationId, //
};
use std::time::Duration;

/// Time over which an organisation's usual number of requests is averaged, longer than a surge.
const USUAL_TIME: Duration = Duration::from_secs(60);
/// Time over which recent requests and grants are averaged.
const RECENT_TIME: Duration = Duration::from_secs(2);
/// Requests per second that count as usual of an organisation with fewer.
const USUAL_PER_S_MIN: f64 = 0.05;
/// Ratio of recent to usual requests up to which the recent ones count as usual, so that the usual number grows slowly during
/// a surge.
const GROWTH_MAX: f64 = 2.0;
/// Time after an organisation's first request from which its usual number counts as known.
const KNOWN_AFTER: Duration = Duration::from_secs(10);
/// Number of organisations from which those without recent requests are forgotten.
const ORGANISATIONS_MAX: usize = 1024;

/// Organisation of a request; `None` for those without one, which count as one organisation.
type Key = Option<OrganisationId>;

/// Requests and grants of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    first_request: Now,
    /// Requests, without what exceeds the usual number by far.
    usual: DecayingRate,
    requests: DecayingRate,
    grants: DecayingRate,
}

impl Usage {
    fn note_request(&mut self, now: Now) {
        self.requests.note(1.0, RECENT_TIME, now);
        let recent = self.requests.per_s(RECENT_TIME, now);
        let is_known = now.saturating_sub(self.first_request) >= KNOWN_AFTER;
        let counted_max = GROWTH_MAX * self.usual_per_s(now).max(USUAL_PER_S_MIN);
        let weight = if is_known {
            (counted_max / recent).min(1.0)
        } else {
            1.0
        };
        self.usual.note(weight, USUAL_TIME, now);
    }

    /// Returns the usual requests per second. The average covers the time since the first request, plus the time over which a
    /// single one counts.
    fn usual_per_s(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.first_request) + RECENT_TIME;
        let covered = 1.0 - (-age.as_secs_f64() / USUAL_TIME.as_secs_f64()).exp();
        self.usual.per_s(USUAL_TIME, now) / covered
    }
}

/// What each organisation usually asks for, and what it was recently granted.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    usages: FastMap<Key, Usage>,
}

impl Shares {
    /// Counts a request of an organisation.
    pub fn note_request(&mut self, organisation: &Key, now: Now) {
        if self.usages.len() >= ORGANISATIONS_MAX && !self.usages.contains_key(organisation) {
            self.forget_idle(now);
        }
        let usage = self.usages.entry(organisation.clone());
        let usage = usage.or_insert_with(|| Usage {
            first_request: now,
            ..Usage::default()
        });
        usage.note_request(now);
    }

    /// Counts a grant to an organisation.
    pub fn note_grant(&mut self, organisation: &Key, now: Now) {
        if let Some(usage) = self.usages.get_mut(organisation) {
            usage.grants.note(1.0, RECENT_TIME, now);
        }
    }

    /// Returns the recent grants of an organisation relative to its usual requests. Of several organisations, the one with
    /// the smallest value goes first.
    pub fn used(&self, organisation: &Key, now: Now) -> f64 {
        self.usages.get(organisation).map_or(0.0, |usage| {
            let usual = usage.usual_per_s(now).max(USUAL_PER_S_MIN);
            usage.grants.per_s(RECENT_TIME, now) / usual
        })
    }

    /// Forgets the organisations without recent requests, or all if there are none.
    fn forget_idle(&mut self, now: Now) {
        self.usages
            .retain(|_, usage| usage.usual.per_s(USUAL_TIME, now) > USUAL_PER_S_MIN);
        if self.usages.len() >= ORGANISATIONS_MAX {
            self.usages.clear();
        }
    }
}
