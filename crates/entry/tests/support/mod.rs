//! An entry in this process, a store in memory, upstreams that follow a script, and raw callers.

#![allow(dead_code, unused_imports, reason = "each test program uses a part")]

mod load;
mod store;
mod upstream;

pub(crate) use load::{
    entries,
    most_within,
    Load,
    NAMES, //
};
pub(crate) use store::{
    MemoryStore,
    PlainRows, //
};
pub(crate) use upstream::{
    good,
    Connection,
    Script,
    Sent,
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
    Settings, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
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
use tokio::sync::oneshot;

/// Window of the entries' retry budget. In its first one a process has no part of the constant, and tests wait for
/// that to pass.
const RETRY_WINDOW: Duration = Duration::from_millis(400);
/// Wait where an answer is to come, however busy the machine.
pub(crate) const AMPLE: Duration = Duration::from_secs(20);

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// First of the ports for entries: below those that the system gives to connections, of which one might
/// take a port between its choice here and the entry's start.
const FIRST_PORT: u16 = 4_000;
/// How many there are, up to those of the rig.
const PORTS: u16 = 5_000;
/// How far apart processes begin.
const PORTS_APART: u32 = 331;

/// Addresses on loopback, each given out once by this process.
fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = std::process::id().wrapping_mul(PORTS_APART) % u32::from(PORTS);
    std::array::from_fn(|_| loop {
        let offset = base + u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let within = u16::try_from(offset % u32::from(PORTS)).expect("below the range's length");
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + within));
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
    settings: Settings,
    changes: std::sync::mpsc::Sender<Result<Settings, Vec<String>>>,
    stop: Option<oneshot::Sender<()>>,
}

impl Entry {
    /// Starts one in `region-a`, and waits until it is ready, has counted the others and has its part of the retry
    /// budget: before that it sends nothing twice.
    pub(crate) fn start(name: &'static str, store: &MemoryStore) -> Self {
        let before = store.entries_read();
        let entry = Self::start_uncounted(name, store);
        eventually("the others counted", || {
            (store.entries_read() > before).then_some(())
        });
        thread::sleep(RETRY_WINDOW);
        entry
    }

    /// The same without waiting for that.
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

    /// The same in a failure domain of this name.
    pub(crate) fn start_in_domain(
        name: &'static str,
        region: &'static str,
        domain: &str,
        store: &MemoryStore,
        grace: Duration,
    ) -> Self {
        let [callers, lookups, ready, peers, metrics] = free_addrs();
        let mut regions = FastMap::default();
        regions.insert("domain-a".into(), "region-a".into());
        regions.insert("domain-b".into(), "region-b".into());
        let settings = Settings {
            instance: name.into(),
            region: region.into(),
            failure_domain: domain.into(),
            regions,
            callers_addr: callers,
            lookup_addr: lookups,
            ready_addr: ready,
            peers_addr: peers,
            metrics_addr: metrics,
            bounds: Bounds {
                grace,
                retry_ratio: 0.2,
                retry_window: RETRY_WINDOW,
                retry_slack: 60.0,
                cold_factor: 1.5,
                cold_slack: 5.0,
                shift_max: 0.15,
                lookup_ttl_max: Duration::from_secs(5),
            },
            max_sockets: 1050,
            cpu_milli: 1000,
        };
        let store = store.clone();
        let kept = settings.clone();
        let (changes, changed) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        thread::spawn(move || {
            let reload: Reload = Box::new(move || changed.try_recv().ok());
            let handle = METRICS.get_or_init(|| PrometheusBuilder::new().build_recorder().handle());
            let until = async move {
                // A test that forgets its entry stops it, too.
                let _ = stopped.await;
                Ok(())
            };
            let rows = PlainRows;
            let dialect = Dialect::own();
            let make = || store;
            entry::run(settings, dialect, rows, handle.clone(), make, reload, until)
                .expect("an entry that runs");
        });
        Self {
            callers,
            lookups,
            ready,
            settings: kept,
            changes,
            stop: Some(stop),
        }
    }

