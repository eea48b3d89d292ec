//! Relaying of one connection over a link.

use super::{
    Direction,
    FaultKind,
    FaultState,
    Relay, //
};
use crate::timer;
use bytes::{
    Bytes,
    BytesMut, //
};
use std::{
    future,
    io,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Instant, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        tcp::{
            ReadHalf,
            WriteHalf, //
        },
        TcpStream, //
    },
    sync::{
        mpsc,
        watch, //
    },
};

/// Maximum number of bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in flight in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 1024;

/// Arrival time of a chunk and its data; an empty chunk marks the end of the stream.
type DelayedChunk = (Instant, Bytes);

/// A relayed connection and the faults that apply to it.
struct Connection {
    /// The relay that accepted it.
    relay: Arc<Relay>,
    /// Receiver of the relay's fault state.
    watcher: watch::Receiver<FaultState>,
    /// Epoch in which the connection was accepted.
    epoch: u64,
    /// Whether it was accepted while the link discarded all data.
    silent_from_start: bool,
}

/// Relays an accepted connection until it ends or the link is cut.
pub(super) async fn relay_connection(relay: Arc<Relay>, inbound: TcpStream) {
    let mut watcher = relay.state.subscribe();
    let state = *watcher.borrow_and_update();
    let connection = Connection {
        watcher: watcher.clone(),
        epoch: state.epoch,
        silent_from_start: state.kind == FaultKind::Blackhole,
        relay: Arc::clone(&relay),
    };
    relay.connections.fetch_add(1, Ordering::Relaxed);
    let closed = watcher.wait_for(|current| current.closes(state.epoch));
    tokio::select! {
        _ = closed => {}
        // On an error, both ends are closed, as both peers should see the failure.
        _ = relay_directions(&connection, inbound) => {}
    }
}

/// Relays both directions until both have ended.
async fn relay_directions(connection: &Connection, mut inbound: TcpStream) -> io::Result<()> {
    inbound.set_nodelay(true)?;
    if connection.silent_from_start {
        discard(connection, &mut inbound).await?;
        return future::pending().await;
    }
    let mut outbound = TcpStream::connect(&connection.relay.spec.to).await?;
    outbound.set_nodelay(true)?;
    let (inbound_read, inbound_write) = inbound.split();
    let (outbound_read, outbound_write) = outbound.split();
    let [forward, back] = &connection.relay.directions;
    let ended = tokio::try_join!(
        relay_direction(connection, forward, inbound_read, outbound_write),
        relay_direction(connection, back, outbound_read, inbound_write),
    );
    if connection.silent() {
        // A silent link can't convey that the other end has closed, so the connection stays open.
        return future::pending().await;
    }
    ended.map(|_| ())
}

/// Relays one direction until it ends.
async fn relay_direction(
    connection: &Connection,
    direction: &Direction,
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::try_join!(
        read_chunks(connection, direction, from, sender),
        write_chunks(connection, direction, to, receiver),
    )?;
    Ok(())
}

/// Reads chunks and queues them with their arrival times.
async fn read_chunks(
    connection: &Connection,
    direction: &Direction,
    mut from: ReadHalf<'_>,
    queue: mpsc::Sender<DelayedChunk>,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        from.read_buf(&mut buffer).await?;
        let chunk = buffer.split().freeze();
        let ended = chunk.is_empty();
        let arrival_time = direction.arrival_time(&connection.relay.spec, chunk.len());
        if queue.send((arrival_time, chunk)).await.is_err() || ended {
            return Ok(());
        }
    }
}

/// Writes chunks at their arrival times, or discards them once the connection is silent.
async fn write_chunks(
    connection: &Connection,
    direction: &Direction,
    mut to: WriteHalf<'_>,
    mut queue: mpsc::Receiver<DelayedChunk>,
) -> io::Result<()> {
    while let Some((arrival_time, chunk)) = queue.recv().await {
        timer::wait_until(arrival_time).await;
        if connection.silent() {
            connection.count_discarded(chunk.len());
        } else if chunk.is_empty() {
            to.shutdown().await?;
        } else {
            to.write_all(&chunk).await?;
            let len = chunk.len() as u64;
            direction.bytes.fetch_add(len, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// Reads and discards data until the end of the stream.
async fn discard(connection: &Connection, from: &mut TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        match from.read(&mut buffer).await? {
            0 => return Ok(()),
            len => connection.count_discarded(len),
        }
    }
}

impl Connection {
    /// Returns whether the connection is silent.
    fn silent(&self) -> bool {
        self.silent_from_start || self.watcher.borrow().silences(self.epoch)
    }

    /// Counts discarded bytes.
    fn count_discarded(&self, len: usize) {
        let counter = &self.relay.discarded_bytes;
        counter.fetch_add(len as u64, Ordering::Relaxed);
    }
}
