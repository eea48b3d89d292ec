//! Pool of connections to upstreams, and exchange of one request over a connection.

use crate::{
    connects::{
        ConnectAttempt,
        ConnectLog, //
    },
    message::{
        BodyPart,
        RequestBody, //
    },
    response::{
        HeadReader,
        UpstreamResponse, //
    },
    wire::{
        encode_chunk,
        COPIED_BODY_BYTES_MAX, //
    },
};
use base::{
    FastMap,
    UpstreamId, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use socket2::SockRef;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fmt,
    future::{
        poll_fn,
        Future, //
    },
    io,
    net::SocketAddr,
    rc::Rc,
    task::Poll,
    time::{
        Duration,
        Instant, //
    },
};
use strict::set_socket_options;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout_at, //
};

/// Timeout for opening a connection: two delays between the farthest regions and the first
/// retransmission of one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Idle time after which a connection is not reused, if the upstream states no timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Percentage of a stated idle timeout that is used. The rest covers the network delay, so that the
/// upstream doesn't close the connection while a request is on its way.
const IDLE_TIMEOUT_USED_PCT: u32 = 60;
/// Idle connections kept to one upstream; more than a burst of this entry's requests to it needs.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// Upstream that a request is sent to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// Name of the upstream. Connections are pooled by both name and address, since another
    /// upstream may later get either.
    pub id: UpstreamId,
    /// Address of the upstream.
    pub addr: SocketAddr,
}

/// Header in which a response repeats the id of its request.
#[derive(Clone, Debug)]
pub struct Echo {
    /// Name of the header.
    pub name: actix_http::header::HeaderName,
    /// Id of the request.
    pub id: Bytes,
    /// Whether a peer that has sent the header once on a connection sends it in all its responses.
    pub is_consistent: bool,
}

/// Encoded request to an upstream.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// Head, encoded by [`crate::request_head`].
    pub head: Bytes,
    /// Body.
    pub body: RequestBody,
    /// How the response shows that it belongs to this request.
    pub echo: Option<Echo>,
    /// Whether its response has no body, as for HEAD.
    pub head_only: bool,
    /// When the exchange is given up.
    pub deadline: Instant,
}

/// Why there is no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of the request was written.
    NotSent(String),
    /// The connection was refused because no process listens on the address; no byte was written.
    Refused,
    /// Permission to send was withdrawn while the connection was established; no byte was written.
    Withdrawn,
    /// The connection ended after some or all of the request was written: it may have run.
    Broken(String),
    /// The response is not valid HTTP, or it belongs to another request: the request may have run.
    Malformed(String),
    /// The body received from the caller was truncated; the upstream may have started the request.
    BodyTruncated,
    /// The deadline passed; the request may have run.
    Timeout,
    /// The sender stopped waiting before the deadline; the request may have run.
    Abandoned,
}

impl Failure {
    /// Whether the request provably didn't run.
    pub fn not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused | Self::Withdrawn)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Refused => f.write_str("not sent: no process listens on the address"),
            Self::Withdrawn => {
                f.write_str("not sent: permission to send was withdrawn while connecting")
            }
            Self::Broken(why) => write!(f, "connection broke after the request was sent: {why}"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
            Self::BodyTruncated => f.write_str("the body received from the caller was truncated"),
            Self::Timeout => f.write_str("no answer before the deadline"),
            Self::Abandoned => f.write_str("given up, as no upstream can be reached"),
        }
    }
}

/// An unused open connection.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    pub(crate) stream: TcpStream,
    pub(crate) until: Instant,
    /// Whether a response on it has repeated the id of its request.
    pub(crate) has_echoed: bool,
}

/// Idle connections of one thread to upstreams.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Rc<RefCell<FastMap<Target, Vec<IdleConnection>>>>,
    connect_log: Rc<RefCell<ConnectLog>>,
    connect_timeout: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_connect_timeout(CONNECT_TIMEOUT)
    }
}

