//! Record of the requests that an upstream received and ran, the ground truth for checks.

use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Maximum number of ended requests kept; older ones are only counted.
const MAX_ENDED: usize = 200_000;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// It hasn't ended yet.
    Running,
    /// It ran, and its complete response was handed to the connection.
    Ran,
    /// The caller disconnected, or the upstream died, before it ended.
    Cancelled,
    /// It was refused without running.
    Shed,
    /// It ran, and its response was truncated.
    Truncated,
    /// Its deadline passed before it ended.
    Expired,
}

/// A recorded request. If `started_ms` is set, it ran at least in part.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordEntry {
    /// The `Jasmine-Request` header.
    pub request: Option<String>,
    /// The `Jasmine-Filing` header.
    pub filing: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Time of arrival in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// Time at which it acquired a slot.
    pub started_ms: Option<u64>,
    /// Time at which it ended.
    pub finished_ms: Option<u64>,
    /// Length of its body, if it was read completely.
    pub body_bytes: Option<u64>,
    /// Outcome.
    pub outcome: RequestOutcome,
}

/// Response to `GET /record`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// The upstream's id.
    pub upstream: String,
    /// Number of slots.
    pub slots: u32,
    /// Maximum number of requests served concurrently.
    pub max_in_flight: u64,
    /// Maximum number of requests queued at once, that is, by how many callers exceeded the slots.
    pub max_queued: u64,
    /// Ended requests in the order in which they ended, followed by unfinished ones.
    pub entries: Vec<RecordEntry>,
    /// Number of ended requests dropped because there were too many.
    pub dropped: u64,
}

/// Requests received, without those cleared.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Number of the next request.
    next_number: u64,
    /// Unfinished requests by number.
    running: BTreeMap<u64, RecordEntry>,
    /// Ended requests; at most [`MAX_ENDED`].
    ended: VecDeque<RecordEntry>,
    /// Number of ended requests dropped.
    dropped: u64,
}

impl Log {
    /// Adds a received request and returns its number.
    pub(super) fn begin(&mut self, entry: RecordEntry) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.running.insert(number, entry);
        number
    }

    /// Returns the unfinished request with this number.
    pub(super) fn running(&mut self, number: u64) -> Option<&mut RecordEntry> {
        self.running.get_mut(&number)
    }

    /// Records the end of a request.
    pub(super) fn end(&mut self, number: u64, outcome: RequestOutcome, now_ms: u64) {
        let Some(mut entry) = self.running.remove(&number) else {
            return;
        };
        entry.outcome = outcome;
        entry.finished_ms = Some(now_ms);
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
            self.dropped += 1;
        }
        self.ended.push_back(entry);
    }

    /// Returns all entries, and how many were dropped.
    pub(super) fn entries(&self) -> (Vec<RecordEntry>, u64) {
        let entries = self.ended.iter().chain(self.running.values());
        (entries.cloned().collect(), self.dropped)
    }

    /// Removes the ended requests.
    pub(super) fn clear(&mut self) {
        self.ended.clear();
        self.dropped = 0;
    }
}
