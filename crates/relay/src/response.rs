//! Response of an upstream: its head, and a body reader that detects truncation.

use crate::pool::{
    read_some,
    Echo,
    Failure,
    Pool,
    Sending,
    Target, //
};
use actix_codec::Decoder;
use actix_http::{
    h1::{
        ClientCodec,
        ClientPayloadCodec,
        MessageType, //
    },
    header::{
        HeaderMap,
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    ConnectionType,
    ResponseHead,
    StatusCode,
    Version, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use std::{
    fmt,
    time::{
        Duration,
        Instant, //
    },
};
use strict::check_head;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::timeout_at, //
};

/// Header that states how long the upstream keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";
/// Longest stated timeout that is used.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(3600);
/// Responses to other requests that are skipped before a connection is given up.
const MISMATCHED_RESPONSES_MAX: u32 = 3;
/// Bytes that are read for one head before a connection is given up. A head by itself is limited by the codec; these may
/// also be interim responses and the bodies of responses to other requests.
const HEAD_READ_BYTES_MAX: usize = 4 << 20;
/// Interim responses that are skipped before a connection is given up.
const INTERIM_RESPONSES_MAX: u32 = 32;
/// Bytes of a body that are read in a row without any of its data: lengths of chunks, and their extensions.
const FRAMING_BYTES_MAX: usize = 64 << 10;
/// Time after the deadline in which a body is still read without waiting, so that one that had arrived is delivered.
const LATE_READ_PERIOD: Duration = Duration::from_millis(250);
/// Longest body without a stated length.
const UNSIZED_BODY_BYTES_MAX: u64 = 256 << 20;

/// A body ended before it was complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TruncatedBody(
    /// Cause.
    pub String,
);

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off: {}", self.0)
    }
}

/// Head of an upstream's response, and a reader of its body.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers, unfiltered.
    pub headers: HeaderMap,
    /// Declared length of the body.
    pub length_bytes: Option<u64>,
    /// The body.
    pub body: BodyReader,
}

/// How the end of a response body is recognised.
enum BodyDelimiter {
    /// There is no body, or its end has been reached.
    Empty,
    /// By its declared length or the final chunk.
    Framed(Box<ClientPayloadCodec>),
    /// By the end of the connection.
    Connection,
}

impl fmt::Debug for BodyDelimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "Empty",
            Self::Framed(_) => "Framed",
            Self::Connection => "Connection",
        })
    }
}

/// Reads the head of the response to one request.
pub(crate) struct HeadReader {
    buf: BytesMut,
    codec: Option<ClientCodec>,
    echo: Option<Echo>,
    /// Whether a response on the connection has repeated the id of its request.
    has_echoed: bool,
    head_only: bool,
    /// Number of bytes read.
    read_bytes: usize,
    /// Number of interim responses received first.
    interim_responses: u32,
    /// Number of responses to other requests received first.
    mismatched_responses: u32,
    /// Body of such a response that is being skipped.
    mismatched_body: Option<Box<ClientPayloadCodec>>,
    delimiter: BodyDelimiter,
}

impl HeadReader {
    pub(crate) fn new(echo: Option<Echo>, has_echoed: bool, head_only: bool) -> Self {
        Self {
            has_echoed,
            buf: BytesMut::new(),
            codec: Some(ClientCodec::default()),
            echo,
            head_only,
            read_bytes: 0,
            interim_responses: 0,
            mismatched_responses: 0,
            mismatched_body: None,
            delimiter: BodyDelimiter::Empty,
        }
    }

    /// Reads the head of the response to this request. Cancel-safe.
    ///
    /// A response with another request's id is a late one to an earlier request. It is skipped, and
    /// the response to this request is expected after it.
    pub(crate) async fn head(
        &mut self,
        read_half: &mut (impl AsyncReadExt + Unpin),
    ) -> Result<ResponseHead, Failure> {
        loop {
            if let Some(head) = self.decode()? {
                return Ok(head);
            }
            match read_some(read_half, &mut self.buf).await {
                Ok(0) => return Err(Failure::Broken("it was closed".to_owned())),
                Ok(read) => self.read_bytes += read,
                Err(error) => return Err(Failure::Broken(error.to_string())),
            }
            if self.read_bytes > HEAD_READ_BYTES_MAX {
                return Err(Failure::Malformed("no end of the head".to_owned()));
            }
        }
    }