impl Pool {
    /// Creates a pool with its own timeout for opening a connection.
    pub fn with_connect_timeout(connect_timeout: Duration) -> Self {
        Self {
            idle: Rc::default(),
            connect_log: Rc::default(),
            connect_timeout,
        }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// `may_send` is called once a connection is established, right before the first byte; nothing
    /// is sent if it returns `false`. Opening a connection can take a second, so a condition that
    /// held when the upstream was chosen may no longer hold.
    ///
    /// # Errors
    ///
    /// There is no response; [`Failure`] tells whether the request may have run.
    pub async fn exchange(
        &self,
        target: &Target,
        request: UpstreamRequest,
        may_send: impl FnOnce() -> bool,
    ) -> Result<UpstreamResponse, Failure> {
        let deadline = request.deadline.into();
        let (stream, has_echoed, connect) = match self.check_out(target) {
            Some(idle) => (idle.stream, idle.has_echoed, None),
            None => {
                let (stream, connect) = self.connect(target, request.deadline).await?;
                (stream, false, Some(connect))
            }
        };
        if !may_send() {
            self.check_in(target, stream, has_echoed, None);
            return Err(Failure::Withdrawn);
        }
        let writer = RequestWriter::default();
        let reader = HeadReader::new(request.echo.clone(), has_echoed, request.head_only);
        let exchange = self.send(stream, target, request, &writer, reader);
        match timeout_at(deadline, exchange).await {
            Ok(result) => {
                if let Some(connect) = connect {
                    match result {
                        Ok(_) | Err(Failure::Malformed(_)) => connect.worked(),
                        Err(Failure::Broken(_) | Failure::NotSent(_)) => connect.failed(),
                        Err(_) => {}
                    }
                }
                result
            }
            Err(_elapsed) => {
                // If the network path is dead, the other idle connections are dead, too, and each
                // would cost another request its deadline.
                self.close_idle(target);
                Err(if writer.written_bytes.get() == 0 {
                    Failure::NotSent("the deadline passed before the first byte".to_owned())
                } else {
                    Failure::Timeout
                })
            }
        }
    }

    /// Opens a connection and adds it to the idle connections of the upstream.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Refused`] if no process listens on the address, or with the error that
    /// prevented the connection.
    pub async fn open(&self, target: &Target, deadline: Instant) -> Result<(), Failure> {
        let (stream, _) = self.connect(target, deadline).await?;
        self.check_in(target, stream, false, None);
        Ok(())
    }

    /// Like [`Self::open`], but fails as well if the connection doesn't stay open for `hold`.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::open`], or with [`Failure::NotSent`] if the connection ended.
    pub async fn open_and_hold(
        &self,
        target: &Target,
        deadline: Instant,
        hold: Duration,
    ) -> Result<(), Failure> {
        let (stream, connect) = self.connect(target, deadline).await?;
        let ended = timeout_at((Instant::now() + hold).into(), stream.readable()).await;
        if ended.is_ok() {
            connect.failed();
            return Err(Failure::NotSent("the connection ended".to_owned()));
        }
        connect.worked();
        self.check_in(target, stream, false, None);
        Ok(())
    }

    /// Returns the number of upstreams that connections failed to, or take too long, since one last worked.
    pub fn failed_connections(&self) -> usize {
        self.connect_log.borrow().failed_count(Instant::now())
    }

    /// Closes all idle connections to an upstream.
    pub fn close_idle(&self, target: &Target) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes expired idle connections, and all idle connections to upstreams for which `keep`
    /// returns `false`.
    pub fn sweep(&self, keep: impl Fn(&UpstreamId) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|target, connections| {
            connections.retain(|idle| now < idle.until);
            keep(&target.id) && !connections.is_empty()
        });
    }

    /// Returns a connection to the pool. `has_echoed` is whether a response on it has repeated its request's id, and
    /// `stated_timeout` the idle timeout stated by the upstream.
    pub(crate) fn check_in(
        &self,
        target: &Target,
        stream: TcpStream,
        has_echoed: bool,
        stated_timeout: Option<Duration>,
    ) {
        let reuse_for =
            stated_timeout.map_or(IDLE_TIMEOUT, |stated| stated * IDLE_TIMEOUT_USED_PCT / 100);
        let until = Instant::now() + reuse_for;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target.clone()).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(IdleConnection {
                stream,
                until,
                has_echoed,
            });
        }
    }

    /// Takes the most recently used connection that is open, not expired and without unread bytes.
    fn check_out(&self, target: &Target) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            // A connection with unsolicited bytes is discarded, as is one that has been closed.
            let reusable = matches!(
                connection.stream.try_read(&mut [0; 1]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            );
            if reusable && now < connection.until {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(
        &self,
        target: &Target,
        deadline: Instant,
    ) -> Result<(TcpStream, ConnectAttempt), Failure> {
        let connect = ConnectAttempt::begin(&self.connect_log, &target.id);
        let limit = deadline.min(Instant::now() + self.connect_timeout);
        match timeout_at(limit.into(), TcpStream::connect(target.addr)).await {
            Ok(Ok(stream)) => {
                connect.established();
                set_socket_options(&stream)
                    .and_then(|()| reset_on_close(&stream))
                    .map_err(|error| Failure::NotSent(error.to_string()))?;
                Ok((stream, connect))
            }
            Ok(Err(error)) => {
                connect.failed();
                Err(match error.kind() {
                    io::ErrorKind::ConnectionRefused => Failure::Refused,
                    _ => Failure::NotSent(error.to_string()),
                })
            }
            Err(_elapsed) => {
                connect.timed_out();
                Err(Failure::NotSent(
                    "no connection before the timeout".to_owned(),
                ))
            }
        }
    }

    async fn send(
        &self,
        mut stream: TcpStream,
        target: &Target,
        request: UpstreamRequest,
        writer: &RequestWriter,
        mut reader: HeadReader,
    ) -> Result<UpstreamResponse, Failure> {
        let (mut read_half, mut write_half) = stream.split();
        let (head, sending) = {
            let writing = writer.write_request(&mut write_half, request.head, request.body);
            tokio::pin!(writing);
            // Bytes that arrived before the request was begun are no response to it.
            let mut written = poll_fn(|cx| match writing.as_mut().poll(cx) {
                Poll::Pending if writer.written_bytes.get() == 0 => Poll::Pending,
                Poll::Pending => Poll::Ready(None),
                Poll::Ready(written) => Poll::Ready(Some(written)),
            })
            .await;
            let mut sending = Sending::UnderWay;
            loop {
                match written {
                    None => {}
                    Some(Ok(())) => sending = Sending::Complete,
                    Some(Err(WriteError::BodyCut)) => return Err(Failure::BodyTruncated),
                    // The response may have arrived before the connection broke.
                    Some(Err(WriteError::Broken)) => sending = Sending::Broken,
                    Some(Err(WriteError::NothingWritten(error))) => {
                        return Err(Failure::NotSent(error.to_string()));
                    }
                }
                // Reads first: a write that fails would conceal whether the response ended in order.
                tokio::select! {
                    biased;
                    head = reader.head(&mut read_half) => break (head?, sending),
                    result = &mut writing, if sending == Sending::UnderWay => written = Some(result),
                }
            }
        };
        Ok(reader.into_response(head, stream, self.clone(), target.clone(), sending))
    }
}

/// Makes closing the connection send a reset.
///
/// After an orderly close, the kernel would still deliver a request that was given up while the network path was cut, once
/// the path is open again and the upstream may no longer get requests.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// How far a request has been sent when the head of its response arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sending {
    UnderWay,
    Complete,
    /// A write has failed and received the error of the connection, so that a later read returns an orderly end also
    /// after a reset.
    Broken,
}

