//! The view, and how updates are applied to it.
//!
//! Updates come from the store's feeds or, while the store is unreachable, from other entries that can
//! still read it. Each update carries the version of the row that it is based on. Older updates change
//! nothing, so the order of arrival doesn't matter.

use crate::{
    departures::Departures,
    update::{
        Departure,
        Evacuation,
        ListedUpstream,
        UpstreamUpdate, //
        ViewVersions,
    },
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

/// Time for which an upstream whose row disappeared during an outage of the store stays open. Rows that
/// expired in the outage are written again within about two seconds of the store's return.
const REMOVAL_GRACE: Duration = Duration::from_millis(1500);
/// Number of writes up to which an incarnation counts as just started. A write takes some seconds at most to take effect,
/// by which time an incarnation that is still running has written more often.
const FIRST_WRITES_MAX: u64 = 2;
/// Time for which the version of a removed row is kept, so that older updates don't restore the row.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
/// Time for which the upstreams of a failure domain count as cold after the end of its evacuation,
/// unless newer rows of theirs say otherwise: two of their usual write intervals.
const COLD_AFTER_EVACUATION: Duration = Duration::from_secs(3);

/// Upstream with the version of its latest row.
#[derive(Clone, Debug)]
struct KnownUpstream {
    listed: ListedUpstream,
    version: u64,
    cold_until: Now,
    /// Version that ended the last evacuation of its failure domain. Older rows don't describe how cold
    /// it has been since.
    evacuation_end_version: u64,
    /// Time at which it closes because its row is gone; in the future while the removal is unconfirmed.
    closes_at: Option<Now>,
    /// Whether the row was read in a whole table.
    from_table: bool,
}

/// Safety checks of a view; all are enabled except in model searches that show what each prevents.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Ignore updates that are older than the known row.
    pub versions: bool,
    /// Give a removal precedence over a listing of the same version, and report an unconfirmed removal
    /// to other entries as neither.
    pub unconfirmed_removals: bool,
    /// Treat an unknown row that is older than what was read from the store as gone.
    pub read_position: bool,
    /// Treat a later start under the same name as another incarnation, which rows of an earlier one
    /// don't affect.
    pub incarnations: bool,
    /// Treat an upstream that was seen to be gone as gone if an older copy of the store lists it.
    pub restored_removals: bool,
    /// Ignore an upstream that another entry has read in a whole table if it was seen to be gone here: the table may be
    /// an older copy.
    pub copied_listings: bool,
    /// Keep an incarnation closed that has stated in a response that it is leaving, whatever its rows say.
    pub departures: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            versions: true,
            unconfirmed_removals: true,
            read_position: true,
            incarnations: true,
            restored_removals: true,
            copied_listings: true,
            departures: true,
        }
    }
}

/// An entry's view of routes, evacuations and upstreams.
#[derive(Clone, Debug, Default)]
pub struct RoutingView {
    guards: Guards,
    routes: Option<Arc<Routes>>,
    evacuations: BTreeMap<DomainId, Evacuation>,
    upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    departures: Departures,
    /// Versions of rows that a restored store lists of upstreams that were seen to be gone. If the next whole table
    /// still has them, their owners run.
    unconfirmed_listings: BTreeMap<UpstreamId, u64>,
    /// Versions of removed rows, and when each was recorded here.
    removed: BTreeMap<UpstreamId, (u64, Now)>,
    /// All upstream rows up to this version have been read from the store.
    upstreams_read_position: u64,
    /// All operator rows up to this version have been read from the store.
    operator_read_position: u64,
}

/// Result of applying an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The update changed the view.
    Changed,
    /// The update was already known, or older than what is known.
    Unchanged,
}

impl RoutingView {
    /// Creates an empty view with the given guards.
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

