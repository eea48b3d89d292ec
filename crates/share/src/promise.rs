//! Promises: what a member owes to others, and what others owe to it.
//!
//! A promise says: I am at your epoch, and until it runs out I shall not vouch, at any later epoch,
//! for your having lapsed. Whoever takes a surplus needs one to vouch for it who was in every row
//! the holder may be at; the holder needs the promise of all others in its row. So as long as all
//! promise, nobody can be found who helps to take.

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

/// Promises made.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Owed {
    until: BTreeMap<MemberId, Now>,
    answered: BTreeMap<MemberId, Now>,
}

impl Owed {
    /// Promises `to` in answer to the beat that it sent at `asked` of its own clock.
    pub(crate) fn grant(
        &mut self,
        to: &MemberId,
        asked: Now,
        now: Now,
        terms: &Terms,
        guards: &Guards,
    ) {
        let term = terms.with_drift(terms.promise_term, guards) + terms.outliving(guards);
        let until = self.until.entry(to.clone()).or_default();
        *until = (*until).max(now + term);
        let answered = self.answered.entry(to.clone()).or_default();
        *answered = (*answered).max(asked);
    }

    /// Whether a promise to `to` still runs.
    pub(crate) fn owes(&self, to: &MemberId, now: Now) -> bool {
        self.until.get(to).is_some_and(|until| now < *until)
    }

    /// Forgets what has run out.
    pub(crate) fn expire(&mut self, now: Now) {
        self.until.retain(|_, until| now < *until);
        let until = &self.until;
        self.answered.retain(|to, _| until.contains_key(to));
    }

    /// Everybody who is owed a promise.
    pub(crate) fn all(&self, now: Now) -> BTreeSet<MemberId> {
        self.until
            .iter()
            .filter(|(_, until)| now < **until)
            .map(|(to, _)| to.clone())
            .collect()
    }

    /// Latest beat of each other member that was answered with a promise.
    pub(crate) fn answered(&self) -> &BTreeMap<MemberId, Now> {
        &self.answered
    }
}

/// End of a promise that answers the beat sent at `asked`.
///
/// The answer may be late, so the time of its arrival says nothing of when the promise was made.
pub(crate) fn promise_end(asked: Now, now: Now, terms: &Terms, guards: &Guards) -> Now {
    let from = if guards.promise_from_ask { asked } else { now };
    from + terms.promise_term
}
