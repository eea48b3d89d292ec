//! A run of neighbouring blocks, immutable and shared between tables.

use crate::key::Key;
use std::mem::size_of;

/// Most blocks in a chunk; a chunk that grows beyond is split.
pub(crate) const MAX_LEN: usize = 512;
/// Blocks in a new chunk, so that it can grow for a while.
pub(crate) const TARGET_LEN: usize = 256;
/// A chunk that shrinks below this is joined with the one before it.
pub(crate) const MIN_LEN: usize = 64;

/// Block of one plane with the index of its preference.
///
/// Items order by start, then length: a block comes right before those nested in it.
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
    /// What tells one block from another.
    pub(crate) fn id(&self) -> (K, u8) {
        (self.start, self.len)
    }

    /// Last address.
    pub(crate) fn last(&self) -> K {
        self.start.last(self.len)
    }
}

/// What is kept of a block beside its start.
#[derive(Clone, Copy, Debug)]
struct Meta {
    /// Index of the preference.
    pref: u16,
    /// Position after that of the innermost block of this chunk around it; 0 if there is none.
    parent: u16,
    /// Length of the prefix.
    len: u8,
}

/// Sorted blocks of a chunk, never none.
///
/// Starts lie apart from the rest, so that the binary search touches few cache lines.
#[derive(Debug)]
pub(crate) struct Chunk<K> {
    /// First addresses, ascending.
    starts: Box<[K]>,
    /// The rest, in the same order.
    metas: Box<[Meta]>,
}

impl<K: Key> Chunk<K> {
    /// Builds a chunk of sorted, distinct blocks.
    pub(crate) fn build(items: &[Item<K>]) -> Self {
        debug_assert!(!items.is_empty() && items.len() <= MAX_LEN);
        debug_assert!(items.is_sorted_by(|a, b| a.id() < b.id()));
        let mut around: Vec<u16> = Vec::new();
        let mut metas = Vec::with_capacity(items.len());
        for (position, item) in (1..).zip(items) {
            while let Some(&top) = around.last() {
                if items[usize::from(top) - 1].last() >= item.start {
                    break;
                }
                around.pop();
            }
            metas.push(Meta {
                pref: item.pref,
                parent: around.last().copied().unwrap_or(0),
                len: item.len,
            });
            around.push(position);
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

    /// Preference of the innermost block of this chunk around an address.
    ///
    /// The last block that starts at or before the address either contains it, or whatever block
    /// contains it also contains that one: so only its parents need to be looked at.
    pub(crate) fn find(&self, addr: K) -> Option<u16> {
        let position = self.starts.partition_point(|start| *start <= addr);
        let found = self.around(position).find(|item| item.last() >= addr);
        found.map(|item| item.pref)
    }

    /// The last block and its parents, the innermost first.
    pub(crate) fn last_and_parents(&self) -> impl Iterator<Item = Item<K>> + '_ {
        self.around(self.len())
    }

    /// The block at a position counted from 1 and its parents, the innermost first.
    fn around(&self, position: usize) -> impl Iterator<Item = Item<K>> + '_ {
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
