//! An upstream's answer: its head, and a body that knows whether it is whole.

use crate::pool::{
    read_some,
    Failure,
    Pool,
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
        HeaderName,
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    ConnectionType,
    ResponseHead,
    StatusCode, //
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
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::timeout_at, //
};

/// Header that states how long an idle connection is kept.
const KEEP_ALIVE: &str = "keep-alive";
/// Answers to other requests that are read over before a connection is given up.
const STRAY_ANSWERS_MAX: u32 = 3;

/// Why a body ended before it was whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cut(
    /// What happened.
    pub String,
);

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off: {}", self.0)
    }
}

/// Head of an answer, and its body to be read.
#[derive(Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Declared length of the body.
    pub length_bytes: Option<u64>,
    /// The body.
    pub body: BodyReader,
}

/// How the end of a body is recognised.
enum End {
    /// There is none.
    Empty,
    /// By its declared length or its chunks.
    Framed(Box<ClientPayloadCodec>),
    /// By the end of the connection.
    Connection,
}

impl fmt::Debug for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "Empty",
            Self::Framed(_) => "Framed",
            Self::Connection => "Connection",
        })
    }
}

/// Reads the head of the answer to one request.
pub(crate) struct Reader {
    buf: BytesMut,
    codec: Option<ClientCodec>,
    echo: Option<(HeaderName, Bytes)>,
    head_only: bool,
    /// Answers to other requests that came first.
    strays: u32,
    /// Body of such an answer that is being read over.
    stray_body: Option<Box<ClientPayloadCodec>>,
    end: End,
}

impl Reader {
    pub(crate) fn new(echo: Option<(HeaderName, Bytes)>, head_only: bool) -> Self {
        Self {
            buf: BytesMut::new(),
            codec: Some(ClientCodec::default()),
            echo,
            head_only,
            strays: 0,
            stray_body: None,
            end: End::Empty,
        }
    }

    /// The head of the answer that belongs to the request. Safe to cancel.
    ///
    /// An answer that repeats another request's id is a late one to an earlier request; it is read
    /// over, and ours is awaited behind it.
    pub(crate) async fn head(
        &mut self,
        reading: &mut (impl AsyncReadExt + Unpin),
    ) -> Result<ResponseHead, Failure> {
        loop {
            if let Some(head) = self.decode()? {
                return Ok(head);
            }
            match read_some(reading, &mut self.buf).await {
                Ok(0) => return Err(Failure::Broken("it was closed".to_owned())),
                Ok(_) => {}
                Err(error) => return Err(Failure::Broken(error.to_string())),
            }
        }
    }

    fn decode(&mut self) -> Result<Option<ResponseHead>, Failure> {
        loop {
            if !self.skip_stray_body()? {
                return Ok(None);
            }
            let mut codec = self.codec.take().unwrap_or_default();
            let decoded = codec.decode(&mut self.buf);
            let head = decoded.map_err(|error| Failure::Malformed(error.to_string()))?;
            let Some(head) = head else {
                self.codec = Some(codec);
                return Ok(None);
            };
            if head.status.is_informational() {
                continue;
            }
            let end = end_of(&head, codec, self.head_only);
            if self.belongs(&head) {
                self.end = end;
                return Ok(Some(head));
            }
            self.strays += 1;
            match end {
                End::Empty if self.strays <= STRAY_ANSWERS_MAX => {}
                End::Framed(body) if self.strays <= STRAY_ANSWERS_MAX => {
                    self.stray_body = Some(body);
                }
                _ => {
                    return Err(Failure::Malformed(
                        "the answer belongs to another request".to_owned(),
                    ))
                }
            }
        }
    }

    /// Reads over the body of a stray answer; `false` if more has to come.
    fn skip_stray_body(&mut self) -> Result<bool, Failure> {
        let Some(body) = &mut self.stray_body else {
            return Ok(true);
        };
        loop {
            match body.decode(&mut self.buf) {
                Ok(Some(Some(_))) => {}
                Ok(Some(None)) => {
                    self.stray_body = None;
                    return Ok(true);
                }
                Ok(None) => return Ok(false),
                Err(error) => return Err(Failure::Malformed(error.to_string())),
            }
        }
    }

