//! Settings of one process, read from a YAML file that is checked completely before anything starts.

use bytestring::ByteString;
use conf::{
    Document,
    Field,
    Findings,
    Map, //
};
use entry::Bounds;
use org::QuotaBounds;
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Longest duration that a field accepts, in milliseconds.
const MAX_DURATION_MS: u64 = 600_000;
/// Fewest sockets that a field accepts. They cover the process's own ports, the store and other entries,
/// and leave some for callers.
const SOCKETS_MIN: usize = 600;
/// Most sockets that a field accepts.
const SOCKETS_MAX: usize = 1 << 20;
/// Fewest thousandths of a core that a field accepts.
const CPU_MILLI_MIN: u32 = 1;
/// Most thousandths of a core that a field accepts.
const CPU_MILLI_MAX: u32 = 1_000_000;
/// Lowest bandwidth of a link that a field accepts, in Mbit/s.
const LINK_MBIT_PER_S_MIN: u32 = 1;
/// Highest bandwidth of a link that a field accepts, in Mbit/s.
const LINK_MBIT_PER_S_MAX: u32 = 1_000_000;
/// Least memory of the process that a field accepts, in megabytes.
const MEMORY_MB_MIN: u64 = 16;
/// Most memory of the process that a field accepts, in megabytes.
const MEMORY_MB_MAX: u64 = 1 << 20;
/// Bytes of a megabyte.
const MEGABYTE: u64 = 1_000_000;
/// Default processor share: a whole core.
const DEFAULT_CPU_MILLI: u32 = 1000;
/// Default number of sockets: the usual limit of file descriptors per process, less some for files.
const DEFAULT_MAX_SOCKETS: usize = 1000;
/// Default deadline of calls to the platform, the same as in `jasmined`.
const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Default time between two polls of the platform. A change there is to be in force within a second.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The number one in parts per million.
const ONE_PPM: u32 = 1_000_000;

/// Settings of one `jasmine-router`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Settings of the entry.
    pub entry: entry::Settings,
    /// Base URL of the platform.
    pub platform_url: ByteString,
    /// Deadline of one call to the platform.
    pub platform_timeout: Duration,
    /// Time between two polls of the platform's table and list.
    pub poll_interval: Duration,
}

impl Settings {
    /// Reads and checks settings; `file` only names the file in findings.
    ///
    /// # Errors
    ///
    /// All findings in the file, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let document = Document::parse(file, text);
        let settings = document.map().and_then(|mut map| read_settings(&mut map));
        document.finish(settings)
    }
}

fn read_settings(map: &mut Map<'_>) -> Option<Settings> {
    let instance = map.required("instance").text();
    let region = map.required("region").text();
    let failure_domain = map.required("failure_domain").text();
    let callers_addr = addr(map.required("callers_addr"));
    let lookup_addr = addr(map.required("lookup_addr"));
    let ready_addr = addr(map.required("ready_addr"));
    let peers_addr = addr(map.required("peers_addr"));
    let metrics_addr = addr(map.required("metrics_addr"));
    let relay_addr = addr(map.optional("relay_addr"));
    let platform_url = url(map.required("platform_url"));
    let platform_timeout = duration(map.optional("platform_timeout_ms"));
    let poll_interval = duration(map.optional("look_ms"));
    let sockets = map.optional("max_sockets");
    let sockets = sockets.integer(SOCKETS_MIN..=SOCKETS_MAX, "sockets");
    let cpu_milli = map.optional("cpu_milli");
    let cpu_milli = cpu_milli.integer(CPU_MILLI_MIN..=CPU_MILLI_MAX, "thousandths of a core");
    let link = map.optional("link_mbit_per_s");
    let link_mbit_per_s = link.integer(LINK_MBIT_PER_S_MIN..=LINK_MBIT_PER_S_MAX, "Mbit/s");
    let memory_mb = map.optional("memory_mb");
    let memory_mb = memory_mb.integer(MEMORY_MB_MIN..=MEMORY_MB_MAX, "megabytes");
    let bounds = map.optional("bounds").map();
    let bounds = bounds.map_or_else(Bounds::default, |mut map| read_bounds(&mut map));
    Some(Settings {
        entry: entry::Settings {
            instance: instance?,
            region: region?,
            failure_domain: failure_domain?,
            // The list gives each upstream's region.
            regions: base::FastMap::default(),
            callers_addr: callers_addr?,
            lookup_addr: lookup_addr?,
            ready_addr: ready_addr?,
            peers_addr: peers_addr?,
            metrics_addr: metrics_addr?,
            relay_addr,
            bounds,
            max_sockets: sockets.unwrap_or(DEFAULT_MAX_SOCKETS),
            cpu_milli: cpu_milli.unwrap_or(DEFAULT_CPU_MILLI),
            link_mbit_per_s,
            memory_bytes: memory_mb.map(|memory| memory * MEGABYTE),
        },
        platform_url: platform_url?,
        platform_timeout: platform_timeout.unwrap_or(DEFAULT_PLATFORM_TIMEOUT),
        poll_interval: poll_interval.unwrap_or(DEFAULT_POLL_INTERVAL),
    })
}

