//! The block table: longest-prefix lookup of preferences.

use crate::{
    chunk::Item,
    prefix_map::{
        Edit,
        PrefixMap,
        PrefixMapBuilder, //
    },
    prefs::{
        Interner,
        Preference, //
    },
    Block,
    Delta,
    TooManyPreferences, //
};
use base::RegionId;
use std::{
    collections::BTreeSet,
    mem::size_of,
    net::IpAddr,
    sync::Arc, //
};

/// Half the bits of an IPv6 address: the longest prefix that is stored with a 64-bit key.
const HALF_BITS: u8 = 64;

/// Immutable table from client blocks to ordered preferences of regions.
///
/// Clones and the results of [`Table::apply`] share what does not change. IPv6 blocks of at most 64
/// bits, which are nearly all, are stored with 64-bit keys; a longer one always takes precedence.
#[derive(Clone, Debug)]
pub struct Table {
    /// IPv4 blocks.
    v4: PrefixMap<u32>,
    /// IPv6 blocks of at most 64 bits.
    v6: PrefixMap<u64>,
    /// IPv6 blocks of more than 64 bits.
    v6_long: PrefixMap<u128>,
    /// Preference of each index in the prefix maps.
    prefs: Arc<[Preference]>,
}

impl Default for Table {
    fn default() -> Self {
        Builder::default().finish()
    }
}

/// Tables are equal if they have the same blocks with the same preferences.
impl PartialEq for Table {
    fn eq(&self, other: &Self) -> bool {
        Delta::between(self, other).is_empty()
    }
}

impl Eq for Table {}

impl Table {
    /// Builds a table. The last of repeated blocks counts.
    ///
    /// # Errors
    ///
    /// When there are too many distinct preferences.
    pub fn build<'a>(
        blocks: impl IntoIterator<Item = (Block, &'a [RegionId])>,
    ) -> Result<Self, TooManyPreferences> {
        let mut builder = Builder::default();
        for (block, regions) in blocks {
            builder.push(block, regions)?;
        }
        Ok(builder.finish())
    }

    /// Preference of the longest block that contains an address, if any.
    ///
    /// An IPv4-mapped IPv6 address is looked up as IPv4.
    pub fn lookup(&self, addr: IpAddr) -> Option<&[RegionId]> {
        let index = match addr.to_canonical() {
            IpAddr::V4(addr) => self.v4.find(addr.to_bits()),
            IpAddr::V6(addr) => {
                let bits = addr.to_bits();
                let long = self.v6_long.find(bits);
                long.or_else(|| self.v6.find(high_half(bits)))
            }
        };
        Some(&*self.prefs[usize::from(index?)])
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len() + self.v6_long.len()
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All blocks with their preferences, sorted within each kind of address.
    pub fn iter(&self) -> impl Iterator<Item = (Block, &Preference)> + '_ {
        self.indexed()
            .map(|(block, index)| (block, &self.prefs[usize::from(index)]))
    }

    /// All blocks with the indices of their preferences, in the order of [`Table::iter`].
    pub(crate) fn indexed(&self) -> impl Iterator<Item = (Block, u16)> + '_ {
        let v4 = self.v4.items().map(|item| (block_v4(item), item.pref));
        let v6 = self.v6.items().map(|item| (block_v6(item), item.pref));
        let long = self.v6_long.items();
        let long = long.map(|item| (block_v6_long(item), item.pref));
        v4.chain(v6).chain(long)
    }

    /// Preference of each index.
    pub(crate) fn preferences(&self) -> &[Preference] {
        &self.prefs
    }

    /// All regions in the preferences of the blocks.
    pub fn regions(&self) -> BTreeSet<RegionId> {
        let mut used = vec![false; self.prefs.len()];
        for (_, index) in self.indexed() {
            used[usize::from(index)] = true;
        }
        let used = self.prefs.iter().zip(used).filter(|(_, used)| *used);
        used.flat_map(|(regions, _)| regions.iter().cloned())
            .collect()
    }

    /// Returns a table with the difference applied. It shares the unchanged parts with this one.
    ///
    /// Removing a nested block exposes the enclosing one; removing an absent block has no effect.
    ///
    /// # Errors
    ///
    /// When there are too many distinct preferences, even after unused ones are dropped.
    pub fn apply(&self, delta: &Delta) -> Result<Self, TooManyPreferences> {
        match self.apply_sharing(delta) {
            Ok(table) => Ok(table),
            // Indices are never reused, because shared chunks refer to them. Rebuilding drops those
            // that no block uses any more.
            Err(TooManyPreferences) => self.rebuilt()?.apply_sharing(delta),
        }
    }

    /// Bytes on the heap; parts shared with other tables count in full.
    pub fn memory_bytes(&self) -> usize {
        let prefs: usize = self
            .prefs
            .iter()
            .map(|regions| size_of::<Preference>() + size_of_val(&**regions))
            .sum();
        prefs + self.v4.memory_bytes() + self.v6.memory_bytes() + self.v6_long.memory_bytes()
    }

    /// Bytes on the heap that are not shared with `other`, without preferences.
    pub fn unshared_bytes(&self, other: &Self) -> usize {
        self.v4.unshared_bytes(&other.v4)
            + self.v6.unshared_bytes(&other.v6)
            + self.v6_long.unshared_bytes(&other.v6_long)
    }

    /// Applies a difference; new preferences get indices after the existing ones.
    fn apply_sharing(&self, delta: &Delta) -> Result<Self, TooManyPreferences> {
        let mut interner = Interner::from_lists(&self.prefs);
        let mut edits = Edits::default();
        for (block, regions) in delta.iter() {
            let index = regions.map(|regions| interner.index(regions)).transpose()?;
            edits.push(block, index);
        }
        let preferences = interner.into_lists();
        let prefs = if preferences.len() == self.prefs.len() {
            Arc::clone(&self.prefs)
        } else {
            preferences.into()
        };
        Ok(Self {
            v4: self.v4.apply(&edits.v4),
            v6: self.v6.apply(&edits.v6),
            v6_long: self.v6_long.apply(&edits.v6_long),
            prefs,
        })
    }

    /// Rebuilds the table with only the preferences in use.
    fn rebuilt(&self) -> Result<Self, TooManyPreferences> {
        Self::build(self.iter().map(|(block, regions)| (block, &**regions)))
    }

    /// Calls `visit` for each block that differs, with its preference in `later` or `None`.
    pub(crate) fn compare(&self, later: &Self, mut visit: impl FnMut(Block, Option<&Preference>)) {
        let same = |old: u16, new: u16| {
            let old = &self.prefs[usize::from(old)];
            let new = &later.prefs[usize::from(new)];
            Arc::ptr_eq(old, new) || old == new
        };
        let pref = |index: u16| &later.prefs[usize::from(index)];
        self.v4.compare(
            &later.v4,
            |a, b| same(a.pref, b.pref),
            |old, new| {
                let item = new.or(old).expect("a differing block is in a table");
                visit(block_v4(item), new.map(|new| pref(new.pref)));
            },
        );
        self.v6.compare(
            &later.v6,
            |a, b| same(a.pref, b.pref),
            |old, new| {
                let item = new.or(old).expect("a differing block is in a table");
                visit(block_v6(item), new.map(|new| pref(new.pref)));
            },
        );
        self.v6_long.compare(
            &later.v6_long,
            |a, b| same(a.pref, b.pref),
            |old, new| {
                let item = new.or(old).expect("a differing block is in a table");
                visit(block_v6_long(item), new.map(|new| pref(new.pref)));
            },
        );
    }
}

