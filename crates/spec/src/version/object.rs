//! What the object store holds of a version: a body, and apart from it the block table.
//!
//! Most versions change a target or a drain and leave the blocks alone, and then only the small
//! body is new. A block object is a snapshot or the difference to an earlier one, so that a change
//! of a thousand blocks does not ship them all. Digests chain: a body names its block object, a
//! difference names its base, so the digest of a head stands for everything below it.

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
const BODY: &str = "jasminefield body 1";
/// First line of a block object.
const BLOCKS: &str = "jasminefield blocks 1";
/// Second line of a body without blocks.
const NO_BLOCKS: &str = "blocks none";

/// Texts from this length on are given back to the system when they end.
const LARGE_BYTES: usize = 1 << 20;
/// Just beyond the largest buffer that glibc ever serves from its heaps, which is 32 MiB.
const OWN_MAPPING_BYTES: usize = 33 << 20;

/// Most differences above a snapshot.
///
/// A daemon that starts fetches all of them one after the other; a daemon that runs only the
/// newest.
pub(crate) const MAX_DEPTH: u16 = 64;

/// Configuration of a version, and the name of its block table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Body {
    /// Configuration.
    pub config: Arc<Config>,
    /// Block object, if there are blocks beside those of the configuration.
    pub blocks: Option<Digest>,
}

/// Block table, whole or as the difference to an earlier one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockObject {
    /// Whole.
    Snapshot(Arc<Table>),
    /// Difference.
    Difference {
        /// Earlier block object.
        base: Digest,
        /// Number of differences down to the snapshot, this one included.
        depth: u16,
        /// Blocks that differ.
        delta: Arc<Delta>,
    },
}

/// Object that was read under its digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Object {
    /// Body.
    Body(Body),
    /// Block object.
    Blocks(BlockObject),
}

/// Why bytes are not the object that was asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObjectError {
    /// The bytes have another digest: damaged, or another object.
    Digest,
    /// Not of a form that this release knows, as from a newer one.
    Form,
    /// The configuration does not hold.
    Config(Findings),
    /// The blocks can't be read.
    Blocks(Vec<LineError>),
}

impl fmt::Display for ObjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Digest => f.write_str("the object's bytes don't match its digest"),
            Self::Form => f.write_str("the object is of a form that this release does not know"),
            Self::Config(findings) => write!(f, "the object's configuration:\n{findings}"),
            Self::Blocks(errors) => match errors.first() {
                Some(first) => write!(f, "the object's blocks: {first}, {} in all", errors.len()),
                None => f.write_str("the object's blocks"),
            },
        }
    }
}

impl Error for ObjectError {}

impl Body {
    /// Bytes of the object.
    pub fn to_bytes(&self) -> Bytes {
        let blocks = match self.blocks {
            Some(digest) => format!("blocks {digest}"),
            None => NO_BLOCKS.to_owned(),
        };
        format!("{BODY}\n{blocks}\n\n{}", self.config).into()
    }

    /// Reads what follows the first line.
    fn read(rest: &str) -> Result<Self, ObjectError> {
        let (blocks, config) = rest.split_once("\n\n").ok_or(ObjectError::Form)?;
        let blocks = if blocks == NO_BLOCKS {
            None
        } else {
            let digest = blocks.strip_prefix("blocks ").ok_or(ObjectError::Form)?;
            Some(digest.parse().map_err(|_| ObjectError::Form)?)
        };
        let config = crate::parse("object", config).map_err(ObjectError::Config)?;
        Ok(Self {
            config: Arc::new(config),
            blocks,
        })
    }
}

impl BlockObject {
    /// Bytes of the object.
    pub fn to_bytes(&self) -> Bytes {
        let mut length = Length(0);
        self.write(&mut length);
        let mut text = String::with_capacity(capacity(length.0));
        self.write(&mut text);
        text.into()
    }

    fn write(&self, text: &mut impl Write) {
        let written = match self {
            Self::Snapshot(table) => write!(text, "{BLOCKS}\nsnapshot\n\n{}", Compact(table)),
            Self::Difference { base, depth, delta } => {
                write!(text, "{BLOCKS}\ndifference {base} {depth}\n\n{delta}")
            }
        };
        written.expect("Writing to memory does not fail.");
    }

    /// Whether these are the bytes of a snapshot; only their beginning is looked at.
    pub fn is_snapshot(bytes: &[u8]) -> bool {
        let rest = bytes.strip_prefix(BLOCKS.as_bytes());
        rest.is_some_and(|rest| rest.starts_with(b"\nsnapshot\n"))
    }

    /// Number of differences down to the snapshot.
    pub fn depth(&self) -> u16 {
        match self {
            Self::Snapshot(_) => 0,
            Self::Difference { depth, .. } => *depth,
        }
    }

    /// Reads what follows the first line.
    fn read(rest: &str) -> Result<Self, ObjectError> {
        let (kind, lines) = rest.split_once("\n\n").ok_or(ObjectError::Form)?;
        if kind == "snapshot" {
            let table = Table::parse(lines).map_err(ObjectError::Blocks)?;
            return Ok(Self::Snapshot(Arc::new(table)));
        }
        let names = kind.strip_prefix("difference ").ok_or(ObjectError::Form)?;
        let (base, depth) = names.split_once(' ').ok_or(ObjectError::Form)?;
        let base = base.parse().map_err(|_| ObjectError::Form)?;
        let depth = depth.parse().map_err(|_| ObjectError::Form)?;
        if !(1..=MAX_DEPTH).contains(&depth) {
            return Err(ObjectError::Form);
        }
        let delta = Delta::parse(lines).map_err(ObjectError::Blocks)?;
        Ok(Self::Difference {
            base,
            depth,
            delta: Arc::new(delta),
        })
    }
}

/// Room to ask for, so that a text of this length neither moves nor stays after its end.
///
/// A text that grows as it is written is moved, and is up to twice as long as needed. And glibc
/// keeps what is freed for later buffers of that size, unless it had a mapping of its own, as what
/// is longer than [`OWN_MAPPING_BYTES`] always has. One would see a daemon's resident size stay 30
/// MB higher after each snapshot of 1.7 million blocks that it made for a peer (`measure/blocks.sh`).
/// Room that is not written to costs address space alone.
fn capacity(length: usize) -> usize {
    if length < LARGE_BYTES {
        return length;
    }
    length.max(OWN_MAPPING_BYTES)
}

/// Counts the bytes that are written.
struct Length(usize);

impl Write for Length {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0 += text.len();
        Ok(())
    }
}

impl Object {
    /// Reads an object that was fetched under `digest`.
    ///
    /// A snapshot of 1.7 million blocks takes a while: run this off the control thread.
    ///
    /// # Errors
    ///
    /// When the bytes are not those of the digest, or can't be read.
    pub fn read(digest: &Digest, bytes: &[u8]) -> Result<Self, ObjectError> {
        if Digest::of(bytes) != *digest {
            return Err(ObjectError::Digest);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| ObjectError::Form)?;
        match text.split_once('\n') {
            Some((BODY, rest)) => Body::read(rest).map(Self::Body),
            Some((BLOCKS, rest)) => BlockObject::read(rest).map(Self::Blocks),
            _ => Err(ObjectError::Form),
        }
    }
}
