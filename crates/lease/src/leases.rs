//! Leases of one entry, and the claims that it has to write.

use base::{
    Now,
    UpstreamId, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Durations that govern leases.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Duration of a lease.
    pub length: Duration,
    /// Time between the end of a lease and the next entry's, because the previous holder's last requests count towards
    /// the same limit as the next holder's first.
    pub gap: Duration,
    /// Delay of a claim per entry that precedes the claimant. An entry that learns of a holder does not claim.
    pub claim_stagger: Duration,
    /// Time after which a claim with an unknown outcome is repeated.
    pub retry_delay: Duration,
}

/// Mechanisms that keep a lease exclusive. All are enabled except in tests that show what each of them prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A lease begins when its claim is requested, not when it is answered.
    pub start_at_request: bool,
    /// Other entries wait for [`Terms::gap`] as well.
    pub gap: bool,
    /// A claim succeeds only if the row is unchanged since it was read.
    pub conditional_write: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            start_at_request: true,
            gap: true,
            conditional_write: true,
        }
    }
}

/// Subject whose lease is wanted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// Upstream.
    pub subject: UpstreamId,
    /// Number of entries that precede this one.
    pub order: u32,
}

/// Row to write, on the condition that it is unchanged since it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Upstream.
    pub subject: UpstreamId,
    /// Version that the row must have; `None` if the row must not exist.
    pub expected_version: Option<u64>,
}

/// State of a row when a claim was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowState {
    /// Upstream.
    pub subject: UpstreamId,
    /// Version of its row; `None` if the row does not exist.
    pub version: Option<u64>,
}

/// Lease that this entry holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    version: u64,
    until: Now,
}

/// Row version written by another entry or by a previous process of this one.
#[derive(Clone, Copy, Debug)]
struct Observed {
    version: u64,
    /// Time at which the version was first observed.
    at: Now,
}

/// State of one subject.
#[derive(Clone, Debug)]
struct SubjectState {
    order: u32,
    wanted: bool,
    wanted_since: Now,
    held: Option<Held>,
    observed: Option<Observed>,
    /// Time at which another entry last stated that it holds the lease.
    held_elsewhere_at: Option<Now>,
    /// Time of the last claim, if its outcome is unknown.
    requested_at: Option<Now>,
}

/// Leases of one entry.
#[derive(Clone, Debug)]
pub struct Leases {
    terms: Terms,
    guards: Guards,
    states: BTreeMap<UpstreamId, SubjectState>,
}

impl Leases {
    /// Returns an instance that holds no lease.
    pub fn new(terms: Terms) -> Self {
        Self::with_guards(terms, Guards::default())
    }

    /// Returns an instance that holds no lease and uses these guards.
    pub fn with_guards(terms: Terms, guards: Guards) -> Self {
        Self {
            terms,
            guards,
            states: BTreeMap::new(),
        }
    }

    /// Replaces the set of subjects whose leases are wanted. Leases of other subjects are kept until they expire.
    pub fn set_wanted(&mut self, wanted: impl IntoIterator<Item = Wanted>, now: Now) {
        for state in self.states.values_mut() {
            state.wanted = false;
        }
        for Wanted { subject, order } in wanted {
            let state = self
                .states
                .entry(subject)
                .or_insert_with(|| SubjectState::new(now));
            if !state.wanted && !state.is_held(now) {
                state.wanted_since = now;
            }
            state.order = order;
            state.wanted = true;
        }
        let retention = self.terms.length + self.terms.gap;
        self.states.retain(|_, state| {
            let last_events = [
                state.held.map(|held| held.until),
                state.observed.map(|observed| observed.at),
                state.requested_at,
            ];
            let is_recent = |at: Now| now < at + retention;
            state.wanted || last_events.into_iter().flatten().any(is_recent)
        });
    }

