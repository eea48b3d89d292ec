//! Session keepalive: sends pings and ends a session whose pong does not arrive.

use super::{
    SessionContext, //
    SessionEnd,
};
use std::time::Duration;
use tokio::time::{
    sleep,
    sleep_until,
    Instant, //
};

/// A timer that fires later than this shows that the local thread was stalled.
const LOCAL_STALL: Duration = Duration::from_millis(100);

impl SessionContext<'_> {
    /// Sends pings; returns when a pong does not arrive in time.
    ///
    /// An established connection can go silent permanently while new ones work, for example when a
    /// middlebox has dropped its state. No error is reported then: writes fill the kernel's buffer
    /// and reads block. Only the missing pong reveals it, and a new connection decides whether the
    /// peer is gone.
    pub(super) async fn keepalive(&self) -> SessionEnd {
        let options = &self.shared.options;
        let mut seq = 0;
        loop {
            sleep(options.ping_interval).await;
            seq += 1;
            self.ping_due.set(Some(seq));
            self.ping_requested.notify_one();
            if !self.wait_for_pong(seq).await {
                return self.classify_end(SessionEnd::Silent);
            }
        }
    }

    /// Waits for the pong of ping `seq`; returns whether it arrived in time.
    async fn wait_for_pong(&self, seq: u64) -> bool {
        let pong_timeout = self.shared.options.pong_timeout;
        let mut deadline = Instant::now() + pong_timeout;
        while self.last_pong.get() < seq {
            tokio::select! {
                () = self.pong_received.notified() => {}
                () = sleep_until(deadline) => {
                    // A local delay is not silence of the peer: after a stall of this thread the
                    // pong may be unread, and a slow owner keeps the reader from reading it.
                    let stalled_locally = deadline.elapsed() > LOCAL_STALL || !self.reading.get();
                    if !stalled_locally {
                        return false;
                    }
                    deadline = Instant::now() + pong_timeout;
                }
            }
        }
        true
    }
}
