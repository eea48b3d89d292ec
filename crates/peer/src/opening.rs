//! Session establishment on either side: TCP, WebSocket, handshake.

use crate::{
    counting_stream::CountingStream,
    handshake::{
        AuthenticatedPeer,
        AwaitingHello,
        AwaitingProof,
        NONCE_BYTES, //
    },
    mesh::Partner,
    refusal::Refusal,
    registry::Admission,
    shared::Shared, //
};
use base::InstanceId;
use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use rand::RngExt;
use std::{
    io::ErrorKind,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        timeout,
        Instant, //
    }, //
};
use tokio_tungstenite::{
    accept_async_with_config,
    client_async_with_config,
    tungstenite::{
        error::{
            Error,
            ProtocolError, //
        },
        protocol::{
            Role,
            WebSocketConfig, //
        },
        Message, //
    },
    WebSocketStream, //
};

/// WebSocket of a session.
pub(crate) type Socket = WebSocketStream<CountingStream>;

/// Largest message accepted from an unauthenticated dialler, in bytes; a hello takes a few hundred.
const UNAUTHENTICATED_MAX_BYTES: usize = 4096;
/// WebSocket buffer size per direction, in bytes; the library's default is 128 KiB per session.
const WEBSOCKET_BUFFER_BYTES: usize = 16 * 1024;
/// Time allowed for the remote end to read a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Response to a connection that does not start with a WebSocket handshake.
const NOT_WEBSOCKET: &[u8] = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\
    Content-Type: text/plain\r\nContent-Length: 26\r\n\r\nnot a websocket handshake\n";

/// An established session; both ends are authenticated.
pub(crate) struct OpenedSession {
    /// The WebSocket.
    pub(crate) socket: Socket,
    /// The remote end.
    pub(crate) remote: AuthenticatedPeer,
    /// Its registration.
    pub(crate) admission: Admission,
}

/// Why a dial attempt did not establish a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DialError {
    /// Nothing listens at the address: the process has exited.
    ConnectionRefused,
    /// The connection failed for any other reason.
    Unreachable,
    /// The connection succeeded but the handshake failed.
    Refused(Refusal),
}

/// Opens a session to `partner`, replacing the lost session `reopens` if there is one.
pub(crate) async fn dial(
    shared: &Shared,
    partner: &Partner,
    reopens: Option<Bytes>,
) -> Result<OpenedSession, DialError> {
    let time_limit = shared.options.handshake_timeout;
    match timeout(time_limit, try_dial(shared, partner, reopens)).await {
        Ok(result) => result,
        Err(_) => Err(DialError::Unreachable),
    }
}

/// Connects and authenticates, without a time limit.
async fn try_dial(
    shared: &Shared,
    partner: &Partner,
    reopens: Option<Bytes>,
) -> Result<OpenedSession, DialError> {
    let stream = match TcpStream::connect(partner.addr).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(DialError::ConnectionRefused);
        }
        Err(_) => return Err(DialError::Unreachable),
    };
    let stream =
        CountingStream::new(stream, &shared.counters).map_err(|_| DialError::Unreachable)?;
    let url = format!("ws://{}/", partner.addr);
    let config = websocket_config(shared.options.max_frame_bytes);
    let (mut socket, _) = client_async_with_config(url, stream, Some(config))
        .await
        .map_err(|error| DialError::Refused(handshake_refusal(&error)))?;
    match authenticate_as_dialler(shared, &mut socket, &partner.instance, reopens).await {
        Ok((remote, admission)) => Ok(OpenedSession {
            socket,
            remote,
            admission,
        }),
        Err(refusal) => {
            close_with_refusal(socket, refusal).await;
            Err(DialError::Refused(refusal))
        }
    }
}

/// Runs the dialling side: local hello, remote hello, local proof, remote proof.
async fn authenticate_as_dialler(
    shared: &Shared,
    socket: &mut Socket,
    expected: &InstanceId,
    reopens: Option<Bytes>,
) -> Result<(AuthenticatedPeer, Admission), Refusal> {
    let handshake = AwaitingHello::dial(
        &shared.identity,
        &shared.key,
        random_nonce(),
        expected,
        reopens,
    );
    send(socket, handshake.hello()).await?;
    let sent_at = Instant::now();
    let handshake = handshake.receive_hello(&receive(socket).await?)?;
    let rtt = sent_at.elapsed();
    send(socket, handshake.proof()).await?;
    let remote = handshake.verify_proof(&receive(socket).await?)?;
    let admission = shared.admit(&remote, rtt)?;
    Ok((remote, admission))
}

