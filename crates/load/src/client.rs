//! The callers' HTTP client. It rejects truncated responses, which the judge would otherwise take
//! for complete ones, and its limits are high enough not to delay open-loop requests.

use awc::Client;
use std::time::Duration;
use strict::strict_connector;

/// Upper limit of a client's connections; open-loop requests must not wait for one.
const MAX_CONNECTIONS: usize = 50_000;
/// Idle time after which a connection is not reused. It is shorter than any server's idle timeout,
/// so that no request is sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates a client with enough connections for open-loop load and no request timeout.
pub(crate) fn client() -> Client {
    let connector = strict_connector()
        .limit(MAX_CONNECTIONS)
        .conn_keep_alive(IDLE_TIMEOUT)
        .timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}