    /// Whether the answer is not another request's. One that repeats no id can't be told apart.
    fn belongs(&self, head: &ResponseHead) -> bool {
        let Some((name, id)) = &self.echo else {
            return true;
        };
        let echoed = head.headers.get(name);
        echoed.is_none_or(|echoed| echoed.as_bytes() == id)
    }

    pub(crate) fn into_response(
        self,
        head: ResponseHead,
        stream: TcpStream,
        pool: Pool,
        upstream: Target,
        reusable: bool,
    ) -> Response {
        let stays_open = match head.connection_type() {
            ConnectionType::KeepAlive => head.version >= actix_http::Version::HTTP_11,
            _ => false,
        };
        let by_length = !matches!(self.end, End::Connection);
        let reusable = reusable && stays_open && by_length && self.strays == 0;
        let keep_idle = head.headers.get(KEEP_ALIVE).and_then(stated_timeout);
        let length = head.headers.get(CONTENT_LENGTH);
        let length_bytes = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        Response {
            status: head.status,
            length_bytes,
            headers: head.headers.clone(),
            body: BodyReader {
                stream: Some(stream),
                buf: self.buf,
                end: self.end,
                pool,
                upstream,
                reusable,
                keep_idle,
            },
        }
    }
}

/// The timeout in a `Keep-Alive` header.
fn stated_timeout(value: &actix_http::header::HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// How the body of an answer ends.
///
/// The library takes an HTTP/1.1 answer without a length and without chunks for one without a body.
/// It has a body that ends with the connection.
fn end_of(head: &ResponseHead, codec: ClientCodec, head_only: bool) -> End {
    let status = head.status;
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if head_only || bodiless {
        return End::Empty;
    }
    match codec.message_type() {
        MessageType::Payload => End::Framed(Box::new(codec.into_payload_codec())),
        _ if head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING) =>
        {
            End::Empty
        }
        _ => End::Connection,
    }
}

/// The body of an answer, still on its connection.
#[derive(Debug)]
pub struct BodyReader {
    stream: Option<TcpStream>,
    buf: BytesMut,
    end: End,
    pool: Pool,
    upstream: Target,
    reusable: bool,
    keep_idle: Option<Duration>,
}

impl BodyReader {
    /// The next piece; `None` once the body is whole. Safe to cancel.
    ///
    /// # Errors
    ///
    /// The body broke off, or the deadline passed.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, Cut> {
        match timeout_at(deadline.into(), self.read_next()).await {
            Ok(result) => result,
            Err(_elapsed) => {
                self.stream = None;
                Err(Cut("the deadline passed".to_owned()))
            }
        }
    }

    async fn read_next(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            match &mut self.end {
                End::Empty => {
                    self.finish();
                    return Ok(None);
                }
                End::Framed(codec) => match codec.decode(&mut self.buf) {
                    Ok(Some(Some(data))) => return Ok(Some(data)),
                    Ok(Some(None)) => {
                        self.end = End::Empty;
                        continue;
                    }
                    Ok(None) => {}
                    Err(error) => return Err(Cut(error.to_string())),
                },
                End::Connection if !self.buf.is_empty() => {
                    return Ok(Some(self.buf.split().freeze()));
                }
                End::Connection => {}
            }
            let Some(stream) = &mut self.stream else {
                return Err(Cut("the connection is gone".to_owned()));
            };
            match read_some(stream, &mut self.buf).await {
                Ok(0) if matches!(self.end, End::Connection) => self.end = End::Empty,
                Ok(0) => return Err(Cut("the connection was closed".to_owned())),
                Ok(_) => {}
                Err(error) => return Err(Cut(error.to_string())),
            }
        }
    }

    /// Gives the connection back, if nothing is left on it.
    fn finish(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.reusable && self.buf.is_empty() {
            self.pool.put(&self.upstream, stream, self.keep_idle);
        }
    }
}
