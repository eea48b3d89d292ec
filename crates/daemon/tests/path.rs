//! End-to-end request path with one entry: look-up, work at the returned entry, upstream response.

use awc::Client;
use serde_json::{
    json,
    Value, //
};
use standin::{
    platform,
    upstream::{
        Spec,
        Upstream, //
    },
};
use std::{
    fs,
    net::{
        SocketAddr,
        TcpListener, //
    },
    process::{
        Child,
        Command, //
    },
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

async fn get(client: &Client, url: &str) -> Option<Value> {
    let mut answer = client.get(url).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json().await.ok()
}

#[actix_rt::test]
async fn a_request_is_served_by_the_entry_of_the_look_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let platform_url = format!("http://{}", listener.local_addr().unwrap());
    actix_rt::spawn(platform::serve(listener).unwrap());
    let spec =
        "id=menu-1,service=menu,region=arusha,domain=a,listen=127.0.0.1:0,slots=9,service_ms=1";
    let (upstream, server) = Upstream::serve(spec.parse::<Spec>().unwrap()).unwrap();
    actix_rt::spawn(server);
    upstream.register(&platform_url).await.unwrap();

    let [callers, peers, operator] = [free_addr(), free_addr(), free_addr()];
    let client = Client::default();
    let listed = json!({
        "id": "arusha-1", "region": "arusha", "failure_domain": "a",
        "callers_addr": callers.to_string(), "peers_addr": peers.to_string(),
        "operator_addr": operator.to_string(), "state": "live",
    });
    let url = format!("{platform_url}/list/instances/arusha-1");
    client.put(url).send_json(&listed).await.unwrap();
    let settings = std::env::temp_dir().join(format!("jasmined-{}.yaml", std::process::id()));
    let text = format!(
        "instance: arusha-1\nregion: arusha\nfailure_domain: a\ncallers_addr: {callers}\n\
         peers_addr: {peers}\noperator_addr: {operator}\nplatform_url: {platform_url}\n\
         peer_key: a key for tests only\n"
    );
    fs::write(&settings, text).unwrap();
    let binary = env!("CARGO_BIN_EXE_jasmined");
    let _daemon = Daemon(Command::new(binary).arg(&settings).spawn().unwrap());

    let accept = json!({ "accept_id": "1", "author": "test", "text": CONFIG });
    let lookup = format!("http://{callers}/v1/entries?class=menu&block=10.0.0.1");
    let started = Instant::now();
    let mut accepted = false;
    let found = loop {
        assert!(started.elapsed() < READY_TIMEOUT, "the daemon is not ready");
        if !accepted {
            let sent = client.post(format!("http://{operator}/op/v1/accept"));
            let answer = sent.send_json(&accept).await;
            accepted = answer.is_ok_and(|answer| answer.status().is_success());
        }
        if let Some(found) = get(&client, &lookup).await {
            break found;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    };
    fs::remove_file(&settings).unwrap();

    let entry = found["entries"][0]["addr"].as_str().unwrap();
    let url = format!("http://{entry}/v1/work/menu/today?guests=4");
    let mut answer = client.get(url).send().await.unwrap();
    assert_eq!(answer.headers().get("jasmine-outcome").unwrap(), "done");
    let echo: Value = answer.json().await.unwrap();
    assert_eq!(echo["path"], "/today?guests=4");
    assert_eq!(echo["upstream"], "menu-1");
    assert_eq!(upstream.record().entries.len(), 1);
}
