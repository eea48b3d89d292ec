//! Settings of an entry process.

use base::{
    DomainId,
    FastMap,
    InstanceId,
    RegionId, //
};
use org::QuotaBounds;
use overlay::Capacity;
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

/// Bounds that the deployment guarantees to its users.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum time from the signal to stop to the end of the process.
    pub grace: Duration,
    /// Maximum time until a change that the store has acknowledged is in force at every entry.
    pub change_within: Duration,
    /// Maximum ratio of retries to requests of a service.
    pub retry_ratio: f64,
    /// Window over which the ratio of retries is measured.
    pub retry_window: Duration,
    /// Retries allowed in addition to the ratio, of all entries together, in one window.
    pub retry_slack: f64,
    /// Factor on a cold upstream's stated rate. Its product with the rate, plus `cold_slack`, is the maximum number of
    /// requests that are sent to the upstream in one second.
    pub cold_factor: f64,
    /// Requests per second to a cold upstream that are allowed in addition to its rate.
    pub cold_slack: f64,
    /// Maximum fraction of a region's requests that may move to another region from one window to the next.
    pub shift_max: f64,
    /// Maximum time for which a response to a look-up is valid.
    pub lookup_ttl_max: Duration,
    /// How far the quotas of organisations may be exceeded.
    pub quota: QuotaBounds,
}

impl Default for Bounds {
    /// Bounds that are kept if the deployment states none: the strictest that any deployment has stated so far, or
    /// stricter.
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(6),
            change_within: Duration::from_secs(2),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 20.0,
            cold_factor: 1.0,
            cold_slack: 1.0,
            shift_max: 0.15,
            lookup_ttl_max: Duration::from_secs(5),
            quota: QuotaBounds::default(),
        }
    }
}

/// Sockets reserved for uses other than connections of callers and upstreams: ports, the store and other entries.
const RESERVED_SOCKETS: usize = 300;

/// Percentage of the process's memory that bodies of requests and responses may take. The rest is for the routing state,
/// connections and their buffers.
const BODY_MEMORY_PCT: u64 = 25;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Region of this instance.
    pub region: RegionId,
    /// Failure domain of this instance.
    pub failure_domain: DomainId,
    /// Region of each failure domain.
    pub regions: FastMap<DomainId, RegionId>,
    /// Address for callers' requests.
    pub callers_addr: SocketAddr,
    /// Address for look-ups of entries.
    pub lookup_addr: SocketAddr,
    /// Address for readiness checks.
    pub ready_addr: SocketAddr,
    /// Address for sessions of other entries.
    pub peers_addr: SocketAddr,
    /// Address of the metrics page.
    pub metrics_addr: SocketAddr,
    /// Address for requests that other entries can't send to upstreams themselves; `None` to take none.
    pub relay_addr: Option<SocketAddr>,
    /// Bounds guaranteed to users.
    pub bounds: Bounds,
    /// Maximum number of open sockets of the process.
    pub max_sockets: usize,
    /// CPU allotment, in thousandths of a core.
    pub cpu_milli: u32,
    /// Bandwidth of the instance's link, in Mbit/s; `None` if it isn't stated. Look-ups then offer this entry as often as
    /// those with the most capacity.
    pub link_mbit_per_s: Option<u32>,
    /// Limit on the memory of the process, in bytes; `None` without one.
    pub memory_bytes: Option<u64>,
}

impl Settings {
    /// Returns the maximum number of concurrent connections of callers. The other sockets are left for connections to
    /// upstreams: a request holds one per attempt, one after the other, and idle connections are kept open.
    pub(crate) fn max_caller_connections(&self) -> usize {
        self.max_sockets.saturating_sub(RESERVED_SOCKETS) * 2 / 3
    }

    /// Returns what the instance has, if it is stated.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        self.link_mbit_per_s.map(|link_mbit_per_s| Capacity {
            cpu_milli: self.cpu_milli.max(1),
            link_mbit_per_s,
        })
    }

    /// Returns the limit on the memory for bodies.
    pub(crate) fn body_bytes_max(&self) -> Option<u64> {
        self.memory_bytes.map(|bytes| bytes / 100 * BODY_MEMORY_PCT)
    }

    /// Returns the names of settings that differ in `next` and only change with a restart.
    pub(crate) fn fixed_differences(&self, next: &Self) -> Vec<&'static str> {
        let differs = [
            ("instance", self.instance != next.instance),
            ("region", self.region != next.region),
            ("failure_domain", self.failure_domain != next.failure_domain),
            ("regions", self.regions != next.regions),
            ("callers_addr", self.callers_addr != next.callers_addr),
            ("lookup_addr", self.lookup_addr != next.lookup_addr),
            ("ready_addr", self.ready_addr != next.ready_addr),
            ("peers_addr", self.peers_addr != next.peers_addr),
            ("metrics_addr", self.metrics_addr != next.metrics_addr),
            ("relay_addr", self.relay_addr != next.relay_addr),
            ("max_sockets", self.max_sockets != next.max_sockets),
            ("cpu_milli", self.cpu_milli != next.cpu_milli),
            (
                "link_mbit_per_s",
                self.link_mbit_per_s != next.link_mbit_per_s,
            ),
            ("memory_bytes", self.memory_bytes != next.memory_bytes),
        ];
        let differing = differs.into_iter().filter(|(_, differs)| *differs);
        differing.map(|(name, _)| name).collect()
    }
}

/// Checks whether the settings have changed. Returns `None` if not, else the new settings or all findings.
pub type Reload = Box<dyn FnMut() -> Option<Result<Settings, Vec<String>>>>;

/// Returns a [`Reload`] for the settings file at `path`. `last_text` is the text that was last read; `parse` returns
/// the settings in a text, or all findings.
///
/// A file that can't be read is a finding, which is reported only once while it stays the same.
pub fn follow_file(
    path: PathBuf,
    mut last_text: String,
    mut parse: impl FnMut(&str) -> Result<Settings, Vec<String>> + 'static,
) -> Reload {
    Box::new(move || {
        let read = fs::read_to_string(&path);
        let read = read.map_err(|error| format!("{}: {error}", path.display()));
        let (Ok(text) | Err(text)) = &read;
        if *text == last_text {
            return None;
        }
        last_text.clone_from(text);
        Some(match read {
            Ok(text) => parse(&text),
            Err(finding) => Err(vec![finding]),
        })
    })
}
