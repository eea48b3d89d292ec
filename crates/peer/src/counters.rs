//! Counters that other threads may read at any time.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// A number that grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Value now.
    pub fn get(&self) -> u64 {
        // Counters order nothing: each is read for itself.
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

/// What one mesh did since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes written to sockets, handshakes included.
    pub sent_bytes: Counter,
    /// Bytes read from sockets, handshakes included.
    pub received_bytes: Counter,
    /// Frames written.
    pub sent_frames: Counter,
    /// Frames passed to the owner.
    pub received_frames: Counter,
    /// Frames of kinds that this build does not know, skipped.
    pub unknown_frames: Counter,
    /// Frames of proven peers that were no frames or had no place; each closed its session.
    pub bad_frames: Counter,
    /// Beats dropped for newer frames because a queue was full.
    pub dropped_beats: Counter,
    /// Frames not taken because a queue was full of other frames than beats.
    pub refused_frames: Counter,
    /// Dials begun.
    pub dials: Counter,
    /// Dials that led to no session.
    pub failed_dials: Counter,
    /// Sessions that were proven, duplicates included.
    pub sessions: Counter,
    /// Sessions closed as duplicates of another one.
    pub duplicate_sessions: Counter,
    /// Sessions given up because a pong did not come.
    pub silent_sessions: Counter,
    /// Peers whose lost session was replaced in time.
    pub reopened: Counter,
    /// Connections refused before they were proven.
    pub strangers: Counter,
}
