//! Addresses as integers of one width.

use std::fmt::Debug;

/// Unsigned integer that a prefix is cut from.
pub(crate) trait Key: Copy + Debug + Ord {
    /// Width in bits.
    const WIDTH: u8;

    /// Last address of the block that starts here and has `len` bits of prefix.
    fn last(self, len: u8) -> Self;
}

/// Implements [`Key`] for an unsigned integer.
macro_rules! key {
    ($int:ty) => {
        impl Key for $int {
            const WIDTH: u8 = {
                let bits = <$int>::BITS;
                assert!(bits <= 128);
                // At most 128, as asserted.
                bits as u8
            };

            fn last(self, len: u8) -> Self {
                debug_assert!(len <= Self::WIDTH);
                self | <$int>::MAX.checked_shr(len.into()).unwrap_or(0)
            }
        }
    };
}

key!(u32);
key!(u64);
key!(u128);
