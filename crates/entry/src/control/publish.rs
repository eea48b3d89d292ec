//! Snapshots of what control knows.

use crate::{
    control::{
        Control,
        Known, //
    },
    metric,
    rows::RowReader,
    snapshot::{
        EntryView,
        Snapshot,
        UpstreamView, //
    },
};
use balance::Location;
use base::{
    FastMap,
    Now,
    RegionId, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    pub(super) fn entries_changed(&self) -> bool {
        let known = self.known.borrow();
        known.overlay.version() != known.overlay_published
    }

    /// Publishes what is known, and tells the other entries.
    pub(super) fn publish(&self) {
        let now = self.now();
        let mut known = self.known.borrow_mut();
        known.views = Arc::new(views(&known, now));
        known.closing = known.picture.next_closing(now);
        let cold_until = known.views.iter().map(|view| view.cold_until).max();
        known.cold_until = cold_until.unwrap_or_default();
        drop(known);
        self.publish_entries();
    }

    /// Publishes what is known after a change that concerns no upstream.
    pub(super) fn publish_entries(&self) {
        let now = self.now();
        let mut known = self.known.borrow_mut();
        let known = &mut *known;
        let compiled = known.routes.as_ref().map(|table| table.version());
        if let Some(routes) = known.picture.routes() {
            if compiled != Some(routes.version) {
                known.routes = Some(Arc::new(route::Table::new(routes.clone())));
                metrics::gauge!(metric::ROUTES_VERSION).set(routes.version as f64);
            }
        }
        known.overlay.sweep(now);
        known.overlay_published = known.overlay.version();
        let entries = known.overlay.live().len() + 1;
        metrics::gauge!(metric::ENTRIES).set(entries as f64);
        metrics::gauge!(metric::PEERS).set(known.overlay.connected().count() as f64);
        known.number += 1;
        let snapshot = self.snapshot(known, now);
        self.published.store(Arc::new(snapshot));
        self.broadcast_urgent(known, now);
        self.cold_due.notify_one();
    }

    fn snapshot(&self, known: &Known, now: Now) -> Snapshot {
        let settings = &self.settings;
        let here = Location {
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            round_trips: self.round_trips(known),
        };
        Snapshot {
            number: known.number,
            made_at: now,
            table: known.routes.clone(),
            upstreams: known.views.clone(),
            entries: self.entries(known),
            entries_known: known.overlay.sender_count(),
            here,
            bounds: known.bounds.clone(),
            stopping: known.stopping,
        }
    }

    /// Entries that take new callers.
    fn entries(&self, known: &Known) -> Vec<EntryView> {
        let live = known.overlay.live();
        let mut entries = Vec::with_capacity(live.len() + 1);
        if known.routes.is_some() && !known.stopping {
            entries.push(EntryView {
                region: self.settings.region.clone(),
                callers_addr: self.settings.callers_addr,
            });
        }
        for one in live.values().filter(|one| one.ready) {
            if let Some(callers_addr) = one.callers_addr {
                entries.push(EntryView {
                    region: one.region.clone(),
                    callers_addr,
                });
            }
        }
        entries
    }

    /// Shortest round trip to each other region, by this entry's sessions or else by its hubs'.
    fn round_trips(&self, known: &Known) -> FastMap<RegionId, Duration> {
        let own = known.overlay.round_trips();
        let hubs = known.states.values().flat_map(|state| &state.round_trips);
        let mut shortest: FastMap<RegionId, Duration> = own.into_iter().collect();
        for (region, trip) in hubs {
            if *region != self.settings.region {
                let shortest = shortest.entry(region.clone()).or_insert(*trip);
                *shortest = (*shortest).min(*trip);
            }
        }
        shortest
    }
}

/// Upstreams as traffic sees them.
fn views(known: &Known, now: Now) -> Vec<UpstreamView> {
    let upstreams = known.picture.upstreams(now);
    let views = upstreams.map(|(listed, closed, cold_until)| UpstreamView {
        id: listed.id.clone(),
        started_ms: listed.started_ms,
        service: listed.service.clone(),
        region: listed.region.clone(),
        failure_domain: listed.failure_domain.clone(),
        addr: listed.addr,
        slots: listed.slots,
        closed,
        cold_until,
        lease_until: known.cold_leases.held_until(&listed.id, now),
    });
    views.collect()
}
