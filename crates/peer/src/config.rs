//! Configurations in parts that fit into frames.

use crate::frame::ConfigBody;
use base::Version;
use bytes::{
    Bytes,
    BytesMut, //
};
use bytestring::ByteString;

/// Bytes of a configuration in one frame.
///
/// Heartbeats and pings wait for at most one such part, so it is well under the frame's limit.
pub const CONFIG_PART_BYTES: usize = 256 * 1024;

/// Splits a configuration into frames, in order; the parts share the body's memory.
pub fn split_config(version: Version, head: &ByteString, body: &Bytes) -> Vec<ConfigBody> {
    let total = body.len();
    let starts = (0..total.max(1)).step_by(CONFIG_PART_BYTES);
    starts
        .map(|start| ConfigBody {
            version,
            head: head.clone(),
            // A length in memory always fits into 64 bits.
            offset: start as u64,
            total: total as u64,
            body: body.slice(start..total.min(start + CONFIG_PART_BYTES)),
        })
        .collect()
}

/// A configuration received whole; its digest is not checked yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeConfig {
    /// Version as the sender named it.
    pub version: Version,
    /// The head's text.
    pub head: ByteString,
    /// The body.
    pub body: Bytes,
}

/// Why a part did not fit; what was collected is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AssemblyError {
    /// The whole would be longer than the receiver takes.
    TooLarge,
    /// A part is missing before this one, as after a reopened session: ask again.
    Gap,
}

/// Collects the parts that one peer sends.
///
/// Parts of one session arrive in order. A part at offset 0 starts afresh, so that a sender may
/// start over at any time.
#[derive(Clone, Debug)]
pub struct ConfigAssembly {
    /// Longest body taken, in bytes.
    max_bytes: u64,
    /// What came so far.
    begun: Option<Begun>,
}

/// A configuration whose end is missing.
#[derive(Clone, Debug)]
struct Begun {
    /// Version of the first part.
    version: Version,
    /// Head of the first part.
    head: ByteString,
    /// Length of the whole, in bytes.
    total: u64,
    /// The parts so far.
    body: BytesMut,
}

impl ConfigAssembly {
    /// Takes bodies of up to `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            begun: None,
        }
    }

    /// Adds a part; gives the whole once its last part is in.
    ///
    /// # Errors
    ///
    /// A body that is too long, or a part that does not follow the one before.
    pub fn push(&mut self, part: ConfigBody) -> Result<Option<WholeConfig>, AssemblyError> {
        if part.total > self.max_bytes {
            self.begun = None;
            return Err(AssemblyError::TooLarge);
        }
        if part.offset == 0 {
            self.begun = Some(Begun::new(&part));
        }
        let mut begun = self.begun.take().ok_or(AssemblyError::Gap)?;
        begun.add(&part)?;
        if begun.is_whole() {
            return Ok(Some(begun.finish()));
        }
        self.begun = Some(begun);
        Ok(None)
    }
}

impl Begun {
    /// Nothing yet of the configuration that `part` belongs to.
    fn new(part: &ConfigBody) -> Self {
        Self {
            version: part.version,
            head: part.head.clone(),
            total: part.total,
            body: BytesMut::new(),
        }
    }

    /// Appends `part`, if it is the next one.
    fn add(&mut self, part: &ConfigBody) -> Result<(), AssemblyError> {
        let have = self.body.len() as u64;
        let same = part.version == self.version && part.total == self.total;
        let fits = part.body.len() as u64 <= self.total - have;
        // An empty part of a body that is not empty would never end.
        let moves = !part.body.is_empty() || self.total == 0;
        if !(same && part.offset == have && fits && moves) {
            return Err(AssemblyError::Gap);
        }
        self.body.extend_from_slice(&part.body);
        Ok(())
    }

    /// Whether the last part is in.
    fn is_whole(&self) -> bool {
        self.body.len() as u64 == self.total
    }

    /// The whole.
    fn finish(self) -> WholeConfig {
        WholeConfig {
            version: self.version,
            head: self.head,
            body: self.body.freeze(),
        }
    }
}
