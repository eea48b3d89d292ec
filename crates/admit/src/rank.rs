//! Ranks of requests.

use base::{
    FastMap,
    ServiceId, //
};
use route::{
    Route,
    Routes, //
};
use std::{
    collections::BTreeSet,
    fmt, //
};

/// Rank of a request; a smaller one is higher.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of its organisation, or of its route if the organisation has none.
    pub organisation: u32,
    /// Priority of its route.
    pub route: u32,
}

impl Rank {
    /// Returns the rank of a route's requests from an organisation with this priority.
    pub fn new(route: u32, organisation: Option<u32>) -> Self {
        Self {
            organisation: organisation.unwrap_or(route),
            route,
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.organisation, self.route)
    }
}

/// Returns the ranks of the requests that may reach each service, the highest first. Services whose requests all have the
/// same rank are left out.
pub fn contended_ranks(routes: &Routes) -> FastMap<ServiceId, Vec<Rank>> {
    let mut ranks: FastMap<ServiceId, BTreeSet<Rank>> = FastMap::default();
    for route in routes.hosts.iter().flat_map(|host| &host.routes) {
        let of_route = ranks_of(route, routes);
        for share in route.split.iter().filter(|share| share.weight > 0.0) {
            let of_service = ranks.entry(share.service.clone()).or_default();
            of_service.extend(&of_route);
        }
    }
    let contended = ranks.into_iter().filter(|(_, ranks)| ranks.len() > 1);
    contended
        .map(|(service, ranks)| (service, ranks.into_iter().collect()))
        .collect()
}

/// Returns the ranks of a route's requests.
fn ranks_of(route: &Route, routes: &Routes) -> BTreeSet<Rank> {
    let organisations = routes.organisations.iter().flatten();
    let of_organisations = organisations.map(|one| Rank::new(route.priority, one.priority));
    let mut ranks: BTreeSet<Rank> = of_organisations.collect();
    if routes.organisations.is_none() || route.open {
        ranks.insert(Rank::new(route.priority, None));
    }
    ranks
}
