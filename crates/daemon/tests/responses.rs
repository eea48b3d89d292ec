//! Invalid and incomplete responses of an upstream, as a caller of one entry reads what becomes of them.

use awc::Client;
use serde_json::{
    json,
    Value, //
};
use standin::platform;
use std::{
    fs,
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    process::{
        Child,
        Command, //
    },
    sync::{
        atomic::{
            AtomicU16,
            AtomicUsize,
            Ordering, //
        },
        Arc,
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Timeout for the daemon to become ready; long, to tolerate a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// First port for daemons. The range lies below the ephemeral ports: an outgoing connection could otherwise take a port
/// between its selection here and the start of the daemon.
const FIRST_PORT: u16 = 2_000;
/// Number of ports for daemons; the ports of entries follow.
const PORT_COUNT: u16 = 2_000;
/// Distance between the first ports of test processes with consecutive ids.
const PORT_STRIDE: u32 = 331;

const CONFIG: &str = "\
name: thin
regions:
  - id: arusha
    failure_domains: [a]
services: [menu]
classes:
  - id: menu
    service: menu
    idempotent: true
    priority: 0
    latency_ms: 2000
    headroom_pct: 20
    deadline_ms: 20000
    success_pct: 99.9
";

/// A `jasmined` process that is killed on drop.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a free loopback address, each once per process.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT);
    loop {
        let offset = base + u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let index = u16::try_from(offset % u32::from(PORT_COUNT))
            .expect("the remainder is below the number of ports");
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Starts an upstream that sends `respond(request)` to each request, closes the connection, and resets it if `is_reset`.
fn start_upstream(
    respond: impl Fn(&str) -> String + Send + Sync + 'static,
    is_reset: bool,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let addr = listener.local_addr().expect("bound");
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let respond = Arc::clone(&respond);
            thread::spawn(move || {
                let mut buffer = [0; 8192];
                let Ok(length @ 1..) = stream.read(&mut buffer) else {
                    return;
                };
                let request = String::from_utf8_lossy(&buffer[..length]);
                // Fails if the daemon has closed the connection.
                let _ = stream.write_all(respond(&request).as_bytes());
                // What was written arrives before the reset, which would discard it.
                thread::sleep(Duration::from_millis(20));
                if is_reset {
                    let socket = socket2::SockRef::from(&stream);
                    let _ = socket.set_linger(Some(Duration::ZERO));
                }
            });
        }
    });
    addr
}

async fn put(client: &Client, url: String, entry: Value) {
    let sent = client.put(url).send_json(&entry).await;
    assert!(sent.expect("the platform responds").status().is_success());
}

/// An entry that is ready, and its caller.
struct Setup {
    client: Client,
    callers: SocketAddr,
    _daemon: Daemon,
}

