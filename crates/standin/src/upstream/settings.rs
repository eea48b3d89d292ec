//! Configuration of an upstream and the faults that tests inject into it.

use super::State;
use eyre::{
    eyre,
    Context as _, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value, //
};
use std::str::FromStr;

/// Configuration of an upstream: `key=value,…` on the command line, an object with the same fields
/// in a JSON file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name, unique among all upstreams.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Address to listen on; port 0 selects a free port.
    #[serde(default = "any_port")]
    pub listen: String,
    /// Maximum number of requests served concurrently; further ones queue.
    pub slots: u32,
    /// Mean service time in milliseconds.
    #[serde(default)]
    pub service_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    #[serde(default = "usual_jitter")]
    pub jitter: f64,
    /// Seed of the jitter.
    #[serde(default)]
    pub seed: u64,
    /// Number of requests after which it is warm; 0 for an upstream that is never cold.
    #[serde(default)]
    pub cold_requests: u64,
    /// Time in milliseconds after the first request by which it is warm regardless of their number.
    #[serde(default = "never")]
    pub cold_ms: u64,
    /// Factor on the service time of the first request of a cold upstream.
    #[serde(default = "one")]
    pub cold_factor: f64,
    /// Completes a request even if the caller closes its end of the connection, then closes its own
    /// end after the response.
    #[serde(default)]
    pub ignores_cancel: bool,
}

/// Body of `POST /fault`; a fault that is left out is inactive.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Replacement for the configured mean service time, in milliseconds.
    pub service_ms: Option<f64>,
    /// Factor on the service time.
    pub slow_factor: f64,
    /// Ratio of requests that are refused without running.
    pub shed: f64,
    /// Ratio of responses that end before their declared length.
    pub truncate: f64,
    /// Ratio of requests that start but never get a response; each keeps its slot.
    pub hang: f64,
    /// Age of what `/load` and `/health` report, in milliseconds.
    pub lag_ms: u64,
    /// Untrue values for `/load` and `/health` to report.
    pub lie: LoadOverride,
    /// Reports in each response that it is leaving, and may refuse new requests later.
    pub drain: Option<Drain>,
    /// Makes the upstream cold again at the moment this is set.
    pub cold: bool,
    /// Continues past the caller's deadline instead of ending the request there.
    pub overruns: bool,
    /// Stops the upstream permanently: connections close without a response, new ones are refused,
    /// and requests in flight are cancelled.
    pub dead: bool,
}

/// Values that replace the actual ones in the response to `/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadOverride {
    /// Slots.
    pub slots: Option<u32>,
    /// Requests being served.
    pub in_flight: Option<u64>,
    /// Requests waiting for a slot.
    pub queued: Option<u64>,
    /// State.
    pub state: Option<State>,
}

/// How an upstream drains.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Delay in milliseconds until it refuses connections and new requests; never if unset.
    pub refuse_after_ms: Option<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            service_ms: None,
            slow_factor: 1.0,
            shed: 0.0,
            truncate: 0.0,
            hang: 0.0,
            lag_ms: 0,
            lie: LoadOverride::default(),
            drain: None,
            cold: false,
            overruns: false,
            dead: false,
        }
    }
}

impl FromStr for Spec {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let fields = text.split(',').map(|field| {
            let (key, value) = field
                .split_once('=')
                .ok_or_else(|| eyre!("`{field}` is not of the form key=value"))?;
            let number = serde_json::from_str(value).ok().filter(Value::is_number);
            Ok((key.to_owned(), number.unwrap_or_else(|| value.into())))
        });
        let fields = fields.collect::<eyre::Result<Map<_, _>>>()?;
        serde_json::from_value(fields.into()).wrap_err_with(|| format!("invalid upstream `{text}`"))
    }
}

/// Default of `listen`: a free loopback port.
fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

/// Default of `jitter`.
fn usual_jitter() -> f64 {
    0.25
}

/// Default of `cold_factor`: no slowdown.
fn one() -> f64 {
    1.0
}

/// Default of `cold_ms`: warm-up isn't limited by time.
fn never() -> u64 {
    u64::MAX
}
