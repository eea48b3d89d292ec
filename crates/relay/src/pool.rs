//! Connections to upstreams, and sending one request over one of them.

use crate::{
    message::{
        BodyPart,
        RequestBody, //
    },
    response::{
        Reader,
        Response, //
    },
    wire::chunk, //
};
use base::{
    FastMap,
    UpstreamId, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use std::{
    cell::RefCell,
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};
use strict::set_options;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout_at, //
};

/// Longest wait for a connection: two delays across the farthest regions and one lost packet's
/// first repeat.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Idle time after which a connection is not used again, where the upstream states no timeout.
const KEEP_IDLE: Duration = Duration::from_secs(4);
/// Part of a stated timeout that is used, in hundredths: the rest covers the way there, so that the
/// upstream doesn't close under a request.
const KEEP_IDLE_PCT: u32 = 60;
/// Idle connections kept to one upstream; more than a burst of this entry's requests needs there.
const IDLE_MAX: usize = 32;

/// An upstream to send to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// Name. Connections belong to it and to its address: another upstream may get either.
    pub id: UpstreamId,
    /// Address.
    pub addr: SocketAddr,
}

/// One request, ready to be sent.
#[derive(Debug)]
pub struct Exchange {
    /// Head as written by [`crate::request_head`].
    pub head: Bytes,
    /// Body.
    pub body: RequestBody,
    /// Header in which the answer repeats the request's id, and the id.
    pub echo: Option<(actix_http::header::HeaderName, Bytes)>,
    /// Whether answers to it have no body.
    pub head_only: bool,
    /// When it is given up.
    pub deadline: Instant,
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of the request was written.
    NotSent(String),
    /// No process listens at the address; no byte was written.
    Refused,
    /// Its upstream may not have it any more, as was found when a connection stood; no byte was written.
    Withdrawn,
    /// The connection ended after some or all of it was written: it may have run.
    Broken(String),
    /// What came is no HTTP answer: it may have run.
    Malformed(String),
    /// The caller's own body broke off; an upstream may have begun on it.
    BodyCut,
    /// The deadline passed; it may have run.
    Timeout,
}

impl Failure {
    /// Whether it is proved that the request didn't run.
    pub fn not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused | Self::Withdrawn)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Refused => f.write_str("not sent: no process listens there"),
            Self::Withdrawn => f.write_str("not sent: the upstream may not have it any more"),
            Self::Broken(why) => write!(f, "connection broke after the request was sent: {why}"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
            Self::BodyCut => f.write_str("the caller's body broke off"),
            Self::Timeout => f.write_str("no answer before the deadline"),
        }
    }
}

/// A connection between two uses.
#[derive(Debug)]
pub(crate) struct Idle {
    pub(crate) stream: TcpStream,
    pub(crate) until: Instant,
}

/// Connections to upstreams of one thread.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<FastMap<Target, Vec<Idle>>>>,
}

