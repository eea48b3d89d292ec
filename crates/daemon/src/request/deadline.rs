//! The time that a request has left.

use std::time::{
    Duration,
    Instant, //
};

/// Moment after which nobody waits for the answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// Deadline `left` after `now`.
    pub(crate) fn after(now: Instant, left: Duration) -> Self {
        Self(now + left)
    }

    /// Deadline of a caller who still waits for `asked`; without it, the class's own holds.
    ///
    /// A caller may shorten the class's deadline, not lengthen it: slots of a lapsed entry are
    /// given to others once that time is over, and work that went on would make upstreams queue.
    pub(crate) fn of_caller(now: Instant, asked: Option<Duration>, class: Duration) -> Self {
        Self::after(now, asked.unwrap_or(class).min(class))
    }

    /// What is left; zero once it has passed.
    pub(crate) fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// The earlier of this deadline and `wait` from `now`.
    pub(crate) fn within(self, now: Instant, wait: Duration) -> Self {
        Self(self.0.min(now + wait))
    }

    /// For timers.
    pub(crate) fn at(self) -> tokio::time::Instant {
        self.0.into()
    }
}
