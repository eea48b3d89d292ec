//! Connections that a pool has opened, and whether they worked.
//!
//! A connection has worked once it has delivered a response, or has stayed open for a while as a probe. The upstreams that
//! connections failed to since then are counted. Their number doesn't depend on how many upstreams there are, and
//! responses on older connections don't affect it: a partition may leave these working.

use base::UpstreamId;
use std::{
    cell::RefCell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time after which a connection that is not established yet counts as failed. Covers a round trip to the farthest region,
/// including jitter.
const OVERDUE: Duration = Duration::from_millis(400);
/// Maximum number of failed upstreams that are stored. The count does not grow beyond it.
const FAILED_MAX: usize = 16;

/// Connections opened by one pool.
#[derive(Debug, Default)]
pub(crate) struct ConnectLog {
    /// Time at which a connection last worked.
    worked_at: Option<Instant>,
    /// Upstreams that connections failed to since then.
    failed: Vec<UpstreamId>,
    /// Connections that are not established yet.
    pending: Vec<Pending>,
    next_number: u64,
}

/// A connection that is not established yet.
#[derive(Debug)]
struct Pending {
    number: u64,
    upstream: UpstreamId,
    started: Instant,
}

impl ConnectLog {
    /// Returns the number of upstreams that connections failed to, or take too long, since one last worked.
    pub(crate) fn failed_count(&self, now: Instant) -> usize {
        let overdue = self.pending.iter().filter(|pending| {
            now.saturating_duration_since(pending.started) >= OVERDUE
                && self.is_after_last_success(pending.started)
                && !self.failed.contains(&pending.upstream)
        });
        let mut overdue: Vec<_> = overdue.map(|pending| &pending.upstream).collect();
        overdue.sort_unstable();
        overdue.dedup();
        self.failed.len() + overdue.len()
    }

    fn is_after_last_success(&self, started: Instant) -> bool {
        self.worked_at.is_none_or(|worked_at| started > worked_at)
    }

    fn note_worked(&mut self) {
        self.worked_at = Some(Instant::now());
        self.failed.clear();
    }

    /// Records a failure of a connection that was begun at `started`. If another one has worked since then, it says nothing
    /// about the path.
    fn note_failed(&mut self, upstream: &UpstreamId, started: Instant) {
        let is_new = !self.failed.contains(upstream) && self.failed.len() < FAILED_MAX;
        if is_new && self.is_after_last_success(started) {
            self.failed.push(upstream.clone());
        }
    }
}

/// A connection being opened. Dropping it without a result records none.
pub(crate) struct ConnectAttempt {
    connect_log: Rc<RefCell<ConnectLog>>,
    number: u64,
    upstream: UpstreamId,
    started: Instant,
}

impl ConnectAttempt {
    pub(crate) fn begin(log: &Rc<RefCell<ConnectLog>>, upstream: &UpstreamId) -> Self {
        let started = Instant::now();
        let mut entries = log.borrow_mut();
        let number = entries.next_number;
        entries.next_number += 1;
        entries.pending.push(Pending {
            number,
            upstream: upstream.clone(),
            started,
        });
        drop(entries);
        Self {
            connect_log: log.clone(),
            number,
            upstream: upstream.clone(),
            started,
        }
    }

    /// Records that the connection is established.
    pub(crate) fn established(&self) {
        let mut log = self.connect_log.borrow_mut();
        log.pending.retain(|pending| pending.number != self.number);
    }

    /// Records that the connection has worked.
    pub(crate) fn worked(self) {
        self.connect_log.borrow_mut().note_worked();
    }

    /// Records that the connection was refused or has ended without a response.
    pub(crate) fn failed(self) {
        let mut log = self.connect_log.borrow_mut();
        log.note_failed(&self.upstream, self.started);
    }

    /// Records that the connection was given up. That is a failure only if it took too long.
    pub(crate) fn timed_out(self) {
        if self.started.elapsed() >= OVERDUE {
            self.failed();
        }
    }
}

impl Drop for ConnectAttempt {
    fn drop(&mut self) {
        self.established();
    }
}
