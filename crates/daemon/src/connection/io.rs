//! A stream whose end is an error.
//!
//! What goes wrong without it: an upstream dies in the middle of an answer, the HTTP client reads
//! the end of the stream and, for a chunked answer, reports a finished body. The caller would get
//! a short answer as a whole one. A whole HTTP/1.1 answer never needs the end of the stream to be
//! read, so here the end turns into [`io::ErrorKind::UnexpectedEof`] and the client's body stream
//! fails instead. An answer delimited only by the end of the connection can't be told from a
//! short one and is refused for the same reason.

use actix_rt::net::{
    ActixStream,
    Ready,
    TcpStream, //
};
use std::{
    io,
    pin::Pin,
    task::{
        ready,
        Context,
        Poll, //
    },
};
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

/// TCP stream that fails where a plain one would end.
#[derive(Debug)]
pub(crate) struct NoEof(pub(crate) TcpStream);

impl AsyncRead for NoEof {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        let ended = buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(if ended {
            Err(io::ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        })
    }
}

impl AsyncWrite for NoEof {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

impl ActixStream for NoEof {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
