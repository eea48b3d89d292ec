//! Builds and publishes the snapshot that traffic threads use.

use crate::{
    process::{
        control::Control,
        link::Link,
        metric,
        pool::Pool,
        stop::Stage, //
    },
    request::{
        acquire::QUEUE_MAX,
        place::{
            admission_target,
            class_target, //
        },
    },
    version::{
        ClassView,
        Entry,
        RegionView,
        Snapshot, //
    },
};
use base::{
    ClassId,
    FastMap,
    InstanceId,
    RegionId, //
};
use spec::{
    Config,
    DrainTarget, //
};
use std::{
    collections::BTreeSet,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Duration, //
};
use steer::{
    AdmissionControl,
    ClassTarget,
    ShiftCap, //
};

/// Time during which a drained region still serves work that cannot be shifted yet.
///
/// A shift may grow no faster than its cap allows. If the upstreams were closed at once, work above
/// that rate would be refused, as if the drain were an outage.
const DRAIN_GRACE: Duration = Duration::from_millis(1500);

impl Control {
    /// Publishes a snapshot of the current state.
    pub(super) fn publish(&mut self) {
        let Some((version, config)) = self.config.clone() else {
            return;
        };
        self.apply_drains(&config);
        self.update_links(&config);
        let classes = self.class_views(&config);
        self.join_pools();
        let regions: Vec<RegionView> = config
            .regions
            .iter()
            .map(|region| self.region_view(&config, &region.id))
            .collect();
        let own = &self.shared.settings.region;
        let Some(own) = regions.iter().position(|region| region.id == *own) else {
            // A configuration that omits this region does not stop service here: the last snapshot
            // stays in force until a configuration contains the region again.
            return;
        };
        metrics::gauge!(metric::VERSION).set(version as f64);
        self.shared.published.store(Arc::new(Snapshot {
            version,
            stage: self.stage,
            own_index: own,
            regions,
            classes,
            blocks: Arc::clone(&self.blocks),
            links: self.links.clone(),
        }));
    }

    fn class_views(&mut self, config: &Config) -> FastMap<ClassId, Arc<ClassView>> {
        let mut views = FastMap::default();
        for class in &config.classes {
            let service = &class.service;
            let pool = self
                .pools
                .entry(service.clone())
                .or_insert_with(|| Arc::new(Pool::new(service.clone())));
            let of_service = || {
                let classes = config.classes.iter();
                classes.filter(|other| other.service == *service)
            };
            let targets: Vec<ClassTarget> = of_service().map(admission_target).collect();
            let place = of_service().position(|other| other.id == class.id);
            let place = place.expect("the class is one of its service's classes");
            let admit = AdmissionControl::new(targets, QUEUE_MAX);
            let before = |other: &usize| admit.outranks(*other, place);
            let view = ClassView {
                class: class.clone(),
                pool: Arc::clone(pool),
                target: class_target(class),
                class_index: place,
                rank: (0..of_service().count()).filter(before).count(),
                is_probe: !of_service().any(|other| other.idempotent),
                admission: Arc::new(admit),
            };
            let burn = self.shared.burn.class(&class.id);
            burn.set_target(class.latency_target);
            views.insert(class.id.clone(), Arc::new(view));
        }
        views
    }

    fn region_view(&self, config: &Config, id: &RegionId) -> RegionView {
        RegionView {
            id: id.clone(),
            entries: self.entries_of(config, id),
            drained: config.has_drain(&DrainTarget::Region(id.clone())),
        }
    }

    /// Entries of a region that look-ups may return, including this one.
    ///
    /// Entries in a drained failure domain are omitted while others exist.
    fn entries_of(&self, config: &Config, region: &RegionId) -> Vec<Entry> {
        let settings = &self.shared.settings;
        let disconnected = self.disconnected_partners();
        let candidates = self.membership_view.candidates(self.now()).into_iter();
        let candidates = candidates.filter(|it| !disconnected.contains(&it.identity.instance));
        // An instance with a known incarnation but no version has just started and does not serve
        // yet.
        let candidates = candidates.filter(|candidate| {
            let facts = self.membership_view.instance(&candidate.identity.instance);
            candidate.incarnation == 0 || facts.is_some_and(|facts| facts.version > 0)
        });
        let others = candidates.map(|candidate| (candidate.identity, candidate.incarnation));
        let me =
            (self.stage == Stage::Serving).then(|| (self.identity(), self.shared.incarnation()));
        let mut entries: Vec<Entry> = others
            .chain(me)
            .filter(|(identity, _)| identity.region == *region)
            .map(|(identity, incarnation)| Entry {
                instance: identity.instance,
                incarnation,
                failure_domain: identity.failure_domain,
                dial_addr: settings.dial_addr(&identity.callers_addr),
                callers_addr: identity.callers_addr,
            })
            .collect();
        entries.sort_by(|a, b| a.instance.cmp(&b.instance));
        let drained = |entry: &Entry| {
            let domain = entry.failure_domain.clone();
            config.has_drain(&DrainTarget::FailureDomain(region.clone(), domain))
        };
        if entries.iter().any(|entry| !drained(entry)) {
            entries.retain(|entry| !drained(entry));
        }
        entries
    }

    /// Partners without an open session.
    ///
    /// The membership view takes seconds to mark a dead process as silent, and look-ups would
    /// return it meanwhile, but its connections break at once. A partner that only this daemon has
    /// lost is omitted only from this daemon's answers, which is harmless.
    fn disconnected_partners(&self) -> Vec<InstanceId> {
        let Some(mesh) = &self.mesh else {
            return Vec::new();
        };
        let up: BTreeSet<InstanceId> = mesh.peers().into_iter().map(|p| p.instance).collect();
        let partners = self.partners.iter();
        partners
            .filter(|partner| !up.contains(*partner))
            .cloned()
            .collect()
    }

    /// Creates the links named by the configuration's caps and sets their limits.
    fn update_links(&mut self, config: &Config) {
        let own = self.shared.settings.region.clone();
        let now = self.now();
        for cap in config.caps.iter().filter(|cap| cap.from == own) {
            let shift = ShiftCap {
                bytes_per_s: cap.bytes_per_s,
                in_flight: cap.in_flight,
                growth_per_s: cap.growth_per_s,
            };
            self.links
                .entry(cap.to.clone())
                .or_insert_with(|| Arc::new(Link::new(shift, now)))
                .set_cap(shift);
        }
    }

    /// Sets each upstream's drained flag from the drains in the configuration.
    fn apply_drains(&mut self, config: &Config) {
        let now = self.now();
        let region = &self.shared.settings.region;
        let region_drained = config.has_drain(&DrainTarget::Region(region.clone()));
        self.drained_at = match self.drained_at {
            _ if !region_drained => None,
            None => Some(now),
            known => known,
        };
        let region_drained = self.drained_at.is_some_and(|at| now >= at + DRAIN_GRACE);
        for pool in self.pools.values() {
            for upstream in pool.upstreams().iter() {
                let domain =
                    DrainTarget::FailureDomain(region.clone(), upstream.failure_domain.clone());
                let drained = region_drained
                    || config.has_drain(&domain)
                    || config.has_drain(&DrainTarget::Upstream(upstream.id.clone()));
                upstream.drained.store(drained, Ordering::Release);
            }
        }
    }
}
