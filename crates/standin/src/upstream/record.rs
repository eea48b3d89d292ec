//! What an upstream was sent and what it ran: the judge's truth.

use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Ended requests that are kept; older ones are only counted.
const KEPT: usize = 200_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ended {
    /// Not yet.
    Running,
    /// It ran, and its whole answer was handed to the connection.
    Ran,
    /// The caller went away first.
    Cancelled,
    /// It was refused unrun.
    Shed,
    /// It ran, and its answer was cut short.
    Truncated,
    /// Its deadline passed first.
    Expired,
}

/// One request. It ran, or began to, if it has a `started_ms`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// The `Jasmine-Request` header.
    pub request: Option<String>,
    /// The `Jasmine-Filing` header.
    pub filing: Option<String>,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// When the request came, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// When it got a slot.
    pub started_ms: Option<u64>,
    /// When it ended.
    pub finished_ms: Option<u64>,
    /// Length of its body, when that was read whole.
    pub body_bytes: Option<u64>,
    /// How it ended.
    pub outcome: Ended,
}

/// Answer of `GET /record`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// The upstream's id.
    pub upstream: String,
    /// Its slots.
    pub slots: u32,
    /// Most requests served at once.
    pub max_in_flight: u64,
    /// Most requests that waited at once, which is how far above its slots it was sent.
    pub max_queued: u64,
    /// Ended requests, in the order in which they ended, and then the unfinished ones.
    pub entries: Vec<Entry>,
    /// Ended requests that were dropped because there were too many.
    pub dropped: u64,
}

/// Requests that came since the last clearing.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Number of the next request.
    next: u64,
    /// Unfinished requests by number.
    running: BTreeMap<u64, Entry>,
    /// Ended ones; at most [`KEPT`].
    ended: VecDeque<Entry>,
    /// Ended ones no longer kept.
    dropped: u64,
}

impl Log {
    /// Adds a request that came, and gives it a number.
    pub(super) fn begin(&mut self, entry: Entry) -> u64 {
        let number = self.next;
        self.next += 1;
        self.running.insert(number, entry);
        number
    }

    /// The unfinished request of this number.
    pub(super) fn running(&mut self, number: u64) -> Option<&mut Entry> {
        self.running.get_mut(&number)
    }

    /// Ends a request.
    pub(super) fn end(&mut self, number: u64, outcome: Ended, now_ms: u64) {
        let Some(mut entry) = self.running.remove(&number) else {
            return;
        };
        entry.outcome = outcome;
        entry.finished_ms = Some(now_ms);
        if self.ended.len() == KEPT {
            self.ended.pop_front();
            self.dropped += 1;
        }
        self.ended.push_back(entry);
    }

    /// All entries, and how many are missing.
    pub(super) fn entries(&self) -> (Vec<Entry>, u64) {
        let entries = self.ended.iter().chain(self.running.values());
        (entries.cloned().collect(), self.dropped)
    }

    /// Forgets the ended ones.
    pub(super) fn clear(&mut self) {
        self.ended.clear();
        self.dropped = 0;
    }
}
