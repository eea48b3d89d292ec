//! One caller's connection: reads requests, which may be pipelined, and writes their responses in
//! the same order.
//!
//! Two halves run concurrently. The read half decodes requests, starts each in its own task and
//! always keeps a read pending, so that it notices when the caller closes the connection. The write
//! half (`response_writer`) awaits the responses in order. When either half ends, so does the
//! connection, and with it the tasks of requests that have no response yet: dropping them closes
//! their connections to upstreams.

use crate::{
    body_budget::{
        BodyHold,
        BodyMemory,
        SMALL_BODY_BYTES, //
    },
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
        ResponseTask,
        Written,
        WRITE_STALL_TIMEOUT, //
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
    pin::Pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};
use strict::{
    set_reader_socket_options,
    unacknowledged_bytes, //
};
use tokio::{
    io::Interest,
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
        sleep,
        timeout,
        timeout_at, //
    },
};

/// Requests of one connection in flight at a time; further pipelined requests wait.
const PIPELINED_MAX: usize = 16;
/// Bytes read ahead while no further request can be started or body part forwarded.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// The same while there is a limit on the memory for bodies.
const LIMITED_READ_AHEAD_BYTES: usize = 8 << 10;
/// Parts of a streamed body buffered between caller and upstream.
const BODY_CHANNEL_PARTS: usize = 4;
/// The same while there is a limit on the memory for bodies.
const LIMITED_BODY_CHANNEL_PARTS: usize = 2;
/// Length of these parts while there is a limit, in bytes.
const LIMITED_PART_BYTES: usize = 8 << 10;
/// Memory that a streamed body takes while there is a limit, besides what was kept of it before: two parts that are read
/// ahead, one that waits for the channel, those in the channel, one that is written and its copy with a chunk's frame.
const STREAM_BYTES: u64 = (LIMITED_BODY_CHANNEL_PARTS + 5) as u64 * LIMITED_PART_BYTES as u64;
/// Interval between checks whether a caller has closed its end while nothing more is read from it.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a caller to close its end after it has received the last response. Closing with unread bytes resets the
/// connection, and the caller could lose a response that it has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks whether a caller has received all that was written.
const RECEIVED_POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    /// There is no memory for its body.
    NoBodyMemory,
    /// The task that handles the request failed.
    Internal,
}

/// How a request may run beside others of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Concurrency {
    /// Beside earlier requests, which may end up without a response.
    Concurrent,
    /// After all earlier requests.
    Sequential,
    /// After all earlier requests and before all later ones. If a response breaks off while it is written, the connection
    /// ends, and later requests that have run would get no response.
    Exclusive,
}

/// Handles callers' requests.
pub trait Handler: 'static {
    /// Current limits on what callers may send.
    fn limits(&self) -> CallerLimits;

    /// Whether the process is about to stop, so that connections close after the current response.
    fn is_stopping(&self) -> bool;

    /// How a request may run beside others of its connection.
    fn concurrency(&self, head: &Head) -> Concurrency;

    /// Memory for bodies; unlimited by default.
    fn body_memory(&self) -> BodyMemory {
        BodyMemory::default()
    }

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
    /// Whether a response is being written that may break off. No further request is started then, since its response
    /// would be lost with the connection.
    pub(crate) is_streaming: Cell<bool>,
    /// Notified when a response has been written.
    pub(crate) response_written: Notify,
    /// Whether the connection closes after the responses to the requests that have been started. No further one is
    /// started then: callers repeat it.
    pub(crate) closing: Cell<bool>,
}

/// Serves a caller's connection until it ends.
pub async fn serve<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    if set_reader_socket_options(&stream, WRITE_STALL_TIMEOUT).is_err() {
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
        after_exclusive: false,
    };
    let reading = reader.run();
    tokio::pin!(reading);
    let writing = write_responses(write_half, receiver, handler, state);
    let written = tokio::select! {
        () = &mut reading => return,
        // The write half was shut down. Dropping it doesn't close the connection while the read
        // half exists.
        written = writing => written,
    };
    if !written.is_broken {
        linger(&written, reading).await;
    }
}

