//! Write half of a caller's connection.

use crate::{
    caller::{
        ConnectionState,
        Handler,
        Refusal, //
    },
    message::{
        BodyPart, //
        CallerResponse,
        ResponseBody,
    },
    wire::{
        encode_chunk,
        put_response_head,
        Framing, //
        COPIED_BODY_BYTES_MAX,
    },
};
use actix_http::StatusCode;
use bytes::{
    Bytes,
    BytesMut, //
};
use std::{
    any::Any,
    cell::Cell,
    future::Future,
    io,
    rc::Rc,
    time::Duration, //
};
use strict::unacknowledged_bytes;
use tokio::{
    io::AsyncWriteExt,
    net::{
        tcp::OwnedWriteHalf,
        TcpStream, //
    },
    sync::mpsc::{
        channel,
        Receiver,
        UnboundedReceiver, //
    },
    task::JoinHandle,
    time::timeout,
};

/// Longest time for which a write of a response may make no progress.
pub(crate) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest body that is collected before it is written because further responses wait behind it.
const COLLECTED_BODY_BYTES_MAX: usize = 8 << 20;

/// Response to a request, available or still being produced; dropping it cancels the request.
pub(crate) enum ResponseTask {
    Ready(Box<CallerResponse>),
    Running(AbortOnDrop),
}

