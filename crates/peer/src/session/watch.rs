//! The watcher: pings, and ends a session whose pong does not come.

use super::{
    End,
    Line, //
};
use std::time::Duration;
use tokio::time::{
    sleep,
    sleep_until,
    Instant, //
};

/// A timer that wakes later than this says that our own thread was held up.
const OWN_STALL: Duration = Duration::from_millis(100);

impl Line<'_> {
    /// Pings, and ends when a pong does not come.
    ///
    /// A connection can go silent for good while new ones work, when something between the ends
    /// has lost track of it. Nothing fails then: writes fill the kernel's buffer and reads wait.
    /// The missing pong is what shows it, and a new connection decides whether the peer is gone.
    pub(super) async fn watch(&self) -> End {
        let options = &self.shared.options;
        let mut seq = 0;
        loop {
            sleep(options.ping_interval).await;
            seq += 1;
            self.ping_due.set(Some(seq));
            self.ping.notify_one();
            if !self.is_answered(seq).await {
                return self.unless_left(End::Silent);
            }
        }
    }

    /// Whether ping `seq` is answered in time.
    async fn is_answered(&self, seq: u64) -> bool {
        let patience = self.shared.options.pong_timeout;
        let mut deadline = Instant::now() + patience;
        while self.answered.get() < seq {
            tokio::select! {
                () = self.pong.notified() => {}
                () = sleep_until(deadline) => {
                    // Our own delay is not the peer's silence: after a held-up thread the pong
                    // may lie unread, and a slow owner keeps the reader from reading it.
                    let held_up = deadline.elapsed() > OWN_STALL || !self.reading.get();
                    if !held_up {
                        return false;
                    }
                    deadline = Instant::now() + patience;
                }
            }
        }
        true
    }
}
