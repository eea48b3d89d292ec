//! Splitting configurations into frames and reassembling them.

use crate::frame::ConfigBody;
use base::Version;
use bytes::{
    Bytes,
    BytesMut, //
};
use bytestring::ByteString;

/// Bytes of a configuration in one frame.
///
/// Heartbeats and pings wait behind at most one part, so it is well below the frame size limit.
pub const CONFIG_PART_BYTES: usize = 256 * 1024;

/// Splits a configuration into frames, in order; the parts share the body's memory.
pub fn split_config(version: Version, head: &ByteString, body: &Bytes) -> Vec<ConfigBody> {
    let total = body.len();
    let starts = (0..total.max(1)).step_by(CONFIG_PART_BYTES);
    starts
        .map(|start| ConfigBody {
            version,
            head: head.clone(),
            // The length of a buffer always fits in 64 bits.
            offset: start as u64,
            total: total as u64,
            body: body.slice(start..total.min(start + CONFIG_PART_BYTES)),
        })
        .collect()
}

/// A completely received configuration; its digest is not yet verified.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeConfig {
    /// Version as stated by the sender.
    pub version: Version,
    /// Text of the head.
    pub head: ByteString,
    /// The body.
    pub body: Bytes,
}

/// Why a part was rejected; the parts collected so far are discarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AssemblyError {
    /// The configuration exceeds the receiver's size limit.
    TooLarge,
    /// The part does not follow the previous one, as after a reopened session; the configuration
    /// has to be requested again.
    Gap,
}

/// Reassembles the parts sent by one peer.
///
/// Parts of one session arrive in order. A part at offset 0 restarts the assembly, so that a
/// sender may start over at any time.
#[derive(Clone, Debug)]
pub struct ConfigAssembly {
    /// Longest accepted body, in bytes.
    max_bytes: u64,
    /// Parts received so far.
    partial: Option<PartialConfig>,
}

/// An incomplete configuration.
#[derive(Clone, Debug)]
struct PartialConfig {
    /// Version of the first part.
    version: Version,
    /// Head of the first part.
    head: ByteString,
    /// Length of the complete body, in bytes.
    total: u64,
    /// Content of the parts so far.
    body: BytesMut,
}

impl ConfigAssembly {
    /// Assembly for bodies of up to `max_bytes`.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            partial: None,
        }
    }

    /// Adds a part; returns the configuration once it is complete.
    ///
    /// # Errors
    ///
    /// The body is too long, or the part does not follow the previous one.
    pub fn push(&mut self, part: ConfigBody) -> Result<Option<WholeConfig>, AssemblyError> {
        if part.total > self.max_bytes {
            self.partial = None;
            return Err(AssemblyError::TooLarge);
        }
        if part.offset == 0 {
            self.partial = Some(PartialConfig::new(&part));
        }
        let mut partial = self.partial.take().ok_or(AssemblyError::Gap)?;
        partial.append(&part)?;
        if partial.is_complete() {
            return Ok(Some(partial.into_config()));
        }
        self.partial = Some(partial);
        Ok(None)
    }
}

impl PartialConfig {
    /// Empty assembly of the configuration that `part` belongs to.
    fn new(part: &ConfigBody) -> Self {
        Self {
            version: part.version,
            head: part.head.clone(),
            total: part.total,
            body: BytesMut::new(),
        }
    }

    /// Appends `part` if it is the next one.
    fn append(&mut self, part: &ConfigBody) -> Result<(), AssemblyError> {
        let received = self.body.len() as u64;
        let same_config = part.version == self.version && part.total == self.total;
        let fits = part.body.len() as u64 <= self.total - received;
        // Empty parts of a non-empty body would never complete it.
        let makes_progress = !part.body.is_empty() || self.total == 0;
        if !(same_config && part.offset == received && fits && makes_progress) {
            return Err(AssemblyError::Gap);
        }
        self.body.extend_from_slice(&part.body);
        Ok(())
    }

    /// Whether all parts have been received.
    fn is_complete(&self) -> bool {
        self.body.len() as u64 == self.total
    }

    /// Converts the assembled parts.
    fn into_config(self) -> WholeConfig {
        WholeConfig {
            version: self.version,
            head: self.head,
            body: self.body.freeze(),
        }
    }
}
