//! Switches of the protocol's guards, for the search that shows what each is for.

/// Guards of [`crate::Accept`] and [`crate::Adopt`]; all on, but in a search that seeds a fault.
///
/// A search that finds no broken promise proves little unless it finds one as soon as a guard is
/// off. The daemon only ever uses [`Guards::ALL`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Guards {
    /// Store the objects before the head that names them.
    pub objects_first: bool,
    /// Commit only on the head that was read.
    pub check_head: bool,
    /// Look for the row of the accept id before each commit.
    pub find_accept_id: bool,
    /// Read back a commit whose answer was lost, instead of taking it for not done.
    pub read_back: bool,
    /// Adopt only higher versions.
    pub only_higher: bool,
    /// Adopt an object only under the head that names its digest.
    pub match_digest: bool,
    /// Be ready only once every source was heard or given up.
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
