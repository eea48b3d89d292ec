//! One caller's connection: reads requests, which may be pipelined, and writes their responses in
//! the same order.
//!
//! Two halves run concurrently. The read half decodes requests, starts each in its own task and
//! always keeps a read pending, so that it notices when the caller closes the connection. The write
//! half (`response_writer`) awaits the responses in order. When either half ends, so does the
//! connection, and with it the tasks of requests that have no response yet: dropping them closes
//! their connections to upstreams.

use crate::{
    message::{
        BodyPart,
        CallerResponse,
        Request,
        RequestBody, //
    },
    pool::read_some,
    response_writer::{
        write_responses,
        QueuedResponse,
        ResponseTask, //
    },
};
use actix_codec::Decoder;
use actix_http::{
    error::ParseError,
    h1::{
        Codec,
        Message,
        MessageType, //
    },
    header::CONTENT_LENGTH,
    ConnectionType,
    HttpMessage,
    Method,
    Request as Head, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use route::CallerLimits;
use std::{
    cell::Cell,
    future::Future,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};
use strict::set_socket_options;
use tokio::{
    net::{
        tcp::OwnedReadHalf,
        TcpStream, //
    },
    sync::{
        mpsc::{
            channel,
            unbounded_channel,
            Sender,
            UnboundedSender, //
        },
        Notify,
    },
    time::{
        timeout,
        timeout_at, //
    },
};

/// Requests of one connection in flight at a time; further pipelined requests wait.
const PIPELINED_MAX: usize = 16;
/// Bytes read ahead while no further request can be started or body part forwarded.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// Longest body that is kept in memory, so that it can be sent again.
const BUFFERED_BODY_BYTES_MAX: u64 = 64 << 10;
/// Parts of a streamed body buffered between caller and upstream.
const BODY_CHANNEL_PARTS: usize = 4;
/// Time for a caller to close its end after the last response. Closing with unread bytes resets the
/// connection, and the caller could lose a response that it has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request was refused before it was read completely; no part of it has reached an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The request is not valid HTTP.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The request was not received in time.
    TooSlow,
    /// The task that handles the request failed.
    Internal,
}

/// Handles callers' requests.
pub trait Handler: 'static {
    /// Current limits on what callers may send.
    fn limits(&self) -> CallerLimits;

    /// Whether the process is about to stop, so that connections close after the current response.
    fn is_stopping(&self) -> bool;

    /// Whether a request may run concurrently with earlier ones on its connection, which may end up
    /// without a response.
    fn may_run_concurrently(&self, head: &Head) -> bool;

    /// Handles one request. The future is dropped if the caller has closed the connection.
    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = CallerResponse>;

    /// Returns the response to a request that was not read completely.
    fn refuse(&self, refusal: Refusal) -> CallerResponse;
}

/// State shared by both halves of a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Requests whose response has not been written completely.
    pub(crate) in_flight: Cell<usize>,
    /// Notified when a response has been written.
    pub(crate) response_written: Notify,
}

/// Serves a caller's connection until it ends.
pub async fn serve<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    if set_socket_options(&stream).is_err() {
        // The caller has already closed the connection.
        return;
    }
    let (read_half, write_half) = stream.into_split();
    let state = Rc::new(ConnectionState::default());
    let (queue, receiver) = unbounded_channel();
    let mut reader = RequestReader {
        read_half,
        buf: BytesMut::new(),
        codec: Codec::default(),
        handler: handler.clone(),
        state: state.clone(),
        queue,
    };
    let reading = reader.run();
    tokio::pin!(reading);
    let writing = write_responses(write_half, receiver, handler, state);
    tokio::select! {
        () = &mut reading => return,
        // The write half was shut down. Dropping it doesn't close the connection while the read
        // half exists.
        _write_half = writing => {}
    }
    // A timeout ends the connection, too.
    let _ = timeout(LINGER_TIMEOUT, reading).await;
}

/// Why the read half ends.
enum ReadEnd {
    /// The caller closed the connection or was idle for too long.
    Closed,
    /// The last request was refused.
    Refused(Refusal),
}

/// Read half of a caller's connection.
struct RequestReader<H> {
    read_half: OwnedReadHalf,
    buf: BytesMut,
    codec: Codec,
    handler: Rc<H>,
    state: Rc<ConnectionState>,
    queue: UnboundedSender<QueuedResponse>,
}

impl<H: Handler> RequestReader<H> {
    /// Reads requests until the caller closes the connection.
    async fn run(&mut self) {
        let end = loop {
            match self.read_request().await {
                Ok(true) => {}
                Ok(false) => return self.drain_until_closed().await,
                Err(end) => break end,
            }
        };
        if let ReadEnd::Refused(refusal) = end {
            let response = self.handler.refuse(refusal);
            self.enqueue(QueuedResponse {
                task: ResponseTask::Ready(Box::new(response)),
                head_only: false,
                close: true,
                body_read: Rc::default(),
            });
            self.drain_until_closed().await;
        }
    }

