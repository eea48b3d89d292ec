//! Map from prefixes of one key width to preferences, as a list of shared chunks.

use crate::{
    chunk::{
        Chunk,
        Item,
        MAX_LEN,
        MIN_LEN,
        TARGET_LEN, //
    },
    key::Key,
};
use std::{
    collections::BTreeSet,
    iter::Peekable,
    mem::size_of,
    sync::Arc, //
};

/// Covering block: it begins in an earlier chunk and extends into this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Cover<K> {
    /// Last address.
    last: K,
    /// Index of the preference.
    pref: u16,
}

/// Chunk in the chunk list of a prefix map, with its covers.
///
/// Copies share the chunk and the covers: applying a delta copies the chunk list, the changed
/// chunks, and the covers only where a block that extends across chunks was added or removed.
#[derive(Clone, Debug)]
struct ChunkRef<K> {
    /// First address of the chunk's first block.
    start: K,
    /// Blocks of earlier chunks that contain `start`, outermost first.
    covers: Arc<[Cover<K>]>,
    /// Blocks that begin in this chunk.
    chunk: Arc<Chunk<K>>,
}

impl<K: Key> ChunkRef<K> {
    /// Id of the chunk's first block.
    fn first_id(&self) -> (K, u8) {
        self.chunk.item(0).id()
    }

    /// Covers of the next chunk, which begins at `start`.
    ///
    /// Every block that extends across the boundary contains this chunk's last block, or is it.
    fn covers_after(&self, start: K) -> Vec<Cover<K>> {
        let mut inner: Vec<_> = self
            .chunk
            .last_and_ancestors()
            .map(|item| Cover {
                last: item.last(),
                pref: item.pref,
            })
            .collect();
        inner.reverse();
        let mut covers = self.covers.to_vec();
        covers.append(&mut inner);
        covers.retain(|cover| cover.last >= start);
        covers
    }
}

/// Id of a block and the index of its new preference, or `None` if it is removed.
pub(crate) type Edit<K> = ((K, u8), Option<u16>);

/// Map from the blocks of one kind of address to indices of preferences.
///
/// Invariants: chunks ascend and none is empty; the covers of a chunk are exactly the blocks of
/// earlier chunks that contain its first address.
#[derive(Clone, Debug)]
pub(crate) struct PrefixMap<K> {
    /// Chunks in ascending order.
    chunks: Vec<ChunkRef<K>>,
}

impl<K: Key> PrefixMap<K> {
    /// Preference of the innermost block that contains an address.
    pub(crate) fn find(&self, addr: K) -> Option<u16> {
        let position = self
            .chunks
            .partition_point(|chunk_ref| chunk_ref.start <= addr);
        let chunk_ref = &self.chunks[position.checked_sub(1)?];
        chunk_ref.chunk.find(addr).or_else(|| {
            let cover = chunk_ref.covers.iter().rfind(|cover| cover.last >= addr);
            cover.map(|cover| cover.pref)
        })
    }

    /// Number of blocks.
    pub(crate) fn len(&self) -> usize {
        self.chunks
            .iter()
            .map(|chunk_ref| chunk_ref.chunk.len())
            .sum()
    }

