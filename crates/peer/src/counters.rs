//! Counters of a mesh, readable from any thread.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Current value.
    pub fn get(&self) -> u64 {
        // Counters are independent, so no ordering between them is needed.
        self.0.load(Ordering::Relaxed)
    }

    /// Adds `count`.
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Adds one.
    pub(crate) fn increment(&self) {
        self.add(1);
    }
}

/// Counters of one mesh since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes written to sockets, including handshakes.
    pub sent_bytes: Counter,
    /// Bytes read from sockets, including handshakes.
    pub received_bytes: Counter,
    /// Frames written.
    pub sent_frames: Counter,
    /// Frames delivered to the owner.
    pub received_frames: Counter,
    /// Frames ignored because this build does not know their kind.
    pub unknown_frames: Counter,
    /// Malformed or unexpected messages of authenticated peers; each closed its session.
    pub invalid_frames: Counter,
    /// Heartbeats dropped in favour of newer frames because a queue was full.
    pub dropped_beats: Counter,
    /// Frames rejected because a queue was full and held no heartbeat to drop.
    pub refused_frames: Counter,
    /// Dial attempts.
    pub dials: Counter,
    /// Dial attempts that did not establish a session.
    pub failed_dials: Counter,
    /// Authenticated sessions, including duplicates.
    pub sessions: Counter,
    /// Sessions closed as duplicates of another one.
    pub duplicate_sessions: Counter,
    /// Sessions closed because a pong did not arrive in time.
    pub silent_sessions: Counter,
    /// Lost sessions that were replaced in time.
    pub reopened: Counter,
    /// Connections refused before they were authenticated.
    pub refused_connections: Counter,
}
