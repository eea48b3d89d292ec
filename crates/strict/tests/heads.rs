//! Responses with invalid heads, and with heads that don't state where the body ends, as a client with a strict connector
//! reads them.

use actix_rt::System;
use awc::{
    http::Method,
    Client, //
};
use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::TcpListener,
    thread,
    time::Duration, //
};
use strict::{
    strict_connector,
    tracking_connector,
    ClosingConnections, //
};

/// Time within which a response is read; long enough for a busy machine.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a response from a server that sends `response` and then closes the connection in order. Returns its status and
/// body; `None` if it is rejected.
async fn read(client: &Client, method: Method, response: &'static str) -> Option<(u16, Vec<u8>)> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let read = stream.read(&mut [0; 4096]);
        assert!(read.expect("the client sends a request") > 0);
        // Fails if the client has already closed the connection.
        let _ = stream.write_all(response.as_bytes());
    });
    let request = client.request(method, format!("http://{addr}/"));
    let read = match request.timeout(READ_TIMEOUT).send().await {
        Ok(mut response) => {
            let body = response.body().await.ok();
            body.map(|body| (response.status().as_u16(), body.to_vec()))
        }
        Err(_) => None,
    };
    server.join().expect("the server doesn't panic");
    read
}

/// Reads a response with each connector; both must agree.
fn read_with_each_connector(method: Method, response: &'static str) -> Option<(u16, Vec<u8>)> {
    System::new().block_on(async {
        let strict = Client::builder().connector(strict_connector()).finish();
        let closing = ClosingConnections::default();
        let tracking = Client::builder()
            .connector(tracking_connector(closing))
            .finish();
        let found = read(&strict, method.clone(), response).await;
        assert_eq!(read(&tracking, method, response).await, found);
        found
    })
}

/// Guards against bytes that are no response, or not known to be all of it, and are taken for a complete one.
macro_rules! invalid_response_is_an_error {
    ($($name:ident: $response:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(read_with_each_connector(Method::POST, $response), None);
        }
    )*};
}

invalid_response_is_an_error! {
    blank_after_a_name: "HTTP/1.1 200 OK\r\nx-a : b\r\ncontent-length: 2\r\n\r\nok";
    tab_after_a_name: "HTTP/1.1 200 OK\r\nx-a\t: b\r\ncontent-length: 2\r\n\r\nok";
    blank_after_the_name_of_the_length: "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok";
    blank_in_a_name: "HTTP/1.1 200 OK\r\nx a: b\r\ncontent-length: 2\r\n\r\nok";
    control_byte_in_a_name: "HTTP/1.1 200 OK\r\nx\u{1}a: b\r\ncontent-length: 2\r\n\r\nok";
    status_000: "HTTP/1.1 000 Trouble\r\ncontent-length: 2\r\n\r\nok";
    status_099: "HTTP/1.1 099 Trouble\r\ncontent-length: 2\r\n\r\nok";
    status_600: "HTTP/1.1 600 Trouble\r\ncontent-length: 2\r\n\r\nok";
    status_999: "HTTP/1.1 999 Trouble\r\ncontent-length: 2\r\n\r\nok";
    no_length: "HTTP/1.1 200 OK\r\n\r\nok";
    no_length_and_no_body: "HTTP/1.1 200 OK\r\n\r\n";
    no_length_in_a_response_that_closes: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok";
    no_length_in_an_older_version: "HTTP/1.0 200 OK\r\n\r\nok";
    no_transfer_coding: "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok";
    interim_response_alone: "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    interim_response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    other_protocol: "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\nok";
}

/// Guards against an interim response that a request asks for and that is an error.
#[test]
fn interim_response_is_read_where_it_is_expected() {
    System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the client connects");
            let mut buf = [0; 4096];
            let head = stream.read(&mut buf).expect("the client sends a head");
            assert!(buf[..head].ends_with(b"\r\n\r\n"));
            let written = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            written.expect("the client reads");
            let body = stream.read(&mut buf).expect("the client sends a body");
            assert_eq!(&buf[..body], b"body");
            let written = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            written.expect("the client reads");
        });
        let client = Client::builder().connector(strict_connector()).finish();
        let request = client.post(format!("http://{addr}/"));
        let request = request.insert_header(("expect", "100-continue"));
        let sent = request.timeout(READ_TIMEOUT).send_body("body").await;
        let mut response = sent.expect("there is a response");
        assert_eq!(response.status(), 200);
        let body = response.body().await.expect("the body is complete");
        assert_eq!(&*body, b"ok");
        server.join().expect("the server doesn't panic");
    });
}

/// Guards against responses that are rejected although they are complete.
macro_rules! complete_response_is_read {
    ($($name:ident: $method:expr, $response:expr, $status:expr, $body:expr;)*) => {$(
        #[test]
        fn $name() {
            let found = read_with_each_connector($method, $response);
            assert_eq!(found, Some(($status, $body.to_vec())));
        }
    )*};
}

complete_response_is_read! {
    with_a_length: Method::POST, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 200, b"ok";
    with_a_length_in_an_older_version: Method::POST,
        "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok", 200, b"ok";
    in_chunks: Method::POST,
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, b"ok";
    of_an_unassigned_status: Method::POST, "HTTP/1.1 599 Other\r\ncontent-length: 2\r\n\r\nok", 599, b"ok";
    without_content: Method::POST, "HTTP/1.1 204 No Content\r\n\r\n", 204, b"";
    not_modified: Method::GET, "HTTP/1.1 304 Not Modified\r\ncontent-length: 0\r\n\r\n", 304, b"";
    not_modified_without_a_length: Method::GET, "HTTP/1.1 304 Not Modified\r\n\r\n", 304, b"";
    to_a_head_request: Method::HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", 200, b"";
    to_a_head_request_without_a_length: Method::HEAD, "HTTP/1.1 200 OK\r\n\r\n", 200, b"";
}
