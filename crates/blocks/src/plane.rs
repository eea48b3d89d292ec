//! All blocks of one kind of address, as a spine of shared chunks.

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

/// Block that began in an earlier chunk and reaches into this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Cover<K> {
    /// Last address.
    last: K,
    /// Index of the preference.
    pref: u16,
}

/// Place of a chunk in the spine.
///
/// Copies of a slot share its chunk and its covers: a difference copies the spine, the chunks that
/// it touches, and the covers only where a block across chunks came or went.
#[derive(Clone, Debug)]
struct Slot<K> {
    /// First address of the chunk's first block.
    first: K,
    /// Blocks of earlier chunks around `first`, the outermost first.
    covers: Arc<[Cover<K>]>,
    /// The blocks that begin here.
    chunk: Arc<Chunk<K>>,
}

impl<K: Key> Slot<K> {
    /// Block that the chunk begins with.
    fn first_id(&self) -> (K, u8) {
        self.chunk.item(0).id()
    }

    /// Covers of a slot that follows this one and begins at `first`.
    ///
    /// Whatever block reaches across the border contains this chunk's last block, or is it.
    fn covers_after(&self, first: K) -> Vec<Cover<K>> {
        let mut inner: Vec<_> = self
            .chunk
            .last_and_parents()
            .map(|item| Cover {
                last: item.last(),
                pref: item.pref,
            })
            .collect();
        inner.reverse();
        let mut covers = self.covers.to_vec();
        covers.append(&mut inner);
        covers.retain(|cover| cover.last >= first);
        covers
    }
}

/// New state of one block: a preference, or gone.
pub(crate) type Edit<K> = ((K, u8), Option<u16>);

/// Sorted blocks of one kind of address.
///
/// Invariants: slots ascend and no chunk is empty; `covers` of a slot are exactly the blocks of
/// earlier slots around its first address.
#[derive(Clone, Debug)]
pub(crate) struct Plane<K> {
    /// The spine.
    slots: Vec<Slot<K>>,
}

impl<K: Key> Plane<K> {
    /// Preference of the innermost block around an address.
    pub(crate) fn find(&self, addr: K) -> Option<u16> {
        let position = self.slots.partition_point(|slot| slot.first <= addr);
        let slot = &self.slots[position.checked_sub(1)?];
        slot.chunk.find(addr).or_else(|| {
            let cover = slot.covers.iter().rfind(|cover| cover.last >= addr);
            cover.map(|cover| cover.pref)
        })
    }

    /// Number of blocks.
    pub(crate) fn len(&self) -> usize {
        self.slots.iter().map(|slot| slot.chunk.len()).sum()
    }

    /// All blocks, ascending.
    pub(crate) fn items(&self) -> impl Iterator<Item = Item<K>> + '_ {
        self.slots.iter().flat_map(|slot| slot.chunk.items())
    }

    /// A plane with sorted, distinct edits applied; chunks without an edit are shared.
    pub(crate) fn apply(&self, edits: &[Edit<K>]) -> Self {
        let mut edits = edits;
        let mut spine = Spine::default();
        for (index, slot) in self.slots.iter().enumerate() {
            let here = match self.slots.get(index + 1) {
                Some(next) => edits.partition_point(|(id, _)| *id < next.first_id()),
                None => edits.len(),
            };
            let (mine, later) = edits.split_at(here);
            edits = later;
            if mine.is_empty() {
                spine.push_shared(slot);
            } else {
                spine.push_items(&merge(slot.chunk.items(), mine));
            }
        }
        // Only a plane without slots leaves any.
        spine.push_items(&merge(std::iter::empty(), edits));
        spine.finish()
    }

    /// Calls `visit` for each block that differs, with its item in `self` and in `later`.
    ///
    /// `same` compares the preferences of two items. Shared chunks are passed over whole.
    pub(crate) fn compare(
        &self,
        later: &Self,
        same: impl Fn(&Item<K>, &Item<K>) -> bool,
        mut visit: impl FnMut(Option<Item<K>>, Option<Item<K>>),
    ) {
        let mut a = Walk::new(self);
        let mut b = Walk::new(later);
        loop {
            if a.skip_shared(&mut b) {
                continue;
            }
            match (a.item(), b.item()) {
                (None, None) => return,
                (Some(x), Some(y)) if x.id() == y.id() => {
                    if !same(&x, &y) {
                        visit(Some(x), Some(y));
                    }
                    a.step();
                    b.step();
                }
                (Some(x), y) if y.is_none_or(|y| x.id() < y.id()) => {
                    visit(Some(x), None);
                    a.step();
                }
                (_, y) => {
                    visit(None, y);
                    b.step();
                }
            }
        }
    }

    /// Bytes on the heap beyond those shared with `other`: the spine and the chunks of its own.
    pub(crate) fn unshared_bytes(&self, other: &Self) -> usize {
        let theirs: BTreeSet<_> = other.slots.iter().map(|s| Arc::as_ptr(&s.chunk)).collect();
        let spine = self.slots.capacity() * size_of::<Slot<K>>();
        let own = self
            .slots
            .iter()
            .filter(|slot| !theirs.contains(&Arc::as_ptr(&slot.chunk)))
            .map(|slot| size_of::<Chunk<K>>() + slot.chunk.memory_bytes());
        spine + own.sum::<usize>()
    }

    /// Bytes on the heap, shared ones included.
    pub(crate) fn memory_bytes(&self) -> usize {
        let mut bytes = self.slots.capacity() * size_of::<Slot<K>>();
        let mut before: Option<&Slot<K>> = None;
        for slot in &self.slots {
            bytes += size_of::<Chunk<K>>() + slot.chunk.memory_bytes();
            if before.is_none_or(|before| !Arc::ptr_eq(&before.covers, &slot.covers)) {
                bytes += size_of_val(&*slot.covers);
            }
            before = Some(slot);
        }
        bytes
    }
}