    /// Reads and starts one request; returns `false` if it is the last of the connection.
    async fn read_request(&mut self) -> Result<bool, ReadEnd> {
        let head = self.read_head().await?;
        let received = Instant::now();
        let concurrent = self.handler.may_run_concurrently(&head);
        if self.has_body() && head.head().expect() && self.state.in_flight.get() == 0 {
            self.send_continue();
        }
        let (body, remainder) = self.read_body(&head).await?;
        let max_in_flight = if concurrent { PIPELINED_MAX } else { 1 };
        self.wait_for_in_flight_below(max_in_flight).await?;
        let close = head.head().connection_type() != ConnectionType::KeepAlive;
        let head_only = head.method() == Method::HEAD;
        let request = Request {
            method: head.method().clone(),
            uri: head.uri().clone(),
            headers: head.headers().clone(),
            body,
            received,
        };
        let task = ResponseTask::start(self.handler.clone().handle(request));
        let last = close || self.queue.is_closed();
        let body_read = Rc::new(Cell::new(remainder.is_none()));
        self.enqueue(QueuedResponse {
            task,
            head_only,
            close,
            body_read: body_read.clone(),
        });
        if let Some(remainder) = remainder {
            self.forward_body(remainder).await?;
            body_read.set(true);
        }
        Ok(!last)
    }

    fn enqueue(&self, response: QueuedResponse) {
        self.state.in_flight.set(self.state.in_flight.get() + 1);
        // Fails if the write half has already ended the connection.
        let _ = self.queue.send(response);
    }

    /// Reads the head of the next request.
    async fn read_head(&mut self) -> Result<Head, ReadEnd> {
        let mut started = None;
        loop {
            let limits = self.handler.limits();
            let before = self.buf.len();
            let decoded = self.codec.decode(&mut self.buf);
            let head_bytes = before - self.buf.len();
            match decoded {
                Ok(Some(Message::Item(head))) if head_bytes <= limits.max_header_bytes => {
                    if self.codec.message_type() == MessageType::Stream {
                        // Requests a tunnel or a protocol upgrade, neither of which is supported.
                        return Err(ReadEnd::Refused(Refusal::Malformed));
                    }
                    return Ok(head);
                }
                Ok(Some(Message::Item(_))) => return Err(ReadEnd::Refused(Refusal::HeadTooLong)),
                Ok(Some(Message::Chunk(_))) => return Err(ReadEnd::Refused(Refusal::Malformed)),
                Ok(None) => {}
                Err(ParseError::TooLarge) => return Err(ReadEnd::Refused(Refusal::HeadTooLong)),
                Err(_) => return Err(ReadEnd::Refused(Refusal::Malformed)),
            }
            if self.buf.len() > limits.max_header_bytes {
                return Err(ReadEnd::Refused(Refusal::HeadTooLong));
            }
            if self.buf.is_empty() {
                self.read_when_idle(limits.idle_timeout).await?;
                continue;
            }
            let started = *started.get_or_insert_with(Instant::now);
            self.read_until(started + limits.header_timeout).await?;
        }
    }

    fn has_body(&self) -> bool {
        self.codec.message_type() != MessageType::None
    }

