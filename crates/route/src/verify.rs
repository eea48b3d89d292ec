//! Verification of one version of the routes.

use crate::config::{
    Organisation,
    Route,
    Routes, //
};
use base::FastSet;
use std::fmt;

/// Error in a version of the routes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Location, such as `host a.example, route r-1`.
    pub location: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// Returns the location of a service in findings.
pub(crate) fn service_location(service: &str) -> String {
    format!("service {service}")
}

/// Returns the location of a route in findings.
pub(crate) fn route_location(host: &str, route: &str) -> String {
    format!("host {host}, route {route}")
}

/// Returns the location of an organisation in findings.
pub(crate) fn organisation_location(organisation: &str) -> String {
    format!("organisation {organisation}")
}

/// Returns all findings in `routes`.
pub fn verify(routes: &Routes) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut services = FastSet::default();
    for service in &routes.services {
        if !services.insert(&service.id) {
            findings.push(finding(&service_location(&service.id), "duplicate service"));
        }
    }
    for host in &routes.hosts {
        let mut prefixes = FastSet::default();
        for route in &host.routes {
            let location = route_location(&host.host, &route.id);
            if !prefixes.insert(&route.prefix) {
                findings.push(finding(&location, "duplicate prefix"));
            }
            for message in route_errors(route) {
                findings.push(finding(&location, message));
            }
            let unknown = route
                .split
                .iter()
                .filter(|share| !services.contains(&share.service));
            for share in unknown {
                let message = format!("unknown service {}", share.service);
                findings.push(finding(&location, &message));
            }
        }
    }
    findings.extend(organisation_findings(routes));
    findings
}

/// Returns the findings in the organisations. Findings never contain keys or digests.
fn organisation_findings(routes: &Routes) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut names = FastSet::default();
    let mut keys = FastSet::default();
    for organisation in routes.organisations.iter().flatten() {
        let location = organisation_location(&organisation.id);
        if !names.insert(&organisation.id) {
            findings.push(finding(&location, "duplicate organisation"));
        }
        for (index, key) in organisation.keys.iter().enumerate() {
            if !keys.insert(key) {
                let message = format!("key {} is a duplicate", index + 1);
                findings.push(finding(&location, &message));
            }
        }
        for message in organisation_errors(organisation) {
            findings.push(finding(&location, message));
        }
    }
    findings
}

/// Returns the errors in an organisation that do not depend on other parts of the version.
fn organisation_errors(organisation: &Organisation) -> Vec<&'static str> {
    let mut errors = Vec::new();
    // Upstreams get the name in a header.
    let is_valid_name =
        !organisation.id.is_empty() && organisation.id.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid_name {
        errors.push("the name must be printable ASCII characters without spaces");
    }
    let quota = &organisation.quota;
    let is_valid = |number: f64| number.is_finite() && number >= 0.0;
    if !is_valid(quota.rate_per_s) {
        errors.push("the rate must not be negative");
    }
    if !is_valid(quota.burst) {
        errors.push("the burst must not be negative");
    }
    errors
}

/// Returns the errors in a route that do not depend on other parts of the version.
fn route_errors(route: &Route) -> Vec<&'static str> {
    let mut errors = Vec::new();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        errors.push("the prefix must begin and end with a slash");
    }
    if route.timeout.is_zero() {
        errors.push("the timeout must not be zero");
    }
    if route.max_attempts == 0 {
        errors.push("the maximum number of attempts must not be zero");
    }
    if route.split.is_empty() {
        errors.push("the traffic split has no service");
    } else if !route.split.iter().any(|share| share.weight > 0.0) {
        errors.push("no service has a positive weight");
    }
    if route.split.iter().any(|share| share.weight < 0.0) {
        errors.push("a service has a negative weight");
    }
    errors
}

fn finding(location: &str, message: &str) -> Finding {
    Finding {
        location: location.to_owned(),
        message: message.to_owned(),
    }
}
