//! Route lookup by host and longest path prefix.

use crate::config::{
    CallerLimits,
    Route,
    Routes,
    Service, //
};
use base::{
    FastMap,
    ServiceId,
    Version, //
};
use bytestring::ByteString;
use std::sync::Arc;

/// Immutable lookup table of one version of the routes.
#[derive(Clone, Debug)]
pub struct Table {
    routes: Arc<Routes>,
    /// Routes of each host, sorted by descending prefix length.
    by_host: FastMap<ByteString, Vec<Arc<Route>>>,
    services: FastMap<ServiceId, Service>,
}

impl Table {
    /// Builds the table of a version.
    pub fn new(routes: Arc<Routes>) -> Self {
        let mut by_host: FastMap<ByteString, Vec<Arc<Route>>> = FastMap::default();
        for host in &routes.hosts {
            let host_routes = by_host.entry(host.host.clone()).or_default();
            host_routes.extend(host.routes.iter().cloned().map(Arc::new));
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = routes
            .services
            .iter()
            .map(|service| (service.id.clone(), service.clone()))
            .collect();
        Self {
            routes,
            by_host,
            services,
        }
    }

    /// Returns the data of the version.
    pub fn routes(&self) -> &Arc<Routes> {
        &self.routes
    }

    /// Returns the version number.
    pub fn version(&self) -> Version {
        self.routes.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.routes.limits
    }

    /// Returns the service with a name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns the route of `host` with the longest prefix that matches `path`. The host may have a port, and its case
    /// is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let host_routes = match self.by_host.get(name) {
            Some(host_routes) => host_routes,
            None => self.by_host.get(&*name.to_ascii_lowercase())?,
        };
        host_routes
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }
}
