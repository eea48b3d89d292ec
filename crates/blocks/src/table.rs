//! The block table: longest prefix to preference.

use crate::{
    chunk::Item,
    plane::{
        Edit,
        Plane,
        PlaneBuilder, //
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

/// Longest prefix of IPv6 that is kept in the plane of half addresses.
const HALF: u8 = 64;

/// Immutable table from client blocks to ordered preferences of regions.
///
/// Cloning and [`Table::apply`] share what does not change. IPv6 blocks of at most 64 bits, which
/// are nearly all, are kept as half addresses; a longer one always wins over them.
#[derive(Clone, Debug)]
pub struct Table {
    /// IPv4 blocks.
    v4: Plane<u32>,
    /// IPv6 blocks of at most 64 bits.
    v6: Plane<u64>,
    /// IPv6 blocks of more than 64 bits.
    v6_long: Plane<u128>,
    /// Preference of each index in the planes.
    prefs: Arc<[Preference]>,
}

impl Default for Table {
    fn default() -> Self {
        Builder::default().finish()
    }
}

/// Tables are equal if they hold the same blocks with the same preferences.
impl PartialEq for Table {
    fn eq(&self, other: &Self) -> bool {
        Delta::between(self, other).is_empty()
    }
}

impl Eq for Table {}

impl Table {
    /// Builds a table; of a block that is given twice the later one counts.
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

    /// Preference of the longest block around an address, if any.
    ///
    /// An IPv4 address that is mapped into IPv6 is looked up as IPv4.
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

    /// All regions that some block prefers.
    pub fn regions(&self) -> BTreeSet<RegionId> {
        let mut used = vec![false; self.prefs.len()];
        for (_, index) in self.indexed() {
            used[usize::from(index)] = true;
        }
        let used = self.prefs.iter().zip(used).filter(|(_, used)| *used);
        used.flat_map(|(regions, _)| regions.iter().cloned())
            .collect()
    }

    /// A table with the difference applied; this one stays as it is, and untouched parts are
    /// shared.
    ///
    /// Removing a nested block uncovers the one around it; removing what is not there does nothing.
    ///
    /// # Errors
    ///
    /// When there are too many distinct preferences, also after those out of use were dropped.
    pub fn apply(&self, delta: &Delta) -> Result<Self, TooManyPreferences> {
        match self.apply_sharing(delta) {
            Ok(table) => Ok(table),
            // Indices are never reused, so that shared chunks keep their meaning. Building anew
            // drops those that no block uses any more.
            Err(TooManyPreferences) => self.rebuilt()?.apply_sharing(delta),
        }
    }

    /// Bytes on the heap; parts that are shared with other tables count in full.
    pub fn memory_bytes(&self) -> usize {
        let prefs: usize = self
            .prefs
            .iter()
            .map(|regions| size_of::<Preference>() + size_of_val(&**regions))
            .sum();
        prefs + self.v4.memory_bytes() + self.v6.memory_bytes() + self.v6_long.memory_bytes()
    }

    /// Bytes on the heap beyond those shared with `other`, apart from preferences.
    pub fn unshared_bytes(&self, other: &Self) -> usize {
        self.v4.unshared_bytes(&other.v4)
            + self.v6.unshared_bytes(&other.v6)
            + self.v6_long.unshared_bytes(&other.v6_long)
    }

    /// Applies a difference with the preference indices continued.
    fn apply_sharing(&self, delta: &Delta) -> Result<Self, TooManyPreferences> {
        let mut interner = Interner::resume(&self.prefs);
        let mut edits = Edits::default();
        for (block, regions) in delta.iter() {
            let index = regions.map(|regions| interner.index(regions)).transpose()?;
            edits.push(block, index);
        }
        let lists = interner.into_lists();
        let prefs = if lists.len() == self.prefs.len() {
            Arc::clone(&self.prefs)
        } else {
            lists.into()
        };
        Ok(Self {
            v4: self.v4.apply(&edits.v4),
            v6: self.v6.apply(&edits.v6),
            v6_long: self.v6_long.apply(&edits.v6_long),
            prefs,
        })
    }

    /// The same table with only the preferences that are in use.
    fn rebuilt(&self) -> Result<Self, TooManyPreferences> {
        Self::build(self.iter().map(|(block, regions)| (block, &**regions)))
    }

    /// Calls `visit` for each block that differs, with its preference in `later` if it is there.
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
                let item = new
                    .or(old)
                    .expect("A block that differs is in one of them.");
                visit(block_v4(item), new.map(|new| pref(new.pref)));
            },
        );
        self.v6.compare(
            &later.v6,
            |a, b| same(a.pref, b.pref),
            |old, new| {
                let item = new
                    .or(old)
                    .expect("A block that differs is in one of them.");
                visit(block_v6(item), new.map(|new| pref(new.pref)));
            },
        );
        self.v6_long.compare(
            &later.v6_long,
            |a, b| same(a.pref, b.pref),
            |old, new| {
                let item = new
                    .or(old)
                    .expect("A block that differs is in one of them.");
                visit(block_v6_long(item), new.map(|new| pref(new.pref)));
            },
        );
    }
}

