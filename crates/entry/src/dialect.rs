//! Names of headers, paths and fields in the protocols with callers and upstreams.

use actix_http::header::HeaderName;

/// Names of headers, of the affinity cookie, of paths and of fields.
///
/// The entry defines the meaning of each; the deployment defines its name.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of one attempt of a caller; forwarded unchanged and repeated in the response.
    pub request_id: HeaderName,
    /// Remaining time until the caller's deadline, which also limits the upstream's work, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Cookie whose value is the same in all requests about the same object.
    pub affinity_cookie: &'static str,
    /// Incarnation that the request is addressed to; any other incarnation refuses it.
    pub target: HeaderName,
    /// Scheme of the `Authorization` header that contains an organisation's key.
    pub key_scheme: &'static str,
    /// Name of the caller's organisation, for the upstream.
    pub organisation: HeaderName,
    /// In a response: the upstream did not run the request.
    pub not_run: HeaderName,
    /// In a response: proof that it was made by the upstream.
    pub seal: HeaderName,
    /// In a response: running requests, waiting requests and slots of the upstream.
    pub load: HeaderName,
    /// In a response: maximum requests per second that the upstream accepts from all entries combined. The first header
    /// present is used; if none is present, the upstream has no limit.
    pub limit_per_s: Vec<HeaderName>,
    /// In a response: the upstream is leaving if this header has this value.
    pub leaving: (HeaderName, &'static str),
    /// Path of look-ups.
    pub lookup_path: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Field of a look-up's response that lists addresses.
    pub addresses_field: &'static str,
    /// Field of a look-up's response that states how long the response is valid, in seconds.
    pub ttl_s_field: &'static str,
}

impl Dialect {
    /// Returns the default names.
    pub fn default_names() -> Self {
        Self {
            request_id: HeaderName::from_static("jasmine-request"),
            deadline_ms: HeaderName::from_static("jasmine-deadline-ms"),
            affinity_cookie: "jasmine-affinity",
            target: HeaderName::from_static("jasmine-target"),
            key_scheme: "Bearer",
            organisation: HeaderName::from_static("jasmine-organisation"),
            not_run: HeaderName::from_static("upstream-refused"),
            seal: HeaderName::from_static("upstream-id"),
            load: HeaderName::from_static("upstream-load"),
            limit_per_s: vec![HeaderName::from_static("upstream-limit")],
            leaving: (HeaderName::from_static("upstream-state"), "leaving"),
            lookup_path: "/v1/entries",
            ready_path: "/v1/ready",
            addresses_field: "entries",
            ttl_s_field: "ttl_s",
        }
    }
}
