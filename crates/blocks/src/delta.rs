//! Differences between two tables.

use crate::{
    prefs::Preference,
    Block,
    Table, //
};
use base::RegionId;
use std::collections::BTreeMap;

/// Difference between two tables: the new preference of each changed block, or its removal.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Delta {
    /// Changes sorted by block, the order in which they are applied; `None` removes the block.
    changes: BTreeMap<Block, Option<Preference>>,
}

impl Delta {
    /// Computes the changes from `old` to `new`. Skips chunks that both share.
    pub fn between(old: &Table, new: &Table) -> Self {
        let mut delta = Self::default();
        old.compare(new, |block, regions| {
            delta.changes.insert(block, regions.cloned());
        });
        delta
    }

    /// Computes the changes from `old` to `new`, if at most `max_len` blocks differ.
    ///
    /// Counts first, because the delta of two tables with little in common would take several times
    /// their memory, only to be discarded.
    pub fn between_at_most(old: &Table, new: &Table, max_len: usize) -> Option<Self> {
        let mut count = 0;
        old.compare(new, |_, _| count += 1);
        (count <= max_len).then(|| Self::between(old, new))
    }

    /// Records that a block is added or gets another preference.
    pub fn set(&mut self, block: Block, regions: &[RegionId]) {
        self.changes.insert(block, Some(regions.into()));
    }

    /// Records that a block is removed.
    pub fn remove(&mut self, block: Block) {
        self.changes.insert(block, None);
    }

    /// Number of blocks that differ.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Whether the delta changes the block.
    pub fn contains(&self, block: Block) -> bool {
        self.changes.contains_key(&block)
    }

    /// The blocks that differ, sorted, each with its new preference, or `None` if it is removed.
    pub fn iter(&self) -> impl Iterator<Item = (Block, Option<&[RegionId]>)> + '_ {
        self.changes
            .iter()
            .map(|(block, regions)| (*block, regions.as_deref()))
    }
}