    /// All blocks, ascending.
    pub(crate) fn items(&self) -> impl Iterator<Item = Item<K>> + '_ {
        self.chunks
            .iter()
            .flat_map(|chunk_ref| chunk_ref.chunk.items())
    }

    /// Returns a map with sorted, distinct edits applied; it shares the chunks without an edit.
    pub(crate) fn apply(&self, edits: &[Edit<K>]) -> Self {
        let mut edits = edits;
        let mut builder = ChunkListBuilder::default();
        for (index, chunk_ref) in self.chunks.iter().enumerate() {
            let split = match self.chunks.get(index + 1) {
                Some(next) => edits.partition_point(|(id, _)| *id < next.first_id()),
                None => edits.len(),
            };
            let (chunk_edits, remaining) = edits.split_at(split);
            edits = remaining;
            if chunk_edits.is_empty() {
                builder.push_shared(chunk_ref);
            } else {
                builder.push_items(&merge(chunk_ref.chunk.items(), chunk_edits));
            }
        }
        // Edits remain only if this map has no chunks.
        builder.push_items(&merge(std::iter::empty(), edits));
        builder.finish()
    }

    /// Calls `visit` for each block that differs, with its item in `self` and in `later`.
    ///
    /// `same` compares the preferences of two items. Shared chunks are skipped.
    pub(crate) fn compare(
        &self,
        later: &Self,
        same: impl Fn(&Item<K>, &Item<K>) -> bool,
        mut visit: impl FnMut(Option<Item<K>>, Option<Item<K>>),
    ) {
        let mut old = Cursor::new(self);
        let mut new = Cursor::new(later);
        loop {
            if old.skip_shared(&mut new) {
                continue;
            }
            match (old.item(), new.item()) {
                (None, None) => return,
                (Some(old_item), Some(new_item)) if old_item.id() == new_item.id() => {
                    if !same(&old_item, &new_item) {
                        visit(Some(old_item), Some(new_item));
                    }
                    old.advance();
                    new.advance();
                }
                (Some(old_item), new_item)
                    if new_item.is_none_or(|new_item| old_item.id() < new_item.id()) =>
                {
                    visit(Some(old_item), None);
                    old.advance();
                }
                (_, new_item) => {
                    visit(None, new_item);
                    new.advance();
                }
            }
        }
    }

    /// Bytes on the heap that are not shared with `other`: the chunk list and unshared chunks.
    pub(crate) fn unshared_bytes(&self, other: &Self) -> usize {
        let other_chunks: BTreeSet<_> =
            other.chunks.iter().map(|c| Arc::as_ptr(&c.chunk)).collect();
        let list_bytes = self.chunks.capacity() * size_of::<ChunkRef<K>>();
        let unshared = self
            .chunks
            .iter()
            .filter(|chunk_ref| !other_chunks.contains(&Arc::as_ptr(&chunk_ref.chunk)))
            .map(|chunk_ref| size_of::<Chunk<K>>() + chunk_ref.chunk.memory_bytes());
        list_bytes + unshared.sum::<usize>()
    }

    /// Bytes on the heap, shared ones included.
    pub(crate) fn memory_bytes(&self) -> usize {
        let mut bytes = self.chunks.capacity() * size_of::<ChunkRef<K>>();
        let mut previous: Option<&ChunkRef<K>> = None;
        for chunk_ref in &self.chunks {
            bytes += size_of::<Chunk<K>>() + chunk_ref.chunk.memory_bytes();
            if previous.is_none_or(|previous| !Arc::ptr_eq(&previous.covers, &chunk_ref.covers)) {
                bytes += size_of_val(&*chunk_ref.covers);
            }
            previous = Some(chunk_ref);
        }
        bytes
    }
}

/// Applies sorted edits to sorted blocks.
fn merge<K: Key>(items: impl Iterator<Item = Item<K>>, edits: &[Edit<K>]) -> Vec<Item<K>> {
    let mut edits = edits.iter().peekable();
    let mut merged = Vec::new();
    for item in items {
        apply_edits_while(&mut edits, &mut merged, |id| id < item.id());
        if edits.peek().is_some_and(|(id, _)| *id == item.id()) {
            apply_edits_while(&mut edits, &mut merged, |id| id == item.id());
        } else {
            merged.push(item);
        }
    }
    apply_edits_while(&mut edits, &mut merged, |_| true);
    merged
}

