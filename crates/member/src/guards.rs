//! Switches that turn one guard off, so that a search can show what the guard is for.

/// Guards of this crate's state machines; all on, but in tests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// A lease counts from before its renewal was sent, not from the answer.
    pub count_from_send: bool,
    /// Holder and observer allow for clocks that run at different speeds.
    pub drift: bool,
    /// An incarnation is taken on the condition that the row is as read.
    pub compare_and_set: bool,
    /// A lapse counts only if a read sent after it still shows the same renewal.
    pub fresh_read: bool,
    /// A renewal confirmed after the lapse is told apart from an unbroken lease.
    pub count_gaps: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            count_from_send: true,
            drift: true,
            compare_and_set: true,
            fresh_read: true,
            count_gaps: true,
        }
    }
}
