//! Switches that disable single safety checks, so that a model search can show what each prevents.

/// Safety checks of the lease state machines; all are enabled outside tests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// Count a lease from before its renewal was sent, not from the answer.
    pub count_from_send: bool,
    /// Let holder and observer allow for clocks that run at different rates.
    pub drift: bool,
    /// Take an incarnation only if the row is unchanged since it was read.
    pub compare_and_set: bool,
    /// Accept a lapse only if a read sent after it still shows the same renewal.
    pub fresh_read: bool,
    /// Report a renewal that was confirmed after the lapse as a gap.
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