    /// Sends `100 Continue` to a caller that expects it.
    fn send_continue(&mut self) {
        // If these few bytes can't be written now, the caller sends its body after a timeout of its
        // own.
        let stream: &TcpStream = self.read_half.as_ref();
        let _ = stream.try_write(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Reads the body, or the beginning of a long one; then also returns the channel for its
    /// remainder.
    async fn read_body(
        &mut self,
        head: &Head,
    ) -> Result<(RequestBody, Option<BodyRemainder>), ReadEnd> {
        if !self.has_body() {
            return Ok((RequestBody::Whole(Bytes::new()), None));
        }
        let limits = self.handler.limits();
        let length = head.headers().get(CONTENT_LENGTH);
        let length_bytes = length.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
        if length_bytes.is_some_and(|length| length > limits.max_body_bytes) {
            return Err(ReadEnd::Refused(Refusal::BodyTooLong));
        }
        let mut buffered = BytesMut::new();
        while buffered.len() as u64 <= BUFFERED_BODY_BYTES_MAX {
            match self.read_body_part(limits.header_timeout).await? {
                BodyPart::Data(data) => buffered.extend_from_slice(&data),
                BodyPart::End => return Ok((RequestBody::Whole(buffered.freeze()), None)),
            }
        }
        let (sender, parts) = channel(BODY_CHANNEL_PARTS);
        let received_bytes = buffered.len() as u64;
        // The channel is new and has capacity.
        let _ = sender.try_send(BodyPart::Data(buffered.freeze()));
        let remainder = BodyRemainder {
            sender,
            received_bytes,
        };
        let body = RequestBody::Stream {
            length_bytes,
            parts,
        };
        Ok((body, Some(remainder)))
    }

    /// Reads the next part of a body.
    async fn read_body_part(&mut self, stall: Duration) -> Result<BodyPart, ReadEnd> {
        loop {
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(data)))) => return Ok(BodyPart::Data(data)),
                Ok(Some(Message::Chunk(None))) => return Ok(BodyPart::End),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(ReadEnd::Refused(Refusal::Malformed));
                }
                Ok(None) => {}
            }
            self.read_until(Instant::now() + stall).await?;
        }
    }

    /// Forwards the remainder of a long body. The request has already been started, so an error
    /// truncates its body and is reported by its response.
    async fn forward_body(&mut self, mut remainder: BodyRemainder) -> Result<(), ReadEnd> {
        let limits = self.handler.limits();
        loop {
            let part = match self.read_body_part(limits.header_timeout).await {
                Ok(part) => part,
                Err(ReadEnd::Refused(_)) => {
                    drop(remainder);
                    self.drain_until_closed().await;
                    return Err(ReadEnd::Closed);
                }
                Err(end) => return Err(end),
            };
            let at_end = part == BodyPart::End;
            if let BodyPart::Data(data) = &part {
                remainder.received_bytes += data.len() as u64;
            }
            let too_long = remainder.received_bytes > limits.max_body_bytes;
            // The receiver may already have a response and need no more of the body, whose
            // remainder is then discarded.
            let forwarded = !too_long && self.forward_part(&remainder.sender, part).await?;
            if !forwarded {
                drop(remainder);
                self.drain_until_closed().await;
                return Err(ReadEnd::Closed);
            }
            if at_end {
                return Ok(());
            }
        }
    }

    /// Forwards one part, while checking that the caller is still connected; `false` if the
    /// receiver is gone.
    async fn forward_part(
        &mut self,
        sender: &Sender<BodyPart>,
        part: BodyPart,
    ) -> Result<bool, ReadEnd> {
        let sending = sender.send(part);
        tokio::pin!(sending);
        loop {
            let has_room = self.buf.len() < READ_AHEAD_BYTES;
            tokio::select! {
                biased;
                sent = &mut sending => return Ok(sent.is_ok()),
                read = read_some(&mut self.read_half, &mut self.buf), if has_room => {
                    if !matches!(read, Ok(1..)) {
                        return Err(ReadEnd::Closed);
                    }
                }
            }
        }
    }

    /// Waits until fewer than `max_in_flight` requests are in flight, while checking that the
    /// caller is still connected.
    async fn wait_for_in_flight_below(&mut self, max_in_flight: usize) -> Result<(), ReadEnd> {
        while self.state.in_flight.get() >= max_in_flight {
            let has_room = self.buf.len() < READ_AHEAD_BYTES;
            tokio::select! {
                () = self.state.response_written.notified() => {}
                read = read_some(&mut self.read_half, &mut self.buf), if has_room => {
                    if !matches!(read, Ok(1..)) {
                        return Err(ReadEnd::Closed);
                    }
                }
            }
        }
        Ok(())
    }

    /// Waits for the first bytes of a request. The idle timeout doesn't apply while responses are
    /// pending.
    async fn read_when_idle(&mut self, idle: Duration) -> Result<(), ReadEnd> {
        loop {
            match timeout(idle, read_some(&mut self.read_half, &mut self.buf)).await {
                Ok(Ok(1..)) => return Ok(()),
                Ok(_) => return Err(ReadEnd::Closed),
                Err(_elapsed) if self.state.in_flight.get() > 0 => {}
                Err(_elapsed) => return Err(ReadEnd::Closed),
            }
        }
    }

    async fn read_until(&mut self, deadline: Instant) -> Result<(), ReadEnd> {
        let read = read_some(&mut self.read_half, &mut self.buf);
        match timeout_at(deadline.into(), read).await {
            Ok(Ok(1..)) => Ok(()),
            Ok(_) => Err(ReadEnd::Closed),
            Err(_elapsed) => Err(ReadEnd::Refused(Refusal::TooSlow)),
        }
    }

    /// Reads and discards bytes until the caller closes its end.
    async fn drain_until_closed(&mut self) {
        loop {
            self.buf.clear();
            if !matches!(read_some(&mut self.read_half, &mut self.buf).await, Ok(1..)) {
                return;
            }
        }
    }
}

/// Remainder of a long body.
struct BodyRemainder {
    sender: Sender<BodyPart>,
    received_bytes: u64,
}
