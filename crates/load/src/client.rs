//! The HTTP client of callers: strict, so that the judge is not misled by a short answer, and
//! without limits that would make open loop wait.

use awc::Client;
use std::time::Duration;
use strict::strict_connector;

/// Connections that a client may have at a time; open loop must not wait for one.
const MOST_CONNECTIONS: usize = 50_000;
/// Idle time after which a connection is not used again; shorter than any server's, so that no
/// request is sent while the other end closes it for being idle.
const IDLE: Duration = Duration::from_secs(2);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client with connections enough for open loop, and without time limits of its own.
pub(crate) fn client() -> Client {
    let connector = strict_connector()
        .limit(MOST_CONNECTIONS)
        .conn_keep_alive(IDLE)
        .timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}
