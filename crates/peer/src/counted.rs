//! A TCP stream that counts its bytes.

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

/// Stream with the counters of its mesh.
pub(crate) struct Counted {
    /// The stream.
    stream: TcpStream,
    /// Where its bytes are counted.
    counters: Arc<Counters>,
}

impl Counted {
    /// Counts the bytes of `stream`, and turns off the kernel's gathering of small writes: a beat
    /// or a pong that waits 40 ms for an acknowledgement would spoil the measured round trip.
    pub(crate) fn new(stream: TcpStream, counters: &Arc<Counters>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            counters: counters.clone(),
        })
    }
}

impl AsyncRead for Counted {
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

impl AsyncWrite for Counted {
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