/// Sorted blocks with sorted edits applied.
fn merge<K: Key>(items: impl Iterator<Item = Item<K>>, edits: &[Edit<K>]) -> Vec<Item<K>> {
    let mut edits = edits.iter().peekable();
    let mut merged = Vec::new();
    for item in items {
        take_edits(&mut edits, &mut merged, |id| id < item.id());
        if edits.peek().is_some_and(|(id, _)| *id == item.id()) {
            take_edits(&mut edits, &mut merged, |id| id == item.id());
        } else {
            merged.push(item);
        }
    }
    take_edits(&mut edits, &mut merged, |_| true);
    merged
}

/// Moves the blocks that edits set to `merged`, as long as `wanted` holds of their ids.
fn take_edits<'a, K: Key + 'a>(
    edits: &mut Peekable<impl Iterator<Item = &'a Edit<K>>>,
    merged: &mut Vec<Item<K>>,
    wanted: impl Fn((K, u8)) -> bool,
) {
    while let Some(((start, len), pref)) = edits.next_if(|(id, _)| wanted(*id)) {
        merged.extend(pref.map(|pref| Item {
            start: *start,
            len: *len,
            pref,
        }));
    }
}

/// Gathers the blocks of a plane, in any order.
///
/// Those that come in order go straight into chunks. Were all of them gathered first and sorted, a
/// large table would be held twice over at the end of its building, beside the one in force.
#[derive(Debug)]
pub(crate) struct PlaneBuilder<K> {
    /// Chunks of the blocks that came in order.
    spine: Spine<K>,
    /// Blocks in order that fill no chunk yet.
    run: Vec<Item<K>>,
    /// The last block that came in order.
    last: Option<(K, u8)>,
    /// Blocks that came too late for that, as they came.
    loose: Vec<Item<K>>,
    /// Number of blocks that came.
    len: usize,
}

impl<K> Default for PlaneBuilder<K> {
    fn default() -> Self {
        Self {
            spine: Spine::default(),
            run: Vec::new(),
            last: None,
            loose: Vec::new(),
            len: 0,
        }
    }
}

impl<K: Key> PlaneBuilder<K> {
    /// Adds a block; of one that is added twice the later counts.
    pub(crate) fn push(&mut self, item: Item<K>) {
        self.len += 1;
        if self.last.is_some_and(|last| item.id() <= last) {
            self.loose.push(item);
            return;
        }
        self.last = Some(item.id());
        self.run.push(item);
        if self.run.len() == TARGET_LEN {
            self.seal_run();
        }
    }

    /// Number of blocks so far, repeated ones included.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The plane.
    pub(crate) fn finish(mut self) -> Plane<K> {
        self.seal_run();
        let in_order = self.spine.finish();
        if self.loose.is_empty() {
            return in_order;
        }
        // A block in a chunk came before all others of its kind, so the loose ones go before it
        // in a stable sort, and of each the first counts.
        let mut items = last_of_each(self.loose);
        items.extend(in_order.items());
        drop(in_order);
        items.sort_by_key(Item::id);
        items.dedup_by_key(|item| item.id());
        let mut spine = Spine::default();
        spine.push_items(&items);
        spine.finish()
    }

