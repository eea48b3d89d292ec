//! Bodies whose receiver can tell whose they are and that nothing of them is missing.

use bytes::Bytes;

/// Bytes after which the pattern repeats.
///
/// A prime, so that a lost or doubled buffer of any usual size puts the rest out of step.
const PERIOD: usize = 65_521;

/// The content of the answer to one path.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// One period, or less when the answer is shorter.
    block: Bytes,
}

impl Pattern {
    /// Makes the content of an answer of `len` bytes to this path (with its query, if any).
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

    /// Content from `offset` on: at least one byte and at most `limit`, without copying.
    pub fn chunk(&self, offset: u64, limit: u64) -> Bytes {
        let start = self.start(offset);
        let rest = self.block.len() - start;
        let len = usize::try_from(limit).map_or(rest, |limit| limit.min(rest));
        self.block.slice(start..start + len)
    }

    /// Whether these bytes are the content from `offset` on.
    pub fn matches(&self, mut offset: u64, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let start = self.start(offset);
            let len = bytes.len().min(self.block.len() - start);
            if len == 0 || bytes[..len] != self.block[start..start + len] {
                return false;
            }
            bytes = &bytes[len..];
            offset += len as u64;
        }
        true
    }

    /// Place of an offset in the block.
    fn start(&self, offset: u64) -> usize {
        // The remainder is less than the block's length, so it fits.
        usize::try_from(offset % self.block.len().max(1) as u64).unwrap_or(0)
    }
}
