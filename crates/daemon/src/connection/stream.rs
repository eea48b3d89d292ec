//! The stream under the HTTP library: buffers the end of a response until the library's poll ends.
//!
//! The library writes the refusal of a malformed head itself and reports it only afterwards, by the
//! error that ends the connection. The last bytes written are then that refusal, a head without a
//! body, and headers can still be inserted before its empty line. This needs no parsing.

use bytes::{
    Buf,
    BytesMut, //
};
use std::{
    cell::RefCell,
    io::{
        self,
        IoSlice, //
    },
    pin::Pin,
    rc::Rc,
    task::{
        ready,
        Context,
        Poll, //
    },
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Size of the buffer. It holds a short response whole, which is still sent in one write.
const BUFFER_BYTES_MAX: usize = 8 * 1024;
/// Bytes of a longer write that are buffered: more than any refusal that the library writes.
const TAIL_BYTES: usize = 512;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Empty line that ends a head.
const EMPTY_LINE: &[u8] = b"\r\n";

/// A caller's connection with a write buffer.
///
/// Invariant: the buffered bytes follow all bytes already written to the stream.
pub(super) struct CallerStream {
    stream: TcpStream,
    buffer: BytesMut,
    is_shut_down: bool,
    peer_closed: bool,
    response_pending: bool,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            is_shut_down: false,
            peer_closed: false,
            response_pending: false,
        }
    }

    /// Whether the sending side has been shut down.
    pub(super) fn is_shut_down(&self) -> bool {
        self.is_shut_down
    }

    /// Whether the peer has closed its sending side and all bytes were read.
    pub(super) fn peer_closed(&self) -> bool {
        self.peer_closed
    }

    /// Whether a request has no response yet.
    pub(super) fn response_pending(&self) -> bool {
        self.response_pending
    }

    /// Sets whether a request has no response yet.
    pub(super) fn set_response_pending(&mut self, pending: bool) {
        self.response_pending = pending;
    }

    /// Buffer of the bytes to be sent.
    pub(super) fn buffer_mut(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Sends the buffered bytes.
    pub(super) fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.buffer.is_empty() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.buffer))?;
            if sent == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.buffer.advance(sent);
        }
        Poll::Ready(Ok(()))
    }

    /// Inserts header lines into the head at the end of the buffer; `false` if there is none.
    pub(super) fn add_headers(&mut self, lines: &str) -> bool {
        if !self.buffer.ends_with(HEAD_END) {
            return false;
        }
        self.buffer.truncate(self.buffer.len() - EMPTY_LINE.len());
        self.buffer.extend_from_slice(lines.as_bytes());
        self.buffer.extend_from_slice(EMPTY_LINE);
        true
    }

    /// Sends the buffered bytes and shuts the sending side down.
    pub(super) fn poll_shutdown_write(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_shut_down = true;
        ready!(self.poll_send(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    /// Reads and discards bytes until the peer has closed its sending side.
    pub(super) fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [0; BUFFER_BYTES_MAX];
        loop {
            let mut buf = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.peer_closed = buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(Ok(()))
    }

    fn poll_write(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.buffer.len() + buf.len() <= BUFFER_BYTES_MAX {
            self.buffer.extend_from_slice(buf);
            return Poll::Ready(Ok(buf.len()));
        }
        if buf.len() <= BUFFER_BYTES_MAX {
            ready!(self.poll_send(cx))?;
            self.buffer.extend_from_slice(buf);
            return Poll::Ready(Ok(buf.len()));
        }
        let direct = &buf[..buf.len() - TAIL_BYTES];
        loop {
            let slices = [IoSlice::new(&self.buffer), IoSlice::new(direct)];
            let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, &slices))?;
            let of_buffer = sent.min(self.buffer.len());
            self.buffer.advance(of_buffer);
            // The library treats a write of zero bytes as an error.
            if sent == 0 || sent > of_buffer {
                return Poll::Ready(Ok(sent - of_buffer));
            }
        }
    }
}

/// Shared handle through which the library uses the stream.
pub(super) struct SharedStream(pub(super) Rc<RefCell<CallerStream>>);

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.borrow_mut().poll_write(cx, buf)
    }

    /// Does nothing: the buffered bytes are sent when the library's poll has returned.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_shutdown_write(cx)
    }
}
