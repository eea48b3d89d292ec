//! Addresses as unsigned integers of one width.

use std::fmt::Debug;

/// Unsigned integer that holds the bits of an address.
pub(crate) trait Key: Copy + Debug + Ord {
    /// Width in bits.
    const WIDTH: u8;

    /// Last address of the block that starts at this address and has a prefix of `len` bits.
    fn last(self, len: u8) -> Self;
}

/// Implements [`Key`] for an unsigned integer.
macro_rules! impl_key {
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

impl_key!(u32);
impl_key!(u64);
impl_key!(u128);
