//! Cache of objects, which lets peers fetch them while the store is down.
//!
//! Bodies and differences are small and cached as bytes, the newest up to a size limit. A snapshot
//! is cached as the parsed table: it shares nearly all of its memory with the table in force, and
//! is serialised again for the rare peer that requests it.

use blocks::Table;
use bytes::Bytes;
use spec::Digest;
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Maximum total size of cached bytes.
const MAX_CACHED_BYTES: usize = 4 << 20;

/// Cached objects.
#[derive(Debug, Default)]
pub(super) struct ObjectCache {
    /// Small objects, newest last.
    small: VecDeque<(Digest, Bytes)>,
    small_bytes: usize,
    snapshot: Option<(Digest, Arc<Table>)>,
}

impl ObjectCache {
    /// Caches an object unless it is large; evicts the oldest ones beyond the limit.
    pub(super) fn insert(&mut self, digest: Digest, bytes: &Bytes) {
        if bytes.len() > MAX_CACHED_BYTES / 4 || self.get(&digest).is_some() {
            return;
        }
        self.small_bytes += bytes.len();
        // A slice of a larger buffer would keep the whole buffer alive.
        self.small
            .push_back((digest, Bytes::copy_from_slice(bytes)));
        while self.small_bytes > MAX_CACHED_BYTES {
            let oldest = self.small.pop_front();
            self.small_bytes -= oldest.map_or(0, |(_, bytes)| bytes.len());
        }
    }

    /// Caches a snapshot, replacing the previous one.
    pub(super) fn insert_snapshot(&mut self, digest: Digest, table: &Arc<Table>) {
        self.snapshot = Some((digest, Arc::clone(table)));
    }

    /// Bytes of an object, if cached.
    pub(super) fn get(&self, digest: &Digest) -> Option<Bytes> {
        let found = self.small.iter().find(|(cached, _)| cached == digest);
        found.map(|(_, bytes)| bytes.clone())
    }

    /// The cached snapshot, if its digest matches.
    pub(super) fn snapshot(&self, digest: &Digest) -> Option<Arc<Table>> {
        let cached = self
            .snapshot
            .as_ref()
            .filter(|(cached, _)| cached == digest);
        cached.map(|(_, table)| Arc::clone(table))
    }
}
