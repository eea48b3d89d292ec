//! Deadlines of requests.

use std::time::{
    Duration,
    Instant, //
};

/// Time after which the caller no longer waits for the response.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// Deadline `remaining` after `now`.
    pub(crate) fn after(now: Instant, remaining: Duration) -> Self {
        Self(now + remaining)
    }

    /// Deadline of a caller that waits for `requested`, or else for the class's deadline.
    ///
    /// A caller may shorten the class's deadline, not extend it: the slots of an entry whose lease
    /// lapsed are given to others after that time, and work that still ran would make upstreams
    /// queue.
    pub(crate) fn from_caller(now: Instant, requested: Option<Duration>, class: Duration) -> Self {
        Self::after(now, requested.unwrap_or(class).min(class))
    }

    /// Remaining time; zero once it has passed.
    pub(crate) fn remaining(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// The earlier of this deadline and `wait` from `now`.
    pub(crate) fn within(self, now: Instant, wait: Duration) -> Self {
        Self(self.0.min(now + wait))
    }

    /// The deadline as an instant for `tokio` timers.
    pub(crate) fn at(self) -> tokio::time::Instant {
        self.0.into()
    }
}
