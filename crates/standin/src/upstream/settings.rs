//! What an upstream is, and what goes wrong in it.

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

/// One upstream; on the command line `key=value,…`, in a file JSON of the same fields.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name, unique over all.
    pub id: String,
    /// The service it serves.
    pub service: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// Address to listen on; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub listen: String,
    /// Requests served at once; the others queue.
    pub slots: u32,
    /// Mean time of service in milliseconds.
    #[serde(default)]
    pub service_ms: f64,
    /// Standard deviation of the logarithm of the time of service.
    #[serde(default = "usual_jitter")]
    pub jitter: f64,
    /// Seed of the jitter.
    #[serde(default)]
    pub seed: u64,
    /// Requests after which it is warm; 0 for an upstream that is never cold.
    #[serde(default)]
    pub cold_requests: u64,
    /// Time after the first request at which it is warm at the latest, in milliseconds.
    #[serde(default = "never")]
    pub cold_ms: u64,
    /// How many times longer the first request takes.
    #[serde(default = "one")]
    pub cold_factor: f64,
    /// Works on when a caller closes its connection, and closes its own end after the answer.
    #[serde(default)]
    pub ignores_cancel: bool,
}

/// What goes wrong, as `POST /fault` sets it; what is left out goes right.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Another mean time of service, in milliseconds.
    pub service_ms: Option<f64>,
    /// Factor on the time of service.
    pub slow_factor: f64,
    /// Ratio of requests refused unrun.
    pub shed: f64,
    /// Ratio of answers that end before their declared end.
    pub truncate: f64,
    /// Ratio of requests that are started and never answered; each holds its slot.
    pub hang: f64,
    /// How old the words of `/load` and `/health` are, in milliseconds.
    pub lag_ms: u64,
    /// Fields that `/load` and `/health` tell instead of the truth.
    pub lie: Lie,
    /// Leaves: says so on each answer, and may be gone later.
    pub drain: Option<Drain>,
    /// Starts cold once more when set.
    pub cold: bool,
    /// Works on after the caller's deadline, in place of ending there.
    pub overruns: bool,
    /// Dies when set, for good: connections close without an answer, new ones are refused, and what
    /// runs ends.
    pub dead: bool,
}

/// Untrue fields of `/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lie {
    /// Slots.
    pub slots: Option<u32>,
    /// Requests being served.
    pub in_flight: Option<u64>,
    /// Requests waiting.
    pub queued: Option<u64>,
    /// State.
    pub state: Option<State>,
}

/// How an upstream leaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// When it refuses connections and new work, in milliseconds from now; else never.
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
            lie: Lie::default(),
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
                .ok_or_else(|| eyre!("`{field}` is not key=value"))?;
            let number = serde_json::from_str(value).ok().filter(Value::is_number);
            Ok((key.to_owned(), number.unwrap_or_else(|| value.into())))
        });
        let fields = fields.collect::<eyre::Result<Map<_, _>>>()?;
        serde_json::from_value(fields.into()).wrap_err_with(|| format!("in `{text}`"))
    }
}

/// Any free port of loopback.
fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

/// The jitter where none is given.
fn usual_jitter() -> f64 {
    0.25
}

/// The factor that changes nothing.
fn one() -> f64 {
    1.0
}

/// A time that doesn't come.
fn never() -> u64 {
    u64::MAX
}
