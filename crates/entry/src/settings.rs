//! What a process is told at its start.

use base::{
    DomainId,
    FastMap,
    InstanceId,
    RegionId, //
};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

/// Bounds that the deployment promises its users.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// From the signal to stop to the end of the process.
    pub grace: Duration,
    /// Sends beyond a request's first, as a part of the requests of a service.
    pub retry_ratio: f64,
    /// Window of that part.
    pub retry_window: Duration,
    /// Such sends that are allowed besides, of all entries together, in one window.
    pub retry_slack: f64,
    /// What a cold upstream bears in one second: its stated rate times this ...
    pub cold_factor: f64,
    /// ... plus this many requests.
    pub cold_slack: f64,
    /// Most of a region's requests that may change the region in which they run, from one window
    /// to the next.
    pub shift_max: f64,
    /// Longest time for which an answer to a look-up holds.
    pub lookup_ttl_max: Duration,
}

impl Default for Bounds {
    /// What is kept where a deployment promises nothing: the least that any has stated so far, or less.
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(6),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 20.0,
            cold_factor: 1.0,
            cold_slack: 1.0,
            shift_max: 0.15,
            lookup_ttl_max: Duration::from_secs(5),
        }
    }
}

/// Sockets that are neither callers' nor upstreams' connections: ports, the store, other entries.
const SOCKETS_APART: usize = 300;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Region of each failure domain.
    pub regions: FastMap<DomainId, RegionId>,
    /// Where callers send requests.
    pub callers_addr: SocketAddr,
    /// Where callers look up entries.
    pub lookup_addr: SocketAddr,
    /// Where readiness is checked.
    pub ready_addr: SocketAddr,
    /// Where other entries connect.
    pub peers_addr: SocketAddr,
    /// Where metrics are read.
    pub metrics_addr: SocketAddr,
    /// Promised bounds.
    pub bounds: Bounds,
    /// Most sockets that the process may hold.
    pub max_sockets: usize,
    /// Processor, in thousandths of a core.
    pub cpu_milli: u32,
}

impl Settings {
    /// Most connections of callers at once: the rest is for upstreams, of which a request that is sent
    /// again holds one after the other, and idle ones.
    pub(crate) fn max_callers(&self) -> usize {
        self.max_sockets.saturating_sub(SOCKETS_APART) * 2 / 3
    }

    /// What differs in `next` and can't change while the process runs.
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
            ("max_sockets", self.max_sockets != next.max_sockets),
            ("cpu_milli", self.cpu_milli != next.cpu_milli),
        ];
        let differing = differs.into_iter().filter(|(_, differs)| *differs);
        differing.map(|(name, _)| name).collect()
    }
}

/// Looks whether the settings have changed: `None` if not, else the new ones or all findings.
pub type Reload = Box<dyn FnMut() -> Option<Result<Settings, Vec<String>>>>;

/// Follows a settings file whose text was `before`; `parse` gives the settings of a text, or all findings.
///
/// A file that can't be read is a finding like any other, said once for as long as it stays so.
pub fn follow_file(
    path: PathBuf,
    mut before: String,
    mut parse: impl FnMut(&str) -> Result<Settings, Vec<String>> + 'static,
) -> Reload {
    Box::new(move || {
        let read = fs::read_to_string(&path);
        let read = read.map_err(|error| format!("{}: {error}", path.display()));
        let (Ok(text) | Err(text)) = &read;
        if *text == before {
            return None;
        }
        before.clone_from(text);
        Some(match read {
            Ok(text) => parse(&text),
            Err(finding) => Err(vec![finding]),
        })
    })
}
