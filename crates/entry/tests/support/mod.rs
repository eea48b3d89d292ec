//! Entries that run in this process, an in-memory store, scripted upstreams, and callers that write raw bytes.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test target uses a part of this module"
)]

mod deployment;
mod large_deployment;
mod link;
mod load;
mod open_loop;
mod store;
mod upstream;

pub(crate) use deployment::{
    Deployment,
    LONG_BODY_BYTES,
    LONG_PATH,
    SLOW_PATH,
    SLOW_TIME, //
};
pub(crate) use large_deployment::{
    LargeDeployment,
    REGION_ENTRIES, //
};
pub(crate) use link::{
    Cut,
    Links,
    NewConnections,
    OpenConnections, //
};
pub(crate) use load::{
    max_within,
    start_entries,
    Load,
    ENTRY_NAMES, //
};
pub(crate) use open_loop::{
    call_open_loop,
    Call,
    OpenLoop, //
};
pub(crate) use store::{
    JsonRows, //
    MemoryStore,
};
pub(crate) use upstream::{
    ok_response,
    repeated_filings,
    Connection,
    ReceivedRequest,
    Script,
    Upstream, //
};

use base::{
    FastMap,
    UpstreamId, //
};
use entry::{
    Bounds,
    Dialect,
    Reload,
    RowReader,
    Settings, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use org::QuotaBounds;
use picture::ListedUpstream;
use route::{
    CallerLimits,
    Host,
    Kind,
    Route,
    Routes,
    Service,
    ServiceShare, //
};
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicU16,
            Ordering, //
        },
        OnceLock, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::sync::mpsc::{
    unbounded_channel,
    UnboundedSender, //
};

/// Window of the entries' retry budget. During its first window a process gets no share of the budget's constant
/// part, so tests wait until that window has passed.
const RETRY_WINDOW: Duration = Duration::from_millis(400);
/// Time within which a change that the store has is in force at every entry.
pub(crate) const CHANGE_WITHIN: Duration = Duration::from_secs(2);
/// Timeout for expected events; long enough for a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// First port for entries. The range lies below the ephemeral ports: an outgoing connection could otherwise take a
/// port between its selection here and the start of the entry.
const FIRST_PORT: u16 = 4_000;
/// Number of ports for entries; the ports of crate `rig` follow.
const PORT_COUNT: u16 = 5_000;
/// Distance between the first ports of test processes with consecutive ids.
const PORT_STRIDE: u32 = 331;

/// Returns free loopback addresses; each is returned once per process.
fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT);
    std::array::from_fn(|_| loop {
        let offset = base + u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let index = u16::try_from(offset % u32::from(PORT_COUNT))
            .expect("the remainder is below the number of ports");
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    })
}

/// An entry that runs in threads of this process.
pub(crate) struct Entry {
    pub(crate) callers: SocketAddr,
    pub(crate) lookups: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) relay: SocketAddr,
    pub(crate) metrics: SocketAddr,
    settings: Settings,
    changes: std::sync::mpsc::Sender<Result<Settings, Vec<String>>>,
    signals: Option<UnboundedSender<Signal>>,
}

/// A signal to the process of an entry.
enum Signal {
    Stop,
    /// Control stands still until the other end of the channel is dropped.
    Pause(std::sync::mpsc::Receiver<()>),
}

/// A pause of an entry's control thread, which lasts until this is dropped. The entry's sessions stay open and carry
/// nothing, as if its machine had lost power.
pub(crate) struct Pause(
    #[expect(dead_code, reason = "ends the pause when dropped")] std::sync::mpsc::Sender<()>,
);

impl Entry {
    /// Starts an entry in `region-a`, and waits until it is ready, has counted the other entries and has its share of
    /// the retry budget; before that it sends no request twice.
    pub(crate) fn start(name: &'static str, store: &MemoryStore) -> Self {
        let before = store.scans();
        let entry = Self::start_uncounted(name, store);
        eventually("the scan of entries", || {
            (store.scans() > before).then_some(())
        });
        thread::sleep(RETRY_WINDOW);
        entry
    }

    /// Like [`Self::start`], but only waits until the entry is ready.
    pub(crate) fn start_uncounted(name: &'static str, store: &MemoryStore) -> Self {
        let entry = Self::start_unready(name, "region-a", store, Duration::from_secs(6));
        entry.wait_ready(true);
        entry
    }

    pub(crate) fn start_unready(
        name: &'static str,
        region: &'static str,
        store: &MemoryStore,
        grace: Duration,
    ) -> Self {
        let domain = region.replace("region", "domain");
        Self::start_in_domain(name, region, &domain, store, grace)
    }

    /// Starts an entry in this failure domain without waiting until it is ready.
    pub(crate) fn start_in_domain(
        name: &'static str,
        region: &'static str,
        domain: &str,
        store: &MemoryStore,
        grace: Duration,
    ) -> Self {
        Self::start_with_rows(name, region, domain, store, grace, JsonRows)
    }