/// Task that produces the response to one request, aborted on drop.
pub(crate) struct AbortOnDrop(JoinHandle<CallerResponse>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ResponseTask {
    pub(crate) fn start(response: impl Future<Output = CallerResponse> + 'static) -> Self {
        Self::Running(AbortOnDrop(actix_rt::spawn(response)))
    }
}

/// A response in the order in which the responses of a connection are written.
pub(crate) struct QueuedResponse {
    pub(crate) task: ResponseTask,
    pub(crate) head_only: bool,
    pub(crate) close: bool,
    /// Set once the request's body has been read completely.
    pub(crate) body_read: Rc<Cell<bool>>,
}

/// A connection after its last response, which the caller may not have received yet.
pub(crate) struct Written {
    write_half: OwnedWriteHalf,
    /// Whether a response broke off, so that closing the connection resets it.
    pub(crate) is_broken: bool,
    /// Guard of the last response. A planned stop waits for it, and so until the caller has received that response.
    _guard: Option<Box<dyn Any>>,
}

impl Written {
    /// Returns how many bytes the caller has not acknowledged; 0 if that isn't known.
    pub(crate) fn unacknowledged_bytes(&self) -> usize {
        let stream: &TcpStream = self.write_half.as_ref();
        unacknowledged_bytes(stream).unwrap_or(0)
    }
}

/// Writes the responses in order until one closes the connection, which is then shut down for
/// writing.
pub(crate) async fn write_responses<H: Handler>(
    mut write_half: OwnedWriteHalf,
    mut queue: UnboundedReceiver<QueuedResponse>,
    handler: Rc<H>,
    state: Rc<ConnectionState>,
) -> Written {
    let mut last_guard = None;
    let mut is_broken = false;
    while let Some(queued) = queue.recv().await {
        let mut response = match queued.task {
            ResponseTask::Ready(response) => *response,
            ResponseTask::Running(mut running) => match (&mut running.0).await {
                Ok(response) => response,
                Err(_panicked) => handler.refuse(Refusal::Internal),
            },
        };
        // A caller may close its end as soon as it reads that the connection closes, which would cut off a long response.
        // A planned stop therefore waits for a later response, or for the end of the process.
        let is_long = matches!(response.body, ResponseBody::Stream { .. });
        if is_long && !queue.is_empty() {
            response = collect_body(response).await;
        }
        let stops = handler.is_stopping() && !is_long;
        // The unread rest of a request's body would be parsed as the next request.
        if queued.close || response.close || stops || !queued.body_read.get() {
            state.closing.set(true);
        }
        // Callers take requests behind a response that closes the connection as not processed, so the last response to a
        // request that was started closes it. None is started from here on.
        let close = state.closing.get() && queue.is_empty();
        let guard = response.guard.take();
        let is_streamed = matches!(response.body, ResponseBody::Stream { .. });
        state.is_streaming.set(is_streamed);
        let written = write_response(&mut write_half, response, queued.head_only, close).await;
        state.is_streaming.set(false);
        if close {
            last_guard = guard;
        }
        state.in_flight.set(state.in_flight.get() - 1);
        state.response_written.notify_one();
        match written {
            Ok(()) if !close => {}
            Ok(()) => break,
            // A truncated response must not look complete: the connection is reset, not shut down.
            Err(_incomplete) => {
                reset_on_close(&write_half);
                is_broken = true;
                break;
            }
        }
    }
    state.closing.set(true);
    if !is_broken {
        // Fails if the caller closed the connection first.
        let _ = write_half.shutdown().await;
    }
    Written {
        write_half,
        is_broken,
        _guard: last_guard,
    }
}

/// Reads a body to its end before any of it is written, as long as there is memory for it. If it breaks off, the response
/// becomes an error, and the connection stays open for the responses behind it.
async fn collect_body(mut response: CallerResponse) -> CallerResponse {
    let ResponseBody::Stream {
        length_bytes,
        mut parts,
    } = response.body
    else {
        return response;
    };
    let mut body = BytesMut::new();
    loop {
        match parts.recv().await {
            Some(BodyPart::Data(data)) => body.extend_from_slice(&data),
            Some(BodyPart::End) => {
                response.body = ResponseBody::Whole(body.freeze());
                return response;
            }
            None => return CallerResponse::empty(StatusCode::BAD_GATEWAY),
        }
        let hold = response.body_hold.as_ref();
        let is_held = hold.is_none_or(|hold| hold.try_grow_to(body.len() as u64));
        if !is_held || body.len() > COLLECTED_BODY_BYTES_MAX {
            response.body = ResponseBody::Stream {
                length_bytes,
                parts: prepend(body.freeze(), parts),
            };
            return response;
        }
    }
}

/// Returns a channel with a first part before those of another one.
fn prepend(first: Bytes, mut parts: Receiver<BodyPart>) -> Receiver<BodyPart> {
    let (sender, all_parts) = channel(1);
    actix_rt::spawn(async move {
        let mut next = Some(BodyPart::Data(first));
        while let Some(part) = next {
            // Fails if the caller has gone. Dropping the channel then cancels the request.
            if sender.send(part).await.is_err() {
                return;
            }
            next = parts.recv().await;
        }
    });
    all_parts
}

/// Makes closing the connection send a reset.
///
/// A body with a length or in chunks looks truncated after an orderly close, too. A reset is
/// reported to the caller at once, even if it doesn't check the framing.
fn reset_on_close(write_half: &OwnedWriteHalf) {
    let stream: &TcpStream = write_half.as_ref();
    // Fails if the connection has already ended, which needs no reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn write_response(
    write_half: &mut OwnedWriteHalf,
    response: CallerResponse,
    head_only: bool,
    close: bool,
) -> io::Result<()> {
    let mut out = BytesMut::with_capacity(512);
    let (status, headers) = (response.status, response.headers);
    let _body_hold = response.body_hold;
    match response.body {
        ResponseBody::Whole(body) => {
            let framing = response_framing(status, Some(body.len() as u64));
            put_response_head(&mut out, status, &headers, framing, close);
            let has_body = !head_only && framing != Framing::None;
            if has_body && body.len() > COPIED_BODY_BYTES_MAX {
                write(write_half, &out).await?;
                return write(write_half, &body).await;
            }
            if has_body {
                out.extend_from_slice(&body);
            }
            write(write_half, &out).await
        }
        ResponseBody::Omitted { length_bytes } => {
            let framing = length_bytes.map_or(Framing::None, Framing::Length);
            put_response_head(&mut out, status, &headers, framing, close);
            write(write_half, &out).await
        }
        ResponseBody::Stream {
            length_bytes,
            parts,
        } => {
            let framing = response_framing(status, length_bytes);
            put_response_head(&mut out, status, &headers, framing, close);
            write(write_half, &out).await?;
            write_body(write_half, parts, framing).await
        }
    }
}

fn response_framing(status: StatusCode, length_bytes: Option<u64>) -> Framing {
    match length_bytes {
        _ if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED => {
            Framing::None
        }
        Some(length) => Framing::Length(length),
        None => Framing::Chunked,
    }
}

async fn write_body(
    write_half: &mut OwnedWriteHalf,
    mut parts: Receiver<BodyPart>,
    framing: Framing,
) -> io::Result<()> {
    let chunked = framing == Framing::Chunked;
    loop {
        match parts.recv().await {
            Some(BodyPart::Data(data)) if chunked => {
                write(write_half, &encode_chunk(&data)).await?
            }
            Some(BodyPart::Data(data)) => write(write_half, &data).await?,
            Some(BodyPart::End) if chunked => return write(write_half, &encode_chunk(&[])).await,
            Some(BodyPart::End) => return Ok(()),
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

async fn write(write_half: &mut OwnedWriteHalf, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_STALL_TIMEOUT, write_half.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
