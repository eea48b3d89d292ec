//! One connection over a link.

use super::{
    Direction,
    Kind,
    Relay,
    State, //
};
use crate::alarm;
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

/// Most bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Most chunks on their way in one direction of one connection.
const CHUNKS: usize = 1024;

/// A chunk on its way and when it arrives; an empty one is the end.
type Timed = (Instant, Bytes);

/// What a connection needs to know of the link.
struct Place {
    /// The link.
    relay: Arc<Relay>,
    /// Its faults.
    watcher: watch::Receiver<State>,
    /// Epoch in which the connection was made.
    epoch: u64,
    /// Whether it was silent from the start.
    born_silent: bool,
}

/// Carries one accepted connection until it ends or the link is cut.
pub(super) async fn carry(relay: Arc<Relay>, near: TcpStream) {
    let mut watcher = relay.state.subscribe();
    let state = *watcher.borrow_and_update();
    let place = Place {
        watcher: watcher.clone(),
        epoch: state.epoch,
        born_silent: state.kind == Kind::Blackhole,
        relay: Arc::clone(&relay),
    };
    relay.connections.fetch_add(1, Ordering::Relaxed);
    let closed = watcher.wait_for(|now| now.closes(state.epoch));
    tokio::select! {
        _ = closed => {}
        // An error closes both ends, which is what the ends are to see.
        _ = relay_both(&place, near) => {}
    }
}

/// Carries both directions until both ended.
async fn relay_both(place: &Place, mut near: TcpStream) -> io::Result<()> {
    near.set_nodelay(true)?;
    if place.born_silent {
        swallow(place, &mut near).await?;
        return future::pending().await;
    }
    let mut far = TcpStream::connect(&place.relay.spec.to).await?;
    far.set_nodelay(true)?;
    let (near_in, near_out) = near.split();
    let (far_in, far_out) = far.split();
    let [forward, back] = &place.relay.directions;
    let ended = tokio::try_join!(
        relay_one(place, forward, near_in, far_out),
        relay_one(place, back, far_in, near_out),
    );
    if place.silent() {
        // Closing one end because the other closed would tell it what a silent line can't.
        return future::pending().await;
    }
    ended.map(|_| ())
}

/// Carries one direction until it ended.
async fn relay_one(
    place: &Place,
    direction: &Direction,
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    tokio::try_join!(
        read_side(place, direction, from, sender),
        write_side(place, direction, to, receiver),
    )?;
    Ok(())
}

/// Reads chunks and puts them on their way.
async fn read_side(
    place: &Place,
    direction: &Direction,
    mut from: ReadHalf<'_>,
    way: mpsc::Sender<Timed>,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        from.read_buf(&mut buffer).await?;
        let chunk = buffer.split().freeze();
        let ended = chunk.is_empty();
        let due = direction.due(&place.relay.spec, chunk.len());
        if way.send((due, chunk)).await.is_err() || ended {
            return Ok(());
        }
    }
}

/// Writes chunks as they arrive, or swallows them once the connection is silent.
async fn write_side(
    place: &Place,
    direction: &Direction,
    mut to: WriteHalf<'_>,
    mut way: mpsc::Receiver<Timed>,
) -> io::Result<()> {
    while let Some((due, chunk)) = way.recv().await {
        alarm::wait_until(due).await;
        if place.silent() {
            place.count_swallowed(chunk.len());
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

/// Reads and forgets all that comes.
async fn swallow(place: &Place, from: &mut TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        match from.read(&mut buffer).await? {
            0 => return Ok(()),
            len => place.count_swallowed(len),
        }
    }
}

impl Place {
    /// Whether the connection is silent by now.
    fn silent(&self) -> bool {
        self.born_silent || self.watcher.borrow().silences(self.epoch)
    }

    /// Counts bytes that won't arrive.
    fn count_swallowed(&self, len: usize) {
        let counter = &self.relay.swallowed_bytes;
        counter.fetch_add(len as u64, Ordering::Relaxed);
    }
}
