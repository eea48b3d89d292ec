//! Opening connections: TCP, websocket, handshake, on either side.

use crate::{
    counted::Counted,
    handshake::{
        Challenged,
        Greeting,
        Proven,
        NONCE_BYTES, //
    },
    mesh::Partner,
    refusal::Refusal,
    registry::Admitted,
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

/// Websocket of a session.
pub(crate) type Socket = WebSocketStream<Counted>;

/// Largest message that an unproven dialler may send, in bytes; a hello needs a few hundred.
const UNPROVEN_MAX_BYTES: usize = 4096;
/// Websocket buffer in each direction, in bytes; the library's own is 128 KiB a session.
const BUFFER_BYTES: usize = 16 * 1024;
/// Wait for the other end to take a refusal.
const REFUSAL_LINGER: Duration = Duration::from_millis(250);
/// Answer to a connection that begins with no websocket handshake.
const NOT_WEBSOCKET: &[u8] = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\
    Content-Type: text/plain\r\nContent-Length: 26\r\n\r\nnot a websocket handshake\n";

/// A session that both ends have proved.
pub(crate) struct Opened {
    /// The websocket.
    pub(crate) socket: Socket,
    /// The other end.
    pub(crate) proven: Proven,
    /// Its place in the registry.
    pub(crate) admitted: Admitted,
}

/// Why a dial led to no session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DialError {
    /// Nobody listens there: the process is gone.
    Nobody,
    /// No connection, for any other reason.
    Unreachable,
    /// There was a connection but no proof.
    Refused(Refusal),
}

/// Opens a session to `partner`, in place of `reopens` if it was lost.
pub(crate) async fn dial(
    shared: &Shared,
    partner: &Partner,
    reopens: Option<Bytes>,
) -> Result<Opened, DialError> {
    let patience = shared.options.handshake_timeout;
    match timeout(patience, try_dial(shared, partner, reopens)).await {
        Ok(result) => result,
        Err(_) => Err(DialError::Unreachable),
    }
}

/// Connects and proves, without a limit of time.
async fn try_dial(
    shared: &Shared,
    partner: &Partner,
    reopens: Option<Bytes>,
) -> Result<Opened, DialError> {
    let stream = match TcpStream::connect(partner.addr).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(DialError::Nobody);
        }
        Err(_) => return Err(DialError::Unreachable),
    };
    let stream = Counted::new(stream, &shared.counters).map_err(|_| DialError::Unreachable)?;
    let url = format!("ws://{}/", partner.addr);
    let config = config(shared.options.max_frame_bytes);
    let (mut socket, _) = client_async_with_config(url, stream, Some(config))
        .await
        .map_err(|error| DialError::Refused(websocket_refusal(&error)))?;
    match prove_as_dialler(shared, &mut socket, &partner.instance, reopens).await {
        Ok((proven, admitted)) => Ok(Opened {
            socket,
            proven,
            admitted,
        }),
        Err(why) => {
            refuse(socket, why).await;
            Err(DialError::Refused(why))
        }
    }
}

/// Hello, their hello, our proof, their proof.
async fn prove_as_dialler(
    shared: &Shared,
    socket: &mut Socket,
    expected: &InstanceId,
    reopens: Option<Bytes>,
) -> Result<(Proven, Admitted), Refusal> {
    let greeting = Greeting::dial(&shared.identity, &shared.key, nonce(), expected, reopens);
    send(socket, greeting.hello()).await?;
    let begun = Instant::now();
    let challenged = greeting.hear(&receive(socket).await?)?;
    let rtt = begun.elapsed();
    send(socket, challenged.proof()).await?;
    let proven = challenged.check(&receive(socket).await?)?;
    let admitted = shared.admit(&proven, rtt)?;
    Ok((proven, admitted))
}

