//! Objects in the object store that make up a version: a body and, separately, the block table.
//!
//! Most versions change a target or a drain and leave the blocks unchanged; then only the small
//! body is new. A block object is a snapshot or the difference from an earlier block object, so
//! that a change of a thousand blocks doesn't transfer the whole table. Digests form a chain: a
//! body names its block object and a difference names its base, so the digest in a head identifies
//! every object of the version.

use crate::{
    Config,
    Digest, //
};
use blocks::{
    Compact,
    Delta,
    LineError,
    Table, //
};
use bytes::Bytes;
use conf::Findings;
use std::{
    error::Error,
    fmt::{
        self,
        Write, //
    },
    sync::Arc, //
};

/// First line of a body.
const BODY_HEADER: &str = "jasminefield body 1";
/// First line of a block object.
const BLOCKS_HEADER: &str = "jasminefield blocks 1";
/// Second line of a body that names no block object.
const NO_BLOCKS_LINE: &str = "blocks none";

/// Length from which a text gets a separate mapping, which is returned to the system when freed.
const LARGE_TEXT_BYTES: usize = 1 << 20;
/// Capacity of a buffer that glibc always maps separately; it serves up to 32 MiB from its heaps.
const SEPARATE_MAPPING_BYTES: usize = 33 << 20;

/// Maximum number of differences above a snapshot.
///
/// A starting daemon fetches all of them one after another; a running daemon fetches only the
/// newest.
pub(crate) const MAX_DEPTH: u16 = 64;

/// Configuration of a version, with the digest of its block object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Body {
    /// Configuration.
    pub config: Arc<Config>,
    /// Block object; `None` if the only blocks are those of the configuration.
    pub blocks: Option<Digest>,
}

/// Block table, in full or as the difference from an earlier one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockObject {
    /// The full table.
    Snapshot(Arc<Table>),
    /// Difference from an earlier block object.
    Difference {
        /// Earlier block object.
        base: Digest,
        /// Number of differences down to the snapshot, including this one.
        depth: u16,
        /// Blocks that differ.
        delta: Arc<Delta>,
    },
}

/// Object that was verified against its digest and parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Object {
    /// Body.
    Body(Body),
    /// Block object.
    Blocks(BlockObject),
}

/// Error when reading an object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObjectError {
    /// The bytes have a different digest; they are damaged or belong to another object.
    DigestMismatch,
    /// The format is unknown to this release; a newer release may have written the object.
    UnknownFormat,
    /// The configuration is invalid.
    Config(Findings),
    /// Lines of the blocks are invalid.
    Blocks(Vec<LineError>),
}

impl fmt::Display for ObjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DigestMismatch => f.write_str("the object's bytes don't match its digest"),
            Self::UnknownFormat => {
                f.write_str("the object has a format that this release does not know")
            }
            Self::Config(findings) => {
                write!(f, "the object's configuration is invalid:\n{findings}")
            }
            Self::Blocks(errors) => match errors.first() {
                Some(first) => write!(
                    f,
                    "the object's blocks are invalid: {first} ({} errors)",
                    errors.len()
                ),
                None => f.write_str("the object's blocks are invalid"),
            },
        }
    }
}

impl Error for ObjectError {}

impl Body {
    /// Encodes the object.
    pub fn to_bytes(&self) -> Bytes {
        let blocks = match self.blocks {
            Some(digest) => format!("blocks {digest}"),
            None => NO_BLOCKS_LINE.to_owned(),
        };
        format!("{BODY_HEADER}\n{blocks}\n\n{}", self.config).into()
    }

    /// Parses the text after the first line.
    fn read(rest: &str) -> Result<Self, ObjectError> {
        let (blocks, config) = rest.split_once("\n\n").ok_or(ObjectError::UnknownFormat)?;
        let blocks = if blocks == NO_BLOCKS_LINE {
            None
        } else {
            let digest = blocks
                .strip_prefix("blocks ")
                .ok_or(ObjectError::UnknownFormat)?;
            Some(digest.parse().map_err(|_| ObjectError::UnknownFormat)?)
        };
        let config = crate::parse("object", config).map_err(ObjectError::Config)?;
        Ok(Self {
            config: Arc::new(config),
            blocks,
        })
    }
}