    /// Makes a chunk of the blocks that fill none yet.
    fn seal_run(&mut self) {
        self.spine.push_items(&self.run);
        self.run.clear();
    }
}

/// Sorts blocks and keeps the last of each.
fn last_of_each<K: Key>(mut items: Vec<Item<K>>) -> Vec<Item<K>> {
    // The sort is stable, so that the last of equal blocks is the one that was added last.
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

/// Spine that grows from the front.
#[derive(Debug)]
struct Spine<K> {
    /// Slots so far, with right covers.
    slots: Vec<Slot<K>>,
}

impl<K> Default for Spine<K> {
    fn default() -> Self {
        Self { slots: Vec::new() }
    }
}

impl<K: Key> Spine<K> {
    /// Adds blocks in new chunks; few of them are joined with the chunk before.
    fn push_items(&mut self, items: &[Item<K>]) {
        let small = items.len() < MIN_LEN;
        let room = |slot: &Slot<K>| slot.chunk.len() + items.len() <= MAX_LEN;
        if small && !items.is_empty() && self.slots.last().is_some_and(room) {
            let slot = self.slots.pop().expect("A last slot was just looked at.");
            let joined: Vec<_> = slot.chunk.items().chain(items.iter().copied()).collect();
            self.push_chunk(&joined);
        } else if items.len() <= MAX_LEN {
            self.push_chunk(items);
        } else {
            let pieces = items.len().div_ceil(TARGET_LEN);
            for piece in items.chunks(items.len().div_ceil(pieces)) {
                self.push_chunk(piece);
            }
        }
    }

    /// Adds blocks as one new chunk.
    fn push_chunk(&mut self, items: &[Item<K>]) {
        if let Some(first) = items.first() {
            let covers = self.covers_at(first.start, None);
            self.slots.push(Slot {
                first: first.start,
                covers,
                chunk: Arc::new(Chunk::build(items)),
            });
        }
    }

    /// Adds a slot of another plane, sharing its chunk.
    fn push_shared(&mut self, slot: &Slot<K>) {
        let covers = self.covers_at(slot.first, Some(&slot.covers));
        self.slots.push(Slot {
            first: slot.first,
            covers,
            chunk: Arc::clone(&slot.chunk),
        });
    }

    /// Covers of the next slot, shared with `old` or the slot before where they are the same.
    fn covers_at(&self, first: K, old: Option<&Arc<[Cover<K>]>>) -> Arc<[Cover<K>]> {
        let before = self.slots.last();
        let covers = before.map_or_else(Vec::new, |slot| slot.covers_after(first));
        let shareable = old.into_iter().chain(before.map(|slot| &slot.covers));
        let same = shareable.into_iter().find(|old| ***old == *covers);
        same.map_or_else(|| covers.into(), Arc::clone)
    }

    /// The plane.
    fn finish(mut self) -> Plane<K> {
        self.slots.shrink_to_fit();
        Plane { slots: self.slots }
    }
}

/// Walk over a plane's blocks that knows when it is at the start of a chunk.
struct Walk<'a, K> {
    /// Slots that are not passed yet.
    slots: &'a [Slot<K>],
    /// Index in the first of them.
    index: usize,
}

impl<'a, K: Key> Walk<'a, K> {
    /// Starts at the first block.
    fn new(plane: &'a Plane<K>) -> Self {
        Self {
            slots: &plane.slots,
            index: 0,
        }
    }

    /// The block here.
    fn item(&self) -> Option<Item<K>> {
        let slot = self.slots.first()?;
        Some(slot.chunk.item(self.index))
    }

    /// Goes on to the next block.
    fn step(&mut self) {
        let Some(slot) = self.slots.first() else {
            return;
        };
        self.index += 1;
        if self.index == slot.chunk.len() {
            self.skip_chunk();
        }
    }

    /// Goes on to the next chunk.
    fn skip_chunk(&mut self) {
        self.slots = &self.slots[1..];
        self.index = 0;
    }

    /// Passes over one chunk that both walks are about to enter.
    fn skip_shared(&mut self, other: &mut Self) -> bool {
        let (Some(a), Some(b)) = (self.slots.first(), other.slots.first()) else {
            return false;
        };
        let shared = self.index == 0 && other.index == 0 && Arc::ptr_eq(&a.chunk, &b.chunk);
        if shared {
            self.skip_chunk();
            other.skip_chunk();
        }
        shared
    }
}
