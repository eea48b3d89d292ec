//! Names of the headers that the system reads and writes.

/// Whether the request ran: `done`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "jasmine-outcome";
/// Id of the request on this hop.
pub(crate) const REQUEST: &str = "jasmine-request";
/// Time until the caller's deadline, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "jasmine-deadline-ms";
/// Ticket that binds a filing to one incarnation of one entry.
pub(crate) const TICKET: &str = "jasmine-ticket";
/// Caller's key that makes a filing idempotent.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Nonce of the ticket or key of the claim, for the upstream's own records.
pub(crate) const FILING: &str = "jasmine-filing";
/// Entry to use instead.
pub(crate) const ENTRY: &str = "jasmine-entry";
/// Time after which to retry, in milliseconds; finer than `Retry-After`.
pub(crate) const RETRY_AFTER_MS: &str = "jasmine-retry-after-ms";
/// Instance that answered.
pub(crate) const INSTANCE: &str = "jasmine-instance";
/// Region that answered.
pub(crate) const REGION: &str = "jasmine-region";
/// Proof that another entry forwarded the request.
pub(crate) const FORWARD: &str = "jasmine-forward";
/// Set by an upstream that refused a request without running it.
pub(crate) const UPSTREAM_REFUSED: &str = "upstream-refused";
/// Set by an upstream that is leaving.
pub(crate) const UPSTREAM_STATE: &str = "upstream-state";

/// Headers that apply to one connection only and are not forwarded.
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