    /// Like [`Self::start_in_domain`], with its own reader of rows.
    pub(crate) fn start_with_rows(
        name: &'static str,
        region: &'static str,
        domain: &str,
        store: &MemoryStore,
        grace: Duration,
        rows: impl RowReader + Send,
    ) -> Self {
        let settings = Self::settings(name, region, domain, grace);
        Self::start_with_settings(settings, store, rows)
    }

    /// Starts an entry with a limit on its memory, and waits until it is ready.
    pub(crate) fn start_with_memory(
        name: &'static str,
        memory_bytes: u64,
        store: &MemoryStore,
    ) -> Self {
        let grace = Duration::from_secs(6);
        let settings = Settings {
            memory_bytes: Some(memory_bytes),
            ..Self::settings(name, "region-a", "domain-a", grace)
        };
        let entry = Self::start_with_settings(settings, store, JsonRows);
        entry.wait_ready(true);
        entry
    }

    fn settings(
        name: &'static str,
        region: &'static str,
        domain: &str,
        grace: Duration,
    ) -> Settings {
        let [callers, lookups, ready, peers, metrics, relay] = free_addrs();
        let mut regions = FastMap::default();
        regions.insert("domain-a".into(), "region-a".into());
        regions.insert("domain-b".into(), "region-b".into());
        Settings {
            instance: name.into(),
            region: region.into(),
            failure_domain: domain.into(),
            regions,
            callers_addr: callers,
            lookup_addr: lookups,
            ready_addr: ready,
            peers_addr: peers,
            metrics_addr: metrics,
            relay_addr: Some(relay),
            bounds: Bounds {
                grace,
                change_within: CHANGE_WITHIN,
                retry_ratio: 0.2,
                retry_window: RETRY_WINDOW,
                retry_slack: 60.0,
                cold_factor: 1.5,
                cold_slack: 5.0,
                shift_max: 0.15,
                lookup_ttl_max: Duration::from_secs(5),
                quota: QuotaBounds::default(),
            },
            max_sockets: 1050,
            cpu_milli: 1000,
            link_mbit_per_s: None,
            memory_bytes: None,
        }
    }

    fn start_with_settings(
        settings: Settings,
        store: &MemoryStore,
        rows: impl RowReader + Send,
    ) -> Self {
        let store = store.clone();
        let initial_settings = settings.clone();
        let (changes, changed) = std::sync::mpsc::channel();
        let (signals, mut received) = unbounded_channel();
        thread::spawn(move || {
            let reload: Reload = Box::new(move || changed.try_recv().ok());
            let handle = METRICS.get_or_init(|| PrometheusBuilder::new().build_recorder().handle());
            let shutdown = async move {
                // Dropping the `Entry` stops the entry as well.
                while let Some(Signal::Pause(end)) = received.recv().await {
                    let _ = end.recv();
                }
                Ok(())
            };
            let dialect = Dialect::default_names();
            let open_store = || store;
            entry::run(
                settings,
                dialect,
                rows,
                handle.clone(),
                open_store,
                reload,
                shutdown,
            )
            .expect("the entry runs until it is stopped");
        });
        let relay = initial_settings.relay_addr;
        Self {
            callers: initial_settings.callers_addr,
            lookups: initial_settings.lookup_addr,
            ready: initial_settings.ready_addr,
            relay: relay.expect("the entry takes relayed requests"),
            metrics: initial_settings.metrics_addr,
            settings: initial_settings,
            changes,
            signals: Some(signals),
        }
    }

    /// Simulates a change of the settings file, to other settings or to invalid ones with these findings.
    pub(crate) fn change_settings(
        &self,
        change: impl FnOnce(Settings) -> Result<Settings, Vec<String>>,
    ) {
        let changed = change(self.settings.clone());
        self.changes.send(changed).expect("the entry is running");
    }

    /// Starts the planned stop.
    pub(crate) fn stop(&mut self) {
        self.begin_stop();
        self.signals = None;
    }

    /// Like [`Self::stop`], while others still use the entry.
    pub(crate) fn begin_stop(&self) {
        let signals = self.signals.as_ref();
        let signals = signals.expect("the entry is stopped only once");
        assert!(signals.send(Signal::Stop).is_ok(), "the entry is running");
    }

    /// Stops the entry's control thread, without a message to other entries.
    pub(crate) fn pause(&self) -> Pause {
        let (end, ended) = std::sync::mpsc::channel();
        let signals = self.signals.as_ref().expect("the entry is running");
        let sent = signals.send(Signal::Pause(ended));
        assert!(sent.is_ok(), "the entry is running");
        Pause(end)
    }

    pub(crate) fn wait_ready(&self, ready: bool) {
        eventually("readiness", || {
            let status = status_of(self.ready, "/v1/ready");
            (status == Some(if ready { 200 } else { 503 })).then_some(())
        });
    }
}

