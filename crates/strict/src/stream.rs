//! TCP stream that reports end of file and invalid heads of responses as errors, and its awc connectors.

use crate::{
    head::HeadChecker,
    socket::set_socket_options,
    ClosingConnections, //
};
use actix_rt::net::{
    ActixStream,
    Ready,
    TcpStream, //
};
use actix_service::{
    Service,
    ServiceExt, //
};
use actix_tls::connect::{
    ConnectError,
    ConnectInfo,
    Connection,
    Connector as TcpConnector, //
};
use awc::{
    http::Uri,
    Connector, //
};
use std::{
    io,
    pin::Pin,
    task::{
        ready,
        Context,
        Poll, //
    }, //
};
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

/// TCP stream of a client that reports end of file and invalid heads of responses as errors.
#[derive(Debug)]
pub struct StrictStream {
    /// `None` only once the stream is being dropped.
    tcp: Option<TcpStream>,
    /// Tracks the connection after the drop until the peer has closed it.
    closing: Option<ClosingConnections>,
    heads: HeadChecker,
}

impl StrictStream {
    fn tcp(&self) -> &TcpStream {
        self.tcp.as_ref().expect("the stream isn't dropped")
    }

    fn tcp_mut(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.tcp.as_mut().expect("the stream isn't dropped"))
    }
}

impl Drop for StrictStream {
    fn drop(&mut self) {
        if let (Some(tcp), Some(closing)) = (self.tcp.take(), &self.closing) {
            closing.close(tcp);
        }
    }
}

/// Creates the connector for awc clients, which turns a connection closed during a response into an error.
///
/// The response body yields the error, or the request does if no response head has arrived. Connections set
/// `TCP_NODELAY`: a small request on an established connection must not wait for the peer's delayed
/// acknowledgement.
pub fn strict_connector() -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictStream>, Error = ConnectError>
        + Clone,
> {
    connector(None)
}

/// Like [`strict_connector`], with dropped connections tracked by `closing`.
pub fn tracking_connector(
    closing: ClosingConnections,
) -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictStream>, Error = ConnectError>
        + Clone,
> {
    connector(Some(closing))
}

fn connector(
    closing: Option<ClosingConnections>,
) -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictStream>, Error = ConnectError>
        + Clone,
> {
    let tcp = TcpConnector::default().service();
    let strict = tcp.map(move |connection: Connection<Uri, TcpStream>| {
        let (tcp, connection) = connection.replace_io(());
        // If the connection is already closed, its first use reports the error.
        let _ = set_socket_options(&tcp);
        let stream = StrictStream {
            tcp: Some(tcp),
            closing: closing.clone(),
            heads: HeadChecker::default(),
        };
        connection.replace_io(stream).1
    });
    Connector::new().connector(strict)
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.tcp_mut().poll_read(cx, buf))?;
        let read = &buf.filled()[before..];
        if read.is_empty() && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        let checked = self.heads.check(read);
        Poll::Ready(checked.map_err(|invalid| io::Error::new(io::ErrorKind::InvalidData, invalid)))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.heads.note_written(buf);
        self.tcp_mut().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tcp_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tcp_mut().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.heads.note_written(bufs.first().map_or(&[], |buf| buf));
        self.tcp_mut().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp().is_write_vectored()
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        // Fully qualified because the stream has an inherent method of this name with another result type.
        ActixStream::poll_read_ready(self.tcp(), cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(self.tcp(), cx)
    }
}
