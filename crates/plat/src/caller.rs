//! An HTTP client with a deadline per call, independent of the protocol on top of it.

use crate::outcome::{
    FailureReason, //
    Outcome,
    ReadError,
};
use awc::{
    body::{
        BodySize,
        MessageBody, //
    },
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::{
        header::{
            HeaderMap,
            CONTENT_TYPE, //
        },
        Method,
        StatusCode, //
    },
    Client, //
};
use bytes::Bytes;
use std::{
    cell::RefCell,
    convert::Infallible,
    fmt,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};
use strict::strict_connector;

/// How long an idle connection is kept open.
///
/// Shorter than the idle timeout of common servers: a commit sent just as the server closes an idle
/// connection would have an unknown outcome and need another read.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of bytes of a request body that are passed to the connection at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// A request body that is passed to the connection in chunks.
///
/// The client copies what it is passed into its write buffer. If a snapshot of a large block table
/// were passed as a whole, the daemon would hold it in memory twice while storing it.
struct ChunkedBody(Bytes);

impl MessageBody for ChunkedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        self.0.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let length = self.0.len().min(CHUNK_BYTES);
        let chunk = self.0.split_to(length);
        Poll::Ready((!chunk.is_empty()).then_some(Ok(chunk)))
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Why a call failed, and whether the platform may have received it.
#[derive(Clone, Debug)]
pub enum CallError {
    /// Nothing was sent.
    NotSent(FailureReason),
    /// Some or all of the request may have been sent.
    MaybeSent(FailureReason),
}

/// Sends requests to one platform; must be used on one thread, inside an actix system.
pub struct HttpCaller {
    /// URL that paths are appended to, without a trailing slash.
    base_url: String,
    /// Maximum size of a response body, so that a faulty server can't exhaust the memory of the process.
    response_bytes_max: usize,
    /// Client with its pool of idle connections; replaced after a timeout.
    client: RefCell<Client>,
}

impl fmt::Debug for HttpCaller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpCaller")
            .field("base_url", &self.base_url)
            .finish_non_exhaustive()
    }
}

impl HttpCaller {
    /// Creates a client of the platform at `base_url` (`http://host:port`) that accepts response bodies of up to
    /// `response_bytes_max`; doesn't connect yet.
    pub fn new(base_url: impl Into<String>, response_bytes_max: usize) -> Self {
        let mut base_url = base_url.into();
        base_url.truncate(base_url.trim_end_matches('/').len());
        Self {
            base_url,
            response_bytes_max,
            client: RefCell::new(new_client()),
        }
    }

    /// Sends a `GET` request once and waits for the complete response until the deadline.
    ///
    /// # Errors
    ///
    /// If no complete response arrived.
    pub async fn get(&self, path: &str, deadline: Duration) -> Result<HttpResponse, CallError> {
        let body = Bytes::new();
        self.call(Method::GET, path, "application/json", body, deadline)
            .await
    }

    /// Sends a request once and waits for the complete response until the deadline.
    ///
    /// # Errors
    ///
    /// If no complete response arrived; the error says whether the platform may have received the
    /// request.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        content_type: &'static str,
        body: Bytes,
        deadline: Duration,
    ) -> Result<HttpResponse, CallError> {
        let client = self.client.borrow().clone();
        let url = format!("{}{path}", self.base_url);
        let exchange = async {
            let mut response = client
                .request(method, url)
                .insert_header((CONTENT_TYPE, content_type))
                .send_body(ChunkedBody(body))
                .await
                .map_err(classify_error)?;
            let body = response
                .body()
                .limit(self.response_bytes_max)
                .await
                .map_err(|error| CallError::MaybeSent(FailureReason::Broken(error.to_string())))?;
            Ok(HttpResponse {
                status: response.status(),
                headers: response.headers().clone(),
                body,
            })
        };
        match tokio::time::timeout(deadline, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => {
                // Dropping the exchange closed its connection, so a late response can't be taken
                // for that of the next call. If the network path drops packets, all connections
                // over it are affected and each would cost another deadline, so all idle
                // connections are closed, too.
                self.client.replace(new_client());
                Err(CallError::MaybeSent(FailureReason::Timeout))
            }
        }
    }
}

impl CallError {
    /// The reason, whether or not the request was sent.
    pub fn into_reason(self) -> FailureReason {
        match self {
            Self::NotSent(reason) | Self::MaybeSent(reason) => reason,
        }
    }
}

impl<T> From<CallError> for Outcome<T> {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(reason) => Self::NotDone(reason),
            CallError::MaybeSent(reason) => Self::Unknown(reason),
        }
    }
}

impl From<CallError> for ReadError {
    fn from(error: CallError) -> Self {
        Self(error.into_reason())
    }
}

/// Creates a client with an empty pool that never resends a request on its own.
///
/// Following a redirect would send the request again, so redirects are returned like any other
/// response. The client's own timeout is disabled: only the deadline of each call applies.
fn new_client() -> Client {
    Client::builder()
        .connector(strict_connector().conn_keep_alive(IDLE_TIMEOUT))
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Classifies an error of the client by whether anything may have been sent.
///
/// Despite its name, the client returns `Connect(Disconnected)` when the connection was closed after
/// the request and before a response: the request may have taken effect. Every error that isn't known
/// to occur before the first byte is sent counts as sent, too.
fn classify_error(error: SendRequestError) -> CallError {
    let text = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallError::MaybeSent(FailureReason::Broken(text))
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            CallError::NotSent(FailureReason::NotConnected(text))
        }
        _ => CallError::MaybeSent(FailureReason::Broken(text)),
    }
}
