//! What a rig consists of, and the files that say so to the processes.

use load::{
    CallerRegion,
    ClassLoad,
    Scene, //
};
use serde_json::{
    json,
    Value, //
};
use std::{
    fmt::Write,
    path::PathBuf, //
};

/// What a rig consists of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Regions, each with its entries.
    pub regions: Vec<RegionLayout>,
    /// Classes, each with a service of its own and the same name.
    pub classes: Vec<ClassLayout>,
    /// Delay between regions each way; the relays stand between them even when it is zero.
    pub between_regions_us: u64,
    /// Terms of the daemons that differ from their defaults, as in `beat_ms`.
    pub terms: Vec<(&'static str, u64)>,
    /// Bytes a second that may go from each region to each other.
    pub cap_bytes_per_s: u64,
    /// Way of choosing an upstream, as the daemons' settings name it.
    pub policy: &'static str,
    /// Key that operators must prove.
    pub operator_key: Option<&'static str>,
    /// Whether each daemon reaches the platform by a relay of its own, which can be cut.
    pub platform_relays: bool,
    /// Configuration to accept in place of the one that follows from the rest.
    pub config_text: Option<String>,
    /// Folder of the `jasmined` to run, as one of an earlier commit; beside the test's own if none.
    pub daemon_folder: Option<PathBuf>,
}

/// One region.
#[derive(Clone, Debug)]
pub struct RegionLayout {
    /// Name.
    pub name: &'static str,
    /// Entries; they alternate between two failure domains.
    pub entries: usize,
}

/// One class and its service.
#[derive(Clone, Debug)]
pub struct ClassLayout {
    /// Name of both.
    pub name: &'static str,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Rank; 0 is refused last.
    pub priority: u8,
    /// Upstreams in each region; they alternate between two failure domains.
    pub upstreams_per_region: usize,
    /// Upstreams of all regions together, dealt out evenly, in place of a number for each.
    pub upstreams_dealt: Option<usize>,
    /// Slots of each.
    pub slots: u32,
    /// Mean time of service.
    pub service_ms: f64,
    /// Time within which an entry must have answered.
    pub deadline_ms: u64,
    /// Headroom target.
    pub headroom_pct: u8,
    /// Requests that warm an upstream; 0 for one that is never cold.
    pub cold_requests: u64,
    /// How many times longer the first request takes on a cold one.
    pub cold_factor: f64,
    /// Whether upstreams work on when a request is given up on.
    pub ignores_cancel: bool,
}

/// Names of the two failure domains of each region.
const DOMAINS: [&str; 2] = ["a", "b"];

impl Layout {
    /// One region, two entries, one class of idempotent work.
    pub fn one_region() -> Self {
        Self {
            regions: vec![RegionLayout {
                name: "arusha",
                entries: 2,
            }],
            classes: vec![ClassLayout::menu()],
            between_regions_us: 0,
            terms: Self::quick_terms(),
            cap_bytes_per_s: 100_000_000,
            policy: "ours",
            operator_key: None,
            platform_relays: false,
            config_text: None,
            daemon_folder: None,
        }
    }

    /// Two regions of two entries, with quick lookups, filings and downloads.
    pub fn two_regions() -> Self {
        let region = |name| RegionLayout { name, entries: 2 };
        Self {
            regions: vec![region("arusha"), region("moshi")],
            classes: vec![
                ClassLayout::menu(),
                ClassLayout::orders(),
                ClassLayout::binders(),
            ],
            between_regions_us: 2_000,
            ..Self::one_region()
        }
    }

    /// Two regions whose work takes long, so that whatever ends an entry finds requests in flight.
    pub fn long_work() -> Self {
        let mut layout = Self::two_regions();
        for class in &mut layout.classes {
            class.service_ms *= 15.0;
        }
        layout
    }

    /// Two regions whose few slots are often all taken, so that a slot with two owners shows as a
    /// queue at its upstream.
    pub fn tight() -> Self {
        let menu = ClassLayout {
            upstreams_per_region: 2,
            slots: 4,
            service_ms: 60.0,
            headroom_pct: 0,
            ..ClassLayout::menu()
        };
        Self {
            classes: vec![menu],
            ..Self::two_regions()
        }
    }

    /// The same, with upstreams that work on when a request is given up on.
    pub fn tight_without_cancel() -> Self {
        let mut layout = Self::tight();
        for class in &mut layout.classes {
            class.ignores_cancel = true;
        }
        layout
    }

    /// Terms that make lapses and silences short enough for a test.
    pub fn quick_terms() -> Vec<(&'static str, u64)> {
        vec![
            ("lease_ms", 4_000),
            ("lease_floor_ms", 120_000),
            ("lease_renew_ms", 500),
            ("beat_ms", 200),
            ("beat_silent_ms", 1_200),
            ("lookup_ttl_ms", 500),
            ("list_ms", 400),
            ("head_ms", 500),
            ("load_ms", 200),
        ]
    }

    /// Block whose callers are at home in the region of this index.
    pub fn block(index: usize) -> String {
        format!("10.{}.0.0/16", index + 1)
    }

