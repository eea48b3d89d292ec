//! Settings of one process: its addresses, its place, its terms.
//!
//! They come from one YAML file, are checked whole before anything starts, and never mix with the
//! operators' configuration, which all daemons share. Every field is declared, documented and
//! given its range here.

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

/// Fewest bytes of a shared key.
const KEY_MIN_BYTES: usize = 16;
/// Longest of the short terms, in milliseconds.
const TERM_MAX_MS: u64 = 600_000;
/// Longest of the long terms, in milliseconds.
const LONG_TERM_MAX_MS: u64 = 86_400_000;

/// Settings of one `jasmined`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance, as the platform's list gives it.
    pub instance: InstanceId,
    /// Region it is in.
    pub region: RegionId,
    /// Failure domain it is in.
    pub failure_domain: DomainId,
    /// Address that callers use.
    pub callers_addr: SocketAddr,
    /// Address that other daemons use.
    pub peers_addr: SocketAddr,
    /// Address that operators use.
    pub operator_addr: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: ByteString,
    /// Key that daemons prove to each other.
    pub peer_key: Secret,
    /// Key that operators prove; needed where the operators' address is not loopback.
    pub operator_key: Option<Secret>,
    /// Threads that carry requests.
    pub traffic_threads: usize,
    /// Addresses to dial in place of listed ones, for instances behind address translation.
    pub dial: Vec<Dial>,
    /// Way of choosing an upstream.
    pub policy: Policy,
    /// Terms and intervals.
    pub terms: Terms,
    /// Level below which log lines are left out.
    pub log_level: LogLevel,
}

/// Secret text that no log line, answer or error shows.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(ByteString);

impl Secret {
    /// The text, for proving it.
    pub(crate) fn expose(&self) -> &str {
        &self.0
    }

    /// Key of 32 bytes made from the text for one `purpose`.
    pub(crate) fn derive(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, self.0.as_bytes())
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// One translated address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dial {
    /// Address as the list or a heartbeat gives it.
    pub listed: ByteString,
    /// Address to dial from here.
    pub dial: ByteString,
}

/// Least severe log lines that are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Changes of state.
    Info,
    /// What an operator should look at.
    Warn,
    /// What went wrong.
    Error,
}

/// Terms and intervals, each with a default.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Short term of a lease, for the surplus of the allotment.
    pub lease: Duration,
    /// Long term of a lease, for the floor of the allotment.
    pub lease_floor: Duration,
    /// Time between renewals.
    pub lease_renew: Duration,
    /// Time between heartbeats.
    pub beat: Duration,
    /// Silence after which an entry leaves look-up answers.
    pub beat_silent: Duration,
    /// Time that callers may keep a look-up answer.
    pub lookup_ttl: Duration,
    /// Time that a ticket can be used.
    pub ticket: Duration,
    /// Time between reads of the platform's list.
    pub list: Duration,
    /// Time between reads of the configuration's head.
    pub head: Duration,
    /// Time between reads of an upstream's load.
    pub load: Duration,
    /// Longest that one call of the platform may take.
    pub platform_timeout: Duration,
    /// Longest that a connect may take.
    pub connect_timeout: Duration,
    /// Longest that a planned stop waits for requests in flight.
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
    /// Reads and checks settings; `file` names the text in findings.
    ///
    /// # Errors
    ///
    /// Every finding, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let document = Document::parse(file, text);
        let settings = document.map().and_then(|mut map| read(&document, &mut map));
        document.finish(settings)
    }

    /// Address to dial for a listed one.
    pub(crate) fn dial(&self, listed: &ByteString) -> ByteString {
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
    let dial: Vec<Option<Dial>> = dial.collect();
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
    // What goes wrong: whoever reaches the operators' port of an open network could drain a
    // region. A key is therefore not optional beyond loopback.
    if operator_addr.is_some_and(|addr| !addr.ip().is_loopback()) && operator_key_field.is_absent()
    {
        document.fail(
            operator.place(),
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
        field.fail("must be `http://` and an address such as 127.0.0.1:7000");
    }
    plain.then(|| text.trim_end_matches('/').into())
}

fn secret(field: Field<'_>) -> Option<Secret> {
    let text = field.text()?;
    if text.len() < KEY_MIN_BYTES {
        field.fail(format_args!("must have at least {KEY_MIN_BYTES} bytes"));
        return None;
    }
    Some(Secret(text))
}

fn read_dial(field: Field<'_>) -> Option<Dial> {
    let mut map = field.map()?;
    let listed = addr(map.required("listed"));
    let dial = addr(map.required("dial"));
    Some(Dial {
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

/// Checks what the terms must be to each other.
fn check_terms(map: &Map<'_>, terms: &Terms) {
    if terms.lease_renew * 2 > terms.lease {
        map.fail("`lease_renew_ms` must be at most half of `lease_ms`, or one lost renewal lapses");
    }
    if terms.lease > terms.lease_floor {
        map.fail("`lease_floor_ms` must not be shorter than `lease_ms`");
    }
    if terms.beat * 2 > terms.beat_silent {
        map.fail("`beat_silent_ms` must be at least twice `beat_ms`");
    }
}
