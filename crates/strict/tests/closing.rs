//! When a cancellation has arrived, over real connections.

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
    watched_connector,
    Closing, //
};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener, //
};

/// Long enough that only a wait without end runs into it.
const FOREVER: Duration = Duration::from_secs(60);

/// Waits that end while something is still open would be seen within this time.
const WHILE: Duration = Duration::from_millis(50);

/// A request on its way to an upstream of the test's own, and the upstream's end of it.
async fn request(closing: &Closing) -> (JoinHandle<()>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let connector = watched_connector(closing.clone());
    let client = Client::builder().connector(connector).finish();
    let sent = actix_rt::spawn(async move {
        let _ = client.get(url).send().await;
    });
    let (mut upstream, _) = listener.accept().await.unwrap();
    assert!(upstream.read(&mut [0; 1024]).await.unwrap() > 0);
    (sent, upstream)
}

/// Reads what comes until the end of the connection.
async fn read_to_end(upstream: &mut TcpStream) -> io::Result<()> {
    while upstream.read(&mut [0; 1024]).await? > 0 {}
    Ok(())
}

/// Symptom: a slot is used while its upstream still works on a request that was given up on.
/// Sequence: a caller goes away in the middle of a request; the upstream notices later. Cause: the
/// end of one side of a connection says nothing about the other side.
#[test]
fn a_cancellation_has_arrived_when_the_other_end_closes() {
    System::new().block_on(async {
        let closing = Closing::default();
        let (sent, mut upstream) = request(&closing).await;
        sent.abort();
        timeout(FOREVER, read_to_end(&mut upstream))
            .await
            .expect("the upstream is told")
            .unwrap();
        let early = timeout(WHILE, closing.closed()).await;
        assert!(early.is_err(), "the upstream still has the request");
        drop(upstream);
        let closed = timeout(FOREVER, closing.closed()).await;
        assert!(closed.is_ok(), "the upstream has closed");
    });
}

/// Symptom: slots stay taken for as long as somebody else's request is being cancelled. Sequence:
/// nothing was given up yet. Cause: a wait for connections that were not given up.
#[test]
fn requests_on_their_way_are_not_waited_for() {
    System::new().block_on(async {
        let closing = Closing::default();
        let (_sent, _upstream) = request(&closing).await;
        let closed = timeout(FOREVER, closing.closed()).await;
        assert!(closed.is_ok());
    });
}
