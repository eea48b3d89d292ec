//! Names on the wire towards callers and upstreams.

use actix_http::header::HeaderName;

/// Names of headers, of the affinity cookie and of paths.
///
/// The entry knows what each says; how it is called belongs to the deployment.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of one attempt of a caller; passed on as sent and repeated in the answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait, and that the upstream may work.
    pub deadline_ms: HeaderName,
    /// Cookie whose value requests about the same object share.
    pub affinity_cookie: &'static str,
    /// Incarnation that is to do the work; any other one refuses.
    pub target: HeaderName,
    /// In an answer: the upstream did not run the request.
    pub not_run: HeaderName,
    /// In an answer: the upstream's proof that it is its own.
    pub seal: HeaderName,
    /// In an answer: running requests, waiting requests and slots.
    pub load: HeaderName,
    /// In an answer: maximum requests per second that the upstream accepts from all entries combined. The first header
    /// present is used; if none is present, the upstream has no limit.
    pub limit_per_s: Vec<HeaderName>,
    /// Path of look-ups.
    pub lookup_path: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Field of a look-up's answer that lists addresses.
    pub addresses_field: &'static str,
    /// Field of a look-up's answer that says how long it holds, in seconds.
    pub ttl_s_field: &'static str,
}

impl Dialect {
    /// The product's own names.
    pub fn own() -> Self {
        Self {
            request_id: HeaderName::from_static("jasmine-request"),
            deadline_ms: HeaderName::from_static("jasmine-deadline-ms"),
            affinity_cookie: "jasmine-affinity",
            target: HeaderName::from_static("jasmine-target"),
            not_run: HeaderName::from_static("upstream-refused"),
            seal: HeaderName::from_static("upstream-id"),
            load: HeaderName::from_static("upstream-load"),
            limit_per_s: vec![HeaderName::from_static("upstream-limit")],
            lookup_path: "/v1/entries",
            ready_path: "/v1/ready",
            addresses_field: "entries",
            ttl_s_field: "ttl_s",
        }
    }
}
