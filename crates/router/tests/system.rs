//! The whole path with the real program: a stand-in platform, two upstreams, one `jasmine-router`.

mod support;

use plat::{
    HttpPlatform,
    Outcome,
    Table,
    Txn,
    Write, //
};
use route::keys;
use standin::upstream::{
    Spec,
    Upstream, //
};
use std::{
    fs,
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
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Bound on waits for what takes well under a tenth of it.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

const ROUTES: &str = "\
version: 1
limits: {max_header_bytes: 16384, max_body_bytes: 65536, header_timeout_ms: 3000, idle_timeout_ms: 15000}
services:
  - {id: menu, health_path: /health, max_connections: 100}
hosts:
  - host: menus.example
    routes:
      - {id: lookups, prefix: /menus/, kind: idempotent, timeout_ms: 3000, latency_ms: 1000, max_attempts: 2, split: [{service: menu, weight: 1}]}
";

struct System {
    process: Child,
    settings: PathBuf,
    platform: SocketAddr,
    callers: SocketAddr,
    ready: SocketAddr,
    upstreams: Vec<Arc<Upstream>>,
}

impl System {
    fn start(name: &str) -> Self {
        let platform = support::platform();
        let upstreams = vec![
            upstream("m-a", "moshi-a", platform),
            upstream("m-b", "moshi-b", platform),
        ];
        let [callers, lookups, ready, peers, metrics] = free_addrs();
        let settings =
            std::env::temp_dir().join(format!("jasmine-router-{}-{name}.yaml", std::process::id()));
        let text = format!(
            "instance: moshi-1\nregion: moshi\nfailure_domain: moshi-a\ncallers_addr: {callers}\n\
             lookup_addr: {lookups}\nready_addr: {ready}\npeers_addr: {peers}\n\
             metrics_addr: {metrics}\nplatform_url: http://{platform}\nlook_ms: 50\n\
             bounds: {{grace_ms: 3000}}\n"
        );
        fs::write(&settings, text).expect("a file in the folder for temporary ones");
        let process = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self {
            process,
            settings,
            platform,
            callers,
            ready,
            upstreams,
        }
    }

    /// Writes a row as an operator's command does.
    fn put(&self, key: &str, value: &str) {
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
    fn ask(&self, id: &str) -> Option<(u16, String)> {
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
    fn wait_served_by(&self, expected: &[&str]) {
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

impl Drop for System {
    fn drop(&mut self) {
        // Ended already where the test ended it.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Starts an upstream in a thread of this process and puts it into the list.
fn upstream(id: &str, domain: &str, platform: SocketAddr) -> Arc<Upstream> {
    let spec = format!("id={id},service=menu,region=moshi,domain={domain},slots=4,service_ms=5");
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

fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound port"))
}

fn exchange(addr: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    Some(String::from_utf8_lossy(&answer).into_owned())
}

fn status(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < PATIENCE, "{what}: not in time");
        thread::sleep(LOOK);
    }
}

#[test]
fn routes_and_evacuations_of_the_table_are_in_force() {
    let system = System::start("whole-path");
    let not_ready = "GET /v1/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    eventually("it runs without routes", || {
        let answer = exchange(system.ready, not_ready)?;
        (status(&answer) == Some(503)).then_some(())
    });
    // Without routes nothing is known to be missing.
    assert_eq!(system.ask("1").map(|(status, _)| status), Some(503));

    system.put(keys::ROUTES_KEY, ROUTES);
    system.wait_served_by(&["m-a", "m-b"]);

    let evacuated = keys::evacuated_key("moshi-a");
    system.put(&evacuated, keys::EVACUATED);
    system.wait_served_by(&["m-b"]);
    system.put(&evacuated, keys::NOT_EVACUATED);
    system.wait_served_by(&["m-a", "m-b"]);

    // A version with findings leaves the one before in force.
    system.put(keys::ROUTES_KEY, "version: 2\n");
    thread::sleep(LOOK * 10);
    system.wait_served_by(&["m-a", "m-b"]);
    assert!(system
        .upstreams
        .iter()
        .all(|u| !u.record().entries.is_empty()));
}

#[test]
fn checked_settings_are_said_to_be_good() {
    let system = System::start("check");
    let checked = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&system.settings)
        .arg("--check-settings")
        .output()
        .expect("it runs");
    assert!(checked.status.success(), "{checked:?}");
    fs::write(&system.settings, "instance: [\n").expect("writable");
    let checked = Command::new(env!("CARGO_BIN_EXE_jasmine-router"))
        .arg(&system.settings)
        .output()
        .expect("it runs");
    assert_eq!(checked.status.code(), Some(2), "{checked:?}");
    assert!(
        String::from_utf8_lossy(&checked.stderr).contains(".yaml:"),
        "{checked:?}"
    );
}
