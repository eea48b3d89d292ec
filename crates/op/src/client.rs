//! Client of the operators' port, which tries daemons in turn.

use crate::{
    Accepted,
    Change,
    Daemon,
    Failure,
    Instances,
    Refusal, //
};
use awc::{
    error::{
        ConnectError,
        SendRequestError, //
    },
    http::header::AUTHORIZATION,
    ClientRequest, //
};
use bytes::Bytes;
use futures_util::future::join_all;
use member::LeaseState;
use serde::de::DeserializeOwned;
use std::{
    fmt,
    time::Duration, //
};
use strict::strict_connector;

/// Size limit of a response; the largest is a configuration with its block table.
const RESPONSE_LIMIT_BYTES: usize = 256 << 20;

/// Result of one request to one daemon.
enum Exchange {
    /// The daemon responded with this status and body.
    Response(u16, Bytes),
    /// The request was not sent.
    NotSent(String),
    /// The request may have reached the daemon.
    MaybeSent(String),
}

/// Client of the configured daemons.
pub struct Client {
    daemons: Vec<String>,
    key: Option<String>,
    timeout: Duration,
    http: awc::Client,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("daemons", &self.daemons)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client that uses the first of `daemons` that responds, each within `timeout`.
    ///
    /// Has to run inside an actix system.
    pub fn new(daemons: Vec<String>, key: Option<String>, timeout: Duration) -> Self {
        let http = awc::Client::builder()
            .connector(strict_connector().timeout(timeout))
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            daemons,
            key,
            timeout,
            http,
        }
    }

    /// Reads `path` from the first daemon that responds.
    ///
    /// # Errors
    ///
    /// The first refusal, or that no daemon responded.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let mut tried = Vec::new();
        for daemon in &self.daemons {
            match self.get_from(daemon, path).await {
                Err(Failure::NoResponse { tried: reasons }) => tried.extend(reasons),
                result => return result,
            }
        }
        Err(Failure::NoResponse { tried })
    }

    /// Reads `path` from one daemon.
    ///
    /// # Errors
    ///
    /// Its refusal, or that it didn't respond.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        daemon: &str,
        path: &str,
    ) -> Result<T, Failure> {
        let request = self.http.get(format!("http://{daemon}{path}"));
        let no_response = |reason| Failure::NoResponse {
            tried: vec![format!("{daemon}: {reason}")],
        };
        match self.exchange(request, Bytes::new()).await {
            Exchange::Response(status, body) => match parse_response(status, &body) {
                Ok(result) => result.map_err(|refusal| refused(daemon, refusal)),
                Err(reason) => Err(no_response(reason)),
            },
            Exchange::NotSent(reason) | Exchange::MaybeSent(reason) => Err(no_response(reason)),
        }
    }

    /// The daemons that this client is configured with.
    pub fn configured_daemons(&self) -> Vec<Daemon> {
        let to_daemon = |addr: &String| Daemon {
            addr: addr.clone(),
            instance: None,
        };
        self.daemons.iter().map(to_daemon).collect()
    }

    /// All known daemons: those that the first one to respond knows and that have not left, and
    /// those that this client is configured with.
    ///
    /// # Errors
    ///
    /// When no daemon responded.
    pub async fn known_daemons(&self) -> Result<Vec<Daemon>, Failure> {
        let view: Instances = self.get("/op/v1/instances").await?;
        let present = view.instances.into_iter();
        let present = present.filter(|instance| instance.state != LeaseState::Left);
        let mut daemons: Vec<Daemon> = present
            .map(|instance| Daemon {
                addr: instance.operator_addr.to_string(),
                instance: Some(instance.instance),
            })
            .collect();
        for configured in self.configured_daemons() {
            if daemons.iter().all(|daemon| daemon.addr != configured.addr) {
                daemons.push(configured);
            }
        }
        Ok(daemons)
    }

    /// Reads `path` from all `daemons` concurrently; the results are in their order.
    pub async fn get_from_each<T: DeserializeOwned>(
        &self,
        daemons: &[Daemon],
        path: &str,
    ) -> Vec<Result<T, Failure>> {
        let queried = daemons.iter();
        join_all(queried.map(|daemon| self.get_from(&daemon.addr, path))).await
    }

    /// Requests a change, and repeats it at the next daemon if a response was lost.
    ///
    /// # Errors
    ///
    /// A definite refusal, that no daemon responded, or that the outcome is unknown.
    pub async fn change<C: Change>(&self, change: &C) -> Result<Accepted, Failure> {
        let (content_type, body) = change.to_body();
        let mut tried = Vec::new();
        let mut in_doubt = false;
        for daemon in &self.daemons {
            let request = self
                .http
                .post(format!("http://{daemon}{}", C::PATH))
                .content_type(content_type);
            let reason = match self.exchange(request, body.clone()).await {
                Exchange::Response(status, body) => match parse_response::<Accepted>(status, &body)
                {
                    Ok(Ok(accepted)) => return Ok(accepted),
                    Ok(Err(refusal)) if is_final(&refusal, in_doubt, change) => {
                        return Err(refused(daemon, refusal));
                    }
                    Ok(Err(refusal)) => {
                        tried.push(format!("{daemon}: {refusal}"));
                        return Err(Failure::Unknown { tried });
                    }
                    Err(reason) => {
                        // A daemon that lacks the request changed nothing, whichever its release.
                        in_doubt |= !is_unknown_request(status);
                        reason
                    }
                },
                Exchange::NotSent(reason) => reason,
                Exchange::MaybeSent(reason) => {
                    in_doubt = true;
                    reason
                }
            };
            tried.push(format!("{daemon}: {reason}"));
        }
        Err(if in_doubt {
            Failure::Unknown { tried }
        } else {
            Failure::NoResponse { tried }
        })
    }

    async fn exchange(&self, request: ClientRequest, body: Bytes) -> Exchange {
        let request = match &self.key {
            Some(key) => request.insert_header((AUTHORIZATION, format!("Bearer {key}"))),
            None => request,
        };
        let exchange = async {
            let mut response = match request.send_body(body).await {
                Ok(response) => response,
                Err(error) => return classify_send_error(&error),
            };
            match response.body().limit(RESPONSE_LIMIT_BYTES).await {
                Ok(body) => Exchange::Response(response.status().as_u16(), body),
                Err(error) => Exchange::MaybeSent(error.to_string()),
            }
        };
        match actix_rt::time::timeout(self.timeout, exchange).await {
            Ok(exchange) => exchange,
            Err(_elapsed) => {
                Exchange::MaybeSent(format!("no answer within {} s", self.timeout.as_secs_f32()))
            }
        }
    }
}

