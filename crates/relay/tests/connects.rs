//! Which connections of a pool count as failed: what an entry suspects a partition by.

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
use socket2::{
    Domain,
    Socket,
    Type, //
};
use std::{
    net::SocketAddr,
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
    time::sleep,
};

/// Time for which a probe's connection must stay open.
const HOLD: Duration = Duration::from_millis(20);
/// Timeout of a connection; longer than the time after which it counts as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a connection that is not established counts as failed, with a margin.
const OVERDUE: Duration = Duration::from_millis(450);

fn target(id: &'static str, addr: SocketAddr) -> Target {
    Target {
        id: id.into(),
        addr,
    }
}

fn pool() -> Pool {
    Pool::with_connect_timeout(CONNECT_TIMEOUT)
}

fn in_time() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Returns an address on which no process listens.
fn closed_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

/// Starts an upstream that responds to every request.
async fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                while stream.read(&mut [0; 4096]).await.is_ok_and(|read| read > 0) {
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    // Fails if the connection is closed.
                    let _ = stream.write_all(response).await;
                }
            });
        }
    });
    addr
}

/// A listener that doesn't answer connection attempts, since its backlog is full.
struct Silent {
    addr: SocketAddr,
    _socket: Socket,
    _held: Vec<TcpStream>,
}

impl Silent {
    async fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is available");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a port is free");
        socket.listen(0).expect("the socket is bound");
        let addr = socket.local_addr().expect("the socket is bound");
        let addr = addr.as_socket().expect("the address is an IP address");
        let mut held = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(addr)).await
        {
            held.push(stream);
        }
        Self {
            addr,
            _socket: socket,
            _held: held,
        }
    }
}

/// Sends a request and reads its response, so that the connection is kept.
async fn exchange(pool: &Pool, target: &Target) -> Result<(), Failure> {
    let headers = actix_http::header::HeaderMap::new();
    let request = UpstreamRequest {
        head: request_head(&actix_http::Method::GET, "/", &headers, Framing::None).freeze(),
        body: RequestBody::Whole(Bytes::new()),
        echo: None,
        head_only: false,
        deadline: in_time(),
    };
    let mut response = pool.exchange(target, request, || true).await?;
    let end = response.body.next(in_time()).await;
    assert!(end.is_ok_and(|data| data.is_none()));
    Ok(())
}

/// Probes an upstream; returns whether the connection worked.
async fn probe(pool: &Pool, target: Target) -> bool {
    let opened = pool.open_and_hold(&target, in_time(), HOLD).await;
    opened.is_ok()
}

async fn refuse(pool: &Pool, ids: &[&'static str]) {
    for id in ids {
        let opened = pool.open(&target(id, closed_addr()), in_time()).await;
        assert_eq!(opened, Err(Failure::Refused));
    }
}

/// Guards against one upstream that has crashed being taken for a partition.
#[actix_rt::test]
async fn each_upstream_counts_once() {
    let pool = pool();
    refuse(&pool, &["u-1", "u-2", "u-1", "u-1"]).await;
    assert_eq!(pool.failed_connections(), 2);
}

/// Guards against suspicion while connections work.
#[actix_rt::test]
async fn new_connection_that_works_ends_the_count() {
    let pool = pool();
    let addr = upstream().await;
    refuse(&pool, &["u-1", "u-2"]).await;
    assert!(probe(&pool, target("u-3", addr)).await);
    assert_eq!(pool.failed_connections(), 0);
    refuse(&pool, &["u-1"]).await;
    assert_eq!(exchange(&pool, &target("u-4", addr)).await, Ok(()));
    assert_eq!(pool.failed_connections(), 0);
}

/// Guards against a partition that goes unnoticed because older connections still work.
#[actix_rt::test]
async fn response_on_an_older_connection_does_not_end_the_count() {
    let pool = pool();
    let addr = upstream().await;
    assert_eq!(exchange(&pool, &target("u-3", addr)).await, Ok(()));
    refuse(&pool, &["u-1", "u-2"]).await;
    assert_eq!(exchange(&pool, &target("u-3", addr)).await, Ok(()));
    assert_eq!(pool.failed_connections(), 2);
}

/// Guards against a partition that accepts connections and closes them, and so seems to be open.
#[actix_rt::test]
async fn connection_that_is_closed_without_a_response_counts() {
    let pool = pool();
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(async move { while listener.accept().await.is_ok() {} });
    assert!(exchange(&pool, &target("u-1", addr)).await.is_err());
    assert!(!probe(&pool, target("u-2", addr)).await);
    assert_eq!(pool.failed_connections(), 2);
}

/// Guards against requests that wait out connection timeouts before a partition is suspected.
#[actix_rt::test]
async fn connection_that_takes_too_long_counts_before_its_timeout() {
    let pool = pool();
    let silent = Silent::start().await;
    let connecting = |id| {
        let (pool, target) = (pool.clone(), target(id, silent.addr));
        actix_rt::spawn(async move { pool.open(&target, in_time()).await })
    };
    let pending = [connecting("u-1"), connecting("u-2"), connecting("u-2")];
    sleep(OVERDUE).await;
    assert_eq!(pool.failed_connections(), 2);
    for one in pending {
        assert!(one.await.expect("the task ends").is_err());
    }
    assert_eq!(pool.failed_connections(), 2);
}

/// Guards against suspicion by connections to crashed upstreams that were begun before another one worked.
#[actix_rt::test]
async fn connection_begun_before_one_that_works_does_not_count() {
    let pool = pool();
    let (silent, addr) = (Silent::start().await, upstream().await);
    let opening = {
        let (pool, target) = (pool.clone(), target("u-1", silent.addr));
        actix_rt::spawn(async move { pool.open(&target, in_time()).await })
    };
    sleep(Duration::from_millis(50)).await;
    assert!(probe(&pool, target("u-2", addr)).await);
    sleep(OVERDUE).await;
    assert_eq!(pool.failed_connections(), 0);
    assert!(opening.await.expect("the task ends").is_err());
    assert_eq!(pool.failed_connections(), 0);
}

/// Guards against callers that leave being taken for failed connections.
#[actix_rt::test]
async fn connection_that_is_given_up_does_not_count() {
    let pool = pool();
    let silent = Silent::start().await;
    let soon = Instant::now() + Duration::from_millis(100);
    let opened = pool.open(&target("u-1", silent.addr), soon).await;
    assert!(opened.is_err());
    assert_eq!(pool.failed_connections(), 0);
}
