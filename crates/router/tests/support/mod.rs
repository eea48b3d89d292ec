//! A stand-in platform and upstreams in threads of this process, and the real `jasmine-router`.

#![allow(dead_code, reason = "each test program uses a part")]

use plat::{
    HttpPlatform,
    Outcome,
    Table,
    Txn,
    Write, //
};
use route::keys;
use standin::{
    platform::{
        self,
        ListContent, //
    },
    upstream::{
        Spec,
        Upstream, //
    },
};
use std::{
    fs::{
        self,
        File, //
    },
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        atomic::{
            AtomicU16,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Start of the port range for routers. The range lies below the ephemeral ports, so that no outgoing connection is
/// assigned a port before the router binds it.
const FIRST_PORT: u16 = 9_000;
/// Size of the range, which ends below the ports of the rig.
const PORTS: u16 = 1_000;
/// Distance between the first ports tried by processes with consecutive ids.
const PORTS_APART: u32 = 331;

/// Bound on waits for what takes well under a tenth of it.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two looks.
pub(crate) const LOOK: Duration = Duration::from_millis(20);

/// Starts the stand-in; it ends with the test's process.
pub(crate) fn platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let served = actix_rt::System::new()
            .block_on(async move { platform::serve_with(listener, ListContent::default())?.await });
        served.expect("the stand-in runs");
    });
    addr
}

pub(crate) const ROUTES: &str = "\
version: 1
limits: {max_header_bytes: 16384, max_body_bytes: 65536, header_timeout_ms: 3000, idle_timeout_ms: 15000}
services:
  - {id: menu, health_path: /health, max_connections: 100}
hosts:
  - host: menus.example
    routes:
      - {id: lookups, prefix: /menus/, kind: idempotent, timeout_ms: 3000, latency_ms: 1000, max_attempts: 2, split: [{service: menu, weight: 1}]}
";

pub(crate) struct System {
    process: Running,
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
    pub(crate) platform: SocketAddr,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) upstreams: Vec<Arc<Upstream>>,
}

impl System {
    /// One entry and two upstreams in two failure domains; `upstream` says how they work.
    pub(crate) fn start(name: &str, work: &str) -> Self {
        Self::start_with(name, work, |_| {})
    }

    /// Id of the entry's process.
    pub(crate) fn process_id(&self) -> i32 {
        i32::try_from(self.process.0.id()).expect("a process id")
    }

    /// The same, with the platform prepared before the entry starts.
    pub(crate) fn start_with(name: &str, work: &str, prepare: impl FnOnce(SocketAddr)) -> Self {
        let platform = platform();
        let upstreams = vec![
            upstream("m-a", "moshi-a", work, platform),
            upstream("m-b", "moshi-b", work, platform),
        ];
        let [callers, lookups, ready, peers, metrics] = free_addrs();
        let file = |end: &str| {
            let name = format!("jasmine-router-{}-{name}.{end}", std::process::id());
            std::env::temp_dir().join(name)
        };
        let (settings, log) = (file("yaml"), file("log"));
        let text = format!(
            "instance: moshi-1\nregion: moshi\nfailure_domain: moshi-a\ncallers_addr: {callers}\n\
             lookup_addr: {lookups}\nready_addr: {ready}\npeers_addr: {peers}\n\
             metrics_addr: {metrics}\nplatform_url: http://{platform}\nlook_ms: 50\n\
             bounds: {{grace_ms: 3000}}\n"
        );
        fs::write(&settings, text).expect("a file in the folder for temporary ones");
        prepare(platform);
        let process = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(File::create(&log).expect("a file for the log"))
            .spawn()
            .expect("the program starts");
        Self {
            process: Running(process),
            settings,
            log,
            platform,
            callers,
            ready,
            metrics,
            upstreams,
        }
    }

    /// Writes a row as an operator's command does.
    pub(crate) fn put(&self, key: &str, value: &str) {
        let write = Write::Put {
            key: format!("{}/{key}", keys::OPERATOR_TABLE).into(),
            value: value.to_owned().into(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        let platform = HttpPlatform::new(format!("http://{}", self.platform), PATIENCE, PATIENCE);
        let outcome = actix_rt::System::new().block_on(async { platform.commit(txn).await });
        assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
    }

    /// Status and id of the upstream of one request.
    pub(crate) fn ask(&self, id: &str) -> Option<(u16, String)> {
        let request = format!(
            "GET /menus/today HTTP/1.1\r\nhost: menus.example\r\njasmine-request: {id}\r\n\
             connection: close\r\n\r\n"
        );
        let answer = exchange(self.callers, &request)?;
        let upstream = answer
            .lines()
            .find_map(|line| line.strip_prefix("upstream-id: "))
            .unwrap_or("");
        Some((status(&answer)?, upstream.trim().to_owned()))
    }

    /// Waits until requests go to these upstreams and to no other.
    pub(crate) fn wait_served_by(&self, expected: &[&str]) {
        eventually("served by the right upstreams", || {
            let mut seen: Vec<String> = (0..12)
                .filter_map(|n| self.ask(&format!("{:032x}", n + 1)))
                .filter(|(status, _)| *status == 200)
                .map(|(_, upstream)| upstream)
                .collect();
            seen.sort();
            seen.dedup();
            (seen == expected).then_some(())
        });
    }
}

/// A process that ends with the test, however that ends.
pub(crate) struct Running(pub(crate) Child);

impl Drop for Running {
    fn drop(&mut self) {
        // Ended already where the test ended it.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.log);
    }
}

/// Starts an upstream in a thread of this process and puts it into the list.
fn upstream(id: &str, domain: &str, work: &str, platform: SocketAddr) -> Arc<Upstream> {
    let spec = format!("id={id},service=menu,region=moshi,domain={domain},{work}");
    let spec: Spec = spec.parse().expect("a specification");
    let (sender, started) = std::sync::mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let (upstream, server) = Upstream::serve(spec).expect("a free port");
            let url = format!("http://{platform}");
            upstream.register(&url).await.expect("the list takes it");
            sender.send(upstream).expect("the test waits");
            server.await.expect("it serves");
        });
    });
    started.recv().expect("it starts")
}

/// Returns loopback addresses with free ports. The process tries each port of the range once before the first repeat.
pub(crate) fn free_addrs<const N: usize>() -> [SocketAddr; N] {
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

pub(crate) fn exchange(addr: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    Some(String::from_utf8_lossy(&answer).into_owned())
}

pub(crate) fn status(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

pub(crate) fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < PATIENCE, "{what}: not in time");
        thread::sleep(LOOK);
    }
}
