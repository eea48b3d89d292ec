//! The client of the platform over HTTP/1.1.

use crate::{
    caller::{
        CallError,
        HttpCaller, //
        HttpResponse,
    },
    outcome::{
        FailureReason, //
        Outcome,
        ReadError,
    },
    types::{
        Commit,
        List,
        Row,
        Txn, //
    },
    wire::{
        CommitRequest,
        CommittedResponse,
        ConflictResponse,
        ReadRequest,
        ReadResponse,
        ScanRequest, //
        ScanResponse,
    },
    Listing,
    Objects,
    Table, //
};
use awc::http::{
    Method,
    StatusCode, //
};
use bytes::Bytes;
use bytestring::ByteString;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use std::{
    fmt,
    time::Duration, //
};

/// Maximum size of a response body. The largest are objects with a block table.
const RESPONSE_BYTES_MAX: usize = 256 << 20;

/// The platform's table, object store and instance list over HTTP.
///
/// Must be used inside an actix system, on one thread.
pub struct HttpPlatform {
    caller: HttpCaller,
    /// Deadline of reads.
    read_timeout: Duration,
    /// Deadline of writes.
    write_timeout: Duration,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("caller", &self.caller)
            .field("read_timeout", &self.read_timeout)
            .field("write_timeout", &self.write_timeout)
            .finish()
    }
}

impl HttpPlatform {
    /// Creates a client of the platform at `base_url` (`http://host:port`); doesn't connect yet.
    ///
    /// Reads end within `read_timeout` and writes within `write_timeout`, connecting included.
    pub fn new(
        base_url: impl Into<String>,
        read_timeout: Duration,
        write_timeout: Duration,
    ) -> Self {
        Self {
            caller: HttpCaller::new(base_url, RESPONSE_BYTES_MAX),
            read_timeout,
            write_timeout,
        }
    }

    /// Sends a `POST` request with a JSON body.
    async fn post_json(
        &self,
        path: &str,
        request: &impl Serialize,
        deadline: Duration,
    ) -> Result<HttpResponse, CallError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| CallError::NotSent(FailureReason::Malformed(error.to_string())))?;
        self.caller
            .call(
                Method::POST,
                path,
                "application/json",
                body.into(),
                deadline,
            )
            .await
    }

    /// Sends a `GET` request.
    async fn get_path(&self, path: &str) -> Result<HttpResponse, CallError> {
        self.caller
            .call(
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
        let response = self
            .post_json("/table/read", &ReadRequest { keys }, self.read_timeout)
            .await?;
        let rows = parse::<ReadResponse>(&ok_body(response)?)?.rows;
        if rows.len() == keys.len() {
            Ok(rows)
        } else {
            Err(ReadError(row_count_mismatch(keys.len(), rows.len())))
        }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, ReadError> {
        let response = self
            .post_json("/table/scan", &ScanRequest { prefix }, self.read_timeout)
            .await?;
        Ok(parse::<ScanResponse>(&ok_body(response)?)?.rows)
    }

    async fn commit(&self, txn: Txn) -> Outcome<Commit> {
        let checks = txn.checks.len();
        let request = CommitRequest::from(txn);
        let response = match self
            .post_json("/table/commit", &request, self.write_timeout)
            .await
        {
            Ok(response) => response,
            Err(error) => return error.into(),
        };
        let commit = match response.status {
            StatusCode::OK => parse::<CommittedResponse>(&response.body).map(|response| {
                Commit::Committed {
                    version: response.version,
                } //
            }),
            StatusCode::CONFLICT => parse::<ConflictResponse>(&response.body)
                .map(|response| response.rows)
                .and_then(|rows| match rows.len() {
                    n if n == checks => Ok(Commit::Conflict { rows }),
                    n => Err(row_count_mismatch(checks, n)),
                }),
            status => return write_error(status),
        };
        match commit {
            Ok(commit) => Outcome::Done(commit),
            Err(reason) => Outcome::Unknown(reason),
        }
    }
}

impl Objects for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, ReadError> {
        let path = object_path(name).ok_or(ReadError(FailureReason::BadName))?;
        let response = self.get_path(&path).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => Ok(Some(ok_body(response)?)),
        }
    }

    async fn put(&self, name: &str, body: Bytes) -> Outcome<()> {
        let Some(path) = object_path(name) else {
            return Outcome::NotDone(FailureReason::BadName);
        };
        let content_type = "application/octet-stream";
        let called = self
            .caller
            .call(Method::PUT, &path, content_type, body, self.write_timeout)
            .await;
        match called {
            Ok(response) if response.status == StatusCode::OK => Outcome::Done(()),
            Ok(response) if response.status == StatusCode::CONFLICT => {
                Outcome::NotDone(FailureReason::OtherBody)
            }
            Ok(response) => write_error(response.status),
            Err(error) => error.into(),
        }
    }
}

impl Listing for HttpPlatform {
    async fn list(&self) -> Result<List, ReadError> {
        let response = self.get_path("/list").await?;
        Ok(parse(&ok_body(response)?)?)
    }
}

impl From<FailureReason> for ReadError {
    fn from(reason: FailureReason) -> Self {
        Self(reason)
    }
}

/// Outcome of a write for a status that the call gives no meaning of its own.
fn write_error<T>(status: StatusCode) -> Outcome<T> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Outcome::NotDone(FailureReason::Refused),
        status => Outcome::Unknown(FailureReason::Status(status.as_u16())),
    }
}

/// Returns the body of a response with status 200, and an error for any other status.
fn ok_body(response: HttpResponse) -> Result<Bytes, FailureReason> {
    match response.status {
        StatusCode::OK => Ok(response.body),
        StatusCode::SERVICE_UNAVAILABLE => Err(FailureReason::Refused),
        status => Err(FailureReason::Status(status.as_u16())),
    }
}

/// Parses the JSON body of a complete response.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, FailureReason> {
    serde_json::from_slice(body).map_err(|error| FailureReason::Malformed(error.to_string()))
}

/// Reason for a response with the wrong number of rows.
fn row_count_mismatch(expected: usize, actual: usize) -> FailureReason {
    FailureReason::Malformed(format!("expected {expected} rows, got {actual}"))
}

/// Path of an object, or `None` if its name would need escaping; the digests used as names need none.
fn object_path(name: &str) -> Option<String> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    (!name.is_empty() && name.bytes().all(plain)).then(|| format!("/objects/{name}"))
}
