//! A system for tests: the real `jasmine-router`, with a stand-in platform and upstreams in threads of
//! the test's process.

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
const PORT_COUNT: u16 = 1_000;
/// Distance between the first ports tried by processes with consecutive ids.
const PORT_STRIDE: u32 = 331;

/// Upper bound on waits. The events that are waited for take well under a tenth of it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks of a condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the stand-in platform, which ends with the test's process.
pub(crate) fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let served = actix_rt::System::new()
            .block_on(async move { platform::serve_with(listener, ListContent::default())?.await });
        served.expect("the stand-in serves");
    });
    addr
}

/// Version 1 of the routes: one idempotent route to the service `menu`.
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

/// A running entry with its platform and upstreams.
pub(crate) struct System {
    process: KillOnDrop,
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
    pub(crate) platform_addr: SocketAddr,
    pub(crate) callers_addr: SocketAddr,
    pub(crate) ready_addr: SocketAddr,
    pub(crate) metrics_addr: SocketAddr,
    pub(crate) upstreams: Vec<Arc<Upstream>>,
}

impl System {
    /// Starts an entry and two upstreams in two failure domains; `upstream_spec` sets how they work.
    pub(crate) fn start(name: &str, upstream_spec: &str) -> Self {
        Self::start_with(name, upstream_spec, |_| {})
    }

    /// Id of the entry's process.
    pub(crate) fn process_id(&self) -> i32 {
        i32::try_from(self.process.0.id()).expect("a process id")
    }

    /// Starts the same system, and prepares the platform before the entry starts.
    pub(crate) fn start_with(
        name: &str,
        upstream_spec: &str,
        prepare: impl FnOnce(SocketAddr),
    ) -> Self {
        let platform_addr = start_platform();
        let upstreams = vec![
            start_upstream("m-a", "moshi-a", upstream_spec, platform_addr),
            start_upstream("m-b", "moshi-b", upstream_spec, platform_addr),
        ];
        let [callers_addr, lookup_addr, ready_addr, peers_addr, metrics_addr] = free_addrs();
        let temp_path = |extension: &str| {
            let name = format!("jasmine-router-{}-{name}.{extension}", std::process::id());
            std::env::temp_dir().join(name)
        };
        let (settings, log) = (temp_path("yaml"), temp_path("log"));
        let text = format!(
            "instance: moshi-1\nregion: moshi\nfailure_domain: moshi-a\ncallers_addr: {callers_addr}\n\
             lookup_addr: {lookup_addr}\nready_addr: {ready_addr}\npeers_addr: {peers_addr}\n\
             metrics_addr: {metrics_addr}\nplatform_url: http://{platform_addr}\nlook_ms: 50\n\
             bounds: {{grace_ms: 3000}}\n"
        );
        fs::write(&settings, text).expect("a file in the temporary directory");
        prepare(platform_addr);
        let process = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(File::create(&log).expect("a file for the log"))
            .spawn()
            .expect("the program starts");
        Self {
            process: KillOnDrop(process),
            settings,
            log,
            platform_addr,
            callers_addr,
            ready_addr,
            metrics_addr,
            upstreams,
        }
    }

    /// Writes a row in the same way as an operator's command.
    pub(crate) fn write_row(&self, key: &str, value: &str) {
        let write = Write::Put {
            key: format!("{}/{key}", keys::OPERATOR_TABLE).into(),
            value: value.to_owned().into(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        let platform =
            HttpPlatform::new(format!("http://{}", self.platform_addr), TIMEOUT, TIMEOUT);
        let outcome = actix_rt::System::new().block_on(async { platform.commit(txn).await });
        assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
    }

    /// Sends a request, and returns its status and the id of the upstream that served it.
    pub(crate) fn send_request(&self, id: &str) -> Option<(u16, String)> {
        let request = format!(
            "GET /menus/today HTTP/1.1\r\nhost: menus.example\r\njasmine-request: {id}\r\n\
             connection: close\r\n\r\n"
        );
        let response = exchange(self.callers_addr, &request)?;
        let upstream = response
            .lines()
            .find_map(|line| line.strip_prefix("upstream-id: "))
            .unwrap_or("");
        Some((status(&response)?, upstream.trim().to_owned()))
    }

    /// Waits until requests go to exactly these upstreams.
    pub(crate) fn wait_served_by(&self, expected: &[&str]) {
        eventually("requests served by the expected upstreams", || {
            let mut serving: Vec<String> = (0..12)
                .filter_map(|number| self.send_request(&format!("{:032x}", number + 1)))
                .filter(|(status, _)| *status == 200)
                .map(|(_, upstream)| upstream)
                .collect();
            serving.sort();
            serving.dedup();
            (serving == expected).then_some(())
        });
    }
}

/// Kills the process when the test ends, including by a panic.
pub(crate) struct KillOnDrop(pub(crate) Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        // Fails if the test has ended the process already.
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

/// Starts an upstream in a thread of this process and registers it in the platform's list.
fn start_upstream(
    id: &str,
    domain: &str,
    upstream_spec: &str,
    platform_addr: SocketAddr,
) -> Arc<Upstream> {
    let spec = format!("id={id},service=menu,region=moshi,domain={domain},{upstream_spec}");
    let spec: Spec = spec.parse().expect("a valid specification");
    let (sender, started) = std::sync::mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let (upstream, server) = Upstream::serve(spec).expect("a free port");
            let url = format!("http://{platform_addr}");
            upstream
                .register(&url)
                .await
                .expect("the list accepts the upstream");
            sender.send(upstream).expect("the test waits");
            server.await.expect("the upstream serves");
        });
    });
    started.recv().expect("the upstream starts")
}

/// Returns loopback addresses with free ports. The process tries each port of the range once before the first repeat.
pub(crate) fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT);
    std::array::from_fn(|_| loop {
        let offset = base + u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let index =
            u16::try_from(offset % u32::from(PORT_COUNT)).expect("below the range's length");
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    })
}

/// Sends a request on a new connection, and returns all that is read until the connection closes.
pub(crate) fn exchange(addr: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    Some(String::from_utf8_lossy(&response).into_owned())
}

/// Status code of an HTTP response.
pub(crate) fn status(response: &str) -> Option<u16> {
    response.split(' ').nth(1)?.parse().ok()
}

/// Repeats a check until it returns a value; panics when [`TIMEOUT`] has passed.
pub(crate) fn eventually<T>(expected: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting for: {expected}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}
