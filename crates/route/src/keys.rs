//! Names of the rows that store routes and evacuated failure domains.
//!
//! They are shared by the operator's command, which writes the rows, and the entries, which watch them.

use base::DomainId;

/// Table written by operators: the part of a key before its first slash.
pub const OPERATOR_TABLE: &str = "operator";
/// Key in that table of the active routes, stored as the accepted YAML text.
pub const ROUTES_KEY: &str = "routes";
/// Prefix of the keys in that table for failure domains; the rest of the key is the domain's name.
const EVACUATED_PREFIX: &str = "evacuated/";

/// Value of a failure domain's row while no requests may be sent to its upstreams.
pub const EVACUATED: &str = "yes";
/// Value after the evacuation has ended. The row is kept because its version orders this change relative to others.
pub const NOT_EVACUATED: &str = "no";

/// Returns the key in the operators' table that states whether a failure domain is evacuated.
pub fn evacuated_key(domain: &str) -> String {
    format!("{EVACUATED_PREFIX}{domain}")
}

/// Returns the failure domain that a key in the operators' table refers to, if any.
pub fn evacuated_domain(key: &str) -> Option<DomainId> {
    key.strip_prefix(EVACUATED_PREFIX).map(DomainId::from)
}
