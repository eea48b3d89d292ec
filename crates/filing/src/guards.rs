//! Switches that turn off single safety checks, so that a model check can show what each prevents.

/// Safety checks of this crate's state machines; all are on outside tests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// An outcome is stored when the request ends.
    pub keep_outcomes: bool,
    /// Of this entry's tickets, only those of the ledger's own incarnation run.
    pub bind_incarnation: bool,
    /// Expiry is checked against a clock that can't be stepped.
    pub monotonic_clock: bool,
    /// A ticket whose caller was told `not-run` is invalidated and never runs later.
    pub invalidate_refused: bool,
    /// Nothing runs once the records have been offered to a successor.
    pub stop_before_offer: bool,
    /// A ledger that has made its offer reports unused tickets as handed over, never as expired.
    pub unknown_once_offered: bool,
    /// A repeated offer changes nothing at the successor.
    pub accept_once: bool,
    /// An offer is valid for one incarnation of the successor.
    pub bind_successor: bool,
    /// A successor refuses tickets whose outcomes its predecessor may have forgotten.
    pub transfer_watermarks: bool,
    /// After a lost commit result the row is read back; nothing is sent before the claim is known
    /// to be in the table.
    pub read_back: bool,
    /// A claim that is read back counts as the reader's own only if its token matches.
    pub match_token: bool,
    /// The holder's lease is checked immediately before sending.
    pub check_lease_before_send: bool,
    /// To release a claim whose row is absent, a `released` row is written, so that an insert still
    /// in flight fails and can't block the key.
    pub write_released_row: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            keep_outcomes: true,
            bind_incarnation: true,
            monotonic_clock: true,
            invalidate_refused: true,
            stop_before_offer: true,
            unknown_once_offered: true,
            accept_once: true,
            bind_successor: true,
            transfer_watermarks: true,
            read_back: true,
            match_token: true,
            check_lease_before_send: true,
            write_released_row: true,
        }
    }
}