/// Consumes edits as long as `predicate` holds for their ids, and adds the blocks that they set to
/// `merged`.
fn apply_edits_while<'a, K: Key + 'a>(
    edits: &mut Peekable<impl Iterator<Item = &'a Edit<K>>>,
    merged: &mut Vec<Item<K>>,
    predicate: impl Fn((K, u8)) -> bool,
) {
    while let Some(((start, len), pref)) = edits.next_if(|(id, _)| predicate(*id)) {
        merged.extend(pref.map(|pref| Item {
            start: *start,
            len: *len,
            pref,
        }));
    }
}

/// Builds a prefix map from blocks in any order.
///
/// Blocks that are pushed in order go straight into chunks. If all were collected first and then
/// sorted, a large table would be in memory twice at the end, besides the one in force.
#[derive(Debug)]
pub(crate) struct PrefixMapBuilder<K> {
    /// Chunks of the blocks that were pushed in order.
    chunks: ChunkListBuilder<K>,
    /// Blocks in order that don't fill a chunk yet.
    pending: Vec<Item<K>>,
    /// Id of the last block that was pushed in order.
    last_id: Option<(K, u8)>,
    /// Blocks that were pushed out of order, in push order.
    out_of_order: Vec<Item<K>>,
    /// Number of pushed blocks, repeated ones included.
    len: usize,
}

impl<K> Default for PrefixMapBuilder<K> {
    fn default() -> Self {
        Self {
            chunks: ChunkListBuilder::default(),
            pending: Vec::new(),
            last_id: None,
            out_of_order: Vec::new(),
            len: 0,
        }
    }
}

impl<K: Key> PrefixMapBuilder<K> {
    /// Adds a block. If it was added before, the new preference replaces the earlier one.
    pub(crate) fn push(&mut self, item: Item<K>) {
        self.len += 1;
        if self.last_id.is_some_and(|last_id| item.id() <= last_id) {
            self.out_of_order.push(item);
            return;
        }
        self.last_id = Some(item.id());
        self.pending.push(item);
        if self.pending.len() == TARGET_LEN {
            self.flush_pending();
        }
    }

    /// Number of blocks so far, repeated ones included.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the finished map.
    pub(crate) fn finish(mut self) -> PrefixMap<K> {
        self.flush_pending();
        let in_order = self.chunks.finish();
        if self.out_of_order.is_empty() {
            return in_order;
        }
        // Every repetition of an in-order block was pushed later, is out of order and takes
        // precedence. The out-of-order blocks come first and the sort is stable, so deduplication
        // keeps them.
        let mut items = dedup_keep_last(self.out_of_order);
        items.extend(in_order.items());
        drop(in_order);
        items.sort_by_key(Item::id);
        items.dedup_by_key(|item| item.id());
        let mut builder = ChunkListBuilder::default();
        builder.push_items(&items);
        builder.finish()
    }

    /// Adds the pending blocks as a chunk.
    fn flush_pending(&mut self) {
        self.chunks.push_items(&self.pending);
        self.pending.clear();
    }
}

/// Sorts blocks and keeps the last of equal ones.
fn dedup_keep_last<K: Key>(mut items: Vec<Item<K>>) -> Vec<Item<K>> {
    // The sort is stable, so the last of equal blocks is the one that was pushed last.
    items.sort_by_key(Item::id);
    items.dedup_by(|later, kept| {
        let repeated = later.id() == kept.id();
        if repeated {
            *kept = *later;
        }
        repeated
    });
    items
}

/// Builds the chunk list of a prefix map in ascending order.
#[derive(Debug)]
struct ChunkListBuilder<K> {
    /// Chunks so far, with their covers.
    chunks: Vec<ChunkRef<K>>,
}

impl<K> Default for ChunkListBuilder<K> {
    fn default() -> Self {
        Self { chunks: Vec::new() }
    }
}

