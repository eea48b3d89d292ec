//! Leases of one entry, and which claims are due.

use base::{
    Now,
    UpstreamId, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// How long leases last, and how entries take turns.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a lease lasts.
    pub length: Duration,
    /// Time that has to pass after its end before another entry may hold it: what was done last counts together
    /// with what is done first.
    pub gap: Duration,
    /// How much later each next entry in the order claims, unless it heard of a holder.
    pub turn: Duration,
    /// Time after which a claim whose outcome isn't known is made once more.
    pub retry: Duration,
}

/// What keeps a lease exclusive; all are on but in tests that have to find what each prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A lease begins when its claim was asked for, not when it was answered.
    pub from_asked: bool,
    /// Others wait for the gap, too.
    pub gap: bool,
    /// A claim holds only if the row is as it was read.
    pub condition: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            from_asked: true,
            gap: true,
            condition: true,
        }
    }
}

/// Something that a lease is wanted of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Upstream.
    pub subject: UpstreamId,
    /// How many entries go before this one.
    pub order: u32,
}

/// A row to write, on the condition that it is as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Upstream.
    pub subject: UpstreamId,
    /// Version that the row must have; `None` if there must be none.
    pub read: Option<u64>,
}

/// What a row was found to be when a claim was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Upstream.
    pub subject: UpstreamId,
    /// Version of its row; `None` if there is none.
    pub version: Option<u64>,
}

/// A lease that this entry holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    until: Now,
}

/// A row that another entry, or a former process of this one, has written.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    at: Now,
}

/// What is known of one subject.
#[derive(Clone, Debug)]
struct Known {
    order: u32,
    wanted: bool,
    wanted_since: Now,
    held: Option<Held>,
    seen: Option<Seen>,
    /// When another entry last said that it holds it.
    told_at: Option<Now>,
    /// When it was last claimed, unless the outcome of that is known.
    asked_at: Option<Now>,
}

/// Leases of one entry.
#[derive(Clone, Debug)]
pub struct Leases {
    terms: Terms,
    guards: Guards,
    known: BTreeMap<UpstreamId, Known>,
}

impl Leases {
    /// None yet.
    pub fn new(terms: Terms) -> Self {
        Self::with_guards(terms, Guards::default())
    }

    /// None yet, with these guards.
    pub fn with_guards(terms: Terms, guards: Guards) -> Self {
        Self {
            terms,
            guards,
            known: BTreeMap::new(),
        }
    }

    /// Takes of what leases are wanted from now on. Those held are kept until they run out.
    pub fn want(&mut self, wanted: impl IntoIterator<Item = Wanted>, now: Now) {
        for known in self.known.values_mut() {
            known.wanted = false;
        }
        for Wanted { subject, order } in wanted {
            let known = self.known.entry(subject).or_insert_with(|| Known::new(now));
            if !known.wanted && !known.is_held(now) {
                known.wanted_since = now;
            }
            known.order = order;
            known.wanted = true;
        }
        let remembered = self.terms.length + self.terms.gap;
        self.known.retain(|_, known| {
            let kept_from = [
                known.held.map(|held| held.until),
                known.seen.map(|seen| seen.at),
                known.asked_at,
            ];
            let fresh = |at: Now| now < at + remembered;
            known.wanted || kept_from.into_iter().flatten().any(fresh)
        });
    }

    /// Claims that are due, `most` of them at most; they count as asked for at `now`.
    pub fn due(&mut self, most: usize, now: Now) -> Vec<Claim> {
        let (terms, guards) = (self.terms, self.guards);
        let due = self
            .known
            .iter_mut()
            .filter(|(_, known)| known.is_due(&terms, &guards, now));
        due.take(most)
            .map(|(subject, known)| {
                known.asked_at = Some(now);
                Claim {
                    subject: subject.clone(),
                    read: known.version(),
                }
            })
            .collect()
    }

    /// Claims that were asked for at `asked_at` were all written, by this version, as is known at `now`.
    pub fn granted(&mut self, claims: &[Claim], version: u64, asked_at: Now, now: Now) {
        let from = if self.guards.from_asked {
            asked_at
        } else {
            now
        };
        for claim in claims {
            if let Some(known) = self.known.get_mut(&claim.subject) {
                known.asked_at = None;
                known.seen = None;
                known.held = Some(Held {
                    version,
                    until: from + self.terms.length,
                });
            }
        }
    }

    /// Claims were refused together, and nothing was written: some of their rows are not as they were read.
    pub fn refused(&mut self, rows: &[Standing], now: Now) {
        for row in rows {
            if let Some(known) = self.known.get_mut(&row.subject) {
                known.asked_at = None;
                known.take_standing(row.version, now);
            }
        }
    }

    /// Another entry said that it holds these.
    pub fn heard(&mut self, subjects: &[UpstreamId], now: Now) {
        for subject in subjects {
            if let Some(known) = self.known.get_mut(subject) {
                known.told_at = Some(now);
            }
        }
    }

    /// Until when this entry holds the lease of a subject; `None` if it doesn't.
    pub fn held_until(&self, subject: &str, now: Now) -> Option<Now> {
        let held = self.known.get(subject)?.held?;
        (now < held.until).then_some(held.until)
    }

    /// Those that this entry holds.
    pub fn held(&self, now: Now) -> impl Iterator<Item = &UpstreamId> {
        let held = self.known.iter();
        held.filter(move |(_, known)| known.is_held(now))
            .map(|(subject, _)| subject)
    }
}

impl Known {
    fn new(now: Now) -> Self {
        Self {
            order: 0,
            wanted: false,
            wanted_since: now,
            held: None,
            seen: None,
            told_at: None,
            asked_at: None,
        }
    }

    fn is_held(&self, now: Now) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    /// Version of the row, as far as this entry knows.
    fn version(&self) -> Option<u64> {
        let held = self.held.map(|held| held.version);
        let seen = self.seen.map(|seen| seen.version);
        held.max(seen)
    }

    fn take_standing(&mut self, version: Option<u64>, now: Now) {
        let Some(version) = version else {
            // Its row was removed, long after the lease ran out.
            self.held = None;
            self.seen = None;
            return;
        };
        if self.held.is_some_and(|held| held.version == version) {
            return;
        }
        // Also one of this entry's own writes whose answer was lost: what it promised counts as another's.
        self.held = None;
        if self.seen.is_none_or(|seen| seen.version != version) {
            self.seen = Some(Seen { version, at: now });
        }
    }

    fn is_due(&self, terms: &Terms, guards: &Guards, now: Now) -> bool {
        let asked_lately = self.asked_at.is_some_and(|at| now < at + terms.retry);
        if !self.wanted || asked_lately {
            return false;
        }
        if let Some(held) = self.held {
            // Renewed at half its time.
            return now + terms.length / 2 >= held.until;
        }
        let gap = if guards.gap {
            terms.gap
        } else {
            Duration::ZERO
        };
        let wait = terms.length + gap;
        if let Some(seen) = self.seen {
            return now >= seen.at + wait || !guards.condition;
        }
        let told = self.told_at.is_some_and(|at| now < at + wait);
        !told && now >= self.wanted_since + terms.turn * self.order
    }
}
