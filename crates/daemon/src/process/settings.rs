//! Settings of one process: addresses, location, timeouts and intervals.
//!
//! They are read from one YAML file and validated completely before anything starts. They are
//! separate from the operators' configuration, which all daemons share. Every field is declared and
//! documented here, with its range.

use base::{
    DomainId,
    InstanceId,
    RegionId, //
};
use bytestring::ByteString;
use conf::{
    Document,
    Field,
    Findings,
    Map, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};
use steer::Policy;

/// Minimum length of a shared key in bytes.
const KEY_MIN_BYTES: usize = 16;
/// Maximum of the terms other than `lease_floor_ms` and `stop_ms`, in milliseconds.
const TERM_MAX_MS: u64 = 600_000;
/// Maximum of `lease_floor_ms` and `stop_ms`, in milliseconds.
const LONG_TERM_MAX_MS: u64 = 86_400_000;

/// Settings of one `jasmined`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance in the platform's list.
    pub instance: InstanceId,
    /// Region of this instance.
    pub region: RegionId,
    /// Failure domain of this instance.
    pub failure_domain: DomainId,
    /// Listen address for callers.
    pub callers_addr: SocketAddr,
    /// Listen address for other daemons.
    pub peers_addr: SocketAddr,
    /// Listen address for operators.
    pub operator_addr: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: ByteString,
    /// Key by which daemons authenticate to each other.
    pub peer_key: Secret,
    /// Key by which operators authenticate; required unless `operator_addr` is loopback.
    pub operator_key: Option<Secret>,
    /// Number of threads that process requests.
    pub traffic_threads: usize,
    /// Addresses to dial instead of listed ones, for instances behind address translation.
    pub dial: Vec<DialOverride>,
    /// Policy that chooses an upstream.
    pub policy: Policy,
    /// Timeouts, TTLs and intervals.
    pub terms: Terms,
    /// Minimum severity of log lines that are written.
    pub log_level: LogLevel,
}

/// Secret text that is never shown in a log line, response or error.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(ByteString);

impl Secret {
    /// Returns the secret text, for authentication.
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }

    /// Derives a 32-byte key from the text for one `purpose`.
    pub(crate) fn derive(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, self.0.as_bytes())
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// Address to dial instead of a listed one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DialOverride {
    /// Address as stated in the platform's list or a heartbeat.
    pub listed: ByteString,
    /// Address to dial from here.
    pub dial: ByteString,
}

/// Minimum severity of log lines that are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Changes of state.
    Info,
    /// Conditions that an operator should look at.
    Warn,
    /// Failures.
    Error,
}

/// Timeouts, TTLs and intervals, each with a default.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Short TTL of a lease, for the allotment above the floor.
    pub lease: Duration,
    /// Long TTL of a lease, for the floor of the allotment.
    pub lease_floor: Duration,
    /// Interval between renewals of the lease.
    pub lease_renew: Duration,
    /// Interval between heartbeats.
    pub beat: Duration,
    /// Time without heartbeats after which an entry is removed from look-up answers.
    pub beat_silent: Duration,
    /// TTL of a look-up answer at callers.
    pub lookup_ttl: Duration,
    /// Lifetime of a ticket.
    pub ticket: Duration,
    /// Interval between reads of the platform's list.
    pub list: Duration,
    /// Interval between reads of the head of the configuration.
    pub head: Duration,
    /// Interval between reads of an upstream's load.
    pub load: Duration,
    /// Timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Timeout of connecting.
    pub connect_timeout: Duration,
    /// Maximum time that a planned stop waits for requests in flight.
    pub stop: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(10),
            lease_floor: Duration::from_secs(14_400),
            lease_renew: Duration::from_secs(2),
            beat: Duration::from_millis(500),
            beat_silent: Duration::from_secs(3),
            lookup_ttl: Duration::from_secs(2),
            ticket: Duration::from_secs(30),
            list: Duration::from_secs(1),
            head: Duration::from_secs(2),
            load: Duration::from_millis(500),
            platform_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
            stop: Duration::from_secs(120),
        }
    }
}

impl Settings {
    /// Parses and validates settings; `file` names the source in findings.
    ///
    /// # Errors
    ///
    /// All findings, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let document = Document::parse(file, text);
        let settings = document.map().and_then(|mut map| read(&document, &mut map));
        document.finish(settings)
    }

    /// Address to dial for a listed address.
    pub(crate) fn dial_addr(&self, listed: &ByteString) -> ByteString {
        self.dial
            .iter()
            .find(|entry| entry.listed == *listed)
            .map_or_else(|| listed.clone(), |entry| entry.dial.clone())
    }
}

