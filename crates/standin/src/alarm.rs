//! Waits that are finer than the runtime's milliseconds, by one thread for the process.
//!
//! The runtime rounds each wait up to its next tick of a millisecond, even one of no length. That
//! is several times what a hop through an entry may add, and would hide it.

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

/// Someone who is to be woken at a time.
type Sleeper = (Instant, oneshot::Sender<()>);

/// Where sleepers are handed to the thread.
static ALARM: LazyLock<Sender<Sleeper>> = LazyLock::new(|| {
    let (sender, receiver) = mpsc::channel::<Sleeper>();
    thread::spawn(move || {
        let mut sleepers = BTreeMap::<Instant, Vec<oneshot::Sender<()>>>::new();
        loop {
            let now = Instant::now();
            while let Some(first) = sleepers.first_entry().filter(|e| *e.key() <= now) {
                for sleeper in first.remove() {
                    // Fails when it no longer waits.
                    let _ = sleeper.send(());
                }
            }
            let next = sleepers.keys().next();
            let wait = next.map_or(Duration::MAX, |next| *next - now);
            match receiver.recv_timeout(wait) {
                Ok((due, sleeper)) => sleepers.entry(due).or_default().push(sleeper),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    });
    sender
});

/// Waits until `due`.
pub(crate) async fn wait_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let (sender, receiver) = oneshot::channel();
    if ALARM.send((due, sender)).is_ok() {
        // Fails only when the thread is gone, which ends with the process.
        let _ = receiver.await;
    }
}
