//! Requests of a test, one at a time.

use awc::{
    http::Method,
    Client, //
};
use serde_json::Value;
use std::time::Duration;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Status and body of an answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status; 0 when there was no answer.
    pub status: u16,
    /// Body as JSON; null when it is none, text when it is no JSON.
    pub body: Value,
}

/// Asks and waits.
pub(crate) fn ask(method: Method, addr: &str, path: &str, body: Option<&Value>) -> Reply {
    let url = format!("http://{addr}{path}");
    actix_rt::System::new().block_on(async move {
        let client = Client::builder().timeout(TIMEOUT).finish();
        let request = client.request(method, url);
        let sent = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        match sent {
            Ok(mut answer) => {
                let bytes = answer.body().await.unwrap_or_default();
                let text = || Value::String(String::from_utf8_lossy(&bytes).into_owned());
                Reply {
                    status: answer.status().as_u16(),
                    body: serde_json::from_slice(&bytes).unwrap_or_else(|_| text()),
                }
            }
            Err(error) => Reply {
                status: 0,
                body: Value::String(error.to_string()),
            },
        }
    })
}
