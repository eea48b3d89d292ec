//! Switches for the guards of the protocol, for a state search that shows the need for each.

/// Guards of [`crate::Accept`] and [`crate::Adopt`]; one is switched off only to seed a fault in a
/// state search.
///
/// A search that finds no violated invariant proves little unless it finds one as soon as a guard
/// is off. The daemon always uses [`Guards::ALL`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// Store the objects before the head that refers to them.
    pub objects_first: bool,
    /// Commit only if the head hasn't changed since it was read.
    pub check_head: bool,
    /// Check for the row of the accept id before each commit.
    pub find_accept_id: bool,
    /// Read the rows back after a commit whose outcome is unknown, instead of assuming that it
    /// failed.
    pub read_back: bool,
    /// Adopt only higher versions.
    pub only_higher: bool,
    /// Accept a fetched object only if its digest is the requested one.
    pub match_digest: bool,
    /// Become ready only after every source has reported or was given up.
    pub ready_after_all: bool,
}

impl Guards {
    /// All guards on.
    pub const ALL: Self = Self {
        objects_first: true,
        check_head: true,
        find_accept_id: true,
        read_back: true,
        only_higher: true,
        match_digest: true,
        ready_after_all: true,
    };
}

impl Default for Guards {
    fn default() -> Self {
        Self::ALL
    }
}
