//! Socket options of all connections: to callers, upstreams and the platform.

use socket2::{
    SockRef,
    TcpKeepalive, //
};
use std::{
    io,
    os::fd::AsRawFd,
    time::Duration, //
};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe.
///
/// Without probes, a connection whose state a middlebox has lost receives nothing more and reports
/// no error, so requests on it repeatedly hang until their deadlines.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an acknowledgement after which a connection is closed: one unanswered probe if it
/// was idle. On Linux this limit decides when keepalive gives up, whatever the number of probes.
const USER_TIMEOUT: Duration = KEEPALIVE_IDLE.saturating_add(KEEPALIVE_INTERVAL);

/// Sets `TCP_NODELAY`, `TCP_USER_TIMEOUT` and keepalive on a connection.
///
/// # Errors
///
/// The connection is already closed.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    set_socket_options_with(stream, USER_TIMEOUT)
}

/// Like [`set_socket_options`], for a peer that may stop reading for up to `pause_max`. On Linux, `TCP_USER_TIMEOUT` also
/// limits the time for which the peer's window is closed.
///
/// # Errors
///
/// The connection is already closed.
pub fn set_reader_socket_options(stream: &TcpStream, pause_max: Duration) -> io::Result<()> {
    set_socket_options_with(stream, USER_TIMEOUT.saturating_add(pause_max))
}

fn set_socket_options_with(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Returns how many bytes that were written to a connection its peer has not acknowledged.
///
/// # Errors
///
/// The connection is already closed, or the system doesn't support the request.
pub fn unacknowledged_bytes(stream: &impl AsRawFd) -> io::Result<usize> {
    let mut bytes = 0;
    // SAFETY: The request writes one integer, and `bytes` outlives the call.
    #[expect(unsafe_code, reason = "no library function has this request")]
    let result = unsafe { ioctl::outq(stream.as_raw_fd(), &mut bytes) };
    result?;
    Ok(usize::try_from(bytes).unwrap_or(0))
}

mod ioctl {
    nix::ioctl_read_bad!(
        /// Reads the number of unacknowledged bytes of a socket.
        outq,
        nix::libc::TIOCOUTQ,
        nix::libc::c_int
    );
}
