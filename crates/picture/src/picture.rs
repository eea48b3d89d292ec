//! The picture, and how it applies updates.
//!
//! They come from the store's feeds or, when those are cut off, from other entries that still hear
//! the store. Both carry the version of the row that they are of; older updates change nothing, so the
//! order in which they arrive doesn't matter.

use crate::update::{
    Evacuation,
    ListedUpstream,
    Reach,
    UpstreamUpdate, //
};
use base::{
    DomainId,
    FastSet,
    Now,
    UpstreamId,
    Version, //
};
use route::Routes;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

/// How long an upstream whose row went missing around an outage of the store stays open: rows that
/// expired meanwhile are written again within about two seconds of its return.
const MISSING_GRACE: Duration = Duration::from_millis(1500);
/// How long a removed row's version is remembered, so that older updates don't bring it back.
const REMOVED_MEMORY: Duration = Duration::from_secs(60);
/// How long the upstreams of a failure domain count as cold after its evacuation was taken back,
/// unless their rows say something else: two of their usual intervals of writing.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(3);

/// An upstream and the version of the row that said so.
#[derive(Clone, Debug)]
struct KnownUpstream {
    listed: ListedUpstream,
    version: u64,
    cold_until: Now,
    /// Version of the end of its failure domain's last evacuation. Rows from before it don't say how cold it is since.
    back_since: u64,
    /// Closed from then on, because its row is gone.
    gone_at: Option<Now>,
}

impl KnownUpstream {
    /// Whether no doubt is left about a removal of its row.
    fn is_sure(&self, now: Now) -> bool {
        self.gone_at.is_none_or(|at| now >= at)
    }
}

/// What keeps a picture true; all are on but in searches that have to find what each prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Older statements change nothing.
    pub versions: bool,
    /// Of one version, a removal counts more than a listing, and one in doubt is told as neither.
    pub doubt: bool,
    /// What isn't known and is older than what was read from the store is gone.
    pub read_to: bool,
    /// A later start under the same name is another incarnation, and an earlier one says nothing of it.
    pub incarnations: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            versions: true,
            doubt: true,
            read_to: true,
            incarnations: true,
        }
    }
}

/// All that an entry knows of the world behind the entries.
#[derive(Clone, Debug, Default)]
pub struct Picture {
    guards: Guards,
    routes: Option<Arc<Routes>>,
    evacuations: BTreeMap<DomainId, Evacuation>,
    upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    /// Versions of removed rows and when they were removed.
    removed: BTreeMap<UpstreamId, (u64, Now)>,
    /// All rows of upstreams up to this version were read from the store.
    upstreams_read_to: u64,
    /// All rows of operators up to this version were read from the store.
    operator_read_to: u64,
}

/// What became of one update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// It changed the picture.
    Changed,
    /// It was known, or older than what is known.
    Unchanged,
}

impl Picture {
    /// An empty picture with these guards.
    pub fn with_guards(guards: Guards) -> Self {
        Self {
            guards,
            ..Self::default()
        }
    }