    /// Returns at most `max` claims that are due, and records that they are requested at `now`.
    pub fn take_due(&mut self, max: usize, now: Now) -> Vec<Claim> {
        let (terms, guards) = (self.terms, self.guards);
        let due = self
            .states
            .iter_mut()
            .filter(|(_, state)| state.is_due(&terms, &guards, now));
        due.take(max)
            .map(|(subject, state)| {
                state.requested_at = Some(now);
                Claim {
                    subject: subject.clone(),
                    expected_version: state.version(),
                }
            })
            .collect()
    }

    /// Records that claims requested at `requested_at` were all written, with this version. `now` is the time of the
    /// answer.
    pub fn granted(&mut self, claims: &[Claim], version: u64, requested_at: Now, now: Now) {
        let start = if self.guards.start_at_request {
            requested_at
        } else {
            now
        };
        for claim in claims {
            if let Some(state) = self.states.get_mut(&claim.subject) {
                state.requested_at = None;
                state.observed = None;
                state.held = Some(Held {
                    version,
                    until: start + self.terms.length,
                });
            }
        }
    }

    /// Records that claims were refused together because some of their rows had changed; none was written.
    pub fn refused(&mut self, rows: &[RowState], now: Now) {
        for row in rows {
            if let Some(state) = self.states.get_mut(&row.subject) {
                state.requested_at = None;
                state.note_row(row.version, now);
            }
        }
    }

    /// Records that another entry stated that it holds the leases of these subjects.
    pub fn note_held_elsewhere(&mut self, subjects: &[UpstreamId], now: Now) {
        for subject in subjects {
            if let Some(state) = self.states.get_mut(subject) {
                state.held_elsewhere_at = Some(now);
            }
        }
    }

    /// Returns the end of this entry's lease of a subject, or `None` if it does not hold one.
    pub fn held_until(&self, subject: &str, now: Now) -> Option<Now> {
        let held = self.states.get(subject)?.held?;
        (now < held.until).then_some(held.until)
    }

    /// Returns the subjects whose leases this entry holds.
    pub fn held(&self, now: Now) -> impl Iterator<Item = &UpstreamId> {
        let held = self.states.iter();
        held.filter(move |(_, state)| state.is_held(now))
            .map(|(subject, _)| subject)
    }
}

impl SubjectState {
    fn new(now: Now) -> Self {
        Self {
            order: 0,
            wanted: false,
            wanted_since: now,
            held: None,
            observed: None,
            held_elsewhere_at: None,
            requested_at: None,
        }
    }

    fn is_held(&self, now: Now) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    /// Returns the last known version of the row.
    fn version(&self) -> Option<u64> {
        let held = self.held.map(|held| held.version);
        let observed = self.observed.map(|observed| observed.version);
        held.max(observed)
    }

    fn note_row(&mut self, version: Option<u64>, now: Now) {
        let Some(version) = version else {
            // The row was removed, which happens long after the lease has expired.
            self.held = None;
            self.observed = None;
            return;
        };
        if self.held.is_some_and(|held| held.version == version) {
            return;
        }
        // This may also be a write by this entry whose answer was lost; it is treated as another entry's.
        self.held = None;
        if self
            .observed
            .is_none_or(|observed| observed.version != version)
        {
            self.observed = Some(Observed { version, at: now });
        }
    }

    fn is_due(&self, terms: &Terms, guards: &Guards, now: Now) -> bool {
        let requested_recently = self
            .requested_at
            .is_some_and(|at| now < at + terms.retry_delay);
        if !self.wanted || requested_recently {
            return false;
        }
        if let Some(held) = self.held {
            // A lease is renewed after half of its duration.
            return now + terms.length / 2 >= held.until;
        }
        let gap = if guards.gap {
            terms.gap
        } else {
            Duration::ZERO
        };
        let wait = terms.length + gap;
        if let Some(observed) = self.observed {
            return now >= observed.at + wait || !guards.conditional_write;
        }
        let is_held_elsewhere = self.held_elsewhere_at.is_some_and(|at| now < at + wait);
        !is_held_elsewhere && now >= self.wanted_since + terms.claim_stagger * self.order
    }
}