/// Opens a session on an accepted connection. On failure the remote end has been told the reason.
pub(crate) async fn accept_session(
    shared: &Shared,
    stream: TcpStream,
) -> Result<OpenedSession, Refusal> {
    let time_limit = shared.options.handshake_timeout;
    let mut stream = CountingStream::new(stream, &shared.counters).map_err(|_| Refusal::Closed)?;
    if let Err(refusal) = upgrade(&mut stream, time_limit).await {
        // Also gives a browser or a misdirected probe a clear response.
        let _ = timeout(REFUSAL_TIMEOUT, stream.write_all(NOT_WEBSOCKET)).await;
        shutdown_and_drain(stream).await;
        return Err(refusal);
    }
    let unauthenticated_config = Some(websocket_config(UNAUTHENTICATED_MAX_BYTES));
    let mut socket = Socket::from_raw_socket(stream, Role::Server, unauthenticated_config).await;
    let (handshake, remote, rtt) = match authenticate_dialler(shared, &mut socket, time_limit).await
    {
        Ok(authenticated) => authenticated,
        Err(refusal) => {
            close_with_refusal(socket, refusal).await;
            return Err(refusal);
        }
    };
    // The session is registered before the proof tells the dialler; `registry.rs` explains why the
    // order matters.
    let admission = match shared.admit(&remote, rtt) {
        Ok(admission) => admission,
        Err(refusal) => {
            close_with_refusal(socket, refusal).await;
            return Err(refusal);
        }
    };
    // If this fails, the session's first read fails and the session counts as lost.
    let _ = timeout(time_limit, send(&mut socket, handshake.proof())).await;
    // The WebSocket is rebuilt to lift the limit for unauthenticated diallers. No buffered bytes
    // are lost: a dialler sends nothing between its own proof and the listener's.
    let authenticated_config = Some(websocket_config(shared.options.max_frame_bytes));
    let socket =
        Socket::from_raw_socket(socket.into_inner(), Role::Server, authenticated_config).await;
    Ok(OpenedSession {
        socket,
        remote,
        admission,
    })
}

/// Performs the WebSocket handshake.
async fn upgrade(stream: &mut CountingStream, time_limit: Duration) -> Result<(), Refusal> {
    let upgrade =
        accept_async_with_config(stream, Some(websocket_config(UNAUTHENTICATED_MAX_BYTES)));
    match timeout(time_limit, upgrade).await {
        // The library rejects bytes that follow the handshake, so dropping the WebSocket here loses
        // none.
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(handshake_refusal(&error)),
        Err(_) => Err(Refusal::Timeout),
    }
}

/// Runs the listening side: remote hello, local hello, remote proof.
async fn authenticate_dialler(
    shared: &Shared,
    socket: &mut Socket,
    time_limit: Duration,
) -> Result<(AwaitingProof, AuthenticatedPeer, Duration), Refusal> {
    let exchange = async {
        let handshake = AwaitingHello::listen(&shared.identity, &shared.key, random_nonce());
        let remote_hello = receive(socket).await?;
        let local_hello = handshake.hello();
        let handshake = handshake.receive_hello(&remote_hello)?;
        send(socket, local_hello).await?;
        let sent_at = Instant::now();
        let remote = handshake.verify_proof(&receive(socket).await?)?;
        Ok((handshake, remote, sent_at.elapsed()))
    };
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(Refusal::Timeout))
}

/// Fresh nonce from the system's randomness: a predictable nonce would allow replay.
fn random_nonce() -> [u8; NONCE_BYTES] {
    rand::rng().random()
}

/// WebSocket configuration for messages of up to `max_bytes`.
fn websocket_config(max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(WEBSOCKET_BUFFER_BYTES)
        .write_buffer_size(WEBSOCKET_BUFFER_BYTES)
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
}

/// Sends one message of the handshake.
async fn send(socket: &mut Socket, message: Bytes) -> Result<(), Refusal> {
    socket
        .send(Message::Binary(message))
        .await
        .map_err(|_| Refusal::Closed)
}

/// Receives one message of the handshake.
async fn receive(socket: &mut Socket) -> Result<Bytes, Refusal> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(message))) => return Ok(message),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Text(_))) => return Err(Refusal::Malformed),
            Some(Ok(Message::Close(_) | Message::Frame(_))) | None => return Err(Refusal::Closed),
            Some(Err(error)) => return Err(message_refusal(&error)),
        }
    }
}

/// Refusal for an error of the WebSocket handshake.
fn handshake_refusal(error: &Error) -> Refusal {
    match error {
        Error::Io(_)
        | Error::ConnectionClosed
        | Error::AlreadyClosed
        | Error::Protocol(ProtocolError::HandshakeIncomplete) => Refusal::Closed,
        _ => Refusal::NotWebsocket,
    }
}

/// Refusal for an error while receiving a message.
pub(crate) fn message_refusal(error: &Error) -> Refusal {
    match error {
        Error::Capacity(_) => Refusal::Oversize,
        Error::Io(_) | Error::ConnectionClosed | Error::AlreadyClosed => Refusal::Closed,
        Error::Protocol(ProtocolError::ResetWithoutClosingHandshake) => Refusal::Closed,
        _ => Refusal::Malformed,
    }
}

/// Sends the refusal to the remote end and closes the connection.
pub(crate) async fn close_with_refusal(mut socket: Socket, refusal: Refusal) {
    let close = socket.send(Message::Close(Some(refusal.close_frame())));
    let _ = timeout(REFUSAL_TIMEOUT, close).await;
    shutdown_and_drain(socket.into_inner()).await;
}

/// Shuts down writing and discards input until the remote end closes or a short timeout expires.
///
/// The kernel resets a socket that is closed with unread bytes: it drops unsent data and fails the
/// remote end's writes, so the remote end would see a broken connection instead of the reason.
async fn shutdown_and_drain(mut stream: CountingStream) {
    let drain = async {
        let mut discarded = [0; 1024];
        let _ = stream.shutdown().await;
        while matches!(stream.read(&mut discarded).await, Ok(1..)) {}
    };
    let _ = timeout(REFUSAL_TIMEOUT, drain).await;
}
