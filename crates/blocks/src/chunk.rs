//! Immutable run of adjacent blocks that tables share.

use crate::key::Key;
use std::mem::size_of;

/// Maximum number of blocks in a chunk; a chunk that would exceed it is split.
pub(crate) const MAX_LEN: usize = 512;
/// Number of blocks in a new chunk, which leaves room to grow before a split.
pub(crate) const TARGET_LEN: usize = 256;
/// A changed chunk with fewer blocks is merged into the previous one if both fit in one.
pub(crate) const MIN_LEN: usize = 64;

/// Block of one prefix map, with the index of its preference.
///
/// Items are ordered by start, then length: a block comes right before those nested in it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Item<K> {
    /// First address.
    pub(crate) start: K,
    /// Length of the prefix.
    pub(crate) len: u8,
    /// Index of the preference.
    pub(crate) pref: u16,
}

impl<K: Key> Item<K> {
    /// Start and length, which identify the block.
    pub(crate) fn id(&self) -> (K, u8) {
        (self.start, self.len)
    }

    /// Last address.
    pub(crate) fn last(&self) -> K {
        self.start.last(self.len)
    }
}

/// Data of a block other than its start.
#[derive(Clone, Copy, Debug)]
struct Meta {
    /// Index of the preference.
    pref: u16,
    /// Position, counted from 1, of the innermost enclosing block in this chunk; 0 if none.
    parent: u16,
    /// Length of the prefix.
    len: u8,
}

/// Sorted blocks of a chunk, at least one.
///
/// Starts are stored separately, so that the binary search touches few cache lines.
#[derive(Debug)]
pub(crate) struct Chunk<K> {
    /// First addresses, ascending.
    starts: Box<[K]>,
    /// Other data of the blocks, in the same order.
    metas: Box<[Meta]>,
}

impl<K: Key> Chunk<K> {
    /// Builds a chunk from sorted, distinct blocks.
    pub(crate) fn build(items: &[Item<K>]) -> Self {
        debug_assert!(!items.is_empty() && items.len() <= MAX_LEN);
        debug_assert!(items.is_sorted_by(|a, b| a.id() < b.id()));
        let mut enclosing: Vec<u16> = Vec::new();
        let mut metas = Vec::with_capacity(items.len());
        for (position, item) in (1..).zip(items) {
            while let Some(&innermost) = enclosing.last() {
                if items[usize::from(innermost) - 1].last() >= item.start {
                    break;
                }
                enclosing.pop();
            }
            metas.push(Meta {
                pref: item.pref,
                parent: enclosing.last().copied().unwrap_or(0),
                len: item.len,
            });
            enclosing.push(position);
        }
        Self {
            starts: items.iter().map(|item| item.start).collect(),
            metas: metas.into(),
        }
    }

    /// Number of blocks.
    pub(crate) fn len(&self) -> usize {
        self.starts.len()
    }

    /// The block at an index.
    pub(crate) fn item(&self, index: usize) -> Item<K> {
        let meta = self.metas[index];
        Item {
            start: self.starts[index],
            len: meta.len,
            pref: meta.pref,
        }
    }

    /// All blocks, ascending.
    pub(crate) fn items(&self) -> impl Iterator<Item = Item<K>> + '_ {
        (0..self.len()).map(|index| self.item(index))
    }

    /// Preference of the innermost block of this chunk that contains an address.
    ///
    /// Every block that contains the address also contains the last block that starts at or before
    /// the address, or is that block. So only this block and its ancestors are examined.
    pub(crate) fn find(&self, addr: K) -> Option<u16> {
        let position = self.starts.partition_point(|start| *start <= addr);
        let containing = self
            .with_ancestors(position)
            .find(|item| item.last() >= addr);
        containing.map(|item| item.pref)
    }

    /// The last block and its ancestors, innermost first.
    pub(crate) fn last_and_ancestors(&self) -> impl Iterator<Item = Item<K>> + '_ {
        self.with_ancestors(self.len())
    }

    /// The block at a position counted from 1 and its ancestors, innermost first.
    fn with_ancestors(&self, position: usize) -> impl Iterator<Item = Item<K>> + '_ {
        let mut position = position;
        std::iter::from_fn(move || {
            let index = position.checked_sub(1)?;
            position = self.metas[index].parent.into();
            Some(self.item(index))
        })
    }

    /// Bytes on the heap.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.len() * (size_of::<K>() + size_of::<Meta>())
    }
}
