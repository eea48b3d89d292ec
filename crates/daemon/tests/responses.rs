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
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Timeout for the daemon to become ready; long, to tolerate a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

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

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("bound")
}

/// Starts an upstream that sends `response` to each request, closes the connection, and resets it if `is_reset`.
fn start_upstream(response: &'static str, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                if !matches!(stream.read(&mut [0; 8192]), Ok(1..)) {
                    return;
                }
                // Fails if the daemon has closed the connection.
                let _ = stream.write_all(response.as_bytes());
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

/// Returns the status, the outcome and the body of the response that a caller gets.
async fn call(name: &str, response: &'static str, is_reset: bool) -> (u16, String, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let platform_url = format!("http://{}", listener.local_addr().expect("bound"));
    actix_rt::spawn(platform::serve(listener).expect("the platform serves"));
    let client = Client::builder()
        .timeout(READY_TIMEOUT)
        .disable_redirects()
        .finish();
    let upstream = json!({
        "id": "menu-1", "service": "menu", "region": "arusha", "failure_domain": "a",
        "addr": start_upstream(response, is_reset).to_string(), "slots": 9, "state": "live",
    });
    put(
        &client,
        format!("{platform_url}/list/upstreams/menu-1"),
        upstream,
    )
    .await;
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
    let _daemon = Daemon(daemon.expect("the daemon starts"));
    let accept = json!({ "accept_id": "1", "author": "test", "text": CONFIG });
    let lookup = format!("http://{callers}/v1/entries?class=menu&block=10.0.0.1");
    let started = Instant::now();
    let mut is_accepted = false;
    loop {
        assert!(started.elapsed() < READY_TIMEOUT, "the daemon is not ready");
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
    let sent = client.get(format!("http://{callers}/v1/work/menu/today"));
    let mut answer = sent.send().await.expect("the entry responds");
    let outcome = answer.headers().get("jasmine-outcome").cloned();
    let outcome = outcome.expect("the entry states the outcome");
    let body = answer.body().await.expect("the response is complete");
    let outcome = outcome.to_str().expect("an outcome is text").to_owned();
    (answer.status().as_u16(), outcome, body.to_vec())
}

/// Guards against bytes that a caller gets as an answer although they are none, or not all of it.
macro_rules! faulty_response_is_no_answer {
    ($($name:ident: $is_reset:expr, $response:expr;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            let (status, outcome, body) = call(stringify!($name), $response, $is_reset).await;
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
