//! Objects that are kept so that peers can have them while the store is down.
//!
//! Bodies and differences are small and kept as bytes, the newest up to a limit. A snapshot is
//! kept as the table it was read into: it shares nearly all of its memory with the table in force,
//! and is written out again for the rare peer that asks for it.

use blocks::Table;
use bytes::Bytes;
use spec::Digest;
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Bytes that are kept in all.
const KEPT_BYTES: usize = 4 << 20;

/// Objects at hand.
#[derive(Debug, Default)]
pub(super) struct Objects {
    /// The newest last.
    small: VecDeque<(Digest, Bytes)>,
    small_bytes: usize,
    snapshot: Option<(Digest, Arc<Table>)>,
}

impl Objects {
    /// Keeps an object, unless it is large; the oldest make room.
    pub(super) fn keep(&mut self, digest: Digest, bytes: &Bytes) {
        if bytes.len() > KEPT_BYTES / 4 || self.get(&digest).is_some() {
            return;
        }
        self.small_bytes += bytes.len();
        // A part of a larger buffer would keep the whole of it.
        self.small
            .push_back((digest, Bytes::copy_from_slice(bytes)));
        while self.small_bytes > KEPT_BYTES {
            let oldest = self.small.pop_front();
            self.small_bytes -= oldest.map_or(0, |(_, bytes)| bytes.len());
        }
    }

    /// Keeps a snapshot in place of the one before.
    pub(super) fn keep_snapshot(&mut self, digest: Digest, table: &Arc<Table>) {
        self.snapshot = Some((digest, Arc::clone(table)));
    }

    /// An object's bytes, if they are kept.
    pub(super) fn get(&self, digest: &Digest) -> Option<Bytes> {
        let found = self.small.iter().find(|(kept, _)| kept == digest);
        found.map(|(_, bytes)| bytes.clone())
    }

    /// A snapshot, if it is the one that is kept.
    pub(super) fn snapshot(&self, digest: &Digest) -> Option<Arc<Table>> {
        let kept = self.snapshot.as_ref().filter(|(kept, _)| kept == digest);
        kept.map(|(_, table)| Arc::clone(table))
    }
}
