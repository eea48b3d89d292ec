//! Switches that turn one guard off, so that a search can show what the guard is for.

/// Guards of this crate's state machines; all on, but in tests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// An outcome is remembered once the request has ended.
    pub remember: bool,
    /// Only tickets of the ledger's own incarnation run.
    pub bind_incarnation: bool,
    /// Expiry is judged by a clock that can't be stepped.
    pub one_clock: bool,
    /// A ticket for which a caller was told `not-run` never runs later.
    pub burn_refused: bool,
    /// Nothing runs once the records were offered to a successor.
    pub stop_before_offer: bool,
    /// Once it has made its offer, a ledger calls no unused ticket expired.
    pub unknown_once_offered: bool,
    /// A repeated offer changes nothing at the successor.
    pub adopt_once: bool,
    /// An offer is valid for one incarnation of the successor.
    pub bind_successor: bool,
    /// A successor refuses tickets that the giver may have forgotten.
    pub carry_closed: bool,
    /// Nothing is sent before the claim is known to be in the table.
    pub read_back: bool,
    /// A claim read back is one's own only by its token.
    pub own_token: bool,
    /// The holder's lease is checked immediately before sending.
    pub lease_before_send: bool,
    /// A claim whose request ended `not-run` is sealed before its key can be claimed again.
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
