//! Responses that arrive, and whose connection is reset, while a request is being sent.

use actix_http::Method;
use bytes::Bytes;
use relay::{
    request_head,
    BodyPart,
    Framing,
    Pool,
    RequestBody,
    Target,
    TruncatedBody,
    UpstreamRequest, //
};
use socket2::SockRef;
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::TcpListener,
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::{
    sync::mpsc::channel,
    time::timeout, //
};

/// Time in which what is sent arrives.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time after which the sender gives a request up.
const DEADLINE: Duration = Duration::from_secs(10);
/// Length of the request's body.
const BODY_BYTES: u64 = 1000;

/// Sends a request whose next part is written before the reset of the connection has been read. Returns the body of the
/// response.
async fn exchange(response: &str) -> Result<Vec<u8>, TruncatedBody> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let target = Target {
        id: "u-1".into(),
        addr: listener.local_addr().expect("the listener is bound"),
    };
    let (sender, parts) = channel(1);
    let headers = Default::default();
    let request = UpstreamRequest {
        head: request_head(&Method::POST, "/", &headers, Framing::Length(BODY_BYTES)).freeze(),
        body: RequestBody::Stream {
            length_bytes: Some(BODY_BYTES),
            parts,
        },
        echo: None,
        head_only: false,
        deadline: Instant::now() + DEADLINE,
    };
    let pool = Pool::default();
    let exchange = pool.exchange(&target, request, || true);
    tokio::pin!(exchange);
    let waiting = timeout(SETTLE_TIME, &mut exchange).await;
    assert!(waiting.is_err(), "there is no response yet");
    // Blocks the thread, so that the runtime learns of the response only after the next part has been written.
    let (mut upstream, _) = listener.accept().expect("the request has been sent");
    let read = upstream.read(&mut [0; 1024]);
    assert!(read.expect("the connection is open") > 0);
    let written = upstream.write_all(response.as_bytes());
    written.expect("the connection is open");
    let socket = SockRef::from(&upstream);
    let reset = socket.set_linger(Some(Duration::ZERO));
    reset.expect("the connection is open");
    drop(upstream);
    thread::sleep(SETTLE_TIME);
    let part = BodyPart::Data(Bytes::from_static(b"part"));
    sender.try_send(part).expect("the channel is empty");
    let mut response = exchange.await.expect("there is a response");
    let mut body = Vec::new();
    while let Some(data) = response.body.next(Instant::now() + DEADLINE).await? {
        body.extend_from_slice(&data);
    }
    Ok(body)
}

/// Guards against a part of a response that passes for all of it, because the write has received the error of the reset
/// and the read returns an orderly end.
macro_rules! reset_noticed_by_a_write_truncates_the_body {
    ($($name:ident: $response:expr;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            let read = exchange($response).await;
            assert!(read.is_err(), "{read:?}");
        }
    )*};
}

reset_noticed_by_a_write_truncates_the_body! {
    no_length: "HTTP/1.1 200 OK\r\n\r\nthe whole";
    no_length_and_no_body: "HTTP/1.1 200 OK\r\n\r\n";
    no_length_in_a_response_that_closes: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nthe whole";
    no_length_in_an_older_version: "HTTP/1.0 200 OK\r\n\r\nthe whole";
    no_transfer_coding: "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nthe whole";
    shorter_than_its_length: "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\nthe whole";
    without_a_last_chunk: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nthe whole\r\n";
}

/// Guards against a complete response that counts as truncated because its connection was reset behind it.
macro_rules! reset_behind_a_complete_body_is_ignored {
    ($($name:ident: $response:expr;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            assert_eq!(exchange($response).await, Ok(b"the whole".to_vec()));
        }
    )*};
}

reset_behind_a_complete_body_is_ignored! {
    as_long_as_stated: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nthe whole";
    with_a_last_chunk:
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nthe whole\r\n0\r\n\r\n";
}