    fn decode(&mut self) -> Result<Option<ResponseHead>, Failure> {
        loop {
            if !self.skip_mismatched_body()? {
                return Ok(None);
            }
            check_head(&self.buf).map_err(|invalid| Failure::Malformed(invalid.to_string()))?;
            let mut codec = self.codec.take().unwrap_or_default();
            let decoded = codec.decode(&mut self.buf);
            let head = decoded.map_err(|error| Failure::Malformed(error.to_string()))?;
            let Some(head) = head else {
                self.codec = Some(codec);
                return Ok(None);
            };
            if head.status.is_informational() {
                self.interim_responses += 1;
                if self.interim_responses > INTERIM_RESPONSES_MAX {
                    return Err(Failure::Malformed("too many interim responses".to_owned()));
                }
                continue;
            }
            let delimiter = body_delimiter(&head, codec, self.head_only);
            if self.matches_request(&head) {
                self.delimiter = delimiter;
                return Ok(Some(head));
            }
            self.mismatched_responses += 1;
            match delimiter {
                BodyDelimiter::Empty if self.mismatched_responses <= MISMATCHED_RESPONSES_MAX => {}
                BodyDelimiter::Framed(body)
                    if self.mismatched_responses <= MISMATCHED_RESPONSES_MAX =>
                {
                    self.mismatched_body = Some(body);
                }
                _ => {
                    return Err(Failure::Malformed(
                        "the response belongs to another request".to_owned(),
                    ))
                }
            }
        }
    }

    /// Skips the body of a response to another request; `false` if more bytes are needed.
    fn skip_mismatched_body(&mut self) -> Result<bool, Failure> {
        let Some(body) = &mut self.mismatched_body else {
            return Ok(true);
        };
        loop {
            match body.decode(&mut self.buf) {
                Ok(Some(Some(_))) => {}
                Ok(Some(None)) => {
                    self.mismatched_body = None;
                    return Ok(true);
                }
                Ok(None) => return Ok(false),
                Err(error) => return Err(Failure::Malformed(error.to_string())),
            }
        }
    }

    /// Whether the response may belong to this request. One without an id is assumed to, unless
    /// its sender would have stated it: additional bytes after an earlier response may look like a
    /// response, and could state that this request was not run.
    fn matches_request(&mut self, head: &ResponseHead) -> bool {
        let Some(echo) = &self.echo else {
            return true;
        };
        match head.headers.get(&echo.name) {
            Some(echoed) => {
                self.has_echoed = true;
                echoed.as_bytes() == echo.id
            }
            None => !(self.has_echoed && echo.is_consistent),
        }
    }

    pub(crate) fn into_response(
        self,
        head: ResponseHead,
        stream: TcpStream,
        pool: Pool,
        upstream: Target,
        sending: Sending,
    ) -> UpstreamResponse {
        let stays_open = match head.connection_type() {
            ConnectionType::KeepAlive => head.version >= Version::HTTP_11,
            _ => false,
        };
        // A sender that states both chunks and a length may not know where its response ends.
        let is_ambiguous = is_chunked(&head) && head.headers.contains_key(CONTENT_LENGTH);
        let delimited = !matches!(self.delimiter, BodyDelimiter::Connection) && !is_ambiguous;
        // A response that arrives before the request was sent completely ends the sending. The upstream would take a further
        // request on this connection for the rest of the body.
        let is_sent = sending == Sending::Complete;
        let reusable = is_sent && stays_open && delimited && self.mismatched_responses == 0;
        let stated_timeout = head
            .headers
            .get(KEEP_ALIVE)
            .and_then(parse_keep_alive_timeout);
        let length_bytes = stated_length(&head);
        UpstreamResponse {
            status: head.status,
            length_bytes,
            headers: head.headers.clone(),
            body: BodyReader {
                stream: Some(stream),
                buf: self.buf,
                delimiter: self.delimiter,
                pool,
                upstream,
                reusable,
                may_conceal_reset: sending == Sending::Broken,
                has_echoed: self.has_echoed,
                stated_timeout,
                is_sized: length_bytes.is_some(),
                data_bytes: 0,
                framing_bytes: 0,
            },
        }
    }
}

