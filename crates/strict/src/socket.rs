//! Socket options of all connections: to callers, upstreams and the platform.

use socket2::{
    SockRef,
    TcpKeepalive, //
};
use std::{
    io,
    time::Duration, //
};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe; with [`KEEPALIVE_INTERVAL`] added, also the limit on
/// unacknowledged data.
///
/// Without it, a connection whose state a middlebox has lost receives nothing more and reports no
/// error, so requests on it repeatedly hang until their deadlines.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets `TCP_NODELAY`, `TCP_USER_TIMEOUT` and keepalive on a connection.
///
/// # Errors
///
/// The connection is already closed.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(KEEPALIVE_IDLE + KEEPALIVE_INTERVAL))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
