//! Switches that turn off single safety checks, so that a model check can show what each prevents.

/// Safety checks of this crate's state machines; all are on outside tests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// An outcome is stored when the request ends.
    pub remember: bool,
    /// Of this entry's tickets, only those of the ledger's own incarnation run.
    pub bind_incarnation: bool,
    /// Expiry is checked against a clock that can't be stepped.
    pub one_clock: bool,
    /// A ticket whose caller was told `not-run` is invalidated and never runs later.
    pub burn_refused: bool,
    /// Nothing runs once the records have been offered to a successor.
    pub stop_before_offer: bool,
    /// A ledger that has made its offer reports unused tickets as handed over, never as expired.
    pub unknown_once_offered: bool,
    /// A repeated offer changes nothing at the successor.
    pub adopt_once: bool,
    /// An offer is valid for one incarnation of the successor.
    pub bind_successor: bool,
    /// A successor refuses tickets whose outcomes its predecessor may have forgotten.
    pub carry_closed: bool,
    /// After a lost commit result the row is read back; nothing is sent before the claim is known
    /// to be in the table.
    pub read_back: bool,
    /// A claim that is read back counts as the reader's own only if its token matches.
    pub own_token: bool,
    /// The holder's lease is checked immediately before sending.
    pub lease_before_send: bool,
    /// To release a claim whose row is absent, a `released` row is written, so that an insert still
    /// in flight fails and can't block the key.
    pub seal: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            remember: true,
            bind_incarnation: true,
            one_clock: true,
            burn_refused: true,
            stop_before_offer: true,
            unknown_once_offered: true,
            adopt_once: true,
            bind_successor: true,
            carry_closed: true,
            read_back: true,
            own_token: true,
            lease_before_send: true,
            seal: true,
        }
    }
}