impl Setup {
    /// Starts a platform that lists `upstreams`, and an entry.
    async fn start(name: &str, upstreams: &[(&str, SocketAddr)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let platform_url = format!("http://{}", listener.local_addr().expect("bound"));
        actix_rt::spawn(platform::serve(listener).expect("the platform serves"));
        let client = Client::builder()
            .timeout(READY_TIMEOUT)
            .disable_redirects()
            .finish();
        for (id, addr) in upstreams {
            let upstream = json!({
                "id": id, "service": "menu", "region": "arusha", "failure_domain": "a",
                "addr": addr.to_string(), "slots": 9, "state": "live",
            });
            put(
                &client,
                format!("{platform_url}/list/upstreams/{id}"),
                upstream,
            )
            .await;
        }
        let [callers, peers, operator] = [free_addr(), free_addr(), free_addr()];
        let listed = json!({
            "id": "arusha-1", "region": "arusha", "failure_domain": "a",
            "callers_addr": callers.to_string(), "peers_addr": peers.to_string(),
            "operator_addr": operator.to_string(), "state": "live",
        });
        put(
            &client,
            format!("{platform_url}/list/instances/arusha-1"),
            listed,
        )
        .await;
        let file = format!("jasmined-{}-{name}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = format!(
            "instance: arusha-1\nregion: arusha\nfailure_domain: a\ncallers_addr: {callers}\n\
             peers_addr: {peers}\noperator_addr: {operator}\nplatform_url: {platform_url}\n\
             peer_key: a key for tests only\n"
        );
        fs::write(&settings, text).expect("the directory is writable");
        let binary = env!("CARGO_BIN_EXE_jasmined");
        let daemon = Command::new(binary).arg(&settings).spawn();
        let mut daemon = Daemon(daemon.expect("the daemon starts"));
        let accept = json!({ "accept_id": "1", "author": "test", "text": CONFIG });
        let lookup = format!("http://{callers}/v1/entries?class=menu&block=10.0.0.1");
        let started = Instant::now();
        let mut is_accepted = false;
        loop {
            assert!(started.elapsed() < READY_TIMEOUT, "the daemon is not ready");
            let ended = daemon.0.try_wait().expect("the process is ours");
            assert!(ended.is_none(), "the daemon has ended: {ended:?}");
            if !is_accepted {
                let sent = client.post(format!("http://{operator}/op/v1/accept"));
                let answer = sent.send_json(&accept).await;
                is_accepted = answer.is_ok_and(|answer| answer.status().is_success());
            }
            let found = client.get(&lookup).send().await;
            if found.is_ok_and(|found| found.status().is_success()) {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        fs::remove_file(&settings).expect("the file exists");
        Self {
            client,
            callers,
            _daemon: daemon,
        }
    }

    /// Returns the status, the outcome and the body of the response that a caller gets.
    async fn call(&self) -> (u16, String, Vec<u8>) {
        let url = format!("http://{}/v1/work/menu/today", self.callers);
        let sent = self.client.get(url).send().await;
        let mut answer = sent.expect("the entry responds");
        let outcome = answer.headers().get("jasmine-outcome").cloned();
        let outcome = outcome.expect("the entry states the outcome");
        let body = answer.body().await.expect("the response is complete");
        let outcome = outcome.to_str().expect("an outcome is text").to_owned();
        (answer.status().as_u16(), outcome, body.to_vec())
    }
}

/// Guards against bytes that a caller gets as an answer although they are none, or not all of it.
macro_rules! faulty_response_is_no_answer {
    ($($name:ident: $is_reset:expr, $response:expr;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            let upstream = start_upstream(|_| $response.to_owned(), $is_reset);
            let setup = Setup::start(stringify!($name), &[("menu-1", upstream)]).await;
            let (status, outcome, body) = setup.call().await;
            let body = String::from_utf8_lossy(&body);
            assert_eq!((status, &*outcome), (502, "unknown"), "{body}");
        }
    )*};
}

faulty_response_is_no_answer! {
    no_length_and_a_reset: true, "HTTP/1.1 200 OK\r\n\r\na part of the body";
    no_length_and_an_end: false, "HTTP/1.1 200 OK\r\n\r\na part of the body";
    status_000: false, "HTTP/1.1 000 Trouble\r\ncontent-length: 2\r\n\r\nok";
    status_600: false, "HTTP/1.1 600 Trouble\r\ncontent-length: 2\r\n\r\nok";
    blank_after_a_name: false, "HTTP/1.1 200 OK\r\nx-a : b\r\ncontent-length: 2\r\n\r\nok";
    interim_response_alone: false, "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    interim_response: false,
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
}

/// Requests of a caller, enough for both upstreams to get some.
const CALLS: usize = 60;
const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";

/// Returns whether an upstream whose load reports are `report` gets requests, beside one that sends no reports.
async fn gets_requests(name: &str, report: &'static str) -> bool {
    let reports = Arc::new(AtomicUsize::new(0));
    let requests = Arc::new(AtomicUsize::new(0));
    let reporting = {
        let (reports, requests) = (Arc::clone(&reports), Arc::clone(&requests));
        move |request: &str| {
            if request.starts_with("GET /load ") {
                reports.fetch_add(1, Ordering::SeqCst);
                return report.to_owned();
            }
            requests.fetch_add(1, Ordering::SeqCst);
            OK_RESPONSE.to_owned()
        }
    };
    let silent = |request: &str| {
        let is_poll = request.starts_with("GET /load ");
        if is_poll { "" } else { OK_RESPONSE }.to_owned()
    };
    let upstreams = [
        ("menu-1", start_upstream(reporting, false)),
        ("menu-2", start_upstream(silent, false)),
    ];
    let setup = Setup::start(name, &upstreams).await;
    let reports_before = reports.load(Ordering::SeqCst);
    let started = Instant::now();
    // One poll at a time: by the third, the response to the first of them has been handled.
    while reports.load(Ordering::SeqCst) < reports_before + 3 {
        assert!(started.elapsed() < READY_TIMEOUT, "no report is read");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let requests_before = requests.load(Ordering::SeqCst);
    for _ in 0..CALLS {
        let (status, _, body) = setup.call().await;
        assert_eq!((status, &*body), (200, &b"ok"[..]));
    }
    requests.load(Ordering::SeqCst) > requests_before
}

/// A load report of an upstream that is leaving, with this status, header line and length.
macro_rules! leaving_report {
    ($status:literal, $header_line:literal, $length:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\ncontent-type: application/json\r\n",
            $header_line,
            "content-length: ",
            $length,
            "\r\n\r\n",
            r#"{"slots":9,"in_flight":0,"queued":0,"state":"leaving","as_of_ms":0}"#
        )
    };
}

/// Guards against an upstream that gets no requests because of bytes that are no load report.
macro_rules! faulty_load_report_is_ignored {
    ($($name:ident: $status:literal, $header_line:literal, $length:literal;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            let report = leaving_report!($status, $header_line, $length);
            assert!(gets_requests(stringify!($name), report).await);
        }
    )*};
}

faulty_load_report_is_ignored! {
    report_with_status_000: "000 Trouble", "", 67;
    report_with_status_500: "500 Trouble", "", 67;
    report_with_status_600: "600 Trouble", "", 67;
    report_with_blank_after_a_name: "200 OK", "x-a : b\r\n", 67;
    report_shorter_than_its_length: "200 OK", "", 80;
}

/// Shows that a report that is followed would fail the cases above.
#[actix_rt::test]
async fn valid_leaving_report_is_followed() {
    let report = leaving_report!("200 OK", "", 67);
    assert!(!gets_requests("valid_leaving_report_is_followed", report).await);
}