enum WriteError {
    NothingWritten(io::Error),
    /// The subsequent read finds the cause.
    Broken,
    BodyCut,
}

/// Writes a request and counts the bytes written.
#[derive(Default)]
struct RequestWriter {
    written_bytes: Cell<u64>,
}

impl RequestWriter {
    async fn write_request(
        &self,
        write_half: &mut (impl AsyncWriteExt + Unpin),
        head: Bytes,
        body: RequestBody,
    ) -> Result<(), WriteError> {
        match body {
            RequestBody::Whole(bytes) if bytes.is_empty() => self.write(write_half, head).await,
            RequestBody::Whole(bytes) if bytes.len() > COPIED_BODY_BYTES_MAX => {
                self.write(write_half, head).await?;
                self.write(write_half, bytes).await
            }
            RequestBody::Whole(bytes) => {
                let mut message = BytesMut::with_capacity(head.len() + bytes.len());
                message.extend_from_slice(&head);
                message.extend_from_slice(&bytes);
                self.write(write_half, message.freeze()).await
            }
            RequestBody::Stream {
                length_bytes,
                mut parts,
            } => {
                self.write(write_half, head).await?;
                loop {
                    match parts.recv().await {
                        Some(BodyPart::Data(data)) if length_bytes.is_some() => {
                            self.write(write_half, data).await?;
                        }
                        Some(BodyPart::Data(data)) if data.is_empty() => {}
                        Some(BodyPart::Data(data)) => {
                            self.write(write_half, encode_chunk(&data)).await?;
                        }
                        Some(BodyPart::End) if length_bytes.is_some() => return Ok(()),
                        Some(BodyPart::End) => {
                            return self.write(write_half, encode_chunk(&[])).await
                        }
                        None => return Err(WriteError::BodyCut),
                    }
                }
            }
        }
    }

    async fn write(
        &self,
        write_half: &mut (impl AsyncWriteExt + Unpin),
        mut bytes: Bytes,
    ) -> Result<(), WriteError> {
        while !bytes.is_empty() {
            match write_half.write_buf(&mut bytes).await {
                Ok(0) => return Err(self.write_error(io::ErrorKind::WriteZero.into())),
                Ok(written) => {
                    let before = self.written_bytes.get();
                    self.written_bytes.set(before + written as u64);
                }
                Err(error) => return Err(self.write_error(error)),
            }
        }
        Ok(())
    }

    fn write_error(&self, error: io::Error) -> WriteError {
        if self.written_bytes.get() == 0 {
            WriteError::NothingWritten(error)
        } else {
            WriteError::Broken
        }
    }
}

/// Reads some bytes; `Ok(0)` means an orderly end of the connection.
pub(crate) async fn read_some(
    read_half: &mut (impl AsyncReadExt + Unpin),
    buf: &mut BytesMut,
) -> io::Result<usize> {
    buf.reserve(READ_BUFFER_BYTES);
    read_half.read_buf(buf).await
}

/// Buffer space reserved for one read, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
