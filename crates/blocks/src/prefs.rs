//! Interned preferences: many blocks share few of them, so each block stores a small index.

use base::{
    FastMap,
    RegionId, //
};
use std::{
    error::Error,
    fmt,
    sync::Arc, //
};

/// Regions in order of preference, the home region first.
pub type Preference = Arc<[RegionId]>;

/// More distinct preferences than the 65,536 that a table can index.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TooManyPreferences;

impl fmt::Display for TooManyPreferences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("more than 65536 distinct region preferences")
    }
}

impl Error for TooManyPreferences {}

/// Assigns one index to each distinct preference; an index never changes its meaning.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interner {
    /// Preference of each index.
    lists: Vec<Preference>,
    /// Index of each preference.
    indices: FastMap<Preference, u16>,
}

impl Interner {
    /// Continues with the indices of an existing table.
    pub(crate) fn from_lists(lists: &[Preference]) -> Self {
        let indices = lists.iter().cloned().zip(0..=u16::MAX).collect();
        Self {
            lists: lists.to_vec(),
            indices,
        }
    }

    /// Index of a preference, newly assigned if it has none.
    pub(crate) fn index(&mut self, regions: &[RegionId]) -> Result<u16, TooManyPreferences> {
        if let Some(index) = self.indices.get(regions) {
            return Ok(*index);
        }
        let index = u16::try_from(self.lists.len()).map_err(|_| TooManyPreferences)?;
        let list: Preference = regions.into();
        self.lists.push(Arc::clone(&list));
        self.indices.insert(list, index);
        Ok(index)
    }

    /// Preference of each index.
    pub(crate) fn into_lists(self) -> Vec<Preference> {
        self.lists
    }
}
