//! Settings of one process, from a YAML file that is checked whole before anything starts.

use bytestring::ByteString;
use conf::{
    Document,
    Field,
    Findings,
    Map, //
};
use entry::Bounds;
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Longest time that a field may give, in milliseconds.
const LONGEST_MS: u64 = 600_000;
/// Fewest sockets that leave a process some for callers beside its ports, the store and other entries.
const SOCKETS_MIN: usize = 600;
/// Most sockets that a field may give.
const SOCKETS_MAX: usize = 1 << 20;
/// Thousandths of a core that a field may give.
const CPU_MILLI_MIN: u32 = 1;
/// Most of them.
const CPU_MILLI_MAX: u32 = 1_000_000;
/// Processor where none is stated: a whole core.
const CPU_MILLI: u32 = 1000;
/// Sockets of a process where none are stated: what common systems give a process, less some for files.
const SOCKETS: usize = 1000;
/// Deadline of calls to the platform where none is stated: that of `jasmined`.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at the platform where none is stated: what changes there is to be in force
/// within a second.
const LOOK: Duration = Duration::from_millis(500);
/// Parts per million in one.
const ONE_PPM: u32 = 1_000_000;

/// Settings of one `jasmine-router`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What the entry itself is told.
    pub entry: entry::Settings,
    /// Base URL of the platform.
    pub platform_url: ByteString,
    /// Longest that one call of the platform may take.
    pub platform_timeout: Duration,
    /// Time between two looks at the platform's table and list.
    pub look: Duration,
}

impl Settings {
    /// Reads and checks settings; `file` only names the file in findings.
    ///
    /// # Errors
    ///
    /// Every finding of the file, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let document = Document::parse(file, text);
        let settings = document.map().and_then(|mut map| read(&mut map));
        document.finish(settings)
    }
}

fn read(map: &mut Map<'_>) -> Option<Settings> {
    let instance = map.required("instance").text();
    let region = map.required("region").text();
    let failure_domain = map.required("failure_domain").text();
    let callers_addr = addr(map.required("callers_addr"));
    let lookup_addr = addr(map.required("lookup_addr"));
    let ready_addr = addr(map.required("ready_addr"));
    let peers_addr = addr(map.required("peers_addr"));
    let metrics_addr = addr(map.required("metrics_addr"));
    let platform_url = url(map.required("platform_url"));
    let platform_timeout = time(map.optional("platform_timeout_ms"));
    let look = time(map.optional("look_ms"));
    let sockets = map.optional("max_sockets");
    let sockets = sockets.integer(SOCKETS_MIN..=SOCKETS_MAX, "sockets");
    let cpu_milli = map.optional("cpu_milli");
    let cpu_milli = cpu_milli.integer(CPU_MILLI_MIN..=CPU_MILLI_MAX, "thousandths of a core");
    let bounds = map.optional("bounds").map();
    let bounds = bounds.map_or_else(Bounds::default, |mut map| read_bounds(&mut map));
    Some(Settings {
        entry: entry::Settings {
            instance: instance?,
            region: region?,
            failure_domain: failure_domain?,
            // The list says where each upstream is.
            regions: base::FastMap::default(),
            callers_addr: callers_addr?,
            lookup_addr: lookup_addr?,
            ready_addr: ready_addr?,
            peers_addr: peers_addr?,
            metrics_addr: metrics_addr?,
            bounds,
            max_sockets: sockets.unwrap_or(SOCKETS),
            cpu_milli: cpu_milli.unwrap_or(CPU_MILLI),
        },
        platform_url: platform_url?,
        platform_timeout: platform_timeout.unwrap_or(PLATFORM_TIMEOUT),
        look: look.unwrap_or(LOOK),
    })
}

fn read_bounds(map: &mut Map<'_>) -> Bounds {
    let own = Bounds::default();
    let grace = time(map.optional("grace_ms"));
    let retry_ratio = part(map.optional("retry_pct"));
    let retry_window = time(map.optional("retry_window_ms"));
    let retry_slack = count(map.optional("retry_slack"));
    let cold_factor = map.optional("cold_pct").percent_ppm(1..=100 * ONE_PPM);
    let cold_slack = count(map.optional("cold_slack"));
    let shift_max = part(map.optional("shift_pct"));
    let lookup_ttl_max = time(map.optional("lookup_ttl_ms"));
    Bounds {
        grace: grace.unwrap_or(own.grace),
        retry_ratio: retry_ratio.unwrap_or(own.retry_ratio),
        retry_window: retry_window.unwrap_or(own.retry_window),
        retry_slack: retry_slack.unwrap_or(own.retry_slack),
        cold_factor: cold_factor.map_or(own.cold_factor, ppm),
        cold_slack: cold_slack.unwrap_or(own.cold_slack),
        shift_max: shift_max.unwrap_or(own.shift_max),
        lookup_ttl_max: lookup_ttl_max.unwrap_or(own.lookup_ttl_max),
    }
}

fn time(field: Field<'_>) -> Option<Duration> {
    field.duration_ms(1..=LONGEST_MS)
}

fn part(field: Field<'_>) -> Option<f64> {
    field.percent_ppm(0..=ONE_PPM).map(ppm)
}

fn count(field: Field<'_>) -> Option<f64> {
    field.integer(0..=1_000_000_u32, "requests").map(f64::from)
}

fn ppm(ppm: u32) -> f64 {
    f64::from(ppm) / f64::from(ONE_PPM)
}

fn addr(field: Field<'_>) -> Option<SocketAddr> {
    field.parse("an address such as 127.0.0.1:7000")
}

fn url(field: Field<'_>) -> Option<ByteString> {
    let text = field.text()?;
    let host = text.strip_prefix("http://");
    let plain = host.is_some_and(|host| host.trim_end_matches('/').parse::<SocketAddr>().is_ok());
    if !plain {
        field.report("must be `http://` and an address such as 127.0.0.1:7000");
    }
    plain.then(|| text.trim_end_matches('/').into())
}
