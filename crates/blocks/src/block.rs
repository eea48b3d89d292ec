//! One client block: a network in CIDR notation.

use std::{
    error::Error,
    fmt,
    net::{
        IpAddr,
        Ipv4Addr,
        Ipv6Addr, //
    },
    str::FromStr, //
};

/// IPv4 or IPv6 network of client addresses, without host bits.
///
/// Blocks are ordered by family, address and length, so that a block precedes all blocks nested in
/// it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Block {
    /// First address.
    addr: IpAddr,
    /// Length of the prefix in bits.
    len: u8,
}

impl Block {
    /// Creates a block of the first `len` bits of `addr`.
    ///
    /// # Errors
    ///
    /// When the length exceeds the family's, or when bits after the prefix are set.
    pub fn new(addr: IpAddr, len: u8) -> Result<Self, BlockError> {
        let (width, bits) = match addr {
            IpAddr::V4(addr) => (32, u128::from(addr.to_bits()) << 96),
            IpAddr::V6(addr) => (128, addr.to_bits()),
        };
        if len > width {
            return Err(BlockError::Length);
        }
        let host_bits = bits.checked_shl(u32::from(len)).unwrap_or(0);
        if host_bits != 0 {
            return Err(BlockError::HostBits);
        }
        Ok(Self { addr, len })
    }

    /// First address.
    pub fn addr(&self) -> IpAddr {
        self.addr
    }

    /// Length of the prefix in bits.
    pub fn prefix_len(&self) -> u8 {
        self.len
    }

    /// Whether the address belongs to the block.
    pub fn contains(&self, addr: IpAddr) -> bool {
        let (first, addr, width) = match (self.addr, addr) {
            (IpAddr::V4(first), IpAddr::V4(addr)) => {
                (first.to_bits().into(), addr.to_bits().into(), 32)
            }
            (IpAddr::V6(first), IpAddr::V6(addr)) => (first.to_bits(), addr.to_bits(), 128),
            _ => return false,
        };
        let difference: u128 = first ^ addr;
        let host_len = width - u32::from(self.len);
        difference.checked_shr(host_len).unwrap_or(0) == 0
    }

    /// Creates an IPv4 block from parts known to be valid.
    pub(crate) fn v4(bits: u32, len: u8) -> Self {
        Self {
            addr: Ipv4Addr::from_bits(bits).into(),
            len,
        }
    }

    /// Creates an IPv6 block from parts known to be valid.
    pub(crate) fn v6(bits: u128, len: u8) -> Self {
        Self {
            addr: Ipv6Addr::from_bits(bits).into(),
            len,
        }
    }
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.addr, self.len)
    }
}

impl FromStr for Block {
    type Err = BlockError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (addr, len) = text.split_once('/').ok_or(BlockError::Form)?;
        let addr = addr.parse().map_err(|_| BlockError::Form)?;
        let is_decimal = !len.is_empty() && len.bytes().all(|b| b.is_ascii_digit());
        if !is_decimal {
            return Err(BlockError::Form);
        }
        let len = len.parse().map_err(|_| BlockError::Length)?;
        Self::new(addr, len)
    }
}

/// Error in a block or its textual form.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum BlockError {
    /// Not of the form `address/length`.
    Form,
    /// The length exceeds the family's.
    Length,
    /// Bits after the prefix are set.
    HostBits,
}

impl fmt::Display for BlockError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Form => "not a block of the form address/length",
            Self::Length => "longer than an address of its family",
            Self::HostBits => "bits are set after the prefix",
        })
    }
}

impl Error for BlockError {}
