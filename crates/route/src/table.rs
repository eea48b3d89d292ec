//! Route lookup by host and longest path prefix, and organisation lookup by key.

use crate::config::{
    CallerLimits,
    Organisation,
    Route,
    Routes,
    Service, //
};
use base::{
    FastMap,
    OrganisationId,
    ServiceId,
    Version, //
};
use bytestring::ByteString;
use org::{
    Credentials,
    KeyDigest, //
};
use std::sync::Arc;

/// Whom a request comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerId {
    /// Callers need no keys: there are no organisations.
    NotRequired,
    /// An anonymous caller of an open route.
    Anonymous,
    /// A caller of an organisation.
    Organisation(Arc<Organisation>),
}

impl CallerId {
    /// Returns the organisation, if any.
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::NotRequired | Self::Anonymous => None,
        }
    }
}

/// Why a request's key is not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unauthorized {
    /// It has no key, and its route is not open.
    Missing,
    /// Its key is not in the expected form.
    Malformed,
    /// No organisation has the key.
    Unknown,
}

/// Immutable lookup table of one version of the routes.
#[derive(Clone, Debug)]
pub struct Table {
    routes: Arc<Routes>,
    /// Routes of each host, sorted by descending prefix length.
    by_host: FastMap<ByteString, Vec<Arc<Route>>>,
    services: FastMap<ServiceId, Service>,
    /// Organisations by the digests of their keys; `None` if callers need no keys.
    by_key: Option<FastMap<KeyDigest, Arc<Organisation>>>,
    /// Organisations by name; `None` if callers need no keys.
    by_name: Option<FastMap<OrganisationId, Arc<Organisation>>>,
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
        let organisations = routes.organisations.as_ref().map(|all| {
            let all = all.iter();
            all.map(|one| Arc::new(one.clone())).collect::<Vec<_>>()
        });
        let by_key = organisations.as_deref().map(by_key);
        let by_name = organisations.map(|all| {
            let all = all.into_iter();
            all.map(|one| (one.id.clone(), one)).collect()
        });
        Self {
            routes,
            by_host,
            services,
            by_key,
            by_name,
        }
    }

    /// Finds the organisation that a request's key belongs to.
    ///
    /// # Errors
    ///
    /// The route requires a key, and the request has none that is valid.
    pub fn identify(
        &self,
        route: &Route,
        credentials: Credentials,
    ) -> Result<CallerId, Unauthorized> {
        let Some(by_key) = &self.by_key else {
            return Ok(CallerId::NotRequired);
        };
        let found = match credentials {
            Credentials::Missing => Err(Unauthorized::Missing),
            Credentials::Malformed => Err(Unauthorized::Malformed),
            Credentials::Key(key) => by_key.get(&key).ok_or(Unauthorized::Unknown),
        };
        match found {
            Ok(organisation) => Ok(CallerId::Organisation(organisation.clone())),
            Err(_) if route.open => Ok(CallerId::Anonymous),
            Err(unauthorized) => Err(unauthorized),
        }
    }

    /// Finds the organisation that a request belongs to by its name, which another entry has found by the request's key.
    ///
    /// # Errors
    ///
    /// The organisation is unknown, or the route requires one and the request has none.
    pub fn identify_by_name(
        &self,
        route: &Route,
        name: Option<&str>,
    ) -> Result<CallerId, Unauthorized> {
        let Some(by_name) = &self.by_name else {
            return Ok(CallerId::NotRequired);
        };
        match name {
            Some(name) => {
                let organisation = by_name.get(name).ok_or(Unauthorized::Unknown)?;
                Ok(CallerId::Organisation(organisation.clone()))
            }
            None if route.open => Ok(CallerId::Anonymous),
            None => Err(Unauthorized::Missing),
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

fn by_key(organisations: &[Arc<Organisation>]) -> FastMap<KeyDigest, Arc<Organisation>> {
    let mut by_key = FastMap::default();
    for organisation in organisations {
        for key in &organisation.keys {
            by_key.insert(*key, organisation.clone());
        }
    }
    by_key
}