    /// Changes its settings file: to these settings, or to one with findings.
    pub(crate) fn change_settings(
        &self,
        change: impl FnOnce(Settings) -> Result<Settings, Vec<String>>,
    ) {
        let changed = change(self.settings.clone());
        self.changes.send(changed).expect("it runs");
    }

    /// Begins the planned stop.
    pub(crate) fn stop(&mut self) {
        let stop = self.stop.take().expect("stopped once");
        stop.send(()).expect("it runs");
    }

    pub(crate) fn wait_ready(&self, ready: bool) {
        eventually("readiness", || {
            let status = status_of(self.ready, "/v1/ready");
            (status == Some(if ready { 200 } else { 503 })).then_some(())
        });
    }
}

/// Asks again and again until there is an answer.
pub(crate) fn eventually<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(answer) = ask() {
            return answer;
        }
        assert!(begun.elapsed() < AMPLE, "{what}: not in time");
        thread::sleep(Duration::from_millis(10));
    }
}

fn status_of(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(AMPLE)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    Answer::parse(&answer).map(|answer| answer.status)
}

/// Routes of `app.example`: `/r/` idempotent, `/f/` not, `/d/` downloads; all by service `svc`.
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
            ],
        }],
    }
}

/// An upstream's row.
pub(crate) fn listed(id: impl Into<UpstreamId>, addr: SocketAddr) -> ListedUpstream {
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
    }
}

/// Head of a request for `app.example`.
pub(crate) fn request(method: &str, path: &str, id: &str, rest: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: app.example\r\njasmine-request: {id}\r\n\
         jasmine-deadline-ms: 3000\r\n{rest}\r\n"
    )
}

/// A caller's connection.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    read: Vec<u8>,
}

/// An answer as a caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Caller {
    pub(crate) fn connect(entry: &Entry) -> Self {
        Self::try_connect(entry).expect("the callers' port")
    }

    /// A connection, unless the port is closed.
    pub(crate) fn try_connect(entry: &Entry) -> Option<Self> {
        let stream = TcpStream::connect(entry.callers).ok()?;
        stream.set_read_timeout(Some(AMPLE)).expect("a timeout");
        Some(Self {
            stream,
            read: Vec::new(),
        })
    }

    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).expect("it is read");
    }

    /// The next whole answer; `None` if the connection ends before it is whole.
    pub(crate) fn answer(&mut self) -> Option<Answer> {
        loop {
            if let Some((answer, length)) = whole(&self.read) {
                self.read.drain(..length);
                return Some(answer);
            }
            let mut buf = [0; 4096];
            match self.stream.read(&mut buf) {
                Ok(0) | Err(_) => return None,
                Ok(read) => self.read.extend_from_slice(&buf[..read]),
            }
        }
    }

    /// Whether the connection ends without another byte.
    pub(crate) fn ends(&mut self) -> bool {
        self.read.is_empty() && !matches!(self.stream.read(&mut [0; 1]), Ok(1..))
    }
}

impl Answer {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
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

/// The first answer in `bytes` if it is whole by its own framing, and its length.
fn whole(bytes: &[u8]) -> Option<(Answer, usize)> {
    let mut answer = Answer::parse(bytes)?;
    let head = answer.head.len();
    if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().ok()?;
        if answer.body.len() < length {
            return None;
        }
        answer.body.truncate(length);
        return Some((answer, head + length));
    }
    if answer.header("transfer-encoding").is_none() {
        answer.body.clear();
        return Some((answer, head));
    }
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &answer.body[at..];
        let line = rest.windows(2).position(|two| two == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        let data = rest.get(line + 2..line + 2 + size)?;
        rest.get(line + 2 + size..line + 4 + size)?;
        body.extend_from_slice(data);
        at += line + 4 + size;
        if size == 0 {
            answer.body = body;
            return Some((answer, head + at));
        }
    }
}