    /// Routes in force.
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.routes.as_ref()
    }

    /// Number of the routes in force; zero is none.
    pub fn routes_version(&self) -> Version {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Takes a version of the routes; only a higher one replaces the one in force.
    pub fn apply_routes(&mut self, routes: &Arc<Routes>) -> Applied {
        if self.routes.is_some() && routes.version <= self.routes_version() {
            return Applied::Unchanged;
        }
        self.routes = Some(routes.clone());
        Applied::Changed
    }

    /// Takes that an evacuation began or was taken back, by a row of this version.
    pub fn apply_evacuation(
        &mut self,
        domain: &DomainId,
        on: bool,
        version: u64,
        now: Now,
    ) -> Applied {
        let known = self.evacuations.get(domain).copied();
        if known.is_some_and(|known| known.version >= version) {
            return Applied::Unchanged;
        }
        let next = Evacuation { on, version };
        self.evacuations.insert(domain.clone(), next);
        let was_on = known.is_some_and(|known| known.on);
        if was_on && !on {
            self.mark_cold(domain, version, now);
        }
        if was_on == on {
            Applied::Unchanged
        } else {
            Applied::Changed
        }
    }

    /// Takes a row of an upstream.
    pub fn apply_upstream(&mut self, listed: &ListedUpstream, version: u64, now: Now) -> Applied {
        let removed = self.removed.get(&listed.id);
        if removed.is_some_and(|(removed, _)| *removed >= version) {
            return Applied::Unchanged;
        }
        let cold_until = if listed.cold_left.is_zero() {
            Now::ZERO
        } else {
            // Whatever a row says.
            now.saturating_add(listed.cold_left)
        };
        let Some(known) = self.upstreams.get_mut(&listed.id) else {
            let known = KnownUpstream {
                listed: listed.clone(),
                version,
                cold_until,
                back_since: 0,
                gone_at: None,
            };
            self.upstreams.insert(listed.id.clone(), known);
            return Applied::Changed;
        };
        // Of one version, a removal counts more than a listing: an upstream that is gone must not come
        // back by word of an entry that missed it.
        let newer = known.version < version;
        let same = known.version == version && known.gone_at.is_some();
        let taken = newer || !self.guards.versions || (same && !self.guards.doubt);
        if !taken {
            return Applied::Unchanged;
        }
        // A write of an earlier incarnation may take effect late: what it says of the later one is nothing.
        if self.guards.incarnations && listed.started_ms < known.listed.started_ms {
            known.version = version;
            return Applied::Unchanged;
        }
        // An incarnation that was seen leaving doesn't come back; a later one of the same name is another one.
        let same_life = !self.guards.incarnations || listed.started_ms == known.listed.started_ms;
        let leaving = (same_life && known.listed.leaving) || listed.leaving;
        known.listed = ListedUpstream {
            leaving,
            ..listed.clone()
        };
        known.version = version;
        known.cold_until = if version < known.back_since {
            cold_until.max(known.cold_until)
        } else {
            cold_until
        };
        known.gone_at = None;
        Applied::Changed
    }

    /// Takes that the row of an upstream is gone. `after_outage` says that the store has just come
    /// back: the row may have expired while its owner could not write it.
    pub fn apply_removal(
        &mut self,
        id: &UpstreamId,
        version: u64,
        after_outage: bool,
        now: Now,
    ) -> Applied {
        let Some(known) = self.upstreams.get_mut(id) else {
            self.removed.insert(id.clone(), (version, now));
            return Applied::Unchanged;
        };
        let grace = if after_outage && !known.listed.leaving {
            MISSING_GRACE
        } else {
            Duration::ZERO
        };
        let gone_at = now + grace;
        if known.version > version {
            return Applied::Unchanged;
        }
        // Also if it is gone already: a listing between both removals must not bring it back.
        known.version = version;
        // Whoever had no outage knows that the row was removed, which ends the doubt of those who had.
        if known.gone_at.is_some_and(|known| known <= gone_at) {
            return Applied::Unchanged;
        }
        known.gone_at = Some(gone_at);
        Applied::Changed
    }

    /// Takes what another entry knows of evacuations.
    ///
    /// One that isn't known here and is older than what was read from the store is over: its row was gone.
    pub fn apply_evacuation_updates(
        &mut self,
        updates: &[(DomainId, Evacuation)],
        now: Now,
    ) -> Applied {
        let mut taken = Applied::Unchanged;
        for (domain, told) in updates {
            let known = self.evacuations.contains_key(domain);
            if !known && told.version <= self.operator_read_to {
                continue;
            }
            if self.apply_evacuation(domain, told.on, told.version, now) == Applied::Changed {
                taken = Applied::Changed;
            }
        }
        taken
    }

    /// Ends the evacuations that have no row in a whole table read at `position`; those of `standing` have
    /// one.
    pub fn end_evacuations_without_row(
        &mut self,
        standing: &[DomainId],
        position: u64,
        now: Now,
    ) -> Applied {
        self.operator_read_to = self.operator_read_to.max(position);
        let ended: Vec<DomainId> = self
            .evacuations
            .iter()
            .filter(|(domain, known)| {
                known.on && known.version <= position && !standing.contains(*domain)
            })
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in &ended {
            self.apply_evacuation(domain, false, position + 1, now);
        }
        if ended.is_empty() {
            Applied::Unchanged
        } else {
            Applied::Changed
        }
    }

    /// Takes a whole table of upstreams: one without a row is gone.
    pub fn apply_upstream_table(
        &mut self,
        listed: &[(u64, ListedUpstream)],
        position: u64,
        after_outage: bool,
        now: Now,
    ) {
        for (version, upstream) in listed {
            self.apply_upstream(upstream, *version, now);
        }
        self.note_read(position);
        let standing: FastSet<&UpstreamId> = listed.iter().map(|(_, row)| &row.id).collect();
        let missing: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(id, known)| known.version <= position && !standing.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.apply_removal(&id, position, after_outage, now);
        }
    }

    /// Takes that all rows of upstreams up to `position` were read from the store.
    pub fn note_read(&mut self, position: u64) {
        self.upstreams_read_to = self.upstreams_read_to.max(position);
    }

    /// Forgets what is long gone.
    pub fn sweep(&mut self, now: Now) {
        let removed = &mut self.removed;
        self.upstreams.retain(|id, known| {
            let gone = known
                .gone_at
                .is_some_and(|at| now > at + Duration::from_secs(10));
            if gone {
                removed.insert(id.clone(), (known.version, now));
            }
            !gone
        });
        removed.retain(|_, (_, at)| now.saturating_sub(*at) < REMOVED_MEMORY);
    }

    /// The next time at which an upstream closes by itself.
    pub fn next_closing(&self, now: Now) -> Option<Now> {
        let due = self.upstreams.values().filter_map(|known| known.gone_at);
        due.filter(|at| *at > now).min()
    }

    /// Whether nothing is to be sent to a failure domain.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.get(domain).is_some_and(|known| known.on)
    }

    /// Whether an upstream gets no new work.
    fn is_closed(&self, known: &KnownUpstream, now: Now) -> bool {
        known.listed.leaving
            || known.gone_at.is_some_and(|at| now >= at)
            || self.is_evacuated(&known.listed.failure_domain)
    }

    /// Each upstream, whether it is closed, and until when it is cold.
    pub fn upstreams(&self, now: Now) -> impl Iterator<Item = (&ListedUpstream, bool, Now)> {
        self.upstreams
            .values()
            .map(move |known| (&known.listed, self.is_closed(known, now), known.cold_until))
    }

    /// How far it reaches: the newest version of each kind of row that it took. A removal in doubt doesn't
    /// count, so that entries which know better are asked.
    pub fn reach(&self, now: Now) -> Reach {
        let evacuations = self.evacuations.values().map(|known| known.version);
        let listed = self.upstreams.values().filter(|known| known.is_sure(now));
        let listed = listed.map(|known| known.version);
        let removed = self.removed.values().map(|(version, _)| *version);
        Reach {
            routes: self.routes_version(),
            operator: evacuations.max().unwrap_or(0),
            upstreams: listed.chain(removed).max().unwrap_or(0),
        }
    }

    /// What other entries are told of evacuations.
    pub fn evacuation_updates(&self) -> Vec<(DomainId, Evacuation)> {
        let known = self.evacuations.iter();
        known
            .map(|(domain, known)| (domain.clone(), *known))
            .collect()
    }

    /// All rows of upstreams up to this version were read from the store.
    pub fn upstreams_read_to(&self) -> u64 {
        self.upstreams_read_to
    }

    /// What other entries are told of upstreams whose rows changed after a version.
    pub fn upstream_updates(&self, after: u64, now: Now) -> Vec<UpstreamUpdate> {
        // A removal in doubt is neither a listing nor a removal: nothing is told of it until that is over.
        let all = !self.guards.doubt;
        let told = self.upstreams.values();
        let told = told.filter(|known| known.version > after && (all || known.is_sure(now)));
        told.map(|known| UpstreamUpdate {
            listed: known.listed.clone(),
            version: known.version,
            gone: known.gone_at.is_some_and(|at| now >= at),
            cold_left: known.cold_until.saturating_sub(now),
        })
        .collect()
    }

    /// Takes what another entry knows of upstreams.
    pub fn apply_upstream_updates(&mut self, updates: &[UpstreamUpdate], now: Now) -> Applied {
        let mut taken = Applied::Unchanged;
        for one in updates {
            let known = self.upstreams.contains_key(&one.listed.id);
            if self.guards.read_to && !known && one.version <= self.upstreams_read_to {
                // Its row was gone by then: whoever tells of it has not heard of that.
                continue;
            }
            let listed = ListedUpstream {
                cold_left: one.cold_left,
                ..one.listed.clone()
            };
            let result = if one.gone {
                self.apply_removal(&listed.id, one.version, false, now)
            } else {
                self.apply_upstream(&listed, one.version, now)
            };
            if result == Applied::Changed {
                taken = Applied::Changed;
            }
        }
        taken
    }

    /// Counts the upstreams of a failure domain, whose evacuation ended with this version, as cold for a while.
    fn mark_cold(&mut self, domain: &DomainId, ended: u64, now: Now) {
        let of_domain = self.upstreams.values_mut();
        for known in of_domain.filter(|known| known.listed.failure_domain == *domain) {
            known.cold_until = known.cold_until.max(now + COLD_AFTER_EVACUATION);
            known.back_since = ended;
        }
    }
}
