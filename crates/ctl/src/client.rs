//! Requests to the operators' port of a daemon.

use awc::{
    error::SendRequestError,
    http::StatusCode, //
};
use serde_json::Value;
use std::{
    fmt,
    time::Duration, //
};

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Why a command was not done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The system refused; nothing changed.
    Refused(String),
    /// The input is wrong; nothing was sent.
    BadInput(String),
    /// It may have been done.
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(text) | Self::BadInput(text) | Self::Unknown(text) => f.write_str(text),
        }
    }
}

/// Client of the daemons that were named.
pub(crate) struct Client {
    daemons: Vec<String>,
    http: awc::Client,
}

impl Client {
    /// Client that uses the first of `daemons` that answers.
    pub(crate) fn new(daemons: Vec<String>) -> Self {
        let http = awc::Client::builder().timeout(TIMEOUT).finish();
        Self { daemons, http }
    }

    /// Reads `path`.
    pub(crate) async fn get(&self, path: &str) -> Result<String, Failure> {
        self.ask(path, None).await
    }

    /// Posts `body` to `path`.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<String, Failure> {
        self.ask(path, Some(body)).await
    }

    async fn ask(&self, path: &str, body: Option<&Value>) -> Result<String, Failure> {
        let mut unreachable = vec!["no daemon answered".to_string()];
        for daemon in &self.daemons {
            let url = format!("http://{daemon}{path}");
            let sent = match body {
                Some(body) => self.http.post(&url).send_json(body).await,
                None => self.http.get(&url).send().await,
            };
            let mut answer = match sent {
                Ok(answer) => answer,
                Err(SendRequestError::Connect(err)) => {
                    unreachable.push(format!("{daemon}: {err}"));
                    continue;
                }
                Err(err) => return Err(Failure::Unknown(format!("{daemon}: {err}"))),
            };
            let status = answer.status();
            let text = answer
                .body()
                .await
                .map_err(|err| Failure::Unknown(format!("{daemon}: {err}")))?;
            let text = String::from_utf8_lossy(&text).into_owned();
            return match status {
                status if status.is_success() => Ok(text),
                StatusCode::UNPROCESSABLE_ENTITY | StatusCode::BAD_REQUEST => {
                    Err(Failure::BadInput(text))
                }
                _ => Err(Failure::Refused(text)),
            };
        }
        Err(Failure::Refused(unreachable.join("\n")))
    }
}