impl BlockObject {
    /// Encodes the object.
    pub fn to_bytes(&self) -> Bytes {
        let mut counter = ByteCounter(0);
        self.write(&mut counter);
        let mut text = String::with_capacity(capacity(counter.0));
        self.write(&mut text);
        text.into()
    }

    fn write(&self, text: &mut impl Write) {
        let result = match self {
            Self::Snapshot(table) => {
                write!(text, "{BLOCKS_HEADER}\nsnapshot\n\n{}", Compact(table))
            }
            Self::Difference { base, depth, delta } => {
                write!(
                    text,
                    "{BLOCKS_HEADER}\ndifference {base} {depth}\n\n{delta}"
                )
            }
        };
        result.expect("Writing to memory does not fail.");
    }

    /// Whether these are the bytes of a snapshot; only the first lines are inspected.
    pub fn is_snapshot(bytes: &[u8]) -> bool {
        let rest = bytes.strip_prefix(BLOCKS_HEADER.as_bytes());
        rest.is_some_and(|rest| rest.starts_with(b"\nsnapshot\n"))
    }

    /// Number of differences down to the snapshot; 0 for a snapshot.
    pub fn depth(&self) -> u16 {
        match self {
            Self::Snapshot(_) => 0,
            Self::Difference { depth, .. } => *depth,
        }
    }

    /// Parses the text after the first line.
    fn read(rest: &str) -> Result<Self, ObjectError> {
        let (kind, lines) = rest.split_once("\n\n").ok_or(ObjectError::UnknownFormat)?;
        if kind == "snapshot" {
            let table = Table::parse(lines).map_err(ObjectError::Blocks)?;
            return Ok(Self::Snapshot(Arc::new(table)));
        }
        let base_and_depth = kind
            .strip_prefix("difference ")
            .ok_or(ObjectError::UnknownFormat)?;
        let (base, depth) = base_and_depth
            .split_once(' ')
            .ok_or(ObjectError::UnknownFormat)?;
        let base = base.parse().map_err(|_| ObjectError::UnknownFormat)?;
        let depth = depth.parse().map_err(|_| ObjectError::UnknownFormat)?;
        if !(1..=MAX_DEPTH).contains(&depth) {
            return Err(ObjectError::UnknownFormat);
        }
        let delta = Delta::parse(lines).map_err(ObjectError::Blocks)?;
        Ok(Self::Difference {
            base,
            depth,
            delta: Arc::new(delta),
        })
    }
}

/// Buffer capacity for a text of this length that avoids reallocation and is returned to the system
/// when the text is freed.
///
/// A string that grows while it is written is reallocated, and its capacity may reach twice the
/// length. In addition, glibc keeps freed memory for later buffers of the same size unless the
/// buffer had a mapping of its own, as buffers of [`SEPARATE_MAPPING_BYTES`] and more always have.
/// Without this, a daemon's resident size stayed 30 MB higher after each snapshot of 1.7 million
/// blocks that it encoded for a peer (`measure/blocks.sh`). Capacity that is not written to only
/// costs address space.
fn capacity(length: usize) -> usize {
    if length < LARGE_TEXT_BYTES {
        return length;
    }
    length.max(SEPARATE_MAPPING_BYTES)
}

/// Writer that only counts the bytes.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0 += text.len();
        Ok(())
    }
}

impl Object {
    /// Verifies and parses the object with this digest.
    ///
    /// Parsing a snapshot of 1.7 million blocks is slow, so this must not run on the control
    /// thread.
    ///
    /// # Errors
    ///
    /// If the bytes don't match the digest, or can't be parsed.
    pub fn read(digest: &Digest, bytes: &[u8]) -> Result<Self, ObjectError> {
        if Digest::of(bytes) != *digest {
            return Err(ObjectError::DigestMismatch);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| ObjectError::UnknownFormat)?;
        match text.split_once('\n') {
            Some((BODY_HEADER, rest)) => Body::read(rest).map(Self::Body),
            Some((BLOCKS_HEADER, rest)) => BlockObject::read(rest).map(Self::Blocks),
            _ => Err(ObjectError::UnknownFormat),
        }
    }
}
