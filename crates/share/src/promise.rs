//! Promises between members.
//!
//! The maker of a promise is at the holder's epoch and, until the promise runs out, won't attest at
//! any later epoch that the holder's lease has lapsed. Reclaiming a surplus needs a witness that
//! was in every row that the holder may be at; the holder needs the promises of all others in its
//! row. So while all of them promise, no witness can be found.

use crate::{
    row::MemberId,
    terms::{
        Guards,
        Terms, //
    },
};
use base::Now;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Promises made to other members.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct PromisesMade {
    until: BTreeMap<MemberId, Now>,
    answered: BTreeMap<MemberId, Now>,
}

impl PromisesMade {
    /// Makes a promise to `member` in answer to its heartbeat, sent at `asked` of its own clock.
    pub(crate) fn grant(
        &mut self,
        member: &MemberId,
        asked: Now,
        now: Now,
        terms: &Terms,
        guards: &Guards,
    ) {
        let term = terms.with_drift(terms.promise_term, guards) + terms.grace_allowance(guards);
        let until = self.until.entry(member.clone()).or_default();
        *until = (*until).max(now + term);
        let answered = self.answered.entry(member.clone()).or_default();
        *answered = (*answered).max(asked);
    }

    /// Returns whether a promise to `member` still runs.
    pub(crate) fn covers(&self, member: &MemberId, now: Now) -> bool {
        self.until.get(member).is_some_and(|until| now < *until)
    }

    /// Drops promises that have run out.
    pub(crate) fn expire(&mut self, now: Now) {
        self.until.retain(|_, until| now < *until);
        let until = &self.until;
        self.answered.retain(|member, _| until.contains_key(member));
    }

    /// Returns the members with a promise that still runs.
    pub(crate) fn active(&self, now: Now) -> BTreeSet<MemberId> {
        self.until
            .iter()
            .filter(|(_, until)| now < **until)
            .map(|(member, _)| member.clone())
            .collect()
    }

    /// Returns the time of the latest heartbeat of each member that was answered with a promise.
    pub(crate) fn answered(&self) -> &BTreeMap<MemberId, Now> {
        &self.answered
    }
}

/// Returns the end of a promise that answers the heartbeat sent at `asked`.
///
/// The answer may be late, so its time of arrival does not tell when the promise was made.
pub(crate) fn promise_end(asked: Now, now: Now, terms: &Terms, guards: &Guards) -> Now {
    let from = if guards.promise_from_request {
        asked
    } else {
        now
    };
    from + terms.promise_term
}
