//! The stream under the HTTP library: keeps an answer's end back until the library has said how its
//! turn ended.
//!
//! The library writes the refusal of a malformed head by itself and says so only afterwards, by the
//! error that ends the connection. What it wrote last is then that refusal, a head without a body,
//! and headers can still be put before its empty line. Nothing is parsed for this.

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

/// Most bytes that are kept back; a short answer is held whole and still sent at once.
const HELD_BYTES_MAX: usize = 8 * 1024;
/// End of a longer write that is kept back: longer than any refusal of the library's own.
const TAIL_BYTES: usize = 512;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Line that closes a head.
const EMPTY_LINE: &[u8] = b"\r\n";

/// One end of a connection, with the bytes that are kept back.
///
/// Invariant: what is kept back follows all that the stream was given.
pub(super) struct Wire {
    stream: TcpStream,
    held: BytesMut,
    ended: bool,
    other_ended: bool,
    awaited: bool,
}

impl Wire {
    /// Takes the stream over.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            held: BytesMut::new(),
            ended: false,
            other_ended: false,
            awaited: false,
        }
    }

    /// Whether the sending side has been ended.
    pub(super) fn ended(&self) -> bool {
        self.ended
    }

    /// Whether the other end has been read to its end.
    pub(super) fn other_ended(&self) -> bool {
        self.other_ended
    }

    /// Whether a request has no answer yet.
    pub(super) fn awaited(&self) -> bool {
        self.awaited
    }

    /// Notes that a request waits for its answer, or does no longer.
    pub(super) fn set_awaited(&mut self, awaited: bool) {
        self.awaited = awaited;
    }

    /// Where to put what is to be sent.
    pub(super) fn held(&mut self) -> &mut BytesMut {
        &mut self.held
    }

    /// Sends what is kept back.
    pub(super) fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.held.is_empty() {
            let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.held))?;
            if sent == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.held.advance(sent);
        }
        Poll::Ready(Ok(()))
    }

    /// Puts header lines into the head that is kept back; `false` if none is.
    pub(super) fn add_headers(&mut self, lines: &str) -> bool {
        if !self.held.ends_with(HEAD_END) {
            return false;
        }
        self.held.truncate(self.held.len() - EMPTY_LINE.len());
        self.held.extend_from_slice(lines.as_bytes());
        self.held.extend_from_slice(EMPTY_LINE);
        true
    }

    /// Ends the sending side.
    pub(super) fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.ended = true;
        ready!(self.poll_send(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    /// Reads without looking, until the other end has ended.
    pub(super) fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut space = [0; HELD_BYTES_MAX];
        loop {
            let mut buf = ReadBuf::new(&mut space);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.other_ended = buf.filled().len() == before && buf.remaining() > 0;
        Poll::Ready(Ok(()))
    }

    fn poll_write(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.held.len() + buf.len() <= HELD_BYTES_MAX {
            self.held.extend_from_slice(buf);
            return Poll::Ready(Ok(buf.len()));
        }
        if buf.len() <= HELD_BYTES_MAX {
            ready!(self.poll_send(cx))?;
            self.held.extend_from_slice(buf);
            return Poll::Ready(Ok(buf.len()));
        }
        let direct = &buf[..buf.len() - TAIL_BYTES];
        loop {
            let slices = [IoSlice::new(&self.held), IoSlice::new(direct)];
            let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, &slices))?;
            let of_held = sent.min(self.held.len());
            self.held.advance(of_held);
            // Nothing sent at all is for the library to take for an error.
            if sent == 0 || sent > of_held {
                return Poll::Ready(Ok(sent - of_held));
            }
        }
    }
}

/// The library's hold on the stream.
pub(super) struct Held(pub(super) Rc<RefCell<Wire>>);

impl AsyncRead for Held {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(cx, buf)
    }
}

impl AsyncWrite for Held {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.borrow_mut().poll_write(cx, buf)
    }

    /// Does nothing: what is kept back goes out when the library's turn has ended.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_end(cx)
    }
}
