//! Connections that were given up, until their other end has let go of them.
//!
//! Dropping a connection cancels the request on it, but only once the other end has noticed: until
//! then it may still work on the request. The connection is therefore closed for writing, which is
//! what tells the other end, and read until the other end closes it as well.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    runtime::Handle,
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

/// Longest that a connection is kept only to see its end.
const LONGEST: Duration = Duration::from_secs(30);
/// Most that is read of an answer that nobody waits for. Whoever sends more is reset.
const UNREAD_BYTES: usize = 64 << 10;
/// Length of one read.
const READ_BYTES: usize = 4 << 10;
/// Time for a reset to reach the other end.
const RESET: Duration = Duration::from_millis(5);

/// The given-up connections of one client that are not closed by their other end yet.
#[derive(Clone, Debug, Default)]
pub struct Closing {
    open: Arc<Mutex<Vec<watch::Receiver<()>>>>,
}

impl Closing {
    /// Ends when all connections that were given up before the call are closed.
    pub async fn closed(&self) {
        let open = self.lock().clone();
        for mut connection in open {
            // Its sender says nothing and is dropped at the end.
            let _ = connection.changed().await;
        }
    }

    /// Closes `stream` and watches for its end.
    pub(crate) fn close(&self, stream: TcpStream) {
        // Without a runtime the process ends, and its connections with it.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let (end, watched) = watch::channel(());
        let mut open = self.lock();
        open.retain(|connection| connection.has_changed().is_ok());
        open.push(watched);
        drop(open);
        runtime.spawn(async move {
            // Running out of time is an end, too.
            let _ = timeout(LONGEST, read_to_end(stream)).await;
            drop(end);
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<watch::Receiver<()>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Says that nothing more is wanted, and reads until the other end closes.
async fn read_to_end(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut unread_bytes = 0;
    let mut buf = [0; READ_BYTES];
    while let Ok(read_bytes @ 1..) = stream.read(&mut buf).await {
        unread_bytes += read_bytes;
        if unread_bytes > UNREAD_BYTES {
            drop(stream);
            sleep(RESET).await;
            return;
        }
    }
}
