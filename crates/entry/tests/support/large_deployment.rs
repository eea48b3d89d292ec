//! Tens of entries and upstreams in two regions: each region has two hubs and eight leaves, and several upstreams for each
//! request in flight at an entry.

use crate::support::{
    ok_response,
    repeated_filings,
    routes,
    upstream_row,
    Entry,
    JsonRows,
    Links,
    MemoryStore,
    ReceivedRequest,
    Upstream, //
};
use base::FastMap;
use route::{
    Routes,
    Service,
    ServiceShare, //
};
use std::{
    sync::Mutex,
    thread,
    time::Duration, //
};

/// Entries of each region, the two hubs first.
pub(crate) const REGION_ENTRIES: usize = 10;
/// Names by region. The hubs of a failure domain are the first by name.
const ENTRY_NAMES: [[&str; REGION_ENTRIES]; 2] = [
    [
        "a-0", "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8", "a-9",
    ],
    [
        "b-0", "b-1", "b-2", "b-3", "b-4", "b-5", "b-6", "b-7", "b-8", "b-9",
    ],
];
/// Regions with their failure domains.
const REGIONS: [(&str, &str); 2] = [("region-a", "domain-a"), ("region-b", "domain-b")];
/// Services with the number of their upstreams in each region.
const SERVICES: [(&str, usize); 3] = [("reads", 40), ("filings", 22), ("downloads", 6)];
/// Slots of each upstream.
const SLOTS: u32 = 16;
/// Time of an upstream for a key that it has served before.
const WARM_TIME: Duration = Duration::from_millis(250);
/// Time of an upstream for another key.
const COLD_TIME: Duration = Duration::from_millis(1850);
/// Time until the entries have sessions with each other, and leaves follow their hubs.
const SESSIONS_TIME: Duration = Duration::from_millis(4000);

/// Entries of which the first ones of `region-a` have links of their own to all upstreams.
pub(crate) struct LargeDeployment {
    /// Entries, those of `region-a` first.
    pub(crate) entries: Vec<Entry>,
    /// Links of the first entries.
    pub(crate) links: Vec<Links>,
    pub(crate) upstreams: Vec<Upstream>,
}

impl LargeDeployment {
    /// Starts it with links for `linked_count` entries.
    pub(crate) fn start(linked_count: usize) -> Self {
        let store = MemoryStore::default();
        store.put_routes(&service_routes());
        let upstreams: Vec<(&str, usize, Upstream)> = SERVICES
            .iter()
            .flat_map(|(service, count)| (0..count * 2).map(move |index| (*service, index % 2)))
            .map(|(service, region)| (service, region, keyed_upstream()))
            .collect();
        let addrs = || upstreams.iter().map(|(_, _, upstream)| upstream.addr);
        let links: Vec<Links> = (0..linked_count).map(|_| Links::open(addrs())).collect();
        let mut entries = Vec::new();
        for (names, (region, domain)) in ENTRY_NAMES.iter().zip(REGIONS) {
            for name in *names {
                let grace = Duration::from_secs(6);
                entries.push(match links.get(entries.len()) {
                    Some(links) => {
                        let rows = links.rows();
                        Entry::start_with_rows(name, region, domain, &store, grace, rows)
                    }
                    None => Entry::start_with_rows(name, region, domain, &store, grace, JsonRows),
                });
            }
        }
        for entry in &entries {
            entry.wait_ready(true);
        }
        // Upstreams that are listed earlier could reach an entry with the addresses of another one's links.
        thread::sleep(SESSIONS_TIME);
        for (index, (service, region, upstream)) in upstreams.iter().enumerate() {
            let mut row = upstream_row(format!("u-{index}"), upstream.addr);
            row.service = (*service).into();
            row.slots = SLOTS;
            let (region, domain) = REGIONS[*region];
            row.region = region.into();
            row.failure_domain = domain.into();
            store.put_upstream(&row);
        }
        thread::sleep(Duration::from_millis(1000));
        Self {
            entries,
            links,
            upstreams: upstreams.into_iter().map(|(.., one)| one).collect(),
        }
    }

    /// Returns the ids of filings that reached an upstream more than once.
    pub(crate) fn repeated_filings(&self) -> Vec<String> {
        repeated_filings(&self.upstreams)
    }
}

/// Routes whose requests have affinity keys, each to a service of its own.
fn service_routes() -> Routes {
    let mut routes = routes(1);
    let template = routes.services[0].clone();
    routes.services = SERVICES
        .iter()
        .map(|(service, _)| Service {
            id: (*service).into(),
            ..template.clone()
        })
        .collect();
    for route in &mut routes.hosts[0].routes {
        let service = SERVICES
            .iter()
            .find(|(service, _)| route.id == *service)
            .map_or("filings", |(service, _)| service);
        route.split = vec![ServiceShare {
            service: service.into(),
            weight: 1.0,
        }];
        route.sticky = true;
        route.timeout = Duration::from_millis(2000);
        route.latency_target = Duration::from_millis(700);
    }
    routes
}

/// Starts an upstream that takes [`WARM_TIME`] or [`COLD_TIME`] for a request, by its key.
fn keyed_upstream() -> Upstream {
    let served_keys = Mutex::new(FastMap::<String, ()>::default());
    Upstream::start(Box::new(move |_, request: &ReceivedRequest, connection| {
        let key = request.header("cookie").unwrap_or("").to_owned();
        let mut keys = served_keys.lock().expect("no script panics");
        let is_new = keys.insert(key, ()).is_none();
        drop(keys);
        thread::sleep(if is_new { COLD_TIME } else { WARM_TIME });
        connection.write(ok_response(request, "ok"));
        true
    }))
}