/// Whether a refusal settles the outcome of a change.
fn is_final(refusal: &Refusal, in_doubt: bool, change: &impl Change) -> bool {
    match refusal {
        Refusal::Unknown { .. } => false,
        Refusal::Raced { .. } => !in_doubt || change.raced_is_final(),
        Refusal::Reused { .. } => true,
        // These state that this request changed nothing, but not the outcome of earlier ones.
        _ => !in_doubt,
    }
}

/// Whether a status means that the daemon does not have this request.
fn is_unknown_request(status: u16) -> bool {
    matches!(status, 404 | 405)
}

fn refused(daemon: &str, refusal: Refusal) -> Failure {
    Failure::Refused {
        daemon: daemon.to_owned(),
        refusal,
    }
}

/// Parses a response: the requested value, or a refusal.
///
/// # Errors
///
/// When it is neither, for example from a daemon of another release.
fn parse_response<T: DeserializeOwned>(
    status: u16,
    body: &[u8],
) -> Result<Result<T, Refusal>, String> {
    let malformed = |error: serde_json::Error| {
        format!("an answer of status {status} that can't be read, of another release? ({error})")
    };
    if status == 200 {
        return serde_json::from_slice(body).map(Ok).map_err(malformed);
    }
    serde_json::from_slice(body).map(Err).map_err(malformed)
}

/// Classifies a send error by whether the request may have been sent.
///
/// See `plat` for the reason that `Disconnected` counts as sent.
fn classify_send_error(error: &SendRequestError) -> Exchange {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            Exchange::MaybeSent("the connection closed before an answer".to_owned())
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            Exchange::NotSent(error.to_string())
        }
        _ => Exchange::MaybeSent(error.to_string()),
    }
}
