//! Requests that their sender gives up.

use actix_http::Method;
use bytes::Bytes;
use relay::{
    request_head,
    Failure,
    Framing,
    Pool,
    RequestBody,
    Target,
    UpstreamRequest, //
};
use std::{
    io,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::{
    io::AsyncReadExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    time::timeout,
};

/// Time after which the sender gives a request up.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(100);
/// Time within which the upstream learns of it.
const NOTICED_WITHIN: Duration = Duration::from_secs(5);

async fn listen() -> (TcpListener, Target) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let target = Target {
        id: "u-1".into(),
        addr,
    };
    (listener, target)
}

fn request(deadline: Instant) -> UpstreamRequest {
    let headers = Default::default();
    UpstreamRequest {
        head: request_head(&Method::GET, "/", &headers, Framing::None).freeze(),
        body: RequestBody::Whole(Bytes::new()),
        echo: None,
        head_only: false,
        deadline,
    }
}

/// Reads until the connection ends, and returns how it does.
async fn end_of(mut stream: TcpStream) -> io::Result<()> {
    let mut buf = [0; 1024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}

async fn assert_is_reset(listener: &TcpListener) {
    let (stream, _) = listener.accept().await.expect("the listener is open");
    let ended = timeout(NOTICED_WITHIN, end_of(stream)).await;
    let error = ended
        .expect("the connection ends")
        .expect_err("the connection is reset");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

/// Guards against requests that the kernel still delivers to an upstream when their time is long over.
#[actix_rt::test]
async fn connection_of_a_request_past_its_deadline_is_reset() {
    let (listener, target) = listen().await;
    let pool = Pool::default();
    let sent = pool.exchange(&target, request(Instant::now() + GIVEN_UP_AFTER), || true);
    let (result, ()) = tokio::join!(sent, assert_is_reset(&listener));
    assert_eq!(result.err(), Some(Failure::Timeout));
}

/// Guards against requests that the kernel still delivers to an upstream although their caller has left.
#[actix_rt::test]
async fn connection_of_an_abandoned_request_is_reset() {
    let (listener, target) = listen().await;
    let pool = Pool::default();
    let sent = pool.exchange(&target, request(Instant::now() + NOTICED_WITHIN), || true);
    let (result, ()) = tokio::join!(timeout(GIVEN_UP_AFTER, sent), assert_is_reset(&listener));
    assert!(
        result.is_err(),
        "the request is given up before its deadline"
    );
}