/// The prefix map that a block belongs to, and its key there.
enum TypedKey {
    /// IPv4.
    V4(u32),
    /// IPv6 of at most 64 bits.
    V6(u64),
    /// IPv6 of more than 64 bits.
    V6Long(u128),
}

impl TypedKey {
    /// Key of a block.
    fn of(block: Block) -> Self {
        match block.addr() {
            IpAddr::V4(addr) => Self::V4(addr.to_bits()),
            IpAddr::V6(addr) if block.prefix_len() <= HALF_BITS => {
                Self::V6(high_half(addr.to_bits()))
            }
            IpAddr::V6(addr) => Self::V6Long(addr.to_bits()),
        }
    }
}

/// First 64 bits of an IPv6 address.
fn high_half(bits: u128) -> u64 {
    // After the shift only 64 bits are left.
    (bits >> HALF_BITS) as u64
}

/// Block of an item with an IPv4 key.
fn block_v4(item: Item<u32>) -> Block {
    Block::v4(item.start, item.len)
}

/// Block of an item with a 64-bit key.
fn block_v6(item: Item<u64>) -> Block {
    Block::v6(u128::from(item.start) << HALF_BITS, item.len)
}

/// Block of an item with a 128-bit key.
fn block_v6_long(item: Item<u128>) -> Block {
    Block::v6(item.start, item.len)
}

/// Edits of each prefix map, sorted like the difference.
#[derive(Default)]
struct Edits {
    /// IPv4.
    v4: Vec<Edit<u32>>,
    /// IPv6 of at most 64 bits.
    v6: Vec<Edit<u64>>,
    /// IPv6 of more than 64 bits.
    v6_long: Vec<Edit<u128>>,
}

impl Edits {
    /// Adds the new state of a block.
    fn push(&mut self, block: Block, index: Option<u16>) {
        let len = block.prefix_len();
        match TypedKey::of(block) {
            TypedKey::V4(start) => self.v4.push(((start, len), index)),
            TypedKey::V6(start) => self.v6.push(((start, len), index)),
            TypedKey::V6Long(start) => self.v6_long.push(((start, len), index)),
        }
    }
}

/// Builds a table from blocks in any order; sorted blocks take the least time and memory.
#[derive(Debug, Default)]
pub struct Builder {
    /// IPv4 blocks.
    v4: PrefixMapBuilder<u32>,
    /// IPv6 blocks of at most 64 bits.
    v6: PrefixMapBuilder<u64>,
    /// IPv6 blocks of more than 64 bits.
    v6_long: PrefixMapBuilder<u128>,
    /// Indices of preferences.
    interner: Interner,
}

impl Builder {
    /// Adds a block. If it was added before, the new preference replaces the earlier one.
    ///
    /// # Errors
    ///
    /// When there are too many distinct preferences.
    pub fn push(&mut self, block: Block, regions: &[RegionId]) -> Result<(), TooManyPreferences> {
        let pref = self.interner.index(regions)?;
        let len = block.prefix_len();
        match TypedKey::of(block) {
            TypedKey::V4(start) => self.v4.push(Item { start, len, pref }),
            TypedKey::V6(start) => self.v6.push(Item { start, len, pref }),
            TypedKey::V6Long(start) => self.v6_long.push(Item { start, len, pref }),
        }
        Ok(())
    }

    /// Number of blocks so far, repeated ones included.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len() + self.v6_long.len()
    }

    /// Whether no block was added.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the finished table.
    pub fn finish(self) -> Table {
        Table {
            v4: self.v4.finish(),
            v6: self.v6.finish(),
            v6_long: self.v6_long.finish(),
            prefs: self.interner.into_lists().into(),
        }
    }
}