fn read(document: &Document, map: &mut Map<'_>) -> Option<Settings> {
    let instance = map.required("instance").text();
    let region = map.required("region").text();
    let failure_domain = map.required("failure_domain").text();
    let callers_addr = addr(map.required("callers_addr"));
    let peers_addr = addr(map.required("peers_addr"));
    let operator = map.required("operator_addr");
    let operator_addr = addr(operator);
    let platform_url = url(map.required("platform_url"));
    let peer_key = secret(map.required("peer_key"));
    let operator_key_field = map.optional("operator_key");
    let operator_key = secret(operator_key_field);
    let traffic_threads = map.optional("traffic_threads").integer(1..=1024, "threads");
    let dial = map.optional("dial").list().into_iter().map(read_dial);
    let dial: Vec<Option<DialOverride>> = dial.collect();
    let policy = map
        .optional("policy")
        .parse::<Policy>("the name of a policy");
    let terms = map
        .optional("terms")
        .map()
        .map(|mut terms| read_terms(&mut terms));
    let log_level = map.optional("log_level").choice(&[
        ("debug", LogLevel::Debug),
        ("info", LogLevel::Info),
        ("warn", LogLevel::Warn),
        ("error", LogLevel::Error),
    ]);
    // Without a key, anyone who can reach the operators' port on an open network could drain a
    // region, so beyond loopback a key is required.
    if operator_addr.is_some_and(|addr| !addr.ip().is_loopback()) && operator_key_field.is_absent()
    {
        document.report(
            operator.location(),
            "`operator_addr` is not loopback, which needs `operator_key`",
        );
    }
    Some(Settings {
        instance: instance?,
        region: region?,
        failure_domain: failure_domain?,
        callers_addr: callers_addr?,
        peers_addr: peers_addr?,
        operator_addr: operator_addr?,
        platform_url: platform_url?,
        peer_key: peer_key?,
        operator_key,
        traffic_threads: traffic_threads.unwrap_or(2),
        dial: dial.into_iter().collect::<Option<_>>()?,
        policy: policy.unwrap_or(Policy::LeastLoaded),
        terms: terms.unwrap_or_default(),
        log_level: log_level.unwrap_or(LogLevel::Info),
    })
}

fn addr(field: Field<'_>) -> Option<SocketAddr> {
    field.parse("an address such as 127.0.0.1:7000")
}

fn url(field: Field<'_>) -> Option<ByteString> {
    let text = field.text()?;
    let plain = text.strip_prefix("http://").is_some_and(|rest| {
        let host = rest.trim_end_matches('/');
        host.parse::<SocketAddr>().is_ok()
    });
    if !plain {
        field.report("must be `http://` and an address such as 127.0.0.1:7000");
    }
    plain.then(|| text.trim_end_matches('/').into())
}

fn secret(field: Field<'_>) -> Option<Secret> {
    let text = field.text()?;
    if text.len() < KEY_MIN_BYTES {
        field.report(format_args!("must have at least {KEY_MIN_BYTES} bytes"));
        return None;
    }
    Some(Secret(text))
}

fn read_dial(field: Field<'_>) -> Option<DialOverride> {
    let mut map = field.map()?;
    let listed = addr(map.required("listed"));
    let dial = addr(map.required("dial"));
    Some(DialOverride {
        listed: listed?.to_string().into(),
        dial: dial?.to_string().into(),
    })
}

fn read_terms(map: &mut Map<'_>) -> Terms {
    let default = Terms::default();
    let mut short = |name, default| {
        let term = map.optional(name).duration_ms(10..=TERM_MAX_MS);
        term.unwrap_or(default)
    };
    let lease = short("lease_ms", default.lease);
    let lease_renew = short("lease_renew_ms", default.lease_renew);
    let beat = short("beat_ms", default.beat);
    let beat_silent = short("beat_silent_ms", default.beat_silent);
    let lookup_ttl = short("lookup_ttl_ms", default.lookup_ttl);
    let ticket = short("ticket_ms", default.ticket);
    let list = short("list_ms", default.list);
    let head = short("head_ms", default.head);
    let load = short("load_ms", default.load);
    let platform_timeout = short("platform_timeout_ms", default.platform_timeout);
    let connect_timeout = short("connect_timeout_ms", default.connect_timeout);
    let mut long = |name, default| {
        let term = map.optional(name).duration_ms(10..=LONG_TERM_MAX_MS);
        term.unwrap_or(default)
    };
    let terms = Terms {
        lease,
        lease_floor: long("lease_floor_ms", default.lease_floor),
        lease_renew,
        beat,
        beat_silent,
        lookup_ttl,
        ticket,
        list,
        head,
        load,
        platform_timeout,
        connect_timeout,
        stop: long("stop_ms", default.stop),
    };
    check_terms(map, &terms);
    terms
}

/// Validates the relations between terms.
fn check_terms(map: &Map<'_>, terms: &Terms) {
    if terms.lease_renew * 2 > terms.lease {
        map.report(
            "`lease_renew_ms` must be at most half of `lease_ms`, or one lost renewal lapses",
        );
    }
    if terms.lease > terms.lease_floor {
        map.report("`lease_floor_ms` must not be shorter than `lease_ms`");
    }
    if terms.beat * 2 > terms.beat_silent {
        map.report("`beat_silent_ms` must be at least twice `beat_ms`");
    }
}
