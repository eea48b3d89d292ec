//! The platform by HTTP/1.1.

use crate::{
    outcome::{
        Outcome,
        ReadError,
        Reason, //
    },
    types::{
        Commit,
        List,
        Row,
        Txn, //
    },
    wire::{
        CommitRequest,
        CommittedAnswer,
        ConflictAnswer,
        ReadAnswer,
        ReadRequest,
        ScanAnswer,
        ScanRequest, //
    },
    Listing,
    Objects,
    Table, //
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
        header::CONTENT_TYPE,
        Method,
        StatusCode, //
    },
    Client, //
};
use bytes::Bytes;
use bytestring::ByteString;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
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

/// Longest answer that is read, so that a broken platform can't fill the daemon's memory.
const ANSWER_LIMIT_BYTES: usize = 256 << 20;
/// How long an idle connection is kept.
///
/// Shorter than usual servers do: a commit sent just as the server closes an idle connection
/// would end as unknown, which costs a read back.
const IDLE: Duration = Duration::from_secs(3);

/// Bytes of a body that are handed to the connection at a time.
const PIECE_BYTES: usize = 64 << 10;

/// A body that is handed to the connection piece by piece.
///
/// The client copies whatever it is handed into its write buffer. Handed a snapshot of a large block
/// table in one piece, the daemon would hold it twice while it is stored.
struct Pieces(Bytes);

impl MessageBody for Pieces {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        self.0.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let length = self.0.len().min(PIECE_BYTES);
        let piece = self.0.split_to(length);
        Poll::Ready((!piece.is_empty()).then_some(Ok(piece)))
    }
}

/// The platform's table, object store and list, by HTTP.
///
/// Must be used inside an actix system, on one thread.
pub struct HttpPlatform {
    /// URL that the paths are appended to, without a slash at its end.
    base_url: String,
    /// Deadline of calls that change nothing.
    read_timeout: Duration,
    /// Deadline of calls that change something.
    write_timeout: Duration,
    /// Keeps the idle connections; replaced as a whole after a timeout.
    client: RefCell<Client>,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("base_url", &self.base_url)
            .field("read_timeout", &self.read_timeout)
            .field("write_timeout", &self.write_timeout)
            .finish_non_exhaustive()
    }
}

/// A whole answer.
struct Answer {
    /// Its status.
    status: StatusCode,
    /// Its body.
    body: Bytes,
}

/// How a call failed, by whether the platform can have seen it.
enum Failure {
    /// Nothing was sent.
    NotSent(Reason),
    /// Some or all of it was sent.
    MaybeSent(Reason),
}

impl HttpPlatform {
    /// Makes a client of the platform at `base_url` (`http://host:port`); sends nothing yet.
    ///
    /// Reads end within `read_timeout` and writes within `write_timeout`, connecting included.
    pub fn new(
        base_url: impl Into<String>,
        read_timeout: Duration,
        write_timeout: Duration,
    ) -> Self {
        let mut base_url = base_url.into();
        base_url.truncate(base_url.trim_end_matches('/').len());
        Self {
            base_url,
            read_timeout,
            write_timeout,
            client: RefCell::new(new_client()),
        }
    }

    /// Sends one request once and waits for its whole answer until the deadline.
    async fn call(
        &self,
        method: Method,
        path: &str,
        content_type: &'static str,
        body: Bytes,
        deadline: Duration,
    ) -> Result<Answer, Failure> {
        let client = self.client.borrow().clone();
        let url = format!("{}{path}", self.base_url);
        let exchange = async {
            let mut answer = client
                .request(method, url)
                .insert_header((CONTENT_TYPE, content_type))
                .send_body(Pieces(body))
                .await
                .map_err(failure_of)?;
            let body = answer
                .body()
                .limit(ANSWER_LIMIT_BYTES)
                .await
                .map_err(|error| Failure::MaybeSent(Reason::Broken(error.to_string())))?;
            Ok(Answer {
                status: answer.status(),
                body,
            })
        };
        match tokio::time::timeout(deadline, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => {
                // The exchange was dropped and its connection with it, so a late answer can't be
                // taken for the next call's. A path that went silent takes all connections made
                // over it along; each would cost one more deadline. So all idle ones go, too.
                self.client.replace(new_client());
                Err(Failure::MaybeSent(Reason::Timeout))
            }
        }
    }

    /// Calls with JSON within `deadline`.
    async fn call_json(
        &self,
        path: &str,
        request: &impl Serialize,
        deadline: Duration,
    ) -> Result<Answer, Failure> {
        let body = serde_json::to_vec(request)
            .map_err(|error| Failure::NotSent(Reason::Malformed(error.to_string())))?;
        self.call(
            Method::POST,
            path,
            "application/json",
            body.into(),
            deadline,
        )
        .await
    }

    /// Calls without a body for something that changes nothing.
    async fn get_path(&self, path: &str) -> Result<Answer, Failure> {
        self.call(
            Method::GET,
            path,
            "application/octet-stream",
            Bytes::new(),
            self.read_timeout,
        )
        .await
    }
}

