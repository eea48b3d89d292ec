//! Blocking HTTP requests of a test.

use awc::{
    http::Method,
    Client, //
};
use serde_json::Value;
use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    time::Duration, //
};

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Status and body of a response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status; 0 without a response.
    pub status: u16,
    /// Body as JSON; a string with its text, or with the error, if it is not JSON.
    pub body: Value,
}

/// Sends `request` verbatim on a new connection. Returns the response's status, 0 without one, and
/// its whole text.
pub fn send_raw(addr: &str, request: &str) -> (u16, String) {
    let mut response = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(addr) {
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a timeout can be set");
        // A daemon that refuses early may close before all is written; its response still counts.
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read_to_end(&mut response);
    }
    let text = String::from_utf8_lossy(&response).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    (status.unwrap_or(0), text)
}

/// Sends a request and waits for the response.
pub(crate) fn send(method: Method, addr: &str, path: &str, body: Option<&Value>) -> Response {
    send_with_key(method, addr, path, body, None)
}

/// Sends a request with the operators' key, if any, and waits for the response.
pub(crate) fn send_with_key(
    method: Method,
    addr: &str,
    path: &str,
    body: Option<&Value>,
    key: Option<&str>,
) -> Response {
    let url = format!("http://{addr}{path}");
    actix_rt::System::new().block_on(async move {
        let client = Client::builder().timeout(TIMEOUT).finish();
        let mut request = client.request(method, url);
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        let result = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        match result {
            Ok(mut response) => {
                let bytes = response.body().await.unwrap_or_default();
                let text = || Value::String(String::from_utf8_lossy(&bytes).into_owned());
                Response {
                    status: response.status().as_u16(),
                    body: serde_json::from_slice(&bytes).unwrap_or_else(|_| text()),
                }
            }
            Err(error) => Response {
                status: 0,
                body: Value::String(error.to_string()),
            },
        }
    })
}
