//! Timers with sub-millisecond resolution, driven by one thread per process.
//!
//! The async runtime rounds each wait up to its next millisecond tick, even a wait of zero length.
//! This error is several times the latency that an entry may add to a request, and would hide it.

use std::{
    collections::BTreeMap,
    sync::{
        mpsc::{
            self,
            RecvTimeoutError,
            Sender, //
        },
        LazyLock, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};
use tokio::sync::oneshot;

/// A deadline and the channel that wakes the task waiting for it.
type Waiter = (Instant, oneshot::Sender<()>);

/// Channel that submits waiters to the timer thread.
static TIMER: LazyLock<Sender<Waiter>> = LazyLock::new(|| {
    let (sender, receiver) = mpsc::channel::<Waiter>();
    thread::spawn(move || {
        let mut waiters = BTreeMap::<Instant, Vec<oneshot::Sender<()>>>::new();
        loop {
            let now = Instant::now();
            while let Some(first) = waiters.first_entry().filter(|e| *e.key() <= now) {
                for waker in first.remove() {
                    // Fails only if the task has stopped waiting.
                    let _ = waker.send(());
                }
            }
            let next = waiters.keys().next();
            let wait = next.map_or(Duration::MAX, |next| *next - now);
            match receiver.recv_timeout(wait) {
                Ok((deadline, waker)) => waiters.entry(deadline).or_default().push(waker),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    });
    sender
});

/// Waits until the deadline.
pub(crate) async fn wait_until(deadline: Instant) {
    if deadline <= Instant::now() {
        return;
    }
    let (sender, receiver) = oneshot::channel();
    if TIMER.send((deadline, sender)).is_ok() {
        // Fails only if the timer thread has ended, which happens only when the process exits.
        let _ = receiver.await;
    }
}
