//! Publishing: builds the snapshot that traffic threads decide from.

use crate::{
    process::{
        control::Control,
        metric,
        pool::Pool, //
    },
    version::{
        ClassView,

        RegionView,
        Snapshot, //
    },
};
use base::{
    ClassId,
    FastMap,
    RegionId, //
};
use spec::{
    Config,
    DrainTarget, //
};
use std::sync::{
    atomic::Ordering,
    Arc, //
};

impl Control {
    /// Publishes what is known now.
    pub(super) fn publish(&mut self) {
        let Some((version, config)) = self.config.clone() else {
            return;
        };
        self.apply_drains(&config);
        let classes = self.class_views(&config);
        let regions: Vec<RegionView> = config
            .regions
            .iter()
            .map(|region| self.region_view(&config, &region.id))
            .collect();
        let own = &self.shared.settings.region;
        let Some(own) = regions.iter().position(|region| region.id == *own) else {
            // An accepted configuration that leaves out this region stops nothing here: the last
            // snapshot stays until the configuration names the region again.
            return;
        };
        metrics::gauge!(metric::VERSION).set(version as f64);
        self.shared.published.store(Arc::new(Snapshot {
            version,
            stage: self.stage,
            own,
            regions,
            classes,
            blocks: Arc::clone(&self.blocks),
        }));
    }

    fn class_views(&mut self, config: &Config) -> FastMap<ClassId, ClassView> {
        let mut views = FastMap::default();
        for class in &config.classes {
            let service = &class.service;
            let pool = self
                .pools
                .entry(service.clone())
                .or_insert_with(|| Arc::new(Pool::new(service.clone())));
            let view = ClassView {
                class: class.clone(),
                pool: Arc::clone(pool),
            };
            let burn = self.shared.burn.class(&class.id);
            burn.set_target(class.latency_target);
            views.insert(class.id.clone(), view);
        }
        views
    }

    fn region_view(&self, config: &Config, id: &RegionId) -> RegionView {
        let entries = self
            .entries
            .iter()
            .filter(|entry| entry.region == *id)
            .map(|entry| entry.entry.clone())
            .collect();
        RegionView {
            id: id.clone(),
            entries,
            drained: config.has_drain(&DrainTarget::Region(id.clone())),
            estimates: FastMap::default(),
        }
    }

    /// Marks the upstreams that operators drain; those of a stopped drain open again.
    fn apply_drains(&self, config: &Config) {
        let region = &self.shared.settings.region;
        let whole = config.has_drain(&DrainTarget::Region(region.clone()));
        for pool in self.pools.values() {
            for upstream in pool.upstreams().iter() {
                let domain =
                    DrainTarget::FailureDomain(region.clone(), upstream.failure_domain.clone());
                let drained = whole
                    || config.has_drain(&domain)
                    || config.has_drain(&DrainTarget::Upstream(upstream.id.clone()));
                upstream.drained.store(drained, Ordering::Release);
            }
        }
    }
}