/// Polls until there is a value, and returns it.
///
/// # Panics
///
/// If there is none within [`TIMEOUT`].
pub(crate) fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn status_of(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    Response::parse(&response).map(|response| response.status)
}

/// Routes of `app.example`, all to service `svc`: `/r/` is idempotent, `/f/` is not, `/d/` is for downloads and `/u/` for
/// uploads.
pub(crate) fn routes(version: u64) -> Routes {
    let route = |id: &'static str, prefix: &'static str, kind| Route {
        id: id.into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_secs(1),
        priority: 1,
        split: vec![ServiceShare {
            service: "svc".into(),
            weight: 1.0,
        }],
        max_attempts: 2,
        sticky: false,
        homes: Vec::new(),
        open: false,
    };
    Routes {
        version,
        services: vec![Service {
            id: "svc".into(),
            health_path: "/health".into(),
            max_connections: 100,
            cold_start: Duration::from_secs(3),
            cold_per_s: 0.0,
        }],
        limits: CallerLimits {
            max_header_bytes: 2048,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(10),
        },
        hosts: vec![Host {
            host: "app.example".into(),
            routes: vec![
                route("reads", "/r/", Kind::Idempotent),
                route("filings", "/f/", Kind::NonIdempotent),
                route("downloads", "/d/", Kind::Download),
                route("uploads", "/u/", Kind::Upload),
            ],
        }],
        organisations: None,
    }
}

/// Row of an upstream in `region-a` with 8 slots that is warm.
pub(crate) fn upstream_row(id: impl Into<UpstreamId>, addr: SocketAddr) -> ListedUpstream {
    ListedUpstream {
        id: id.into(),
        service: "svc".into(),
        region: "region-a".into(),
        failure_domain: "domain-a".into(),
        addr,
        slots: 8,
        leaving: false,
        cold_left: Duration::ZERO,
        started_ms: 0,
        writes: None,
    }
}

/// Head of a request for `app.example`; `rest` holds further header lines.
pub(crate) fn request_head(method: &str, path: &str, id: &str, rest: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: app.example\r\njasmine-request: {id}\r\n\
         jasmine-deadline-ms: 3000\r\n{rest}\r\n"
    )
}

/// A caller's connection to an entry.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
}

/// A response as received by a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Caller {
    pub(crate) fn connect(entry: &Entry) -> Self {
        Self::try_connect(entry).expect("the port for callers is open")
    }

    /// Connects to the entry; `None` if its port is closed.
    pub(crate) fn try_connect(entry: &Entry) -> Option<Self> {
        Self::try_connect_to(entry.callers)
    }

    /// Connects to this address; `None` if its port is closed.
    pub(crate) fn try_connect_to(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(addr).ok()?;
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("the timeout is valid");
        Some(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Uses an open connection.
    pub(crate) fn of_stream(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        assert!(self.try_send(bytes), "the connection is open");
    }

    /// Sends bytes; returns false if the connection has ended.
    pub(crate) fn try_send(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).is_ok()
    }

    /// Reads the next response; `None` if the connection ends before it is complete.
    pub(crate) fn read_response(&mut self) -> Option<Response> {
        loop {
            if let Some((response, length)) = complete_response(&self.buffer) {
                self.buffer.drain(..length);
                return Some(response);
            }
            let mut buf = [0; 4096];
            match self.stream.read(&mut buf) {
                Ok(0) | Err(_) => return None,
                Ok(read) => self.buffer.extend_from_slice(&buf[..read]),
            }
        }
    }

    /// Waits for the next byte or the end of the connection; returns whether it ended.
    pub(crate) fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !matches!(self.stream.read(&mut [0; 1]), Ok(1..))
    }
}

impl Response {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let body = bytes[end..].to_vec();
        Some(Self { status, head, body })
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| {
            let (found, value) = line.split_once(": ")?;
            found.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

/// Removes and returns the first response in `bytes` if it is complete.
pub(crate) fn take_response(bytes: &mut Vec<u8>) -> Option<Response> {
    let (response, length) = complete_response(bytes)?;
    bytes.drain(..length);
    Some(response)
}

/// Returns the first response in `bytes`, and its length, if it is complete by its own framing.
fn complete_response(bytes: &[u8]) -> Option<(Response, usize)> {
    let mut response = Response::parse(bytes)?;
    let head = response.head.len();
    if let Some(length) = response.header("content-length") {
        let length: usize = length.parse().ok()?;
        if response.body.len() < length {
            return None;
        }
        response.body.truncate(length);
        return Some((response, head + length));
    }
    if response.header("transfer-encoding").is_none() {
        response.body.clear();
        return Some((response, head));
    }
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &response.body[at..];
        let line = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        let data = rest.get(line + 2..line + 2 + size)?;
        rest.get(line + 2 + size..line + 4 + size)?;
        body.extend_from_slice(data);
        at += line + 4 + size;
        if size == 0 {
            response.body = body;
            return Some((response, head + at));
        }
    }
}
