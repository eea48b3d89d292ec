//! Names of the headers that the system reads and writes.

/// Claim about whether the request ran.
pub(crate) const OUTCOME: &str = "jasmine-outcome";
/// Id of the request on this hop.
pub(crate) const REQUEST: &str = "jasmine-request";
/// What is left of the caller's time, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "jasmine-deadline-ms";
/// Ticket that binds a filing to one incarnation of one entry.
pub(crate) const TICKET: &str = "jasmine-ticket";
/// Caller's key that makes a filing idempotent.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Ticket's nonce or claim's key, for the upstream's own records.
pub(crate) const FILING: &str = "jasmine-filing";
/// Entry to use instead.
pub(crate) const ENTRY: &str = "jasmine-entry";
/// When to come back, in milliseconds; finer than `Retry-After`.
pub(crate) const RETRY_AFTER_MS: &str = "jasmine-retry-after-ms";
/// Instance that answered.
pub(crate) const INSTANCE: &str = "jasmine-instance";
/// Region that answered.
pub(crate) const REGION: &str = "jasmine-region";
/// Proof that a request was forwarded by another entry.
pub(crate) const FORWARD: &str = "jasmine-forward";
/// Upstream's word that it refused without running.
pub(crate) const UPSTREAM_REFUSED: &str = "upstream-refused";
/// Upstream's word that it leaves.
pub(crate) const UPSTREAM_STATE: &str = "upstream-state";

/// Headers that belong to one connection and are not passed on.
pub(crate) const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