    /// Version of the routes in force; zero if there are none.
    pub fn routes_version(&self) -> Version {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Applies a version of the routes; only a higher one replaces the one in force.
    pub fn apply_routes(&mut self, routes: &Arc<Routes>) -> Applied {
        if self.routes.is_some() && routes.version <= self.routes_version() {
            return Applied::Unchanged;
        }
        self.routes = Some(routes.clone());
        Applied::Changed
    }

    /// Applies the start or the end of an evacuation, from a row of this version.
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

    /// Applies a row of an upstream.
    pub fn apply_upstream(&mut self, listed: &ListedUpstream, version: u64, now: Now) -> Applied {
        let removed = self.removed.get(&listed.id);
        if removed.is_some_and(|(removed, _)| *removed >= version) {
            return Applied::Unchanged;
        }
        let cold_until = if listed.cold_left.is_zero() {
            Now::ZERO
        } else {
            // A row may contain any duration; the sum must not overflow.
            now.saturating_add(listed.cold_left)
        };
        let Some(known) = self.upstreams.get_mut(&listed.id) else {
            let known = KnownUpstream {
                listed: listed.clone(),
                version,
                cold_until,
                evacuation_end_version: 0,
                closes_at: None,
                from_table: false,
            };
            self.upstreams.insert(listed.id.clone(), known);
            return Applied::Changed;
        };
        // A removal takes precedence over a listing of the same version: an entry that missed the removal
        // must not restore the upstream.
        let newer = known.version < version;
        let same = known.version == version && known.closes_at.is_some();
        let accepted =
            newer || !self.guards.versions || (same && !self.guards.unconfirmed_removals);
        if !accepted {
            return Applied::Unchanged;
        }
        // A write of an earlier incarnation may take effect late; it doesn't describe the later one. The first writes of
        // an incarnation do, whatever its start time: the clock may have been set back in between.
        let is_earlier = listed.started_ms < known.listed.started_ms;
        let has_just_started = listed
            .writes
            .is_some_and(|writes| writes <= FIRST_WRITES_MAX);
        if self.guards.incarnations && is_earlier && !has_just_started {
            known.version = version;
            return Applied::Unchanged;
        }
        // An incarnation that was seen leaving stays so; a later one of the same name is independent.
        let same_incarnation =
            !self.guards.incarnations || listed.started_ms == known.listed.started_ms;
        let leaving = (same_incarnation && known.listed.leaving) || listed.leaving;
        known.listed = ListedUpstream {
            leaving,
            ..listed.clone()
        };
        known.version = version;
        known.cold_until = if version < known.evacuation_end_version {
            cold_until.max(known.cold_until)
        } else {
            cold_until
        };
        known.closes_at = None;
        known.from_table = false;
        Applied::Changed
    }

    /// Applies the removal of an upstream's row. `after_outage` means that the store has just come back:
    /// the row may have expired while its owner could not write it.
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
            REMOVAL_GRACE
        } else {
            Duration::ZERO
        };
        let closes_at = now + grace;
        if known.version > version {
            return Applied::Unchanged;
        }
        // Also for a row that is already gone: a listing between two removals must not restore it.
        known.version = version;
        // A removal seen without an outage is certain and confirms an unconfirmed one.
        if known.closes_at.is_some_and(|known| known <= closes_at) {
            return Applied::Unchanged;
        }
        known.closes_at = Some(closes_at);
        Applied::Changed
    }

    /// Applies the departure of an upstream, which closes its incarnation for good.
    pub fn apply_departure(&mut self, departure: &Departure, now: Now) -> Applied {
        let known = self.upstreams.get(&departure.upstream);
        let is_known = known.is_some_and(|known| {
            known.listed.leaving && known.listed.started_ms == departure.started_ms
        });
        if is_known || !self.departures.note(departure, now) {
            return Applied::Unchanged;
        }
        Applied::Changed
    }

    /// Returns the departures that were recorded here at most `age_max` ago.
    pub fn departures(&self, age_max: Duration, now: Now) -> Vec<Departure> {
        self.departures.recent(age_max, now)
    }

    /// Applies the evacuations that another entry knows.
    ///
    /// An evacuation that is unknown here and older than what was read from the store has ended: its row
    /// was already gone.
    pub fn apply_evacuation_updates(
        &mut self,
        updates: &[(DomainId, Evacuation)],
        now: Now,
    ) -> Applied {
        let mut applied = Applied::Unchanged;
        for (domain, update) in updates {
            let known = self.evacuations.contains_key(domain);
            if !known && update.version <= self.operator_read_position {
                continue;
            }
            if self.apply_evacuation(domain, update.on, update.version, now) == Applied::Changed {
                applied = Applied::Changed;
            }
        }
        applied
    }

    /// Ends the evacuations without a row in a whole table that was read at `position`. `with_row` lists
    /// the failure domains that have a row.
    pub fn end_evacuations_without_row(
        &mut self,
        with_row: &[DomainId],
        position: u64,
        now: Now,
    ) -> Applied {
        self.operator_read_position = self.operator_read_position.max(position);
        let ended: Vec<DomainId> = self
            .evacuations
            .iter()
            .filter(|(domain, known)| {
                known.on && known.version <= position && !with_row.contains(*domain)
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

    /// Applies a whole table of upstreams: an upstream without a row is gone.
    pub fn apply_upstream_table(
        &mut self,
        listed: &[(u64, ListedUpstream)],
        position: u64,
        after_outage: bool,
        now: Now,
    ) {
        let unconfirmed = std::mem::take(&mut self.unconfirmed_listings);
        for (version, upstream) in listed {
            if unconfirmed.get(&upstream.id) == Some(version) {
                self.upstreams.remove(&upstream.id);
                self.removed.remove(&upstream.id);
            }
            self.apply_upstream_of_table(upstream, *version, now);
        }
        self.advance_read_position(position);
        let with_row: FastSet<&UpstreamId> = listed.iter().map(|(_, row)| &row.id).collect();
        let missing: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(id, known)| known.version <= position && !with_row.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.apply_removal(&id, position, after_outage, now);
        }
    }

    /// Applies the rows of a store that was restored from an older copy. An upstream that was seen to be gone stays so
    /// until its row is written again or the next whole table has it, and one without a row stays as it is.
    pub fn apply_restored_upstreams(&mut self, listed: &[(u64, ListedUpstream)], now: Now) {
        for (version, upstream) in listed {
            let id = &upstream.id;
            if self.guards.restored_removals && self.is_gone(id, now) {
                self.apply_removal(id, *version, false, now);
                self.unconfirmed_listings.insert(id.clone(), *version);
            } else {
                self.apply_upstream_of_table(upstream, *version, now);
            }
        }
    }

    /// Applies a row of an upstream in a whole table.
    fn apply_upstream_of_table(&mut self, upstream: &ListedUpstream, version: u64, now: Now) {
        let applied = self.apply_upstream(upstream, version, now);
        if let Some(known) = self.upstreams.get_mut(&upstream.id) {
            known.from_table |= applied == Applied::Changed;
        }
    }

    /// Returns whether neither a removal nor a listing of an upstream is unconfirmed.
    fn is_confirmed(&self, known: &KnownUpstream, now: Now) -> bool {
        let is_removal_confirmed = known.closes_at.is_none_or(|at| now >= at);
        is_removal_confirmed && !self.unconfirmed_listings.contains_key(&known.listed.id)
    }

    /// Returns whether an upstream was seen to be gone.
    fn is_gone(&self, id: &UpstreamId, now: Now) -> bool {
        let known = self.upstreams.get(id);
        let closes_at = known.and_then(|known| known.closes_at);
        closes_at.is_some_and(|at| now >= at) || (known.is_none() && self.removed.contains_key(id))
    }

    /// Records that all upstream rows up to `position` have been read from the store.
    pub fn advance_read_position(&mut self, position: u64) {
        self.upstreams_read_position = self.upstreams_read_position.max(position);
    }

    /// Drops upstreams and versions of removed rows whose retention is over.
    pub fn sweep(&mut self, now: Now) {
        let removed = &mut self.removed;
        let departures = &mut self.departures;
        self.upstreams.retain(|id, known| {
            let gone = known
                .closes_at
                .is_some_and(|at| now > at + Duration::from_secs(10));
            if gone {
                removed.insert(id.clone(), (known.version, now));
                departures.forget_unstarted(id);
            }
            !gone
        });
        removed.retain(|_, (_, at)| now.saturating_sub(*at) < REMOVED_RETENTION);
        let upstreams = &self.upstreams;
        let is_listed = |departure: &Departure| {
            let known = upstreams.get(&departure.upstream);
            known.is_some_and(|known| known.listed.started_ms == departure.started_ms)
        };
        self.departures.sweep(REMOVED_RETENTION, is_listed, now);
    }

    /// Next time at which an upstream closes without an update.
    pub fn next_closing(&self, now: Now) -> Option<Now> {
        let due = self.upstreams.values().filter_map(|known| known.closes_at);
        due.filter(|at| *at > now).min()
    }

    /// Whether a failure domain is evacuated and gets no new work.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.get(domain).is_some_and(|known| known.on)
    }

    /// Whether an upstream gets no new work.
    fn is_closed(&self, known: &KnownUpstream, now: Now) -> bool {
        known.listed.leaving
            || (self.guards.departures && self.departures.contains(&known.listed))
            || known.closes_at.is_some_and(|at| now >= at)
            || self.is_evacuated(&known.listed.failure_domain)
    }

    /// Each upstream with whether it is closed and the time until which it is cold.
    pub fn upstreams(&self, now: Now) -> impl Iterator<Item = (&ListedUpstream, bool, Now)> {
        self.upstreams
            .values()
            .map(move |known| (&known.listed, self.is_closed(known, now), known.cold_until))
    }

    /// Newest version of each kind of row that was applied. Unconfirmed removals don't count, so that
    /// entries with confirmed knowledge are asked.
    pub fn versions(&self, now: Now) -> ViewVersions {
        let evacuations = self.evacuations.values().map(|known| known.version);
        let listed = self
            .upstreams
            .values()
            .filter(|known| self.is_confirmed(known, now));
        let listed = listed.map(|known| known.version);
        let removed = self.removed.values().map(|(version, _)| *version);
        ViewVersions {
            routes: self.routes_version(),
            operator: evacuations.max().unwrap_or(0),
            upstreams: listed.chain(removed).max().unwrap_or(0),
        }
    }

    /// Evacuations to send to other entries.
    pub fn evacuation_updates(&self) -> Vec<(DomainId, Evacuation)> {
        let known = self.evacuations.iter();
        known
            .map(|(domain, known)| (domain.clone(), *known))
            .collect()
    }

    /// Version up to which all upstream rows have been read from the store.
    pub fn upstreams_read_position(&self) -> u64 {
        self.upstreams_read_position
    }

    /// Updates to send to other entries: upstreams whose rows changed after a version.
    pub fn upstream_updates(&self, after: u64, now: Now) -> Vec<UpstreamUpdate> {
        // An unconfirmed removal is neither a listing nor a removal, so it is left out until confirmed.
        let all = !self.guards.unconfirmed_removals;
        let changed = self.upstreams.values();
        let changed =
            changed.filter(|known| known.version > after && (all || self.is_confirmed(known, now)));
        changed
            .map(|known| UpstreamUpdate {
                listed: known.listed.clone(),
                version: known.version,
                gone: known.closes_at.is_some_and(|at| now >= at),
                cold_left: known.cold_until.saturating_sub(now),
                from_table: known.from_table,
            })
            .collect()
    }

    /// Applies the upstreams that another entry knows.
    pub fn apply_upstream_updates(&mut self, updates: &[UpstreamUpdate], now: Now) -> Applied {
        let mut applied = Applied::Unchanged;
        for update in updates {
            let known = self.upstreams.contains_key(&update.listed.id);
            if self.guards.read_position && !known && update.version <= self.upstreams_read_position
            {
                // The row was already gone at that position; the sender has not seen its removal yet.
                continue;
            }
            let is_copy = self.guards.copied_listings && update.from_table && !update.gone;
            if is_copy && self.is_gone(&update.listed.id, now) {
                continue;
            }
            let listed = ListedUpstream {
                cold_left: update.cold_left,
                ..update.listed.clone()
            };
            let result = if update.gone {
                self.apply_removal(&listed.id, update.version, false, now)
            } else {
                self.apply_upstream(&listed, update.version, now)
            };
            if let Some(known) = self.upstreams.get_mut(&listed.id) {
                known.from_table |= update.from_table && result == Applied::Changed;
            }
            if result == Applied::Changed {
                applied = Applied::Changed;
            }
        }
        applied
    }

    /// Marks the upstreams of a failure domain as cold after its evacuation, which ended at version
    /// `end_version`.
    fn mark_cold(&mut self, domain: &DomainId, end_version: u64, now: Now) {
        let of_domain = self.upstreams.values_mut();
        for known in of_domain.filter(|known| known.listed.failure_domain == *domain) {
            known.cold_until = known.cold_until.max(now + COLD_AFTER_EVACUATION);
            known.evacuation_end_version = end_version;
        }
    }
}
