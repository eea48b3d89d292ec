//! Difference between two tables.

use crate::{
    prefs::Preference,
    Block,
    Table, //
};
use base::RegionId;
use std::collections::BTreeMap;

/// New state of each block that differs: a preference, or gone.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Delta {
    /// Sorted by block, as applying needs it.
    changes: BTreeMap<Block, Option<Preference>>,
}

impl Delta {
    /// What turns `old` into `new`. Chunks that both share are not looked at.
    pub fn between(old: &Table, new: &Table) -> Self {
        let mut delta = Self::default();
        old.compare(new, |block, regions| {
            delta.changes.insert(block, regions.cloned());
        });
        delta
    }

    /// What turns `old` into `new`, if at most `most` blocks differ.
    ///
    /// Two tables that have little in common would make a difference several times larger than
    /// themselves, only for it to be thrown away.
    pub fn between_at_most(old: &Table, new: &Table, most: usize) -> Option<Self> {
        let mut differ = 0;
        old.compare(new, |_, _| differ += 1);
        (differ <= most).then(|| Self::between(old, new))
    }

    /// Adds a block or gives it another preference.
    pub fn set(&mut self, block: Block, regions: &[RegionId]) {
        self.changes.insert(block, Some(regions.into()));
    }

    /// Removes a block.
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

    /// Whether the delta says something of the block.
    pub fn contains(&self, block: Block) -> bool {
        self.changes.contains_key(&block)
    }

    /// The blocks that differ, sorted, each with its new preference unless it is gone.
    pub fn iter(&self) -> impl Iterator<Item = (Block, Option<&[RegionId]>)> + '_ {
        self.changes
            .iter()
            .map(|(block, regions)| (*block, regions.as_deref()))
    }
}
