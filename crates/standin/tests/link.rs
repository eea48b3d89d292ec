//! What a link does to its connections.

use standin::link::{
    Kind,
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

/// How long silence is listened to.
const A_WHILE: Duration = Duration::from_millis(200);
/// Longest time that something that must happen may take.
const AMPLE: Duration = Duration::from_secs(30);

/// A relay with these further fields, to a server that sends back what it gets.
async fn link(fields: &str) -> Arc<Relay> {
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

async fn connect(relay: &Relay) -> TcpStream {
    TcpStream::connect(relay.addr()).await.unwrap()
}

/// Whether a byte comes back.
async fn echoes(stream: &mut TcpStream, wait: Duration) -> bool {
    let echo = async {
        stream.write_all(b"x").await?;
        stream.read_u8().await
    };
    matches!(timeout(wait, echo).await, Ok(Ok(b'x')))
}

#[actix_web::test]
async fn delays_each_way_without_a_cap() {
    let delay = Duration::from_millis(100);
    let relay = link(",delay_us=100000").await;
    let mut stream = connect(&relay).await;
    let start = Instant::now();
    assert!(echoes(&mut stream, AMPLE).await);
    assert!(start.elapsed() >= 2 * delay);
    // One chunk after the other would take 200 times the delay each way.
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
async fn width_is_shared() {
    let relay = link(",bytes_per_s=1000000").await;
    let start = Instant::now();
    let carry = || async {
        let mut stream = connect(&relay).await;
        stream.write_all(&[7; 200_000]).await.unwrap();
        stream.shutdown().await.unwrap();
        stream.read_to_end(&mut Vec::new()).await.unwrap();
    };
    tokio::join!(carry(), carry());
    assert!(start.elapsed() >= Duration::from_millis(400));
}

#[actix_web::test]
async fn cut_closes_refuses_and_heals() {
    let relay = link("").await;
    let mut old = connect(&relay).await;
    assert!(echoes(&mut old, AMPLE).await);
    relay.set_fault(Kind::Cut);
    let end = timeout(AMPLE, old.read_u8()).await.unwrap();
    assert!(end.is_err());
    let refused = |e: std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
    let mut steps = 0..6000;
    while !TcpStream::connect(relay.addr()).await.is_err_and(refused) {
        assert!(steps.next().is_some(), "still accepts");
        sleep(Duration::from_millis(5)).await;
    }
    relay.set_fault(Kind::None);
    let mut new = loop {
        match TcpStream::connect(relay.addr()).await {
            Ok(stream) => break stream,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
        assert!(steps.next().is_some(), "still refuses");
    };
    assert!(echoes(&mut new, AMPLE).await);
}

macro_rules! silences {
    ($($name:ident: $kind:ident => new works $new:literal;)*) => { $(
        #[actix_web::test]
        async fn $name() {
            let relay = link("").await;
            let mut old = connect(&relay).await;
            assert!(echoes(&mut old, AMPLE).await);
            relay.set_fault(Kind::$kind);
            assert!(!echoes(&mut old, A_WHILE).await);
            let mut new = connect(&relay).await;
            let wait = if $new { AMPLE } else { A_WHILE };
            assert_eq!(echoes(&mut new, wait).await, $new);
            relay.set_fault(Kind::None);
            assert!(!echoes(&mut old, A_WHILE).await, "silence is for good");
            assert!(timeout(A_WHILE, old.read_u8()).await.is_err(), "and sends no end");
            let mut newer = connect(&relay).await;
            assert!(echoes(&mut newer, AMPLE).await);
            assert!(relay.counters().swallowed_bytes >= 2);
        }
    )* };
}

silences! {
    silent_old: SilentOld => new works true;
    blackhole: Blackhole => new works false;
}

// Symptom: on a line gone silent one end saw the other's reset, so the fault looked like a cut.
// Sequence: silence, then the near end closes with unread bytes, which resets its connection.
// Cause: the relay's own error closed both ends.
#[actix_web::test]
async fn silence_hides_the_other_ends_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let relay = Relay::start(format!("to={to}").parse().unwrap())
        .await
        .unwrap();
    let near = connect(&relay).await;
    let (mut far, _) = listener.accept().await.unwrap();
    far.write_all(b"unread").await.unwrap();
    timeout(AMPLE, near.readable()).await.unwrap().unwrap();
    relay.set_fault(Kind::SilentOld);
    drop(near);
    assert!(timeout(A_WHILE, far.read_u8()).await.is_err());
}
