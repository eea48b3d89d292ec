//! Rows of the product's own table that routes are kept in.
//!
//! An operator's command writes them and every entry follows them, so both take their names from here.

use base::DomainId;

/// Table of what operators say: the part of a key before its first slash.
pub const OPERATOR_TABLE: &str = "operator";
/// Key within that table of the routes in force, as the YAML text that was accepted.
pub const ROUTES_KEY: &str = "routes";
/// Keys within that table of failure domains: this, and the domain's name.
const EVACUATED_PREFIX: &str = "evacuated/";

/// Value of a failure domain's row while nothing is to be sent to its upstreams.
pub const EVACUATED: &str = "yes";
/// Value once that has been taken back. The row stays: its version orders the change among others.
pub const NOT_EVACUATED: &str = "no";

/// Key within the operators' table that says whether a failure domain is evacuated.
pub fn evacuated_key(domain: &str) -> String {
    format!("{EVACUATED_PREFIX}{domain}")
}

/// The failure domain that a key within the operators' table is about, if it is about one.
pub fn evacuated_domain(key: &str) -> Option<DomainId> {
    key.strip_prefix(EVACUATED_PREFIX).map(DomainId::from)
}