    /// A load of `classes` for `duration_ms`, from callers at home in every region alike.
    pub fn scene(&self, duration_ms: u64, classes: Vec<ClassLoad>) -> Scene {
        let regions = self.regions.iter().enumerate();
        Scene {
            seed: 1,
            duration_ms,
            allowance_ms: 5_000,
            leaving_bound_ms: 3_000,
            threads: 1,
            regions: regions
                .map(|(index, region)| CallerRegion {
                    name: region.name.into(),
                    block: Self::block(index).into(),
                    callers: 20,
                    share: 1.0,
                    one_way_ms: 0,
                })
                .collect(),
            classes,
            bursts: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The operators' configuration.
    pub fn config(&self) -> String {
        if let Some(text) = &self.config_text {
            return text.clone();
        }
        let mut text = String::from("name: rig\nregions:\n");
        let mut line = |line: String| text.push_str(&(line + "\n"));
        for region in &self.regions {
            line(format!(
                "  - {{id: {}, failure_domains: [{}]}}",
                region.name,
                DOMAINS.join(", ")
            ));
        }
        line("services:".into());
        for class in &self.classes {
            line(format!("  - {}", class.name));
        }
        line("classes:".into());
        for class in &self.classes {
            line(format!("  - {}", class.config()));
        }
        if self.regions.len() > 1 {
            line("caps:".into());
        }
        for from in &self.regions {
            for to in self.regions.iter().filter(|to| to.name != from.name) {
                line(format!(
                    "  - {{from: {}, to: {}, bytes_per_s: {}, in_flight: 200, growth_per_s: 100}}",
                    from.name, to.name, self.cap_bytes_per_s
                ));
            }
        }
        line("blocks:".into());
        for index in 0..self.regions.len() {
            let mut order: Vec<&str> = self.regions.iter().map(|region| region.name).collect();
            order.rotate_left(index);
            line(format!(
                "  - {{block: {}, regions: [{}]}}",
                Self::block(index),
                order.join(", ")
            ));
        }
        text
    }

    /// All upstreams, as `standin-upstream` reads them.
    pub(crate) fn upstreams(&self) -> Vec<Value> {
        let mut specs = Vec::new();
        for (place, region) in self.regions.iter().enumerate() {
            for class in &self.classes {
                for index in 0..class.upstreams_in(place, self.regions.len()) {
                    specs.push(json!({
                        "id": format!("{}-{}-{index}", region.name, class.name),
                        "service": class.name,
                        "region": region.name,
                        "domain": domain(index),
                        "slots": class.slots,
                        "service_ms": class.service_ms,
                        "seed": index,
                        "cold_requests": class.cold_requests,
                        "cold_factor": class.cold_factor,
                        "ignores_cancel": class.ignores_cancel,
                    }));
                }
            }
        }
        specs
    }
}

impl ClassLayout {
    /// Quick lookups.
    pub fn menu() -> Self {
        Self {
            name: "menu",
            idempotent: true,
            priority: 0,
            upstreams_per_region: 3,
            upstreams_dealt: None,
            slots: 9,
            service_ms: 10.0,
            deadline_ms: 5_000,
            headroom_pct: 20,
            cold_requests: 0,
            cold_factor: 1.0,
            ignores_cancel: false,
        }
    }

    /// Filings.
    pub fn orders() -> Self {
        Self {
            name: "orders",
            idempotent: false,
            priority: 1,
            slots: 6,
            service_ms: 20.0,
            ..Self::menu()
        }
    }

    /// Heavy downloads.
    pub fn binders() -> Self {
        Self {
            name: "binders",
            priority: 5,
            slots: 3,
            service_ms: 30.0,
            ..Self::menu()
        }
    }

    /// Upstreams in the region of this index.
    fn upstreams_in(&self, region: usize, regions: usize) -> usize {
        let Some(dealt) = self.upstreams_dealt else {
            return self.upstreams_per_region;
        };
        dealt / regions + usize::from(region < dealt % regions)
    }

    fn config(&self) -> String {
        format!(
            "{{id: {0}, service: {0}, idempotent: {1}, priority: {2}, latency_ms: 200, \
             headroom_pct: {3}, deadline_ms: {4}, success_pct: 99.9}}",
            self.name, self.idempotent, self.priority, self.headroom_pct, self.deadline_ms
        )
    }
}

/// Failure domain of the entry or upstream of this index.
pub(crate) fn domain(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()]
}

/// Settings of one daemon, in YAML.
pub(crate) fn settings(
    daemon: &crate::Daemon,
    platform: &str,
    dial: &[(String, String)],
    layout: &Layout,
) -> String {
    let mut text = format!(
        "instance: {}\nregion: {}\nfailure_domain: {}\ncallers_addr: {}\npeers_addr: {}\n\
         operator_addr: {}\nplatform_url: http://{platform}\n\
         peer_key: key-of-the-rig-only-for-tests\ntraffic_threads: 1\npolicy: {}\n",
        daemon.id,
        daemon.region,
        daemon.domain,
        daemon.callers,
        daemon.peers,
        daemon.operator,
        layout.policy
    );
    if let Some(key) = layout.operator_key {
        // Writing to a string can't fail.
        let _ = writeln!(text, "operator_key: {key}");
    }
    if !dial.is_empty() {
        text.push_str("dial:\n");
    }
    for (listed, dialled) in dial {
        let _ = writeln!(text, "  - {{listed: \"{listed}\", dial: \"{dialled}\"}}");
    }
    if !layout.terms.is_empty() {
        text.push_str("terms:\n");
    }
    for (name, value) in &layout.terms {
        let _ = writeln!(text, "  {name}: {value}");
    }
    text
}