/// Returns whether the body is in chunks. The codec rejects combinations with other codings.
fn is_chunked(head: &ResponseHead) -> bool {
    let coding = head.headers.get(TRANSFER_ENCODING);
    let coding = coding.filter(|_| head.version >= Version::HTTP_11);
    coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Parses the timeout of a `Keep-Alive` header.
fn parse_keep_alive_timeout(value: &actix_http::header::HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(timeout.trim().parse().ok()?);
    Some(timeout.min(KEEP_ALIVE_MAX))
}

/// How the body of a response ends.
///
/// actix-http takes an HTTP/1.1 response without a length and without chunks for one without a
/// body, whereas its body ends with the connection. So does that of an earlier version, for which
/// the codec never finds an end.
fn body_delimiter(head: &ResponseHead, codec: ClientCodec, head_only: bool) -> BodyDelimiter {
    let status = head.status;
    let never_has_body = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if head_only || never_has_body {
        return BodyDelimiter::Empty;
    }
    let length_bytes = stated_length(head);
    let is_framed = length_bytes.is_some() || head.version >= Version::HTTP_11;
    match codec.message_type() {
        _ if length_bytes == Some(0) => BodyDelimiter::Empty,
        MessageType::Payload if is_framed => {
            BodyDelimiter::Framed(Box::new(codec.into_payload_codec()))
        }
        _ => BodyDelimiter::Connection,
    }
}

/// Returns the length that a head states; `None` if the body is in chunks, which overrides it. The codec rejects invalid
/// lengths.
fn stated_length(head: &ResponseHead) -> Option<u64> {
    if is_chunked(head) {
        return None;
    }
    let length = head.headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

/// Reads the body of a response from its connection.
#[derive(Debug)]
pub struct BodyReader {
    stream: Option<TcpStream>,
    buf: BytesMut,
    delimiter: BodyDelimiter,
    pool: Pool,
    upstream: Target,
    reusable: bool,
    /// Whether an orderly end of the connection may have been a reset.
    may_conceal_reset: bool,
    has_echoed: bool,
    stated_timeout: Option<Duration>,
    /// Whether the length of the body is stated.
    is_sized: bool,
    /// Number of bytes of data returned.
    data_bytes: u64,
    /// Number of bytes read since data was last returned.
    framing_bytes: usize,
}

impl BodyReader {
    /// Reads the next part; `None` once the body is complete. Cancel-safe.
    ///
    /// # Errors
    ///
    /// The body was truncated, or the deadline passed.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, TruncatedBody> {
        let read = match timeout_at(deadline.into(), self.read_next()).await {
            // The timeout doesn't end a body whose data never lets it wait.
            Ok(Ok(Some(_))) if Instant::now() > deadline + LATE_READ_PERIOD => {
                Err("the deadline passed".to_owned())
            }
            Ok(read) => read,
            Err(_elapsed) => Err("the deadline passed".to_owned()),
        };
        read.map_err(|why| {
            self.stream = None;
            TruncatedBody(why)
        })
    }

    async fn read_next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            match &mut self.delimiter {
                BodyDelimiter::Empty => {
                    self.release_connection();
                    return Ok(None);
                }
                BodyDelimiter::Framed(codec) => match codec.decode(&mut self.buf) {
                    Ok(Some(Some(data))) => return self.note_data(data).map(Some),
                    Ok(Some(None)) => {
                        self.delimiter = BodyDelimiter::Empty;
                        continue;
                    }
                    Ok(None) if self.framing_bytes > FRAMING_BYTES_MAX => {
                        return Err("no data between the lengths of chunks".to_owned());
                    }
                    Ok(None) => {}
                    Err(error) => return Err(error.to_string()),
                },
                BodyDelimiter::Connection if !self.buf.is_empty() => {
                    let data = self.buf.split().freeze();
                    return self.note_data(data).map(Some);
                }
                BodyDelimiter::Connection => {}
            }
            let Some(stream) = &mut self.stream else {
                return Err("the connection is already closed".to_owned());
            };
            match read_some(stream, &mut self.buf).await {
                Ok(0)
                    if matches!(self.delimiter, BodyDelimiter::Connection)
                        && !self.may_conceal_reset =>
                {
                    self.delimiter = BodyDelimiter::Empty
                }
                Ok(0) => return Err("the connection was closed".to_owned()),
                Ok(read) => self.framing_bytes += read,
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    /// Counts data of the body. A stated length is a limit by itself.
    fn note_data(&mut self, data: Bytes) -> Result<Bytes, String> {
        self.framing_bytes = 0;
        self.data_bytes += data.len() as u64;
        if !self.is_sized && self.data_bytes > UNSIZED_BODY_BYTES_MAX {
            return Err("no end of the body".to_owned());
        }
        Ok(data)
    }

    /// Returns the connection to the pool if it can be reused and no unread bytes are left.
    fn release_connection(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.reusable && self.buf.is_empty() {
            let (has_echoed, stated_timeout) = (self.has_echoed, self.stated_timeout);
            self.pool
                .check_in(&self.upstream, stream, has_echoed, stated_timeout);
        }
    }
}
