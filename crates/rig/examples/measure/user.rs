//! Layouts of the two users' systems, at the sizes that their requirements give.

use rig::{
    ClassLayout,
    Layout,
    RegionLayout, //
};

/// Entries in each region: nine in all, because both users have 8 to 12.
const ENTRIES: usize = 3;
/// Requests after which an upstream's caches are warm.
const COLD_REQUESTS: u64 = 200;
/// Factor by which a cold upstream's first request takes longer.
const COLD_FACTOR: f64 = 4.0;

/// Layout of the user with this name, with the configuration from `examples/`.
pub(crate) fn layout(user: &str) -> Option<Layout> {
    match user {
        "kilima" => Some(kilima()),
        "cascade" => Some(cascade()),
        _ => None,
    }
}

fn kilima() -> Layout {
    Layout {
        regions: regions(["arusha", "moshi", "dar"]),
        classes: vec![
            quick("menu", 15, 9),
            filings("orders", 12, 6),
            downloads("binders", 12, 3),
        ],
        inter_region_delay_us: 55_000,
        config_text: Some(include_str!("../../../../examples/kilima.yaml").into()),
        terms: Vec::new(),
        ..Layout::two_regions()
    }
}

fn cascade() -> Layout {
    Layout {
        regions: regions(["puget", "willamette", "inland"]),
        classes: vec![
            quick("status", 20, 6),
            filings("workorders", 12, 6),
            downloads("logs", 12, 3),
        ],
        inter_region_delay_us: 12_000,
        config_text: Some(include_str!("../../../../examples/cascade.yaml").into()),
        terms: Vec::new(),
        ..Layout::two_regions()
    }
}

fn regions(names: [&'static str; 3]) -> Vec<RegionLayout> {
    let region = |name| RegionLayout {
        name,
        entries: ENTRIES,
    };
    names.map(region).into()
}

fn quick(name: &'static str, upstreams: usize, slots: u32) -> ClassLayout {
    ClassLayout {
        name,
        upstreams_total: Some(upstreams),
        slots,
        service_ms: 40.0,
        cold_requests: COLD_REQUESTS,
        cold_factor: COLD_FACTOR,
        ..ClassLayout::menu()
    }
}

fn filings(name: &'static str, upstreams: usize, slots: u32) -> ClassLayout {
    ClassLayout {
        name,
        upstreams_total: Some(upstreams),
        slots,
        service_ms: 60.0,
        ..ClassLayout::orders()
    }
}

fn downloads(name: &'static str, upstreams: usize, slots: u32) -> ClassLayout {
    ClassLayout {
        name,
        upstreams_total: Some(upstreams),
        slots,
        service_ms: 150.0,
        ..ClassLayout::binders()
    }
}
