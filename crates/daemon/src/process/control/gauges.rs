//! Gauges of control's state, and counters maintained outside of the metrics registry.

use crate::process::{
    control::Control,
    metric, //
};
use peer::Mesh;

impl Control {
    /// Exports all gauges, and counters maintained elsewhere.
    pub(super) fn export_gauges(&self) {
        metrics::gauge!(metric::ACTIVE).set(self.shared.active.count() as f64);
        self.export_pools();
        self.export_links();
        if let Some(mesh) = &self.mesh {
            export_peers(mesh);
        }
    }

    fn export_pools(&self) {
        for (service, pool) in &self.pools {
            let (usable, used) = pool.slot_usage(self.now());
            let label = service.to_string();
            metrics::gauge!(metric::SLOTS_USABLE, "service" => label.clone()).set(usable);
            metrics::gauge!(metric::SLOTS_USED, "service" => label).set(used);
        }
    }

    fn export_links(&self) {
        for (to, link) in &self.links {
            metrics::counter!(metric::LINK_BYTES, "to" => to.to_string())
                .absolute(link.transferred_bytes());
        }
    }
}

fn export_peers(mesh: &Mesh) {
    metrics::gauge!(metric::PEERS).set(mesh.peers().len() as f64);
    let counters = mesh.counters();
    metrics::counter!(metric::PEER_BYTES).absolute(counters.sent_bytes.get());
    // Taken from the counters, because events are dropped during a flood.
    metrics::counter!(metric::STRANGERS).absolute(counters.refused_connections.get());
    let frames = [
        ("unknown", &counters.unknown_frames),
        ("malformed", &counters.invalid_frames),
    ];
    for (reason, count) in frames {
        metrics::counter!(metric::REFUSED_FRAMES, "reason" => reason).absolute(count.get());
    }
}