impl Table for HttpPlatform {
    async fn read(&self, keys: &[ByteString]) -> Result<Vec<Option<Row>>, ReadError> {
        let answer = self
            .call_json("/table/read", &ReadRequest { keys }, self.read_timeout)
            .await?;
        let rows = parse::<ReadAnswer>(&ok_body(answer)?)?.rows;
        if rows.len() == keys.len() {
            Ok(rows)
        } else {
            Err(ReadError(miscounted(keys.len(), rows.len())))
        }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, ReadError> {
        let answer = self
            .call_json("/table/scan", &ScanRequest { prefix }, self.read_timeout)
            .await?;
        Ok(parse::<ScanAnswer>(&ok_body(answer)?)?.rows)
    }

    async fn commit(&self, txn: Txn) -> Outcome<Commit> {
        let checks = txn.checks.len();
        let request = CommitRequest::from(txn);
        let answer = match self
            .call_json("/table/commit", &request, self.write_timeout)
            .await
        {
            Ok(answer) => answer,
            Err(failure) => return failure.into(),
        };
        let commit = match answer.status {
            StatusCode::OK => parse::<CommittedAnswer>(&answer.body).map(|answer| {
                Commit::Committed {
                    version: answer.version,
                } //
            }),
            StatusCode::CONFLICT => parse::<ConflictAnswer>(&answer.body)
                .map(|answer| answer.rows)
                .and_then(|rows| match rows.len() {
                    n if n == checks => Ok(Commit::Conflict { rows }),
                    n => Err(miscounted(checks, n)),
                }),
            status => return refusal(status),
        };
        match commit {
            Ok(commit) => Outcome::Done(commit),
            Err(reason) => Outcome::Unknown(reason),
        }
    }
}

impl Objects for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, ReadError> {
        let path = object_path(name).ok_or(ReadError(Reason::BadName))?;
        let answer = self.get_path(&path).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => Ok(Some(ok_body(answer)?)),
        }
    }

    async fn put(&self, name: &str, body: Bytes) -> Outcome<()> {
        let Some(path) = object_path(name) else {
            return Outcome::NotDone(Reason::BadName);
        };
        let content_type = "application/octet-stream";
        let called = self
            .call(Method::PUT, &path, content_type, body, self.write_timeout)
            .await;
        match called {
            Ok(answer) if answer.status == StatusCode::OK => Outcome::Done(()),
            Ok(answer) if answer.status == StatusCode::CONFLICT => {
                Outcome::NotDone(Reason::OtherBody)
            }
            Ok(answer) => refusal(answer.status),
            Err(failure) => failure.into(),
        }
    }
}

impl Listing for HttpPlatform {
    async fn list(&self) -> Result<List, ReadError> {
        let answer = self.get_path("/list").await?;
        Ok(parse(&ok_body(answer)?)?)
    }
}

impl Failure {
    /// What went wrong, sent or not.
    fn into_reason(self) -> Reason {
        match self {
            Self::NotSent(reason) | Self::MaybeSent(reason) => reason,
        }
    }
}

impl<T> From<Failure> for Outcome<T> {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotSent(reason) => Self::NotDone(reason),
            Failure::MaybeSent(reason) => Self::Unknown(reason),
        }
    }
}

impl From<Failure> for ReadError {
    fn from(failure: Failure) -> Self {
        Self(failure.into_reason())
    }
}

impl From<Reason> for ReadError {
    fn from(reason: Reason) -> Self {
        Self(reason)
    }
}

/// A client with an empty pool, that never sends a request again of its own accord.
///
/// A redirect followed would be a second sending, so redirects are answers like any other. The
/// client's own timeout is off: the deadline of each call is the one wait.
fn new_client() -> Client {
    Client::builder()
        .connector(strict_connector().conn_keep_alive(IDLE))
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Sorts the client's errors by whether something was sent.
///
/// `Connect(Disconnected)` sounds like a failed connect, but it is what the client says when the
/// connection closed after the request and before an answer: the request may have taken effect.
/// Everything not known to come before the first byte counts as sent, too.
fn failure_of(error: SendRequestError) -> Failure {
    let text = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Failure::MaybeSent(Reason::Broken(text))
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            Failure::NotSent(Reason::NotConnected(text))
        }
        _ => Failure::MaybeSent(Reason::Broken(text)),
    }
}

/// What a status says of a call that changes something, when the call has no meaning for it.
fn refusal<T>(status: StatusCode) -> Outcome<T> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Outcome::NotDone(Reason::Refused),
        status => Outcome::Unknown(Reason::Status(status.as_u16())),
    }
}

/// Body of an answer of status 200.
fn ok_body(answer: Answer) -> Result<Bytes, Reason> {
    match answer.status {
        StatusCode::OK => Ok(answer.body),
        StatusCode::SERVICE_UNAVAILABLE => Err(Reason::Refused),
        status => Err(Reason::Status(status.as_u16())),
    }
}

/// Reads the JSON of a whole answer.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reason> {
    serde_json::from_slice(body).map_err(|error| Reason::Malformed(error.to_string()))
}

/// The answer has another number of rows than was asked for.
fn miscounted(expected: usize, actual: usize) -> Reason {
    Reason::Malformed(format!("{actual} rows instead of {expected}"))
}

/// Path of an object, if its name needs no escapes; digests don't.
fn object_path(name: &str) -> Option<String> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    (!name.is_empty() && name.bytes().all(plain)).then(|| format!("/objects/{name}"))
}
