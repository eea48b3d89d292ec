//! TCP stream that counts the bytes it transfers.

use crate::counters::Counters;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    }, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

/// TCP stream that adds to the byte counters of its mesh.
pub(crate) struct CountingStream {
    /// The stream.
    stream: TcpStream,
    /// Counters of the mesh.
    counters: Arc<Counters>,
}

impl CountingStream {
    /// Wraps `stream` and disables Nagle's algorithm: a heartbeat or pong that is held back for
    /// 40 ms until an acknowledgement arrives would distort the measured round trip.
    pub(crate) fn new(stream: TcpStream, counters: &Arc<Counters>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            counters: counters.clone(),
        })
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        self.counters.received_bytes.add(read as u64);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.counters.sent_bytes.add(*written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
