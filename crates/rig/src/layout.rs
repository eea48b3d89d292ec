//! Layout of a test system, and the configuration and settings files derived from it.

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

/// Layout of a test system.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Regions, each with its entries.
    pub regions: Vec<RegionLayout>,
    /// Classes, each with its own service of the same name.
    pub classes: Vec<ClassLayout>,
    /// One-way delay between regions; traffic passes through relays even when it is zero.
    pub inter_region_delay_us: u64,
    /// Entries of the settings' `terms` that differ from the defaults, such as `beat_ms`.
    pub terms: Vec<(&'static str, u64)>,
    /// Cap on the bytes per second from each region to each other region.
    pub cap_bytes_per_s: u64,
    /// Load-balancing policy, as named in the daemons' settings.
    pub policy: &'static str,
    /// Key that operators have to present.
    pub operator_key: Option<&'static str>,
    /// Whether each daemon reaches the platform through its own relay, which can be cut.
    pub platform_relays: bool,
    /// Configuration to accept in place of the derived one.
    pub config_text: Option<String>,
    /// Folder of the `jasmined` to run, such as an earlier commit's; by default this build's.
    pub daemon_folder: Option<PathBuf>,
}

/// One region.
#[derive(Clone, Debug)]
pub struct RegionLayout {
    /// Name of the region.
    pub name: &'static str,
    /// Number of entries; they alternate between two failure domains.
    pub entries: usize,
}

/// One class and its service.
#[derive(Clone, Debug)]
pub struct ClassLayout {
    /// Name of the class and of its service.
    pub name: &'static str,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Priority; 0 is shed last.
    pub priority: u8,
    /// Number of upstreams in each region; they alternate between two failure domains.
    pub upstreams_per_region: usize,
    /// Total number of upstreams, spread evenly over the regions; overrides `upstreams_per_region`.
    pub upstreams_total: Option<usize>,
    /// Slots of each upstream.
    pub slots: u32,
    /// Mean service time.
    pub service_ms: f64,
    /// Deadline of a request.
    pub deadline_ms: u64,
    /// Target headroom.
    pub headroom_pct: u8,
    /// Number of requests after which an upstream is warm; 0 if it is never cold.
    pub cold_requests: u64,
    /// Factor by which a cold upstream's first request takes longer.
    pub cold_factor: f64,
    /// Whether upstreams continue a request whose connection was closed.
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
            inter_region_delay_us: 0,
            terms: Self::quick_terms(),
            cap_bytes_per_s: 100_000_000,
            policy: "ours",
            operator_key: None,
            platform_relays: false,
            config_text: None,
            daemon_folder: None,
        }
    }

    /// Two regions of two entries each, with quick lookups, filings and downloads.
    pub fn two_regions() -> Self {
        let region = |name| RegionLayout { name, entries: 2 };
        Self {
            regions: vec![region("arusha"), region("moshi")],
            classes: vec![
                ClassLayout::menu(),
                ClassLayout::orders(),
                ClassLayout::binders(),
            ],
            inter_region_delay_us: 2_000,
            ..Self::one_region()
        }
    }

    /// Two regions with long service times, so that an entry always ends with requests in flight.
    pub fn long_work() -> Self {
        let mut layout = Self::two_regions();
        for class in &mut layout.classes {
            class.service_ms *= 15.0;
        }
        layout
    }

    /// Two regions whose few slots are often all in use, so that a slot with two owners shows as a
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

    /// As [`Layout::tight`], with upstreams that continue a request whose connection was closed.
    pub fn tight_without_cancel() -> Self {
        let mut layout = Self::tight();
        for class in &mut layout.classes {
            class.ignores_cancel = true;
        }
        layout
    }

    /// Terms under which leases expire and silent peers are noticed fast enough for a test.
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

    /// Address block of the callers whose home is the region with this index.
    pub fn block(index: usize) -> String {
        format!("10.{}.0.0/16", index + 1)
    }

    /// Scene with load of `classes` for `duration_ms`, spread evenly over the callers of all
    /// regions.
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

    /// The configuration that the operators accept.
    pub fn config(&self) -> String {
        if let Some(text) = &self.config_text {
            return text.clone();
        }
        let mut text = String::from("name: rig\nregions:\n");
        let mut push_line = |line: String| text.push_str(&(line + "\n"));
        for region in &self.regions {
            push_line(format!(
                "  - {{id: {}, failure_domains: [{}]}}",
                region.name,
                DOMAINS.join(", ")
            ));
        }
        push_line("services:".into());
        for class in &self.classes {
            push_line(format!("  - {}", class.name));
        }
        push_line("classes:".into());
        for class in &self.classes {
            push_line(format!("  - {}", class.config()));
        }
        if self.regions.len() > 1 {
            push_line("caps:".into());
        }
        for from in &self.regions {
            for to in self.regions.iter().filter(|to| to.name != from.name) {
                push_line(format!(
                    "  - {{from: {}, to: {}, bytes_per_s: {}, in_flight: 200, growth_per_s: 100}}",
                    from.name, to.name, self.cap_bytes_per_s
                ));
            }
        }
        push_line("blocks:".into());
        for index in 0..self.regions.len() {
            let mut order: Vec<&str> = self.regions.iter().map(|region| region.name).collect();
            order.rotate_left(index);
            push_line(format!(
                "  - {{block: {}, regions: [{}]}}",
                Self::block(index),
                order.join(", ")
            ));
        }
        text
    }

    /// Specification of all upstreams for `standin-upstream`.
    pub(crate) fn upstreams(&self) -> Vec<Value> {
        let mut upstreams = Vec::new();
        for (region_index, region) in self.regions.iter().enumerate() {
            for class in &self.classes {
                for index in 0..class.upstreams_in(region_index, self.regions.len()) {
                    upstreams.push(json!({
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
        upstreams
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
            upstreams_total: None,
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

    /// Number of upstreams in the region with this index.
    fn upstreams_in(&self, region_index: usize, region_count: usize) -> usize {
        let Some(total) = self.upstreams_total else {
            return self.upstreams_per_region;
        };
        total / region_count + usize::from(region_index < total % region_count)
    }

    fn config(&self) -> String {
        format!(
            "{{id: {0}, service: {0}, idempotent: {1}, priority: {2}, latency_ms: 200, \
             headroom_pct: {3}, deadline_ms: {4}, success_pct: 99.9}}",
            self.name, self.idempotent, self.priority, self.headroom_pct, self.deadline_ms
        )
    }
}

/// Failure domain of the entry or upstream with this index.
pub(crate) fn domain(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()]
}

/// Settings file of one daemon, in YAML.
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
        daemon.callers_addr,
        daemon.peers_addr,
        daemon.operator_addr,
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
