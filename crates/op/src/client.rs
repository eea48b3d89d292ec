//! The client that tries daemons in turn.

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

/// Longest answer that is read: a configuration with its block table.
const ANSWER_LIMIT_BYTES: usize = 256 << 20;

/// What became of one request to one daemon.
enum Exchange {
    /// It answered.
    Answer(u16, Bytes),
    /// Nothing was sent.
    NotSent(String),
    /// It may have reached the daemon.
    MaybeSent(String),
}

/// Client of the daemons that were named.
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
    /// Client that uses the first of `daemons` that answers, each within `timeout`.
    ///
    /// To be used inside an actix system.
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

    /// Reads `path` from the first daemon that answers.
    ///
    /// # Errors
    ///
    /// The first refusal, or that no daemon answered.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let mut tried = Vec::new();
        for daemon in &self.daemons {
            match self.get_from(daemon, path).await {
                Err(Failure::NoAnswer { tried: why }) => tried.extend(why),
                answered => return answered,
            }
        }
        Err(Failure::NoAnswer { tried })
    }

    /// Reads `path` from one daemon.
    ///
    /// # Errors
    ///
    /// Its refusal, or that it didn't answer.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        daemon: &str,
        path: &str,
    ) -> Result<T, Failure> {
        let request = self.http.get(format!("http://{daemon}{path}"));
        let no_answer = |why| Failure::NoAnswer {
            tried: vec![format!("{daemon}: {why}")],
        };
        match self.exchange(request, Bytes::new()).await {
            Exchange::Answer(status, body) => match read(status, &body) {
                Ok(answer) => answer.map_err(|refusal| refused(daemon, refusal)),
                Err(why) => Err(no_answer(why)),
            },
            Exchange::NotSent(why) | Exchange::MaybeSent(why) => Err(no_answer(why)),
        }
    }

    /// The daemons that this client was given.
    pub fn given_daemons(&self) -> Vec<Daemon> {
        let to_daemon = |addr: &String| Daemon {
            addr: addr.clone(),
            instance: None,
        };
        self.daemons.iter().map(to_daemon).collect()
    }

    /// All daemons that are known: those that the first one to answer knows and that have not left,
    /// and those that this client was given.
    ///
    /// # Errors
    ///
    /// When no daemon answered.
    pub async fn known_daemons(&self) -> Result<Vec<Daemon>, Failure> {
        let known: Instances = self.get("/op/v1/instances").await?;
        let present = known.instances.into_iter();
        let present = present.filter(|instance| instance.state != LeaseState::Left);
        let mut daemons: Vec<Daemon> = present
            .map(|instance| Daemon {
                addr: instance.operator_addr.to_string(),
                instance: Some(instance.instance),
            })
            .collect();
        for given in self.given_daemons() {
            if daemons.iter().all(|daemon| daemon.addr != given.addr) {
                daemons.push(given);
            }
        }
        Ok(daemons)
    }

    /// Reads `path` from each of `daemons` at once, answers in their order.
    pub async fn get_from_each<T: DeserializeOwned>(
        &self,
        daemons: &[Daemon],
        path: &str,
    ) -> Vec<Result<T, Failure>> {
        let asked = daemons.iter();
        join_all(asked.map(|daemon| self.get_from(&daemon.addr, path))).await
    }

    /// Asks for a change, and repeats it at the next daemon when an answer was lost.
    ///
    /// # Errors
    ///
    /// A refusal that is certain, or that the outcome is unknown.
    pub async fn change<C: Change>(&self, change: &C) -> Result<Accepted, Failure> {
        let (content_type, body) = change.to_body();
        let mut tried = Vec::new();
        let mut in_doubt = false;
        for daemon in &self.daemons {
            let request = self
                .http
                .post(format!("http://{daemon}{}", C::PATH))
                .content_type(content_type);
            let why = match self.exchange(request, body.clone()).await {
                Exchange::Answer(status, body) => match read::<Accepted>(status, &body) {
                    Ok(Ok(accepted)) => return Ok(accepted),
                    Ok(Err(refusal)) if is_final(&refusal, in_doubt, change) => {
                        return Err(refused(daemon, refusal));
                    }
                    Ok(Err(refusal)) => {
                        tried.push(format!("{daemon}: {refusal}"));
                        return Err(Failure::Unknown { tried });
                    }
                    Err(why) => {
                        // Whoever has no such request did nothing, whatever its release.
                        in_doubt |= !is_unknown_request(status);
                        why
                    }
                },
                Exchange::NotSent(why) => why,
                Exchange::MaybeSent(why) => {
                    in_doubt = true;
                    why
                }
            };
            tried.push(format!("{daemon}: {why}"));
        }
        Err(if in_doubt {
            Failure::Unknown { tried }
        } else {
            Failure::NoAnswer { tried }
        })
    }

    async fn exchange(&self, request: ClientRequest, body: Bytes) -> Exchange {
        let request = match &self.key {
            Some(key) => request.insert_header((AUTHORIZATION, format!("Bearer {key}"))),
            None => request,
        };
        let exchange = async {
            let mut answer = match request.send_body(body).await {
                Ok(answer) => answer,
                Err(error) => return unanswered(&error),
            };
            match answer.body().limit(ANSWER_LIMIT_BYTES).await {
                Ok(body) => Exchange::Answer(answer.status().as_u16(), body),
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

/// Whether a refusal settles what became of a change.
fn is_final(refusal: &Refusal, in_doubt: bool, change: &impl Change) -> bool {
    match refusal {
        Refusal::Unknown { .. } => false,
        Refusal::Raced { .. } => !in_doubt || change.raced_is_final(),
        Refusal::Reused { .. } => true,
        // They say that this request changed nothing, not what became of the one before.
        _ => !in_doubt,
    }
}

/// Whether a status says that there is no such request.
fn is_unknown_request(status: u16) -> bool {
    matches!(status, 404 | 405)
}

fn refused(daemon: &str, refusal: Refusal) -> Failure {
    Failure::Refused {
        daemon: daemon.to_owned(),
        refusal,
    }
}

/// Reads an answer: what was asked for, or a refusal.
///
/// # Errors
///
/// When it is neither, as from a daemon of another release.
fn read<T: DeserializeOwned>(status: u16, body: &[u8]) -> Result<Result<T, Refusal>, String> {
    let malformed = |error: serde_json::Error| {
        format!("an answer of status {status} that can't be read, of another release? ({error})")
    };
    if status == 200 {
        return serde_json::from_slice(body).map(Ok).map_err(malformed);
    }
    serde_json::from_slice(body).map(Err).map_err(malformed)
}

/// Sorts the client's errors by whether something was sent; see `plat` for the odd one.
fn unanswered(error: &SendRequestError) -> Exchange {
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