/// Opens a session on an accepted connection; a refusal has been told to the other end.
pub(crate) async fn listen(shared: &Shared, stream: TcpStream) -> Result<Opened, Refusal> {
    let patience = shared.options.handshake_timeout;
    let mut stream = Counted::new(stream, &shared.counters).map_err(|_| Refusal::Closed)?;
    if let Err(why) = upgrade(&mut stream, patience).await {
        // One clear answer also for a browser or a probe that lost its way.
        let _ = timeout(REFUSAL_LINGER, stream.write_all(NOT_WEBSOCKET)).await;
        linger(stream).await;
        return Err(why);
    }
    let unproven = Some(config(UNPROVEN_MAX_BYTES));
    let mut socket = Socket::from_raw_socket(stream, Role::Server, unproven).await;
    let (challenged, proven, rtt) = match challenge(shared, &mut socket, patience).await {
        Ok(proved) => proved,
        Err(why) => {
            refuse(socket, why).await;
            return Err(why);
        }
    };
    // Registered before the dialler can know it: see `registry.rs` for why the order matters.
    let admitted = match shared.admit(&proven, rtt) {
        Ok(admitted) => admitted,
        Err(why) => {
            refuse(socket, why).await;
            return Err(why);
        }
    };
    // When this fails, the session's first read finds it broken, as any lost session.
    let _ = timeout(patience, send(&mut socket, challenged.proof())).await;
    // A dialler sends nothing between its proof and ours, so that no bytes wait in the websocket
    // that is taken apart here to lift the strangers' limit.
    let proved = Some(config(shared.options.max_frame_bytes));
    let socket = Socket::from_raw_socket(socket.into_inner(), Role::Server, proved).await;
    Ok(Opened {
        socket,
        proven,
        admitted,
    })
}

/// Answers the websocket's own handshake.
async fn upgrade(stream: &mut Counted, patience: Duration) -> Result<(), Refusal> {
    let upgrade = accept_async_with_config(stream, Some(config(UNPROVEN_MAX_BYTES)));
    match timeout(patience, upgrade).await {
        // Bytes after the handshake are refused by the library, so that dropping the websocket
        // here loses none.
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(websocket_refusal(&error)),
        Err(_) => Err(Refusal::Timeout),
    }
}

/// Their hello, our hello, their proof.
async fn challenge(
    shared: &Shared,
    socket: &mut Socket,
    patience: Duration,
) -> Result<(Challenged, Proven, Duration), Refusal> {
    let exchange = async {
        let greeting = Greeting::listen(&shared.identity, &shared.key, nonce());
        let theirs = receive(socket).await?;
        let ours = greeting.hello();
        let challenged = greeting.hear(&theirs)?;
        send(socket, ours).await?;
        let begun = Instant::now();
        let proven = challenged.check(&receive(socket).await?)?;
        Ok((challenged, proven, begun.elapsed()))
    };
    timeout(patience, exchange)
        .await
        .unwrap_or(Err(Refusal::Timeout))
}

/// Fresh challenge, from the system's randomness: a nonce that could be foreseen could be replayed.
fn nonce() -> [u8; NONCE_BYTES] {
    rand::rng().random()
}

/// Websocket with messages of up to `max_bytes`.
fn config(max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
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

/// Awaits one message of the handshake.
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

/// Refusal for an error of the websocket's handshake.
fn websocket_refusal(error: &Error) -> Refusal {
    match error {
        Error::Io(_)
        | Error::ConnectionClosed
        | Error::AlreadyClosed
        | Error::Protocol(ProtocolError::HandshakeIncomplete) => Refusal::Closed,
        _ => Refusal::NotWebsocket,
    }
}

/// Refusal for an error of a message.
pub(crate) fn message_refusal(error: &Error) -> Refusal {
    match error {
        Error::Capacity(_) => Refusal::Oversize,
        Error::Io(_) | Error::ConnectionClosed | Error::AlreadyClosed => Refusal::Closed,
        Error::Protocol(ProtocolError::ResetWithoutClosingHandshake) => Refusal::Closed,
        _ => Refusal::Malformed,
    }
}

/// Tells the other end why and closes.
pub(crate) async fn refuse(mut socket: Socket, why: Refusal) {
    let close = socket.send(Message::Close(Some(why.close_frame())));
    let _ = timeout(REFUSAL_LINGER, close).await;
    linger(socket.into_inner()).await;
}

/// Closes after the other end has, or a short while.
///
/// A socket closed with bytes unread is reset by the kernel, which drops what it has not sent yet
/// and fails the other end's writes: it would see a broken connection and no reason.
async fn linger(mut stream: Counted) {
    let drain = async {
        let mut scrap = [0; 1024];
        let _ = stream.shutdown().await;
        while matches!(stream.read(&mut scrap).await, Ok(1..)) {}
    };
    let _ = timeout(REFUSAL_LINGER, drain).await;
}
