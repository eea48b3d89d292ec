//! Tests of links: delay, bandwidth and faults.

use standin::link::{
    FaultKind,
    Relay, //
};
use std::{
    io::ErrorKind,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};

/// Time without data after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for events that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a relay with further configuration fields to an echo server.
async fn start_relay(fields: &str) -> Arc<Relay> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let spec = format!("name=l,to={addr}{fields}").parse().unwrap();
    Relay::start(spec).await.unwrap()
}

/// Connects to a relay.
async fn connect(relay: &Relay) -> TcpStream {
    TcpStream::connect(relay.addr()).await.unwrap()
}

/// Returns whether a byte is echoed within `wait`.
async fn echoes(stream: &mut TcpStream, wait: Duration) -> bool {
    let echo = async {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    };
    matches!(timeout(wait, echo).await, Ok(Ok(b'x')))
}

#[actix_web::test]
async fn delay_applies_per_direction_without_limiting_throughput() {
    let delay = Duration::from_millis(100);
    let relay = start_relay(",delay_us=100000").await;
    let mut stream = connect(&relay).await;
    let start = Instant::now();
    assert!(echoes(&mut stream, EVENT_TIMEOUT).await);
    assert!(start.elapsed() >= 2 * delay);
    // Relaying one chunk at a time would take 200 times the delay in each direction.
    let start = Instant::now();
    for _ in 0..200 {
        stream.write_all(&[7; 5000]).await.unwrap();
        sleep(Duration::from_millis(1)).await;
    }
    stream.shutdown().await.unwrap();
    let mut back = Vec::new();
    stream.read_to_end(&mut back).await.unwrap();
    assert!(back.len() == 1_000_000 && start.elapsed() < 100 * delay);
    let counters = relay.counters();
    assert_eq!(
        (counters.forward_bytes, counters.back_bytes),
        (1_000_001, 1_000_001)
    );
}

#[actix_web::test]
async fn bandwidth_is_shared_by_connections() {
    let relay = start_relay(",bytes_per_s=1000000").await;
    let start = Instant::now();
    let transfer = || async {
        let mut stream = connect(&relay).await;
        stream.write_all(&[7; 200_000]).await.unwrap();
        stream.shutdown().await.unwrap();
        stream.read_to_end(&mut Vec::new()).await.unwrap();
    };
    tokio::join!(transfer(), transfer());
    assert!(start.elapsed() >= Duration::from_millis(400));
}

#[actix_web::test]
async fn cut_closes_and_refuses_until_cleared() {
    let relay = start_relay("").await;
    let mut old = connect(&relay).await;
    assert!(echoes(&mut old, EVENT_TIMEOUT).await);
    relay.set_fault(FaultKind::Cut);
    let end = timeout(EVENT_TIMEOUT, old.read_u8()).await.unwrap();
    assert!(end.is_err());
    let refused = |e: std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
    let mut polls = 0..6000;
    while !TcpStream::connect(relay.addr()).await.is_err_and(refused) {
        assert!(polls.next().is_some(), "still accepts");
        sleep(Duration::from_millis(5)).await;
    }
    relay.set_fault(FaultKind::None);
    let mut new = loop {
        match TcpStream::connect(relay.addr()).await {
            Ok(stream) => break stream,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
        assert!(polls.next().is_some(), "still refuses");
    };
    assert!(echoes(&mut new, EVENT_TIMEOUT).await);
}

macro_rules! silence_cases {
    ($($name:ident: $kind:ident => new works $new:literal;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            let relay = start_relay("").await;
            let mut old = connect(&relay).await;
            assert!(echoes(&mut old, EVENT_TIMEOUT).await);
            relay.set_fault(FaultKind::$kind);
            assert!(!echoes(&mut old, SILENCE_TIMEOUT).await);
            let mut new = connect(&relay).await;
            let wait = if $new { EVENT_TIMEOUT } else { SILENCE_TIMEOUT };
            assert_eq!(echoes(&mut new, wait).await, $new);
            relay.set_fault(FaultKind::None);
            assert!(!echoes(&mut old, SILENCE_TIMEOUT).await, "silence must be permanent");
            assert!(
                timeout(SILENCE_TIMEOUT, old.read_u8()).await.is_err(),
                "a silent connection must stay open"
            );
            let mut newer = connect(&relay).await;
            assert!(echoes(&mut newer, EVENT_TIMEOUT).await);
            assert!(relay.counters().swallowed_bytes >= 2);
        }
    )* };
}

silence_cases! {
    silent_old: SilentOld => new works true;
    blackhole: Blackhole => new works false;
}

// If one end of a silent connection closes with unread data, its connection is reset. The resulting
// error in the relay used to close the other end as well, so silence looked like a cut.
#[actix_web::test]
async fn silent_connection_hides_reset_of_other_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let relay = Relay::start(format!("to={to}").parse().unwrap())
        .await
        .unwrap();
    let client = connect(&relay).await;
    let (mut server, _) = listener.accept().await.unwrap();
    server.write_all(b"unread").await.unwrap();
    timeout(EVENT_TIMEOUT, client.readable())
        .await
        .unwrap()
        .unwrap();
    relay.set_fault(FaultKind::SilentOld);
    drop(client);
    assert!(timeout(SILENCE_TIMEOUT, server.read_u8()).await.is_err());
}
