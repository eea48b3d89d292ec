//! Tracking of abandoned connections, over real TCP connections.

use actix_rt::{
    net::TcpStream,
    task::JoinHandle,
    time::timeout,
    System, //
};
use awc::Client;
use std::{
    io,
    time::Duration, //
};
use strict::{
    tracking_connector,
    ClosingConnections, //
};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener, //
};

/// Long enough that only a wait that never ends exceeds it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Time within which a wait that ends too early, while a connection is still open, would end.
const PENDING_TIME: Duration = Duration::from_millis(50);

/// Starts a request to a listener of the test; returns its task and the upstream's end of the connection.
async fn request(closing: &ClosingConnections) -> (JoinHandle<()>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let connector = tracking_connector(closing.clone());
    let client = Client::builder().connector(connector).finish();
    let request_task = actix_rt::spawn(async move {
        let _ = client.get(url).send().await;
    });
    let (mut upstream, _) = listener.accept().await.unwrap();
    assert!(upstream.read(&mut [0; 1024]).await.unwrap() > 0);
    (request_task, upstream)
}

/// Reads until end of file.
async fn read_to_end(upstream: &mut TcpStream) -> io::Result<()> {
    while upstream.read(&mut [0; 1024]).await? > 0 {}
    Ok(())
}

/// Guards against reusing a slot while its upstream still executes a cancelled request: the caller
/// disconnects in the middle of a request, and the upstream notices later. One side closing a connection
/// doesn't mean that the other side has.
#[test]
fn closed_waits_until_peer_closes_abandoned_connection() {
    System::new().block_on(async {
        let closing = ClosingConnections::default();
        let (request_task, mut upstream) = request(&closing).await;
        request_task.abort();
        timeout(HANG_TIMEOUT, read_to_end(&mut upstream))
            .await
            .expect("the upstream sees the shutdown")
            .unwrap();
        let early = timeout(PENDING_TIME, closing.wait_closed()).await;
        assert!(early.is_err(), "the upstream still has the request");
        drop(upstream);
        let closed = timeout(HANG_TIMEOUT, closing.wait_closed()).await;
        assert!(closed.is_ok(), "the upstream has closed");
    });
}

/// Guards against slots that stay occupied because the wait includes connections that were not
/// abandoned.
#[test]
fn closed_ignores_connections_in_use() {
    System::new().block_on(async {
        let closing = ClosingConnections::default();
        let (_sent, _upstream) = request(&closing).await;
        let closed = timeout(HANG_TIMEOUT, closing.wait_closed()).await;
        assert!(closed.is_ok());
    });
}