impl Pool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// `may_send` is asked once a connection stands, right before the first byte, and nothing is sent if it says no. What
    /// goes wrong without it: what was true at the choice of the upstream is taken for true a second later, when
    /// a connection has come about.
    ///
    /// # Errors
    ///
    /// No answer came; [`Failure`] says whether the request may have run.
    pub async fn exchange(
        &self,
        target: &Target,
        request: Exchange,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Response, Failure> {
        let deadline = request.deadline.into();
        let stream = match self.take(target) {
            Some(stream) => stream,
            None => connect(target.addr, request.deadline).await?,
        };
        if !may_send() {
            self.put(target, stream, None);
            return Err(Failure::Withdrawn);
        }
        let mut sender = Sender::default();
        let exchange = self.send(stream, target, request, &mut sender);
        match timeout_at(deadline, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => {
                // A path that went silent takes its other connections along; each would cost one
                // more deadline.
                self.retire(target);
                Err(if sender.written_bytes == 0 {
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
    /// Fails with [`Failure::Refused`] if no process listens on the address, or with the error that prevented the
    /// connection.
    pub async fn open(&self, target: &Target, deadline: Instant) -> Result<(), Failure> {
        let stream = connect(target.addr, deadline).await?;
        self.put(target, stream, None);
        Ok(())
    }

    /// Closes all idle connections to an upstream.
    pub fn retire(&self, target: &Target) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes idle connections to upstreams that `keep` doesn't name, and those too old to use.
    pub fn sweep(&self, keep: impl Fn(&UpstreamId) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|target, connections| {
            connections.retain(|idle| now < idle.until);
            keep(&target.id) && !connections.is_empty()
        });
    }

    /// Puts a connection back; `stated` is the idle timeout that the upstream stated.
    pub(crate) fn put(&self, target: &Target, stream: TcpStream, stated: Option<Duration>) {
        let keep = stated.map_or(KEEP_IDLE, |stated| stated * KEEP_IDLE_PCT / 100);
        let until = Instant::now() + keep;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target.clone()).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(Idle { stream, until });
        }
    }

    /// The connection used last that is still open and has nothing to say.
    fn take(&self, target: &Target) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            // Bytes that no request asked for retire a connection, as its end does.
            let silent = matches!(
                connection.stream.try_read(&mut [0; 1]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            );
            if silent && now < connection.until {
                return Some(connection.stream);
            }
        }
        None
    }

    async fn send(
        &self,
        mut stream: TcpStream,
        target: &Target,
        request: Exchange,
        sender: &mut Sender,
    ) -> Result<Response, Failure> {
        let mut reader = Reader::new(request.echo, request.head_only);
        let (mut reading, mut writing) = stream.split();
        let head = {
            let sending = sender.send(&mut writing, request.head, request.body);
            tokio::pin!(sending);
            let mut sent = None;
            loop {
                tokio::select! {
                    biased;
                    result = &mut sending, if sent.is_none() => match result {
                        Ok(()) => sent = Some(true),
                        Err(SendError::BodyCut) => return Err(Failure::BodyCut),
                        // The answer may have come before the connection broke.
                        Err(SendError::Broken) => sent = Some(false),
                        Err(SendError::NothingWritten(error)) => {
                            return Err(Failure::NotSent(error.to_string()));
                        }
                    },
                    head = reader.head(&mut reading) => break head.map(|head| (head, sent)),
                }
            }
        };
        let (head, sent) = head?;
        // An answer that came before the body was sent ends the sending; what the upstream reads
        // next on this connection would be taken for the rest of that body.
        let reusable = sent == Some(true);
        Ok(reader.into_response(head, stream, self.clone(), target.clone(), reusable))
    }
}

async fn connect(addr: SocketAddr, deadline: Instant) -> Result<TcpStream, Failure> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(limit.into(), TcpStream::connect(addr)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused);
        }
        Ok(Err(error)) => return Err(Failure::NotSent(error.to_string())),
        Err(_elapsed) => return Err(Failure::NotSent("no connection in time".to_owned())),
    };
    set_options(&stream).map_err(|error| Failure::NotSent(error.to_string()))?;
    Ok(stream)
}

enum SendError {
    NothingWritten(io::Error),
    /// The read that follows tells more.
    Broken,
    BodyCut,
}

/// Writes a request and counts what went out.
#[derive(Default)]
struct Sender {
    written_bytes: u64,
}

impl Sender {
    async fn send(
        &mut self,
        writing: &mut (impl AsyncWriteExt + Unpin),
        head: Bytes,
        body: RequestBody,
    ) -> Result<(), SendError> {
        match body {
            RequestBody::Whole(bytes) if bytes.is_empty() => self.write(writing, head).await,
            RequestBody::Whole(bytes) => {
                let mut all = BytesMut::with_capacity(head.len() + bytes.len());
                all.extend_from_slice(&head);
                all.extend_from_slice(&bytes);
                self.write(writing, all.freeze()).await
            }
            RequestBody::Stream {
                length_bytes,
                mut parts,
            } => {
                self.write(writing, head).await?;
                loop {
                    match parts.recv().await {
                        Some(BodyPart::Data(data)) if length_bytes.is_some() => {
                            self.write(writing, data).await?;
                        }
                        Some(BodyPart::Data(data)) if data.is_empty() => {}
                        Some(BodyPart::Data(data)) => {
                            self.write(writing, chunk(&data)).await?;
                        }
                        Some(BodyPart::End) if length_bytes.is_some() => return Ok(()),
                        Some(BodyPart::End) => return self.write(writing, chunk(&[])).await,
                        None => return Err(SendError::BodyCut),
                    }
                }
            }
        }
    }

    async fn write(
        &mut self,
        writing: &mut (impl AsyncWriteExt + Unpin),
        mut bytes: Bytes,
    ) -> Result<(), SendError> {
        while !bytes.is_empty() {
            match writing.write_buf(&mut bytes).await {
                Ok(0) => return Err(self.broken(io::ErrorKind::WriteZero.into())),
                Ok(written) => self.written_bytes += written as u64,
                Err(error) => return Err(self.broken(error)),
            }
        }
        Ok(())
    }

    fn broken(&self, error: io::Error) -> SendError {
        if self.written_bytes == 0 {
            SendError::NothingWritten(error)
        } else {
            SendError::Broken
        }
    }
}

/// Reads some bytes; `Ok(0)` is the orderly end.
pub(crate) async fn read_some(
    reading: &mut (impl AsyncReadExt + Unpin),
    buf: &mut BytesMut,
) -> io::Result<usize> {
    buf.reserve(READ_BYTES);
    reading.read_buf(buf).await
}

/// Room for one read.
const READ_BYTES: usize = 8 << 10;