impl<K: Key> ChunkListBuilder<K> {
    /// Adds blocks as new chunks; fewer than [`MIN_LEN`] go into the previous chunk if they fit.
    fn push_items(&mut self, items: &[Item<K>]) {
        let is_small = items.len() < MIN_LEN;
        let has_room = |chunk_ref: &ChunkRef<K>| chunk_ref.chunk.len() + items.len() <= MAX_LEN;
        if is_small && !items.is_empty() && self.chunks.last().is_some_and(has_room) {
            let chunk_ref = self.chunks.pop().expect("the list has a last chunk");
            let joined: Vec<_> = chunk_ref
                .chunk
                .items()
                .chain(items.iter().copied())
                .collect();
            self.push_chunk(&joined);
        } else if items.len() <= MAX_LEN {
            self.push_chunk(items);
        } else {
            let chunk_count = items.len().div_ceil(TARGET_LEN);
            for chunk_items in items.chunks(items.len().div_ceil(chunk_count)) {
                self.push_chunk(chunk_items);
            }
        }
    }

    /// Adds blocks as one new chunk.
    fn push_chunk(&mut self, items: &[Item<K>]) {
        if let Some(first) = items.first() {
            let covers = self.covers_at(first.start, None);
            self.chunks.push(ChunkRef {
                start: first.start,
                covers,
                chunk: Arc::new(Chunk::build(items)),
            });
        }
    }

    /// Adds a chunk of another map without copying it.
    fn push_shared(&mut self, chunk_ref: &ChunkRef<K>) {
        let covers = self.covers_at(chunk_ref.start, Some(&chunk_ref.covers));
        self.chunks.push(ChunkRef {
            start: chunk_ref.start,
            covers,
            chunk: Arc::clone(&chunk_ref.chunk),
        });
    }

    /// Covers of the next chunk, shared with `old` or with the previous chunk if they are equal.
    fn covers_at(&self, start: K, old: Option<&Arc<[Cover<K>]>>) -> Arc<[Cover<K>]> {
        let previous = self.chunks.last();
        let covers = previous.map_or_else(Vec::new, |chunk_ref| chunk_ref.covers_after(start));
        let shareable = old
            .into_iter()
            .chain(previous.map(|chunk_ref| &chunk_ref.covers));
        let equal = shareable.into_iter().find(|shared| ***shared == *covers);
        equal.map_or_else(|| covers.into(), Arc::clone)
    }

    /// Returns the finished map.
    fn finish(mut self) -> PrefixMap<K> {
        self.chunks.shrink_to_fit();
        PrefixMap {
            chunks: self.chunks,
        }
    }
}

/// Cursor over the blocks of a prefix map that can skip whole chunks.
struct Cursor<'a, K> {
    /// The current chunk and all later ones.
    chunks: &'a [ChunkRef<K>],
    /// Index of the current block in the current chunk.
    index: usize,
}

impl<'a, K: Key> Cursor<'a, K> {
    /// Creates a cursor at the first block.
    fn new(prefix_map: &'a PrefixMap<K>) -> Self {
        Self {
            chunks: &prefix_map.chunks,
            index: 0,
        }
    }

    /// Current block; `None` at the end.
    fn item(&self) -> Option<Item<K>> {
        let chunk_ref = self.chunks.first()?;
        Some(chunk_ref.chunk.item(self.index))
    }

    /// Moves to the next block.
    fn advance(&mut self) {
        let Some(chunk_ref) = self.chunks.first() else {
            return;
        };
        self.index += 1;
        if self.index == chunk_ref.chunk.len() {
            self.skip_chunk();
        }
    }

    /// Moves to the next chunk.
    fn skip_chunk(&mut self) {
        self.chunks = &self.chunks[1..];
        self.index = 0;
    }

    /// Skips one chunk if both cursors are at the start of the same shared chunk.
    fn skip_shared(&mut self, other: &mut Self) -> bool {
        let (Some(own), Some(others)) = (self.chunks.first(), other.chunks.first()) else {
            return false;
        };
        let shared = self.index == 0 && other.index == 0 && Arc::ptr_eq(&own.chunk, &others.chunk);
        if shared {
            self.skip_chunk();
            other.skip_chunk();
        }
        shared
    }
}
