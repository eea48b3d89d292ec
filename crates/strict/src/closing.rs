//! Tracking of abandoned connections until the peer has closed them.
//!
//! Dropping a connection cancels its request, but only once the peer notices: until then it may still
//! be executing the request. The connection is therefore shut down for writing, which notifies the
//! peer, and read until the peer closes its end.

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

/// Maximum time to wait for the peer to close an abandoned connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of bytes read and discarded from an abandoned connection; beyond it, the connection
/// is reset.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Time allowed for a reset to reach the peer.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// Abandoned connections of one client that the peer hasn't closed yet.
#[derive(Clone, Debug, Default)]
pub struct ClosingConnections {
    open: Arc<Mutex<Vec<watch::Receiver<()>>>>,
}

impl ClosingConnections {
    /// Waits until all connections abandoned before the call are closed.
    pub async fn wait_closed(&self) {
        let open = self.lock().clone();
        for mut connection in open {
            // The sender never sends a value; it is dropped when the connection is closed.
            let _ = connection.changed().await;
        }
    }

    /// Closes `stream` in the background and tracks it until then.
    pub(crate) fn close(&self, stream: TcpStream) {
        // Without a runtime the process is exiting, which closes its connections.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let (end, watched) = watch::channel(());
        let mut open = self.lock();
        open.retain(|connection| connection.has_changed().is_ok());
        open.push(watched);
        drop(open);
        runtime.spawn(async move {
            // A timeout counts as closed.
            let _ = timeout(CLOSE_TIMEOUT, shut_down_and_drain(stream)).await;
            drop(end);
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<watch::Receiver<()>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Shuts down the write side and discards incoming data until the peer closes its end.
async fn shut_down_and_drain(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut discarded_bytes = 0;
    let mut buf = [0; READ_BUFFER_BYTES];
    while let Ok(read_bytes @ 1..) = stream.read(&mut buf).await {
        discarded_bytes += read_bytes;
        if discarded_bytes > MAX_DISCARDED_BYTES {
            drop(stream);
            sleep(RESET_DELAY).await;
            return;
        }
    }
}