/// Which plane a block belongs to, and its bits there.
enum Bits {
    /// IPv4.
    V4(u32),
    /// IPv6 of at most 64 bits.
    V6(u64),
    /// IPv6 of more than 64 bits.
    V6Long(u128),
}

impl Bits {
    /// Bits of a block.
    fn of(block: Block) -> Self {
        match block.addr() {
            IpAddr::V4(addr) => Self::V4(addr.to_bits()),
            IpAddr::V6(addr) if block.prefix_len() <= HALF => Self::V6(high_half(addr.to_bits())),
            IpAddr::V6(addr) => Self::V6Long(addr.to_bits()),
        }
    }
}

/// First 64 bits of an IPv6 address.
fn high_half(bits: u128) -> u64 {
    // The shift leaves 64 bits.
    (bits >> HALF) as u64
}

/// Block of an item of the IPv4 plane.
fn block_v4(item: Item<u32>) -> Block {
    Block::v4(item.start, item.len)
}

/// Block of an item of the plane of half addresses.
fn block_v6(item: Item<u64>) -> Block {
    Block::v6(u128::from(item.start) << HALF, item.len)
}

/// Block of an item of the plane of whole IPv6 addresses.
fn block_v6_long(item: Item<u128>) -> Block {
    Block::v6(item.start, item.len)
}

/// Edits of each plane, sorted as the difference is.
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
        match Bits::of(block) {
            Bits::V4(start) => self.v4.push(((start, len), index)),
            Bits::V6(start) => self.v6.push(((start, len), index)),
            Bits::V6Long(start) => self.v6_long.push(((start, len), index)),
        }
    }
}

/// Gathers the blocks of a table in compact form, in any order; sorted ones cost the least.
#[derive(Debug, Default)]
pub struct Builder {
    /// IPv4 blocks.
    v4: PlaneBuilder<u32>,
    /// IPv6 blocks of at most 64 bits.
    v6: PlaneBuilder<u64>,
    /// IPv6 blocks of more than 64 bits.
    v6_long: PlaneBuilder<u128>,
    /// Indices of preferences.
    interner: Interner,
}

impl Builder {
    /// Adds a block; of one that is added twice the later counts.
    ///
    /// # Errors
    ///
    /// When there are too many distinct preferences.
    pub fn push(&mut self, block: Block, regions: &[RegionId]) -> Result<(), TooManyPreferences> {
        let pref = self.interner.index(regions)?;
        let len = block.prefix_len();
        match Bits::of(block) {
            Bits::V4(start) => self.v4.push(Item { start, len, pref }),
            Bits::V6(start) => self.v6.push(Item { start, len, pref }),
            Bits::V6Long(start) => self.v6_long.push(Item { start, len, pref }),
        }
        Ok(())
    }

    /// Number of blocks so far, repeated ones included.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len() + self.v6_long.len()
    }

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The table.
    pub fn finish(self) -> Table {
        Table {
            v4: self.v4.finish(),
            v6: self.v6.finish(),
            v6_long: self.v6_long.finish(),
            prefs: self.interner.into_lists().into(),
        }
    }
}