/// Keeps a connection open after its last response until the caller has closed its end, or has received everything some
/// time ago.
///
/// Closing earlier could cost the caller that response: further requests that it sends before it reads the response would
/// reset the connection.
async fn linger(written: &Written, mut reading: Pin<&mut impl Future<Output = ()>>) {
    let mut progress_at = Instant::now();
    let mut unacknowledged = written.unacknowledged_bytes();
    while timeout(RECEIVED_POLL_INTERVAL, &mut reading).await.is_err() {
        let before = std::mem::replace(&mut unacknowledged, written.unacknowledged_bytes());
        if unacknowledged < before {
            progress_at = Instant::now();
        }
        let limit = if unacknowledged == 0 {
            LINGER_TIMEOUT
        } else {
            WRITE_STALL_TIMEOUT
        };
        if progress_at.elapsed() >= limit {
            return;
        }
    }
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
    /// Whether the request that was started last is exclusive.
    after_exclusive: bool,
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
        let concurrency = self.handler.concurrency(&head);
        if self.has_body() && head.head().expect() && self.state.in_flight.get() == 0 {
            self.send_continue();
        }
        let (body, remainder, body_hold) = self.read_body(&head).await?;
        self.wait_for_turn(concurrency).await?;
        if self.state.closing.get() {
            // The caller takes the request as not processed and repeats it.
            return Ok(false);
        }
        self.after_exclusive = concurrency == Concurrency::Exclusive;
        let close = head.head().connection_type() != ConnectionType::KeepAlive;
        let head_only = head.method() == Method::HEAD;
        let request = Request {
            method: head.method().clone(),
            uri: head.uri().clone(),
            headers: head.headers().clone(),
            body,
            received,
            body_hold,
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
    ) -> Result<(RequestBody, Option<BodyRemainder>, Rc<BodyHold>), ReadEnd> {
        let memory = self.handler.body_memory();
        if !self.has_body() {
            let body = RequestBody::Whole(Bytes::new());
            return Ok((body, None, Rc::new(memory.hold())));
        }
        let limits = self.handler.limits();
        let length = head.headers().get(CONTENT_LENGTH);
        let length_bytes = length.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
        if length_bytes.is_some_and(|length| length > limits.max_body_bytes) {
            return Err(ReadEnd::Refused(Refusal::BodyTooLong));
        }
        let Some(hold) = memory.hold_minimum(length_bytes, STREAM_BYTES) else {
            return Err(ReadEnd::Refused(Refusal::NoBodyMemory));
        };
        let hold = Rc::new(hold);
        let kept_max = || memory.kept_body_bytes_max(length_bytes);
        let capacity = length_bytes.map_or(0, |length| length.min(kept_max()));
        let mut kept = BytesMut::with_capacity(usize::try_from(capacity).unwrap_or(0));
        while kept.len() as u64 <= kept_max() {
            match self.read_body_part(limits.header_timeout).await? {
                BodyPart::Data(data) => kept.extend_from_slice(&data),
                BodyPart::End => {
                    hold.shrink_to(kept.len() as u64);
                    return Ok((RequestBody::Whole(kept.freeze()), None, hold));
                }
            }
            let needed = kept.len() as u64 + STREAM_BYTES;
            let needed = length_bytes.map_or(needed, |length| length.min(needed));
            let is_small = kept.len() as u64 <= SMALL_BODY_BYTES;
            if (is_small && length_bytes.is_none()) || hold.try_grow_to(needed) {
                continue;
            }
            if hold.bytes() < STREAM_BYTES {
                return Err(ReadEnd::Refused(Refusal::NoBodyMemory));
            }
            break;
        }
        let (sender, parts) = if memory.is_limited() {
            channel(LIMITED_BODY_CHANNEL_PARTS)
        } else {
            channel(BODY_CHANNEL_PARTS)
        };
        let received_bytes = kept.len() as u64;
        // The channel is new and has capacity.
        let _ = sender.try_send(BodyPart::Data(kept.freeze()));
        let remainder = BodyRemainder {
            sender,
            received_bytes,
            is_limited: memory.is_limited(),
            parts_sent: 0,
            hold: hold.clone(),
        };
        let body = RequestBody::Stream {
            length_bytes,
            parts,
        };
        Ok((body, Some(remainder), hold))
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
            let forwarded = !too_long && self.forward_part(&mut remainder, part).await?;
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

    /// Forwards one part, in pieces if the memory for bodies is limited; `false` if the receiver is gone.
    async fn forward_part(
        &mut self,
        remainder: &mut BodyRemainder,
        mut part: BodyPart,
    ) -> Result<bool, ReadEnd> {
        if remainder.is_limited {
            while let BodyPart::Data(data) = &mut part {
                if data.len() <= LIMITED_PART_BYTES {
                    break;
                }
                let piece = BodyPart::Data(data.split_to(LIMITED_PART_BYTES));
                if !self.forward_piece(remainder, piece).await? {
                    return Ok(false);
                }
            }
        }
        self.forward_piece(remainder, part).await
    }

    /// Forwards one piece, while checking that the caller is still connected; `false` if the receiver is gone.
    async fn forward_piece(
        &mut self,
        remainder: &mut BodyRemainder,
        piece: BodyPart,
    ) -> Result<bool, ReadEnd> {
        let sent = self.send_piece(&remainder.sender, piece).await?;
        remainder.parts_sent += 1;
        // The first of these has been taken from the channel, so what was kept before it is written.
        if remainder.parts_sent == LIMITED_BODY_CHANNEL_PARTS + 1 && remainder.is_limited {
            remainder.hold.shrink_to(STREAM_BYTES);
        }
        Ok(sent)
    }

    async fn send_piece(
        &mut self,
        sender: &Sender<BodyPart>,
        piece: BodyPart,
    ) -> Result<bool, ReadEnd> {
        let read_ahead_max = self.read_ahead_bytes_max();
        let sending = sender.send(piece);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                biased;
                sent = &mut sending => return Ok(sent.is_ok()),
                read = read_ahead(&mut self.read_half, &mut self.buf, read_ahead_max) => read?,
            }
        }
    }

    /// Waits until few enough requests are in flight to start another one, while checking that the caller is still
    /// connected.
    async fn wait_for_turn(&mut self, concurrency: Concurrency) -> Result<(), ReadEnd> {
        let read_ahead_max = self.read_ahead_bytes_max();
        let is_concurrent = concurrency == Concurrency::Concurrent && !self.after_exclusive;
        loop {
            // Once the process stops, a response that is being written may turn out to be the last one, and one that a
            // slow caller has not received yet leaves too little time for another.
            let is_stopping = self.handler.is_stopping();
            let may_overlap = is_concurrent && !is_stopping && !self.state.is_streaming.get();
            let max_in_flight = if may_overlap { PIPELINED_MAX } else { 1 };
            let in_flight = self.state.in_flight.get();
            let stream: &TcpStream = self.read_half.as_ref();
            let is_received = || unacknowledged_bytes(stream).unwrap_or(0) == 0;
            if in_flight < max_in_flight && (!is_stopping || is_received()) {
                return Ok(());
            }
            tokio::select! {
                () = self.state.response_written.notified() => {}
                () = sleep(RECEIVED_POLL_INTERVAL), if is_stopping && in_flight == 0 => {}
                read = read_ahead(&mut self.read_half, &mut self.buf, read_ahead_max) => read?,
            }
        }
    }

    fn read_ahead_bytes_max(&self) -> usize {
        if self.handler.body_memory().is_limited() {
            LIMITED_READ_AHEAD_BYTES
        } else {
            READ_AHEAD_BYTES
        }
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

/// Reads some bytes while fewer than `max_bytes` are in `buf`; beyond that, waits until the caller closes its end.
async fn read_ahead(
    read_half: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    max_bytes: usize,
) -> Result<(), ReadEnd> {
    if buf.len() < max_bytes {
        return match read_some(read_half, buf).await {
            Ok(1..) => Ok(()),
            _ => Err(ReadEnd::Closed),
        };
    }
    loop {
        match read_half.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_POLL_INTERVAL).await,
            _ => return Err(ReadEnd::Closed),
        }
    }
}

/// Remainder of a long body.
struct BodyRemainder {
    sender: Sender<BodyPart>,
    received_bytes: u64,
    /// Whether the memory for bodies is limited.
    is_limited: bool,
    /// Parts that the channel has accepted after the first.
    parts_sent: usize,
    hold: Rc<BodyHold>,
}