fn read_bounds(map: &mut Map<'_>) -> Bounds {
    let defaults = Bounds::default();
    let grace = duration(map.optional("grace_ms"));
    let change_within = duration(map.optional("change_within_ms"));
    let retry_ratio = ratio(map.optional("retry_pct"));
    let retry_window = duration(map.optional("retry_window_ms"));
    let retry_slack = count(map.optional("retry_slack"));
    let cold_factor = map.optional("cold_pct").percent_ppm(1..=100 * ONE_PPM);
    let cold_slack = count(map.optional("cold_slack"));
    let shift_max = ratio(map.optional("shift_pct"));
    let lookup_ttl_max = duration(map.optional("lookup_ttl_ms"));
    let quota_window = duration(map.optional("quota_window_ms"));
    let quota_overrun = ratio(map.optional("quota_overrun_pct"));
    let quota_slack = count(map.optional("quota_slack"));
    Bounds {
        grace: grace.unwrap_or(defaults.grace),
        change_within: change_within.unwrap_or(defaults.change_within),
        retry_ratio: retry_ratio.unwrap_or(defaults.retry_ratio),
        retry_window: retry_window.unwrap_or(defaults.retry_window),
        retry_slack: retry_slack.unwrap_or(defaults.retry_slack),
        cold_factor: cold_factor.map_or(defaults.cold_factor, ppm_to_ratio),
        cold_slack: cold_slack.unwrap_or(defaults.cold_slack),
        shift_max: shift_max.unwrap_or(defaults.shift_max),
        lookup_ttl_max: lookup_ttl_max.unwrap_or(defaults.lookup_ttl_max),
        quota: QuotaBounds {
            window: quota_window.unwrap_or(defaults.quota.window),
            overrun: quota_overrun.unwrap_or(defaults.quota.overrun),
            slack: quota_slack.unwrap_or(defaults.quota.slack),
        },
    }
}

fn duration(field: Field<'_>) -> Option<Duration> {
    field.duration_ms(1..=MAX_DURATION_MS)
}

fn ratio(field: Field<'_>) -> Option<f64> {
    field.percent_ppm(0..=ONE_PPM).map(ppm_to_ratio)
}

fn count(field: Field<'_>) -> Option<f64> {
    field.integer(0..=1_000_000_u32, "requests").map(f64::from)
}

fn ppm_to_ratio(ppm: u32) -> f64 {
    f64::from(ppm) / f64::from(ONE_PPM)
}

fn addr(field: Field<'_>) -> Option<SocketAddr> {
    field.parse("an address such as 127.0.0.1:7000")
}

fn url(field: Field<'_>) -> Option<ByteString> {
    let text = field.text()?;
    let address = text.strip_prefix("http://");
    let valid =
        address.is_some_and(|address| address.trim_end_matches('/').parse::<SocketAddr>().is_ok());
    if !valid {
        field.report("must be `http://` and an address such as 127.0.0.1:7000");
    }
    valid.then(|| text.trim_end_matches('/').into())
}
