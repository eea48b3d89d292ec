//! Response bodies whose content is derived from the path.
//!
//! A receiver can check that a body belongs to the path it requested and that no part is missing.

use bytes::Bytes;

/// Period of the content in bytes.
///
/// A prime, so that losing or duplicating a buffer of any common size shifts the rest of the body
/// against the expected content.
const PERIOD: usize = 65_521;

/// Content of the response to one path.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// One period, or the whole content if it is shorter.
    block: Bytes,
}

impl Pattern {
    /// Generates the content of a response of `len` bytes to a path, including its query if any.
    pub fn new(path: &str, len: u64) -> Self {
        let needed = usize::try_from(len).map_or(PERIOD, |len| len.min(PERIOD));
        let mut block = vec![0; needed];
        let mut hasher = blake3::Hasher::new();
        hasher.update(path.as_bytes());
        hasher.finalize_xof().fill(&mut block);
        Self {
            block: block.into(),
        }
    }

    /// Returns between one and `limit` bytes of the content at `offset`, without copying.
    pub fn chunk(&self, offset: u64, limit: u64) -> Bytes {
        let start = self.block_index(offset);
        let available = self.block.len() - start;
        let len = usize::try_from(limit).map_or(available, |limit| limit.min(available));
        self.block.slice(start..start + len)
    }

    /// Returns whether `bytes` equals the content at `offset`.
    pub fn matches(&self, mut offset: u64, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let start = self.block_index(offset);
            let len = bytes.len().min(self.block.len() - start);
            if len == 0 || bytes[..len] != self.block[start..start + len] {
                return false;
            }
            bytes = &bytes[len..];
            offset += len as u64;
        }
        true
    }

    /// Index into the block for an offset into the content.
    fn block_index(&self, offset: u64) -> usize {
        // The remainder is less than the block's length, so it fits.
        usize::try_from(offset % self.block.len().max(1) as u64).unwrap_or(0)
    }
}
