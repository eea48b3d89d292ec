//! Publication of snapshots of control's state.

use crate::{
    control::{
        Control,
        ControlState, //
    },
    metric,
    rows::RowReader,
    snapshot::{
        EntryView,
        RelayView,
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
        let state = self.state.borrow();
        state.overlay.version() != state.published_overlay_version
    }

    /// Publishes a new snapshot and sends urgent changes to the other entries.
    pub(super) fn publish(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.upstream_views = Arc::new(upstream_views(&state, now));
        state.next_closing = state.view.next_closing(now);
        let cold_until = state
            .upstream_views
            .iter()
            .map(|view| view.cold_until)
            .max();
        state.cold_until = cold_until.unwrap_or_default();
        drop(state);
        self.publish_entries();
    }

    /// Publishes a new snapshot after a change that doesn't affect upstreams.
    pub(super) fn publish_entries(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let compiled = state.routes.as_ref().map(|table| table.version());
        if let Some(routes) = state.view.routes() {
            if compiled != Some(routes.version) {
                state.routes = Some(Arc::new(route::Table::new(routes.clone())));
                metrics::gauge!(metric::ROUTES_VERSION).set(routes.version as f64);
            }
        }
        state.overlay.sweep(now);
        state.published_overlay_version = state.overlay.version();
        let entries = state.overlay.live().len() + 1;
        metrics::gauge!(metric::ENTRIES).set(entries as f64);
        metrics::gauge!(metric::PEERS).set(state.overlay.connected().count() as f64);
        state.snapshot_number += 1;
        let snapshot = self.snapshot(state, now);
        self.published.store(Arc::new(snapshot));
        self.broadcast_urgent(state, now);
        self.cold_due.notify_one();
    }

    fn snapshot(&self, state: &ControlState, now: Now) -> Snapshot {
        let settings = &self.settings;
        let here = Location {
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            round_trips: self.round_trips(state),
        };
        Snapshot {
            number: state.snapshot_number,
            created_at: now,
            routes: state.routes.clone(),
            upstreams: state.upstream_views.clone(),
            entries: self.entries(state),
            relays: self.relays(state),
            sender_count: state.overlay.sender_count(),
            location: here,
            bounds: state.bounds.clone(),
            stopping: state.stopping,
        }
    }

    /// Returns the entries that accept new callers.
    fn entries(&self, state: &ControlState) -> Vec<EntryView> {
        let live = state.overlay.live();
        let mut entries = Vec::with_capacity(live.len() + 1);
        if state.routes.is_some() && !state.stopping {
            entries.push(EntryView {
                region: self.settings.region.clone(),
                callers_addr: self.settings.callers_addr,
                is_partitioned: self.channels.partition.is_partitioned(),
                capacity: self.settings.capacity(),
            });
        }
        for entry in live.values() {
            if let Some(service) = entry.service.filter(|service| service.ready) {
                entries.push(EntryView {
                    region: entry.region.clone(),
                    callers_addr: service.callers_addr,
                    is_partitioned: service.is_partitioned,
                    capacity: service.capacity,
                });
            }
        }
        entries
    }

    /// Returns the other entries that take requests which this one can't send to upstreams itself.
    fn relays(&self, state: &ControlState) -> Vec<RelayView> {
        let live = state.overlay.live().iter();
        let relays = live.filter_map(|(instance, entry)| {
            let service = entry.service?;
            let addr = service.relay_addr?;
            (service.ready && !service.is_partitioned).then(|| RelayView {
                instance: instance.clone(),
                region: entry.region.clone(),
                failure_domain: entry.failure_domain.clone(),
                addr,
            })
        });
        relays.collect()
    }

    /// Returns the shortest round-trip time to each other region, over this entry's sessions and those of its hubs.
    fn round_trips(&self, state: &ControlState) -> FastMap<RegionId, Duration> {
        let own = state.overlay.round_trips();
        let others = state
            .entry_states
            .values()
            .flat_map(|entry| &entry.round_trips);
        let mut shortest: FastMap<RegionId, Duration> = own.into_iter().collect();
        for (region, round_trip) in others {
            if *region != self.settings.region {
                let shortest = shortest.entry(region.clone()).or_insert(*round_trip);
                *shortest = (*shortest).min(*round_trip);
            }
        }
        shortest
    }
}

/// Returns the upstreams for a snapshot.
fn upstream_views(state: &ControlState, now: Now) -> Vec<UpstreamView> {
    let upstreams = state.view.upstreams(now);
    let upstream_views = upstreams.map(|(listed, closed, cold_until)| UpstreamView {
        id: listed.id.clone(),
        started_ms: listed.started_ms,
        service: listed.service.clone(),
        region: listed.region.clone(),
        failure_domain: listed.failure_domain.clone(),
        addr: listed.addr,
        slots: listed.slots,
        closed,
        cold_until,
        lease_until: state.cold_leases.held_until(&listed.id, now),
    });
    upstream_views.collect()
}
