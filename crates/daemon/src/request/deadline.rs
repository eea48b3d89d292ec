//! The time that a request has left.

use std::time::{
    Duration,
    Instant, //
};

/// Moment after which nobody waits for the answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Deadline(Instant);

/// Text of a deadline header that is no whole number of milliseconds above zero.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BadDeadline;

impl Deadline {
    /// Deadline `left` after `now`.
    pub(crate) fn after(now: Instant, left: Duration) -> Self {
        Self(now + left)
    }

    /// Reads the header; without one, the class's own deadline holds.
    ///
    /// A caller may shorten the class's deadline, not lengthen it: slots of a lapsed entry are
    /// given to others once that time is over, and work that went on would make upstreams queue.
    pub(crate) fn from_header(
        text: Option<&[u8]>,
        now: Instant,
        class_deadline: Duration,
    ) -> Result<Self, BadDeadline> {
        let Some(text) = text else {
            return Ok(Self::after(now, class_deadline));
        };
        let left_ms = std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.trim().parse::<u64>().ok())
            .filter(|&left_ms| left_ms > 0)
            .ok_or(BadDeadline)?;
        let left = Duration::from_millis(left_ms).min(class_deadline);
        Ok(Self::after(now, left))
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
